"""Streams that are taken up at a host out of step beside a release.

Streams begin at one host while engines of a new version join, break off, and
are taken up at another host that is out of step, or was. No stream may hold
events of two versions; what goes on is counted.
"""

import argparse
import asyncio
import collections
import itertools
import json
import pathlib
import signal
import sys
import tempfile
import time
from typing import NamedTuple

import h11

from soak import callers, endpoints, faults, gateways, link, records, store

TROUBLES = ("none", "freeze", "store", "store-wide", "slow", "peers", "both")
# When the streams are taken up, in seconds after the trouble begins.
TAKE_UPS = {"while": 3.0, "after": 4.7, "later": 9.0}
AGES = ("old", "young")
_STREAMS = 24
_EVENTS = 1000
_TIMEOUT_S = 15.0
_TROUBLE_S = 4.5
# The new version joins and streams begin this long after the trouble begins,
# and break off this long before they are taken up.
_JOIN_AT = 0.5
_BEGIN_AT = 2.0
_BREAK_S = 0.2
# Longer than streams may be taken up.
_OLD_S = 19.0
_YOUNG_S = 3.0
_READ_S = 2.0
_STORE_DELAY_S = 0.7


class Cell(NamedTuple):
    """What one run plays.

    Attributes:
        trouble: one of `TROUBLES`; "both" cuts the host off from the store and
            from the other host, "store-wide" takes the store from all.
        take_up: one of `TAKE_UPS`.
        age: whether the host has run for longer than a stream may take.
        is_lost: whether the host that began the streams ends as they break off.
    """

    trouble: str
    take_up: str
    age: str
    is_lost: bool


class Result(NamedTuple):
    """How the streams of a cell ended.

    Attributes:
        begun: streams with an event, by the version that began them.
        went_on: those that went on, by that version.
        mixed: ids of those that ran at two versions.
        statuses: how often each status answered a take-up.
    """

    begun: collections.Counter
    went_on: collections.Counter
    mixed: list[str]
    statuses: collections.Counter


def _configuration() -> dict:
    """Returns the soak's configuration with one route, without stages."""
    configuration = faults.configuration(1, "desk")
    (draft,) = [r for r in configuration["routes"] if r["name"] == "draft"]
    route = draft | {
        "name": "tell",
        "path_prefix": "/tell/",
        "timeout_ms": int(1000 * _TIMEOUT_S),
    }
    del route["stages"]
    return configuration | {"routes": [route]}


class _Play:
    """Plays one cell with real gateways."""

    def __init__(self, cell: Cell, folder: pathlib.Path, number: int):
        self._cell = cell
        self._folder = folder
        self._number = number
        self._history = records.History()
        self._results = endpoints.Results()
        self._store = store.StandInStore()
        self._tasks: list[asyncio.Task] = []
        self._fleet: list[gateways.Gateway] = []

    async def run(self) -> Result:
        """Returns how the streams ended."""
        self._address = await self._store.start()
        await self._store.write(
            store.CONFIG_TOPIC, "config", json.dumps(_configuration()).encode()
        )
        for n in range(2):
            await self._add_engine(f"engine-1{n}", "1")
        try:
            first = await self._add_host(0)
            if self._cell.age == "young":
                await asyncio.sleep(_OLD_S - _YOUNG_S)
            second = await self._add_host(1)
            await gateways.wait_until_in_rotation(self._fleet)
            is_old = self._cell.age == "old"
            await asyncio.sleep(_OLD_S if is_old else _YOUNG_S)
            return await self._release(first, second)
        finally:
            for host in self._fleet:
                host.stop()
            for task in self._tasks:
                task.cancel()

    async def _add_engine(self, name: str, version: str) -> None:
        engine_link = link.Link(("", 0))
        await engine_link.start()
        engine = endpoints.Endpoint(
            name,
            "a",
            engine_link,
            self._store,
            self._history,
            self._results,
            version,
        )
        await engine.start()

    async def _add_host(self, number: int) -> gateways.Gateway:
        store_link = link.Link(self._address)
        await store_link.start()
        # Hosts of two deployments take nothing from each other.
        is_cut = self._cell.trouble in ("peers", "both")
        host = gateways.Gateway(
            f"gw-{number}",
            gateways.loopback_address(2 * self._number + number),
            "a",
            self._folder,
            store_link,
            self._history,
            f"soak-{number}" if is_cut else "soak",
        )
        self._fleet.append(host)
        self._tasks += [
            asyncio.create_task(host.run()),
            asyncio.create_task(host.watch()),
        ]
        return host

    async def _release(
        self, first: gateways.Gateway, second: gateways.Gateway
    ) -> Result:
        began_at = time.monotonic()
        take_up_at = TAKE_UPS[self._cell.take_up]

        async def sleep_until(at: float) -> None:
            await asyncio.sleep(max(0.0, began_at + at - time.monotonic()))

        trouble = asyncio.create_task(self._disturb(second, sleep_until))
        await sleep_until(_JOIN_AT)
        for n in range(2):
            await self._add_engine(f"engine-2{n}", "2")
        await sleep_until(_BEGIN_AT)
        broken = take_up_at - _BREAK_S
        begun = await asyncio.gather(
            *(_send(first, f"s{n}", began_at + broken) for n in range(_STREAMS))
        )
        if self._cell.is_lost:
            first.send_signal(signal.SIGKILL)
        await sleep_until(take_up_at)
        until = began_at + max(take_up_at, _TROUBLE_S) + _READ_S
        taken_up = await asyncio.gather(
            *(
                _send(second, f"t{n}", until, f"s{n}", answer.last_id)
                for n, answer in enumerate(begun)
                if answer.last_id
            )
        )
        await trouble
        return self._judge(begun, taken_up)

    async def _disturb(self, host: gateways.Gateway, sleep_until) -> None:
        kind = self._cell.trouble
        cuts_store = kind in ("store", "both")
        if kind == "freeze":
            host.send_signal(signal.SIGSTOP)
        if cuts_store:
            host.store_link.mode = link.Mode.REFUSED
            host.store_link.reset()
        # Streams at the new version need their records.
        await sleep_until(_BEGIN_AT + 0.5)
        self._store.is_down = kind == "store-wide"
        self._store.delay_s = _STORE_DELAY_S if kind == "slow" else 0.0
        await sleep_until(_TROUBLE_S)
        host.send_signal(signal.SIGCONT)
        host.store_link.mode = link.Mode.HEALTHY
        self._store.is_down, self._store.delay_s = False, 0.0

    def _judge(self, begun, taken_up) -> Result:
        result = Result(
            collections.Counter(),
            collections.Counter(),
            [],
            collections.Counter(answer.status for answer in taken_up),
        )
        first_versions = {
            answer.request_id: self._versions(answer.request_id)
            for answer in begun
            if answer.last_id
        }
        result.begun.update(min(v) for v in first_versions.values())
        for answer in taken_up:
            versions = first_versions[answer.resumes]
            if answer.last_id:
                result.went_on[min(versions)] += 1
            if len(versions | self._versions(answer.request_id)) > 1:
                result.mixed.append(answer.resumes)
        return result

    def _versions(self, request_id: str) -> set[str]:
        """Returns the versions of the engines that ran a request."""
        runs = self._history.runs[request_id]
        return {run.endpoint.partition("-")[2][0] for run in runs}


