"""Checks a soak by what callers and endpoints saw."""

from soak.records import SETTLING_S, History

# Routes whose requests may run at most once.
AT_MOST_ONCE = frozenset(("book", "note"))
# Statuses that say that the request hasn't run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Bounds of the settings that the soak's gateways get.
DRAIN_S = 2.0
CONFIG_S = 2.0
EVACUATE_S = 5.0
# This process reads its clock slightly after the event.
_SLACK_S = 0.25
# Least share of the requests sent after `recovery_due_at` that must be served.
_MIN_SERVED_SHARE = 0.25
# A prompt part must be known after this many crashes, but for a few requests.
_KNOWN_CRASHES = 5
_MAX_LATE_PROMPTS = 3
# Requests that an endpoint with a limit may get in a window.
_LIMIT_WINDOW_S = 4.0
_LIMIT_RATIO = 1.5
_LIMIT_SLACK = 5
_OK = 200


def find_violations(history: History, recovery_due_at: float) -> list[str]:
    """Returns a line for each violated guarantee.

    Args:
        history: what callers and endpoints saw.
        recovery_due_at: when the gateways must have recovered from all faults.
    """
    return [
        *history.violations,
        *_run_more_than_once(history),
        *_refused_but_run(history),
        *_mixed_up(history),
        *_wrong_tenant(history),
        *_sent_to_leaving(history),
        *_sent_to_evacuated(history),
        *_stale_configuration(history),
        *_sent_deadly_parts(history),
        *_over_limit(history),
        *_unanswered_at_shutdown(history),
        *_not_recovered(history, recovery_due_at),
    ]


def _run_more_than_once(history: History):
    for request_id, runs in history.runs.items():
        if runs[0].route in AT_MOST_ONCE and len(runs) > 1:
            yield f"{request_id} ({runs[0].route}) ran {len(runs)} times"


def _refused_but_run(history: History):
    """Finds at-most-once requests that were refused as not run but ran."""
    for answer in history.answers:
        if (
            answer.route not in AT_MOST_ONCE
            or answer.status not in NOT_RUN_STATUSES
        ):
            continue
        if history.runs.get(answer.request_id):
            yield f"{answer.request_id} was answered {answer.status} and ran"


def _mixed_up(history: History):
    for answer in history.answers:
        if answer.status != _OK:
            continue
        if not answer.matches_request:
            yield f"{answer.request_id} got what belongs to another"
        count = len(answer.events)
        if answer.events != tuple(range(1, count + 1)):
            yield f"{answer.request_id} got events {answer.events}"
        if answer.is_complete and count != answer.expected_events:
            yield (
                f"{answer.request_id} looks whole with {count} of "
                f"{answer.expected_events} events"
            )


def _wrong_tenant(history: History):
    for runs in history.runs.values():
        for run in runs:
            if run.has_authorization or run.tenant != "crew":
                yield f"{run.request_id} ran as {run.tenant!r}"


def _sent_to_leaving(history: History):
    for runs in history.runs.values():
        for run in runs:
            since = history.leaving_since.get(run.endpoint)
            if since is None or run.started_at <= since + DRAIN_S + _SLACK_S:
                continue
            targets = {"store", run.gateway, f"link {run.endpoint}"}
            if history.is_undisturbed(
                targets, since - SETTLING_S, run.started_at
            ):
                yield (
                    f"{run.request_id} reached {run.endpoint} "
                    f"{run.started_at - since:.2f} s after it was leaving"
                )


def _sent_to_evacuated(history: History):
    """Finds work that was sent to an evacuated data centre after the bound."""
    gateways = {
        item.gateway for runs in history.runs.values() for item in runs
    } | {item.gateway for item in history.work}
    for evacuation in history.evacuations:
        due_at = evacuation.began_at + EVACUATE_S
        # No host may have read the record before an outage began.
        if not history.is_undisturbed(
            {"store"}, evacuation.began_at - SETTLING_S, due_at
        ):
            continue
        for work in history.work:
            if (
                work.data_centre != evacuation.data_centre
                or not due_at + _SLACK_S < work.arrived_at < evacuation.ended_at
            ):
                continue
            targets = {work.gateway} if work.gateway else gateways
            if history.is_undisturbed(
                targets | {f"link {work.endpoint}"},
                work.arrived_at - SETTLING_S,
                work.arrived_at,
            ):
                late_s = work.arrived_at - evacuation.began_at
                yield (
                    f"{work.endpoint} got work of "
                    f"{work.gateway or 'a coordinator'} {late_s:.2f} s after "
                    f"the evacuation of {work.data_centre}"
                )


