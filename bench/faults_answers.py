"""Faults in answers: callers get their own complete answer or a typed error."""

import functools
import os
import random
import signal
import socket
import threading

from bench import fleet, scenario
from bench.scenario import expect

# Calls ignore missing, repeated and twice; streams ignore late and error. See
# `standins.endpoint`.
_ANSWER_FAULTS = (
    "cut",
    "silent",
    "other",
    "missing",
    "repeated",
    "twice",
    "error",
    "late",
)
_SEED = 7


def _run_with_faulty_answers(fault: str) -> None:
    """In every 4th round, the next answer of two endpoints gets a fault."""
    with fleet.Fleet(scenario.specs(20), ["a"], 1) as running:
        scenario.start(running)
        router = running.routers[0]
        for number in range(12):
            if number % 4 == 0:
                _inject_faults(running, fault)
            prompt = f"prompt {number}"
            for pipeline, expected, stream in (
                ("encode", scenario.expected_call("encode", prompt), False),
                ("generate", scenario.expected_tokens(prompt), True),
                ("survey", scenario.expected_tokens(prompt), False),
            ):
                result = scenario.send(router, pipeline, prompt, stream=stream)
                expect(
                    result.outcome == "answer",
                    f"{fault}, {pipeline} {number}: told {result}",
                )
                expect(
                    result.output == expected,
                    f"{fault}, {pipeline} {number}: not its own: {result}",
                )


def _inject_faults(running: fleet.Fleet, fault: str) -> None:
    for pool in ("encode", "generate"):
        endpoint = next(
            item for item in running.endpoints if item.spec.pool == pool
        )
        fleet.configure_endpoint(endpoint, answers=fault, times=1)


def _suspended_endpoint() -> None:
    """Pooled connections to suspended endpoints are silent; others answer."""
    with fleet.Fleet(scenario.specs(10), ["a"], 1) as running:
        scenario.start(running)
        router = running.routers[0]
        for number in range(10):
            scenario.send(router, "survey", f"warm {number}")
        for pool in ("encode", "generate"):
            suspended = next(
                item for item in running.endpoints if item.spec.pool == pool
            )
            suspended.process.suspend()
        for number in range(10):
            prompt = f"prompt {number}"
            result = scenario.send(router, "survey", prompt)
            expect(result.outcome == "answer", f"{number}: told {result}")
            expect(
                result.output == scenario.expected_tokens(prompt), "not its own"
            )


def _rolling_drain(with_silent_endpoints: bool) -> None:
    """Each router restarts under load; no request is cut off or refused.

    With silent endpoints, each endpoint of a repeatable pool falls silent in
    one request.
    """
    with fleet.Fleet(
        scenario.specs(40), ["a"], 3, bounds={"drain_notice_s": 1.0}
    ) as running:
        scenario.start(running)
        if with_silent_endpoints:
            for endpoint in running.endpoints:
                if endpoint.spec.pool != "bookings":
                    fleet.configure_endpoint(
                        endpoint, answers="silent", times=1
                    )
        stop = threading.Event()
        results: list = []
        callers = [
            threading.Thread(
                target=_send_continuously, args=(running, stop, results, number)
            )
            for number in range(12)
        ]
        for caller in callers:
            caller.start()
        scenario.pause(1.0)
        for router in list(running.routers):
            _restart_gracefully(running, router)
        stop.set()
        for caller in callers:
            caller.join()
        failures = [item for item in results if item[1].outcome != "answer"]
        expect(
            not failures, f"{len(failures)} of {len(results)}: {failures[:3]}"
        )
        expect(len(results) > 50, f"only {len(results)} requests were sent")


def _restart_gracefully(running: fleet.Fleet, router: fleet.Router) -> None:
    router.process.send_signal(signal.SIGTERM)
    scenario.pause(0.1)
    # A second SIGTERM during the drain changes nothing.
    router.process.send_signal(signal.SIGTERM)
    exit_status = router.process.wait()
    expect(exit_status == os.EX_OK, f"{router.name} ended with {exit_status}")
    router.process.start()
    fleet.wait_until(lambda: _is_ready(router), f"{router.name} is ready")


def _is_ready(router: fleet.Router) -> bool:
    return fleet.send_request(router.address, "GET", "/readyz").status == 200


