"""Tests of the configuration's fold and controller; neither goes back."""

import random

import pytest
from helpers import FakeLog, publish

from chervilarch import (
    clocks,
    config_controller,
    configuration,
    metrics,
    records,
)


@pytest.fixture
def log():
    return FakeLog()


@pytest.fixture
def make_controller(log):
    def make():
        return config_controller.ConfigController(
            log,
            clocks.ManualClock(),
            metrics.Metrics(None),
            rank=lambda: 0,
            fetch=lambda address: None,
        )

    return make


def test_only_the_first_publish_on_a_base_is_accepted(log):
    log.append("configuration", [publish(-1, 1), publish(-1, 2)])
    state = configuration.EMPTY
    first, second = log.page(0).records
    assert configuration.evaluate_publish(
        state, first
    ) == configuration.Accepted(0)
    state = configuration.fold(state, first)
    assert configuration.evaluate_publish(
        state, second
    ) == configuration.Conflict(0)
    assert configuration.fold(state, second).document == {"v": 1}


def test_publish_with_a_patch_that_does_not_apply_is_malformed():
    patch = [{"op": "remove", "path": "/missing"}]
    body = records.Publish("p", -1, patch, "")
    result = configuration.evaluate_publish(
        configuration.EMPTY, records.Record(0, 0.0, body)
    )
    assert isinstance(result, configuration.Malformed)


def test_fold_ignores_a_record_after_a_gap(log):
    log.append("configuration", [publish(-1, 1), publish(0, 2)])
    _, second = log.page(0).records
    assert configuration.fold(configuration.EMPTY, second) == (
        configuration.EMPTY
    )


def test_controller_follows_the_log(log, make_controller):
    controller = make_controller()
    for value in range(5):
        log.append("configuration", [publish(value - 1, value)])
        controller.handle_page(log.page(controller.next_offset()))
        assert controller.state.version == value


def test_new_controller_needs_a_snapshot(log, make_controller):
    log.append("configuration", [publish(-1, 1)])
    log.expire_all()
    log.append("configuration", [publish(0, 2)])
    controller = make_controller()
    controller.handle_page(log.page(controller.next_offset()))
    assert controller.state == configuration.EMPTY
    snapshot = records.Snapshot(0, 0, {"v": 1})
    log.append("configuration", [snapshot])
    controller.handle_page(log.page(controller.next_offset()))
    assert controller.state.version == 1
    assert controller.state.document == {"v": 2}


def test_controller_waits_for_a_snapshot_after_records_expired_unread(
    log, make_controller
):
    controller = make_controller()
    log.append("configuration", [publish(-1, 1)])
    controller.handle_page(log.page(controller.next_offset()))
    log.append("configuration", [publish(0, 2)])
    log.expire_all()
    log.append("configuration", [publish(0, 3)])
    controller.handle_page(log.page(controller.next_offset()))
    assert controller.state.version == 0
    log.append("configuration", [records.Snapshot(1, 1, {"v": 2})])
    for _ in range(2):
        controller.handle_page(log.page(controller.next_offset()))
    assert controller.state.document == {"v": 2}


def test_an_older_state_never_replaces_a_newer_one(log, make_controller):
    controller = make_controller()
    log.append("configuration", [publish(-1, 1), publish(0, 2)])
    controller.handle_page(log.page(controller.next_offset()))
    controller.adopt(configuration.ConfigState(0, 0, {"v": 1}))
    assert controller.state.version == 1
    controller.adopt(configuration.ConfigState(5, 4, {"v": 9}))
    controller.handle_page(log.page(0))
    assert controller.state.version == 4


@pytest.mark.parametrize("seed", range(30))
def test_controllers_converge_to_the_fold_of_the_complete_log(
    seed, log, make_controller
):
    rng = random.Random(seed)
    controllers = [make_controller() for _ in range(3)]
    expected = configuration.EMPTY
    highest = [-1] * 3
    for step in range(60):
        action = rng.random()
        if action < 0.4:
            base = rng.choice([expected.version, expected.version, -1])
            log.append("configuration", [publish(base, step)])
        elif action < 0.5 and expected.through >= 0:
            snapshot = records.Snapshot(*expected)
            log.append("configuration", [snapshot])
            log.first_offset = rng.randint(
                log.first_offset, expected.through + 1
            )
        elif action < 0.6:
            source, target = rng.sample(controllers, 2)
            target.adopt(source.state)
        for record in log.page(expected.through + 1).records:
            expected = configuration.fold(expected, record)
        number = rng.randrange(3)
        controller = controllers[number]
        controller.handle_page(
            log.page(controller.next_offset(), limit=rng.randint(1, 5))
        )
        assert controller.state.version >= highest[number]
        highest[number] = controller.state.version
    log.append("configuration", [records.Snapshot(*expected)])
    for controller in controllers:
        for _ in range(len(log.bodies) * 3):
            controller.handle_page(log.page(controller.next_offset(), limit=5))
        assert controller.state.version == expected.version
        assert controller.state.document == expected.document


def test_snapshot_is_due_later_on_hosts_of_higher_rank():
    due = [
        config_controller.is_snapshot_due(31.0, 100.0, rank)
        for rank in range(3)
    ]
    assert due == [True, True, False]


def test_rank_delay_is_limited_by_a_short_retention():
    assert config_controller.is_snapshot_due(1.5, 3.0, 3)
