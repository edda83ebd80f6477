"""Faults around non-repeatable calls, which must run at most once."""

import functools

from bench import fleet, scenario
from bench.scenario import expect

# Delays from the request to the fault. A call takes `_CALL_MS`, so the faults
# come about before and after its claim, after its dispatch, and after its
# outcome.
_FAULT_DELAYS_S = (0.0, 0.01, 0.04, 0.15, 0.5)
_CALL_MS = 300.0


def _kill_router(delay_s: float) -> None:
    with fleet.Fleet(scenario.specs(_CALL_MS), ["a"], 3) as running:
        scenario.start(running)
        key = fleet.new_key()
        first = scenario.Caller(running.routers[0], "book", "gate", key)
        scenario.pause(delay_s)
        running.routers[0].process.kill()
        second = scenario.send(running.routers[1], "book", "gate", key)
        answers = [first.result(), second]
        running.routers[0].process.start()
        running.wait_until_healthy()
        running.wait_endpoints_known()
        answers += scenario.check_same_outcome(running, key, "gate")
        scenario.check_key(running, key, answers)


def _suspend_router(delay_s: float) -> None:
    with fleet.Fleet(scenario.specs(_CALL_MS), ["a"], 3) as running:
        scenario.start(running)
        key = fleet.new_key()
        first = scenario.Caller(running.routers[0], "book", "gate", key)
        scenario.pause(delay_s)
        running.routers[0].process.suspend()
        second = scenario.send(
            running.routers[1], "book", "gate", key, Deadline_Ms="1500"
        )
        runs = scenario.executions(running, key)
        if second.outcome == "not_run":
            expect(runs == 0, "the outcome was not_run, but the call had run")
        running.routers[0].process.resume()
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
        unmarked_key = fleet.new_key()
        result = scenario.send(running.routers[0], "book", "gate", unmarked_key)
        expect(result.outcome == "unknown", f"an unproved refusal: {result}")
        first_attempt_key = fleet.new_key()
        result = scenario.send(
            running.routers[0],
            "book",
            "g",
            first_attempt_key,
            Idempotency_Attempt="1",
        )
        expect(result.outcome == "not_run", f"a first attempt: {result}")
        for key in (unmarked_key, first_attempt_key):
            expect(
                scenario.executions(running, key) == 0,
                "a call ran without a logged claim",
            )
        fleet.set_fault(running.log_address, "none")
        fleet.wait_until(
            lambda: (
                scenario.send(
                    running.routers[1], "book", "gate", unmarked_key
                ).outcome
                == "answer"
            ),
            "bookings work again",
        )
        answers = scenario.check_same_outcome(running, unmarked_key, "gate")
        scenario.check_key(running, unmarked_key, answers)
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


def _faulty_service(fault: str) -> None:
    with fleet.Fleet(scenario.specs(), ["a"], 2) as running:
        scenario.start(running)
        # A first booking leaves pooled connections that could be reused.
        scenario.send(running.routers[0], "book", "warm", fleet.new_key())
        for endpoint in running.endpoints:
            if endpoint.spec.pool == "bookings":
                fleet.configure_endpoint(endpoint, answers=fault, times=1)
        key = fleet.new_key()
        result = scenario.send(
            running.routers[0], "book", "gate", key, Deadline_Ms="2000"
        )
        expect(result.outcome == "unknown", f"{fault}: told {result}")
        answers = scenario.check_same_outcome(running, key, "gate")
        scenario.check_key(running, key, [result, *answers])
        expect(scenario.executions(running, key) == 1, "the call did not run")


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
        reused = scenario.send(running.routers[1], "book", "shrine", key)
        expect(reused.reason == "idempotency-key-reused", f"told {reused}")
        missing = scenario.send(running.routers[0], "book", "gate")
        expect(missing.reason == "bad-idempotency-key", f"told {missing}")
        old_key = "01800000-0000-7000-8000-000000000000"
        result = scenario.send(running.routers[0], "book", "gate", old_key)
        expect(result.outcome == "unknown", f"an old key: {result}")
        expect(
            scenario.executions(running, old_key) == 0,
            "a call with an old key ran",
        )


def _outage_and_kill(delay_s: float) -> None:
    """The log fails, and the router is killed right after it."""
    with fleet.Fleet(scenario.specs(_CALL_MS), ["a"], 3) as running:
        scenario.start(running)
        key = fleet.new_key()
        first = scenario.Caller(running.routers[0], "book", "gate", key)
        scenario.pause(delay_s)
        fleet.set_fault(running.log_address, "down")
        scenario.pause(0.05)
        running.routers[0].process.kill()
        second = scenario.send(running.routers[1], "book", "gate", key)
        runs = scenario.executions(running, key)
        if second.outcome == "not_run":
            expect(runs == 0, "the outcome was not_run, but the call had run")
        fleet.set_fault(running.log_address, "none")
        third = scenario.send(running.routers[2], "book", "gate", key)
        scenario.check_key(running, key, [first.result(), second, third])


def scenarios() -> list[scenario.Scenario]:
    """Returns the scenarios of this module."""
    cases = [
        scenario.Scenario("calls: append's answer lost", _lose_append_answer),
        scenario.Scenario("calls: log down", _log_down),
        scenario.Scenario("calls: log slow, racing routers", _log_slow),
        scenario.Scenario("calls: three routers race", _race),
        scenario.Scenario("calls: reused, missing and old keys", _key_rules),
    ]
    for fault in ("closed", "silent", "other"):
        cases.append(
            scenario.Scenario(
                f"calls: service answers {fault}",
                functools.partial(_faulty_service, fault),
            )
        )
    for name, run in (
        ("router killed", _kill_router),
        ("router frozen, racing retry", _suspend_router),
        ("log outage and router kill", _outage_and_kill),
    ):
        for delay_s in _FAULT_DELAYS_S:
            cases.append(
                scenario.Scenario(
                    f"calls: {name} at {delay_s:g} s",
                    functools.partial(run, delay_s),
                )
            )
    return cases
