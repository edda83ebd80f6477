"""A stream isn't ended while its silent engine may still go on."""

import json
import threading
import time
from unittest import mock

import loop_helpers as lh
import pytest
from gateway_world import (
    KEY,
    answer,
    decline,
    events,
    stream,
    stream_route_document,
)

from chervilarch import (
    byte_room,
    http_client,
    http_server,
    permits,
    reachability,
    stream_call,
    tasks,
)
from chervilarch.futures import Future
from chervilarch.scheduling import unread_answers

PIECES = {
    "slots": 1,
    "queue": 2,
    "batch": 4,
    "call_ms": 50.0,
    "item_ms": 5.0,
    "headroom_mb": 1.0,
    "handle_s": 4.0,
}
_HEAD = stream(b"").partition(b"Transfer-Encoding")[0] + b"\r\n"


class SilentEngine:
    """Falls silent within its stream until it is told to go on.

    Attributes:
        has_begun: whether it sends events before.
        is_open: whether the connection was open when it went on.
    """

    def __init__(self, before):
        self._before = before
        self.has_begun = bool(before)
        self._go_on = threading.Event()
        self.is_open = None

    def go_on(self):
        self._go_on.set()

    def serve(self, conn):
        if not lh.read_request(conn):
            return  # The connection was only checked.
        if self._before:
            conn.sendall(_HEAD + self._before)
        assert self._go_on.wait(lh.TIMEOUT_S)
        conn.setblocking(False)
        try:
            self.is_open = bool(conn.recv(1))
        except BlockingIOError:
            self.is_open = True
        conn.setblocking(True)
        start = b"" if self._before else _HEAD
        conn.sendall(start + events(3, 4))


@pytest.fixture(autouse=True)
def stalls(monkeypatch):
    """Sets the times of stalls; both are long unless a test shortens them."""

    def set_times(first_event_s=2 * lh.TIMEOUT_S, gap_s=2 * lh.TIMEOUT_S):
        monkeypatch.setattr(stream_call, "_FIRST_EVENT_EXTRA_S", first_event_s)
        monkeypatch.setattr(stream_call, "_MIN_GAP_S", gap_s)

    set_times()
    return set_times


@pytest.fixture(params=["first event", "next event"])
def silent(request, world, stalls):
    """An engine that is silent before its first event, or after some."""
    if request.param == "first event":
        engine = SilentEngine(b"")
        stalls(first_event_s=0.0)
    else:
        engine = SilentEngine(events(1, 2))
        stalls(gap_s=0.02)
    world.endpoint("e1", engine.serve)
    return engine


def start(world, services=({"name": "s1"},), **changes):
    route = stream_route_document(target_latency_ms=40, **changes)
    world.start({**route, "gap_aim_ms": 10}, services=services)


def no_other_engine(world, refused):
    pick = world.ctrl.placement.pick

    def observed(requirements, tried):
        lease = pick(requirements, tried)
        if lease is None:
            refused()
        return lease

    world.ctrl.placement.pick = observed


def no_retry_left(world, refused):
    world.endpoint("e2", lh.answer_with(b""))
    world.ctrl.placement.pick = first_of(world.ctrl.placement.pick)

    def spend(pool, now):
        refused()
        return False

    world.ctrl.retry_budgets.spend = spend


def prompt_is_suspect(world, refused):
    world.endpoint("e2", lh.answer_with(b""))
    world.ctrl.placement.pick = first_of(world.ctrl.placement.pick)

    def is_suspect(prompt):
        refused()
        return True

    world.ctrl.prompt_guard.is_suspect = is_suspect


def other_engine_is_down(world, refused):
    """The list still names an engine that refuses connections."""
    world.endpoint("e2", lh.answer_with(b"")).close()
    world.ctrl.placement.pick = first_of(world.ctrl.placement.pick)
    no_other_engine(world, refused)


def first_of(pick):
    """Returns a `pick` that chooses engines in the order of their names."""

    def pick_first(requirements, tried):
        names = {"e1", "e2", "e3"}
        return pick(
            requirements, tried | (names - {min(names - tried, default="")})
        )

    return pick_first


