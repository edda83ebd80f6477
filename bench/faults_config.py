"""Faults around publishes: versions take effect in seconds and never revert."""

import argparse
import io
import json
import random
import threading

from bench import fleet, overhead, relay, scenario
from bench.scenario import expect
from chervilarch import clocks, environment, plan, plan_args
from chervilarch.exits import ExitStatus

_IN_FORCE_S = 4.0
_ROUNDS = 100
_SEED = 20261204


class VersionMonitor:
    """Polls the version of every router process and records each decrease."""

    def __init__(self, running: fleet.Fleet):
        self._running = running
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.decreases: list[str] = []

    def __enter__(self) -> "VersionMonitor":
        self._thread.start()
        return self

    def __exit__(self, *exc: object) -> None:
        self._stop.set()
        self._thread.join()

    def _run(self) -> None:
        highest: dict[int, int] = {}
        while not self._stop.wait(0.02):
            for router in list(self._running.routers):
                if not router.process.is_running():
                    continue
                pid = router.process.pid
                version = fleet.version_in_force(router)
                if version < 0:
                    continue
                if version < highest.get(pid, -1):
                    self.decreases.append(
                        f"{router.name}: {highest[pid]} to {version}"
                    )
                highest[pid] = max(version, highest.get(pid, -1))


def _run_plan(*argv: str) -> tuple[int, str, str]:
    """Runs `chervilarch-plan` within this process."""
    out, err = io.StringIO(), io.StringIO()
    env = environment.Environment(io.StringIO(), out, err, clocks.SystemClock())
    args: argparse.Namespace = plan_args.build_parser().parse_args(argv)
    status = plan.run(args, env)
    return status, out.getvalue(), err.getvalue()


def _publish_args(running: fleet.Fleet, path, base: int) -> list[str]:
    return [
        "publish",
        "--log",
        running.log_address,
        "--deployment",
        str(path),
        "--base",
        str(base),
        "--json",
    ]


def _racing_operators() -> None:
    rng = random.Random(_SEED)
    with fleet.Fleet(scenario.specs(copies=1), ["a"], 2) as running:
        version = scenario.start(running)
        with VersionMonitor(running) as monitor:
            for number in range(_ROUNDS):
                version = _publish_concurrently(running, version, number, rng)
            running.wait_in_force(version)
        expect(not monitor.decreases, f"steps back: {monitor.decreases}")


