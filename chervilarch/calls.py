"""Fold of the calls stream: which claim may run a non-repeatable call.

A call is the run of a non-repeatable pipeline for one account and idempotency
key; it is unrelated to the protocol "call" of a pool.

The first claim by offset for (account, key) holds the call. No other claim can
replace it; only its holder can release it, if the call certainly hasn't run.
After a release, the next claim with the same request hash holds the call. A key
contains its creation time, and its age is limited below the log's retention, so
the retained records always show every earlier claim of a key that may still be
claimed.
"""

import hashlib
import uuid
from typing import NamedTuple

from chervilarch import records

MAX_KEY_AGE_S = 3600.0
# How far a key's creation time may lie ahead of the log's clock.
MAX_KEY_LEAD_S = 30.0
# The log must keep records for longer than a key can be claimed, which is from
# MAX_KEY_LEAD_S before its creation time to MAX_KEY_AGE_S after it. The second
# MAX_KEY_LEAD_S is a margin.
MIN_RETENTION_S = MAX_KEY_AGE_S + 2 * MAX_KEY_LEAD_S
_MS_PER_S = 1000
_UUID7_TIME_SHIFT = 80


class CallKey(NamedTuple):
    """A call's account and idempotency key, which identify it together."""

    account: str
    key: str


class CallEntry(NamedTuple):
    """State of one call after folding the records.

    Attributes:
        claim_id: the claim that holds the call; "" once released.
        digest: hash of the claimed request.
        result: the recorded outcome, or None.
        offset: offset of the claim that holds the call, or held it last.
    """

    claim_id: str
    digest: str
    result: records.Result | None
    offset: int


class CallState:
    """The table of calls: an entry for each claimed key until it is pruned.

    It holds the state after folding the records up to an offset. Unlike
    `configuration.ConfigState` it is mutable, for speed; only `fold` and
    `prune` change it.
    """

    def __init__(self) -> None:
        self.through = -1
        self.log_time = 0.0
        self.entries: dict[CallKey, CallEntry] = {}

    def entry(self, call: CallKey) -> CallEntry | None:
        """Returns the entry of a key, None if the key has none."""
        return self.entries.get(call)

    def holds(self, call: CallKey, claim_id: str) -> bool:
        """Returns whether a folded claim is the one that holds the call."""
        entry = self.entries.get(call)
        return entry is not None and entry.claim_id == claim_id


def fold(state: CallState, record: records.Record) -> None:
    """Folds a record into the state in place; ignores one folded before."""
    if record.offset <= state.through:
        return
    state.through = record.offset
    state.log_time = max(state.log_time, record.time)
    body = record.body
    if isinstance(body, records.Claim):
        _fold_claim(state, record.offset, body)
    elif isinstance(body, records.Release):
        _fold_release(state, body)
    elif isinstance(body, records.Result):
        _fold_result(state, body)


def prune(state: CallState) -> int:
    """Removes entries of keys older than MIN_RETENTION_S; returns how many."""
    expired = [
        call
        for call in state.entries
        if key_age_s(call.key, state.log_time) > MIN_RETENTION_S
    ]
    for call in expired:
        del state.entries[call]
    return len(expired)


def key_time(key: str) -> float | None:
    """Returns the Unix time in a canonical UUIDv7, None for any other key."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != 7 or str(parsed) != key:
        return None
    return (parsed.int >> _UUID7_TIME_SHIFT) / _MS_PER_S


def key_age_s(key: str, now: float) -> float:
    """Returns a key's age in seconds, infinite if it isn't a UUIDv7."""
    created_at = key_time(key)
    return float("inf") if created_at is None else now - created_at


def is_key_in_window(key: str, now: float) -> bool:
    """Returns whether a key may be claimed at a time, in Unix seconds.

    The fold, which decides, passes the log's time; other callers pass the time
    of this host.
    """
    return -MAX_KEY_LEAD_S <= key_age_s(key, now) <= MAX_KEY_AGE_S


def _fold_claim(state: CallState, offset: int, claim: records.Claim) -> None:
    call = CallKey(claim.account, claim.key)
    if not is_key_in_window(claim.key, state.log_time):
        return
    entry = state.entries.get(call)
    if entry is not None and (entry.claim_id or entry.digest != claim.digest):
        return
    state.entries[call] = CallEntry(claim.claim_id, claim.digest, None, offset)


def _fold_release(state: CallState, release: records.Release) -> None:
    call = CallKey(release.account, release.key)
    entry = state.entries.get(call)
    if entry is None or entry.claim_id != release.claim_id:
        return
    if entry.result is None:
        state.entries[call] = entry._replace(claim_id="")


def _fold_result(state: CallState, result: records.Result) -> None:
    call = CallKey(result.account, result.key)
    entry = state.entries.get(call)
    if entry is None or entry.claim_id != result.claim_id:
        return
    if entry.result is None:
        state.entries[call] = entry._replace(result=result)


def request_digest(pipeline: str, body: bytes) -> str:
    """Returns the hash by which requests with the same key are compared."""
    digest = hashlib.sha256()
    digest.update(pipeline.encode())
    digest.update(b"\0")
    digest.update(body)
    return digest.hexdigest()[:32]
