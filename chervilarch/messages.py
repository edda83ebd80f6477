"""Codec of the messages between hosts.

A frame is a keyed BLAKE2b hash and a Cap'n Proto message. Frames that weren't
made with the fleet's key are rejected.
"""

import hashlib
import hmac
import pathlib
import zlib
from typing import NamedTuple

import capnp

from chervilarch import addresses, decoding, membership

MAC_BYTES = 16
# Fits an unfragmented datagram. Checked by a test of a large gossip datagram,
# not when datagrams are sent.
TARGET_DATAGRAM_BYTES = 1400
# What reading a message raises if its bytes aren't valid.
DECODING_ERRORS = (
    capnp.KjException,
    RuntimeError,  # A value that the enum lacks, as of a later version.
    zlib.error,
    *decoding.ERRORS,
)
# Leaves room to count up in the field.
_MAX_INCARNATION = 2**63 - 1
SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))


class LeavingEndpoint(NamedTuple):
    """An incarnation of an endpoint that must get no new work."""

    address: str
    incarnation: int


class AccountUse(NamedTuple):
    """Rate of an account's requests at one host."""

    account: str
    per_second: float


class Gossip(NamedTuple):
    """One gossip datagram.

    Attributes:
        kind: "ping", "ack" or "indirectPing".
        sender: state of the sending host, by itself.
        target: address of the host that it is sent to.
        sequence: grows with each datagram of the sending process.
        probe: number that an ack returns.
        subject: address to be probed by an indirect ping.
        members: member updates.
        leaving: endpoints that are leaving.
        uses: the sender's rate for its busiest accounts.
        knows: how many hosts the sender knows that are alive or suspected,
            itself included.
    """

    kind: str
    sender: membership.Member
    target: str
    sequence: int
    probe: int
    subject: str = ""
    members: tuple[membership.Member, ...] = ()
    leaving: tuple[LeavingEndpoint, ...] = ()
    uses: tuple[AccountUse, ...] = ()
    knows: int = 0


class TransferRequest(NamedTuple):
    """Asks a router for its configuration; the reply returns the nonce.

    Used by `config_transfer`, not for HTTP transfers; `peer.capnp` has the
    name.
    """

    nonce: int
    target: str


class TransferReply(NamedTuple):
    """Reply to a `TransferRequest`: a router's configuration.

    Attributes:
        nonce: that of the request.
        through: offset of the last record that the configuration includes.
        version: version of the configuration.
        document: the configuration as encoded JSON.
    """

    nonce: int
    through: int
    version: int
    document: bytes


class BadFrame(NamedTuple):
    """Bytes that aren't a valid message of this fleet."""

    reason: str


def seal(key: bytes, payload: bytes) -> bytes:
    """Returns a payload with its keyed hash before it; encrypts nothing."""
    return _mac(key, payload) + payload


def unseal(key: bytes, frame: bytes) -> bytes | BadFrame:
    """Returns the payload of a frame if its keyed hash is right."""
    mac, payload = frame[:MAC_BYTES], frame[MAC_BYTES:]
    if not hmac.compare_digest(mac, _mac(key, payload)):
        return BadFrame("wrong key")
    return payload


def encode_gossip(key: bytes, gossip: Gossip) -> bytes:
    """Returns the sealed datagram of a gossip message."""
    msg = SCHEMA.Gossip.new_message()
    msg.kind = gossip.kind
    _fill_member(msg.sender, gossip.sender)
    msg.target = gossip.target
    msg.sequence = gossip.sequence
    msg.probe = gossip.probe
    msg.subject = gossip.subject
    members = msg.init("members", len(gossip.members))
    for slot, member in zip(members, gossip.members, strict=True):
        _fill_member(slot, member)
    leaving = msg.init("leaving", len(gossip.leaving))
    for slot, endpoint in zip(leaving, gossip.leaving, strict=True):
        slot.address = endpoint.address
        slot.incarnation = endpoint.incarnation
    uses = msg.init("uses", len(gossip.uses))
    for slot, use in zip(uses, gossip.uses, strict=True):
        slot.account = use.account
        slot.perSecond = use.per_second
    msg.knows = gossip.knows
    return seal(key, msg.to_bytes_packed())


