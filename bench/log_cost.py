"""Processor time that a gateway's log costs per request.

A gateway process serves callers of the soak with three limits on log lines
a second: zero, the gateway's own, and none.
"""

import argparse
import asyncio
import functools
import pathlib
import random
import sys
import tempfile

from chervilarch import gateway_main, state_log
from soak import callers, faults, gateways, link, records, store

_LINE_LIMITS = {
    "no lines": 0,
    "the gateway's budget": state_log.MAX_LINES_PER_S,
    "no bound": 1_000_000,
}
# About 30 requests a second, as a host of the users' sites gets.
_CALLERS = 8
_WARM_S = 2.0
# Time for the links to close.
_CLOSE_S = 0.2
_IP = "127.91.1.1"
_SEED = 7


async def _measure(
    lines_per_s: int, seconds: float, folder: pathlib.Path
) -> tuple[float, int]:
    """Returns the processor seconds used and the number of answers."""
    rng = random.Random(_SEED)
    recorder = records.History()
    store_server = store.StandInStore()
    store_link = link.Link(await store_server.start())
    await store_link.start()
    gateway = gateways.Gateway("gw-0", _IP, "a", folder, store_link, recorder)
    gateway.argv = [sys.executable, "-m", "bench.log_cost"]
    gateway.argv += ["--serve", str(lines_per_s)]
    environment = faults.SoakEnvironment(
        store_server, [gateway], recorder, rng, []
    )
    await environment.start()
    tasks = [asyncio.create_task(gateway.run())]
    tasks.append(asyncio.create_task(gateway.watch()))
    try:
        await gateways.wait_until_in_rotation([gateway])
        for number in range(_CALLERS):
            caller = callers.Caller(
                number, [gateway], recorder, random.Random(number)
            )
            tasks.append(asyncio.create_task(caller.run()))
        await asyncio.sleep(_WARM_S)
        cpu_s, answers = gateway.cpu_s(), len(recorder.answers)
        await asyncio.sleep(seconds)
        cpu_s = gateway.cpu_s() - cpu_s
        return cpu_s, len(recorder.answers) - answers
    finally:
        gateway.stop()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        store_link.reset()
        await asyncio.sleep(_CLOSE_S)


def main() -> int:
    """Measures with each limit of lines; returns the exit status."""
    parser = argparse.ArgumentParser(prog="bench.log_cost", description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--serve", type=int, help="run a gateway: lines/s")
    args = parser.parse_args()
    if args.serve is not None:
        state_log.RateLimitedHandler = functools.partial(
            state_log.RateLimitedHandler, max_lines_per_s=args.serve
        )
        return gateway_main.main([])
    for number in range(args.rounds):
        for name, lines_per_s in _LINE_LIMITS.items():
            with tempfile.TemporaryDirectory() as folder:
                path = pathlib.Path(folder)
                cpu_s, requests = asyncio.run(
                    _measure(lines_per_s, args.seconds, path)
                )
                lines = (path / "gw-0.log").read_bytes().count(b"\n")
            print(
                f"round {number + 1}, {name}: "
                f"{1e6 * cpu_s / max(1, requests):.0f} us a request, "
                f"{requests / args.seconds:.0f} requests/s, {lines} lines"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
