"""Open-loop load of bounded length, timed from each intended send."""

import asyncio
import math
import random
import time
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import aiohttp
import msgspec


class Shot(NamedTuple):
    """A request to be sent.

    Attributes:
        at_s: when it is to be sent, from the start of the run.
        url: where to.
        document: body.
        headers: headers.
        label: what it is counted under.
    """

    at_s: float
    url: str
    document: dict[str, Any]
    headers: dict[str, str]
    label: str = ""


class Sample(NamedTuple):
    """What became of a shot; times count from the intended send."""

    label: str
    at_s: float
    status: int
    elapsed_s: float
    first_s: float
    tokens: int
    outcome: str


_TOKEN = b"event: token"
_END = b"event: end"


def poisson_times(
    rate: float, seconds: float, rng: random.Random, start_s: float = 0.0
) -> list[float]:
    """Returns send times of a Poisson process."""
    times = []
    at_s = start_s
    while True:
        at_s += rng.expovariate(rate)
        if at_s >= start_s + seconds:
            return times
        times.append(at_s)


def run(shots: Sequence[Shot], timeout_s: float = 30.0) -> list[Sample]:
    """Sends all shots at their times; returns one sample each."""
    return asyncio.run(_run(shots, timeout_s))


def run_closed(
    make_shot: Callable[[int], Shot], workers: int, seconds: float
) -> list[Sample]:
    """Keeps `workers` requests in flight for a time."""
    return asyncio.run(_run_closed(make_shot, workers, seconds))


def percentile(values: Sequence[float], percent: float) -> float:
    """Returns the nearest-rank percentile; infinite for no values."""
    if not values:
        return math.inf
    ordered = sorted(values)
    rank = math.ceil(percent / 100 * len(ordered))
    return ordered[max(0, rank - 1)]


async def _run(shots: Sequence[Shot], timeout_s: float) -> list[Sample]:
    async with _session(timeout_s) as session:
        start = time.monotonic() + 0.1
        tasks = [
            asyncio.create_task(_fire(session, shot, start)) for shot in shots
        ]
        return list(await asyncio.gather(*tasks))


async def _run_closed(
    make_shot: Callable[[int], Shot], workers: int, seconds: float
) -> list[Sample]:
    samples: list[Sample] = []
    async with _session(30.0) as session:
        start = time.monotonic()
        numbers = iter(range(10**9))

        async def work() -> None:
            while time.monotonic() - start < seconds:
                shot = make_shot(next(numbers))
                at_s = time.monotonic() - start
                samples.append(
                    await _fire(session, shot._replace(at_s=at_s), start)
                )

        await asyncio.gather(*(work() for _ in range(workers)))
    return samples


def _session(timeout_s: float) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=5),
        timeout=aiohttp.ClientTimeout(total=timeout_s),
    )


async def _fire(
    session: aiohttp.ClientSession, shot: Shot, start: float
) -> Sample:
    intended = start + shot.at_s
    await asyncio.sleep(max(0.0, intended - time.monotonic()))
    status, outcome, tokens, first_s = 0, "lost", 0, math.inf
    try:
        async with session.post(
            shot.url,
            data=msgspec.json.encode(shot.document),
            headers={"Content-Type": "application/json", **shot.headers},
        ) as response:
            status = response.status
            chunks = []
            async for chunk in response.content.iter_any():
                if not chunks:
                    first_s = time.monotonic() - intended
                chunks.append(chunk)
            body = b"".join(chunks)
            tokens = body.count(_TOKEN)
            outcome = _outcome(response, body)
    except (TimeoutError, aiohttp.ClientError, OSError):
        pass
    elapsed_s = time.monotonic() - intended
    return Sample(
        shot.label, shot.at_s, status, elapsed_s, first_s, tokens, outcome
    )


def _outcome(response: aiohttp.ClientResponse, body: bytes) -> str:
    if response.content_type == "text/event-stream":
        return "answer" if _END in body[-65536:] else "stream error"
    if response.status == 200:
        return "answer"
    try:
        problem = msgspec.json.decode(body)
        return f"{problem['outcome']}:{problem['reason']}"
    except (msgspec.DecodeError, KeyError, TypeError):
        return f"status {response.status}"
