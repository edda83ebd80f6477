"""Faults of members: changes spread in time; leaving endpoints get no work."""

from bench import fleet, scenario
from bench.scenario import expect

# A dead member is detected after a round of probes and the suspicion timeout.
_DETECTION_S = 8.0
_LEAVING_SPREAD_S = 3.0


def _statuses(router: fleet.Router) -> dict[str, str]:
    members = fleet.fetch_status(router).get("members", [])
    return {member["name"]: member["status"] for member in members}


def _wait_status(
    routers: list[fleet.Router], name: str, wanted: set[str], timeout_s: float
) -> None:
    for router in routers:
        fleet.wait_until(
            lambda router=router: _statuses(router).get(name) in wanted,
            f"{router.name} holds {name} {wanted}",
            timeout_s,
        )


def _kill_and_restart() -> None:
    with fleet.Fleet(scenario.specs(copies=1), ["a"], 4) as running:
        scenario.start(running)
        dead, *others = running.routers
        dead.process.kill()
        _wait_status(others, dead.name, {"dead"}, _DETECTION_S)
        dead.process.start()
        _wait_status(others, dead.name, {"alive"}, _DETECTION_S)


def _suspend_and_resume() -> None:
    with fleet.Fleet(scenario.specs(copies=1), ["a"], 4) as running:
        scenario.start(running)
        suspended, *others = running.routers
        suspended.process.suspend()
        _wait_status(others, suspended.name, {"suspect", "dead"}, _DETECTION_S)
        suspended.process.resume()
        _wait_status(others, suspended.name, {"alive"}, _DETECTION_S)
        _wait_status([suspended], others[0].name, {"alive"}, _DETECTION_S)


def _graceful_leave() -> None:
    with fleet.Fleet(scenario.specs(copies=1), ["a"], 4) as running:
        scenario.start(running)
        leaving, *others = running.routers
        leaving.process.stop()
        _wait_status(others, leaving.name, {"left"}, _DETECTION_S)


def _execution_count(endpoint: fleet.Endpoint) -> int:
    return fleet.endpoint_counts(endpoint)["total"]


def _check_no_new_work(running: fleet.Fleet, endpoint: fleet.Endpoint) -> None:
    """Checks that a leaving endpoint gets no work once routers know of it."""
    scenario.pause(_LEAVING_SPREAD_S)
    before = _execution_count(endpoint)
    for router in running.routers:
        for number in range(20):
            result = scenario.send(router, "encode", f"x{number}")
            expect(result.outcome == "answer", f"told {result}")
    expect(
        _execution_count(endpoint) == before, "a leaving endpoint got new work"
    )


def _encoder(running: fleet.Fleet) -> fleet.Endpoint:
    return next(
        item for item in running.endpoints if item.spec.pool == "encode"
    )


def _leave_by_list() -> None:
    with fleet.Fleet(scenario.specs(5), ["a"], 3) as running:
        scenario.start(running)
        endpoint = _encoder(running)
        endpoint.entry["state"] = "leaving"
        running.update_host_list()
        _check_no_new_work(running, endpoint)


def _leave_by_answer() -> None:
    """The host list is down; the endpoint tells one router in its answer."""
    with fleet.Fleet(scenario.specs(5), ["a"], 3) as running:
        scenario.start(running)
        fleet.set_fault(running.hosts_address, "down")
        endpoint = _encoder(running)
        fleet.configure_endpoint(endpoint, leaving=True)
        for number in range(20):
            result = scenario.send(running.routers[0], "encode", f"y{number}")
            expect(result.outcome == "answer", f"told {result}")
        fleet.configure_endpoint(endpoint, leaving=False)
        _check_no_new_work(running, endpoint)


def _leave_without_list() -> None:
    """One router can't read the host list and learns the change by gossip."""
    with fleet.Fleet(scenario.specs(5), ["a"], 3) as running:
        scenario.start(running)
        unused_address = fleet.free_address()
        without_list = running.add_router(
            "entry-cut", "a", host_list_address=unused_address
        )
        running.update_host_list()
        fleet.wait_until(
            lambda: fleet.version_in_force(without_list) >= 0,
            "the new router has a version",
        )
        endpoint = _encoder(running)
        endpoint.entry["state"] = "leaving"
        running.update_host_list()
        scenario.pause(_LEAVING_SPREAD_S)
        report = fleet.fetch_status(without_list)
        expect(
            report["counters"].get("endpoints.leaving", 0) == 1,
            "a router without the list did not learn of the leaving endpoint",
        )
        running.routers.remove(without_list)
        _check_no_new_work(running, endpoint)
        running.routers.append(without_list)


def _restart_endpoint() -> None:
    """The same address with a new incarnation gets work again."""
    with fleet.Fleet(scenario.specs(5), ["a"], 2) as running:
        scenario.start(running)
        endpoint = _encoder(running)
        endpoint.entry["state"] = "leaving"
        running.update_host_list()
        _check_no_new_work(running, endpoint)
        endpoint.entry["state"] = "live"
        endpoint.entry["incarnation"] += 1
        running.update_host_list()
        before = _execution_count(endpoint)

        def is_used() -> bool:
            for router in running.routers:
                scenario.send(router, "encode", "z")
            return _execution_count(endpoint) > before

        fleet.wait_until(is_used, "a restarted endpoint gets work")


def scenarios() -> list[scenario.Scenario]:
    """Returns the scenarios of this module."""
    return [
        scenario.Scenario("members: kill and restart", _kill_and_restart),
        scenario.Scenario("members: freeze and thaw", _suspend_and_resume),
        scenario.Scenario("members: graceful leave", _graceful_leave),
        scenario.Scenario("leaving: by the list", _leave_by_list),
        scenario.Scenario("leaving: by answer, list down", _leave_by_answer),
        scenario.Scenario(
            "leaving: one router off the list", _leave_without_list
        ),
        scenario.Scenario("leaving: a new incarnation", _restart_endpoint),
    ]
