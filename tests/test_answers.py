"""Only complete answers of the attempt itself count; outcomes map to HTTP."""

import json
import tracemalloc
import types

import msgspec
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from chervilarch import (
    attempts,
    call_stage,
    event_stream,
    exchanges,
    idempotency,
    outcomes,
    tokens,
)
from chervilarch.outcomes import Reason


def token(index, attempt="a", text=None):
    data = {"attempt_id": attempt, "index": index, "text": text or f"t{index}"}
    return b"event: token\ndata: %s\n\n" % json.dumps(data).encode()


def end(count, attempt="a"):
    data = {"attempt_id": attempt, "tokens": count}
    return b"event: end\ndata: %s\n\n" % json.dumps(data).encode()


@pytest.fixture
def sequence():
    sequence = tokens.TokenSequence()
    sequence.begin_attempt("a")
    return sequence


COMPLETE = token(0) + token(1) + token(2) + end(3)


@pytest.mark.parametrize("size", [1, 2, 7, 1000])
def test_chunk_size_does_not_affect_parsing(sequence, size):
    for start in range(0, len(COMPLETE), size):
        assert sequence.feed(COMPLETE[start : start + size]) is None
    assert sequence.ended
    assert sequence.texts == ["t0", "t1", "t2"]


@pytest.mark.parametrize(
    ("data", "fault"),
    [
        (token(0) + token(2), tokens.StreamFault.GAP),
        (token(0, attempt="b"), tokens.StreamFault.NOT_OWN),
        (token(0) + end(2), tokens.StreamFault.SHORT),
        (end(0, attempt="b"), tokens.StreamFault.NOT_OWN),
        (b"event: token\ndata: {}\n\n", tokens.StreamFault.MALFORMED),
        (b"event: error\ndata: {}\n\n", tokens.StreamFault.ENGINE),
    ],
)
def test_a_faulty_stream_is_detected(sequence, data, fault):
    assert sequence.feed(data) is fault
    assert not sequence.ended


def test_a_resumed_stream_repeats_no_token(sequence):
    sequence.feed(token(0) + token(1) + token(1))
    sequence.begin_attempt("b")
    sequence.feed(token(1, "b") + token(2, "b") + end(3, "b"))
    assert sequence.texts == ["t0", "t1", "t2"]
    assert sequence.ended


@pytest.mark.parametrize(
    "data",
    [
        b"".join(token(index) for index in range(5)),
        b"".join(token(index, text="t" * 900_000) for index in range(4)),
    ],
    ids=["tokens", "text"],
)
def test_tokens_without_end_are_not_kept(data):
    sequence = tokens.TokenSequence(4)
    sequence.begin_attempt("a")
    assert sequence.feed(data) is tokens.StreamFault.EXCESS
    assert len(sequence.texts) <= 4
    assert sum(map(len, sequence.texts)) <= 2 * 2**20


ENDLESS = {
    "comments": b": c\n\n",
    "blank lines": b"\n",
    "other events": b"event: ping\ndata: {}\n\n",
    "repeated tokens": token(0),
}


