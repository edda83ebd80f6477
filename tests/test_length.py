"""Long work is restricted to some endpoints of a pool."""

import random

import pytest

from chervilarch import choice


@pytest.fixture
def views():
    return [
        choice.EndpointView(name, True, 0, 0.0, 4.0, 0.1, 0.1)
        for name in "abcdef"
    ]


def chosen(views, units, long_work_seen):
    rng = random.Random(1)
    part = choice.filter_by_length(views, units, long_work_seen)
    return {choice.choose(part, rng).key for _ in range(300)}


def test_long_work_stays_on_its_endpoints(views):
    assert chosen(views, 30.0, False) == choice.long_work_endpoints(views)
    assert len(choice.long_work_endpoints(views)) == 3


def test_short_work_uses_any_endpoint_without_long_work(views):
    assert chosen(views, 1.0, False) == set("abcdef")


def test_short_work_prefers_other_endpoints_until_they_are_full(views):
    long_endpoints = choice.long_work_endpoints(views)
    assert not chosen(views, 1.0, True) <= long_endpoints
    busy = [
        view if view.key in long_endpoints else view._replace(in_flight=4)
        for view in views
    ]
    assert chosen(busy, 1.0, True) <= long_endpoints


def test_a_pool_of_one_takes_all_work(views):
    assert chosen(views[:1], 30.0, True) == {"a"}
