"""Exit statuses of all programs."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit status of a program."""

    OK = 0
    FAILED = 1
    USAGE = 2
    BAD_SETTINGS = 3
    # Input of `chervilarch-plan` or `chervilarch-config` that is not valid: the
    # operators' sheet, or a configuration.
    BAD_SHEET = 4
    CONFLICT = 5
    UNAVAILABLE = 6
    TIMED_OUT = 7
