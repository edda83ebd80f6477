"""Decisions on load do no I/O and read no clock."""

import ast
import pathlib

import pytest

import chervilarch.scheduling

PACKAGE = pathlib.Path(chervilarch.scheduling.__file__).parent
FORBIDDEN = {
    *("asyncio", "datetime", "http", "os", "pycurl", "random", "requests"),
    *("select", "selectors", "socket", "ssl", "subprocess", "threading"),
    *("time", "urllib"),
    *(
        f"chervilarch.{name}"
        for name in (
            "clocks",
            "exchanges",
            "http_client",
            "http_server",
            "loop",
            "peer_socket",
            "platform",
            "tasks",
            "transfers",
        )
    ),
}
# Only to annotate the generator that is passed as an argument.
ANNOTATIONS = {"random"}


def imported(tree):
    """Yields the full names of all modules that a module may import."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def calls_module(tree, name):
    """Returns whether anything of a module is called, as `random.random()`."""
    return any(
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and isinstance(node.func.value, ast.Name)
        and node.func.value.id == name
        for node in ast.walk(tree)
    )


def faults(source):
    tree = ast.parse(source)
    found = set()
    for name in imported(tree):
        parts = name.split(".")
        prefixes = {".".join(parts[: n + 1]) for n in range(len(parts))}
        found |= prefixes & (FORBIDDEN - ANNOTATIONS)
    return found | {n for n in ANNOTATIONS if calls_module(tree, n)}


@pytest.mark.parametrize(
    "path", sorted(PACKAGE.glob("**/*.py")), ids=lambda path: path.name
)
def test_a_module_of_decisions_imports_nothing_that_does_io(path):
    assert not faults(path.read_text())


@pytest.mark.parametrize(
    "source",
    [
        "import time",
        "from chervilarch import loop as loops",
        "from chervilarch.platform import wire",
        "import os.path",
        "import random\nrandom.random()",
        "def f():\n    import socket",
    ],
)
def test_the_check_finds_io(source):
    assert faults(source)
