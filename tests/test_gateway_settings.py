"""Tests of the gateway's settings and command line."""

import io
import json
import pathlib

import pytest

from chervilarch import environment, gateway, gateway_args, gateway_settings
from chervilarch.exits import ExitStatus

GOOD = {
    "host": "n1",
    "data_centre": "dc1",
    "caller_address": "10.0.0.1:80",
    "ready_address": "10.0.0.1:81",
    "ip": "10.0.0.1",
    "peer_ports": [7000, 7015],
    "metrics_port": 9464,
    "store_address": "10.0.0.9:8624",
    "bounds": {
        "drain_s": 2.0,
        "config_s": 2.0,
        "grace_s": 8,
        "retry_share": 0.2,
        "retry_fixed": 56,
        "retry_window_s": 10,
    },
}


def write(tmp_path, document):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(document))
    return path


def check(path):
    out, err = io.StringIO(), io.StringIO()
    env = environment.Environment(io.StringIO(), out, err, None)
    args = gateway_args.build_parser().parse_args(
        ["--settings", str(path), "--check"]
    )
    return gateway.run(args, env), out.getvalue(), err.getvalue()


def test_accepts_good_settings_and_ignores_unknown_fields(tmp_path):
    path = write(tmp_path, {**GOOD, "new_field": 1})
    cfg = gateway_settings.load(path)
    assert cfg.peer_ports == (7000, 7015) and cfg.bounds.grace_s == 8
    assert cfg.deployment == cfg.store_address and cfg.seeds == ()
    assert check(path)[0] == ExitStatus.OK


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"host": None}, "host"),
        ({"caller_address": "nowhere"}, "caller_address"),
        ({"peer_ports": [7000]}, "peer_ports"),
        ({"peer_ports": [7000, 7003]}, "at least 5 free ports"),
        ({"metrics_port": "9464"}, "metrics_port"),
        ({"seeds": ["nowhere"]}, "seeds"),
        ({"cores": "two"}, "cores"),
        ({"bounds": {}}, "drain_s"),
        ({"bounds": {**GOOD["bounds"], "evacuate_s": "soon"}}, "evacuate_s"),
        ({"bounds": {**GOOD["bounds"], "cold_over": -1}}, "cold_over"),
        ({"regions": {"dc1": 5}}, "regions"),
    ],
)
def test_bad_settings_name_the_field(tmp_path, change, message):
    status, _, err = check(write(tmp_path, {**GOOD, **change}))
    assert status == ExitStatus.BAD_SETTINGS
    assert message in err and str(tmp_path) in err


def test_bounds_that_a_deployment_lacks_are_none(tmp_path):
    cfg = gateway_settings.load(write(tmp_path, GOOD))
    assert cfg.bounds[-3:] == (None, None, None) and cfg.regions == {}


def test_reads_optional_bounds_and_regions(tmp_path):
    bounds = {"evacuate_s": 5.0, "cold_over": 1.5, "cold_slack": 5}
    document = {
        **GOOD,
        "bounds": {**GOOD["bounds"], **bounds},
        "regions": {"dc1": "r1"},
    }
    cfg = gateway_settings.load(write(tmp_path, document))
    assert cfg.bounds[-3:] == (5.0, 1.5, 5) and cfg.regions == {"dc1": "r1"}


def test_milli_cores_is_the_usable_share_of_all_cores(tmp_path):
    path = write(tmp_path, {**GOOD, "cores": 3, "core_share": 0.5})
    assert gateway_settings.load(path).milli_cores() == 1500
    assert gateway_settings.load(write(tmp_path, GOOD)).milli_cores() == 0


def test_seed_ips_drops_the_ports(tmp_path):
    path = write(tmp_path, {**GOOD, "seeds": ["10.1.0.9:8628"]})
    assert gateway_settings.load(path).seed_ips() == ("10.1.0.9",)


@pytest.mark.parametrize("name", GOOD)
def test_each_field_is_required(tmp_path, name):
    document = {key: value for key, value in GOOD.items() if key != name}
    status, _, err = check(write(tmp_path, document))
    assert status == ExitStatus.BAD_SETTINGS and name in err


def test_settings_come_from_the_environment_variable(monkeypatch):
    monkeypatch.setenv(gateway_args.SETTINGS_VARIABLE, "/etc/x.json")
    args = gateway_args.build_parser().parse_args([])
    assert args.settings == pathlib.Path("/etc/x.json")


def test_deployment_template_has_every_field():
    root = pathlib.Path(__file__).parent.parent
    template = (root / "deploy/settings.json.template").read_text()
    for name in [*GOOD, *GOOD["bounds"]]:
        assert f'"{name}":' in template
