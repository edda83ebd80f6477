"""Starts `chervilarch-gateway`."""

import signal
import sys
from collections.abc import Sequence


def main(argv: Sequence[str] | None = None) -> int:
    """Runs the program; returns its exit status."""
    # By default a reload ends the process; loading the modules takes most of
    # the start, so they are loaded after this. The loop takes it later.
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])
    from chervilarch import gateway

    return gateway.main(argv)


if __name__ == "__main__":
    sys.exit(main())