def decode_gossip(key: bytes, frame: bytes) -> Gossip | BadFrame:
    """Returns the message of a sealed datagram."""
    payload = unseal(key, frame)
    if isinstance(payload, BadFrame):
        return payload
    try:
        msg = SCHEMA.Gossip.from_bytes_packed(payload)
        if not _is_usable(msg.sender):
            return BadFrame("the sender's address or incarnation is invalid")
        if msg.kind == "indirectPing" and not addresses.parse(msg.subject):
            return BadFrame("the subject's address is invalid")
        return Gossip(
            kind=str(msg.kind),
            sender=_read_member(msg.sender),
            target=msg.target,
            sequence=msg.sequence,
            probe=msg.probe,
            subject=msg.subject,
            members=tuple(
                _read_member(slot) for slot in msg.members if _is_usable(slot)
            ),
            leaving=tuple(
                LeavingEndpoint(slot.address, slot.incarnation)
                for slot in msg.leaving
                if slot.incarnation <= _MAX_INCARNATION
            ),
            uses=tuple(
                AccountUse(slot.account, slot.perSecond) for slot in msg.uses
            ),
            knows=msg.knows,
        )
    except DECODING_ERRORS as exc:
        return BadFrame(f"malformed gossip: {exc}")


def encode_request(key: bytes, req: TransferRequest) -> bytes:
    """Returns the sealed frame of a request for a configuration."""
    msg = SCHEMA.TransferRequest.new_message(nonce=req.nonce, target=req.target)
    return seal(key, msg.to_bytes_packed())


def decode_request(key: bytes, frame: bytes) -> TransferRequest | BadFrame:
    """Returns the request for a configuration of a sealed frame."""
    payload = unseal(key, frame)
    if isinstance(payload, BadFrame):
        return payload
    try:
        msg = SCHEMA.TransferRequest.from_bytes_packed(payload)
        return TransferRequest(msg.nonce, msg.target)
    except DECODING_ERRORS as exc:
        return BadFrame(f"malformed request: {exc}")


def encode_reply(key: bytes, reply: TransferReply) -> bytes:
    """Returns the sealed frame of a reply with a configuration."""
    msg = SCHEMA.TransferReply.new_message(**reply._asdict())
    return seal(key, msg.to_bytes_packed())


def decode_reply(key: bytes, frame: bytes) -> TransferReply | BadFrame:
    """Returns the reply with a configuration of a sealed frame."""
    payload = unseal(key, frame)
    if isinstance(payload, BadFrame):
        return payload
    try:
        msg = SCHEMA.TransferReply.from_bytes_packed(payload)
        return TransferReply(
            msg.nonce, msg.through, msg.version, bytes(msg.document)
        )
    except DECODING_ERRORS as exc:
        return BadFrame(f"malformed reply: {exc}")


def _mac(key: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(payload, key=key, digest_size=MAC_BYTES).digest()


def _fill_member(slot, member: membership.Member) -> None:
    slot.name = member.name
    slot.address = member.address
    slot.dataCentre = member.data_centre
    slot.incarnation = member.incarnation
    slot.status = member.status.value
    slot.configVersion = member.config_version
    slot.configThrough = member.config_through
    slot.callerAddress = member.caller_address
    slot.milliCores = member.milli_cores


def _is_usable(slot) -> bool:
    """Returns whether a member can be contacted and told to other hosts."""
    return (
        addresses.parse(slot.address) is not None
        and slot.incarnation <= _MAX_INCARNATION
    )


def _read_member(slot) -> membership.Member:
    return membership.Member(
        name=slot.name,
        address=slot.address,
        data_centre=slot.dataCentre,
        incarnation=slot.incarnation,
        status=membership.Status(str(slot.status)),
        config_version=slot.configVersion,
        config_through=slot.configThrough,
        caller_address=slot.callerAddress,
        milli_cores=slot.milliCores,
    )
