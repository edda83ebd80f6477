"""`make bench`: prints every measure with its bound, baselines and verdict."""

import argparse

from bench import control, overhead, policy, report

# Names for --only. crest is a load above the capacity, hol is head-of-line
# blocking, and control is the cost of an idle router.
MEASURES = {
    "attainment": policy.attainment,
    "crest": policy.overload,
    "hol": policy.head_of_line,
    "straggler": policy.straggler,
    "overhead": overhead.measure,
    "control": control.measure,
}


def main() -> None:
    """Runs the selected measures and prints their results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", choices=MEASURES, action="append")
    parser.add_argument(
        "--product-only", action="store_true", help="run no baselines"
    )
    args = parser.parse_args()
    results = []
    for name in args.only or MEASURES:
        measure = MEASURES[name]
        if args.product_only and name not in ("overhead", "control"):
            results += measure((policy.PRODUCT,))
        else:
            results += measure()
    report.print_measures(results)


if __name__ == "__main__":
    main()
