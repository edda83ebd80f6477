"""Decisions on load import no I/O, no clock and nothing of the platform."""

import ast
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
_OWN = "chervilarch"
_DECISIONS = f"{_OWN}.scheduling"
# Sockets, HTTP, the event loop and clocks, from outside and of this project.
FORBIDDEN = frozenset(
    {
        "asyncio",
        "concurrent",
        "datetime",
        "h11",
        "http",
        "multiprocessing",
        "os",
        "pycurl",
        "select",
        "selectors",
        "signal",
        "socket",
        "socketserver",
        "ssl",
        "subprocess",
        "threading",
        "time",
        "urllib",
        "werkzeug",
        "chervilarch.clocks",
        "chervilarch.exchanges",
        "chervilarch.http_client",
        "chervilarch.http_server",
        "chervilarch.loop",
        "chervilarch.peer_socket",
        "chervilarch.platform",
        "chervilarch.tasks",
        "chervilarch.transfers",
    }
)


def path_of(module, root):
    """Returns a module's file, None if it isn't of this project."""
    base = root.joinpath(*module.split("."))
    for path in (base.with_suffix(".py"), base / "__init__.py"):
        if path.exists():
            return path
    return None


def imported(module, root):
    """Returns the names that a module imports anywhere in its code."""
    path = path_of(module, root)
    package = module.split(".")
    if path.name != "__init__.py":
        package = package[:-1]
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            parts = [node.module] if node.module else []
            if node.level:
                parts = package[: len(package) - node.level + 1] + parts
            start = ".".join(parts)
            names.add(start)
            names.update(f"{start}.{alias.name}" for alias in node.names)
    return names


def is_forbidden(name):
    parts = name.split(".")
    return any(
        ".".join(parts[:end]) in FORBIDDEN for end in range(1, len(parts) + 1)
    )


def faults(module, root=ROOT):
    """Returns chains of imports from a module to a forbidden one."""
    found, seen, chains = [], {module}, [(module,)]
    while chains:
        chain = chains.pop()
        for name in sorted(imported(chain[-1], root)):
            if is_forbidden(name):
                found.append((*chain, name))
            elif name.startswith(_OWN) and name not in seen:
                seen.add(name)
                if path_of(name, root) is not None:
                    chains.append((*chain, name))
    return found


MODULES = sorted(
    ".".join(path.relative_to(ROOT).with_suffix("").parts)
    for path in ROOT.joinpath(*_DECISIONS.split(".")).rglob("*.py")
)


@pytest.mark.parametrize("module", MODULES)
def test_a_decision_imports_no_io(module):
    assert not faults(module.removesuffix(".__init__"))


@pytest.mark.parametrize(
    "line",
    [
        "import socket",
        "import time as t",
        "from http import client",
        "from urllib.parse import quote",
        "from chervilarch import loop as loops",
        "from chervilarch.platform import wire",
        "from .. import clocks",
        "from chervilarch import helper",
        "def decide():\n    import selectors",
    ],
)
def test_the_check_finds_forbidden_imports(tmp_path, line):
    decisions = tmp_path / "chervilarch" / "scheduling"
    decisions.mkdir(parents=True)
    for package in (decisions, decisions.parent):
        (package / "__init__.py").write_text("")
    (decisions.parent / "helper.py").write_text("from os import path\n")
    (decisions / "one.py").write_text(f"{line}\n")
    (decisions / "two.py").write_text("import math\nfrom . import one\n")
    assert faults(f"{_DECISIONS}.one", tmp_path)
    assert faults(f"{_DECISIONS}.two", tmp_path)
