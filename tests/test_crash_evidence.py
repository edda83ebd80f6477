"""Which prompts are blocked, given crashes and starts."""

import pytest

from chervilarch import crash_evidence as ce
from chervilarch import prompt_blocks as pb

_BAD = frozenset(("p1", "p2", "bad"))
_SETTLED_S = 1.0
_ROUND_S = 30.0


@pytest.fixture
def evidence():
    return ce.CrashEvidence()


def crash(evidence, number, at, *prompts):
    report = ce.CrashReport(
        f"e{number}", 1, at, frozenset(frozenset(p) for p in prompts)
    )
    evidence.add_report(report, at)
    return report


def crash_thrice(evidence, at=0.0, prompt=_BAD):
    for number in range(3):
        crash(evidence, f"{at}-{number}", at + number, prompt)
    now = at + 2.0 + _SETTLED_S
    evidence.update_blocks(now)
    return now


def blocked(evidence, prompt, now):
    return evidence.find_block(frozenset(prompt), now) is not None


def test_a_part_that_never_starts_is_blocked_after_three_crashes(evidence):
    crash(evidence, 1, 0.0, _BAD)
    crash(evidence, 2, 1.0, _BAD)
    evidence.update_blocks(3.0)
    assert not blocked(evidence, _BAD, 3.0)
    crash(evidence, 3, 3.0, _BAD)
    evidence.update_blocks(3.0 + _SETTLED_S)
    assert blocked(evidence, _BAD, 4.0)


def test_parts_of_sound_prompts_stay_usable(evidence):
    now = crash_thrice(evidence)
    assert not blocked(evidence, {"p1", "p2"}, now)
    assert not blocked(evidence, {"p1", "p2", "other"}, now)


def test_a_start_narrows_a_block_to_the_other_parts(evidence):
    now = crash_thrice(evidence)
    assert not blocked(evidence, {"p3", "bad"}, now)
    evidence.record_start({"p1", "p2"}, now)
    evidence.update_blocks(now)
    assert blocked(evidence, {"p3", "bad"}, now)
    assert [b.parts for b in evidence.active_blocks()] == [frozenset({"bad"})]


def test_a_crash_without_the_other_parts_narrows_a_block(evidence):
    now = crash_thrice(evidence)
    crash(evidence, 4, now, {"p3", "bad"})
    evidence.update_blocks(now + _SETTLED_S)
    assert [b.parts for b in evidence.active_blocks()] == [frozenset({"bad"})]


def test_prompts_that_wait_beside_a_crashing_one_are_not_blocked(evidence):
    for number in range(3):
        beside = {"p1", f"own{number}"}
        crash(evidence, number, float(number), _BAD, beside, {"q1", "q2"})
        evidence.record_start({"q1"}, number + 0.5)
        evidence.record_start({"q2"}, number + 0.5)
    evidence.update_blocks(4.0)
    assert blocked(evidence, _BAD, 4.0)
    assert not blocked(evidence, {"p1", "own1"}, 4.0)
    assert not blocked(evidence, {"q1", "q2"}, 4.0)


def test_a_part_with_recent_starts_takes_five_crashes(evidence):
    evidence.record_start({"known"}, 0.0)
    for number in range(4):
        crash(evidence, number, 1.0 + number, {"known"})
    evidence.update_blocks(6.0)
    assert not blocked(evidence, {"known"}, 6.0)
    crash(evidence, 5, 6.0, {"known"})
    evidence.update_blocks(7.0)
    assert blocked(evidence, {"known"}, 7.0)


def test_unrelated_crashes_do_not_add_up_while_prompts_start(evidence):
    for number in range(20):
        crash(evidence, number, float(number), {"p1", "p2"})
        evidence.record_start({"p1", "p2"}, number + 0.5)
    evidence.update_blocks(30.0)
    assert evidence.active_blocks() == []


def test_several_parts_are_blocked_at_once(evidence):
    for number in range(3):
        crash(evidence, f"a{number}", float(number), {"p1", "bad1"})
        crash(evidence, f"b{number}", float(number), {"p1", "bad2"})
        evidence.record_start({"p1"}, number + 0.5)
    evidence.update_blocks(4.0)
    assert blocked(evidence, {"p1", "bad1"}, 4.0)
    assert blocked(evidence, {"p2", "bad2"}, 4.0)
    assert not blocked(evidence, {"p1", "p3"}, 4.0)


