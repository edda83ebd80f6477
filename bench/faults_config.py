"""An accepted configuration is in force within seconds and never reverts."""

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


class Watch:
    """Polls every router's version and notes any step back."""

    def __init__(self, running: fleet.Fleet):
        self._running = running
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.steps_back: list[str] = []

    def __enter__(self) -> "Watch":
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
                    self.steps_back.append(
                        f"{router.name}: {highest[pid]} to {version}"
                    )
                highest[pid] = max(version, highest.get(pid, -1))


def _run_plan(*argv: str) -> tuple[int, str, str]:
    """Runs the operators' command within this process."""
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


def _operators_race() -> None:
    rng = random.Random(_SEED)
    with fleet.Fleet(scenario.specs(copies=1), ["a"], 2) as running:
        version = scenario.start(running)
        with Watch(running) as watch:
            for number in range(_ROUNDS):
                version = _race_once(running, version, number, rng)
            running.wait_in_force(version)
        expect(not watch.steps_back, f"steps back: {watch.steps_back}")


def _race_once(
    running: fleet.Fleet, version: int, number: int, rng: random.Random
) -> int:
    """Two operators publish on one base; returns the winner's version."""
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
    won = [item for item in results.values() if item[0] == ExitStatus.OK]
    lost = [item for item in results.values() if item[0] != ExitStatus.OK]
    expect(len(won) == 1, f"round {number}: {results}")
    winner = json.loads(won[0][1])["version"]
    expect(lost[0][0] == ExitStatus.CONFLICT, f"round {number}: {results}")
    expect(f"version {winner} " in lost[0][2], f"told wrongly: {lost[0][2]}")
    return winner


def _cut_from_log() -> None:
    with fleet.Fleet(scenario.specs(copies=1), ["a"], 2) as running:
        scenario.start(running)
        log_relay = relay.Relay(running.log_address)
        cut = running.add_router(
            "entry-cut", "a", log_address=log_relay.address
        )
        running.write_host_list()
        fleet.wait_until(
            lambda: fleet.version_in_force(cut) >= 0, "it has a version"
        )
        log_relay.partition()
        path = overhead.write_configuration(
            running.folder, scenario.POOLS, scenario.PIPELINES, limit_per_s=7
        )
        version = running.publish(None, path)
        fleet.wait_until(
            lambda: fleet.version_in_force(cut) >= version,
            "a router cut off from the log hears of it from its peers",
            _IN_FORCE_S,
        )
        told = scenario.send(cut, "encode", "x")
        expect(told.outcome == "answer", f"told {told}")
        log_relay.close()


def _cut_from_all() -> None:
    bounds = {"stale_after_s": 2.0}
    with fleet.Fleet(
        scenario.specs(copies=1), ["a"], 3, bounds=bounds
    ) as running:
        scenario.start(running)
        fleet.set_fault(running.log_address, "frozen")
        for router in running.routers[1:]:
            router.process.freeze()
        alone = running.routers[0]
        fleet.wait_until(
            lambda: fleet.call(alone.address, "GET", "/readyz").status == 503,
            "a host that hears nobody is not ready",
        )
        told = scenario.send(alone, "encode", "x")
        expect(told.outcome == "not_run", f"told {told}")
        expect(told.reason == "stale-configuration", f"told {told}")
        fleet.set_fault(running.log_address, "none")
        for router in running.routers[1:]:
            router.process.thaw()
        fleet.wait_until(
            lambda: fleet.call(alone.address, "GET", "/readyz").status == 200,
            "it is ready again",
        )


def _start_during_outage() -> None:
    with fleet.Fleet(scenario.specs(copies=1), ["a"], 2) as running:
        version = scenario.start(running)
        fleet.set_fault(running.log_address, "down")
        late = running.add_router("entry-late", "a")
        running.write_host_list()
        fleet.wait_until(
            lambda: fleet.version_in_force(late) == version,
            "a router started during an outage is served by its peers",
        )
        fleet.wait_until(
            lambda: scenario.send(late, "encode", "x").outcome == "answer",
            "it serves",
        )


def _expire_and_replace() -> None:
    options = ("--retention-s", "3")
    with fleet.Fleet(
        scenario.specs(copies=1), ["a"], 3, log_options=options
    ) as running:
        version = scenario.start(running)
        with Watch(running) as watch:
            scenario.pause(5.0)
            for number, router in enumerate(list(running.routers)):
                _replace(running, router, number, version)
        expect(not watch.steps_back, f"steps back: {watch.steps_back}")
        shown = json.loads(
            running.run_tool("plan", "show", "--log", running.log_address)
        )
        expect(shown["version"] == version, f"the log shows {shown}")


def _replace(
    running: fleet.Fleet, router: fleet.Router, number: int, version: int
) -> None:
    running.routers.remove(router)
    router.process.stop()
    fresh = running.add_router(f"entry-new-{number}", "a")
    running.write_host_list()
    fleet.wait_until(
        lambda: fleet.version_in_force(fresh) == version,
        "the version stays in force",
    )
    scenario.pause(2.0)


def _paused_host() -> None:
    """A host paused through expiry and a publish writes nothing old."""
    options = ("--retention-s", "3")
    with fleet.Fleet(
        scenario.specs(copies=1), ["a"], 3, log_options=options
    ) as running:
        scenario.start(running)
        with Watch(running) as watch:
            paused = running.routers[0]
            scenario.pause(0.8)
            paused.process.freeze()
            running.routers.remove(paused)
            path = overhead.write_configuration(
                running.folder,
                scenario.POOLS,
                scenario.PIPELINES,
                limit_per_s=9,
            )
            version = running.publish(None, path)
            scenario.pause(5.0)
            paused.process.thaw()
            running.routers.append(paused)
            fleet.wait_until(
                lambda: fleet.version_in_force(paused) == version,
                "the paused host follows",
            )
            scenario.pause(4.0)
        for router in running.routers:
            expect(
                fleet.version_in_force(router) == version,
                f"{router.name} has {fleet.version_in_force(router)}",
            )
        expect(not watch.steps_back, f"steps back: {watch.steps_back}")


def scenarios() -> list[scenario.Scenario]:
    """Returns all scenarios of this page."""
    return [
        scenario.Scenario("config: two operators, 100 races", _operators_race),
        scenario.Scenario("config: router cut off from the log", _cut_from_log),
        scenario.Scenario("config: router cut off from all", _cut_from_all),
        scenario.Scenario("config: start during outage", _start_during_outage),
        scenario.Scenario("config: expiry, all replaced", _expire_and_replace),
        scenario.Scenario("config: host paused over expiry", _paused_host),
    ]