def _stale_configuration(history: History):
    """Finds requests of `look` run by a pool of an outdated configuration."""
    answers_by_id = {answer.request_id: answer for answer in history.answers}
    for runs in history.runs.values():
        for run in runs:
            answer = answers_by_id.get(run.request_id)
            if run.route != "look" or answer is None:
                continue
            bound = answer.sent_at - CONFIG_S - _SLACK_S
            older = [pool for at, pool in history.lookup_pools if at <= bound]
            newer = [pool for at, pool in history.lookup_pools if at > bound]
            pool = run.endpoint.rsplit("-", 1)[0]
            if pool in {*older[-1:], *newer}:
                continue
            if history.is_undisturbed(
                {"store", run.gateway},
                answer.sent_at - SETTLING_S,
                run.started_at,
            ):
                yield f"{run.request_id} was run by {pool}, moved long ago"


def _sent_deadly_parts(history: History):
    """Finds prompts that were sent although they had crashed enough engines."""
    for part, crashes in history.crashes.items():
        if len(crashes) < _KNOWN_CRASHES:
            continue
        known_at = sorted(crashes)[_KNOWN_CRASHES - 1] + SETTLING_S
        late = [
            run
            for runs in history.runs.values()
            for run in runs
            if part in run.prompt
            and run.started_at > known_at
            and _is_settled(history, run.gateway, run.started_at)
        ]
        if len(late) > _MAX_LATE_PROMPTS:
            yield f"{part} was sent {len(late)} times after {known_at:.1f}"


def _over_limit(history: History):
    """Finds endpoints that got more requests than the limit that they named."""
    for limit in history.limits:
        times = [
            at
            for at, gateway in history.arrivals[limit.endpoint]
            if limit.began_at + SETTLING_S <= at <= limit.ended_at
            and _is_settled(history, gateway, at)
        ]
        allowed = _LIMIT_RATIO * limit.per_s * _LIMIT_WINDOW_S + _LIMIT_SLACK
        for first in times:
            count = sum(first <= at < first + _LIMIT_WINDOW_S for at in times)
            if count > allowed:
                yield (
                    f"{limit.endpoint} got {count} requests with a limit of "
                    f"{limit.per_s}"
                )
                break


def _is_settled(history: History, gateway: str, at: float) -> bool:
    return history.is_undisturbed({gateway}, at - SETTLING_S, at)


def _unanswered_at_shutdown(history: History):
    """Finds requests that got no status while their gateway was terminated.

    Requests that the caller gave up or that another disturbance of the gateway
    may have cut off don't count. A stream cut off after its status isn't found.
    """
    terms = [item for item in history.disturbances if item.kind == "term"]
    for answer in history.answers:
        if answer.status is not None or answer.caller_gave_up:
            continue
        for term in terms:
            overlaps = (
                term.target == answer.gateway
                and answer.ended_at >= term.began_at
                and answer.sent_at <= term.ended_at
            )
            others = History()
            others.disturbances = [
                item for item in history.disturbances if item is not term
            ]
            targets = {answer.gateway, f"caller {answer.request_id}"}
            if overlaps and others.is_undisturbed(
                targets, answer.sent_at - SETTLING_S, answer.ended_at
            ):
                yield f"{answer.request_id} was cut off by a shutdown"


def _not_recovered(history: History, recovery_due_at: float):
    late_answers = [
        item for item in history.answers if item.sent_at > recovery_due_at
    ]
    served = sum(item.status == _OK for item in late_answers)
    if late_answers and served < _MIN_SERVED_SHARE * len(late_answers):
        yield f"{served} of {len(late_answers)} served after the last fault"
