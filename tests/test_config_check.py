"""Tests of `chervilarch-config check`: each finding, differences, output."""

import copy
import io
import json
import re

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

GOOD = {
    "version": 7,
    "routes": [
        {
            "name": "chat",
            "host": "A.example",
            "path_prefix": "/chat/",
            "kind": "streaming",
            "timeout_ms": 8000,
            "target_latency_ms": 2000,
            "service": "engines",
            "max_attempts": 2,
            "stages": [
                {"service": "pieces", "after": [], "bytes": 8000},
                {"service": "pieces", "after": [0], "bytes": 8000},
            ],
            "resumable": True,
        },
        {
            "name": "book",
            "host": "a.example",
            "path_prefix": "/book/",
            "kind": "non_idempotent",
            "timeout_ms": 800,
            "traffic_split": [
                {"service": "engines", "weight": 90},
                {"service": "books", "weight": 10},
            ],
        },
    ],
    "services": [
        {"name": "engines", "engine": {"slots": 128, "kv_tokens": 1000}},
        {"name": "books"},
        {
            "name": "pieces",
            "pieces": {"batch": 4, "call_ms": 200.0, "item_ms": 100.0},
        },
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [
        {"name": "t1", "api_keys": ["key-1", "key-2"]},
        {"name": "t2", "api_keys": ["key-3"], "priority": 1},
    ],
}


class Terminal(io.StringIO):
    """A text stream that says it is a terminal."""

    def isatty(self):
        return True


def changed(changes):
    """Returns the good configuration with values set at JSON paths."""
    document = copy.deepcopy(GOOD)
    for path, value in changes.items():
        *steps, last = path_steps(path)
        target = document
        for step in steps:
            target = target[step]
        if isinstance(last, int) and last == len(target):
            target.append(value)
        else:
            target[last] = value
    return document


def path_steps(path):
    steps = re.findall(r"([a-z_]+)|\[(\d+)\]", path)
    return [name or int(index) for name, index in steps]


def resolve(document, path):
    for step in path_steps(path):
        document = document[step]
    return document


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


def check(*arguments, stream=io.StringIO):
    """Runs the command; returns its exit status and what it prints."""
    out, err = stream(), stream()
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


def test_a_good_configuration_has_no_findings():
    """Guards against false alarms for a usual configuration."""
    assert find(GOOD) == []


STAGE = {"service": "pieces"}
PIECES = {"batch": 1, "call_ms": 1, "item_ms": 1}
ROUTE = {**GOOD["routes"][1], "name": "new"}
WEIGHTS = [f"routes[1].traffic_split[{index}].weight" for index in (0, 1)]
TARGET = "routes[1].target_latency_ms"
KEYS = "tenants[1].api_keys"
CALL_MS = "services[2].pieces.call_ms"
FAULTS = [
    ({"routes": []}, "error no-routes $.routes"),
    # Hosts are compared without regard to case.
    ({"routes[1].path_prefix": "/chat/"}, "error route-hidden $.routes[0]"),
    ({"routes[1].host": "a:80"}, "error route-host $.routes[1].host"),
    (
        {"routes[1].path_prefix": "/book"},
        "error route-prefix $.routes[1].path_prefix",
    ),
    (
        {"routes[1].path_prefix": "/a?b=/"},
        "error route-prefix $.routes[1].path_prefix",
    ),
    (
        {"routes[1].timeout_ms": 0},
        "error time-out-not-positive $.routes[1].timeout_ms",
    ),
    ({TARGET: -1}, f"error target-negative $.{TARGET}"),
    ({TARGET: 801}, "error time-out-below-target $.routes[1].timeout_ms"),
    # Attempts as long as the target leaves after 0.6 s of stages: 1.4 s.
    (
        {"routes[0].max_attempts": 6},
        "warning attempts-exceed-time-out $.routes[0].max_attempts",
    ),
    # Without a target, attempts of the expected time of a final call.
    (
        {"routes[1].max_attempts": 5},
        "warning attempts-exceed-time-out $.routes[1].max_attempts",
    ),
    (
        {"routes[1].timeout_ms": 100, "routes[1].max_attempts": 2},
        "warning attempts-exceed-time-out $.routes[1].max_attempts",
    ),
    ({"routes[0].service": "x"}, "error pool-unknown $.routes[0].service"),
    ({"routes[0].service": ""}, "error pool-unknown $.routes[0].service"),
    (
        {"routes[1].traffic_split[1].service": "x"},
        "error pool-unknown $.routes[1].traffic_split[1]",
    ),
    (
        {"routes[0].stages[1].service": "x"},
        "error pool-unknown $.routes[0].stages[1]",
    ),
    (
        {"routes[0].stages[1].service": "books"},
        "error pool-runs-no-stages $.routes[0].stages[1]",
    ),
    ({WEIGHTS[1]: -1}, "error weight-negative $.routes[1].traffic_split[1]"),
    (
        dict.fromkeys(WEIGHTS, 0),
        "error split-sends-nothing $.routes[1].traffic_split",
    ),
    ({WEIGHTS[1]: 0}, "warning weight-zero $.routes[1].traffic_split[1]"),
    (
        {"routes[0].stages[1].after": [2]},
        "error stage-unknown $.routes[0].stages[1]",
    ),
    (
        {"routes[0].stages[1].after": [1]},
        "error stages-wait-for-each-other $.routes[0].stages[1]",
    ),
    ({CALL_MS: 900}, "warning stages-exceed-target $.routes[0].stages"),
    ({CALL_MS: 3900}, "error stages-exceed-time-out $.routes[0].stages"),
    ({"routes[1].name": "chat"}, "warning name-repeated $.routes[0]"),
    ({"services[3]": {"name": "books"}}, "error name-repeated $.services[1]"),
    ({"tenants[1].name": "t1"}, "warning name-repeated $.tenants[0]"),
    ({"tenants": []}, "error no-keys $.tenants"),
    ({KEYS: []}, "warning account-without-keys $.tenants[1]"),
    (
        {KEYS: ["key-3", "key-2"]},
        "error key-in-two-accounts $.tenants[0].api_keys[1]",
    ),
    ({KEYS: ["key-3", ""]}, "error key-empty $.tenants[1].api_keys[1]"),
    (
        {KEYS: ["key-3", "key-3"]},
        "warning key-repeated $.tenants[1].api_keys[1]",
    ),
    *(
        ({path: value}, f"error limit-not-positive $.{path}")
        for path, value in (
            ("limits.max_header_bytes", 0),
            ("limits.max_body_bytes", -1),
            ("limits.header_timeout_ms", 0),
            ("limits.idle_timeout_ms", -5),
        )
    ),
]


@pytest.mark.parametrize(("changes", "expected"), FAULTS)
def test_each_fault_is_found_alone_at_a_place_of_the_file(changes, expected):
    """Guards against faults that are missed, repeated or wrongly placed."""
    document = changed(changes)
    assert find(document) == [expected]
    resolve(document, expected.split()[-1])


@pytest.mark.parametrize(
    "changes",
    [
        # The longest prefix decides, so each route has paths of its own.
        {"routes[1].path_prefix": "/chat/more/"},
        {"routes[1].path_prefix": "/"},
        {"routes[1].path_prefix": "/chat/", "routes[1].host": "b.example"},
        {TARGET: 800},
        {"routes[1].max_attempts": 4},
        {"routes[0].max_attempts": 5},
        # The chain and the final call take exactly the target of 2 s.
        {CALL_MS: 800},
        # Stages beside each other take no longer than one of them.
        {"routes[0].stages": [STAGE] * 4, CALL_MS: 1600},
        {"tenants": None},
        {
            "tenants": [],
            "routes[0].auth_exempt": True,
            "routes[1].auth_exempt": True,
        },
        {"limits.max_body_bytes": 0},
    ],
)
def test_what_can_be_served_is_not_reported(changes):
    """Guards against false alarms at the bounds of each rule."""
    assert find(changed(changes)) == []


def test_a_longer_cycle_is_named_in_the_order_of_waiting():
    """Guards against a chain that names a stage and one it doesn't await."""
    stages = [{**STAGE, "after": [number]} for number in (2, 0, 1)]
    document = changed({"routes[0].stages": stages})
    (finding,) = config_faults.find_faults(declare(document))
    assert finding.code == "stages-wait-for-each-other"
    chain = [int(n) for n in finding.detail.rpartition(": ")[2].split(" -> ")]
    assert len(chain) == 4 and chain[0] == chain[-1]
    for waiting, awaited in zip(chain, chain[1:], strict=False):
        assert awaited in stages[waiting]["after"]


def test_a_hidden_route_is_the_one_that_the_gateway_never_finds():
    """Guards against naming the wrong one of two routes as hidden."""
    document = changed({"routes[1].path_prefix": "/chat/"})
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
        (
            json.dumps(changed({"version": "7"})).encode(),
            "file-refused",
            "$.version",
            "Expected `int`",
        ),
        (
            json.dumps(changed({"routes[1].timeout_ms": None})).encode(),
            "file-refused",
            "$.routes[1].timeout_ms",
            "Expected `float`",
        ),
        (b"[" * 100_000, "file-refused", "$", ""),
    ],
)
def test_a_file_that_gateways_refuse_is_refused_with_the_place(
    tmp_path, content, code, path, detail
):
    """Guards against a check that passes what the gateway can't decode."""
    refused = documents.decode_configuration(content)
    assert isinstance(refused, decoding.Unreadable)
    status, document = check_json(write(tmp_path, content))
    assert status == ExitStatus.BAD_SHEET
    (finding,) = document["findings"]
    assert (finding["code"], finding["path"]) == (code, path)
    assert detail in finding["detail"] and finding["remedy"]


