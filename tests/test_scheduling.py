"""Decisions on load do no I/O and read no clock."""

import ast
import pathlib

import pytest

import chervilarch.scheduling

PACKAGE = pathlib.Path(chervilarch.scheduling.__file__).parent
FORBIDDEN = {
    *("asyncio", "datetime", "http", "os", "pycurl", "select", "selectors"),
    *("socket", "ssl", "subprocess", "threading", "time", "urllib"),
    *("chervilarch.clocks", "chervilarch.exchanges", "chervilarch.http_client"),
    *("chervilarch.http_server", "chervilarch.loop", "chervilarch.peer_socket"),
    *("chervilarch.platform", "chervilarch.tasks", "chervilarch.transfers"),
}


def faults(source):
    """Returns the forbidden modules that a module may import."""
    names = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names |= {f"{node.module}.{alias.name}" for alias in node.names}
    return {
        bad
        for bad in FORBIDDEN
        if any(f"{name}.".startswith(f"{bad}.") for name in names)
    }


@pytest.mark.parametrize(
    "path", sorted(PACKAGE.glob("**/*.py")), ids=lambda path: path.name
)
def test_a_module_of_decisions_imports_nothing_that_does_io(path):
    assert not faults(path.read_text())


def test_the_check_finds_imports_that_do_io():
    assert faults("import time") and faults("import os.path")
    assert faults("from chervilarch import loop as loops")
    assert faults("from chervilarch.platform import wire")
    assert faults("def f():\n    from socket import socket")
    assert not faults("from chervilarch import store")
