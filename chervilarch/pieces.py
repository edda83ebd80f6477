"""Jobs of stage work: what is to be made, and what came of it."""

import collections
from concurrent.futures import Future
from typing import NamedTuple

# The configuration gives sizes of results as approximate: they are taken to
# be this much larger, and more so for a job that found no room.
_SIZE_FACTOR = 1.2
_NO_ROOM_FACTOR = 1.3
_MAX_SIZE_FACTOR = 2.0
# Refused callers are told to come back after this share of their time: close
# to a third, the longest that callers accept. What is refused would be late
# anyway, so it should find the crest over.
_RETRY_SHARE = 0.3
_MIN_RETRY_S = 0.2
# Jobs due within this time of each other are served by nearness, in seconds.
SAME_TIME_S = 0.25


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


def retry_after_s(left_s: float) -> float:
    """Returns when a caller should come back that has so much time left."""
    return max(_MIN_RETRY_S, _RETRY_SHARE * left_s)


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


SortKey = tuple[bool, bool, int, int, int]


class PendingJob:
    """A job with its pieces that are still to be made."""

    def __init__(self, job: Job, queued_at: float = 0.0):
        """Creates the job.

        Args:
            job: what is to be made.
            queued_at: monotonic time at which it began to wait, in seconds.
        """
        self.job = job
        self.queued_at = queued_at
        self.todo = list(range(job.count))
        self.results: list[PieceResult | None] = [None] * job.count
        self.errors = 0
        self.is_ended = False
        self._size_factor = _SIZE_FACTOR
        # How many running calls carry each piece.
        self._calls: collections.Counter[int] = collections.Counter()
        self.future: Future = Future()

    def sort_key(self, now: float, data_centre: str = "") -> SortKey:
        """Returns what jobs are sorted by.

        Jobs that were begun go first: their results take room until the last
        piece is made. Then those that can be on time. Among those that are
        due at about the same time, the ones near an endpoint go first.
        """
        job = self.job
        is_late = now > job.aim_at
        due = int(job.aim_at / SAME_TIME_S)
        far = -self.near_bytes(data_centre)
        return (not self.is_begun(), is_late, job.priority, due, far)

    def near_bytes(self, data_centre: str) -> int:
        """Returns the bytes that a piece doesn't move if made there."""
        return sum(size for name, size in self.job.near if name == data_centre)

    def all_near_bytes(self) -> int:
        """Returns the bytes that a piece moves at most."""
        return sum(size for _, size in self.job.near)

    def result_bytes(self) -> int:
        """Returns the room that one result is taken to need."""
        return int(self.job.result_bytes * self._size_factor)

    def note_no_room(self) -> None:
        """Learns that the results may be larger than was taken.

        An endpoint may as well hold results of a gatherer that is gone, so
        this is bounded: a job must not become too large for any endpoint.
        """
        self._size_factor = min(
            _MAX_SIZE_FACTOR, self._size_factor * _NO_ROOM_FACTOR
        )

    def is_begun(self) -> bool:
        """Tells whether a call has taken any of its pieces."""
        return len(self.todo) < self.job.count

    def made(self) -> list[PieceResult]:
        """Returns the results that are there."""
        return [result for result in self.results if result is not None]

    def take_piece(self) -> int:
        """Takes the next piece for a call."""
        piece = self.todo.pop(0)
        self._calls[piece] += 1
        return piece

    def note_call_ended(self, piece: int) -> None:
        """Counts a piece's call as ended."""
        self._calls[piece] -= 1

    def is_wanted(self, piece: int) -> bool:
        """Tells whether a piece has no result and isn't queued."""
        has_result = self.is_ended or self.results[piece] is not None
        return not has_result and piece not in self.todo

    def is_missing(self, piece: int) -> bool:
        """Tells whether a piece is wanted and no running call carries it."""
        return self.is_wanted(piece) and self._calls[piece] == 0

    def start_again(self) -> list[PieceResult]:
        """Gives up the results that are there; all pieces are to be made."""
        made = self.made()
        self.results = [None] * self.job.count
        self.todo = [p for p in range(self.job.count) if not self._calls[p]]
        return made

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