def test_unreadable_files_have_the_status_of_wrong_arguments(tmp_path):
    """Guards against a missing OLD that passes for an equal one."""
    good, missing = write(tmp_path, GOOD), tmp_path / "missing.json"
    for arguments in (
        [missing],
        [tmp_path],
        [good, "--against", missing],
        [missing, "--against", good],
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
    new = write(tmp_path, changed({"routes[1].timeout_ms": 0}))
    old = write(tmp_path, {}, "old.json")
    status, document = check_json(new, "--against", old)
    assert status == ExitStatus.BAD_SHEET
    assert document["differences"] is None
    assert [(f["file"], f["code"]) for f in document["findings"]] == [
        (str(new), "time-out-not-positive"),
        (str(old), "file-refused"),
    ]


@pytest.mark.parametrize(
    ("version", "effect"),
    [(8, None), (7, "tells the two"), (6, "gateways ignore")],
)
def test_a_version_that_is_not_higher_is_an_error(tmp_path, version, effect):
    """Guards against a configuration that gateways would ignore."""
    new = write(tmp_path, changed({"version": version}))
    old = write(tmp_path, GOOD, "old.json")
    status, document = check_json(new, "--against", old)
    if effect is None:
        assert (status, document["findings"]) == (ExitStatus.OK, [])
        return
    assert status == ExitStatus.BAD_SHEET
    (finding,) = document["findings"]
    assert (finding["code"], finding["path"]) == (
        "version-not-higher",
        "$.version",
    )
    assert effect in finding["detail"] and "write 8" in finding["remedy"]


def list_differences(new, old=GOOD):
    differences = config_differences.list_differences(
        declare(old), declare(new)
    )
    return [(f"{d.change} {d.place}", d.old, d.new) for d in differences]


def test_equal_configurations_have_no_differences():
    """Guards against differences that conversions make."""
    assert list_differences(GOOD) == []


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({"version": 8}, ("changed version", 7, 8)),
        ({"routes[2]": ROUTE}, ("added route 'new'", None, None)),
        ({"routes": GOOD["routes"][:1]}, ("removed route 'book'", None, None)),
        (
            {"routes[1].timeout_ms": 900, TARGET: 800},
            ("changed route 'book' timeout_s", 0.8, 0.9),
        ),
        (
            {"routes[0].stages": [STAGE]},
            (
                "changed route 'chat' stages",
                [
                    {"pool": "pieces", "after": [], "result_bytes": 8000},
                    {"pool": "pieces", "after": [0], "result_bytes": 8000},
                ],
                [{"pool": "pieces", "after": [], "result_bytes": 0}],
            ),
        ),
        (
            {"routes[1].kind": "safe"},
            ("changed route 'book' retry_policy", "at most once", "any"),
        ),
        ({"services[3]": {"name": "s"}}, ("added pool 's'", None, None)),
        (
            {"services": GOOD["services"][:2]},
            ("removed pool 'pieces'", None, None),
        ),
        ({"tenants[2]": {"name": "t3"}}, ("added account 't3'", None, None)),
        (
            {"tenants": GOOD["tenants"][1:]},
            ("removed account 't1'", None, None),
        ),
        ({"tenants[1].priority": 2}, ("changed account 't2' priority", 1, 2)),
        (
            {"tenants[0].api_keys": ["key-1"]},
            ("removed account 't1' keys", 1, None),
        ),
        (
            {"tenants[0].api_keys": ["key-2", "key-4", "key-1"]},
            ("added account 't1' keys", None, 1),
        ),
        (
            {"limits.max_body_bytes": 5},
            ("changed limits body_bytes", 4194304, 5),
        ),
    ],
)
def test_each_difference_is_listed_alone(changes, expected):
    """Guards against changes that the comparison misses or repeats."""
    assert list_differences(changed(changes)) == [expected]


