"""Choice, limits, admission, shares and budgets."""

import concurrent.futures
import random
import threading

import pytest

from chervilarch import (
    admission,
    budgets,
    choice,
    clocks,
    endpoint_state,
    endpoints,
    hosts,
    limits,
    metrics,
    shares,
)


def view(address, **fields):
    values = {
        "is_local": True,
        "in_flight": 0,
        "units": 0.0,
        "limit": 4.0,
        "latency_s": 0.1,
        "base_s": 0.1,
        **fields,
    }
    return choice.EndpointView(address, **values)


def chosen_shares(views, draws=2000, **kwargs):
    rng = random.Random(1)
    chosen = [choice.choose(views, rng, **kwargs) for _ in range(draws)]
    return {
        item.key: sum(c.key == item.key for c in chosen) / draws
        for item in views
    }


def test_faster_endpoints_get_more():
    views = [view("a"), view("b", latency_s=0.4), view("c")]
    got = chosen_shares(views)
    assert got["b"] < 0.05


def test_an_endpoint_with_an_old_attempt_gets_less():
    views = [view("a"), view("b", oldest_s=2.0), view("c")]
    assert chosen_shares(views)["b"] < 0.05


def test_an_endpoint_at_its_limit_is_not_chosen():
    views = [view("a", in_flight=4), view("b", in_flight=3)]
    assert chosen_shares(views) == {"a": 0.0, "b": 1.0}
    assert choice.choose(views[:1], random.Random(1)) is None


def test_an_old_load_report_has_less_weight():
    fresh = view("a", reported_load=10.0, report_age_s=0.0)
    old = view("a", reported_load=10.0, report_age_s=5.0)
    assert choice.expected_wait_s(old) < choice.expected_wait_s(fresh) / 3


def test_local_endpoints_are_preferred_until_they_are_loaded():
    views = [view("a"), view("b", is_local=False)]
    assert chosen_shares(views)["a"] == 1.0
    views = [view("a", in_flight=4), view("b", is_local=False)]
    assert chosen_shares(views)["b"] == 1.0


def test_a_prefix_goes_to_its_affinity_endpoint_until_that_is_loaded():
    views = [view(name) for name in "abcdef"]
    got = chosen_shares(views, prefix=b"a long dossier")
    preferred = max(got, key=got.get)
    assert got[preferred] == 1.0
    loaded = [
        item._replace(units=4.0, in_flight=2) if item.key == preferred else item
        for item in views
    ]
    assert chosen_shares(loaded, prefix=b"a long dossier")[preferred] < 1.0


def test_only_endpoints_in_time_are_considered():
    views = [view("a"), view("b", base_s=1.0)]
    assert [v.key for v in choice.timely(views, 1.0, 0.5)] == ["a"]


def state_after(unit_s, answers, in_flight=8, state=None):
    state = state or limits.after_answer(limits.LimitState(), 0.1, 1)
    for _ in range(answers):
        state = limits.after_answer(state, unit_s, in_flight)
    return state


def test_a_limit_grows_while_answers_are_quick():
    assert state_after(0.1, 50).limit > limits.INITIAL_LIMIT


def test_a_limit_shrinks_under_load():
    assert state_after(0.4, 30).limit < 1.0


def test_an_unused_limit_does_not_grow():
    assert state_after(0.1, 50, in_flight=1).limit == limits.INITIAL_LIMIT


def test_an_estimate_without_answers_decays_to_the_unloaded_time():
    state = state_after(0.4, 10)
    assert limits.decayed_latency_s(state, 60.0) == pytest.approx(
        state.base_s, rel=0.01
    )


def test_admission_counts_waits_and_service():
    estimates = [admission.StageEstimate(1.0, 0.2, 0.1, 4.0, 8.0)]
    wait_s = 4.0 * 0.2 / 8.0 * admission.WAIT_MARGIN
    assert admission.expected_s(estimates) == pytest.approx(0.2 + wait_s)
    assert admission.can_finish(estimates, 0.21 + wait_s)
    assert not admission.can_finish(estimates, 0.19 + wait_s)


def test_a_pool_without_estimates_admits_requests():
    assert admission.can_finish([admission.StageEstimate(1, 0, 0, 5, 0)], 0.01)


@pytest.mark.parametrize("hosts_count", [1, 3, 8])
def test_host_shares_never_exceed_the_fleet_limit(hosts_count):
    rng = random.Random(hosts_count)
    for _ in range(200):
        rates = [
            rng.choice([0.0, rng.random() * 50]) for _ in range(hosts_count)
        ]
        total = sum(
            shares.host_rate(
                100.0, rate, rates[:i] + rates[i + 1 :], hosts_count
            )
            for i, rate in enumerate(rates)
        )
        assert total <= 100.0 + 1e-6


def test_unreachable_hosts_keep_their_share_in_a_partition():
    alone = shares.host_rate(100.0, 50.0, [], 4)
    assert alone <= 25.0 + 1e-6


def test_a_bucket_admits_no_more_than_its_rate():
    bucket, taken = shares.Bucket(10.0, 0.0), 0
    for step in range(1000):
        bucket, admitted = shares.take_token(bucket, 10.0, step / 100)
        taken += admitted
    assert taken <= 10 + 10 * 10


def test_a_budget_bounds_extra_attempts():
    budget = budgets.Budget(0.1, tokens=0.0)
    extra = 0
    for _ in range(1000):
        budget.earn()
        extra += budget.spend()
    assert extra <= 100


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def table(clock):
    return endpoints.EndpointTable(
        "a", clock, metrics.Metrics(None), random.Random(1)
    )


