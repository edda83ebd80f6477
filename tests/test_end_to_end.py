"""End-to-end tests of routers that run as processes."""

import concurrent.futures
import contextlib
import json
import socket

import pytest

from bench import fleet, scenario


@pytest.fixture(scope="module")
def running_fleet():
    with fleet.Fleet(scenario.specs(5), ["a", "b"], 2) as new_fleet:
        # Admission estimates from measured times, which grow under load; with
        # the long deadline it still admits requests.
        scenario.start(new_fleet, deadline_s=120)
        yield new_fleet


@pytest.fixture
def router(running_fleet):
    return running_fleet.routers[0]


def post_raw(router, body, path="/v1/pipelines/encode/runs", **headers):
    """Sends raw bytes as a body; returns the response's status and body."""
    host, port = router.address.split(":")
    all_headers = {"Authorization": "Bearer load-key", **headers}
    lines = [f"POST {path} HTTP/1.1", f"Host: {host}", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in all_headers.items()]
    if "Transfer-Encoding" not in all_headers:
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


def test_a_pipeline_answers_in_one_piece_and_as_a_stream(router):
    expected = scenario.expected_tokens("roof")
    for stream in (False, True):
        response = scenario.send(router, "survey", "roof", stream=stream)
        assert response.output == expected


def test_concurrent_callers_get_their_own_answers(running_fleet):
    prompts = [f"prompt {number}" for number in range(60)]
    with concurrent.futures.ThreadPoolExecutor(12) as pool:
        answers = pool.map(
            lambda prompt: scenario.send(
                running_fleet.routers[len(prompt) % 2], "survey", prompt
            ),
            prompts,
        )
    for prompt, response in zip(prompts, answers, strict=True):
        assert response.output == scenario.expected_tokens(prompt)


def test_a_key_sent_to_two_routers_runs_once(running_fleet):
    key = fleet.new_key()
    answers = [
        scenario.send(router, "book", "gate", key)
        for router in running_fleet.routers
    ]
    scenario.check_key(running_fleet, key, answers)
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
def test_invalid_input_is_refused_with_a_remedy(router, body, headers, status):
    got_status, payload = post_raw(router, body, **headers)
    assert got_status == status
    assert json.loads(payload)["remedy"]


def test_a_body_over_the_size_limit_is_refused(router):
    status, payload = post_raw(router, b"x", **{"Content-Length": "99999999"})
    assert status in (400, 413)


def test_oversized_headers_are_refused(router):
    status, _ = post_raw(router, b"{}", **{"X-Bomb": "x" * 100_000})
    assert status in (400, 413, 431)
    assert scenario.send(router, "encode", "x").outcome == "answer"


def test_an_unknown_pipeline_gets_the_names_of_known_ones(router):
    status, payload = post_raw(
        router, b'{"input": 1}', path="/v1/pipelines/nothing/runs"
    )
    assert status == 404
    assert "survey" in json.loads(payload)["remedy"]


def test_a_request_is_explained_only_to_its_account(router):
    answer = fleet.send_request(
        router.address,
        "POST",
        "/v1/pipelines/encode/runs",
        {"input": "x"},
        scenario.ACCOUNT_HEADERS,
    )
    path = f"/v1/requests/{answer.json()['request_id']}/explanation"
    response = fleet.send_request(
        router.address, "GET", path, headers=scenario.ACCOUNT_HEADERS
    )
    steps = [step["step"] for step in response.json()["steps"]]
    assert steps[0] == "rule" and "attempt" in steps and steps[-1] == "ended"
    wrong_key = {"Authorization": "Bearer somebody"}
    assert (
        fleet.send_request(
            router.address, "GET", path, headers=wrong_key
        ).status
        == 401
    )


def test_a_disconnected_caller_frees_its_slot(router):
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
        endpoints = fleet.fetch_status(router)["endpoints"]
        return all(item["in_flight"] == 0 for item in endpoints)

    fleet.wait_until(is_idle, "the slot comes back")


def test_status_lists_hosts_and_pools(running_fleet):
    text = running_fleet.run_tool(
        "status",
        "--router",
        running_fleet.routers[0].address,
        "--key-file",
        str(running_fleet.write_key_file()),
    )
    assert "entry-2" in text and "encode" in text


def test_a_publish_with_an_outdated_base_is_refused(running_fleet):
    with pytest.raises(fleet.FleetError, match="in force instead"):
        running_fleet.run_tool(
            "plan",
            "publish",
            "--log",
            running_fleet.log_address,
            "--deployment",
            str(running_fleet.folder / "configuration.json"),
            "--base",
            "12345",
        )
