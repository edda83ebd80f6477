"""Tests of `chervilarch-config check`: each finding, differences, output."""

import copy
import functools
import io
import json
import operator
import os
import re
import subprocess
import sys

import pytest

from chervilarch import (
    config_args,
    config_command,
    config_differences,
    config_faults,
    declared_config,
    decoding,
    environment,
)
from chervilarch.exits import ExitStatus
from chervilarch.platform import config_paths, documents

GOOD = json.loads("""{
  "version": 7,
  "routes": [
    {"name": "chat", "host": "A.example", "path_prefix": "/chat/",
     "kind": "streaming", "timeout_ms": 8000, "target_latency_ms": 2000,
     "service": "engines", "max_attempts": 2, "resumable": true,
     "stages": [{"service": "pieces", "after": [], "bytes": 8000},
                {"service": "pieces", "after": [0], "bytes": 8000}]},
    {"name": "book", "host": "a.example", "path_prefix": "/book/",
     "kind": "non_idempotent", "timeout_ms": 800,
     "traffic_split": [{"service": "engines", "weight": 90},
                       {"service": "books", "weight": 10}]}
  ],
  "services": [
    {"name": "engines", "engine": {"slots": 128, "kv_tokens": 1000}},
    {"name": "books"},
    {"name": "pieces",
     "pieces": {"batch": 4, "call_ms": 200.0, "item_ms": 100.0}}
  ],
  "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
             "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
  "tenants": [{"name": "t1", "api_keys": ["key-1", "key-2"]},
              {"name": "t2", "api_keys": ["key-3"], "priority": 1}]
}""")


@pytest.fixture
def old(tmp_path):
    return write(tmp_path, GOOD, "old.json")


def changed(changes):
    """Returns the good configuration with values set at JSON paths."""
    document = copy.deepcopy(GOOD)
    for path, value in changes.items():
        *steps, last = path_steps(path)
        target = functools.reduce(operator.getitem, steps, document)
        if last == len(target):
            target.append(value)
        else:
            target[last] = value
    return document


def path_steps(path):
    steps = re.findall(r"([a-z_]+)|\[(\d+)\]", path)
    return [name or int(index) for name, index in steps]


def declare(document):
    config = documents.decode_declared(json.dumps(document).encode())
    assert isinstance(config, declared_config.Configuration), config
    return config


def find(document):
    return [
        f"{f.severity} {f.code} {config_paths.json_path(f.place)}"
        for f in config_faults.find_faults(declare(document))
    ]


def write(tmp_path, document, name="new.json"):
    path = tmp_path / name
    if not isinstance(document, bytes):
        document = json.dumps(document).encode()
    path.write_bytes(document)
    return path


def check(*arguments, is_terminal=False):
    """Runs the command; returns its exit status and what it prints."""
    out, err = io.StringIO(), io.StringIO()
    out.isatty = err.isatty = lambda: is_terminal
    env = environment.Environment(io.StringIO(), out, err, None)
    args = config_args.build_parser().parse_args(
        ["check", *(str(argument) for argument in arguments)]
    )
    status = config_command.run(args, env)
    return status, out.getvalue(), err.getvalue()


def check_json(*arguments):
    status, out, err = check(*arguments, "--json")
    assert err == ""
    return status, json.loads(out)


