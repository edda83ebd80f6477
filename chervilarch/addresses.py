"""Parses addresses that other programs wrote."""

import functools
import ipaddress

MAX_PORT = 65535
_MAX_CHARS = len("255.255.255.255:65535")


def parse(address: str) -> tuple[str, int] | None:
    """Returns the IPv4 number and the port of "ip:port", None if invalid."""
    return _parse(address) if len(address) <= _MAX_CHARS else None


@functools.lru_cache(maxsize=4096)
def _parse(address: str) -> tuple[str, int] | None:
    host, _, port = address.rpartition(":")
    # `isdigit` alone also accepts digits that `int` doesn't.
    if not (port.isascii() and port.isdigit()):
        return None
    if not 0 < int(port) <= MAX_PORT:
        return None
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return None
    return host, int(port)
