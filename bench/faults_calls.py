"""Calls that may not be repeated run at most once, whatever fails."""

import functools

from bench import fleet, scenario
from bench.scenario import expect

# Moments after the request was sent: about before the claim, after it, after
# the dispatch and after the outcome of a call that takes 0.3 s.
_MOMENTS_S = (0.0, 0.01, 0.04, 0.15, 0.5)
_CALL_MS = 300.0


def _kill_router(moment_s: float) -> None:
    with fleet.Fleet(scenario.specs(_CALL_MS), ["a"], 3) as running:
        scenario.start(running)
        key = fleet.new_key()
        first = scenario.Caller(running.routers[0], "book", "gate", key)
        scenario.pause(moment_s)
        running.routers[0].process.kill()
        second = scenario.send(running.routers[1], "book", "gate", key)
        answers = [first.result(), second]
        running.routers[0].process.start()
        running.wait_ready()
        running.wait_endpoints_known()
        answers += scenario.check_same_outcome(running, key, "gate")
        scenario.check_key(running, key, answers)


def _freeze_router(moment_s: float) -> None:
    with fleet.Fleet(scenario.specs(_CALL_MS), ["a"], 3) as running:
        scenario.start(running)
        key = fleet.new_key()
        first = scenario.Caller(running.routers[0], "book", "gate", key)
        scenario.pause(moment_s)
        running.routers[0].process.freeze()
        second = scenario.send(
            running.routers[1], "book", "gate", key, Deadline_Ms="1500"
        )
        runs = scenario.executions(running, key)
        if second.outcome == "not_run":
            expect(runs == 0, "told not run, but it had run")
        running.routers[0].process.thaw()
        answers = [first.result(), second]
        answers += scenario.check_same_outcome(running, key, "gate")
        scenario.check_key(running, key, answers)


def _lose_append_answer() -> None:
    with fleet.Fleet(scenario.specs(), ["a"], 2) as running:
        scenario.start(running)
        for _ in range(5):
            key = fleet.new_key()
            fleet.set_fault(running.log_address, "lost", times=1)
            first = scenario.send(running.routers[0], "book", "gate", key)
            fleet.set_fault(running.log_address, "none")
            expect(first.outcome in ("answer", "unknown"), f"told {first}")
            answers = scenario.check_same_outcome(running, key, "gate")
            scenario.check_key(running, key, [first, *answers])


def _log_down() -> None:
    with fleet.Fleet(scenario.specs(), ["a"], 2) as running:
        scenario.start(running)
        fleet.set_fault(running.log_address, "down")
        known = fleet.new_key()
        told = scenario.send(running.routers[0], "book", "gate", known)
        expect(told.outcome == "unknown", f"an unproved refusal: {told}")
        fresh = fleet.new_key()
        told = scenario.send(
            running.routers[0], "book", "g", fresh, Idempotency_Attempt="1"
        )
        expect(told.outcome == "not_run", f"a first attempt: {told}")
        for key in (known, fresh):
            expect(scenario.executions(running, key) == 0, "ran unlogged")
        fleet.set_fault(running.log_address, "none")
        fleet.wait_until(
            lambda: (
                scenario.send(running.routers[1], "book", "gate", known).outcome
                == "answer"
            ),
            "bookings work again",
        )
        answers = scenario.check_same_outcome(running, known, "gate")
        scenario.check_key(running, known, answers)
        expect(answers[0].outcome == "answer", "no answer after the outage")


def _log_slow() -> None:
    with fleet.Fleet(scenario.specs(), ["a"], 2) as running:
        scenario.start(running)
        fleet.set_fault(running.log_address, "slow", delay_s=0.7)
        key = fleet.new_key()
        racing = [
            scenario.Caller(router, "book", "gate", key)
            for router in running.routers
        ]
        answers = [caller.result() for caller in racing]
        expect(
            {item.outcome for item in answers} <= {"answer", "unknown"},
            f"told {answers}",
        )
        fleet.set_fault(running.log_address, "none")
        answers += scenario.check_same_outcome(running, key, "gate")
        scenario.check_key(running, key, answers)


