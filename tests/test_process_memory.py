"""Tests of the log of the process's memory."""

import subprocess
import sys

from chervilarch import process_memory

# Run by a process of its own: threads of other tests may free memory between
# the two readings.
_PROGRAM = """
from chervilarch import process_memory
before = process_memory.private_bytes()
kept = bytearray(b"x" * (32 * 1024 * 1024))
print(before, process_memory.private_bytes(), len(kept))
"""


def test_the_memory_of_this_process_is_known():
    done = subprocess.run(
        [sys.executable, "-c", _PROGRAM],
        capture_output=True,
        check=True,
        text=True,
    )
    before, after, kept = map(int, done.stdout.split())
    assert before > 0
    assert after > before + kept // 2


def test_peaks_are_logged_when_they_have_grown(caplog):
    caplog.set_level("INFO")
    log = process_memory.PeakLog()
    for size_mb in (20, 25, 40, 30, 41, 57):
        log.observe(size_mb * 1024 * 1024, in_flight=1)
    logged = [r.fields["private_bytes"] // 1024**2 for r in caplog.records]
    assert logged == [20, 40, 57]
