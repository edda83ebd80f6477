"""The whole path through real processes, as a caller and operators see it."""

import concurrent.futures
import contextlib
import json
import socket

import pytest

from bench import fleet, scenario


@pytest.fixture(scope="module")
def running():
    with fleet.Fleet(scenario.specs(5), ["a", "b"], 2) as started:
        # Admission reckons with measured times, which load stretches.
        scenario.start(started, deadline_s=120)
        yield started


@pytest.fixture
def router(running):
    return running.routers[0]


def post(router, body, path="/v1/pipelines/encode/runs", **headers):
    """Sends raw bytes as a body; returns status and problem."""
    host, port = router.address.split(":")
    sent = {"Authorization": "Bearer load-key", **headers}
    lines = [f"POST {path} HTTP/1.1", f"Host: {host}", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in sent.items()]
    if "Transfer-Encoding" not in sent:
        lines.append(f"Content-Length: {len(body)}")
    data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    with socket.create_connection((host, int(port)), 10) as conn:
        conn.sendall(data)
        reply = b""
        with contextlib.suppress(ConnectionResetError):
            while chunk := conn.recv(65536):
                reply += chunk
    head, _, payload = reply.partition(b"\r\n\r\n")
    status = int(head.split(b" ")[1])
    return status, payload


def test_a_pipeline_answers_whole_and_streamed(router):
    expected = scenario.expected_tokens("roof")
    for stream in (False, True):
        told = scenario.send(router, "survey", "roof", stream=stream)
        assert told.output == expected


def test_many_callers_get_their_own_answers(running):
    prompts = [f"prompt {number}" for number in range(60)]
    with concurrent.futures.ThreadPoolExecutor(12) as pool:
        answers = pool.map(
            lambda prompt: scenario.send(
                running.routers[len(prompt) % 2], "survey", prompt
            ),
            prompts,
        )
    for prompt, told in zip(prompts, answers, strict=True):
        assert told.output == scenario.expected_tokens(prompt)


def test_a_key_through_two_routers_runs_once(running):
    key = fleet.new_key()
    answers = [
        scenario.send(router, "book", "gate", key) for router in running.routers
    ]
    scenario.check_key(running, key, answers)
    assert {item.outcome for item in answers} == {"answer"}


@pytest.mark.parametrize(
    ("body", "headers", "status"),
    [
        (b"{", {}, 400),
        (b"\xff\xfe", {}, 400),
        (b"[]", {}, 400),
        (b'{"input": 1, "speed": 2}', {}, 400),
        (b'{"input": 1, "max_tokens": 0}', {}, 400),
        (b'{"input": 1}', {"Deadline-Ms": "soon"}, 400),
        (b'{"input": 1}', {"Authorization": "Bearer nobody"}, 401),
    ],
)
def test_bad_input_gets_a_typed_refusal(router, body, headers, status):
    got, payload = post(router, body, **headers)
    assert got == status
    assert json.loads(payload)["remedy"]


def test_a_body_over_the_bound_is_refused(router):
    status, payload = post(router, b"x", **{"Content-Length": "99999999"})
    assert status in (400, 413)


def test_header_bombs_are_refused(router):
    status, _ = post(router, b"{}", **{"X-Bomb": "x" * 100_000})
    assert status in (400, 413, 431)
    assert scenario.send(router, "encode", "x").outcome == "answer"


def test_an_unknown_pipeline_is_named(router):
    status, payload = post(
        router, b'{"input": 1}', path="/v1/pipelines/nothing/runs"
    )
    assert status == 404
    assert "survey" in json.loads(payload)["remedy"]


def test_a_request_is_explained_to_its_account_only(router):
    answer = fleet.call(
        router.address,
        "POST",
        "/v1/pipelines/encode/runs",
        {"input": "x"},
        scenario.ACCOUNT_HEADERS,
    )
    path = f"/v1/requests/{answer.json()['request_id']}/explanation"
    told = fleet.call(
        router.address, "GET", path, headers=scenario.ACCOUNT_HEADERS
    )
    steps = [step["step"] for step in told.json()["steps"]]
    assert steps[0] == "rule" and "attempt" in steps and steps[-1] == "ended"
    other = {"Authorization": "Bearer somebody"}
    assert fleet.call(router.address, "GET", path, headers=other).status == 401


def test_a_caller_that_goes_away_leaves_no_slot_taken(router):
    host, port = router.address.split(":")
    body = b'{"input": "long", "stream": true, "max_tokens": 5000}'
    head = (
        f"POST /v1/pipelines/generate/runs HTTP/1.1\r\nHost: {host}\r\n"
        "Authorization: Bearer load-key\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    with socket.create_connection((host, int(port)), 10) as conn:
        conn.sendall(head.encode() + body)
        assert b"200 OK" in conn.recv(4096)
        conn.recv(4096)

    def is_idle():
        listed = fleet.status(router)["endpoints"]
        return all(item["in_flight"] == 0 for item in listed)

    fleet.wait_until(is_idle, "the slot comes back")


def test_operators_see_the_fleet(running):
    text = running.run_tool(
        "status",
        "--router",
        running.routers[0].address,
        "--key-file",
        str(running.key_file()),
    )
    assert "entry-2" in text and "encode" in text


def test_a_publish_on_an_old_base_is_told_the_winner(running):
    with pytest.raises(fleet.FleetError, match="in force instead"):
        running.run_tool(
            "plan",
            "publish",
            "--log",
            running.log_address,
            "--deployment",
            str(running.folder / "configuration.json"),
            "--base",
            "12345",
        )
