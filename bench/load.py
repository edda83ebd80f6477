"""Open-loop and closed-loop load of bounded length.

Times count from the intended send of each request.
"""

import asyncio
import math
import random
import time
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import aiohttp
import msgspec


class ScheduledRequest(NamedTuple):
    """A request with the time at which it is to be sent.

    Attributes:
        at_s: time of the send, from the start of the run.
        url: address of the pipeline or endpoint.
        document: body, sent as JSON.
        headers: headers besides Content-Type.
        label: name of the group in which the sample is counted.
    """

    at_s: float
    url: str
    document: dict[str, Any]
    headers: dict[str, str]
    label: str = ""


class Sample(NamedTuple):
    """How a request ended; durations count from the intended send.

    Attributes:
        label: label of the request.
        at_s: intended send, from the start of the run.
        status: HTTP status, 0 if there was no response.
        elapsed_s: time until the request ended.
        first_chunk_s: time to the first chunk of the body, or infinity.
        tokens: token events in the response.
        outcome: "answer", "lost", or how the request failed.
    """

    label: str
    at_s: float
    status: int
    elapsed_s: float
    first_chunk_s: float
    tokens: int
    outcome: str


_TOKEN = b"event: token"
_END = b"event: end"


def poisson_times(
    rate: float, seconds: float, rng: random.Random, start_s: float = 0.0
) -> list[float]:
    """Returns the send times of a Poisson process in an interval."""
    times = []
    at_s = start_s
    while True:
        at_s += rng.expovariate(rate)
        if at_s >= start_s + seconds:
            return times
        times.append(at_s)


def run(
    requests: Sequence[ScheduledRequest], timeout_s: float = 30.0
) -> list[Sample]:
    """Sends each request at its time; returns one sample for each."""
    return asyncio.run(_run(requests, timeout_s))


def run_closed(
    make_request: Callable[[int], ScheduledRequest],
    concurrency: int,
    seconds: float,
) -> list[Sample]:
    """Keeps `concurrency` requests in flight for a number of seconds."""
    return asyncio.run(_run_closed(make_request, concurrency, seconds))


def percentile(values: Sequence[float], percent: float) -> float:
    """Returns the nearest-rank percentile; infinite for no values."""
    if not values:
        return math.inf
    ordered = sorted(values)
    rank = math.ceil(percent / 100 * len(ordered))
    return ordered[max(0, rank - 1)]


async def _run(
    requests: Sequence[ScheduledRequest], timeout_s: float
) -> list[Sample]:
    async with _session(timeout_s) as session:
        start = time.monotonic() + 0.1
        tasks = [
            asyncio.create_task(_send(session, request, start))
            for request in requests
        ]
        return list(await asyncio.gather(*tasks))


async def _run_closed(
    make_request: Callable[[int], ScheduledRequest],
    concurrency: int,
    seconds: float,
) -> list[Sample]:
    samples: list[Sample] = []
    async with _session(30.0) as session:
        start = time.monotonic()
        numbers = iter(range(10**9))

        async def send_repeatedly() -> None:
            while time.monotonic() - start < seconds:
                request = make_request(next(numbers))
                at_s = time.monotonic() - start
                samples.append(
                    await _send(session, request._replace(at_s=at_s), start)
                )

        await asyncio.gather(*(send_repeatedly() for _ in range(concurrency)))
    return samples


def _session(timeout_s: float) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=5),
        timeout=aiohttp.ClientTimeout(total=timeout_s),
    )


async def _send(
    session: aiohttp.ClientSession, request: ScheduledRequest, start: float
) -> Sample:
    intended_send = start + request.at_s
    await asyncio.sleep(max(0.0, intended_send - time.monotonic()))
    status, outcome, tokens, first_chunk_s = 0, "lost", 0, math.inf
    try:
        async with session.post(
            request.url,
            data=msgspec.json.encode(request.document),
            headers={"Content-Type": "application/json", **request.headers},
        ) as response:
            status = response.status
            chunks = []
            async for chunk in response.content.iter_any():
                if not chunks:
                    first_chunk_s = time.monotonic() - intended_send
                chunks.append(chunk)
            body = b"".join(chunks)
            tokens = body.count(_TOKEN)
            outcome = _outcome(response, body)
    except (TimeoutError, aiohttp.ClientError, OSError):
        pass
    elapsed_s = time.monotonic() - intended_send
    return Sample(
        request.label,
        request.at_s,
        status,
        elapsed_s,
        first_chunk_s,
        tokens,
        outcome,
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