class _Answer(NamedTuple):
    request_id: str
    resumes: str
    status: int | None
    last_id: str


async def _send(
    host: gateways.Gateway,
    request_id: str,
    until: float,
    resumes: str = "",
    last_id: str = "",
) -> _Answer:
    """Sends a stream's request, reads until a time and closes."""
    number = int(request_id[1:])
    headers = [
        ("Host", callers.HOST),
        ("Request-Id", request_id),
        ("Authorization", f"Bearer {callers.API_KEY}"),
        ("Deadline-Ms", str(int(1000 * _TIMEOUT_S) - 5000)),
        ("X-Gateway", host.name),
        ("Prompt-Prefix", f"{number:x}:40,{request_id}:10"),
        ("Token-Usage", "50,20"),
        ("Content-Length", "2"),
    ]
    if resumes:
        headers += [("Last-Event-Id", last_id), ("Resumes", resumes)]
    conn = h11.Connection(h11.CLIENT)
    status, received = None, b""
    writer = None
    try:
        async with asyncio.timeout(until - time.monotonic()):
            reader, writer = await asyncio.open_connection(
                host.ip, gateways.CALLER_PORT
            )
            target = f"/tell/{_EVENTS}/x"
            writer.write(
                conn.send(
                    h11.Request(method="POST", target=target, headers=headers)
                )
                + conn.send(h11.Data(data=b"in"))
                + conn.send(h11.EndOfMessage())
            )
            while True:
                event = conn.next_event()
                if event is h11.NEED_DATA:
                    conn.receive_data(await reader.read(65536))
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    received += event.data
                else:
                    break
    except (TimeoutError, OSError, h11.ProtocolError):
        pass  # What was received counts.
    finally:
        if writer is not None:
            writer.close()
    ids = callers.event_lines(received, "id")
    return _Answer(request_id, resumes, status, ids[-1] if ids else "")


async def _play_all(
    cells: list[Cell], folder: pathlib.Path, at_once: int
) -> int:
    """Plays the cells and prints their results; returns how many mixed."""
    room = asyncio.Semaphore(at_once)

    async def play(number: int, cell: Cell) -> Result:
        async with room:
            cell_folder = folder / f"{number}-{'-'.join(cell[:3])}"
            cell_folder.mkdir(parents=True)
            return await _Play(cell, cell_folder, number).run()

    mixed = 0
    plays = [asyncio.create_task(play(n, c)) for n, c in enumerate(cells)]
    for cell, played in zip(cells, plays, strict=True):
        result = await played
        mixed += bool(result.mixed)
        shares = ", ".join(
            f"{result.went_on[version]} of {count} of version {version}"
            for version, count in sorted(result.begun.items())
        )
        print(
            f"{' '.join(cell[:3])}: {'MIXED' if result.mixed else 'held'}; "
            f"{len(result.mixed)} of {sum(result.begun.values())} mixed; "
            f"went on: {shares}; answers {dict(result.statuses)}",
            flush=True,
        )
    return mixed


def main() -> int:
    """Plays the cells; returns 1 if streams of one held two versions."""
    parser = argparse.ArgumentParser(prog="releases", description=__doc__)
    parser.add_argument("--troubles", nargs="*", default=TROUBLES)
    parser.add_argument("--take-ups", nargs="*", default=list(TAKE_UPS))
    parser.add_argument("--ages", nargs="*", default=AGES)
    parser.add_argument(
        "--lost",
        action="store_true",
        help="end the host that began the streams as they break off",
    )
    parser.add_argument("--at-once", type=int, default=3)
    parser.add_argument(
        "--keep", type=pathlib.Path, help="folder to keep logs in"
    )
    args = parser.parse_args()
    cells = [
        Cell(*parts, args.lost)
        for parts in itertools.product(args.troubles, args.take_ups, args.ages)
    ]
    with tempfile.TemporaryDirectory() as temporary:
        folder = args.keep or pathlib.Path(temporary)
        mixed = asyncio.run(_play_all(cells, folder, args.at_once))
    return 1 if mixed else 0


if __name__ == "__main__":
    sys.exit(main())