def _publish_concurrently(
    running: fleet.Fleet, version: int, number: int, rng: random.Random
) -> int:
    """Two operators publish on the same base; returns the accepted version."""
    results: dict[int, tuple[int, str, str]] = {}

    def publish(operator: int, delay_s: float) -> None:
        folder = running.folder / f"operator-{operator}"
        folder.mkdir(exist_ok=True)
        path = overhead.write_configuration(
            folder,
            scenario.POOLS,
            scenario.PIPELINES,
            limit_per_s=1000 + 2 * number + operator,
        )
        scenario.pause(delay_s)
        results[operator] = _run_plan(*_publish_args(running, path, version))

    threads = [
        threading.Thread(target=publish, args=(operator, rng.random() / 100))
        for operator in (0, 1)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    accepted = [item for item in results.values() if item[0] == ExitStatus.OK]
    rejected = [item for item in results.values() if item[0] != ExitStatus.OK]
    expect(len(accepted) == 1, f"round {number}: {results}")
    accepted_version = json.loads(accepted[0][1])["version"]
    expect(rejected[0][0] == ExitStatus.CONFLICT, f"round {number}: {results}")
    expect(
        f"version {accepted_version} " in rejected[0][2],
        f"told wrongly: {rejected[0][2]}",
    )
    return accepted_version


def _partitioned_from_log() -> None:
    with fleet.Fleet(scenario.specs(copies=1), ["a"], 2) as running:
        scenario.start(running)
        log_link = relay.Relay(running.log_address)
        isolated = running.add_router(
            "entry-cut", "a", log_address=log_link.address
        )
        running.update_host_list()
        fleet.wait_until(
            lambda: fleet.version_in_force(isolated) >= 0,
            "the new router has a version",
        )
        log_link.partition()
        path = overhead.write_configuration(
            running.folder, scenario.POOLS, scenario.PIPELINES, limit_per_s=7
        )
        version = running.publish(None, path)
        fleet.wait_until(
            lambda: fleet.version_in_force(isolated) >= version,
            "a router without the log gets the version from its peers",
            _IN_FORCE_S,
        )
        result = scenario.send(isolated, "encode", "x")
        expect(result.outcome == "answer", f"told {result}")
        log_link.close()


def _isolated_router() -> None:
    bounds = {"stale_after_s": 2.0}
    with fleet.Fleet(
        scenario.specs(copies=1), ["a"], 3, bounds=bounds
    ) as running:
        scenario.start(running)
        fleet.set_fault(running.log_address, "frozen")
        for router in running.routers[1:]:
            router.process.suspend()
        isolated = running.routers[0]
        fleet.wait_until(
            lambda: (
                fleet.send_request(isolated.address, "GET", "/readyz").status
                == 503
            ),
            "an isolated router is not ready",
        )
        result = scenario.send(isolated, "encode", "x")
        expect(result.outcome == "not_run", f"told {result}")
        expect(result.reason == "stale-configuration", f"told {result}")
        fleet.set_fault(running.log_address, "none")
        for router in running.routers[1:]:
            router.process.resume()
        fleet.wait_until(
            lambda: (
                fleet.send_request(isolated.address, "GET", "/readyz").status
                == 200
            ),
            "the router is ready again",
        )


def _start_during_outage() -> None:
    with fleet.Fleet(scenario.specs(copies=1), ["a"], 2) as running:
        version = scenario.start(running)
        fleet.set_fault(running.log_address, "down")
        late_router = running.add_router("entry-late", "a")
        running.update_host_list()
        fleet.wait_until(
            lambda: fleet.version_in_force(late_router) == version,
            "a router started during an outage gets the version from its peers",
        )
        fleet.wait_until(
            lambda: (
                scenario.send(late_router, "encode", "x").outcome == "answer"
            ),
            "the router answers requests",
        )


def _expire_and_replace() -> None:
    options = ("--retention-s", "3")
    with fleet.Fleet(
        scenario.specs(copies=1), ["a"], 3, log_options=options
    ) as running:
        version = scenario.start(running)
        with VersionMonitor(running) as monitor:
            scenario.pause(5.0)
            for number, router in enumerate(list(running.routers)):
                _replace(running, router, number, version)
        expect(not monitor.decreases, f"steps back: {monitor.decreases}")
        shown = json.loads(
            running.run_tool("plan", "show", "--log", running.log_address)
        )
        expect(shown["version"] == version, f"the log shows {shown}")


def _replace(
    running: fleet.Fleet, router: fleet.Router, number: int, version: int
) -> None:
    running.routers.remove(router)
    router.process.stop()
    replacement = running.add_router(f"entry-new-{number}", "a")
    running.update_host_list()
    fleet.wait_until(
        lambda: fleet.version_in_force(replacement) == version,
        "the version stays in force",
    )
    scenario.pause(2.0)


def _suspended_router() -> None:
    """A router suspended over expiry and a publish writes nothing outdated."""
    options = ("--retention-s", "3")
    with fleet.Fleet(
        scenario.specs(copies=1), ["a"], 3, log_options=options
    ) as running:
        scenario.start(running)
        with VersionMonitor(running) as monitor:
            suspended = running.routers[0]
            scenario.pause(0.8)
            suspended.process.suspend()
            running.routers.remove(suspended)
            path = overhead.write_configuration(
                running.folder,
                scenario.POOLS,
                scenario.PIPELINES,
                limit_per_s=9,
            )
            version = running.publish(None, path)
            scenario.pause(5.0)
            suspended.process.resume()
            running.routers.append(suspended)
            fleet.wait_until(
                lambda: fleet.version_in_force(suspended) == version,
                "the paused router has the new version",
            )
            scenario.pause(4.0)
        for router in running.routers:
            expect(
                fleet.version_in_force(router) == version,
                f"{router.name} has {fleet.version_in_force(router)}",
            )
        expect(not monitor.decreases, f"steps back: {monitor.decreases}")


def scenarios() -> list[scenario.Scenario]:
    """Returns the scenarios of this module."""
    return [
        scenario.Scenario(
            "config: two operators, 100 races", _racing_operators
        ),
        scenario.Scenario(
            "config: router cut off from the log", _partitioned_from_log
        ),
        scenario.Scenario("config: router cut off from all", _isolated_router),
        scenario.Scenario("config: start during outage", _start_during_outage),
        scenario.Scenario("config: expiry, all replaced", _expire_and_replace),
        scenario.Scenario("config: host paused over expiry", _suspended_router),
    ]
