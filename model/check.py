"""`make model`: checks the core protocol and refutes each weaker variant."""

import argparse
import sys
import time
from typing import Any, NamedTuple, TextIO

import minicheck

from model import calls_model, config_model

MAX_STATES = 2_000_000
_TWO_ATTEMPTS = calls_model.size_with_attempts((0, 0), (1, 0))
# Releases by others break a property even without crash and expiry.
_NO_FAULTS = _TWO_ATTEMPTS._replace(crashes=0, expiries=0)
# Three attempts at two keys; the pairs are the router and key of each attempt.
_THREE_ATTEMPTS = calls_model.size_with_attempts((0, 0), (1, 0), (0, 1))
_ONE_SNAPSHOT = config_model.Size(snapshots=1)


class Case(NamedTuple):
    """A protocol to check.

    Attributes:
        name: its name in the report.
        protocol: the transition system.
        violation: the property that must fail, or "" if all must hold.
    """

    name: str
    protocol: minicheck.Protocol
    violation: str = ""


_ONCE = "a call runs at most once"
_TRUE_REFUSAL = "a refusal saying not run is true"
_SAME_STATE = "hosts that read the same records hold the same state"
_TRUE_OUTCOME = "an operator is told the truth"
_NO_REVERT = "no router goes back a version"
_ALL_ACCEPTED = "a router that read the log holds all accepted before it"

_CALL_VARIANTS = {
    "read_back": _ONCE,
    "no_takeover": _ONCE,
    "holder_releases": _ONCE,
    "age_bounded": _ONCE,
    "whole_window": _ONCE,
    "proof_of_not_run": _TRUE_REFUSAL,
}
_CONFIG_VARIANTS = {
    "snapshot_names_offset": _SAME_STATE,
    "read_whole": _ALL_ACCEPTED,
    "read_back": _TRUE_OUTCOME,
    "newer_peers_only": _NO_REVERT,
    "no_gaps": _SAME_STATE,
}


def protocols(full: bool) -> list[Case]:
    """Returns both complete protocols, in their large sizes if `full`."""
    calls_size = _THREE_ATTEMPTS if full else _TWO_ATTEMPTS
    config_size = config_model.Size() if full else _ONE_SNAPSHOT
    return [
        Case("calls", calls_model.build(calls_size, calls_model.Rules())),
        Case(
            "configuration",
            config_model.build(config_size, config_model.Rules()),
        ),
    ]


def variants() -> list[Case]:
    """Returns for each rule its protocol without that rule."""
    cases = []
    for rule, violation in _CALL_VARIANTS.items():
        rules = calls_model.Rules()._replace(**{rule: False})
        size = _NO_FAULTS if rule == "holder_releases" else _TWO_ATTEMPTS
        protocol = _keep_property(calls_model.build(size, rules), violation)
        cases.append(Case(f"calls without {rule}", protocol, violation))
    for rule, violation in _CONFIG_VARIANTS.items():
        rules = config_model.Rules()._replace(**{rule: False})
        protocol = config_model.build(_ONE_SNAPSHOT, rules)
        name = f"configuration without {rule}"
        cases.append(Case(name, _keep_property(protocol, violation), violation))
    return cases


def _keep_property(
    protocol: minicheck.Protocol, name: str
) -> minicheck.Protocol:
    """Keeps one property, so that the search ends at its violation."""
    protocol.invariants = {name: protocol.invariants[name]}
    return protocol


def check(case: Case, out: TextIO) -> bool:
    """Checks and reports a case; returns whether it came out as expected."""
    started_at = time.monotonic()
    result = minicheck.check_safety(case.protocol, MAX_STATES)
    elapsed_s = time.monotonic() - started_at
    search = "exhaustive" if result["exhaustive"] else "not exhaustive"
    print(
        f"{case.name}: {result['reachable_states']} states, {search}, "
        f"{elapsed_s:.1f} s",
        file=out,
    )
    is_as_expected = True
    for name, finding in result["properties"].items():
        is_as_expected &= _report(case, name, finding, out)
    return is_as_expected


def _report(
    case: Case, name: str, finding: dict[str, Any], out: TextIO
) -> bool:
    holds = finding["holds"]
    if case.violation:
        trace = finding["counterexample"] or []
        verdict = (
            f"refuted in {len(trace) - 1} steps" if trace else "NOT REFUTED"
        )
        print(f"  {name}: {verdict}", file=out)
        return holds is False
    if holds:
        print(f"  {name}: proved", file=out)
        return True
    verdict = "violated" if holds is False else "undecided"
    print(f"  {name}: {verdict}", file=out)
    for step in finding["counterexample"] or []:
        print(f"    {step}", file=out)
    return False


def main() -> int:
    """Checks all cases; returns 0 if all came out as expected."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--small", action="store_true", help="check only the small sizes"
    )
    args = parser.parse_args()
    cases = protocols(full=not args.small) + variants()
    results = [check(case, sys.stdout) for case in cases]
    print(f"{sum(results)} of {len(results)} cases came out as they must")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
