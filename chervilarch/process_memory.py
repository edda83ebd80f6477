"""The memory of this process, as an operator's limit counts it."""

import os
import pathlib

from chervilarch import state_log

_STATM = pathlib.Path("/proc/self/statm")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# A peak is logged each time it has grown by this much.
_LOG_STEP_BYTES = 16 * 1024 * 1024


def private_bytes() -> int:
    """Returns the resident memory without shared pages; 0 if it is unknown."""
    try:
        _, resident, shared, *_ = map(int, _STATM.read_text().split())
    except (OSError, ValueError):
        return 0
    return (resident - shared) * _PAGE_BYTES


class PeakLog:
    """Logs the growth of the process's memory."""

    def __init__(self) -> None:
        self._logged_bytes = 0

    def observe(self, size: int, **fields: int) -> None:
        """Logs a size in bytes if it is well above the last one logged."""
        if size < self._logged_bytes + _LOG_STEP_BYTES:
            return
        self._logged_bytes = size
        state_log.log_change("memory peak", private_bytes=size, **fields)