@pytest.mark.parametrize(
    "obstacle",
    [no_other_engine, other_engine_is_down, no_retry_left, prompt_is_suspect],
)
def test_a_silent_engine_is_kept_while_nothing_can_replace_it(
    world, silent, obstacle
):
    obstacle(world, silent.go_on)
    start(world)
    received = world.fetch(KEY)
    assert silent.is_open
    assert events(3, 4) in received and received.endswith(b"0\r\n\r\n")


def test_a_silent_engine_that_is_kept_is_trusted_less(world, silent):
    world.ctrl.answered_routes.add("r1")
    trusted = []

    def refused():
        engine = world.ctrl.placement._pools["s1"]["e1"]
        trusted.append(engine.suspect_until <= world.loop.now())
        silent.go_on()

    no_other_engine(world, refused)
    start(world)
    world.fetch(KEY)
    assert not trusted[0]


def test_a_check_that_raises_leaves_no_slot_taken(world, silent, monkeypatch):
    def check(loop, address, timeout_s):
        world.loop.call_later(0.0, silent.go_on)
        raise OSError("no socket is left")

    monkeypatch.setattr(stream_call.reachability, "check", check)
    world.endpoint("e2", lh.answer_with(b""))
    world.ctrl.placement.pick = first_of(world.ctrl.placement.pick)
    start(world)
    assert events(3, 4) in world.fetch(KEY)
    assert not world.ctrl.placement._pools["s1"]["e2"].slots


def test_an_engine_is_not_blamed_for_a_pause_while_it_was_checked(
    world, silent, monkeypatch
):
    """The time for the connection ran out while this process stood still."""
    check = stream_call.reachability.check
    blamed = []

    def check_over_a_pause(loop, address, timeout_s):
        monkeypatch.setattr(stream_call.reachability, "check", check)
        checked = Future()

        def resume():
            loop.resumed_at = loop.now()
            checked.set_result(reachability.Reachability.UNKNOWN)

        loop.call_soon(resume)
        return checked

    def blame(lease):
        blamed.append(lease)
        world.ctrl.placement.abandon(lease)
        silent.go_on()

    monkeypatch.setattr(stream_call.reachability, "check", check_over_a_pause)
    world.ctrl.placement.finish_unreachable = blame
    world.endpoint("e2", lh.answer_with(stream(events(3, 4))))
    world.ctrl.placement.pick = first_of(world.ctrl.placement.pick)
    start(world)
    assert events(3, 4) in world.fetch(KEY)
    silent.go_on()
    assert not blamed


class HeldStage:
    """A worker that answers one of its calls only once it is released.

    Attributes:
        calls: number of calls so far.
        freed_handles: handles that it was told to free.
        is_called: whether the call that it holds has come.
    """

    def __init__(self, held_call=2):
        self._held_call = held_call
        self.calls = 0
        self.freed_handles = []
        self.is_called = threading.Event()
        self.release = threading.Event()

    def serve(self, conn):
        request = lh.read_request(conn)
        if b"\r\n\r\n" not in request:
            return  # The call was cancelled.
        document = json.loads(request.partition(b"\r\n\r\n")[2])
        if b"stage-free" in request.partition(b"\r\n")[0]:
            self.freed_handles += document["handles"]
            conn.sendall(answer(200, b"{}"))
            return
        self.calls += 1
        number = self.calls
        if number == self._held_call:
            self.is_called.set()
            assert self.release.wait(lh.TIMEOUT_S)
        made = json.dumps({"items": [{"handle": f"h{number}"}]}).encode()
        conn.sendall(answer(200, made))


def start_with_stage(world, handle_s=4.0, **changes):
    pieces = {**PIECES, "handle_s": handle_s}
    start(
        world,
        services=({"name": "s1"}, {"name": "p1", "pieces": pieces}),
        stages=[{"service": "p1", "after": [], "bytes": 100}],
        **changes,
    )


