"""A router with a simple baseline policy in place of the product's.

Endpoints are chosen at random, round-robin or by fewest calls in flight;
there are no endpoint limits, no hedges and no admission by expected time.
"""

import argparse
import itertools
import sys

from chervilarch import admission, budgets, choice, router

POLICIES = ("random", "round-robin", "least-in-flight")


def install_policy(policy: str) -> None:
    """Replaces the product's choice, admission and hedging in this process."""
    counter = itertools.count()

    def choose(views, rng, *_args, **_kwargs):
        if not views:
            return None
        if policy == "random":
            return rng.choice(views)
        if policy == "round-robin":
            return views[next(counter) % len(views)]
        fewest = min(view.in_flight for view in views)
        return rng.choice([view for view in views if view.in_flight == fewest])

    choice.choose = choose
    admission.can_finish = lambda *_args: True
    budgets.HEDGE_SHARE = 0.0


def main() -> int:
    """Runs the router with the given policy; returns its exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--policy", choices=POLICIES, required=True)
    args, rest = parser.parse_known_args()
    install_policy(args.policy)
    return router.main(rest)


if __name__ == "__main__":
    sys.exit(main())
