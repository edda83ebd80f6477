"""Placement of prompts by their cost: pure decisions on replayed loads."""

import random

import pytest

from chervilarch.scheduling import engine_choice, engine_load, prefix_cache

# Tokens of the two kinds of prompt that meet at engines, and how long their
# answers take to generate.
LONG_PARTS = (("base", 2500), ("subject", 3800), ("own", 2900))
SHORT_PARTS = (("base", 100), ("own", 600))
LONG_OUTPUT_S = 0.25
SHORT_OUTPUT_S = 1.2
GAP_S = 0.5


def prompt(parts=LONG_PARTS, output_s=LONG_OUTPUT_S, gap_s=GAP_S, suffix=""):
    return engine_load.Prompt(
        tuple(
            prefix_cache.Part(f"{name}{suffix}", tokens)
            for name, tokens in parts
        ),
        output_s,
        100,
        gap_s,
    )


@pytest.fixture(name="speed")
def fixture_speed():
    return engine_load.ReadSpeed()


def engines(speed, count, **fields):
    return [
        engine_choice.Candidate(
            f"e{number}", engine_load.EngineLoad(speed), **fields
        )
        for number in range(count)
    ]


def place(candidates, item, request_id, now, left_s=1.3):
    chosen = engine_choice.choose(candidates, item, left_s, now)
    chosen.load.add_prompt(request_id, item, now)
    return chosen


def test_a_long_prompt_avoids_engines_with_running_streams(speed):
    """Guards against long prompts that stop streams while engines idle."""
    busy, idle = engines(speed, 2)
    for number in range(4):
        busy.load.add_prompt(f"s{number}", prompt(SHORT_PARTS, 5.0), 0.0)
        busy.load.record_first_event(f"s{number}", 0.1)
    # The busy engine has even cached the first part.
    busy.load.add_prompt("warm", prompt(LONG_PARTS[:1]), 0.0)
    busy.load.record_first_event("warm", 0.1)
    assert place([busy, idle], prompt(), "long", 0.2) is idle


def test_a_long_stream_avoids_engines_that_read_long_prompts(speed):
    """Guards against streams that start where long prompts keep arriving."""
    reading, quiet = engines(speed, 2)
    for number in range(8):
        reading.load.add_prompt(f"l{number}", prompt(suffix=number), number / 2)
        reading.load.record_first_event(f"l{number}", number / 2 + 0.3)
    quiet.load.add_prompt("s", prompt(SHORT_PARTS, 0.5), 4.4)
    stream = prompt(SHORT_PARTS, 5.0)
    assert place([reading, quiet], stream, "stream", 4.5) is quiet


def test_a_prompt_goes_where_its_parts_are_cached(speed):
    """Guards against reading shared parts again while their engine is free."""
    first, second = engines(speed, 2)
    second.load.add_prompt("a", prompt(), 0.0)
    second.load.record_first_event("a", 0.3)
    assert place([first, second], prompt(), "b", 2.0) is second


def test_a_backlog_outweighs_cached_parts(speed):
    """Guards against one engine that gets every prompt of a popular subject."""
    candidates = engines(speed, 5)
    shared = prompt().parts[:2]
    used = set()
    for number in range(20):
        own = prefix_cache.Part(f"own{number}", 2900)
        item = prompt()._replace(parts=(*shared, own))
        used.add(place(candidates, item, f"r{number}", 0.01 * number).name)
    assert len(used) == 5


@pytest.fixture(name="replay")
def fixture_replay(speed):
    """Replays a burst of long prompts beside long streams.

    Twelve engines, one in three of them 1.3 times slower, get 30 prompts a
    second, of which 45 in 100 are long. Returns how many streams are made late,
    about, by the model of the load itself.
    """

    def run(choose):
        rng = random.Random(7)
        candidates = engines(speed, 12)
        for index, candidate in enumerate(candidates):
            candidate.load._slowness = 1.3 if index % 3 == 2 else 1.0
        now, late = 0.0, 0.0
        running = []
        for number in range(400):
            now += rng.expovariate(30.0)
            for item in [item for item in running if item[0] <= now]:
                running.remove(item)
                item[1](item[2], *item[3:])
            is_long = rng.random() < 0.45
            item = (
                prompt(suffix=rng.randrange(200))
                if is_long
                else prompt(SHORT_PARTS, SHORT_OUTPUT_S, suffix=number)
            )
            load = choose(candidates, item, number, now)
            read_s = load.read_s(load.uncached_tokens(item, now))
            late += load.late_streams(read_s, now)
            begins_at = now + load.add_prompt(f"r{number}", item, now)
            ends_at = begins_at + item.output_s
            running.append(
                (begins_at, load.record_first_event, f"r{number}", begins_at)
            )
            running.append((ends_at, load.record_end, f"r{number}"))
        return late

    return run


