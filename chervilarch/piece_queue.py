"""Pure queue of stage work: which pieces go to which endpoint, and when.

Pieces of many requests share calls. A call goes out as soon as an endpoint is
free; what arrives while all are busy gathers, so calls fill up under load.
"""

from typing import NamedTuple

from chervilarch import endpoint_list, pieces, routing_table
from chervilarch.pieces import PendingJob, PieceResult

# Weight of the newest call in an endpoint's measured slowness.
_GAIN = 0.3
# An endpoint that failed rests this long, doubling up to the longest.
FIRST_REST_S = 0.4
MAX_REST_S = 4.0
# An endpoint that was full of others' work or results is tried again after
# this share of a call, doubling up to the longest.
_FULL_REST_SHARE = 0.5
_MAX_FULL_REST_S = 0.6
_MAX_DOUBLINGS = 8
# A call this many times slower than configured leaves its maker suspect; a
# suspect one gets calls of this share of a batch.
_SUSPECT_RATIO = 3.0
_SUSPECT_SHARE = 0.25
# Begun jobs that found no room for so long give up their results.
_STUCK_S = 0.3
# An endpoint that rests no longer than this counts for what is expected.
_SHORT_REST_S = 1.0
# Delay that is accepted for bytes that needn't cross data centres: 10 MB are
# worth 0.3 s. The users price such bytes dearly.
FAR_S_PER_BYTE = 0.03e-6
# No more of a job's spare time than this share is spent on nearness.
_SLACK_SHARE = 0.3


class Worker:
    """What is known of an endpoint that makes pieces."""

    def __init__(self, listing: endpoint_list.Listing):
        self.listing = listing
        self.calls = 0
        # Measured time of a call over the configured one.
        self.slowness = 1.0
        self.free_at = 0.0
        self.resting_until = float("-inf")
        self.failures = 0
        self.times_full = 0
        # Set by a failed or overdue call until one is in time again.
        self.is_suspect = False
        # Room that running calls need, in bytes.
        self.reserved_bytes = 0
        self._kept: dict[str, tuple[int, float]] = {}

    def keep(self, handle: str, size: int, until: float) -> None:
        """Counts a result that lies here up to a monotonic time."""
        self._kept[handle] = (size, until)

    def release(self, handle: str) -> None:
        """Counts a result as freed."""
        self._kept.pop(handle, None)

    def used_bytes(self, now: float) -> int:
        """Returns the room taken by results and running calls."""
        for handle, (_, until) in list(self._kept.items()):
            if until <= now:
                del self._kept[handle]
        kept = sum(size for size, _ in self._kept.values())
        return kept + self.reserved_bytes

    def note_time(self, ratio: float) -> None:
        """Learns from the time that a call took."""
        self.slowness += _GAIN * (ratio - self.slowness)
        self.is_suspect = ratio > _SUSPECT_RATIO
        self.failures = 0
        self.times_full = 0

    def note_overdue(self, ratio: float) -> None:
        """Learns from a call that takes too long and isn't over."""
        self.slowness = max(self.slowness, ratio)
        self.is_suspect = True

    def note_failure(self, now: float) -> float:
        """Rests the endpoint; returns for how long, in seconds."""
        self.is_suspect = True
        rest_s = min(MAX_REST_S, FIRST_REST_S * 2**self.failures)
        self.failures = min(self.failures + 1, _MAX_DOUBLINGS)
        self.resting_until = now + rest_s
        return rest_s


class Batch(NamedTuple):
    """Pieces for one call.

    Attributes:
        maker: where to send them.
        pieces: jobs with piece numbers.
        expected_s: how long the call is expected to take.
        nominal_s: how long the configuration says that it takes.
        result_bytes: room that its results need.
    """

    worker: Worker
    pieces: list[tuple[PendingJob, int]]
    expected_s: float
    nominal_s: float
    result_bytes: int


