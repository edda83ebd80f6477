"""Tests of the fold of claims and of the controller that appends them."""

import threading
import types

import pytest
from helpers import FakeLog, new_key

from chervilarch import (
    calls,
    calls_controller,
    clocks,
    drain,
    metrics,
    records,
    server,
)

CALL = calls.CallKey("buyers", new_key())
CREATED_AT = calls.key_time(CALL.key)


def claim(name, digest="d", call=CALL):
    return records.Claim(name, call.account, call.key, digest)


def fold_all(*bodies, time=CREATED_AT):
    state = calls.CallState()
    for offset, body in enumerate(bodies):
        calls.fold(state, records.Record(offset, time, body))
    return state


def test_the_first_claim_holds():
    state = fold_all(claim("a"), claim("b"))
    assert state.holds(CALL, "a")
    assert not state.holds(CALL, "b")


def test_only_the_holder_releases():
    state = fold_all(claim("a"), records.Release("b", *CALL))
    assert state.holds(CALL, "a")
    state = fold_all(claim("a"), records.Release("a", *CALL), claim("b"))
    assert state.holds(CALL, "b")


def test_result_remains_after_a_release():
    result = records.Result("a", *CALL, "answer", 1)
    state = fold_all(claim("a"), result, records.Release("a", *CALL))
    assert state.entry(CALL).result == result


def test_released_key_accepts_only_the_same_request():
    state = fold_all(
        claim("a"), records.Release("a", *CALL), claim("b", digest="other")
    )
    assert not state.holds(CALL, "b")


@pytest.mark.parametrize(
    "age_s", [calls.MAX_KEY_AGE_S + 1, -calls.MAX_KEY_LEAD_S - 1]
)
def test_key_outside_its_time_window_is_not_claimed(age_s):
    assert not fold_all(claim("a"), time=CREATED_AT + age_s).holds(CALL, "a")


def test_accounts_do_not_share_keys():
    other = calls.CallKey("overseers", CALL.key)
    state = fold_all(claim("a"), claim("b", call=other))
    assert state.holds(CALL, "a")
    assert state.holds(other, "b")


def test_prune_removes_old_entries():
    state = fold_all(claim("a"))
    state.log_time = CREATED_AT + calls.MIN_RETENTION_S + 1
    assert calls.prune(state) == 1


@pytest.mark.parametrize(
    "key", ["", "x", "01800000-0000-4000-8000-000000000000", "0" * 32]
)
def test_only_a_canonical_uuid7_has_a_time(key):
    assert calls.key_time(key) is None


@pytest.fixture
def log():
    return FakeLog()


@pytest.fixture
def controller(log):
    clock = clocks.ManualClock(CREATED_AT)
    log.now = CREATED_AT
    controller = calls_controller.CallsController(
        log, clock, metrics.Metrics(None), writer_count=lambda: 1
    )
    controller.follower.last_read_started_at = clock.monotonic()
    controller.handle_page(log.page(0))
    return controller


def claim_in_background(controller, timeout_s):
    results = []
    thread = threading.Thread(
        target=lambda: results.append(controller.claim(CALL, "d", timeout_s))
    )
    thread.start()
    return thread, results


def pop_queued_claim(controller):
    while not controller._outbox:
        threading.Event().wait(0.001)
    return controller._outbox.popleft()


def test_a_claim_is_decided_by_reading_it_back(log, controller):
    thread, results = claim_in_background(controller, 30)
    body = pop_queued_claim(controller)
    assert not results
    log.append("calls", [body])
    controller.handle_page(log.page(0))
    thread.join()
    assert results == [calls_controller.Won(body.claim_id)]


def test_a_claim_behind_another_does_not_win(log, controller):
    thread, results = claim_in_background(controller, 30)
    body = pop_queued_claim(controller)
    log.append("calls", [claim("other"), body])
    controller.handle_page(log.page(0))
    thread.join()
    assert results[0].entry.claim_id == "other"


def test_abandoned_claim_that_the_log_shows_later_is_released(log, controller):
    thread, results = claim_in_background(controller, 0)
    thread.join()
    assert results == [calls_controller.Rejection.LOG_UNAVAILABLE]
    thread, results = claim_in_background(controller, 0.05)
    body = pop_queued_claim(controller)
    thread.join()
    log.append("calls", [body])
    controller.handle_page(log.page(0))
    group = controller._next_group()
    assert records.Release(body.claim_id, *CALL) in group


def test_claims_are_rejected_when_the_log_retains_too_little(log, controller):
    log.retention_s = calls.MIN_RETENTION_S - 1
    controller.handle_page(log.page(0))
    assert not controller.is_current()
    rejection = controller.claim(CALL, "d", 30)
    assert rejection is calls_controller.Rejection.LOG_UNAVAILABLE


def test_total_append_rate_of_many_hosts_is_limited():
    for writer_count in (1, 8, 350):
        rate = writer_count / calls_controller.append_period_s(writer_count)
        assert rate <= max(
            calls_controller.FLEET_APPENDS_PER_S,
            writer_count / calls_controller.MIN_APPEND_PERIOD_S,
        )
    assert 350 / calls_controller.append_period_s(350) <= 201


def test_a_host_is_not_ready_while_it_reads_the_claims(log):
    controller = calls_controller.CallsController(
        log, clocks.ManualClock(CREATED_AT), metrics.Metrics(None), lambda: 1
    )
    ctrl = types.SimpleNamespace(
        calls=controller,
        rules=types.SimpleNamespace(ruleset=object()),
        configuration=types.SimpleNamespace(contact_age_s=lambda: 0.0),
    )
    cfg = types.SimpleNamespace(bounds=types.SimpleNamespace(stale_after_s=5.0))
    app = server.Application(ctrl, cfg, drain.RequestTracker())
    assert "still being read" in app.not_ready_reason()
    # An unreachable log doesn't make every host unready.
    controller.follower._set_reachable(False, "refused")
    assert app.not_ready_reason() == ""
    controller.follower._set_reachable(True, "")
    controller.handle_page(log.page(0))
    assert "still being read" in app.not_ready_reason()
    controller.follower.last_read_started_at = CREATED_AT
    assert app.not_ready_reason() == ""
