"""Membership is right within a bound; leaving endpoints get no new work."""

from bench import fleet, scenario
from bench.scenario import expect

# A member's death is known after a round of probes and a suspicion.
_DEATH_S = 8.0
_LEAVING_S = 3.0


def _statuses(router: fleet.Router) -> dict[str, str]:
    members = fleet.status(router).get("members", [])
    return {member["name"]: member["status"] for member in members}


def _wait_status(
    routers: list[fleet.Router], name: str, wanted: set[str], bound_s: float
) -> None:
    for router in routers:
        fleet.wait_until(
            lambda router=router: _statuses(router).get(name) in wanted,
            f"{router.name} holds {name} {wanted}",
            bound_s,
        )


def _kill_and_restart() -> None:
    with fleet.Fleet(scenario.specs(copies=1), ["a"], 4) as running:
        scenario.start(running)
        dead, *others = running.routers
        dead.process.kill()
        _wait_status(others, dead.name, {"dead"}, _DEATH_S)
        dead.process.start()
        _wait_status(others, dead.name, {"alive"}, _DEATH_S)


def _freeze_and_thaw() -> None:
    with fleet.Fleet(scenario.specs(copies=1), ["a"], 4) as running:
        scenario.start(running)
        frozen, *others = running.routers
        frozen.process.freeze()
        _wait_status(others, frozen.name, {"suspect", "dead"}, _DEATH_S)
        frozen.process.thaw()
        _wait_status(others, frozen.name, {"alive"}, _DEATH_S)
        _wait_status([frozen], others[0].name, {"alive"}, _DEATH_S)


def _graceful_leave() -> None:
    with fleet.Fleet(scenario.specs(copies=1), ["a"], 4) as running:
        scenario.start(running)
        leaving, *others = running.routers
        leaving.process.stop()
        _wait_status(others, leaving.name, {"left"}, _DEATH_S)


def _executed(endpoint: fleet.Endpoint) -> int:
    return fleet.endpoint_counts(endpoint)["total"]


def _check_left(running: fleet.Fleet, endpoint: fleet.Endpoint) -> None:
    """After the bound, no router sends the endpoint new work."""
    scenario.pause(_LEAVING_S)
    before = _executed(endpoint)
    for router in running.routers:
        for number in range(20):
            told = scenario.send(router, "encode", f"x{number}")
            expect(told.outcome == "answer", f"told {told}")
    expect(_executed(endpoint) == before, "a leaving endpoint got new work")


def _encoder(running: fleet.Fleet) -> fleet.Endpoint:
    return next(
        item for item in running.endpoints if item.spec.pool == "encode"
    )


def _leave_by_list() -> None:
    with fleet.Fleet(scenario.specs(5), ["a"], 3) as running:
        scenario.start(running)
        endpoint = _encoder(running)
        endpoint.entry["state"] = "leaving"
        running.write_host_list()
        _check_left(running, endpoint)


def _leave_by_answer() -> None:
    """The list is down; one router learns of it by the endpoint's answer."""
    with fleet.Fleet(scenario.specs(5), ["a"], 3) as running:
        scenario.start(running)
        fleet.set_fault(running.hosts_address, "down")
        endpoint = _encoder(running)
        fleet.configure_endpoint(endpoint, leaving=True)
        for number in range(20):
            told = scenario.send(running.routers[0], "encode", f"y{number}")
            expect(told.outcome == "answer", f"told {told}")
        fleet.configure_endpoint(endpoint, leaving=False)
        _check_left(running, endpoint)


def _leave_one_cut_off() -> None:
    """One router can't read the list and hears of it by gossip."""
    with fleet.Fleet(scenario.specs(5), ["a"], 3) as running:
        scenario.start(running)
        dead_list = fleet.free_address()
        cut = running.add_router("entry-cut", "a", host_list_address=dead_list)
        running.write_host_list()
        fleet.wait_until(
            lambda: fleet.version_in_force(cut) >= 0, "it has a version"
        )
        endpoint = _encoder(running)
        endpoint.entry["state"] = "leaving"
        running.write_host_list()
        scenario.pause(_LEAVING_S)
        report = fleet.status(cut)
        expect(
            report["counters"].get("endpoints.leaving", 0) == 1,
            "a router without the list did not hear of it",
        )
        running.routers.remove(cut)
        _check_left(running, endpoint)
        running.routers.append(cut)


def _restart_endpoint() -> None:
    """The same address with a new incarnation takes work again."""
    with fleet.Fleet(scenario.specs(5), ["a"], 2) as running:
        scenario.start(running)
        endpoint = _encoder(running)
        endpoint.entry["state"] = "leaving"
        running.write_host_list()
        _check_left(running, endpoint)
        endpoint.entry["state"] = "live"
        endpoint.entry["incarnation"] += 1
        running.write_host_list()
        before = _executed(endpoint)

        def is_used() -> bool:
            for router in running.routers:
                scenario.send(router, "encode", "z")
            return _executed(endpoint) > before

        fleet.wait_until(is_used, "a restarted endpoint gets work")


def scenarios() -> list[scenario.Scenario]:
    """Returns all scenarios of this page."""
    return [
        scenario.Scenario("members: kill and restart", _kill_and_restart),
        scenario.Scenario("members: freeze and thaw", _freeze_and_thaw),
        scenario.Scenario("members: graceful leave", _graceful_leave),
        scenario.Scenario("leaving: by the list", _leave_by_list),
        scenario.Scenario("leaving: by answer, list down", _leave_by_answer),
        scenario.Scenario(
            "leaving: one router off the list", _leave_one_cut_off
        ),
        scenario.Scenario("leaving: a new incarnation", _restart_endpoint),
    ]
