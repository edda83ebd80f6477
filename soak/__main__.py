"""`make soak`: a randomized soak test of real gateways, seed by seed."""

import argparse
import asyncio
import collections
import json
import pathlib
import random
import sys
import tempfile
import time

from soak import callers, checks, faults, gateways, link, records, store

_CALLERS = 12
# Time to recover after the last fault; stricter than the platform that the
# gateways run on, which allows 12 s or more.
_RECOVERY_S = 6.0
# How long callers go on once recovery is due.
_OBSERVATION_S = 2.0
# A refused request that runs after all would do so within this time.
_LATE_RUN_S = 1.0
# The data centre of each gateway, one letter for one.
_DATA_CENTRES = "aab"
# Seeds that failed once, each with its cause.
_REGRESSIONS = pathlib.Path(__file__).with_name("regressions.json")


async def run_seed(
    seed: int, seconds: float, folder: pathlib.Path, name_parts: list[str]
) -> tuple[records.History, float]:
    """Runs one seed; returns its history and when recovery was due.

    Only faults whose names contain one of `name_parts` are injected; all if
    there are none.
    """
    rng = random.Random(seed)
    history = records.History()
    store_server = store.StandInStore()
    store_address = await store_server.start()
    fleet = []
    for number, data_centre in enumerate(_DATA_CENTRES):
        store_link = link.Link(store_address)
        await store_link.start()
        fleet.append(
            gateways.Gateway(
                f"gw-{number}",
                gateways.loopback_address(number),
                data_centre,
                folder,
                store_link,
                history,
            )
        )
    environment = faults.SoakEnvironment(
        store_server,
        fleet,
        history,
        rng,
        random.Random(f"evacuations {seed}"),
        name_parts,
    )
    await environment.start()
    tasks = [asyncio.create_task(gateway.run()) for gateway in fleet]
    tasks += [asyncio.create_task(gateway.watch()) for gateway in fleet]
    try:
        await gateways.wait_until_in_rotation(fleet)
        tasks += [
            asyncio.create_task(
                callers.Caller(
                    number, fleet, history, random.Random(rng.random())
                ).run()
            )
            for number in range(_CALLERS)
        ]
        await environment.inject(seconds)
        recovery_due_at = time.monotonic() + _RECOVERY_S
        await asyncio.sleep(_RECOVERY_S + _OBSERVATION_S)
        # Requests that end here have no result, so they aren't recorded.
        for task in tasks[2 * len(fleet) :]:
            task.cancel()
        await asyncio.sleep(_LATE_RUN_S)
    finally:
        for gateway in fleet:
            gateway.stop()
        for task in tasks:
            task.cancel()
    history.violations += _find_unhandled_exceptions(folder)
    return history, recovery_due_at


def _find_unhandled_exceptions(folder: pathlib.Path) -> list[str]:
    """Returns the log lines that report an unhandled exception."""
    return [
        f"{path.name}: {line.strip()[:300]}"
        for path in folder.glob("*.log")
        for line in path.read_text(errors="replace").splitlines()
        if '"task failed"' in line or line.startswith("Traceback")
    ]


def main() -> int:
    """Runs the seeds one after the other; returns 0 if no check failed."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument(
        "--keep", type=pathlib.Path, help="folder to keep logs in"
    )
    parser.add_argument(
        "--kinds",
        nargs="*",
        default=[],
        help="only faults whose names contain one of these",
    )
    parser.add_argument(
        "--regressions",
        action="store_true",
        help="run the seeds that failed once",
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
            history, recovery_due_at = asyncio.run(
                run_seed(seed, args.seconds, folder, args.kinds)
            )
        violations = checks.find_violations(history, recovery_due_at)
        failed += bool(violations)
        counts = collections.Counter(item.status for item in history.answers)
        print(
            f"seed {seed}: {'BROKEN' if violations else 'held'}; "
            f"{len(history.answers)} requests, "
            f"{len(history.disturbances)} disturbances, "
            f"answers {dict(sorted(counts.items(), key=str))}",
            flush=True,
        )
        for line in violations:
            print(f"  {line}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