def _service_breaks(fault: str) -> None:
    with fleet.Fleet(scenario.specs(), ["a"], 2) as running:
        scenario.start(running)
        # A first booking leaves connections that could be used again.
        scenario.send(running.routers[0], "book", "warm", fleet.new_key())
        for endpoint in running.endpoints:
            if endpoint.spec.pool == "bookings":
                fleet.configure_endpoint(endpoint, answers=fault, times=1)
        key = fleet.new_key()
        told = scenario.send(
            running.routers[0], "book", "gate", key, Deadline_Ms="2000"
        )
        expect(told.outcome == "unknown", f"{fault}: told {told}")
        answers = scenario.check_same_outcome(running, key, "gate")
        scenario.check_key(running, key, [told, *answers])
        expect(scenario.executions(running, key) == 1, "it didn't run")


def _race() -> None:
    with fleet.Fleet(scenario.specs(), ["a"], 3) as running:
        scenario.start(running)
        for _ in range(20):
            key = fleet.new_key()
            racing = [
                scenario.Caller(router, "book", "gate", key)
                for router in running.routers
            ]
            answers = [caller.result() for caller in racing]
            expect(
                all(item.outcome == "answer" for item in answers),
                f"told {answers}",
            )
            scenario.check_key(running, key, answers)


def _key_rules() -> None:
    with fleet.Fleet(scenario.specs(), ["a"], 2) as running:
        scenario.start(running)
        key = fleet.new_key()
        first = scenario.send(running.routers[0], "book", "gate", key)
        expect(first.outcome == "answer", f"told {first}")
        other = scenario.send(running.routers[1], "book", "shrine", key)
        expect(other.reason == "idempotency-key-reused", f"told {other}")
        none = scenario.send(running.routers[0], "book", "gate")
        expect(none.reason == "bad-idempotency-key", f"told {none}")
        old = "01800000-0000-7000-8000-000000000000"
        told = scenario.send(running.routers[0], "book", "gate", old)
        expect(told.outcome == "unknown", f"an old key: {told}")
        expect(scenario.executions(running, old) == 0, "an old key ran")


def _outage_and_kill(moment_s: float) -> None:
    """The log fails and the router dies, one right after the other."""
    with fleet.Fleet(scenario.specs(_CALL_MS), ["a"], 3) as running:
        scenario.start(running)
        key = fleet.new_key()
        first = scenario.Caller(running.routers[0], "book", "gate", key)
        scenario.pause(moment_s)
        fleet.set_fault(running.log_address, "down")
        scenario.pause(0.05)
        running.routers[0].process.kill()
        second = scenario.send(running.routers[1], "book", "gate", key)
        runs = scenario.executions(running, key)
        if second.outcome == "not_run":
            expect(runs == 0, "told not run, but it had run")
        fleet.set_fault(running.log_address, "none")
        third = scenario.send(running.routers[2], "book", "gate", key)
        scenario.check_key(running, key, [first.result(), second, third])


def scenarios() -> list[scenario.Scenario]:
    """Returns all scenarios of this page."""
    listed = [
        scenario.Scenario("calls: append's answer lost", _lose_append_answer),
        scenario.Scenario("calls: log down", _log_down),
        scenario.Scenario("calls: log slow, racing routers", _log_slow),
        scenario.Scenario("calls: three routers race", _race),
        scenario.Scenario("calls: reused, missing and old keys", _key_rules),
    ]
    for fault in ("closed", "silent", "other"):
        listed.append(
            scenario.Scenario(
                f"calls: service answers {fault}",
                functools.partial(_service_breaks, fault),
            )
        )
    for name, run in (
        ("router killed", _kill_router),
        ("router frozen, racing retry", _freeze_router),
        ("log outage and router kill", _outage_and_kill),
    ):
        for moment_s in _MOMENTS_S:
            listed.append(
                scenario.Scenario(
                    f"calls: {name} at {moment_s:g} s",
                    functools.partial(run, moment_s),
                )
            )
    return listed
