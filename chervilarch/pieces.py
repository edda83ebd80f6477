"""Pure queue of stage work: which pieces go to which endpoint, and when.

Pieces of many requests share calls. A call goes out as soon as an endpoint is
free; what arrives while all are busy gathers, so calls fill up under load.
"""

from concurrent.futures import Future
from typing import NamedTuple

from chervilarch import endpoint_list, route_book

# Weight of the newest call in an endpoint's measured slowness.
_GAIN = 0.3
# An endpoint that failed rests this long, doubling up to the longest.
FIRST_REST_S = 0.4
MAX_REST_S = 4.0
# An endpoint that was full of others' work is tried again after this share
# of a call.
_FULL_REST_SHARE = 0.5
# A slow endpoint is left idle if a busy one would finish this much sooner.
_WAIT_SHARE = 0.85
# The configuration gives sizes of results as approximate: they are taken to
# be this much larger, and more so for a job that found no room.
_SIZE_FACTOR = 1.2
# Jobs due within this time of each other are served by nearness, in seconds.
_SAME_TIME_S = 0.25
# An endpoint this much slower than the fastest free one is taken if it is
# nearer to a job's inputs.
_NEAR_SLOWNESS = 1.3
_NO_ROOM_FACTOR = 1.5


class PieceResult(NamedTuple):
    """A result that lies at its maker.

    Attributes:
        handle: the maker's name for it.
        endpoint: id of the maker.
        address: address of the maker.
        data_centre: where the maker runs.
        pool: pool of the maker.
    """

    handle: str
    endpoint: str
    address: str
    data_centre: str
    pool: str


class PieceFailure(NamedTuple):
    """Why a job has no results.

    Attributes:
        reason: one of the constants below.
        retry_after_s: when to come back, in seconds.
    """

    reason: str
    retry_after_s: float = 0.5


LATE = "late"
INPUT_GONE = "input gone"
OVERLOADED = "overloaded"
NO_ENDPOINT = "no endpoint"
FAILED = "failed"


class Job(NamedTuple):
    """All pieces of one stage of one request; times are monotonic seconds.

    Attributes:
        request_id: the caller's id.
        stage: number of the stage.
        pool: pool that makes the pieces.
        count: number of pieces.
        key: names the input of stages that follow no other.
        inputs: handles of all results that the stage needs.
        aim_at: when the stage should end for the answer to be on time.
        deadline_at: when its results are of no more use.
        priority: rank, 0 is the most urgent.
        result_bytes: approximate size of one result.
        near: bytes that each piece moves from or to a data centre, unless it
            is made there.
    """

    request_id: str
    stage: int
    pool: str
    count: int
    key: str
    inputs: tuple[str, ...]
    aim_at: float
    deadline_at: float
    priority: int
    result_bytes: int = 0
    near: tuple[tuple[str, int], ...] = ()


Order = tuple[bool, bool, int, int, int]


class PendingJob:
    """A job with its pieces that are still to be made."""

    def __init__(self, job: Job):
        self.job = job
        self.todo = list(range(job.count))
        self.results: list[PieceResult | None] = [None] * job.count
        self.errors = 0
        self.is_ended = False
        self._size_factor = _SIZE_FACTOR
        self.future: Future = Future()

    def order(self, now: float, data_centre: str = "") -> Order:
        """Returns what jobs are sorted by.

        Jobs that were begun go first: their results take room until the last
        piece is made. Then those that can be on time. Among those that are
        due at about the same time, the ones near an endpoint go first.
        """
        job = self.job
        is_late = now > job.aim_at
        due = int(job.aim_at / _SAME_TIME_S)
        far = -self.near_bytes(data_centre)
        return (not self.is_begun(), is_late, job.priority, due, far)

    def near_bytes(self, data_centre: str) -> int:
        """Returns the bytes that a piece doesn't move if made there."""
        return sum(size for name, size in self.job.near if name == data_centre)

    def result_bytes(self) -> int:
        """Returns the room that one result is taken to need."""
        return int(self.job.result_bytes * self._size_factor)

    def note_no_room(self) -> None:
        """Learns that the results are larger than was taken."""
        self._size_factor *= _NO_ROOM_FACTOR

    def is_begun(self) -> bool:
        """Tells whether a call has taken any of its pieces."""
        return len(self.todo) < self.job.count

    def made(self) -> list[PieceResult]:
        """Returns the results that are there."""
        return [result for result in self.results if result is not None]

    def take_result(self, piece: int, result: PieceResult) -> bool:
        """Keeps a result; False if the piece has one or the job ended."""
        if self.is_ended or self.results[piece] is not None:
            return False
        self.results[piece] = result
        if all(self.results):
            self.end(tuple(self.results))
        return True

    def end(self, value) -> None:
        """Ends the job with its results or a failure."""
        if not self.is_ended:
            self.is_ended = True
            self.todo.clear()
            self.future.set_result(value)


class Maker:
    """What is known of an endpoint that makes pieces."""

    def __init__(self, listing: endpoint_list.Listing):
        self.listing = listing
        self.calls = 0
        # Measured time of a call over the configured one.
        self.slowness = 1.0
        self.free_at = 0.0
        self.resting_until = float("-inf")
        self.failures = 0
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
        self.failures = 0

    def note_failure(self, now: float) -> float:
        """Rests the endpoint; returns for how long, in seconds."""
        rest_s = min(MAX_REST_S, FIRST_REST_S * 2**self.failures)
        self.failures += 1
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

    maker: Maker
    pieces: list[tuple[PendingJob, int]]
    expected_s: float
    nominal_s: float
    result_bytes: int


