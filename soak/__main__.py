"""`make soak`: seeds of a randomized soak of real gateways."""

import argparse
import asyncio
import collections
import json
import os
import pathlib
import random
import sys
import tempfile
import time

from soak import callers, checks, gateways, link, records, store, trouble

_CALLERS = 12
# After the last fault; the users' platform gives 12 s and more to recover.
_RECOVERY_S = 6.0
_CALM_S = 2.0
# Late runs of what was refused would show within this time.
_AFTERMATH_S = 1.0
_DATA_CENTRES = "aab"
_BYTE = 256
# Seed and cause of whatever failed once.
_REGRESSIONS = pathlib.Path(__file__).with_name("regressions.json")


async def play(
    seed: int, seconds: float, folder: pathlib.Path, kinds: list[str]
) -> tuple[records.Records, float]:
    """Plays one seed; returns what was seen and when calm was due."""
    rng = random.Random(seed)
    seen = records.Records()
    source = store.StoreStandIn()
    store_address = await source.start()
    found = []
    for number, data_centre in enumerate(_DATA_CENTRES):
        store_link = link.Link(store_address)
        await store_link.start()
        found.append(
            gateways.Gateway(
                f"gw-{number}",
                _own_address(number),
                data_centre,
                folder,
                store_link,
                seen,
            )
        )
    world = trouble.World(source, found, seen, rng, kinds)
    await world.start()
    tasks = [asyncio.create_task(gateway.run()) for gateway in found]
    tasks += [asyncio.create_task(gateway.watch()) for gateway in found]
    try:
        await gateways.wait_until_in_rotation(found)
        tasks += [
            asyncio.create_task(
                callers.Caller(
                    number, found, seen, random.Random(rng.random())
                ).run()
            )
            for number in range(_CALLERS)
        ]
        await world.suffer(seconds)
        calm_from = time.monotonic() + _RECOVERY_S
        await asyncio.sleep(_RECOVERY_S + _CALM_S)
        # Requests that were cut off here say nothing.
        for task in tasks[2 * len(found) :]:
            task.cancel()
        await asyncio.sleep(_AFTERMATH_S)
    finally:
        for gateway in found:
            gateway.stop()
        for task in tasks:
            task.cancel()
    seen.broken += _broken_tasks(folder)
    return seen, calm_from


def _own_address(number: int) -> str:
    """Returns a loopback address that no other soak uses."""
    high, low = divmod(os.getpid(), _BYTE)
    return f"127.{high % (_BYTE - 2) + 1}.{low}.{number + 1}"


def _broken_tasks(folder: pathlib.Path) -> list[str]:
    """Returns the lines of gateways that tell of an unforeseen exception."""
    return [
        f"{path.name}: {line.strip()[:300]}"
        for path in folder.glob("*.log")
        for line in path.read_text(errors="replace").splitlines()
        if '"task failed"' in line or line.startswith("Traceback")
    ]


def main() -> int:
    """Plays the seeds one after the other; returns 0 if all held."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many")
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--keep", type=pathlib.Path, help="where logs go")
    parser.add_argument(
        "--kinds", nargs="*", default=[], help="only faults named so"
    )
    parser.add_argument(
        "--regressions", action="store_true", help="seeds that ever failed"
    )
    args = parser.parse_args()
    seeds = list(range(args.first, args.first + args.seeds))
    if args.regressions:
        seeds = [int(seed) for seed in json.loads(_REGRESSIONS.read_text())]
    failed = 0
    for seed in seeds:
        with tempfile.TemporaryDirectory() as temporary:
            folder = (args.keep or pathlib.Path(temporary)) / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
            seen, calm_from = asyncio.run(
                play(seed, args.seconds, folder, args.kinds)
            )
        broken = checks.find_broken(seen, calm_from)
        failed += bool(broken)
        counts = collections.Counter(item.status for item in seen.answers)
        print(
            f"seed {seed}: {'BROKEN' if broken else 'held'}; "
            f"{len(seen.answers)} requests, "
            f"{len(seen.disturbances)} disturbances, "
            f"answers {dict(sorted(counts.items(), key=str))}",
            flush=True,
        )
        for line in broken:
            print(f"  {line}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
