"""Long work keeps to its part of a pool."""

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
    part = choice.part_for_length(views, units, long_work_seen)
    return {choice.choose(part, rng).address for _ in range(300)}


def test_long_work_never_takes_the_other_part(views):
    assert chosen(views, 30.0, False) == choice.long_homes(views)
    assert len(choice.long_homes(views)) == 3


def test_short_work_goes_anywhere_without_long_work(views):
    assert chosen(views, 1.0, False) == set("abcdef")


def test_short_work_leaves_the_long_part_while_it_can(views):
    homes = choice.long_homes(views)
    assert not chosen(views, 1.0, True) <= homes
    busy = [
        view if view.address in homes else view._replace(in_flight=4)
        for view in views
    ]
    assert chosen(busy, 1.0, True) <= homes


def test_a_pool_of_one_takes_all(views):
    assert chosen(views[:1], 30.0, True) == {"a"}
