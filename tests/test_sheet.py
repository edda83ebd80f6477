"""Tests of parsing the operators' sheet and of the rules compiled from it."""

import datetime
import json
import pathlib
import zoneinfo

import pytest

from chervilarch import rules, schemas, sheet

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
HEADINGS = "pipeline,stages,deadline_s,account,priority,limit_per_s,from,until"


@pytest.fixture
def deployment():
    path = EXAMPLES / "association" / "deployment.json"
    return json.loads(path.read_text())


def fault_positions(text, deployment):
    result = sheet.read(text.encode(), deployment)
    assert isinstance(result, list), result
    return [(fault.row, fault.column) for fault in result]


@pytest.mark.parametrize("name", ["association", "trust"])
def test_the_examples_compile(name):
    deployment = json.loads((EXAMPLES / name / "deployment.json").read_text())
    data = (EXAMPLES / name / "day.csv").read_bytes()
    result = sheet.read(data, deployment)
    document = sheet.compile_sheet(result, deployment)
    assert schemas.check_configuration(document) == []


def test_csv_variants_parse_alike(deployment):
    plain = f"{HEADINGS}\nbook,bookings,2.5,*,1,10,06:00,20:00\n"
    variants = [
        "\ufeff" + plain,
        plain.replace("\n", "\r\n") + ",,,,,,,\r\n\r\n",
        plain.replace("bookings,2.5", ' bookings , "2,5"').replace("*", " * "),
        plain.replace(",", ";").replace("2.5", "2,5"),
        plain.replace("pipeline", "Pipeline").replace(
            "deadline_s", "Deadline S"
        ),
    ]
    expected = sheet.read(plain.encode(), deployment)
    for text in variants:
        assert sheet.read(text.encode(), deployment) == expected


def test_all_faults_are_reported_together(deployment):
    text = (
        f"{HEADINGS}\n"
        "book,bookings,soon,*,1,10,,\n"
        "book,nowhere,2,*,1,10,,\n"
        "ask,generate,2,nobody,0,-1,25:00,\n"
    )
    assert fault_positions(text, deployment) == [
        (2, "deadline_s"),
        (3, "stages"),
        (4, "account"),
        (4, "from"),
        (4, "limit_per_s"),
        (4, "priority"),
    ]


def test_missing_and_unknown_columns_are_reported(deployment):
    text = HEADINGS.replace("priority", "prio") + "\n"
    assert fault_positions(text, deployment) == [(1, "prio"), (1, "priority")]


def test_overlapping_times_are_refused(deployment):
    text = (
        f"{HEADINGS}\n"
        "book,bookings,2,*,1,10,22:00,05:00\n"
        "book,bookings,2,*,1,10,04:00,09:00\n"
    )
    assert fault_positions(text, deployment) == [(3, "from")]


def test_a_sheet_in_another_encoding_is_refused(deployment):
    result = sheet.read("prio\xe9".encode("latin-1"), deployment)
    assert "UTF-8" in result[0].remedy


@pytest.mark.parametrize(
    ("times", "minute", "expected"),
    [
        (("06:00", "22:00"), "06:00", True),
        (("06:00", "22:00"), "22:00", False),
        (("22:00", "05:00"), "23:30", True),
        (("22:00", "05:00"), "04:59", True),
        (("22:00", "05:00"), "05:00", False),
        (("00:00", "24:00"), "23:59", True),
    ],
)
def test_a_rule_covers_only_its_times(times, minute, expected):
    start, end = (rules.parse_time(text) for text in times)
    rule = rules.Rule("p", "a", 1, 1, 1, start, end)
    assert rules.covers(rule, rules.parse_time(minute)) is expected


def test_times_are_in_the_time_zone_of_the_deployment(deployment):
    data = (EXAMPLES / "association" / "day.csv").read_bytes()
    document = sheet.compile_sheet(sheet.read(data, deployment), deployment)
    ruleset = rules.Ruleset(document)
    tokyo = zoneinfo.ZoneInfo("Asia/Tokyo")
    for hour, in_force in ((23, True), (12, False)):
        timestamp = datetime.datetime(
            2026, 12, 4, hour, tzinfo=tokyo
        ).timestamp()
        rule = ruleset.rule_in_force("night-audit", "shrine-office", timestamp)
        assert (rule is not None) is in_force


def test_a_row_for_an_account_takes_precedence_over_the_wildcard(deployment):
    data = (EXAMPLES / "association" / "day.csv").read_bytes()
    document = sheet.compile_sheet(sheet.read(data, deployment), deployment)
    ruleset = rules.Ruleset(document)
    assert ruleset.rule_in_force("survey", "eaves-and-gates", 0).priority == 2
    assert ruleset.rule_in_force("survey", "shrine-office", 0).priority == 5
    assert (
        ruleset.account_of_key("eaves-and-gates-key").name == "eaves-and-gates"
    )