STAGE = {"service": "pieces"}
PIECES = {"batch": 1, "call_ms": 1, "item_ms": 1}
ROUTE = {**GOOD["routes"][1], "name": "new"}
PREFIX = "routes[1].path_prefix"
TIME_OUT = "routes[1].timeout_ms"
TARGET = "routes[1].target_latency_ms"
ATTEMPTS = "routes[1].max_attempts"
SPLIT = "routes[1].traffic_split"
WEIGHTS = [f"{SPLIT}[{index}].weight" for index in (0, 1)]
STAGES = "routes[0].stages"
CALL_MS = "services[2].pieces.call_ms"
TENANTS = GOOD["tenants"]
KEYS = "tenants[1].api_keys"
EXEMPT = [f"routes[{index}].auth_exempt" for index in (0, 1)]
# Changes of the good configuration, and the finding; "{}" stands for the path
# of the first change.
FAULTS = [
    ({"routes": []}, "error no-routes $.{}"),
    # Hosts are compared without regard to case.
    ({PREFIX: "/chat/"}, "error route-hidden $.routes[0]"),
    ({"routes[1].host": "a:80"}, "error route-host $.{}"),
    ({PREFIX: "/book"}, "error route-prefix $.{}"),
    ({PREFIX: "/a?b=/"}, "error route-prefix $.{}"),
    # Requests name paths in printable ASCII.
    ({PREFIX: "/b\u00e9/"}, "error route-prefix $.{}"),
    ({PREFIX: "/a b/"}, "error route-prefix $.{}"),
    ({TIME_OUT: 0}, "error time-out-too-short $.{}"),
    # Written in seconds: no call is sent with so little time left.
    ({TIME_OUT: 30}, "error time-out-too-short $.{}"),
    ({TARGET: -1}, "error target-negative $.{}"),
    ({TARGET: 801}, f"error time-out-below-target $.{TIME_OUT}"),
    # After 0.6 s of stages, 7.4 s are left for attempts of 0.2 s.
    ({"routes[0].max_attempts": 38}, "warning attempts-exceed-time-out $.{}"),
    # Without a target, attempts of the expected time of a final call.
    ({ATTEMPTS: 5}, "warning attempts-exceed-time-out $.{}"),
    ({ATTEMPTS: 2, TIME_OUT: 100}, "warning attempts-exceed-time-out $.{}"),
    # More than a float can hold.
    ({ATTEMPTS: 10**400}, "warning attempts-exceed-time-out $.{}"),
    ({"routes[0].service": "x"}, "error service-unknown $.{}"),
    ({"routes[0].service": ""}, "error service-unknown $.{}"),
    ({f"{SPLIT}[1].service": "x"}, f"error service-unknown $.{SPLIT}[1]"),
    ({f"{STAGES}[1].service": "x"}, f"error service-unknown $.{STAGES}[1]"),
    (
        {f"{STAGES}[1].service": "books"},
        f"error service-runs-no-stages $.{STAGES}[1]",
    ),
    ({WEIGHTS[1]: -1}, f"error weight-negative $.{SPLIT}[1]"),
    ({WEIGHTS[0]: 0, WEIGHTS[1]: -1}, f"error weight-negative $.{SPLIT}[1]"),
    (dict.fromkeys(WEIGHTS, 0), f"error split-sends-nothing $.{SPLIT}"),
    ({WEIGHTS[1]: 0}, f"warning weight-zero $.{SPLIT}[1]"),
    ({f"{STAGES}[1].after": [2]}, f"error stage-unknown $.{STAGES}[1]"),
    (
        {f"{STAGES}[1].after": [1]},
        f"error stages-wait-for-each-other $.{STAGES}[1]",
    ),
    ({CALL_MS: 900}, f"warning stages-exceed-target $.{STAGES}"),
    ({CALL_MS: 3900}, f"error stages-exceed-time-out $.{STAGES}"),
    ({"routes[1].name": "chat"}, "warning name-repeated $.routes[0]"),
    ({"services[3]": {"name": "books"}}, "error name-repeated $.services[1]"),
    ({"tenants[1].name": "t1"}, "warning name-repeated $.tenants[0]"),
    ({"tenants": []}, "error no-keys $.{}"),
    ({KEYS: []}, "warning account-without-keys $.tenants[1]"),
    (
        {KEYS: ["key-3", "key-2"]},
        "error key-in-two-accounts $.tenants[0].api_keys[1]",
    ),
    ({KEYS: ["key-3", ""]}, "error key-empty $.{}[1]"),
    # Spaces around the key that a caller sends are removed.
    ({KEYS: ["key-3 "]}, "error key-with-spaces $.{}[0]"),
    ({KEYS: ["key-3", " "]}, "error key-with-spaces $.{}[1]"),
    ({KEYS: ["key-3", "key-3"]}, "warning key-repeated $.{}[1]"),
    ({"limits.max_header_bytes": 0}, "error limit-not-positive $.{}"),
    ({"limits.max_body_bytes": -1}, "error limit-not-positive $.{}"),
    ({"limits.max_body_bytes": -(10**400)}, "error limit-not-positive $.{}"),
    ({"limits.header_timeout_ms": 0}, "error limit-not-positive $.{}"),
    ({"limits.idle_timeout_ms": -5}, "error limit-not-positive $.{}"),
]


