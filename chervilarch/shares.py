"""Pure share of an account's fleet-wide limit that one host may use."""

from typing import NamedTuple

# No host's share falls below this part of an even split.
FLOOR_SHARE = 0.25
BURST_S = 1.0


class Bucket(NamedTuple):
    """A token bucket's state: requests left and when it was last filled."""

    left: float
    filled_at: float


def host_rate(
    limit_per_s: float, own_rate: float, peer_rates: list[float], hosts: int
) -> float:
    """Returns the requests a second this host may admit for an account.

    Args:
        limit_per_s: limit of the account over the whole fleet.
        own_rate: this host's recent demand.
        peer_rates: demand that reachable peers reported.
        hosts: hosts that may be serving, unreachable ones included, so that a
            partition errs on the safe side.
    """
    hosts = max(1, hosts)
    even = limit_per_s / hosts
    silent = max(0, hosts - 1 - len(peer_rates))
    spendable = limit_per_s - silent * even
    floor = FLOOR_SHARE * even
    demand = own_rate + sum(peer_rates)
    if demand <= 0:
        return even
    rest = max(0.0, spendable - (1 + len(peer_rates)) * floor)
    return floor + rest * own_rate / demand


def take(bucket: Bucket, rate: float, now: float) -> tuple[Bucket, bool]:
    """Takes one request from a bucket; tells whether there was one left."""
    size = max(1.0, rate * BURST_S)
    left = min(size, bucket.left + (now - bucket.filled_at) * rate)
    if left < 1.0:
        return Bucket(left, now), False
    return Bucket(left - 1.0, now), True
