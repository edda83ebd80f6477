"""The standard streams and the clock of a program, replaceable in tests."""

import sys
from typing import NamedTuple, TextIO

from chervilarch import clocks


class Environment(NamedTuple):
    """What a program uses besides its arguments."""

    stdin: TextIO
    stdout: TextIO
    stderr: TextIO
    clock: clocks.Clock


def system_environment() -> Environment:
    """Returns the environment of the running process."""
    return Environment(sys.stdin, sys.stdout, sys.stderr, clocks.SystemClock())
