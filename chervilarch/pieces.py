"""Jobs (all pieces of one stage of one request), their progress and results."""

import collections
from typing import NamedTuple

from chervilarch.futures import Future
from chervilarch.scheduling import homes

# The configuration gives approximate sizes of results. Estimates add this
# margin, and grow each time an endpoint lacks the memory for a job's result.
_SIZE_FACTOR = 1.2
_SIZE_GROWTH = 1.3
_MAX_SIZE_FACTOR = 2.0
# A refused caller is asked to retry after this share of the time that it has
# left. Callers accept delays of up to a third of it. A long delay lets the load
# peak pass; a refused request would miss its objective in any case.
_RETRY_AFTER_SHARE = 0.3
_MIN_RETRY_AFTER_S = 0.2
# Jobs whose target times fall into the same bucket of this many seconds are
# ordered by locality.
TARGET_BUCKET_S = 0.25


class PieceResult(NamedTuple):
    """Where the output of a piece is held.

    Attributes:
        handle: the worker's name for the result.
        endpoint: id of the endpoint that holds it, the worker.
        address: address of the worker.
        data_centre: data centre of the worker.
        pool: pool of the worker.
    """

    handle: str
    endpoint: str
    address: str
    data_centre: str
    pool: str


class JobFailure(NamedTuple):
    """Why a job, or a graph of jobs, has no results.

    Attributes:
        reason: one of the constants below.
        retry_after_s: seconds after which the caller may retry.
    """

    reason: str
    retry_after_s: float = 0.5


def retry_after_s(left_s: float) -> float:
    """Returns after how long a refused caller with `left_s` should retry."""
    return max(_MIN_RETRY_AFTER_S, _RETRY_AFTER_SHARE * left_s)


PAST_DEADLINE = "late"
INPUT_GONE = "input gone"
OVERLOADED = "overloaded"
NO_ENDPOINT = "no endpoint"
FAILED = "failed"


class Job(NamedTuple):
    """All pieces of one stage of one request; times are monotonic seconds.

    Attributes:
        request_id: the caller's id of the request.
        stage: number of the stage.
        pool: pool that makes the pieces.
        count: number of pieces.
        input_key: names the input of a stage that depends on no other stage.
        inputs: handles of all results that the stage needs.
        target_at: when the stage should end for the answer to be on time.
        deadline_at: when its results become useless.
        priority: rank; 0 is the most urgent.
        result_bytes: approximate size of one result.
        transfer_bytes: bytes that each piece transfers from or to a
            data centre unless it is made there, "" for an unknown one.
        regions: regions whose workers may make the pieces, None for all.
    """

    request_id: str
    stage: int
    pool: str
    count: int
    input_key: str
    inputs: tuple[str, ...]
    target_at: float
    deadline_at: float
    priority: int
    result_bytes: int = 0
    transfer_bytes: tuple[tuple[str, int], ...] = ()
    regions: homes.Allowed = None


SortKey = tuple[bool, bool, int, int, int]


class PendingJob:
    """A job until it ends: its queued pieces, running calls and results."""

    def __init__(self, job: Job, queued_at: float = 0.0):
        """Creates the job.

        Args:
            job: the pieces to make.
            queued_at: monotonic time at which it was submitted, in seconds.
        """
        self.job = job
        self.queued_at = queued_at
        self.queued_pieces = list(range(job.count))
        self.results: list[PieceResult | None] = [None] * job.count
        self.errors = 0
        self.is_ended = False
        self._size_factor = _SIZE_FACTOR
        # Number of running calls that carry each piece.
        self._calls: collections.Counter[int] = collections.Counter()
        self.future: Future = Future()

    def sort_key(self, now: float, data_centre: str = "") -> SortKey:
        """Returns the key by which jobs are sorted; the lowest goes first.

        Started jobs precede others, because their results hold memory until
        the last piece is made. Then come the jobs that can still be on time,
        by priority and target time. Among jobs in one bucket of target times,
        those with more bytes in `data_centre` go first. Without `data_centre`,
        the bytes of an unknown data centre are compared instead.
        """
        job = self.job
        is_behind_target = now > job.target_at
        bucket = int(job.target_at / TARGET_BUCKET_S)
        negated_local_bytes = -self.local_bytes(data_centre)
        return (
            not self.is_started(),
            is_behind_target,
            job.priority,
            bucket,
            negated_local_bytes,
        )

    def local_bytes(self, data_centre: str) -> int:
        """Returns the bytes that a piece needn't transfer if made there."""
        return sum(
            size
            for name, size in self.job.transfer_bytes
            if name == data_centre
        )

    def max_remote_bytes(self) -> int:
        """Returns the bytes that a piece transfers if nothing is local."""
        return sum(size for _, size in self.job.transfer_bytes)

    def result_bytes(self) -> int:
        """Returns the estimated size of one result."""
        return int(self.job.result_bytes * self._size_factor)

    def raise_size_estimate(self) -> None:
        """Raises the estimate after an endpoint lacked memory for a result.

        The endpoint's memory may also be full of results for a coordinator
        that has failed. The estimate is bounded, so that the job doesn't
        become too large for every endpoint.
        """
        self._size_factor = min(
            _MAX_SIZE_FACTOR, self._size_factor * _SIZE_GROWTH
        )

    def is_started(self) -> bool:
        """Returns whether any of its pieces has left the queue."""
        return len(self.queued_pieces) < self.job.count

    def completed(self) -> list[PieceResult]:
        """Returns the results received so far."""
        return [result for result in self.results if result is not None]

    def pop_piece(self) -> int:
        """Removes the next queued piece and counts a call for it."""
        piece = self.queued_pieces.pop(0)
        self._calls[piece] += 1
        return piece

    def record_call_end(self, piece: int) -> None:
        """Records that a call with this piece ended."""
        self._calls[piece] -= 1

    def can_requeue(self, piece: int) -> bool:
        """Returns whether a piece has no result and isn't queued."""
        has_result = self.is_ended or self.results[piece] is not None
        return not has_result and piece not in self.queued_pieces

    def must_requeue(self, piece: int) -> bool:
        """Returns whether no queue entry, call or result covers a piece."""
        return self.can_requeue(piece) and self._calls[piece] == 0

    def drop_hedges(self) -> None:
        """Takes off the queue what running calls carry."""
        self.queued_pieces = [
            p for p in self.queued_pieces if not self._calls[p]
        ]

    def restart(self) -> list[PieceResult]:
        """Discards and returns the results; requeues what no call carries."""
        completed = self.completed()
        self.results = [None] * self.job.count
        self.queued_pieces = [
            p for p in range(self.job.count) if not self._calls[p]
        ]
        return completed

    def add_result(self, piece: int, result: PieceResult) -> bool:
        """Stores a result; False if the piece has one or the job ended."""
        if self.is_ended or self.results[piece] is not None:
            return False
        self.results[piece] = result
        if all(self.results):
            self.end(tuple(self.results))
        return True

    def end(self, value) -> None:
        """Resolves the future with the results or a failure, once."""
        if not self.is_ended:
            self.is_ended = True
            self.queued_pieces.clear()
            self.future.set_result(value)
