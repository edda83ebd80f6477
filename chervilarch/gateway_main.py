"""Entry point of `chervilarch-gateway`."""

import signal
import sys
from collections.abc import Sequence


def main(argv: Sequence[str] | None = None) -> int:
    """Runs the program and returns its exit status."""
    # SIGHUP ends a process by default. Importing the modules takes most of the
    # start, so the signal is blocked before that; the loop handles it later.
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])
    from chervilarch import gateway

    return gateway.main(argv)


if __name__ == "__main__":
    sys.exit(main())
