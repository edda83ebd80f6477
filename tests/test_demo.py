"""Tests of the demonstration as a process."""

import re
import signal
import socket
import subprocess
import sys

import pytest


@pytest.fixture
def demo():
    process = subprocess.Popen(
        [sys.executable, "-m", "bench.demo", "--hold"],
        stdout=subprocess.PIPE,
        text=True,
    )
    yield process
    process.kill()
    process.wait()
    process.stdout.close()


def test_sigterm_ends_the_demo_with_all_its_processes(demo):
    ports = []
    for line in demo.stdout:
        ports += re.findall(r"entry-\d: http://127.0.0.1:(\d+)", line)
        if "curl http" in line:
            break
    assert len(ports) == 3
    demo.send_signal(signal.SIGTERM)
    output, _ = demo.communicate(timeout=60)
    assert "all processes stopped" in output
    for port in ports:
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", int(port)), 1)