def test_a_burst_of_long_prompts_makes_few_streams_late(replay):
    """Guards against a burst that makes most streams late.

    The same prompts, placed in turn, make many times as many streams late.
    """

    def by_cost(items, item, number, now):
        return engine_choice.choose(items, item, 1.3, now).load

    def in_turn(items, item, number, now):
        return items[number % len(items)].load

    assert replay(by_cost) < replay(in_turn) / 4


def test_a_full_engine_is_chosen_only_if_all_are(speed):
    """Guards against an engine that gets more than its slots or memory."""
    full = engine_choice.Candidate(
        "full", engine_load.EngineLoad(speed), slots=1
    )
    full.load.add_prompt("a", prompt(SHORT_PARTS, 9.0), 0.0)
    small = engine_choice.Candidate(
        "small", engine_load.EngineLoad(speed, capacity_tokens=9000)
    )
    (slow,) = engines(speed, 1, transfer_s=5.0)
    assert place([full, small, slow], prompt(), "b", 0.1) is slow
    assert place([full, small], prompt(SHORT_PARTS), "c", 0.1) is small
    assert place([full], prompt(), "d", 0.1) is full


def test_an_overdue_first_event_counts_as_backlog(speed):
    """Guards against more prompts for an engine that has stopped reading."""
    (engine,) = engines(speed, 1)
    engine.load.add_prompt("a", prompt(), 0.0)
    calm_s = engine.load.backlog_s(0.0)
    assert engine.load.backlog_s(1.0) > calm_s
    # A prompt whose news was lost doesn't count for ever.
    assert not engine.load.is_full(prompt(), 1, 10.0)
    assert engine.load.backlog_s(10.0) == 0.0


def test_a_slow_engine_is_learned_and_avoided(speed):
    """Guards against an engine that is lastingly slower than the others."""
    slow, fast = engines(speed, 2)
    for number in range(10):
        for candidate, factor in ((slow, 1.6), (fast, 1.0)):
            now = 2.0 * number
            wait_s = factor * candidate.load.add_prompt(
                f"p{number}", prompt(suffix=number), now
            )
            candidate.load.record_first_event(f"p{number}", now + wait_s)
    assert slow.load.read_s(1000) > 1.2 * fast.load.read_s(1000)
    assert place([slow, fast], prompt(suffix="new"), "x", 40.0) is fast


def test_reading_speed_follows_prompts_that_were_read_alone(speed):
    """Guards against a speed that the prompts in the queue distort."""
    (engine,) = engines(speed, 1)
    for number in range(200):
        now = 3.0 * number
        engine.load.add_prompt(f"p{number}", prompt(suffix=number), now)
        read_s = 9200 / 20_000
        engine.load.record_first_event(
            f"p{number}", now + engine_load.OVERHEAD_S + read_s
        )
        engine.load.record_end(f"p{number}")
    assert speed.token_s == pytest.approx(1 / 20_000, rel=0.02)


def test_an_unknown_request_changes_nothing(speed):
    """Guards against news of requests that another coordinator placed."""
    (engine,) = engines(speed, 1)
    engine.load.record_first_event("unknown", 1.0)
    engine.load.record_end("unknown")
    assert engine.load.running() == 0


@pytest.mark.parametrize(
    ("gap_s", "event_tokens", "expected"),
    [
        (0.5, 6, True),
        (0.4, 5, True),
        (0.5, 3, False),
        (0.6, 4, False),
        (0.0, 6, False),
        (0.5, 0, False),
    ],
)
def test_only_streams_that_chunks_can_delay_are_sensitive(
    gap_s, event_tokens, expected
):
    """Guards against a change for deployments that don't need it."""
    assert engine_choice.is_pause_sensitive(gap_s, event_tokens) is expected


def test_cached_parts_count_only_with_all_before_them():
    """Guards against a part that is cached behind another prefix."""
    cache = prefix_cache.PrefixCache()
    parts = prompt().parts
    cache.record(parts[:2], 0.0)
    assert cache.cached_tokens(parts, 1.0) == 6300
    assert cache.cached_tokens(parts[1:], 1.0) == 0
    assert cache.cached_tokens(parts, 1.0 + prefix_cache.MAX_AGE_S) == 0


def test_the_longest_unused_prefixes_are_evicted():
    """Guards against memory that grows with each prompt."""
    cache = prefix_cache.PrefixCache(capacity_tokens=10_000)
    shared = prefix_cache.Part("base", 2000)
    for number in range(50):
        own = prefix_cache.Part(str(number), 3000)
        cache.record((shared, own), float(number) / 10)
    last = (shared, prefix_cache.Part("49", 3000))
    assert cache.cached_tokens(last, 5.0) == 5000
    first = (shared, prefix_cache.Part("0", 3000))
    assert cache.cached_tokens(first, 5.0) == 2000