@pytest.mark.parametrize(("changes", "expected"), FAULTS)
def test_each_fault_is_found_alone_at_a_place_of_the_file(changes, expected):
    """Guards against faults that are missed, repeated or wrongly placed."""
    document = changed(changes)
    expected = expected.format(*changes)
    assert find(document) == [expected]
    # Raises LookupError for a path that the file lacks.
    functools.reduce(
        operator.getitem, path_steps(expected.split()[-1]), document
    )


@pytest.mark.parametrize(
    "changes",
    [
        {},
        # The longest prefix decides, so each route has paths of its own.
        {PREFIX: "/chat/more/"},
        {PREFIX: "/"},
        {PREFIX: "/a#b/"},
        {PREFIX: "/chat/", "routes[1].host": "b.example"},
        {TARGET: 800},
        {TIME_OUT: 31},
        {ATTEMPTS: 4},
        {"routes[0].max_attempts": 37},
        # Targets bound late answers; most attempts take much less.
        {"routes[0].timeout_ms": 2100},
        {ATTEMPTS: 2, TARGET: 700},
        # A route whose target is below the expected time of a call.
        {TIME_OUT: 100, ATTEMPTS: 2, TARGET: 50},
        # The chain and the final call take exactly the target of 2 s.
        {CALL_MS: 800},
        # Stages beside each other take no longer than one of them.
        {STAGES: [STAGE] * 4, CALL_MS: 1600},
        {"tenants": None},
        {"tenants": [], **dict.fromkeys(EXEMPT, True)},
        {"limits.max_body_bytes": 0},
    ],
)
def test_what_can_be_served_is_not_reported(changes):
    """Guards against false alarms at the bounds of each rule."""
    assert find(changed(changes)) == []


def test_a_longer_cycle_is_named_in_the_order_of_waiting():
    """Guards against a chain that names a stage and one it doesn't await."""
    stages = [{**STAGE, "after": [number]} for number in (2, 0, 1)]
    document = changed({STAGES: stages})
    (finding,) = config_faults.find_faults(declare(document))
    assert finding.code == "stages-wait-for-each-other"
    chain = [int(n) for n in finding.detail.rpartition(": ")[2].split(" -> ")]
    assert len(chain) == 4 and chain[0] == chain[-1]
    for waiting, awaited in zip(chain, chain[1:], strict=False):
        assert awaited in stages[waiting]["after"]


def test_a_hidden_route_is_the_one_that_the_gateway_never_finds():
    """Guards against naming the wrong one of two routes as hidden."""
    document = changed({PREFIX: "/chat/"})
    value = json.dumps(document).encode()
    table = documents.decode_configuration(value)
    assert table.find("a.example", "/chat/x").name == "book"
    (finding,) = config_faults.find_faults(documents.decode_declared(value))
    assert finding.place.name == "chat" and "'book'" in finding.detail


@pytest.mark.parametrize(
    ("content", "code", "path", "detail"),
    [
        (b"", "file-empty", "$", "empty"),
        (b" \n", "file-empty", "$", "empty"),
        (b'{\n "version": 7,\n x}', "file-refused", "$", "at line 3, byte 2"),
        (b'{"version": 7', "file-refused", "$", "truncated"),
        (b"\xff", "file-refused", "$", "malformed"),
        (b"{}", "file-refused", "$", "`version`"),
        (b"[]", "file-refused", "$", "Expected `object`"),
        ({"version": "7"}, "file-refused", "$.version", "Expected `int`"),
        ({TIME_OUT: None}, "file-refused", f"$.{TIME_OUT}", "Expected `float`"),
        (b"[" * 100_000, "file-refused", "$", ""),
    ],
)
def test_a_file_that_gateways_refuse_is_refused_with_the_place(
    tmp_path, content, code, path, detail
):
    """Guards against a check that passes what the gateway can't decode."""
    if isinstance(content, dict):
        content = json.dumps(changed(content)).encode()
    refused = documents.decode_configuration(content)
    assert isinstance(refused, decoding.Unreadable)
    status, document = check_json(write(tmp_path, content))
    assert status == ExitStatus.BAD_SHEET
    (finding,) = document["findings"]
    assert (finding["code"], finding["path"]) == (code, path)
    assert detail in finding["detail"] and finding["remedy"]


