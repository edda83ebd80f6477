"""The queue of stage work."""

import loop_helpers as lh

from chervilarch import (
    pieces,
)

LIMITS = lh.PIECE_LIMITS


def job(name="r1", count=2, aim_at=10.0, priority=1, size=0, **changes):
    plain = pieces.Job(
        name, 0, "p", count, "key", (), aim_at, 100.0, priority, size
    )
    return pieces.PendingJob(plain._replace(**changes))


def taken(batch):
    return [(pending.job.request_id, piece) for pending, piece in batch.pieces]


def test_pieces_of_several_requests_share_a_call():
    queue = lh.piece_queue_of("e1")
    queue.add(job("a", 2))
    queue.add(job("b", 3))
    assert taken(queue.next_batch(0.0)) == [
        ("a", 0),
        ("a", 1),
        ("b", 0),
        ("b", 1),
    ]
    assert queue.next_batch(0.0) is None
    assert queue.backlog() == 1


def test_timely_jobs_go_before_late_ones_then_by_priority():
    queue = lh.piece_queue_of("e1")
    queue.add(job("late", 1, aim_at=1.0, priority=0))
    queue.add(job("low", 1, priority=2))
    queue.add(job("high", 1, priority=0))
    batch = queue.next_batch(2.0)
    assert [name for name, _ in taken(batch)] == ["high", "low", "late"]


def test_a_begun_job_goes_first():
    queue = lh.piece_queue_of("e1")
    begun = job("begun", 5, priority=9)
    queue.add(begun)
    queue.finish(queue.next_batch(0.0))
    queue.add(job("urgent", 4, priority=0))
    assert taken(queue.next_batch(0.0))[0] == ("begun", 4)


def test_a_job_is_begun_only_with_room_for_all_of_it():
    queue = lh.piece_queue_of("e1")
    queue.add(job("large", 5, size=200))
    assert queue.next_batch(0.0) is None
    queue.add(job("small", 2, size=100, priority=5))
    assert [name for name, _ in taken(queue.next_batch(0.0))] == ["small"] * 2


def test_room_is_taken_until_results_are_freed_or_expire():
    queue = lh.piece_queue_of("e1")
    worker = queue.workers["e1"]
    worker.keep("h1", 900, until=4.0)
    queue.add(job("a", 1, size=200))
    assert queue.next_batch(0.0) is None
    assert queue.next_batch(4.0) is not None
    worker.keep("h2", 900, until=9.0)
    worker.release("h2")
    assert worker.used_bytes(4.0) == worker.reserved_bytes


def test_a_job_without_room_is_taken_to_be_larger():
    pending = job("a", 1, size=100)
    before = pending.result_bytes()
    pending.note_no_room()
    assert pending.result_bytes() > before
    for _ in range(20):
        pending.note_no_room()
    assert pending.result_bytes() <= 2 * 100


def test_a_slow_endpoint_stays_idle_if_a_busy_one_ends_sooner():
    queue = lh.piece_queue_of("fast", "slow")
    queue.workers["slow"].slowness = 8.0
    queue.add(job("a", 1))
    assert queue.next_batch(0.0).worker is queue.workers["fast"]
    queue.add(job("b", 1))
    assert queue.next_batch(0.05) is None
    for number in range(5):
        queue.add(job(f"more{number}", 4))
    assert queue.next_batch(0.05).worker is queue.workers["slow"]


def test_a_job_goes_near_its_inputs_and_waits_a_little_for_that():
    queue = lh.piece_queue_of("e1", "e2", data_centres=("dc1", "dc2"))
    near = (("dc2", 8_000_000),)
    queue.add(job("a", 1, near=near))
    assert queue.next_batch(0.0).worker is queue.workers["e2"]
    queue.add(job("b", 1, near=near))
    assert queue.next_batch(0.05) is None
    queue.add(job("c", 1, near=(("dc1", 8_000_000),)))
    batch = queue.next_batch(0.05)
    assert batch.worker is queue.workers["e1"]
    assert taken(batch)[0] == ("c", 0)


def test_a_job_without_time_to_spare_waits_for_no_near_endpoint():
    queue = lh.piece_queue_of("e1", "e2", data_centres=("dc1", "dc2"))
    near = (("dc2", 8_000_000),)
    queue.add(job("a", 1, near=near))
    queue.next_batch(0.0)
    queue.add(job("b", 1, aim_at=0.2, near=near))
    assert queue.next_batch(0.0).worker is queue.workers["e1"]


def test_a_failed_endpoint_rests_and_longer_each_time():
    queue = lh.piece_queue_of("e1")
    worker = queue.workers["e1"]
    first, second = worker.note_failure(0.0), worker.note_failure(1.0)
    assert second == 2 * first
    queue.add(job("a", 1))
    assert queue.next_batch(1.0 + second / 2) is None
    assert queue.next_batch(1.0 + second) is not None


def test_an_endpoint_full_of_others_results_rests_longer_each_time():
    queue = lh.piece_queue_of("e1")
    worker = queue.workers["e1"]
    queue.rest_full(worker, 0.0)
    first = worker.resting_until
    queue.rest_full(worker, 0.0)
    assert worker.resting_until == 2 * first
    for _ in range(2000):
        queue.rest_full(worker, 0.0)
    assert worker.resting_until < 1.0
    worker.note_time(1.0)
    queue.rest_full(worker, 0.0)
    assert worker.resting_until == first


def test_a_suspect_endpoint_gets_small_calls_until_one_is_in_time():
    queue = lh.piece_queue_of("e1")
    worker = queue.workers["e1"]
    worker.note_failure(0.0)
    queue.add(job("a", 8))
    batch = queue.next_batch(10.0)
    assert len(batch.pieces) == 1
    queue.finish(batch)
    worker.note_time(1.0)
    assert len(queue.next_batch(11.0).pieces) == LIMITS.batch


def test_begun_jobs_that_block_each_other_give_up_results():
    queue = lh.piece_queue_of("e1")
    worker = queue.workers["e1"]
    stuck = [job(name, 2, size=400, priority=n) for n, name in enumerate("ab")]
    for pending in stuck:
        pending.todo = [1]
        handle = f"h{pending.job.request_id}"
        pending.results[0] = pieces.PieceResult(handle, "e1", "x", "dc1", "p")
        worker.keep(handle, 480, until=100.0)
        queue.add(pending)
    assert queue.next_batch(0.0) is None
    assert queue.take_victim(0.0) == []
    given_up = queue.take_victim(1.0)
    assert [result.handle for result in given_up] == ["hb"]
    worker.release("hb")
    assert taken(queue.next_batch(1.0)) == [("a", 1)]
    assert stuck[1].todo == [0, 1]


def test_jobs_past_their_deadline_are_handed_back():
    queue = lh.piece_queue_of("e1")
    late = job("late", 1, deadline_at=1.0)
    queue.add(late)
    assert queue.expire(0.5) == []
    assert queue.expire(1.0) == [late]
    assert queue.backlog() == 0


def test_a_second_result_of_a_piece_is_not_taken():
    pending = job("a", 1)
    result = pieces.PieceResult("h1", "e1", "x", "dc1", "p")
    assert pending.take_result(0, result)
    assert not pending.take_result(0, result._replace(handle="h2"))
    assert pending.future.result() == (result,)
