"""Queue of one pool's pieces: which go to which worker, and when.

A worker is an endpoint of the pool that makes pieces. Nothing here does I/O.
Pieces of many requests share calls. Normally a call is sent as soon as a worker
is free, but a job may wait for a faster or nearer worker, or for free memory.
Pieces that arrive while all workers are busy accumulate, so batches grow under
load.
"""

import collections
from typing import NamedTuple

from chervilarch import endpoint_list, endpoint_state, pieces, routing_table
from chervilarch.pieces import PendingJob, PieceResult
from chervilarch.scheduling import homes

# Weight of the newest call in an endpoint's moving average of slowness.
_SLOWNESS_WEIGHT = 0.3
# Backoff after a failed call; it doubles with each failure up to the maximum.
FIRST_BACKOFF_S = 0.4
MAX_BACKOFF_S = 4.0
# Backoff of an endpoint that is full of other clients' work or results, as a
# share of the base time of a call; it doubles each time up to the maximum.
_FULL_BACKOFF_SHARE = 0.5
_MAX_FULL_BACKOFF_S = 0.6
_MAX_DOUBLINGS = 8
# A call this many times slower than configured makes its worker suspect. A
# suspect worker gets calls of at most this share of a full batch.
_SUSPECT_RATIO = 3.0
_SUSPECT_SHARE = 0.25
# Started jobs count as deadlocked if no call was sent for this long although
# two or more of them have queued pieces and a worker that may get work has a
# free slot. A wait for a better worker counts too.
_DEADLOCK_S = 0.3
# Estimates of the wait include endpoints that back off no longer than this.
_SHORT_BACKOFF_S = 1.0
# Delay accepted to avoid sending a byte to another data centre: 0.3 s for
# 10 MB, because that traffic is expensive for the users.
REMOTE_S_PER_BYTE = 0.03e-6
# At most this share of a job's spare time is spent on locality.
_SLACK_SHARE = 0.3


class Worker:
    """Load, speed and health of a worker: an endpoint that makes pieces."""

    def __init__(self, listing: endpoint_list.Listing):
        self.listing = listing
        self.calls = 0
        # Ratio of the time that calls take to the configured time.
        self.slowness = 1.0
        self.free_at = 0.0
        self.backoff_until = float("-inf")
        # When the worker's limit on requests, or a pause that it asked for,
        # allows the next call.
        self.paced_until = float("-inf")
        # Until when it is avoided after a reply without end, and whether it
        # then gets one call at a time.
        self.avoided_until = float("-inf")
        # When it may get the next call while it is cold.
        self.cold_until = float("-inf")
        self.is_on_trial = False
        self.failures = 0
        self.full_count = 0
        # Set by a failed or overdue call, cleared by one that is in time.
        self.is_suspect = False
        # Bytes that the results of running calls will need.
        self.reserved_bytes = 0
        self._results: dict[str, tuple[int, float]] = {}

    def run(self) -> endpoint_state.EndpointRun:
        """Returns the run of the endpoint."""
        entry = self.listing.entry
        return endpoint_state.EndpointRun(entry.name, entry.incarnation)

    def unavailable_until(self) -> float:
        """Returns the monotonic time from which it may get calls."""
        return max(self.backoff_until, self.closed_until())

    def closed_until(self) -> float:
        """Returns from when it may get calls, apart from its failures."""
        return max(self.paced_until, self.avoided_until, self.cold_until)

    def has_slot(self, max_calls: int) -> bool:
        """Returns whether it takes another call beside those that run."""
        return self.calls < (1 if self.is_on_trial else max_calls)

    def add_result(self, handle: str, size: int, until: float) -> None:
        """Counts a result's memory until a monotonic time."""
        self._results[handle] = (size, until)

    def remove_result(self, handle: str) -> None:
        """Stops counting a result's memory."""
        self._results.pop(handle, None)

    def used_bytes(self, now: float) -> int:
        """Returns the memory taken by results and reserved by calls."""
        for handle, (_, until) in list(self._results.items()):
            if until <= now:
                del self._results[handle]
        kept = sum(size for size, _ in self._results.values())
        return kept + self.reserved_bytes

    def record_time(self, ratio: float) -> None:
        """Records the time of a call that succeeded.

        Args:
            ratio: time that it took, as a multiple of the configured time.
        """
        self.slowness += _SLOWNESS_WEIGHT * (ratio - self.slowness)
        self.is_suspect = ratio > _SUSPECT_RATIO
        self.failures = 0
        self.full_count = 0

    def record_overdue(self, ratio: float) -> None:
        """Records that a running call exceeds its expected time.

        Args:
            ratio: time so far, as a multiple of the configured time.
        """
        self.slowness = max(self.slowness, ratio)
        self.is_suspect = True

    def record_failure(self, now: float) -> float:
        """Starts a backoff; returns its length in seconds."""
        self.is_suspect = True
        backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**self.failures)
        self.failures = min(self.failures + 1, _MAX_DOUBLINGS)
        self.backoff_until = now + backoff_s
        return backoff_s


