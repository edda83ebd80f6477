"""Tests of the log of the process's memory."""

from chervilarch import process_memory


def test_the_memory_of_this_process_is_known():
    before = process_memory.private_bytes()
    assert before > 0
    kept = bytearray(b"x" * (32 * 1024 * 1024))
    assert process_memory.private_bytes() > before + len(kept) // 2


def test_peaks_are_logged_when_they_have_grown(caplog):
    caplog.set_level("INFO")
    log = process_memory.PeakLog()
    for size_mb in (20, 25, 40, 30, 41, 57):
        log.observe(size_mb * 1024 * 1024, in_flight=1)
    logged = [r.fields["private_bytes"] // 1024**2 for r in caplog.records]
    assert logged == [20, 40, 57]