class PieceQueue:
    """Pending jobs of one pool, and the endpoints that make them."""

    def __init__(self, pool: str, limits: routing_table.PieceLimits):
        self.pool = pool
        self.limits = limits
        self.workers: dict[str, Worker] = {}
        # Pieces of admitted requests that will be queued here later.
        self.upcoming = 0
        self._stuck_since: float | None = None
        self._jobs: list[PendingJob] = []

    def set_endpoints(self, listed: dict[str, endpoint_list.Listing]) -> None:
        """Takes the endpoints that may get work."""
        kept = {}
        for name, listing in listed.items():
            worker = self.workers.get(name)
            if worker is None or (
                worker.listing.entry.incarnation != listing.entry.incarnation
            ):
                worker = Worker(listing)
            worker.listing = listing
            kept[name] = worker
        self.workers = kept

    def add(self, pending: PendingJob) -> None:
        """Queues a job, or pieces of it that are to be made again."""
        if pending not in self._jobs:
            self._jobs.append(pending)

    def backlog(self) -> int:
        """Returns the number of pieces that wait."""
        return sum(len(pending.todo) for pending in self._jobs)

    def call_s(self, count: int) -> float:
        """Returns the configured time of a call."""
        return self.limits.call_s + count * self.limits.piece_s

    def wait_s(self, priority: int, aim_at: float, now: float) -> float:
        """Returns how long a new job would wait for its call."""
        usable = [
            worker
            for worker in self.workers.values()
            if worker.resting_until <= now + _SHORT_REST_S
        ]
        if not usable:
            return self.call_s(1)
        bar = (True, False, priority, int(aim_at / pieces.SAME_TIME_S))
        ahead = self.upcoming + sum(
            len(pending.todo)
            for pending in self._jobs
            if pending.sort_key(now)[:4] <= bar
        )
        batch = self.limits.batch
        rate = sum(
            batch * self.limits.slots / (m.slowness * self.call_s(batch))
            for m in usable
        )
        busy_s = min(max(0.0, m.free_at - now) for m in usable)
        return busy_s + ahead / rate

    def is_backed_up(self) -> bool:
        """Tells whether more work waits than the next calls will take."""
        waiting = self.upcoming + self.backlog()
        return waiting > self.limits.batch * max(1, len(self.workers)) / 2

    def expire(self, now: float) -> list[PendingJob]:
        """Removes jobs that are over; returns those past their deadline."""
        late = [
            pending
            for pending in self._jobs
            if not pending.is_ended and pending.job.deadline_at <= now
        ]
        self._jobs = [
            pending
            for pending in self._jobs
            if pending.todo and pending not in late
        ]
        return late

    def next_batch(self, now: float) -> Batch | None:
        """Takes the pieces of the next call, if one is to be sent now."""
        if not self.backlog():
            return None
        free = [
            worker
            for worker in self._usable(now)
            if worker.calls < self.limits.slots
        ]
        if not free:
            return None
        room = {worker: self._room(worker, now) for worker in free}
        pool_room = self._pool_room(now)
        for pending in sorted(self._jobs, key=lambda p: p.sort_key(now)):
            whole = pending.result_bytes() * len(pending.todo)
            # A job that is begun without room for its last piece would block
            # others that are as far.
            if not pending.todo or not pending.is_begun() and whole > pool_room:
                continue
            worker = self._maker_for(pending, room, now)
            if worker is not None:
                self._stuck_since = None
                return self._fill(worker, pending, room[worker], pool_room, now)
        return None

    def _maker_for(
        self, pending: PendingJob, room: dict[Worker, float], now: float
    ) -> Worker | None:
        """Returns where a job should go now, None if it should wait.

        Args:
            pending: the job.
            room: endpoints with a free slot and their room in bytes.
            now: monotonic time in seconds.
        """
        fitting = [m for m in room if pending.result_bytes() <= room[m]]
        if not fitting:
            return None
        # Waiting for a better endpoint only pays while others have no use
        # for the free ones.
        candidates = fitting if self.is_backed_up() else self._usable(now)
        best = min(candidates, key=lambda m: self._cost_s(pending, m, now))
        return best if best in fitting else None

    def _cost_s(self, pending: PendingJob, worker: Worker, now: float) -> float:
        """Returns the time to a job's results, and what distance counts for."""
        count = min(len(pending.todo), self.limits.batch)
        is_free = worker.calls < self.limits.slots
        wait_s = 0.0 if is_free else max(0.0, worker.free_at - now)
        call_s = worker.slowness * self.call_s(count)
        near = pending.near_bytes(worker.listing.entry.data_centre)
        moved = count * (pending.all_near_bytes() - near)
        slack_s = max(0.0, pending.job.aim_at - now - call_s)
        far_s = min(moved * FAR_S_PER_BYTE, _SLACK_SHARE * slack_s)
        return wait_s + call_s + far_s

    def _fill(
        self,
        worker: Worker,
        first: PendingJob,
        room: float,
        pool_room: float,
        now: float,
    ) -> Batch:
        """Takes a job's pieces for a call, and those of others beside it."""
        place = worker.listing.entry.data_centre
        others = sorted(
            (p for p in self._jobs if p is not first),
            key=lambda p: p.sort_key(now, place),
        )
        chosen: list[tuple[PendingJob, int]] = []
        size = 0
        for pending in [first, *others]:
            one = pending.result_bytes()
            left = self._most_pieces(worker) - len(chosen)
            if pending is not first and not self._may_join(
                pending, worker, now
            ):
                continue
            is_new = pending is not first and not pending.is_begun()
            if is_new and one * len(pending.todo) > pool_room:
                continue
            pool_room -= one * len(pending.todo)
            fitting = int((room - size) // one) if one else left
            for _ in range(min(left, fitting, len(pending.todo))):
                chosen.append((pending, pending.take_piece()))
                size += one
        self._jobs = [pending for pending in self._jobs if pending.todo]
        nominal_s = self.call_s(len(chosen))
        expected_s = worker.slowness * nominal_s
        worker.calls += 1
        worker.reserved_bytes += size
        worker.free_at = now + expected_s
        return Batch(worker, chosen, expected_s, nominal_s, size)

    def _may_join(
        self, pending: PendingJob, worker: Worker, now: float
    ) -> bool:
        """Tells whether a job shares a call or waits for a nearer one."""
        if self.is_backed_up() or pending.is_begun():
            return True
        best = min(
            self._usable(now), key=lambda m: self._cost_s(pending, m, now)
        )
        return best is worker or best.listing.entry.data_centre == (
            worker.listing.entry.data_centre
        )

    def _most_pieces(self, worker: Worker) -> int:
        """Returns how many pieces an endpoint is trusted with in one call."""
        batch = self.limits.batch
        return (
            max(1, int(batch * _SUSPECT_SHARE)) if worker.is_suspect else batch
        )

    def take_victim(self, now: float) -> list[PieceResult]:
        """Returns the results of the last begun job if all are stuck.

        Jobs whose pieces were lost may together need more room than there
        is: each then holds results and waits for the others'.
        """
        begun = [p for p in self._jobs if p.todo and p.is_begun()]
        has_slot = any(
            worker.calls < self.limits.slots for worker in self._usable(now)
        )
        if len(begun) < 2 or not has_slot:
            self._stuck_since = None
            return []
        if self._stuck_since is None:
            self._stuck_since = now
        if now - self._stuck_since < _STUCK_S:
            return []
        self._stuck_since = None
        victim = max(begun, key=lambda pending: pending.sort_key(now))
        return victim.start_again()

    def _usable(self, now: float) -> list[Worker]:
        return [m for m in self.workers.values() if m.resting_until <= now]

    def _room(self, worker: Worker, now: float) -> float:
        return self.limits.room_bytes - worker.used_bytes(now)

    def _pool_room(self, now: float) -> float:
        """Returns the room that no begun job needs."""
        begun = sum(
            len(pending.todo) * pending.result_bytes()
            for pending in self._jobs
            if pending.is_begun()
        )
        workers = self.workers.values()
        return sum(self._room(worker, now) for worker in workers) - begun

    def finish(self, batch: Batch) -> None:
        """Frees the endpoint's slot."""
        batch.worker.calls -= 1
        for pending, piece in batch.pieces:
            pending.note_call_ended(piece)
        batch.worker.reserved_bytes -= batch.result_bytes

    def rest_full(self, worker: Worker, now: float) -> None:
        """Leaves an endpoint alone that others keep full."""
        rest_s = _FULL_REST_SHARE * self.limits.call_s * 2**worker.times_full
        worker.resting_until = now + min(_MAX_FULL_REST_S, rest_s)
        worker.times_full = min(worker.times_full + 1, _MAX_DOUBLINGS)
