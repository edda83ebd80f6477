"""A router with a simple policy in place of the product's, to compare with.

Endpoints are chosen at random, in turn or by least in flight; there are no
endpoint limits, no hedges and no admission by expected time.
"""

import argparse
import itertools
import sys

from chervilarch import admission, budgets, choice, router

POLICIES = ("random", "round-robin", "least-in-flight")


def install(policy: str) -> None:
    """Replaces the product's decisions in this process."""
    turns = itertools.count()

    def choose(views, rng, *_args, **_kwargs):
        if not views:
            return None
        if policy == "random":
            return rng.choice(views)
        if policy == "round-robin":
            return views[next(turns) % len(views)]
        least = min(view.in_flight for view in views)
        return rng.choice([view for view in views if view.in_flight == least])

    choice.choose = choose
    admission.can_finish = lambda *_args: True
    budgets.HEDGE_SHARE = 0.0


def main() -> int:
    """Runs the router."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--policy", choices=POLICIES, required=True)
    args, rest = parser.parse_known_args()
    install(args.policy)
    return router.main(rest)


if __name__ == "__main__":
    sys.exit(main())