def test_a_service_that_begins_to_make_pieces_is_a_difference():
    """Guards against a failure to compare a part that OLD lacks."""
    document = changed({"services[1].pieces": PIECES})
    ((what, old, new),) = list_differences(document)
    assert (what, old) == ("changed pool 'books' worker_profile", None)
    assert new["batch"] == 1 and new["piece_s"] == 0.001


def test_the_order_of_entries_is_no_difference():
    """Guards against a comparison by position."""
    document = changed(
        {"routes": GOOD["routes"][::-1], "services": GOOD["services"][::-1]}
    )
    assert list_differences(document) == []


def test_lists_when_callers_no_longer_need_keys():
    """Guards against a dropped list of accounts that opens every route."""
    listed = list_differences(changed({"tenants": None}))
    assert ("changed account needs_key", True, False) in listed


def test_keys_are_never_printed(tmp_path):
    """Guards against keys in logs of a build that runs the check."""
    new = changed(
        {
            "version": 6,
            "tenants[0].api_keys": ["key-1", "key-1", "key-3", "key-9"],
        }
    )
    files = [write(tmp_path, new), "--against", write(tmp_path, GOOD, "o.json")]
    for extra in ([], ["--json"]):
        _, out, err = check(*files, *extra)
        assert "key-in-two-accounts" in out and "version-not-higher" in out
        assert not re.search(r"key-\d", out + err)


