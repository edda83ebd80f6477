"""Case 11: streams go on at another software version beside a store outage."""

import asyncio
import pathlib
import signal

from review.standins_3 import clients, platform, servers
from soak import store

_STREAMS = 24
# Seconds after the start of the servers.
_BEGIN_AT = 20.0
_DRAIN_AT = 21.5
_ADD_AT = 22.0
_TERM_AT = 24.0
# The gateway that stops breaks its streams off at the end of its grace period.
_DOWN_AT = 28.5
_DOWN_S = 4.5
_ALLOWED = 2


async def _until(record: platform.Record, at: float) -> None:
    await asyncio.sleep(max(0.0, at - record.now()))


async def _stream(
    number: int,
    first: platform.Gateway,
    second: platform.Gateway,
    record: platform.Record,
) -> set[str]:
    """Runs a stream that is taken up once; returns the versions it holds."""
    headers = {
        "Model": "m",
        "Token-Usage": "543,540",
        "Prompt-Prefix": f"aa{number % 4:02x}:103,bb{number:04x}:440",
        "Deadline-Ms": "15000",
    }
    began_at = record.now()
    got = await clients.send(first.ip, "/tally-tags/x", headers)
    events = got.events()
    record.write(
        f"stream {number}: {got.request_id} got {got.status}, events up to "
        f"{events[-1] if events else None}, complete: {got.is_complete}"
    )
    versions = {data.split()[1] for _, data in events}
    if got.is_complete or not events:
        return versions
    left_ms = 15000 - int(1000 * (record.now() - began_at))
    taken_up = await clients.send(
        second.ip,
        "/tally-tags/x",
        headers
        | {
            "Deadline-Ms": str(left_ms),
            "Last-Event-Id": str(events[-1][0]),
            "Resumes": got.request_id,
        },
    )
    more = taken_up.events()
    record.write(
        f"stream {number}: taken up as {taken_up.request_id}, got "
        f"{taken_up.status}, events {more[0] if more else None} to "
        f"{more[-1] if more else None}"
    )
    return versions | {data.split()[1] for _, data in more}


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
        for n in range(2)
    ]
    new = [
        servers.ModelServer(
            f"new-{n}", "brine-model", "pointe-a", "4.2", store_server, record
        )
        for n in range(2)
    ]
    for server in old + new:
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
        await first.start()
        await _until(record, _BEGIN_AT)
        streams = [
            asyncio.create_task(_stream(n, first, second, record))
            for n in range(_STREAMS)
        ]
        await _until(record, _DRAIN_AT)
        for server in old:
            await server.drain()
        await _until(record, _ADD_AT)
        await second.start()
        await _until(record, _TERM_AT)
        first.send_signal(signal.SIGTERM)
        await _until(record, _DOWN_AT)
        if platform.HAS_TROUBLE:
            record.write("the store is down")
            store_server.is_down = True
        await _until(record, _DOWN_AT + _DOWN_S)
        if platform.HAS_TROUBLE:
            record.write("the store is back")
            store_server.is_down = False
        versions = await asyncio.gather(*streams)
    finally:
        first.stop()
        second.stop()
    for line in second.log_lines("stream taken up"):
        record.write(f"{second.name} logs {line}")
    mixed = sum(len(held) > 1 for held in versions)
    began = sum(bool(held) for held in versions)
    record.write(
        f"{mixed} of {began} streams hold events of two versions; the rule "
        f"allows {_ALLOWED}"
    )
    if began < _STREAMS // 2:
        return 2
    return 1 if mixed > _ALLOWED else 0


if __name__ == "__main__":
    platform.run_case(__file__, _play)
