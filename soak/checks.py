"""Judges a soak by what callers and back ends saw."""

from soak.records import CONTACT_S, Records

AT_MOST_ONCE = frozenset(("book", "note"))
# Statuses that promise that the request has not run and never will.
PROMISES = frozenset((408, 421, 429, 503))
# Bounds of the settings that the soak's gateways get.
DRAIN_S = 2.0
CONFIG_S = 2.0
# Clocks of this process are read a moment after the event.
_SLACK_S = 0.25
# Of the requests after the last fault, this share must be served.
_RECOVERED = 0.25
_SERVED = 200


def find_broken(records: Records, calm_from: float) -> list[str]:
    """Returns a line for each promise that was broken.

    Args:
        records: what was seen.
        calm_from: when the last fault had ended and recovery was due.
    """
    return [
        *records.broken,
        *_run_twice(records),
        *_refused_but_run(records),
        *_mixed(records),
        *_wrong_tenant(records),
        *_late_to_leaving(records),
        *_old_configuration(records),
        *_cut_by_shutdown(records),
        *_not_recovered(records, calm_from),
    ]


def _run_twice(records: Records):
    for request_id, runs in records.runs.items():
        if runs[0].route in AT_MOST_ONCE and len(runs) > 1:
            yield f"{request_id} ({runs[0].route}) ran {len(runs)} times"


def _refused_but_run(records: Records):
    for answer in records.answers:
        if answer.route not in AT_MOST_ONCE or answer.status not in PROMISES:
            continue
        if records.runs.get(answer.request_id):
            yield f"{answer.request_id} was answered {answer.status} and ran"


def _mixed(records: Records):
    for answer in records.answers:
        if answer.status != _SERVED:
            continue
        if not answer.is_own:
            yield f"{answer.request_id} got what belongs to another"
        count = len(answer.events)
        if answer.events != tuple(range(1, count + 1)):
            yield f"{answer.request_id} got events {answer.events}"
        if answer.is_whole and count != answer.wanted:
            yield (
                f"{answer.request_id} looks whole with {count} of "
                f"{answer.wanted} events"
            )


def _wrong_tenant(records: Records):
    for runs in records.runs.values():
        for run in runs:
            if run.has_key or run.tenant != "crew":
                yield f"{run.request_id} ran as {run.tenant!r}"


def _late_to_leaving(records: Records):
    for runs in records.runs.values():
        for run in runs:
            left_at = records.left_at.get(run.endpoint)
            if left_at is None or run.at <= left_at + DRAIN_S + _SLACK_S:
                continue
            targets = {"store", run.gateway, f"link {run.endpoint}"}
            if records.is_calm(targets, left_at - CONTACT_S, run.at):
                yield (
                    f"{run.request_id} reached {run.endpoint} "
                    f"{run.at - left_at:.2f} s after it was leaving"
                )


def _old_configuration(records: Records):
    """`records.moved_at` says when lookups were given to which pool."""
    sent = {answer.request_id: answer for answer in records.answers}
    for runs in records.runs.values():
        for run in runs:
            answer = sent.get(run.request_id)
            if run.route != "look" or answer is None:
                continue
            bound = answer.sent_at - CONFIG_S - _SLACK_S
            before = [pool for at, pool in records.moved_at if at <= bound]
            later = [pool for at, pool in records.moved_at if at > bound]
            pool = run.endpoint.rsplit("-", 1)[0]
            if pool in {*before[-1:], *later}:
                continue
            if records.is_calm(
                {"store", run.gateway}, answer.sent_at - CONTACT_S, run.at
            ):
                yield f"{run.request_id} was run by {pool}, moved long ago"


def _cut_by_shutdown(records: Records):
    terms = [item for item in records.disturbances if item.kind == "term"]
    for answer in records.answers:
        if answer.status is not None or answer.has_left:
            continue
        for term in terms:
            is_around = (
                term.target == answer.gateway
                and answer.ended_at >= term.began_at
                and answer.sent_at <= term.ended_at
            )
            others = Records()
            others.disturbances = [
                item for item in records.disturbances if item is not term
            ]
            targets = {answer.gateway, f"caller {answer.request_id}"}
            if is_around and others.is_calm(
                targets, answer.sent_at - CONTACT_S, answer.ended_at
            ):
                yield f"{answer.request_id} was cut off by a shutdown"


def _not_recovered(records: Records, calm_from: float):
    late = [item for item in records.answers if item.sent_at > calm_from]
    served = sum(item.status == _SERVED for item in late)
    if late and served < _RECOVERED * len(late):
        yield f"{served} of {len(late)} served after the last fault"