def send_with_stage(world):
    return world.send(
        KEY, ("Connection", "close"), ("Pieces", "1"), ("Piece-Key", "pk")
    )


@pytest.fixture
def held_stage(request, world, stalls):
    """A stage before the stream; its engines are e1, silent, and e2."""
    stalls(gap_s=0.02)
    stage = HeldStage()
    engine = SilentEngine(events(1, 2))
    requests = []
    world.endpoint("e1", engine.serve)
    resumed = stream(events(3, 4)).replace(b"s1", b"s2")
    world.endpoint("e2", lh.answer_with(resumed, requests))
    world.endpoint("m1", stage.serve, pool="p1")
    world.ctrl.placement.pick = first_of(world.ctrl.placement.pick)
    start_with_stage(world, handle_s=getattr(request, "param", 4.0))
    conn = send_with_stage(world)
    lh.run_until(world.loop, stage.is_called.is_set)
    yield stage, engine, requests, conn
    stage.release.set()
    engine.go_on()


def test_an_engine_that_goes_on_while_its_replacement_is_prepared_is_kept(
    world, held_stage
):
    stage, engine, requests, conn = held_stage
    engine.go_on()
    received = lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)
    # Its connections are only checked.
    assert engine.is_open and not any(requests)
    assert received.endswith(events(3, 4) + b"\r\n0\r\n\r\n<EOF>")
    stage.release.set()
    lh.run_until(world.loop, lambda: "h2" in stage.freed_handles)


def test_a_silent_engine_is_left_once_its_replacement_is_sent(
    world, held_stage
):
    stage, engine, requests, conn = held_stage
    stage.release.set()
    received = lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)
    # Two connections only check that the engine accepts them: before the stages
    # run again and after.
    lh.run_until(world.loop, lambda: len(requests) >= 3)
    *checks, resumed = sorted(requests)
    assert checks == [b"", b""] and b"Last-Event-Id: 2" in resumed
    assert received.endswith(events(3, 4) + b"\r\n0\r\n\r\n<EOF>")
    engine.go_on()
    lh.run_until(world.loop, lambda: engine.is_open is not None)
    assert not engine.is_open


def test_a_replacement_that_is_not_needed_costs_no_retry(world, held_stage):
    _, engine, _, conn = held_stage
    budget = world.ctrl.retry_budgets._budget("s1")
    spent = budget.tokens
    engine.go_on()
    lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)
    assert budget.tokens >= spent + 1.0


def test_a_slow_caller_is_not_taken_for_a_silent_engine(
    world, stalls, monkeypatch
):
    # The reply is left unread once this much of the answer is.
    size = http_server.WRITE_HIGH_BYTES
    world.ctrl.client.room.bounds = byte_room.Bounds(size, size, size)
    monkeypatch.setattr(unread_answers, "LAST_WAIT_S", 2 * lh.TIMEOUT_S)
    count = 2000
    big = b"".join(
        b"id: %d\ndata: %s\n\n" % (number, b"x" * 4000)
        for number in range(1, count + 1)
    )
    requests = []
    world.endpoint("e1", lh.answer_with(stream(big)))
    world.endpoint("e2", lh.answer_with(stream(b""), requests))
    world.ctrl.placement.pick = first_of(world.ctrl.placement.pick)
    start(world)
    paused = []
    pause, resume = http_client.Transfer.pause, http_client.Transfer.resume

    def pause_and_stall(transfer):
        pause(transfer)
        stalls(gap_s=0.02)
        world.loop.call_later(0.2, lambda: paused.append(transfer))

    def resume_and_wait(transfer):
        stalls()
        resume(transfer)

    with (
        mock.patch.object(http_client.Transfer, "pause", pause_and_stall),
        mock.patch.object(http_client.Transfer, "resume", resume_and_wait),
    ):
        conn = world.send(KEY, ("Connection", "close"))
        lh.run_until(world.loop, lambda: paused or requests)
        received = lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)
    assert not requests
    assert received.count(b"\nid: ") == count


