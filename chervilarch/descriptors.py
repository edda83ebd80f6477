"""Descriptors that the process may open, and the share of callers."""

import resource

# Each request in flight needs a connection to its caller, and about one to an
# endpoint.
_CALLERS_SHARE = 0.5


def max_caller_connections() -> int | None:
    """Returns how many connections callers may hold, None for no bound.

    The rest is for calls to endpoints, to the store and to other hosts, without
    which the callers' requests would fail.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return None
    return int(_CALLERS_SHARE * soft)