def test_the_text_names_findings_differences_and_counts(tmp_path):
    """Guards against text that lacks the place or the remedy."""
    new = write(
        tmp_path,
        changed(
            {
                "version": 8,
                "routes[1].timeout_ms": 900,
                "routes[1].target_latency_ms": 950,
            }
        ),
    )
    old = write(tmp_path, GOOD, "old.json")
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
    new = write(tmp_path, changed({"tenants[1].api_keys": []}))
    status, out, _ = check(new)
    assert status == ExitStatus.OK and out.startswith("warning: ")


def test_colours_only_on_a_terminal(tmp_path):
    """Guards against escape sequences in files and pipes."""
    new = write(tmp_path, changed({"routes[1].timeout_ms": 0}))
    arguments = [new, "--against", tmp_path / "missing.json"]
    _, out, err = check(*arguments)
    assert "\x1b" not in out + err
    _, out, err = check(*arguments, stream=Terminal)
    assert out.startswith("\x1b[1;31merror\x1b[0m: ")
    assert err.startswith("\x1b[1;31merror\x1b[0m: ")
    _, out, err = check(*arguments, "--json", stream=Terminal)
    assert "\x1b" not in out + err and json.loads(out)["errors"] == 2


def test_names_can_not_control_the_terminal(tmp_path):
    """Guards against escape sequences in the names of a foreign file."""
    name = "\x1b]0;x\x07" + "n" * 500
    document = changed(
        {"version": 8, "routes[1].name": name, "routes[1].timeout_ms": 0}
    )
    files = [write(tmp_path, document), "--against"]
    _, out, _ = check(*files, write(tmp_path, GOOD, "old.json"))
    assert "\\x1b]0;x" in out
    assert "\x1b" not in out and "\x07" not in out and "n" * 100 not in out
