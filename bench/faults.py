"""`make faults`: runs process-level faults and checks the invariants."""

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
    """Returns the scenarios of all modules."""
    modules = (faults_calls, faults_config, faults_members, faults_answers)
    return [item for module in modules for item in module.scenarios()]


def main() -> int:
    """Runs the scenarios; returns 0 if every one held."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", default="", help="part of a name")
    parser.add_argument("--list", action="store_true", help="list and exit")
    args = parser.parse_args()
    selected = [item for item in all_scenarios() if args.only in item.name]
    if args.list:
        print("\n".join(item.name for item in selected))
        return 0
    failed = 0
    for item in selected:
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
    print(f"{len(selected) - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
