"""The configuration's fold and its controller never go back."""

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


def test_the_first_publish_on_a_base_wins(log):
    log.append("configuration", [publish(-1, 1), publish(-1, 2)])
    state = configuration.EMPTY
    first, second = log.page(0).records
    assert configuration.judge(state, first) == configuration.Accepted(0)
    state = configuration.fold(state, first)
    assert configuration.judge(state, second) == configuration.Lost(0)
    assert configuration.fold(state, second).document == {"v": 1}


def test_a_patch_that_does_not_fit_is_malformed():
    patch = [{"op": "remove", "path": "/missing"}]
    body = records.Publish("p", -1, patch, "")
    verdict = configuration.judge(
        configuration.EMPTY, records.Record(0, 0.0, body)
    )
    assert isinstance(verdict, configuration.Malformed)


def test_a_fold_skips_no_record(log):
    log.append("configuration", [publish(-1, 1), publish(0, 2)])
    _, second = log.page(0).records
    assert configuration.fold(configuration.EMPTY, second) == (
        configuration.EMPTY
    )


def test_a_reader_follows(log, make_controller):
    controller = make_controller()
    for value in range(5):
        log.append("configuration", [publish(value - 1, value)])
        controller.take_page(log.page(controller.next_offset()))
        assert controller.state.version == value


def test_a_fresh_reader_needs_a_base(log, make_controller):
    log.append("configuration", [publish(-1, 1)])
    log.expire_all()
    log.append("configuration", [publish(0, 2)])
    controller = make_controller()
    controller.take_page(log.page(controller.next_offset()))
    assert controller.state == configuration.EMPTY
    snapshot = records.Snapshot(0, 0, {"v": 1})
    log.append("configuration", [snapshot])
    controller.take_page(log.page(controller.next_offset()))
    assert controller.state.version == 1
    assert controller.state.document == {"v": 2}


def test_records_that_expired_unread_leave_no_false_state(log, make_controller):
    controller = make_controller()
    log.append("configuration", [publish(-1, 1)])
    controller.take_page(log.page(controller.next_offset()))
    log.append("configuration", [publish(0, 2)])
    log.expire_all()
    log.append("configuration", [publish(0, 3)])
    controller.take_page(log.page(controller.next_offset()))
    assert controller.state.version == 0
    log.append("configuration", [records.Snapshot(1, 1, {"v": 2})])
    for _ in range(2):
        controller.take_page(log.page(controller.next_offset()))
    assert controller.state.document == {"v": 2}


def test_a_peer_state_never_turns_back(log, make_controller):
    controller = make_controller()
    log.append("configuration", [publish(-1, 1), publish(0, 2)])
    controller.take_page(log.page(controller.next_offset()))
    controller.adopt(configuration.ConfigState(0, 0, {"v": 1}))
    assert controller.state.version == 1
    controller.adopt(configuration.ConfigState(5, 4, {"v": 9}))
    controller.take_page(log.page(0))
    assert controller.state.version == 4


@pytest.mark.parametrize("seed", range(30))
def test_any_history_ends_in_the_fold_of_the_whole_log(
    seed, log, make_controller
):
    rng = random.Random(seed)
    controllers = [make_controller() for _ in range(3)]
    whole = configuration.EMPTY
    highest = [-1] * 3
    for step in range(60):
        action = rng.random()
        if action < 0.4:
            base = rng.choice([whole.version, whole.version, -1])
            log.append("configuration", [publish(base, step)])
        elif action < 0.5 and whole.through >= 0:
            snapshot = records.Snapshot(*whole)
            log.append("configuration", [snapshot])
            log.first = rng.randint(log.first, whole.through + 1)
        elif action < 0.6:
            giver, taker = rng.sample(controllers, 2)
            taker.adopt(giver.state)
        for record in log.page(whole.through + 1).records:
            whole = configuration.fold(whole, record)
        number = rng.randrange(3)
        reader = controllers[number]
        reader.take_page(
            log.page(reader.next_offset(), limit=rng.randint(1, 5))
        )
        assert reader.state.version >= highest[number]
        highest[number] = reader.state.version
    log.append("configuration", [records.Snapshot(*whole)])
    for reader in controllers:
        for _ in range(len(log.bodies) * 3):
            reader.take_page(log.page(reader.next_offset(), limit=5))
        assert reader.state.version == whole.version
        assert reader.state.document == whole.document


def test_hosts_take_turns_to_write_a_snapshot():
    due = [
        config_controller.is_snapshot_due(31.0, 100.0, rank)
        for rank in range(3)
    ]
    assert due == [True, True, False]


def test_turns_are_over_before_a_short_retention_ends():
    assert config_controller.is_snapshot_due(1.5, 3.0, 3)
