"""Final calls that the coordinator places by their cost."""

import random

import gateway_world as gw
import loop_helpers as lh
import pytest
import test_stages

from chervilarch import (
    placement,
    routing_table,
    stage_coordination,
    stage_graph,
    stage_messages,
    stage_scheduler,
)
from chervilarch.scheduling import engine_load, prefix_cache

KEY = b"k" * 16
PARTS = tuple(prefix_cache.Part(*part) for part in (("a", 6000), ("b", 3000)))
PROMPT = engine_load.Prompt(PARTS, 0.5, 60, 0.5)
SIZE = stage_graph.PromptSize("s", b"a", 6000, 3000, PROMPT)
ENGINE_POOL = {
    "name": "s1",
    "engine": {"slots": 8, "kv_tokens": 90000, "stride": 6},
}


@pytest.fixture(name="env")
def fixture_env():
    loop, clock = lh.new_loop()
    runner = test_stages.FakeRunner()
    engines = placement.Placement(
        "dc1", clock, random.Random(1), lh.new_avoidances(clock)
    )
    profile = routing_table.EngineProfile(8, 90000, 6)
    engines.set_pools({"s": routing_table.Pool("s", engine_profile=profile)})
    engines.set_endpoints({"s": {"e8": lh.listing("e8", "s")}})
    scheduler = stage_scheduler.StageScheduler(loop, runner, engines)
    yield scheduler, runner, loop, clock
    loop.close()


def submit(env, name, *stages, prompt=PROMPT, objective_s=3.0):
    scheduler, _, loop, _ = env
    now = loop.now()
    graph = test_stages.build_graph(
        *stages,
        objective_at=now + objective_s,
        deadline_at=now + 60,
        name=name,
    )
    own = prefix_cache.Part(name, 20_000)
    prompt = prompt._replace(parts=(PARTS[0], own))
    return scheduler.run(graph._replace(prompt=SIZE._replace(prompt=prompt)))


def test_a_request_without_stages_gets_a_proposal(env):
    """Guards against prompts that each host places by its own calls only."""
    run = submit(env, "r1")
    assert run.future.result() == stage_graph.GraphResult((), "e8")


def test_messages_carry_the_prompt_and_what_became_of_it():
    graph = stage_graph.StageGraph("r1", "key", 1, 2.0, 8.0, (), "dc1", SIZE)
    placed = stage_graph.PlacedRequest("r1", True, False)
    for message in (
        stage_messages.StageMessage(stage_messages.Kind.SUBMIT, 1, graph),
        stage_messages.StageMessage(stage_messages.Kind.FREE, placed=placed),
    ):
        frame = stage_messages.encode(KEY, message, 0.0)
        assert stage_messages.decode(KEY, frame, 0.0) == message


def engine_answer(chunks, heads):
    """Returns a fake engine that records requests and sends a stream."""

    def serve(conn):
        heads.append(lh.read_head(conn))
        conn.sendall(chunks)

    return serve


@pytest.fixture(name="world")
def fixture_world():
    world = gw.World()
    yield world
    world.close()


@pytest.mark.parametrize(("event_tokens", "is_placed"), [(6, True), (3, False)])
def test_only_pause_sensitive_streams_are_placed_by_cost(
    world, event_tokens, is_placed
):
    """Guards against a change for deployments that didn't ask for it."""
    world.endpoint("e1", lh.answer_with(gw.stream(gw.events(0, 3))))
    pool = {**ENGINE_POOL, "engine": {"stride": event_tokens}}
    seen = []
    coordinator = world.ctrl.stage_coordinator
    submit_graph = coordinator.submit
    coordinator.submit = lambda graph: seen.append(graph) or submit_graph(graph)
    world.start(gw.stream_route_document(), services=(pool,))
    lh.run_until(world.loop, lambda: world.ctrl.configuration.table)
    received = world.fetch(
        gw.KEY,
        ("Token-Usage", "900,40"),
        ("Prompt-Prefix", "aa:600,bb:300"),
        ("Length-Hint", "24"),
    )
    assert gw.status(received) == 200
    assert bool(seen) == is_placed
    if is_placed:
        prompt = seen[0].prompt.prompt
        assert [part.tokens for part in prompt.parts] == [600, 300]
        assert prompt.output_tokens == 24 and prompt.gap_s == 0.5
        # Nothing stays behind at the coordinator.
        engines = coordinator._scheduler._engine_placement
        lh.run_until(world.loop, lambda: not engines._placed)


@pytest.mark.parametrize("hint", ["many", "-5", "1e400", "99999999999999"])
def test_an_odd_length_hint_harms_nothing(world, hint):
    """Guards against a hint that fails its request, or all of a host."""
    world.endpoint("e1", lh.answer_with(gw.stream(gw.events(0, 3))))
    world.start(gw.stream_route_document(), services=(ENGINE_POOL,))
    lh.run_until(world.loop, lambda: world.ctrl.configuration.table)
    received = world.fetch(
        gw.KEY, ("Token-Usage", "900,40"), ("Length-Hint", hint)
    )
    assert gw.status(received) == 200


def test_a_host_places_for_itself_if_the_coordinator_is_silent(world):
    """Guards against requests that wait for a coordinator that is gone."""
    world.endpoint("e1", lh.answer_with(gw.stream(gw.events(0, 3))))
    world.start(gw.stream_route_document(), services=(ENGINE_POOL,))
    lh.run_until(world.loop, lambda: world.ctrl.configuration.table)
    silent = stage_coordination.Peer("z9", ("127.0.0.1", 9), 9000)
    world.ctrl.stage_coordinator._live_peers = lambda: [silent]
    received = world.fetch(gw.KEY, ("Token-Usage", "900,40"))
    assert gw.status(received) == 200