def test_unreadable_files_have_the_status_of_wrong_arguments(tmp_path, old):
    """Guards against a missing OLD that passes for an equal one."""
    missing = tmp_path / "missing.json"
    for arguments in (
        [missing],
        [tmp_path],
        [old, "--against", missing],
        [missing, "--against", old],
        [missing, "--against", missing],
    ):
        status, document = check_json(*arguments)
        assert status == ExitStatus.USAGE
        codes = {finding["code"] for finding in document["findings"]}
        assert codes == {"file-unreadable"}
        assert document["differences"] is None
        status, _, err = check(*arguments)
        assert status == ExitStatus.USAGE and "give a readable file" in err


def test_new_is_checked_although_old_can_not_be_decoded(tmp_path):
    """Guards against a fault of OLD that hides those of NEW."""
    new = write(tmp_path, changed({TIME_OUT: 0}))
    old = write(tmp_path, {}, "old.json")
    status, document = check_json(new, "--against", old)
    assert status == ExitStatus.BAD_SHEET
    assert document["differences"] is None
    assert [(f["file"], f["code"]) for f in document["findings"]] == [
        (str(new), "time-out-too-short"),
        (str(old), "file-refused"),
    ]


@pytest.mark.parametrize(
    ("version", "effect"),
    [(8, None), (7, "tells the two"), (6, "gateways ignore")],
)
def test_a_version_that_is_not_higher_is_an_error(
    tmp_path, old, version, effect
):
    """Guards against a configuration that gateways would ignore."""
    new = write(tmp_path, changed({"version": version}))
    status, document = check_json(new, "--against", old)
    if effect is None:
        assert (status, document["findings"]) == (ExitStatus.OK, [])
        return
    assert status == ExitStatus.BAD_SHEET
    (finding,) = document["findings"]
    assert finding["code"] == "version-not-higher"
    assert finding["path"] == "$.version"
    assert effect in finding["detail"] and "write 8" in finding["remedy"]


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, []),
        # Entries are compared by name, whatever their order.
        ({key: GOOD[key][::-1] for key in ("routes", "services")}, []),
        ({"version": 8}, ["changed version: 7, 8"]),
        ({"routes[2]": ROUTE}, ["added route 'new': None, None"]),
        ({"routes": GOOD["routes"][:1]}, ["removed route 'book': None, None"]),
        (
            {TIME_OUT: 900, TARGET: 800},
            ["changed route 'book' timeout_s: 0.8, 0.9"],
        ),
        (
            {STAGES: [STAGE]},
            [
                "changed route 'chat' stages: "
                "[{'pool': 'pieces', 'after': [], 'result_bytes': 8000}, "
                "{'pool': 'pieces', 'after': [0], 'result_bytes': 8000}], "
                "[{'pool': 'pieces', 'after': [], 'result_bytes': 0}]"
            ],
        ),
        (
            {"routes[1].kind": "safe"},
            ["changed route 'book' retry_policy: 'at most once', 'any'"],
        ),
        ({"services[3]": {"name": "s"}}, ["added service 's': None, None"]),
        (
            {"services": GOOD["services"][:2]},
            ["removed service 'pieces': None, None"],
        ),
        # A part that OLD lacks.
        (
            {"services[1].pieces": PIECES},
            [
                "changed service 'books' worker_profile: None, "
                "{'max_calls': 1, 'queue': 0, 'batch': 1, "
                "'call_overhead_s': 0.001, 'piece_s': 0.001, "
                "'result_memory_bytes': 0, 'result_ttl_s': 0}"
            ],
        ),
        ({"tenants[2]": {"name": "t3"}}, ["added account 't3': None, None"]),
        ({"tenants": TENANTS[1:]}, ["removed account 't1': None, None"]),
        # Without the list, every route is open to all.
        (
            {"tenants": None},
            [
                "removed account 't1': None, None",
                "removed account 't2': None, None",
                "changed account callers_need_keys: True, False",
            ],
        ),
        ({"tenants[1].priority": 2}, ["changed account 't2' priority: 1, 2"]),
        (
            {"tenants[0].api_keys": ["key-1"]},
            ["removed account 't1' keys: 1, None"],
        ),
        (
            {"tenants[0].api_keys": ["key-2", "key-4", "key-1"]},
            ["added account 't1' keys: None, 1"],
        ),
        (
            {"limits.max_body_bytes": 5},
            ["changed limits body_bytes: 4194304, 5"],
        ),
    ],
)
def test_each_difference_is_listed_alone(changes, expected):
    """Guards against changes that are missed, repeated or made up."""
    assert expected == [
        f"{d.change} {d.place}: {d.old!r}, {d.new!r}"
        for d in config_differences.list_differences(
            declare(GOOD), declare(changed(changes))
        )
    ]


