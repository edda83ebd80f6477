"""Tests of the piece queue: order, batches, locality, memory, backoff."""

import loop_helpers as lh

from chervilarch import pieces

WORKER_PROFILE = lh.WORKER_PROFILE


def job(name="r1", count=2, target_at=10.0, priority=1, size=0, **changes):
    plain = pieces.Job(
        name, 0, "p", count, "key", (), target_at, 100.0, priority, size
    )
    return pieces.PendingJob(plain._replace(**changes))


def contents(batch):
    return [(pending.job.request_id, piece) for pending, piece in batch.pieces]


def test_pieces_of_several_requests_share_a_call():
    queue = lh.piece_queue_of("e1")
    queue.add(job("a", 2))
    queue.add(job("b", 3))
    assert contents(queue.next_batch(0.0)) == [
        ("a", 0),
        ("a", 1),
        ("b", 0),
        ("b", 1),
    ]
    assert queue.next_batch(0.0) is None
    assert queue.backlog() == 1


def test_jobs_on_time_go_before_late_ones_then_by_priority():
    queue = lh.piece_queue_of("e1")
    queue.add(job("late", 1, target_at=1.0, priority=0))
    queue.add(job("low", 1, priority=2))
    queue.add(job("high", 1, priority=0))
    batch = queue.next_batch(2.0)
    assert [name for name, _ in contents(batch)] == ["high", "low", "late"]


def test_a_started_job_goes_first():
    queue = lh.piece_queue_of("e1")
    started = job("started", 5, priority=9)
    queue.add(started)
    queue.finish(queue.next_batch(0.0))
    queue.add(job("urgent", 4, priority=0))
    assert contents(queue.next_batch(0.0))[0] == ("started", 4)


def test_a_job_starts_only_with_memory_for_all_its_results():
    queue = lh.piece_queue_of("e1")
    queue.add(job("large", 5, size=200))
    assert queue.next_batch(0.0) is None
    queue.add(job("small", 2, size=100, priority=5))
    assert [name for name, _ in contents(queue.next_batch(0.0))] == [
        "small"
    ] * 2


def test_results_hold_memory_until_they_are_freed_or_expire():
    queue = lh.piece_queue_of("e1")
    worker = queue.workers["e1"]
    worker.add_result("h1", 900, until=4.0)
    queue.add(job("a", 1, size=200))
    assert queue.next_batch(0.0) is None
    assert queue.next_batch(4.0) is not None
    worker.add_result("h2", 900, until=9.0)
    worker.remove_result("h2")
    assert worker.used_bytes(4.0) == worker.reserved_bytes


def test_lack_of_memory_raises_the_size_estimate_up_to_a_bound():
    pending = job("a", 1, size=100)
    before = pending.result_bytes()
    pending.raise_size_estimate()
    assert pending.result_bytes() > before
    for _ in range(20):
        pending.raise_size_estimate()
    assert pending.result_bytes() <= 2 * 100


def test_a_slow_worker_stays_idle_if_a_busy_one_ends_sooner():
    queue = lh.piece_queue_of("fast", "slow")
    queue.workers["slow"].slowness = 8.0
    queue.add(job("a", 1))
    assert queue.next_batch(0.0).worker is queue.workers["fast"]
    queue.add(job("b", 1))
    assert queue.next_batch(0.05) is None
    for number in range(5):
        queue.add(job(f"more{number}", 4))
    assert queue.next_batch(0.05).worker is queue.workers["slow"]


def test_a_job_waits_a_little_for_a_worker_that_is_local_to_its_inputs():
    queue = lh.piece_queue_of("e1", "e2", data_centres=("dc1", "dc2"))
    in_dc2 = (("dc2", 8_000_000),)
    queue.add(job("a", 1, transfer_bytes=in_dc2))
    assert queue.next_batch(0.0).worker is queue.workers["e2"]
    queue.add(job("b", 1, transfer_bytes=in_dc2))
    assert queue.next_batch(0.05) is None
    queue.add(job("c", 1, transfer_bytes=(("dc1", 8_000_000),)))
    batch = queue.next_batch(0.05)
    assert batch.worker is queue.workers["e1"]
    assert contents(batch)[0] == ("c", 0)


def test_a_job_without_spare_time_does_not_wait_for_a_local_worker():
    queue = lh.piece_queue_of("e1", "e2", data_centres=("dc1", "dc2"))
    in_dc2 = (("dc2", 8_000_000),)
    queue.add(job("a", 1, transfer_bytes=in_dc2))
    queue.next_batch(0.0)
    queue.add(job("b", 1, target_at=0.2, transfer_bytes=in_dc2))
    assert queue.next_batch(0.0).worker is queue.workers["e1"]


def test_backoff_after_failures_doubles():
    queue = lh.piece_queue_of("e1")
    worker = queue.workers["e1"]
    first, second = worker.record_failure(0.0), worker.record_failure(1.0)
    assert second == 2 * first
    queue.add(job("a", 1))
    assert queue.next_batch(1.0 + second / 2) is None
    assert queue.next_batch(1.0 + second) is not None


def test_backoff_from_a_full_worker_doubles_up_to_a_bound():
    queue = lh.piece_queue_of("e1")
    worker = queue.workers["e1"]
    queue.back_off_full(worker, 0.0)
    first = worker.backoff_until
    queue.back_off_full(worker, 0.0)
    assert worker.backoff_until == 2 * first
    for _ in range(2000):
        queue.back_off_full(worker, 0.0)
    assert worker.backoff_until < 1.0
    worker.record_time(1.0)
    queue.back_off_full(worker, 0.0)
    assert worker.backoff_until == first


def test_a_suspect_worker_gets_small_calls_until_one_is_in_time():
    queue = lh.piece_queue_of("e1")
    worker = queue.workers["e1"]
    worker.record_failure(0.0)
    queue.add(job("a", 8))
    batch = queue.next_batch(10.0)
    assert len(batch.pieces) == 1
    queue.finish(batch)
    worker.record_time(1.0)
    assert len(queue.next_batch(11.0).pieces) == WORKER_PROFILE.batch


def test_a_deadlock_of_started_jobs_restarts_the_last_of_them():
    queue = lh.piece_queue_of("e1")
    worker = queue.workers["e1"]
    blocked = [
        job(name, 2, size=400, priority=n) for n, name in enumerate("ab")
    ]
    for pending in blocked:
        pending.queued_pieces = [1]
        handle = f"h{pending.job.request_id}"
        pending.results[0] = pieces.PieceResult(handle, "e1", "x", "dc1", "p")
        worker.add_result(handle, 480, until=100.0)
        queue.add(pending)
    assert queue.next_batch(0.0) is None
    assert queue.break_deadlock(0.0) == []
    discarded = queue.break_deadlock(1.0)
    assert [result.handle for result in discarded] == ["hb"]
    worker.remove_result("hb")
    assert contents(queue.next_batch(1.0)) == [("a", 1)]
    assert blocked[1].queued_pieces == [0, 1]


def test_expire_returns_jobs_past_their_deadline():
    queue = lh.piece_queue_of("e1")
    late = job("late", 1, deadline_at=1.0)
    queue.add(late)
    assert queue.expire(0.5) == []
    assert queue.expire(1.0) == [late]
    assert queue.backlog() == 0


def test_a_second_result_of_a_piece_is_rejected():
    pending = job("a", 1)
    result = pieces.PieceResult("h1", "e1", "x", "dc1", "p")
    assert pending.add_result(0, result)
    assert not pending.add_result(0, result._replace(handle="h2"))
    assert pending.future.result() == (result,)
