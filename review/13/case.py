"""Case 13: streams of a frozen machine aren't taken up beside a release."""

import asyncio
import pathlib
import signal

from review.standins_3 import clients, platform, servers
from soak import store

_STREAMS = 24
_LEAST_STREAMS = 12
# Seconds after the start of the servers.
_BEGIN_AT = 8.0
_FREEZE_AT = 10.0
_FREEZE_S = 4.8
_RELEASE_AT = 11.0
# Two seconds, four times the objective or eight times the pause.
_GAP_S = 4.0
_DEADLINE_S = 15.0


def _headers(number: int) -> dict[str, str]:
    return {
        "Model": "m",
        "Token-Usage": "543,540",
        "Prompt-Prefix": f"aa{number % 4:02x}:103,bb{number:04x}:440",
    }


async def _take_up(
    number: int,
    first: platform.Gateway,
    second: platform.Gateway,
    record: platform.Record,
) -> bool | None:
    """Runs a stream and takes it up; returns whether it goes on."""
    began_at = record.now()
    # Without the disruption the client's channel breaks at the same time.
    leave_s = _FREEZE_AT + _GAP_S - began_at
    got = await clients.send(
        first.ip,
        "/tally-tags/x",
        _headers(number) | {"Deadline-Ms": str(int(1000 * _DEADLINE_S))},
        timeout_s=_DEADLINE_S if platform.HAS_TROUBLE else leave_s,
        gap_s=_GAP_S,
    )
    events = got.events()
    record.write(
        f"stream {number}: {got.request_id} by {first.name} got {got.status}, "
        f"events up to {events[-1] if events else None}, complete: "
        f"{got.is_complete}"
    )
    if got.is_complete or not events:
        return None
    left_s = _DEADLINE_S - (record.now() - began_at)
    taken_up = await clients.send(
        second.ip,
        "/tally-tags/x",
        _headers(number)
        | {
            "Deadline-Ms": str(int(1000 * left_s)),
            "Last-Event-Id": str(events[-1][0]),
            "Resumes": got.request_id,
        },
        timeout_s=2.0,
    )
    more = taken_up.events()
    record.write(
        f"stream {number}: taken up as {taken_up.request_id} by {second.name}, "
        f"got {taken_up.status} {taken_up.body[:160]!r}, "
        f"{len(more)} events from {more[0] if more else None} on"
    )
    return bool(more)


async def _begin(
    number: int, machine: platform.Gateway, record: platform.Record
) -> bool:
    """Returns whether a new stream begins."""
    await asyncio.sleep(max(0.0, _FREEZE_AT + _GAP_S - record.now()))
    got = await clients.send(
        machine.ip,
        "/tally-tags/x",
        _headers(number) | {"Deadline-Ms": str(int(1000 * _DEADLINE_S))},
        timeout_s=2.0,
    )
    record.write(
        f"new stream {number}: {got.request_id} by {machine.name} got "
        f"{got.status}, {len(got.events())} events"
    )
    return bool(got.events())


async def _disturb(
    first: platform.Gateway, release: servers.ModelServer
) -> None:
    record = release.record
    await asyncio.sleep(max(0.0, _FREEZE_AT - record.now()))
    if platform.HAS_TROUBLE:
        first.send_signal(signal.SIGSTOP)
    await asyncio.sleep(max(0.0, _RELEASE_AT - record.now()))
    await release.start()
    await asyncio.sleep(max(0.0, _FREEZE_AT + _FREEZE_S - record.now()))
    if platform.HAS_TROUBLE:
        first.send_signal(signal.SIGCONT)


async def _play(folder: pathlib.Path, record: platform.Record) -> int:
    store_server = store.StandInStore()
    host, port = await store_server.start()
    await platform.publish(
        store_server,
        1,
        [platform.stream_route()],
        [{"name": "brine-model"}],
    )
    old = [
        servers.ModelServer(
            f"old-{n}", "brine-model", "pointe-a", "4.1", store_server, record
        )
        for n in range(3)
    ]
    release = servers.ModelServer(
        "new-0", "brine-model", "pointe-a", "4.2", store_server, record
    )
    for server in old:
        await server.start()
    first, second = [
        platform.Gateway(
            f"front-{n}",
            "pointe-a",
            platform.loopback_address(n),
            f"{host}:{port}",
            folder,
            record,
        )
        for n in range(2)
    ]
    try:
        await asyncio.gather(first.start(), second.start())
        await asyncio.sleep(max(0.0, _BEGIN_AT - record.now()))
        taken_up = [_take_up(n, first, second, record) for n in range(_STREAMS)]
        new = [_begin(100 + n, second, record) for n in range(_STREAMS)]
        *results, _ = await asyncio.gather(
            *taken_up, *new, _disturb(first, release)
        )
    finally:
        first.stop()
        second.stop()
    for line in second.log_lines("stream taken up"):
        record.write(f"{second.name} logs {line}")
    went_on = [r for r in results[:_STREAMS] if r is not None]
    began = sum(results[_STREAMS:])
    record.write(
        f"{sum(went_on)} of {len(went_on)} streams that were taken up went on; "
        f"{began} of {_STREAMS} new ones began"
    )
    if len(went_on) < _LEAST_STREAMS or not began:
        return 2
    share = sum(went_on) / len(went_on)
    return 1 if share < 0.5 * began / _STREAMS else 0


if __name__ == "__main__":
    platform.run_case(__file__, _play)