class PieceQueue:
    """Pending jobs of one pool, and the endpoints that make them."""

    def __init__(self, limits: route_book.PieceLimits):
        self.limits = limits
        self.makers: dict[str, Maker] = {}
        # Pieces of admitted requests that will be queued here later.
        self.pledged = 0
        self._jobs: list[PendingJob] = []

    def set_endpoints(self, listed: dict[str, endpoint_list.Listing]) -> None:
        """Takes the endpoints that may get work."""
        kept = {}
        for name, listing in listed.items():
            maker = self.makers.get(name)
            if maker is None or (
                maker.listing.entry.incarnation != listing.entry.incarnation
            ):
                maker = Maker(listing)
            maker.listing = listing
            kept[name] = maker
        self.makers = kept

    def add(self, pending: PendingJob) -> None:
        """Queues a job, or pieces of it that are to be made again."""
        if pending not in self._jobs:
            self._jobs.append(pending)

    def backlog(self) -> int:
        """Returns the number of pieces that wait."""
        return sum(len(pending.todo) for pending in self._jobs)

    def call_s(self, pieces: int) -> float:
        """Returns the configured time of a call."""
        return self.limits.call_s + pieces * self.limits.piece_s

    def wait_s(self, priority: int, aim_at: float, now: float) -> float:
        """Returns how long a new job would wait for its call."""
        usable = [m for m in self.makers.values() if m.resting_until <= now]
        if not usable:
            return self.call_s(1)
        bar = (True, False, priority, int(aim_at / _SAME_TIME_S))
        ahead = self.pledged + sum(
            len(pending.todo)
            for pending in self._jobs
            if pending.order(now) <= (False, priority, aim_at)
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
        waiting = self.pledged + self.backlog()
        return waiting > self.limits.batch * max(1, len(self.makers)) / 2

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
        """Takes the pieces of the next call, if an endpoint is free."""
        waiting = self.backlog()
        if not waiting:
            return None
        maker = self._free_maker(now, min(waiting, self.limits.batch))
        if maker is None:
            return None
        room = self._room(maker, now)
        pool_room = self._pool_room(now)
        pieces: list[tuple[PendingJob, int]] = []
        size = 0
        place = maker.listing.entry.data_centre
        for pending in sorted(self._jobs, key=lambda p: p.order(now, place)):
            one = pending.result_bytes()
            whole = one * len(pending.todo)
            # A job that is begun without room for its last piece would block
            # others that are as far.
            if not pending.is_begun() and whole > pool_room:
                continue
            pool_room -= whole
            while (
                pending.todo
                and len(pieces) < self.limits.batch
                and size + one <= room
            ):
                pieces.append((pending, pending.todo.pop(0)))
                size += one
        if not pieces:
            return None
        self._jobs = [pending for pending in self._jobs if pending.todo]
        nominal_s = self.call_s(len(pieces))
        expected_s = maker.slowness * nominal_s
        maker.calls += 1
        maker.reserved_bytes += size
        maker.free_at = now + expected_s
        return Batch(maker, pieces, expected_s, nominal_s, size)

    def _room(self, maker: Maker, now: float) -> float:
        return self.limits.room_bytes - maker.used_bytes(now)

    def _pool_room(self, now: float) -> float:
        """Returns the room that no begun job needs."""
        begun = sum(
            len(pending.todo) * pending.result_bytes()
            for pending in self._jobs
            if pending.is_begun()
        )
        makers = self.makers.values()
        return sum(self._room(maker, now) for maker in makers) - begun

    def finish(self, batch: Batch) -> None:
        """Frees the endpoint's slot."""
        batch.maker.calls -= 1
        batch.maker.reserved_bytes -= batch.result_bytes

    def rest_full(self, maker: Maker, now: float) -> None:
        """Leaves an endpoint alone that others keep busy."""
        maker.resting_until = now + _FULL_REST_SHARE * self.limits.call_s

    def _free_maker(self, now: float, pieces: int) -> Maker | None:
        """Returns the endpoint that would finish soonest, if it is free."""
        call_s = self.call_s(pieces)
        least = min(p.result_bytes() for p in self._jobs if p.todo)
        free, busy_s = [], []
        for maker in self.makers.values():
            if maker.resting_until > now:
                continue
            if maker.calls < self.limits.slots:
                if least <= self._room(maker, now):
                    free.append(maker)
            else:
                wait_s = max(0.0, maker.free_at - now)
                busy_s.append(wait_s + maker.slowness * call_s)
        if not free:
            return None
        best = min(free, key=lambda m: (m.slowness, m.used_bytes(now)))
        is_backlog = self.backlog() > self.limits.batch
        if busy_s and not is_backlog:
            if min(busy_s) < _WAIT_SHARE * best.slowness * call_s:
                return None
        return self._nearest(free, best, now)

    def _nearest(self, free: list[Maker], best: Maker, now: float) -> Maker:
        """Returns the endpoint nearest to the first job, if not too slow."""
        first = min(
            (pending for pending in self._jobs if pending.todo),
            key=lambda pending: pending.order(now),
        )
        most = _NEAR_SLOWNESS * best.slowness
        return min(
            (maker for maker in free if maker.slowness <= most),
            key=lambda m: (
                -first.near_bytes(m.listing.entry.data_centre),
                m.slowness,
                m.used_bytes(now),
            ),
        )
