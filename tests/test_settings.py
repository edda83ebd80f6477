"""Tests of a router's settings and of how their faults are reported."""

import io
import json

import pytest

from chervilarch import (
    clocks,
    environment,
    router,
    router_args,
    settings,
    status,
    status_args,
)
from chervilarch.exits import ExitStatus

GOOD = {
    "host": "entry-1",
    "data_centre": "fukuoka",
    "caller_address": "127.0.0.1:18080",
    "peer_address": "127.0.0.1:18081",
    "log_address": "127.0.0.1:18082",
    "host_list_address": "127.0.0.1:18083",
    "peer_key": "0123456789abcdef",
    "operator_key_sha256": "0" * 64,
}


@pytest.fixture
def env():
    return environment.Environment(
        io.StringIO(), io.StringIO(), io.StringIO(), clocks.ManualClock()
    )


@pytest.fixture
def check(tmp_path, env):
    def run(text):
        path = tmp_path / "router.json"
        if text is not None:
            path.write_bytes(text)
        args = ["--settings", str(path), "--check"]
        parsed = router_args.build_parser().parse_args(args)
        return router.run(parsed, env), env.stderr.getvalue()

    return run


def test_accepts_good_settings(check):
    assert check(json.dumps(GOOD).encode()) == (ExitStatus.OK, "")


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ({"speed": 1}, ["$", "speed", "remove"]),
        ({"host": None}, ["$.host"]),
        ({"log_address": "log.example:80"}, ["$.log_address", "IPv4"]),
        ({"log_address": "127.0.0.1:99999"}, ["$.log_address", "99999"]),
        ({"bounds": {"threads": "many"}}, ["$.bounds.threads", "many"]),
    ],
)
def test_fault_has_path_value_and_remedy(check, change, words):
    code, err = check(json.dumps({**GOOD, **change}).encode())
    assert code == ExitStatus.BAD_SETTINGS
    assert all(word in err for word in words), err
    assert "Traceback" not in err


@pytest.mark.parametrize("text", [None, b"{", b"\xff\xfe"])
def test_unreadable_file_is_reported_in_one_line(check, text):
    code, err = check(text)
    assert code == ExitStatus.BAD_SETTINGS
    assert err.count("\n") == 1


def test_missing_field_is_reported(check):
    document = {k: v for k, v in GOOD.items() if k != "peer_key"}
    code, err = check(json.dumps(document).encode())
    assert code == ExitStatus.BAD_SETTINGS
    assert "peer_key" in err


def test_reports_changes_that_need_a_restart():
    old = settings.parse(GOOD)
    new = settings.parse({**GOOD, "host": "entry-2", "log_json": True})
    assert settings.changes_needing_restart(old, new) == ["host"]


def test_unreachable_router_is_reported_in_one_line(tmp_path, env):
    key = tmp_path / "key"
    key.write_text("k")
    args = status_args.build_parser().parse_args(
        ["--router", "127.0.0.1:9", "--key-file", str(key)]
    )
    assert status.run(args, env) == ExitStatus.UNAVAILABLE
    assert env.stderr.getvalue().count("\n") == 1


def test_rejects_an_address_by_name(capsys):
    argv = ["--router", "entry.example:80", "--key-file", "k"]
    with pytest.raises(SystemExit) as exit_info:
        status_args.build_parser().parse_args(argv)
    assert exit_info.value.code == ExitStatus.USAGE
    assert "write it as 10.0.0.1:8080" in capsys.readouterr().err