def test_keys_are_never_printed(tmp_path, old):
    """Guards against keys in logs of a build that runs the check."""
    keys = ["key-1", "key-1", "key-3", "key-9"]
    new = changed({"version": 6, "tenants[0].api_keys": keys})
    for extra in ([], ["--json"]):
        _, out, err = check(write(tmp_path, new), "--against", old, *extra)
        assert "key-in-two-accounts" in out and "version-not-higher" in out
        assert not re.search(r"key-\d", out + err)


def test_the_text_names_findings_differences_and_counts(tmp_path, old):
    """Guards against text that lacks the place or the remedy."""
    changes = {"version": 8, TIME_OUT: 900, TARGET: 950}
    new = write(tmp_path, changed(changes))
    status, out, err = check(new, "--against", old)
    assert (status, err) == (ExitStatus.BAD_SHEET, "")
    assert out.splitlines() == [
        f"error: {new}: $.routes[1].timeout_ms (route 'book'): the time-out "
        "0.9 s is below the latency target 0.95 s; raise the time-out, or "
        "lower the target [time-out-below-target]",
        f"differences from {old} (version 7):",
        "  changed version: 7 -> 8",
        "  changed route 'book' timeout_s: 0.8 -> 0.9",
        "  changed route 'book' objective_s: 0.8 -> 0.95",
        f"{new}: version 8, 2 routes, 3 services, 2 accounts; errors: 1, "
        "warnings: 0",
    ]


def test_warnings_alone_are_no_failure(tmp_path):
    """Guards against a check that blocks a configuration that works."""
    new = write(tmp_path, changed({KEYS: []}))
    status, out, _ = check(new)
    assert status == ExitStatus.OK and out.startswith("warning: ")


def test_colours_only_on_a_terminal(tmp_path):
    """Guards against escape sequences in files and pipes."""
    new = write(tmp_path, changed({TIME_OUT: 0}))
    arguments = [new, "--against", tmp_path / "missing.json"]
    _, out, err = check(*arguments)
    assert "\x1b" not in out + err
    _, out, err = check(*arguments, is_terminal=True)
    assert out.startswith("\x1b[1;31merror\x1b[0m: ")
    assert err.startswith("\x1b[1;31merror\x1b[0m: ")
    _, out, err = check(*arguments, "--json", is_terminal=True)
    assert "\x1b" not in out + err and json.loads(out)["errors"] == 2


def test_names_can_not_control_the_terminal(tmp_path, old):
    """Guards against escape sequences in the names of a foreign file."""
    name = "\x1b]0;x\x07" + "n" * 500
    document = changed({"version": 8, "routes[1].name": name, TIME_OUT: 0})
    _, out, _ = check(write(tmp_path, document), "--against", old)
    assert "\\x1b]0;x" in out
    assert "\x1b" not in out and "\x07" not in out and "n" * 100 not in out


def run_program(*arguments, stdout, **variables):
    return subprocess.run(
        [sys.executable, "-m", "chervilarch.config_command", "check"]
        + [str(argument) for argument in arguments],
        stdout=stdout,
        stderr=subprocess.PIPE,
        env={**os.environ, **variables},
        check=False,
    )


@pytest.mark.parametrize("extra", [[], ["--json"]])
def test_ends_quietly_when_its_output_is_not_read(tmp_path, extra):
    """Guards against a traceback, or another status, behind `| head`."""
    new = write(tmp_path, changed({TIME_OUT: 0}))
    reader, writer = os.pipe()
    os.close(reader)
    ended = run_program(new, *extra, stdout=writer)
    os.close(writer)
    assert (ended.returncode, ended.stderr) == (ExitStatus.BAD_SHEET, b"")


def test_names_that_the_terminal_can_not_show_are_escaped(tmp_path, old):
    """Guards against a failure on the names of a sound configuration."""
    new = write(tmp_path, changed({"routes[1].name": "b\u00e9", KEYS: []}))
    ended = run_program(
        old, "--against", new, stdout=subprocess.PIPE, PYTHONIOENCODING="ascii"
    )
    assert (ended.returncode, ended.stderr) == (ExitStatus.BAD_SHEET, b"")
    assert b"removed route 'b\\xe9'" in ended.stdout