def test_dripping_bytes_do_not_hasten_the_next_try_to_replace(
    world, stalls, monkeypatch
):
    monkeypatch.setattr(stream_call, "_REPLACE_AGAIN_S", 2 * lh.TIMEOUT_S)
    stalls(gap_s=0.02)
    has_refused = threading.Event()
    refusals = []

    def refuse():
        refusals.append(True)
        has_refused.set()

    def serve(conn):
        lh.read_request(conn)
        conn.sendall(_HEAD + events(1, 2))
        assert has_refused.wait(lh.TIMEOUT_S)
        for _ in range(50):
            conn.sendall(b":\n")
            time.sleep(0.002)  # So that bytes arrive one by one.
        conn.sendall(b"\n" + events(3, 4))

    world.endpoint("e1", serve)
    no_retry_left(world, refuse)
    start(world)
    received = world.fetch(KEY)
    assert events(3, 4) in received and len(refusals) == 1


def test_inputs_of_a_silent_resumed_attempt_are_kept(world, stalls):
    """The second engine waits for its turn; a third is there."""
    stage = HeldStage(held_call=3)
    engine = SilentEngine(b"")

    def break_off(conn):
        lh.read_request(conn)
        # Only the second engine counts as silent, however busy the machine is.
        stalls(first_event_s=0.0)
        conn.sendall(stream(events(1, 2), ends=False))

    world.endpoint("e1", break_off)
    world.endpoint("e2", engine.serve)
    world.endpoint("e3", lh.answer_with(b""))
    world.endpoint("m1", stage.serve, pool="p1")
    world.ctrl.placement.pick = first_of(world.ctrl.placement.pick)
    freed = []
    free = world.ctrl.stage_coordinator.free

    def observed(results):
        freed.extend(result.handle for result in results)
        free(results)

    world.ctrl.stage_coordinator.free = observed
    start_with_stage(world, max_attempts=3)
    conn = send_with_stage(world)
    lh.run_until(world.loop, stage.is_called.is_set)
    assert freed == ["h1"]
    engine.go_on()
    received = lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)
    assert received.endswith(events(3, 4) + b"\r\n0\r\n\r\n<EOF>")
    stage.release.set()
    lh.run_until(world.loop, lambda: len(stage.freed_handles) == 3)


def test_stages_run_no_more_often_than_retries_are_allowed(world, stalls):
    """There is no other engine while one is silent."""
    stalls(gap_s=0.02)
    stage = HeldStage(held_call=None)
    engine = SilentEngine(events(1, 2))
    world.endpoint("e1", engine.serve)
    world.endpoint("m1", stage.serve, pool="p1")
    tries = count_tries(world)
    start_with_stage(world)
    conn = send_with_stage(world)
    lh.run_until(world.loop, lambda: len(tries) == 5)
    engine.go_on()
    received = lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)
    assert events(3, 4) in received and stage.calls <= 2


def count_tries(world):
    """Returns a list that gets an item whenever a retry is asked for."""
    tries = []
    spend = world.ctrl.retry_budgets.spend

    def observed(pool, now):
        tries.append(pool)
        return spend(pool, now)

    world.ctrl.retry_budgets.spend = observed
    return tries


@pytest.mark.parametrize("has_other", [False, True])
def test_a_slow_stream_reruns_no_stages_at_each_gap(world, stalls, has_other):
    """Each gap ends while its replacement is prepared, if there can be one."""
    stalls(gap_s=0.02)
    stage = HeldStage(held_call=2)
    tries = count_tries(world)
    submitted = []
    submit = world.ctrl.stage_coordinator.submit

    def observed(graph):
        submitted.append(graph)
        return submit(graph)

    world.ctrl.stage_coordinator.submit = observed
    requests = []

    def serve(conn):
        lh.read_request(conn)
        conn.sendall(_HEAD)
        for number in range(1, 7):
            conn.sendall(events(number, number))
            assert wait_for(lambda: len(tries) >= number)  # noqa: B023

    world.endpoint("e1", serve)
    if has_other:
        world.endpoint("e2", lh.answer_with(b"", requests))
    world.endpoint("m1", stage.serve, pool="p1")
    world.ctrl.placement.pick = first_of(world.ctrl.placement.pick)
    start_with_stage(world)
    conn = send_with_stage(world)
    received = lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)
    stage.release.set()
    assert events(6, 6) in received and not any(requests)
    assert len(submitted) <= 2