@pytest.mark.parametrize("kind", ENDLESS)
def test_bytes_without_a_new_token_end_an_attempt(sequence, kind):
    sequence.feed(token(0))
    chunk = ENDLESS[kind] * (2**18 // len(ENDLESS[kind]))
    faults = [sequence.feed(chunk) for _ in range(40)]
    assert not any(faults[:30])
    assert faults[-1] is tokens.StreamFault.IDLE


def test_bytes_between_tokens_do_not_add_up(sequence):
    comments = ENDLESS["comments"] * (2**20 // len(ENDLESS["comments"]))
    for index in range(12):
        assert sequence.feed(comments + token(index)) is None


@pytest.mark.parametrize("repeated", [0, 3])
def test_an_answer_of_all_tokens_asked_for_is_whole(repeated):
    sequence = tokens.TokenSequence(4)
    sequence.begin_attempt("a")
    data = [token(index) for index in range(4)]
    assert sequence.feed(b"".join([*data, *data[:repeated], end(4)])) is None
    assert sequence.ended


@seed(2)
@settings(max_examples=300, deadline=None, database=None)
@given(st.binary(max_size=400))
def test_random_bytes_yield_no_token(data):
    sequence = tokens.TokenSequence()
    sequence.begin_attempt("attempt id that no random bytes hold")
    sequence.feed(data)
    sequence.feed(b"\n\n")
    assert sequence.texts == []
    assert not sequence.ended


def test_an_oversized_event_is_refused():
    parser = event_stream.EventParser()
    block = b"x" * event_stream.MAX_EVENT_BYTES
    parser.feed(block)
    assert isinstance(parser.feed(block), event_stream.EventOverflow)


def reply(status, document):
    return exchanges.Reply(status, {}, json.dumps(document).encode(), 0.0)


@pytest.mark.parametrize(
    ("result", "cause", "surely_not_run"),
    [
        (
            exchanges.TransferFailure(exchanges.FailureKind.REFUSED, "", False),
            attempts.FailureCause.NOT_SENT,
            True,
        ),
        (
            exchanges.TransferFailure(exchanges.FailureKind.BROKEN, "", True),
            attempts.FailureCause.LOST,
            False,
        ),
        (
            exchanges.TransferFailure(
                exchanges.FailureKind.TIMED_OUT, "", True
            ),
            attempts.FailureCause.LATE,
            False,
        ),
        (reply(200, {"attempt_id": "b"}), attempts.FailureCause.NOT_OWN, False),
        (reply(200, {"attempt_id": "a"}), attempts.FailureCause.FAILED, False),
        (reply(500, {"attempt_id": "a"}), attempts.FailureCause.FAILED, False),
        (
            reply(422, {"attempt_id": "a"}),
            attempts.FailureCause.REJECTED,
            False,
        ),
        (
            reply(503, {"attempt_id": "a", "ran": False}),
            attempts.FailureCause.DECLINED,
            True,
        ),
        (
            reply(503, {"attempt_id": "b", "ran": False}),
            attempts.FailureCause.NOT_OWN,
            False,
        ),
    ],
)
def test_transfer_results_are_classified(result, cause, surely_not_run):
    attempt_result = attempts.classify(result, "a")
    assert attempt_result.cause is cause
    assert attempt_result.certainly_not_run() is surely_not_run


@pytest.mark.parametrize(
    ("error", "detail"),
    [
        ("e" * 2**20, "e" * 500),
        (["e"] * 2**20, "status 422"),
        ({"e": "e"}, "status 422"),
        ("short", "short"),
    ],
)
def test_an_endpoint_s_long_error_text_is_not_kept(error, detail):
    result = reply(422, {"attempt_id": "a", "error": error})
    assert attempts.classify(result, "a").detail == detail


def classify_output(output):
    body = b'{"attempt_id": "a", "output": %s}' % output
    return attempts.classify(exchanges.Reply(200, {}, body, 0.0), "a")


@pytest.mark.parametrize("own", [True, False])
def test_nested_json_of_an_endpoint_takes_little_more_than_its_bytes(own):
    output = b"[" + b"[]," * 2**20 + b"[]]"
    body = b'{"attempt_id": "%s", "output": %s}' % (
        b"a" if own else b"b",
        output,
    )
    result = exchanges.Reply(200, {}, body, 0.0)
    tracemalloc.start()
    try:
        attempt_result = attempts.classify(result, "a")
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert isinstance(attempt_result, attempts.Success) is own
    assert peak_bytes < 3 * len(body)


@pytest.mark.parametrize(
    ("output", "compact"),
    [
        (b'{"a":\n [1, 2.50 ]\r\n}', b'{"a":[1,2.50]}'),
        (b'"a\\nb"', b'"a\\nb"'),
        ('"\u00e9"'.encode(), '"\u00e9"'.encode()),
        (b"null", b"null"),
    ],
)
def test_an_output_is_passed_on_as_it_is_in_one_line(output, compact):
    attempt_result = classify_output(output)
    assert msgspec.json.encode(attempt_result.output) == compact


@pytest.mark.parametrize(
    "output", [b'"\xff"', b"[1,}", b"nul", b'"\\ud800abcdefgh"', b"[" * 5000]
)
def test_an_output_that_is_not_json_is_a_failure(output):
    assert classify_output(output).cause is attempts.FailureCause.FAILED


@pytest.mark.parametrize(
    ("output", "recorded"),
    [
        (b'{"a": [1]}', ("answer", {"a": [1]})),
        (b"1e999", ("answer_not_kept", None)),
        (b'"%s"' % (b"x" * 20_000), ("answer_not_kept", None)),
    ],
)
def test_only_answers_that_other_hosts_can_read_are_recorded(output, recorded):
    answer = outcomes.Answer(classify_output(output).output)
    assert idempotency._outcome_to_record(answer) == recorded


OUTCOMES = [
    (outcomes.Rejected(Reason.BAD_REQUEST, "d", "r"), 400, False),
    (outcomes.NotRun(Reason.OVERLOADED, "d", "r"), 503, True),
    (outcomes.NotRun(Reason.ACCOUNT_LIMIT, "d", "r"), 429, True),
    (outcomes.RanInPart(Reason.STAGE_FAILED, "d", "r"), 502, True),
    (outcomes.Unknown(Reason.CONNECTION_LOST, "d", "r"), 500, True),
    (outcomes.Unknown(Reason.KEY_OUT_OF_WINDOW, "d", "r"), 500, False),
    (outcomes.TooLate(Reason.DEADLINE_PASSED, "d", "r"), 504, True),
]


@pytest.mark.parametrize(("outcome", "status", "retry_safe"), OUTCOMES)
def test_each_outcome_maps_to_its_problem_document(outcome, status, retry_safe):
    document = outcomes.problem(outcome, "id")
    assert document["status"] == status
    assert document["retry_safe"] is retry_safe
    assert document["remedy"] == "r"


def fail(*_args, **_kwargs):
    raise OSError("after the call was sent")


def test_a_call_that_raises_after_sending_may_have_run():
    run = types.SimpleNamespace(
        req=types.SimpleNamespace(non_repeatable_may_have_run=False),
        remaining_s=lambda: 1.0,
        acquire=lambda timeout_s: "slot",
        start=lambda slot, timeout_s, fresh: "running",
        collect=fail,
    )
    with pytest.raises(OSError, match="after the call was sent"):
        call_stage.run_non_repeatable(run)
    assert run.req.non_repeatable_may_have_run