def entry(address, state="live", incarnation=1):
    return hosts.HostEntry(
        address, address, "endpoint", "pool", "a", state, incarnation
    )


def test_a_leaving_endpoint_gets_nothing(table):
    table.update_list([entry("x")])
    table.mark_leaving("x", 1)
    assert isinstance(
        table.acquire(endpoint_state.Work("pool"), 0), endpoints.NoSlot
    )
    table.update_list([entry("x", incarnation=2)])
    assert isinstance(
        table.acquire(endpoint_state.Work("pool"), 0), endpoint_state.Slot
    )


def test_a_leaving_run_gets_nothing_when_the_list_lags(table):
    table.update_list([entry("x", "leaving")])
    table.mark_leaving("x", 1)
    table.update_list([entry("x", "live")])
    assert table.acquire(endpoint_state.Work("pool"), 0).is_pool_down


def test_failures_eject_an_endpoint_for_a_limited_time(table, clock):
    table.update_list([entry("x")])
    for _ in range(endpoint_state.EJECT_AFTER):
        slot = table.acquire(endpoint_state.Work("pool"), 0)
        table.finish(slot, 0.1, False)
    assert table.acquire(endpoint_state.Work("pool"), 0).is_pool_down
    clock.advance(endpoint_state.MAX_EJECT_S)
    assert isinstance(
        table.acquire(endpoint_state.Work("pool"), 0), endpoint_state.Slot
    )


def test_a_released_slot_can_be_acquired_again(table):
    table.update_list([entry("x")])
    slots = [table.acquire(endpoint_state.Work("pool"), 0) for _ in range(4)]
    assert isinstance(
        table.acquire(endpoint_state.Work("pool"), 0), endpoints.NoSlot
    )
    table.finish(slots[0], 0.1, True)
    assert isinstance(
        table.acquire(endpoint_state.Work("pool"), 0), endpoint_state.Slot
    )


def test_an_attempt_cut_by_its_deadline_never_grows_the_limit():
    state = state_after(0.1, 5)
    after = limits.after_lower_bound(state, 0.12)
    assert after.limit == state.limit
    assert after.latency_s > state.latency_s


@pytest.mark.parametrize("seed", range(5))
def test_uneven_work_alone_does_not_shrink_the_limit(seed):
    rng = random.Random(seed)
    state = limits.LimitState()
    for _ in range(500):
        state = limits.after_answer(state, rng.lognormvariate(-2, 0.3), 8)
    assert state.limit >= limits.INITIAL_LIMIT


def test_a_waiter_without_a_usable_endpoint_does_not_block_others(table, clock):
    table.update_list([entry("x"), entry("y")])
    pool = endpoint_state.Work("pool")
    slots = [table.acquire(pool, 0) for _ in range(8)]
    tried_x = endpoint_state.Work("pool", exclude=frozenset("x"))
    with concurrent.futures.ThreadPoolExecutor(2) as threads:
        first = threads.submit(table.acquire, tried_x, 1e9)
        while not table._queues["pool"]:
            threading.Event().wait(0.001)
        second = threads.submit(table.acquire, pool, 1e9)
        while len(table._queues["pool"]) < 2:
            threading.Event().wait(0.001)
        by_address = {slot.endpoint.key: slot for slot in slots}
        table.abandon(by_address["x"])
        got = second.result(10)
        assert got.endpoint.key == "x"
        table.abandon(by_address["y"])
        assert first.result(10).endpoint.key == "y"


def test_an_endpoint_removed_from_the_list_is_dropped(table):
    table.update_list([entry("x"), entry("y")])
    table.update_list([entry("y")])
    assert [item["address"] for item in table.describe()] == ["y"]


def test_a_limit_grows_while_streams_slow_down_moderately():
    state = limits.after_answer(limits.LimitState(), 0.1, 1, limits.STREAMS)
    for _ in range(100):
        state = limits.after_answer(state, 0.15, 8, limits.STREAMS)
    assert state.limit > limits.INITIAL_LIMIT


def test_a_limit_grows_fast_until_it_first_shrinks():
    state = limits.LimitState()
    for _ in range(60):
        state = limits.after_answer(state, 0.1, 200)
    assert state.limit >= 60
    state = state_after(0.4, 10, state=state)
    before = state.limit
    state = state_after(0.1, 5, in_flight=200, state=state)
    assert state.limit <= before + 5 * 0.5


@pytest.mark.parametrize("others", [[], ["y"]])
def test_the_best_time_of_a_pool_that_is_too_slow_is_estimated(table, others):
    table.update_list([entry(name) for name in ["x", *others]])
    work = endpoint_state.Work("pool", exclude=frozenset(others))
    table.finish(table.acquire(work, 0), 0.2, True)
    estimate = table.estimate("pool", 1.0, 0.005, priority=5)
    assert estimate.base_s == pytest.approx(0.2)


def test_work_that_an_attempt_passes_does_not_count_for_its_wait(table):
    # As in the gateway, where an urgent class was refused for less urgent work.
    table.update_list([entry("x")])
    table.finish(table.acquire(endpoint_state.Work("pool"), 0), 0.1, True)
    alone = table.estimate("pool", 1.0, 10.0, priority=2).backlog
    table.add_upcoming("pool", 3, 7)
    assert table.estimate("pool", 1.0, 10.0, priority=2).backlog == alone
    table.add_upcoming("pool", 2, 5)
    assert table.estimate("pool", 1.0, 10.0, priority=2).backlog == alone + 5
    assert table.estimate("pool", 1.0, 10.0, priority=3).backlog == alone + 12
