"""Pure fold of the calls stream: who may run a call that may not be repeated.

The first claim by offset for (account, key) holds the call. Nobody takes a
claim over. Only its holder releases it, before any dispatch. Keys carry their
age, bounded below the log's retention, so the retained records always show
every earlier claim of a key that may still be claimed.
"""

import hashlib
import uuid
from typing import NamedTuple

from chervilarch import records

MAX_KEY_AGE_S = 3600.0
MAX_KEY_LEAD_S = 30.0
# The log must keep records longer than a key may be old.
MIN_RETENTION_S = MAX_KEY_AGE_S + 2 * MAX_KEY_LEAD_S
_MS_PER_S = 1000
_UUID7_TIME_SHIFT = 80


class CallKey(NamedTuple):
    """A key belongs to one account."""

    account: str
    key: str


class CallEntry(NamedTuple):
    """What the records say of one key.

    Attributes:
        claim_id: the claim that holds the call; "" once released.
        digest: hash of the claimed request.
        result: the recorded outcome, or None.
        offset: the first claim's offset.
    """

    claim_id: str
    digest: str
    result: records.Result | None
    offset: int


class CallState:
    """What the records up to an offset say of every live key.

    Mutable for speed; `fold` is its only writer.
    """

    def __init__(self) -> None:
        self.through = -1
        self.log_time = 0.0
        self.entries: dict[CallKey, CallEntry] = {}

    def entry(self, call: CallKey) -> CallEntry | None:
        """Returns what is known of a key."""
        return self.entries.get(call)

    def holds(self, call: CallKey, claim_id: str) -> bool:
        """Tells whether a claim, once folded, is the one that may run."""
        entry = self.entries.get(call)
        return entry is not None and entry.claim_id == claim_id


def fold(state: CallState, record: records.Record) -> None:
    """Adds one record to the state; records already folded change nothing."""
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
    """Drops entries whose key is too old to be claimed; returns how many."""
    old = [
        call
        for call in state.entries
        if key_age_s(call.key, state.log_time) > MIN_RETENTION_S
    ]
    for call in old:
        del state.entries[call]
    return len(old)


def key_time(key: str) -> float | None:
    """Returns when a UUIDv7 was made, seconds since the epoch, else None."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != 7 or str(parsed) != key:
        return None
    return (parsed.int >> _UUID7_TIME_SHIFT) / _MS_PER_S


def key_age_s(key: str, now: float) -> float:
    """Returns a key's age in seconds, infinite if it isn't a UUIDv7."""
    made = key_time(key)
    return float("inf") if made is None else now - made


def is_key_in_window(key: str, now: float) -> bool:
    """Tells whether a key may still be claimed at a time of the log."""
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
    """Returns the hash that tells one request from another."""
    digest = hashlib.sha256()
    digest.update(pipeline.encode())
    digest.update(b"\0")
    digest.update(body)
    return digest.hexdigest()[:32]
