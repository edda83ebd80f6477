"""`make faults`: process-level failures against what must always hold."""

import argparse
import sys
import time

from bench import (
    faults_answers,
    faults_calls,
    faults_config,
    faults_members,
    fleet,
    scenario,
)


def all_scenarios() -> list[scenario.Scenario]:
    """Returns every scenario."""
    pages = (faults_calls, faults_config, faults_members, faults_answers)
    return [item for page in pages for item in page.scenarios()]


def main() -> int:
    """Runs the scenarios; returns 0 if all held."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="", help="part of a name")
    parser.add_argument("--list", action="store_true", help="list and exit")
    args = parser.parse_args()
    chosen = [item for item in all_scenarios() if args.only in item.name]
    if args.list:
        print("\n".join(item.name for item in chosen))
        return 0
    failed = 0
    for item in chosen:
        started = time.monotonic()
        try:
            item.run()
            verdict = "held"
        except (scenario.InvariantError, fleet.FleetError) as exc:
            verdict = f"BROKEN: {exc}"
            failed += 1
        print(
            f"{item.name:48} {time.monotonic() - started:5.1f} s  {verdict}",
            flush=True,
        )
    print(f"{len(chosen) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