def test_a_block_is_tested_by_one_prompt_and_renewed_by_its_crash(evidence):
    now = crash_thrice(evidence) + _ROUND_S
    assert evidence.admit(_BAD, now).tested is not None
    assert evidence.admit(_BAD, now).block is not None
    crash(evidence, 9, now + 1.0, _BAD)
    evidence.update_blocks(now + 1.0 + _SETTLED_S)
    (block,) = evidence.active_blocks()
    assert block.round == 2
    assert blocked(evidence, _BAD, now + 1.9 * _ROUND_S)


def test_a_block_ends_when_its_test_starts(evidence):
    now = crash_thrice(evidence) + _ROUND_S
    evidence.admit(_BAD, now)
    evidence.record_start(_BAD, now + 1.0)
    evidence.update_blocks(now + 1.0)
    assert evidence.active_blocks() == []
    assert evidence.admit(_BAD, now + 1.0) == ce.Admission()


def test_a_host_that_joins_takes_over_blocks_and_their_end(evidence):
    now = crash_thrice(evidence)
    late = ce.CrashEvidence()
    for item in evidence.items(now):
        late.merge(item, now)
    assert blocked(late, _BAD, now)
    evidence.record_start(_BAD, now)
    for block in evidence.update_blocks(now):
        late.merge(block, now)
    assert not blocked(late, _BAD, now)
    # An old message must not bring the block back.
    for item in evidence.items(now):
        late.merge(item, now)
    assert not blocked(late, _BAD, now)


def test_crashes_seen_by_different_hosts_add_up_in_any_order(evidence):
    reports = [
        ce.CrashReport(f"e{n}", 1, float(n), frozenset({_BAD}))
        for n in range(3)
    ]
    for report in [*reversed(reports), *reports]:
        evidence.merge(report, 3.0)
    evidence.update_blocks(4.0)
    assert blocked(evidence, _BAD, 4.0)


def test_memory_is_bounded(evidence):
    for number in range(200):
        prompts = [{f"p{number}-{n}", f"q{number}-{n}"} for n in range(100)]
        crash(evidence, number, number * 0.01, *prompts)
        evidence.record_start({f"s{number}-{n}" for n in range(20)}, 0.0)
        block = pb.PromptBlock(
            frozenset({f"b{number}"}), 1, True, 0.0, 30.0, 30.0
        )
        evidence.merge(block, 0.0)
    evidence.update_blocks(21.0)
    assert len(evidence._reports) <= 64 and len(evidence._blocks.all()) <= 64
    assert len(evidence._starts) <= 4096
    assert all(len(r.prompts) <= 32 for r in evidence._reports.values())


def test_a_part_whose_block_ended_once_is_blocked_again_by_narrowing(evidence):
    blocks = [
        pb.PromptBlock(frozenset({"bad"}), 1, False, 0.0, 30.0, 30.0),
        pb.PromptBlock(frozenset({"p1", "bad"}), 1, True, 40.0, 71.0, 71.0),
    ]
    for block in blocks:
        evidence.merge(block, 41.0)
    evidence.record_start({"p1"}, 42.0)
    evidence.update_blocks(42.0)
    assert blocked(evidence, {"p2", "bad"}, 43.0)


def test_a_prompt_that_fails_the_test_of_its_block_is_not_sent_again(evidence):
    now = crash_thrice(evidence) + _ROUND_S
    assert evidence.admit(_BAD, now).tested is not None
    crash(evidence, 9, now + 0.1, _BAD)
    assert evidence.is_suspect(_BAD, now + 0.1)


def test_late_reports_wait_for_what_other_hosts_know_of_their_parts(evidence):
    for number in range(3):
        crash_at = 1.0 + number
        report = ce.CrashReport(
            f"e{number}", 1, crash_at, frozenset({frozenset({"known"})})
        )
        evidence.add_report(report, 9.0)
    evidence.update_blocks(9.0)
    evidence.merge(ce.PartStart("known", 0.5), 9.1)
    evidence.update_blocks(10.0)
    assert not blocked(evidence, {"known"}, 10.0)