def wait_for(condition):
    """Waits in a fake engine's thread; returns whether the condition held."""
    give_up_at = time.monotonic() + lh.TIMEOUT_S
    while not condition() and time.monotonic() < give_up_at:
        time.sleep(0.002)
    return condition()


@pytest.mark.parametrize(
    ("held_stage", "used"),
    [(2 * lh.TIMEOUT_S, "h2"), (0.0, "h3")],
    indirect=["held_stage"],
    ids=["valid", "expired"],
)
def test_results_of_stages_that_ran_again_are_kept_for_the_next_try(
    world, held_stage, used
):
    """No engine is free when the results are there."""
    stage, engine, requests, conn = held_stage
    pick = world.ctrl.placement.pick
    refusals = []

    def refuse_twice(requirements, tried):
        if "e1" not in tried or len(refusals) == 2:
            return pick(requirements, tried)
        refusals.append(tried)
        return None

    world.ctrl.placement.pick = refuse_twice
    stage.release.set()
    received = lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)
    lh.run_until(world.loop, lambda: any(requests))
    assert f"Inputs: {used}\r\n".encode() in max(requests)
    assert used == f"h{stage.calls}"
    assert received.endswith(events(3, 4) + b"\r\n0\r\n\r\n<EOF>")


def test_a_replacement_gets_no_inputs_that_are_known_to_be_gone(world, stalls):
    """The silent engine says so while its replacement waits for a permit."""
    stalls(first_event_s=0.0)
    stage = HeldStage(held_call=None)
    is_asked = threading.Event()
    requests = []
    gone = answer(409, b"", stamp="", extra="Not-Executed: 1\r\n")

    def serve_e1(conn):
        lh.read_request(conn)
        assert is_asked.wait(lh.TIMEOUT_S)
        conn.sendall(gone)

    def serve_e2(conn):
        request = lh.read_request(conn)
        if request:
            requests.append(request)
            is_known = b"Inputs: h1\r\n" in request
            conn.sendall(gone if is_known else stream(events(1, 2)))

    world.endpoint("e1", serve_e1)
    world.endpoint("e2", serve_e2)
    world.endpoint("m1", stage.serve, pool="p1")
    world.ctrl.placement.pick = first_of(world.ctrl.placement.pick)
    per_s = world.ctrl.limits.per_s
    world.ctrl.limits.per_s = lambda run: 1.0 if run.key == "e2" else per_s(run)
    first_permit = Future()
    has_failed = []

    def acquire(run, max_wait_s):
        if is_asked.is_set():
            return tasks.done(permits.Permit(True, 0.0))
        is_asked.set()
        return first_permit

    world.ctrl.permits.acquire = acquire
    record_end = world.ctrl.prompt_guard.record_end

    def observed(lease, cause):
        has_failed.append(cause)
        record_end(lease, cause)

    world.ctrl.prompt_guard.record_end = observed
    start_with_stage(world)
    conn = send_with_stage(world)
    lh.run_until(world.loop, lambda: has_failed)
    tasks.resolve(first_permit, permits.Permit(True, 0.0))
    received = lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)
    assert received.startswith(b"HTTP/1.1 200")
    assert len(requests) == 1 and b"Inputs: h2\r\n" in requests[0]


def test_a_silent_engine_is_kept_until_another_takes_the_request(world, silent):
    has_declined = []
    world.endpoint("e2", decline(has_declined))
    world.ctrl.placement.pick = first_of(world.ctrl.placement.pick)
    start(world)
    conn = world.send(KEY, ("Connection", "close"))
    lh.run_until(world.loop, lambda: any(has_declined))
    silent.go_on()
    received = lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)
    assert silent.is_open
    assert received.endswith(events(3, 4) + b"\r\n0\r\n\r\n<EOF>")