def _send_continuously(
    running: fleet.Fleet, stop: threading.Event, results: list, number: int
) -> None:
    """Sends requests to random ready routers, as a load balancer does."""
    rng = random.Random(_SEED + number)
    # The last kind streams for much longer than `drain_notice_s`.
    request_kinds = [
        ("survey", True, 32),
        ("survey", False, 32),
        ("encode", False, 32),
        ("generate", True, 250),
    ]
    while not stop.is_set():
        ready = [item for item in running.routers if _is_ready(item)]
        if not ready:
            continue
        router = rng.choice(ready)
        if number % 4 == 0:
            result = scenario.send(router, "book", "gate", fleet.new_key())
        else:
            pipeline, stream, tokens = rng.choice(request_kinds)
            result = scenario.send(
                router, pipeline, "x", stream=stream, tokens=tokens
            )
        results.append((router.name, result))


def _pool_down() -> None:
    """Retries against a pool that is down stay bounded; the pool recovers."""
    with fleet.Fleet(scenario.specs(5), ["a"], 1) as running:
        scenario.start(running, deadline_s=2)
        router = running.routers[0]
        encoders = [
            item for item in running.endpoints if item.spec.pool == "encode"
        ]
        for number in range(50):
            scenario.send(router, "encode", f"warm {number}")
        counters = fleet.fetch_status(router)["counters"]
        before = counters["stage.encode.attempts"]
        for endpoint in encoders:
            fleet.set_fault(endpoint.address, "down")
        requests = 200
        for _ in range(requests // 10):
            callers = [
                scenario.Caller(router, "encode", "x", Deadline_Ms="500")
                for _ in range(10)
            ]
            for caller in callers:
                expect(
                    caller.result().outcome != "answer",
                    "a request was answered while the pool was down",
                )
        counters = fleet.fetch_status(router)["counters"]
        attempts = counters["stage.encode.attempts"] - before
        expect(
            attempts <= 1.1 * requests,
            f"{attempts} attempts for {requests} requests",
        )
        for endpoint in encoders:
            fleet.set_fault(endpoint.address, "none")
        fleet.wait_until(
            lambda: scenario.send(router, "encode", "x").outcome == "answer",
            "requests are answered again",
            5.0,
        )


def _random_bytes() -> None:
    """Random bytes at every port affect neither requests nor membership."""
    rng = random.Random(_SEED)
    with fleet.Fleet(scenario.specs(5, copies=1), ["a"], 2) as running:
        scenario.start(running)
        router = running.routers[0]
        for total in range(20, 320, 20):
            for _ in range(20):
                data = rng.randbytes(rng.randrange(1400))
                _send_udp(router.peer_address, data)
            # Waits so that a full socket buffer doesn't drop datagrams.
            fleet.wait_until(
                lambda total=total: _bad_frame_count(router) >= total,
                f"{total} bad datagrams are counted",
            )
        for _ in range(60):
            data = rng.randbytes(rng.randrange(1, 3000))
            _send_tcp(router.peer_address, data)
            _send_tcp(router.address, data)
            _send_tcp(router.address, b"POST /v1/pipelines/encode/runs " + data)
        result = scenario.send(router, "encode", "x")
        expect(result.outcome == "answer", f"after abuse: {result}")
        report = fleet.fetch_status(router)
        statuses = {item["status"] for item in report["members"]}
        expect(statuses == {"alive"}, f"members are {statuses}")


def _bad_frame_count(router: fleet.Router) -> int:
    return fleet.fetch_status(router)["counters"].get("gossip.bad_frame", 0)


def _send_udp(address: str, data: bytes) -> None:
    host, port = address.rsplit(":", 1)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(data, (host, int(port)))


def _send_tcp(address: str, data: bytes) -> None:
    host, port = address.rsplit(":", 1)
    try:
        with socket.create_connection((host, int(port)), 1.0) as sock:
            sock.settimeout(0.05)
            sock.sendall(data)
            sock.recv(4096)
    except OSError:
        pass


def scenarios() -> list[scenario.Scenario]:
    """Returns the scenarios of this module."""
    cases = [
        scenario.Scenario(
            f"answers: {fault}",
            functools.partial(_run_with_faulty_answers, fault),
        )
        for fault in _ANSWER_FAULTS
    ]
    return [
        *cases,
        scenario.Scenario("answers: endpoints frozen", _suspended_endpoint),
        scenario.Scenario(
            "drain: rolling replacement under load",
            functools.partial(_rolling_drain, False),
        ),
        scenario.Scenario(
            "drain: with silent connections",
            functools.partial(_rolling_drain, True),
        ),
        scenario.Scenario("retries: a pool down", _pool_down),
        scenario.Scenario("abuse: random bytes", _random_bytes),
    ]
