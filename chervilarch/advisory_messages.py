"""Codec of the datagrams by which hosts share what they learned."""

import itertools
from typing import NamedTuple

from chervilarch import (
    avoidances,
    crash_evidence,
    crash_reports,
    endpoint_limits,
    messages,
    part_answers,
    prompt_blocks,
)

_MS_PER_S = 1000
# Bounds on the content of a datagram that isn't fragmented.
_MAX_ITEMS = 16
_MAX_NAME_BYTES = 640
_SMALL_ITEM_BYTES = 40
# Added to each name for its pointer and padding.
_NAME_OVERHEAD_BYTES = 4

Advisory = (
    crash_evidence.Item
    | endpoint_limits.EndpointLimit
    | avoidances.EndlessReply
)


class AdvisoryMessage(NamedTuple):
    """Content of one datagram.

    Attributes:
        items: what the sender learned.
        wants_all: whether the sender asks for all that the receiver knows.
    """

    items: tuple[Advisory, ...] = ()
    wants_all: bool = False


def split(items: list[Advisory]) -> list[tuple[Advisory, ...]]:
    """Returns what to send in each datagram, at least one.

    Crash reports may be split: a receiver joins the reports on a run. A single
    prompt with very many parts still makes a larger datagram.
    """
    datagrams: list[tuple[Advisory, ...]] = []
    current: list[Advisory] = []
    size = 0
    for item in itertools.chain.from_iterable(map(_pieces, items)):
        item_size = _name_bytes(item)
        if current and (
            len(current) == _MAX_ITEMS or size + item_size > _MAX_NAME_BYTES
        ):
            datagrams.append(tuple(current))
            current, size = [], 0
        current.append(item)
        size += item_size
    return [*datagrams, tuple(current)]


def _pieces(item: Advisory) -> list[Advisory]:
    """Splits a crash report that is too large for a datagram."""
    if not isinstance(item, crash_reports.CrashReport) or (
        _name_bytes(item) <= _MAX_NAME_BYTES
    ):
        return [item]
    pieces = []
    current: dict[prompt_blocks.Prompt, float] = {}
    size = 0
    for prompt, answered_s in item.prompts.items():
        prompt_size = _names_size(prompt)
        if current and size + prompt_size > _MAX_NAME_BYTES:
            pieces.append(item._replace(prompts=current))
            current, size = {}, 0
        current[prompt] = answered_s
        size += prompt_size
    return [*pieces, item._replace(prompts=current)]


def _name_bytes(item: Advisory) -> int:
    """Returns the size of the names of an item, about."""
    if isinstance(item, crash_reports.CrashReport):
        return sum(_names_size(prompt) for prompt in item.prompts)
    if isinstance(item, prompt_blocks.PromptBlock):
        return _names_size(item.parts)
    return _SMALL_ITEM_BYTES


def _names_size(parts: prompt_blocks.Prompt) -> int:
    return sum(len(part) + _NAME_OVERHEAD_BYTES for part in parts)


def encode(key: bytes, message: AdvisoryMessage, now: float) -> bytes:
    """Returns the sealed datagram of a message."""
    msg = messages.SCHEMA.Advisories.new_message()
    msg.wantsAll = message.wants_all
    crashes = _of_type(message, crash_reports.CrashReport)
    for slot, report in _slots(msg, "crashes", crashes):
        slot.endpoint = report.endpoint
        slot.incarnation = report.incarnation
        slot.ageMs = _to_ms(now - report.crashed_at)
        prompts = slot.init("prompts", len(report.prompts))
        for prompt_slot, (prompt, answered_s) in zip(
            prompts, report.prompts.items(), strict=True
        ):
            prompt_slot.parts = sorted(prompt)
            prompt_slot.answeredMs = _to_ms(answered_s)
    answers = _of_type(message, part_answers.PartAnswer)
    for slot, answer in _slots(msg, "starts", answers):
        slot.part = answer.part
        slot.ageMs = _to_ms(now - answer.seen_at)
        slot.answeredMs = _to_ms(answer.answered_s)
    blocks = _of_type(message, prompt_blocks.PromptBlock)
    for slot, block in _slots(msg, "blocks", blocks):
        slot.parts = sorted(block.parts)
        slot.round = block.round
        slot.isActive = block.is_active
        slot.sinceMs = _to_ms(now - block.since)
        slot.endsInMs = _to_ms(block.ends_at - now)
        slot.heldMs = _to_ms(block.held_until - now)
        slot.isProven = True
    limits = _of_type(message, endpoint_limits.EndpointLimit)
    for slot, limit in _slots(msg, "limits", limits):
        slot.endpoint = limit.endpoint
        slot.incarnation = limit.incarnation
        slot.perSecond = limit.per_s
        slot.ageMs = _to_ms(now - limit.seen_at)
    replies = _of_type(message, avoidances.EndlessReply)
    for slot, reply in _slots(msg, "endless", replies):
        slot.endpoint = reply.endpoint
        slot.incarnation = reply.incarnation
        slot.repeats = reply.repeats
        slot.ageMs = _to_ms(now - reply.seen_at)
    return messages.seal(key, msg.to_bytes_packed())


def decode(
    key: bytes, frame: bytes, now: float
) -> AdvisoryMessage | messages.BadFrame:
    """Returns the message of a sealed datagram."""
    payload = messages.unseal(key, frame)
    if isinstance(payload, messages.BadFrame):
        return payload
    try:
        msg = messages.SCHEMA.Advisories.from_bytes_packed(payload)
        crashes = (
            crash_reports.CrashReport(
                slot.endpoint,
                slot.incarnation,
                now - slot.ageMs / _MS_PER_S,
                {
                    frozenset(prompt.parts): prompt.answeredMs / _MS_PER_S
                    for prompt in slot.prompts
                },
            )
            for slot in msg.crashes
        )
        answers = (
            part_answers.PartAnswer(
                slot.part,
                now - slot.ageMs / _MS_PER_S,
                slot.answeredMs / _MS_PER_S,
            )
            for slot in msg.starts
        )
        blocks = (
            prompt_blocks.PromptBlock(
                frozenset(slot.parts),
                slot.round,
                slot.isActive,
                now - slot.sinceMs / _MS_PER_S,
                now + slot.endsInMs / _MS_PER_S,
                now + slot.heldMs / _MS_PER_S,
            )
            for slot in msg.blocks
            # A block without parts would refuse every prompt.
            if len(slot.parts) and (slot.isActive or slot.isProven)
        )
        limits = (
            endpoint_limits.EndpointLimit(
                slot.endpoint,
                slot.incarnation,
                slot.perSecond,
                now - slot.ageMs / _MS_PER_S,
            )
            for slot in msg.limits
            if endpoint_limits.is_limit(slot.perSecond)
        )
        replies = (
            avoidances.EndlessReply(
                slot.endpoint,
                slot.incarnation,
                slot.repeats,
                now - slot.ageMs / _MS_PER_S,
            )
            for slot in msg.endless
        )
        items = (*blocks, *answers, *crashes, *limits, *replies)
        return AdvisoryMessage(items, msg.wantsAll)
    except messages.DECODING_ERRORS as exc:
        return messages.BadFrame(f"malformed advisories: {exc}")


def _of_type(message: AdvisoryMessage, item_type: type) -> list:
    return [item for item in message.items if isinstance(item, item_type)]


def _slots(msg, field: str, items: list):
    return zip(msg.init(field, len(items)), items, strict=True)


def _to_ms(seconds: float) -> int:
    return int(seconds * _MS_PER_S)