class LeftEngine:
    """Is silent in its first stream until it is left, and then sound again."""

    def __init__(self, before, declined):
        self._before = before
        # How many requests after the first one it declines.
        self._declined = declined
        self.is_broken = False
        self.requests = []
        self.is_left = threading.Event()

    def serve(self, conn):
        request = lh.read_request(conn)
        if not request:
            return  # The connection was only checked.
        self.requests.append(request)
        if len(self.requests) == 1:
            if self._before:
                conn.sendall(_HEAD + self._before)
            conn.settimeout(lh.TIMEOUT_S)
            conn.recv(1)
            self.is_left.set()
        elif self.is_broken:
            return
        elif len(self.requests) <= 1 + self._declined:
            conn.sendall(answer(503, b"", extra="Not-Executed: 1\r\n"))
        else:
            first = 3 if b"Last-Event-Id: 2" in request else 1
            conn.sendall(stream(events(first, 4)))


# Guards against a stream that is cut when a silent engine was left for one that
# was silent too, and declines when it goes on.
@pytest.mark.parametrize("before", [b"", events(1, 2)])
@pytest.mark.parametrize("declined", [0, 2])
def test_an_engine_that_was_left_takes_back_what_another_declines(
    world, stalls, before, declined
):
    stalls(**({"gap_s": 0.02} if before else {"first_event_s": 0.0}))
    engine = LeftEngine(before, declined)
    world.endpoint("e1", engine.serve)
    asked = []

    def serve_e2(conn):
        request = lh.read_request(conn)
        if request:
            asked.append(request)
            assert engine.is_left.wait(lh.TIMEOUT_S)
            conn.sendall(answer(503, b"", extra="Not-Executed: 1\r\n"))

    world.endpoint("e2", serve_e2)
    world.ctrl.placement.pick = first_of(world.ctrl.placement.pick)
    start(world)
    received = world.fetch(KEY)
    assert received.endswith(events(3, 4) + b"\r\n0\r\n\r\n")
    assert received.count(b"id: 1\n") == 1
    assert len(asked) == 1
    assert len(engine.requests) == 2 + declined


# Guards against an engine being tried without end that was silent at first and
# crashes on the request then.
def test_an_engine_that_was_left_and_then_fails_is_not_tried_again(
    world, stalls
):
    stalls(gap_s=0.02)
    engine = LeftEngine(events(1, 2), 0)
    world.endpoint("e1", engine.serve)

    def serve_e2(conn):
        if lh.read_request(conn):
            assert engine.is_left.wait(lh.TIMEOUT_S)
            engine.is_broken = True
            conn.sendall(answer(503, b"", extra="Not-Executed: 1\r\n"))

    world.endpoint("e2", serve_e2)
    world.ctrl.placement.pick = first_of(world.ctrl.placement.pick)
    start(world, max_attempts=6)
    received = world.fetch(KEY)
    assert events(1, 2) in received and not received.endswith(b"0\r\n\r\n")
    assert len(engine.requests) == 2


class TakingEngine:
    """Takes a request and answers it when it is told to, or crashes."""

    def __init__(self, data=b""):
        self._data = data
        self._go_on = threading.Event()
        self.requests = []
        self.is_left = threading.Event()

    def go_on(self):
        self._go_on.set()

    def serve(self, conn):
        request = lh.read_request(conn)
        if not request:
            return  # The connection was only checked.
        self.requests.append(request)
        while not self._go_on.is_set():
            conn.settimeout(0.01)
            try:
                if not conn.recv(1):
                    self.is_left.set()
                    return
            except TimeoutError:
                continue
        conn.sendall(self._data)


@pytest.fixture
def taking(world, silent):
    """Starts a second engine that takes requests."""

    def start_taking(data=b""):
        engine = TakingEngine(data)
        world.endpoint("e2", engine.serve)
        world.ctrl.placement.pick = first_of(world.ctrl.placement.pick)
        start(world)
        return engine

    return start_taking


