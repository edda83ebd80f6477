"""Learns how long a request's answer takes to generate.

Load pattern: requests that look alike differ by a factor of ten and more in the
length of their answers. Callers' hints are right at the median but often far
off, and routes and accounts differ in how far.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

# Assumed time to generate a token, in seconds, before any answer was seen.
PRIOR_TOKEN_S = 0.008
# Assumed share of the bound on output tokens that an answer reaches.
PRIOR_BOUND_SHARE = 0.3
# Answers of a route that count as much as the prior; of an account, as much as
# its route.
_PRIOR_WEIGHT = 4.0
# The weight of earlier answers is bounded, so that changes are learned.
_MAX_WEIGHT = 40.0
_MAX_KEYS = 4096
# Longer answers are no use for an estimate.
_MAX_ANSWER_S = 600.0


class Size(NamedTuple):
    """What a request says about the length of its answer, in tokens.

    Attributes:
        hint: the caller's estimate, 0 for none.
        bound: upper bound on generated tokens, 0 for none.
    """

    hint: int = 0
    bound: int = 0

    def expected_tokens(self) -> float:
        """Returns the number of tokens to expect without other knowledge."""
        if self.hint:
            return float(min(self.hint, self.bound or self.hint))
        return max(1.0, PRIOR_BOUND_SHARE * self.bound)


class _Mean:
    """Mean of ratios that forgets old ones."""

    def __init__(self) -> None:
        self.log_sum = 0.0
        self.weight = 0.0

    def add(self, log_ratio: float) -> None:
        if self.weight >= _MAX_WEIGHT:
            keep = (_MAX_WEIGHT - 1.0) / self.weight
            self.log_sum *= keep
            self.weight *= keep
        self.log_sum += log_ratio
        self.weight += 1.0

    def shrunk(self, prior: float) -> float:
        """Returns the mean, drawn towards a prior while there is little."""
        return (self.log_sum + _PRIOR_WEIGHT * prior) / (
            self.weight + _PRIOR_WEIGHT
        )


class CostModel:
    """Estimates the time that answers take to generate, by route and account.

    The geometric mean of the ratio of the time to the expected tokens is
    learned: lengths vary by factors.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _Mean] = {}
        self._accounts: dict[tuple[str, str], _Mean] = {}

    def estimate_s(self, route: str, account: str, size: Size) -> float:
        """Returns the expected time from an answer's first to its last event.

        Args:
            route: name of the route.
            account: name of the account, "" for none.
            size: what the request says about the answer.

        Returns:
            The time in seconds.
        """
        log_token_s = self._log_token_s(route, account)
        return size.expected_tokens() * math.exp(log_token_s)

    def observe(
        self, route: str, account: str, size: Size, answer_s: float
    ) -> float:
        """Learns from an answer.

        Args:
            route: name of the route.
            account: name of the account, "" for none.
            size: what the request said about the answer.
            answer_s: time from its first to its last event in seconds.

        Returns:
            The ratio of that time to the estimate before.
        """
        expected_s = self.estimate_s(route, account, size)
        answer_s = min(_MAX_ANSWER_S, max(0.001, answer_s))
        log_token_s = math.log(answer_s / size.expected_tokens())
        for means, key in (
            (self._routes, route),
            (self._accounts, (route, account)),
        ):
            mean = means.get(key)
            if mean is None:
                if len(means) >= _MAX_KEYS:
                    del means[next(iter(means))]
                mean = means[key] = _Mean()
            mean.add(log_token_s)
        return answer_s / expected_s

    def keep_routes(self, routes: Iterable[str]) -> None:
        """Forgets the routes that a configuration no longer has."""
        kept = set(routes)
        self._routes = {r: m for r, m in self._routes.items() if r in kept}
        self._accounts = {
            key: mean for key, mean in self._accounts.items() if key[0] in kept
        }

    def _log_token_s(self, route: str, account: str) -> float:
        log_token_s = math.log(PRIOR_TOKEN_S)
        for mean in (
            self._routes.get(route),
            self._accounts.get((route, account)),
        ):
            if mean is not None:
                log_token_s = mean.shrunk(log_token_s)
        return log_token_s