class Batch(NamedTuple):
    """Pieces for one call.

    Attributes:
        worker: the endpoint that gets the call.
        pieces: jobs with piece numbers.
        expected_s: time that the call should take on this worker.
        nominal_s: time that the call takes by the configuration.
        result_bytes: memory reserved for its results.
    """

    worker: Worker
    pieces: list[tuple[PendingJob, int]]
    expected_s: float
    nominal_s: float
    result_bytes: int


class Backlog(NamedTuple):
    """Pieces that a pool has yet to make, seen from one priority.

    Attributes:
        queued: pieces in the queue at least as urgent.
        upcoming: pieces that started graphs will queue, at least as urgent.
        queued_behind: less urgent pieces in the queue.
        upcoming_behind: less urgent pieces that started graphs will queue.
    """

    queued: int
    upcoming: int
    queued_behind: int
    upcoming_behind: int


class PieceQueue:
    """Pending jobs of one pool, and the workers that make their pieces."""

    def __init__(
        self,
        pool: str,
        profile: routing_table.WorkerProfile,
        regions: homes.Regions | None = None,
    ):
        """Creates the queue without workers.

        Args:
            pool: name of the pool.
            profile: capacity of its workers.
            regions: the regions of data centres.
        """
        self._regions = regions or homes.Regions({})
        self.pool = pool
        self.profile = profile
        self.workers: dict[str, Worker] = {}
        # Workers that get no new calls but still count: they run calls, hold
        # results or asked for a pause, and may get work again.
        self._former: dict[str, Worker] = {}
        # Pieces of started graphs that will be queued later, by priority.
        self._upcoming: collections.Counter[int] = collections.Counter()
        self._blocked_since: float | None = None
        self._jobs: list[PendingJob] = []

    def set_endpoints(self, listed: dict[str, endpoint_list.Listing]) -> None:
        """Replaces the endpoints; a restarted one loses its statistics."""
        kept = {}
        known = self._former | self.workers
        for name, listing in listed.items():
            worker = known.pop(name, None)
            if worker is None or (
                worker.listing.entry.incarnation != listing.entry.incarnation
            ):
                worker = Worker(listing)
            worker.listing = listing
            kept[name] = worker
        self.workers = kept
        self._former = known

    def find_worker(self, name: str) -> Worker | None:
        """Returns a worker by id, also one that gets no new calls."""
        return self.workers.get(name) or self._former.get(name)

    def add(self, pending: PendingJob) -> None:
        """Queues a job unless it is queued; its pieces may be requeued ones."""
        if pending not in self._jobs:
            self._jobs.append(pending)

    def add_upcoming(self, priority: int, count: int) -> None:
        """Adds to the pieces that will be queued; a negative count removes."""
        self._upcoming[priority] += count

    def upcoming(self, priority: int | None = None) -> int:
        """Returns the number of pieces that will be queued later.

        Args:
            priority: counts only pieces at least as urgent, None for all.
        """
        if priority is None:
            return self._upcoming.total()
        return sum(
            count for p, count in self._upcoming.items() if p <= priority
        )

    def backlog(self) -> int:
        """Returns the number of queued pieces."""
        return sum(len(pending.queued_pieces) for pending in self._jobs)

    def backlog_of(self, priority: int) -> Backlog:
        """Returns the pieces yet to make, as seen from a priority."""
        queued = sum(
            len(pending.queued_pieces)
            for pending in self._jobs
            if pending.job.priority <= priority
        )
        upcoming = self.upcoming(priority)
        return Backlog(
            queued,
            upcoming,
            self.backlog() - queued,
            self.upcoming() - upcoming,
        )

    def waiting_jobs(self) -> list[PendingJob]:
        """Returns the jobs with queued pieces."""
        return [pending for pending in self._jobs if pending.queued_pieces]

    def call_s(self, count: int) -> float:
        """Returns the configured time of a call with `count` pieces."""
        return self.profile.call_overhead_s + count * self.profile.piece_s

    def allowed_workers(self, allowed: homes.Allowed) -> list[Worker]:
        """Returns the workers in some regions, None for all."""
        return [
            worker
            for worker in self.workers.values()
            if self._is_allowed(worker, allowed)
        ]

    def _is_allowed(self, worker: Worker, allowed: homes.Allowed) -> bool:
        data_centre = worker.listing.entry.data_centre
        return self._regions.allows(data_centre, allowed)

    def wait_s(
        self,
        priority: int,
        target_at: float,
        now: float,
        allowed: homes.Allowed = None,
    ) -> float:
        """Returns the estimated wait of a new job before its first call.

        Args:
            priority: rank of the job.
            target_at: monotonic time at which it should end.
            now: monotonic time.
            allowed: regions whose workers may make its pieces, None for all.
        """
        usable = self._usable(now + _SHORT_BACKOFF_S, allowed)
        if not usable:
            return self.call_s(1)
        own_key = (
            True,
            False,
            priority,
            int(target_at / pieces.TARGET_BUCKET_S),
        )
        jobs = [p for p in self._jobs if p.sort_key(now)[:4] <= own_key]
        # Less urgent pieces that are still to come will be passed.
        ahead = self.upcoming(priority) + sum(
            len(p.queued_pieces) for p in jobs
        )
        busy_s = min(max(0.0, w.free_at - now) for w in usable)
        if allowed is None:
            return busy_s + ahead / self._rate(usable)
        # All jobs share all workers, those of the same regions share these.
        all_usable = self._usable(now + _SHORT_BACKOFF_S)
        alike = sum(
            len(p.queued_pieces) for p in jobs if p.job.regions == allowed
        )
        return busy_s + max(
            ahead / self._rate(all_usable), alike / self._rate(usable)
        )

    def _rate(self, workers: list[Worker]) -> float:
        """Returns the pieces a second that workers make."""
        batch = self.profile.batch
        return sum(
            batch * self.profile.max_calls / (w.slowness * self.call_s(batch))
            for w in workers
        )

    def is_backed_up(self, priority: int | None = None) -> bool:
        """Returns whether over half a full batch for each worker waits.

        Args:
            priority: counts only pieces at least as urgent, None for all.
        """
        if priority is None:
            waiting = self.upcoming() + self.backlog()
        else:
            backlog = self.backlog_of(priority)
            waiting = backlog.queued + backlog.upcoming
        return waiting > self.profile.batch * max(1, len(self.workers)) / 2

    def forget_idle_workers(self, now: float) -> None:
        """Forgets workers that get no new calls and no longer count."""
        self._former = {
            name: worker
            for name, worker in self._former.items()
            if worker.calls
            or worker.used_bytes(now)
            or worker.unavailable_until() > now
        }

    def expire(self, now: float) -> list[PendingJob]:
        """Removes jobs that need no calls; returns those past deadline."""
        expired = [
            pending
            for pending in self._jobs
            if not pending.is_ended and pending.job.deadline_at <= now
        ]
        self._jobs = [
            pending
            for pending in self._jobs
            if pending.queued_pieces and pending not in expired
        ]
        return expired

    def next_batch(self, now: float) -> Batch | None:
        """Removes and returns the pieces of a call to send now, if any."""
        if not self.backlog():
            return None
        available = [
            worker
            for worker in self._usable(now)
            if worker.has_slot(self.profile.max_calls)
        ]
        if not available:
            return None
        free_memory = {
            worker: self._free_memory(worker, now) for worker in available
        }
        pool_free_memory = self._pool_free_memory(now)
        for pending in sorted(self._jobs, key=lambda p: p.sort_key(now)):
            # A job started without memory for its last piece could deadlock
            # with other started jobs.
            if not pending.queued_pieces or not (
                pending.is_started()
                or self._has_memory(pending, pool_free_memory, now)
            ):
                continue
            worker = self._choose_worker(pending, free_memory, now)
            if worker is not None:
                self._blocked_since = None
                return self._fill(
                    worker, pending, free_memory[worker], pool_free_memory, now
                )
        return None

    def _choose_worker(
        self, pending: PendingJob, free_memory: dict[Worker, float], now: float
    ) -> Worker | None:
        """Returns the worker for a job's next call, or None to wait.

        Args:
            pending: the job.
            free_memory: workers with a free slot and their free bytes.
            now: monotonic time in seconds.
        """
        allowed = pending.job.regions
        fitting = [
            w
            for w in free_memory
            if pending.result_bytes() <= free_memory[w]
            and self._is_allowed(w, allowed)
        ]
        if not fitting:
            return None
        # Waiting for a better worker pays only while no other job needs the
        # free ones.
        candidates = (
            fitting if self.is_backed_up() else self._usable(now, allowed)
        )
        best = min(candidates, key=lambda w: self._cost_s(pending, w, now))
        return best if best in fitting else None

    def _cost_s(self, pending: PendingJob, worker: Worker, now: float) -> float:
        """Returns the time to a job's results plus a cost of remote bytes."""
        count = min(len(pending.queued_pieces), self.profile.batch)
        is_free = worker.has_slot(self.profile.max_calls)
        wait_s = 0.0 if is_free else max(0.0, worker.free_at - now)
        call_s = worker.slowness * self.call_s(count)
        local_bytes = pending.local_bytes(worker.listing.entry.data_centre)
        remote_bytes = count * (pending.max_remote_bytes() - local_bytes)
        slack_s = max(0.0, pending.job.target_at - now - call_s)
        remote_s = min(remote_bytes * REMOTE_S_PER_BYTE, _SLACK_SHARE * slack_s)
        return wait_s + call_s + remote_s

    def _fill(
        self,
        worker: Worker,
        first: PendingJob,
        free_memory: float,
        pool_free_memory: float,
        now: float,
    ) -> Batch:
        """Builds a call of one job's pieces and fills it from other jobs."""
        data_centre = worker.listing.entry.data_centre
        others = sorted(
            (p for p in self._jobs if p is not first),
            key=lambda p: p.sort_key(now, data_centre),
        )
        batch_pieces: list[tuple[PendingJob, int]] = []
        size = 0
        for pending in [first, *others]:
            piece_bytes = pending.result_bytes()
            capacity = self._max_pieces(worker) - len(batch_pieces)
            if pending is not first and not self._may_join(
                pending, worker, now
            ):
                continue
            is_new = pending is not first and not pending.is_started()
            if is_new and not self._has_memory(pending, pool_free_memory, now):
                continue
            # This counts the need of a started job twice, which only keeps more
            # new jobs out of the call.
            pool_free_memory -= piece_bytes * len(pending.queued_pieces)
            fitting = (
                int((free_memory - size) // piece_bytes)
                if piece_bytes
                else capacity
            )
            for _ in range(min(capacity, fitting, len(pending.queued_pieces))):
                batch_pieces.append((pending, pending.pop_piece()))
                size += piece_bytes
        self._jobs = [
            pending for pending in self._jobs if pending.queued_pieces
        ]
        nominal_s = self.call_s(len(batch_pieces))
        expected_s = worker.slowness * nominal_s
        worker.calls += 1
        worker.reserved_bytes += size
        worker.free_at = now + expected_s
        return Batch(worker, batch_pieces, expected_s, nominal_s, size)

    def _may_join(
        self, pending: PendingJob, worker: Worker, now: float
    ) -> bool:
        """Returns whether a job joins a call to a worker.

        While little work waits, a new job doesn't join a call to another data
        centre than that of its best worker.
        """
        allowed = pending.job.regions
        if not self._is_allowed(worker, allowed):
            return False
        if self.is_backed_up() or pending.is_started():
            return True
        best = min(
            self._usable(now, allowed),
            key=lambda w: self._cost_s(pending, w, now),
        )
        return best is worker or best.listing.entry.data_centre == (
            worker.listing.entry.data_centre
        )

    def _max_pieces(self, worker: Worker) -> int:
        """Returns the most pieces that a worker may get in one call."""
        batch = self.profile.batch
        return (
            max(1, int(batch * _SUSPECT_SHARE)) if worker.is_suspect else batch
        )

    def break_deadlock(self, now: float) -> list[PieceResult]:
        """Restarts the last started job if started jobs block each other.

        Jobs whose pieces were lost may together need more memory than the
        pool has: each then holds results and waits for memory of the others.

        Returns:
            The results that the restarted job gives up, to be freed.
        """
        started = [p for p in self._jobs if p.queued_pieces and p.is_started()]
        has_slot = any(
            worker.has_slot(self.profile.max_calls)
            for worker in self._usable(now)
            if any(self._is_allowed(worker, p.job.regions) for p in started)
        )
        if len(started) < 2 or not has_slot:
            self._blocked_since = None
            return []
        if self._blocked_since is None:
            self._blocked_since = now
        if now - self._blocked_since < _DEADLOCK_S:
            return []
        self._blocked_since = None
        victim = max(started, key=lambda pending: pending.sort_key(now))
        return victim.restart()

    def _usable(
        self, now: float, allowed: homes.Allowed = None
    ) -> list[Worker]:
        return [
            worker
            for worker in self.allowed_workers(allowed)
            if worker.unavailable_until() <= now
        ]

    def _free_memory(self, worker: Worker, now: float) -> float:
        return self.profile.result_memory_bytes - worker.used_bytes(now)

    def _has_memory(
        self, pending: PendingJob, pool_free_memory: float, now: float
    ) -> bool:
        """Returns whether all results of a job that starts have memory."""
        needed_bytes = pending.result_bytes() * len(pending.queued_pieces)
        if needed_bytes > pool_free_memory:
            return False
        if pending.job.regions is None:
            return True
        workers = self.allowed_workers(pending.job.regions)
        return needed_bytes <= sum(self._free_memory(w, now) for w in workers)

    def _pool_free_memory(self, now: float) -> float:
        """Returns the free memory beyond the needs of started jobs."""
        needed_bytes = sum(
            len(pending.queued_pieces) * pending.result_bytes()
            for pending in self._jobs
            if pending.is_started()
        )
        workers = self.workers.values()
        return (
            sum(self._free_memory(worker, now) for worker in workers)
            - needed_bytes
        )

    def finish(self, batch: Batch) -> None:
        """Releases the slot and the reserved memory of a call."""
        batch.worker.calls -= 1
        for pending, piece in batch.pieces:
            pending.record_call_end(piece)
        batch.worker.reserved_bytes -= batch.result_bytes

    def back_off_full(self, worker: Worker, now: float) -> None:
        """Backs off from a worker that other clients keep full."""
        backoff_s = (
            _FULL_BACKOFF_SHARE
            * self.profile.call_overhead_s
            * 2**worker.full_count
        )
        worker.backoff_until = now + min(_MAX_FULL_BACKOFF_S, backoff_s)
        worker.full_count = min(worker.full_count + 1, _MAX_DOUBLINGS)
