"""Splits an account's fleet-wide limit over hosts, without side effects.

Only the router uses it.
"""

from typing import NamedTuple

# No host's share falls below this part of an even split.
FLOOR_SHARE = 0.25
BURST_S = 1.0


class Bucket(NamedTuple):
    """A token bucket: one token a request, and when it was last filled."""

    tokens: float
    filled_at: float


def host_rate(
    limit_per_s: float, own_rate: float, peer_rates: list[float], hosts: int
) -> float:
    """Returns the requests a second this host may admit for an account.

    Args:
        limit_per_s: limit of the account over the whole fleet.
        own_rate: recent demand at this host.
        peer_rates: demand reported by reachable peers.
        hosts: hosts that may be serving. Unreachable ones count until they are
            declared dead, so that the limit holds in a short partition.
    """
    hosts = max(1, hosts)
    even_share = limit_per_s / hosts
    unheard = max(0, hosts - 1 - len(peer_rates))
    spendable = limit_per_s - unheard * even_share
    floor = FLOOR_SHARE * even_share
    demand = own_rate + sum(peer_rates)
    if demand <= 0:
        return even_share
    remainder = max(0.0, spendable - (1 + len(peer_rates)) * floor)
    return floor + remainder * own_rate / demand


def take_token(bucket: Bucket, rate: float, now: float) -> tuple[Bucket, bool]:
    """Takes a token; returns the new bucket and whether there was one."""
    size = max(1.0, rate * BURST_S)
    tokens = min(size, bucket.tokens + (now - bucket.filled_at) * rate)
    if tokens < 1.0:
        return Bucket(tokens, now), False
    return Bucket(tokens - 1.0, now), True
