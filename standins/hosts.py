"""Stand-in for the platform's list of live and leaving hosts, which lags."""

import argparse
import asyncio
import time

from aiohttp import web

from standins import faults


class HostList:
    """Entries by address; reads return them as they were `lag_s` ago."""

    def __init__(self, lag_s: float):
        self._lag_s = lag_s
        self._entries: dict[str, dict] = {}
        self._versions: list[tuple[float, list[dict]]] = [(0.0, [])]
        self.switch = faults.FaultSwitch()

    def _save_version(self) -> None:
        entries = [dict(entry) for entry in self._entries.values()]
        self._versions.append((time.monotonic(), entries))

    async def handle_put(self, request: web.Request) -> web.Response:
        """Handles `PUT /hosts`: adds or changes entries."""
        for entry in (await request.json())["hosts"]:
            self._entries[entry["address"]] = entry
        self._save_version()
        return web.json_response({})

    async def handle_delete(self, request: web.Request) -> web.Response:
        """Handles `DELETE /hosts/{address}`."""
        self._entries.pop(request.match_info["address"], None)
        self._save_version()
        return web.json_response({})

    async def handle_read(self, request: web.Request) -> web.Response:
        """Handles `GET /hosts`."""
        visible_until = time.monotonic() - self._lag_s
        while len(self._versions) > 1 and self._versions[1][0] <= visible_until:
            self._versions.pop(0)
        await asyncio.sleep(0)
        saved_at, entries = self._versions[0]
        etag = f'"{saved_at}"'
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304)
        return web.json_response({"hosts": entries}, headers={"ETag": etag})


def build_app(lag_s: float) -> web.Application:
    """Returns the service as an application."""
    host_list = HostList(lag_s)
    app = web.Application(
        middlewares=[faults.middleware(host_list.switch)],
        client_max_size=16 * 1024 * 1024,
    )
    app.router.add_get("/hosts", host_list.handle_read)
    app.router.add_put("/hosts", host_list.handle_put)
    app.router.add_delete("/hosts/{address}", host_list.handle_delete)
    app.router.add_post("/faults", host_list.switch.set)
    return app


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True)
    parser.add_argument("--lag-s", type=float, default=0.5)
    args = parser.parse_args()
    faults.run(build_app(args.lag_s), args.address)


if __name__ == "__main__":
    main()
