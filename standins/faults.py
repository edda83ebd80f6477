"""Fault injection for the stand-ins, as an aiohttp middleware.

`POST /faults` with {"mode": ..., "delay_s": ..., "times": ...} sets the fault:
"none", "down" (connections are dropped), "slow" (requests are delayed),
"lost" (the effect takes place, its answer is dropped), "frozen" (the
process runs, but no request is answered). `times` bounds how many requests the
fault hits.
"""

import asyncio
from typing import NamedTuple

from aiohttp import web

_FOREVER_S = 3600.0


class Fault(NamedTuple):
    """A fault and how many requests it still hits; None for all."""

    mode: str = "none"
    delay_s: float = 0.0
    times: int | None = None


class FaultSwitch:
    """Holds the current fault and counts the requests that it hit."""

    def __init__(self) -> None:
        self.fault = Fault()
        self.hits = 0

    def next_fault(self) -> Fault:
        """Returns the fault of the next request and counts it."""
        fault = self.fault
        if fault.mode == "none":
            return fault
        if fault.times is not None:
            if fault.times <= 0:
                return Fault()
            self.fault = fault._replace(times=fault.times - 1)
        self.hits += 1
        return fault

    async def set(self, request: web.Request) -> web.Response:
        """Handles `POST /faults`."""
        self.fault = Fault(**await request.json())
        return web.json_response({"met": self.hits})


def middleware(switch: FaultSwitch):
    """Returns a middleware that applies the faults to the service's paths."""

    @web.middleware
    async def apply(request: web.Request, handler):
        if request.path in ("/faults", "/counts", "/control"):
            return await handler(request)
        fault = switch.next_fault()
        if fault.mode == "down":
            return drop(request)
        if fault.mode == "frozen":
            await asyncio.sleep(_FOREVER_S)
        if fault.mode == "slow":
            await asyncio.sleep(fault.delay_s)
        response = await handler(request)
        if fault.mode == "lost":
            return drop(request)
        return response

    return apply


def drop(request: web.Request) -> web.Response:
    """Aborts the connection without an answer."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


def run(app: web.Application, address: str, cancels_work: bool = False) -> None:
    """Serves until the process is ended.

    Args:
        app: the stand-in.
        address: where to listen.
        cancels_work: whether work is cancelled when its caller disconnects.
    """
    host, port = address.rsplit(":", 1)
    web.run_app(
        app,
        host=host,
        port=int(port),
        print=None,
        access_log=None,
        handle_signals=True,
        shutdown_timeout=0.1,
        reuse_address=True,
        handler_cancellation=cancels_work,
    )
