"""Estimates of the time that answers take to generate."""

import math
import random

import pytest

from chervilarch.scheduling import request_cost


@pytest.fixture(name="costs")
def fixture_costs():
    return request_cost.CostModel()


def size(hint=0, bound=0):
    return request_cost.Size(hint, bound)


def test_an_unknown_route_gets_a_prior(costs):
    expected = 100 * request_cost.PRIOR_TOKEN_S
    assert costs.estimate_s("r", "a", size(hint=100)) == pytest.approx(expected)
    assert costs.estimate_s("r", "a", size()) > 0


def test_hints_that_are_far_off_are_right_at_the_median(costs):
    """Replays answers whose lengths spread by factors around their hints."""
    rng = random.Random(3)
    ratios = []
    for _ in range(400):
        answer_s = 0.02 * 100 * math.exp(rng.gauss(0.0, 0.8))
        ratios.append(costs.observe("r", "a", size(hint=100), answer_s))
    late = sorted(ratios[200:])
    assert 0.8 < late[len(late) // 2] < 1.25


def test_accounts_of_one_route_differ(costs):
    """Guards against one account whose long answers count for all."""
    for _ in range(40):
        costs.observe("r", "long", size(hint=50), 4.0)
        costs.observe("r", "short", size(hint=50), 0.4)
    assert costs.estimate_s("r", "long", size(hint=50)) == pytest.approx(
        4.0, rel=0.2
    )
    assert costs.estimate_s("r", "short", size(hint=50)) == pytest.approx(
        0.4, rel=0.2
    )


def test_a_change_is_learned(costs):
    """Guards against old answers that outweigh a lasting change."""
    for seconds in [1.0] * 500 + [3.0] * 150:
        costs.observe("r", "a", size(hint=50), seconds)
    assert costs.estimate_s("r", "a", size(hint=50)) == pytest.approx(
        3.0, rel=0.1
    )


def test_dropped_routes_are_forgotten(costs):
    """Guards against an estimate of a route that was another one before."""
    for _ in range(50):
        costs.observe("r", "a", size(hint=50), 9.0)
    costs.keep_routes(["other"])
    prior = 50 * request_cost.PRIOR_TOKEN_S
    assert costs.estimate_s("r", "a", size(hint=50)) == pytest.approx(prior)


def test_absurd_hints_are_bounded(costs):
    """Guards against a caller whose hint is enormous."""
    assert size(hint=2**32 - 1, bound=160).expected_tokens() == 160
    costs.observe("r", "a", size(hint=2**32 - 1), 1e9)
    assert math.isfinite(costs.estimate_s("r", "a", size(hint=2**32 - 1)))


def test_memory_is_bounded(costs):
    for number in range(9000):
        costs.observe("r", f"a{number}", size(hint=5), 0.1)
    assert len(costs._accounts) <= 4096