# The users allow two engines to work on a stream for 0.4 s.
def test_a_silent_engine_is_left_soon_after_another_took_the_request(
    world, silent, taking
):
    second = taking(stream(events(3, 4)))
    conn = world.send(KEY, ("Connection", "close"))
    lh.run_until(world.loop, lambda: second.requests)
    assert stream_call._TAKEOVER_S <= 0.3
    first = world.ctrl.placement._pools["s1"]["e1"]
    lh.run_until(world.loop, lambda: not first.slots)
    silent.go_on()
    lh.run_until(world.loop, lambda: silent.is_open is not None)
    assert not silent.is_open
    assert not second.is_left.is_set()
    second.go_on()
    lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)


def test_a_silent_engine_that_goes_on_while_another_is_asked_is_kept(
    world, silent, taking, monkeypatch
):
    monkeypatch.setattr(stream_call, "_TAKEOVER_S", lh.TIMEOUT_S)
    second = taking()
    conn = world.send(KEY, ("Connection", "close"))
    lh.run_until(world.loop, lambda: second.requests)
    silent.go_on()
    received = lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)
    assert silent.is_open
    lh.run_until(world.loop, second.is_left.is_set)
    body = received.partition(b"\r\n\r\n")[2]
    ids = [line for line in body.split(b"\n") if line.startswith(b"id: ")]
    expected = [b"id: 3", b"id: 4"]
    if silent.has_begun:
        expected = [b"id: 1", b"id: 2", *expected]
    assert ids == expected
    assert received.endswith(b"\r\n0\r\n\r\n<EOF>")


@pytest.mark.parametrize("data", [b"", stream(b"id", ends=False)[:-6], b"odd"])
def test_a_silent_engine_is_kept_if_the_one_that_took_the_request_crashes(
    world, silent, taking, data, monkeypatch
):
    monkeypatch.setattr(stream_call, "_TAKEOVER_S", lh.TIMEOUT_S)
    second = taking(data)
    second.go_on()
    conn = world.send(KEY, ("Connection", "close"))
    own = world.ctrl.placement
    has_failed = []
    finish = own.finish

    def observed(lease, succeeded):
        finish(lease, succeeded)
        has_failed.append(lease.listing.entry.name)

    own.finish = observed
    lh.run_until(world.loop, lambda: "e2" in has_failed)
    silent.go_on()
    received = lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)
    assert silent.is_open
    assert received.endswith(events(3, 4) + b"\r\n0\r\n\r\n<EOF>")


def test_an_engine_that_took_the_request_goes_on_for_a_silent_one(
    world, silent, taking
):
    first = 3 if silent.has_begun else 1
    second = taking(stream(events(first, 4)))
    conn = world.send(KEY, ("Connection", "close"))
    lh.run_until(world.loop, lambda: second.requests)
    second.go_on()
    received = lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)
    assert received.endswith(b"\r\n0\r\n\r\n<EOF>")
    assert received.count(b"id: 3") == received.count(b"id: 1") == 1
    silent.go_on()
    lh.run_until(world.loop, lambda: silent.is_open is not None)
    assert not silent.is_open


def test_a_silent_engine_is_kept_if_the_next_refuses_the_connection(
    world, silent
):
    other = world.endpoint("e2", lh.answer_with(b""))
    world.ctrl.placement.pick = first_of(world.ctrl.placement.pick)
    start_call = world.ctrl.client.start

    def observed(exchange, *callbacks):
        if other.address in exchange.url:
            other.close()
            silent.go_on()
        return start_call(exchange, *callbacks)

    world.ctrl.client.start = observed
    start(world)
    conn = world.send(KEY, ("Connection", "close"))
    received = lh.receive(world.loop, conn, lambda data: b"<EOF>" in data)
    assert silent.is_open
    assert received.endswith(events(3, 4) + b"\r\n0\r\n\r\n<EOF>")
