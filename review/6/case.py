"""A stream that begins on a kept channel of a daemon that stops."""

import asyncio
import pathlib
import signal
import sys
import time

from review.standins_2 import http, platform, servers

_FOLDER = pathlib.Path(__file__).parent
_DEADLINE_MS = 15000
_CLIENTS = 3
# Requests sent later than this after SIGTERM aren't excused by the rule.
_EXCUSED_S = 3.0


async def _ask(channel: http.Channel, request_id: str, path: str):
    channel.send(
        "POST", path, platform.client_headers(request_id, _DEADLINE_MS), b"x"
    )
    return await channel.receive()


async def _run(has_trouble: bool, folder: pathlib.Path) -> int:
    record = platform.Record(_FOLDER / "record.txt")
    store = platform.Store()
    await store.start()
    stream = {"gap_aim_ms": 500}
    await store.write(
        platform.CONFIG,
        "config",
        platform.configuration(
            [
                platform.route("digest", "streaming", "engine", **stream),
                platform.route("history", "streaming", "engine", **stream),
            ],
            [{"name": "engine"}],
        ),
    )
    engines = [
        servers.Server(f"e-{n}", "engine", zone, store, record)
        for n, zone in enumerate("ab")
    ]
    for engine in engines:
        await engine.start()
    daemons = platform.create_daemons("aab", folder, store)
    try:
        for daemon in daemons:
            daemon.start()
        await platform.wait_until_ready(daemons)
        return await _play(daemons[0], has_trouble, record)
    finally:
        for daemon in daemons:
            daemon.end()


async def _play(daemon, has_trouble: bool, record) -> int:
    channel = await http.connect(daemon.ip, platform.CLIENT_PORT)
    for number in range(3):
        request_id = f"short-{number}"
        answer = await _ask(channel, request_id, "/history/stream/15/30")
        record.write("answer", request=request_id, status=answer.status)
        if not answer.is_complete:
            return 2
    # About 4.6 s; their heads are sent before the daemon is told to stop.
    clients = [
        asyncio.create_task(_use_channel(daemon, number, record))
        for number in range(_CLIENTS)
    ]
    await asyncio.sleep(0.9)
    began_at = time.monotonic()
    if has_trouble:
        daemon.signal(signal.SIGTERM)
        record.write("SIGTERM", daemon=daemon.name)
    lost = 0
    for sent_at, answer in await asyncio.gather(*clients):
        is_late = sent_at - began_at > _EXCUSED_S
        is_cut = bool(answer.status) and not answer.is_complete
        lost += is_late and is_cut
    if lost:
        record.write("LOST", requests=lost)
    return int(lost > 0)


async def _use_channel(daemon, number: int, record):
    """Sends two requests on a channel; returns when the second, its answer."""
    channel = await http.connect(daemon.ip, platform.CLIENT_PORT)
    request_id = f"digest-{number}"
    count = 150 + 7 * number
    answer = await _ask(channel, request_id, f"/digest/stream/{count}/30")
    _write_answer(record, request_id, answer)
    sent_at = time.monotonic()
    request_id = f"long-{number}"
    record.write("sent", request=request_id)
    answer = await _ask(channel, request_id, "/history/stream/180/30")
    _write_answer(record, request_id, answer)
    channel.close()
    return sent_at, answer


def _write_answer(record, request_id: str, answer: http.Answer) -> None:
    # A status of 0: the channel was closed, and the request not read.
    record.write(
        "answer",
        request=request_id,
        status=answer.status,
        is_complete=answer.is_complete,
        events=answer.body.count(b"\n\n"),
        connection=answer.headers.get("connection"),
    )


if __name__ == "__main__":
    sys.exit(platform.play(_run))
