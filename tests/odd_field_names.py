"""A server whose answers hold field names that HTTP doesn't allow."""

import itertools
import random
import time
from typing import NamedTuple

import loop_helpers as lh

# RFC 9110, section 5.6.2: the characters of a token, of which a name consists.
TOKEN_BYTES = (
    b"!#$%&'*+-.^_`|~0123456789"
    b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
)
# Blanks and control bytes, with those of Latin-1. libcurl itself refuses a NUL
# and a carriage return; a line feed ends the line. Nothing stands for a name
# without any byte.
ODD_BYTES = [
    b"",
    *(
        bytes([code])
        for code in (*range(0x01, 0x21), *range(0x7F, 0xA1))
        if bytes([code]) not in (b"\n", b"\r")
    ),
]
FIELDS = {
    b"X-Odd": b"v",
    b"Content-Length": b"2",
    b"Transfer-Encoding": b"chunked",
    b"Response-Stamp": b"s2",
    b"Request-Id": b"id2",
    b"Not-Executed": b"1",
    b"Retry-After": b"30",
    b"Server-Limit": b"0.01",
    b"Server-Leaving": b"1",
}
PLACES = ("first", "middle", "last")
LINES = ("first", "last")
# The part with the odd line, and how the end of the body is found.
SHAPES = (
    *itertools.product(("interim head", "head"), ("length", "chunks", "close")),
    # Only a body in chunks has trailers.
    ("trailer", "chunks"),
)
STATUSES = (200, 503)
# Whether the packets end within the odd line.
CUTS = (False, True)
_CUT_PAUSE_S = 0.005

_BODY = b"five."


class Case(NamedTuple):
    """An answer with one odd line.

    Attributes:
        byte: what the name holds that HTTP doesn't allow.
        field: the name without it.
        place: where the name holds it.
        part: which part of the answer has the odd line.
        line: where the odd line stands among the lines of its part.
        framing: how the end of the body is found.
        status: of the answer; a refusal says that the request did not run.
        is_cut: whether the answer is sent in two parts.
    """

    byte: bytes = b" "
    field: bytes = b"X-Odd"
    place: str = "middle"
    part: str = "head"
    line: str = "last"
    framing: str = "length"
    status: int = 200
    is_cut: bool = False

    def is_folded(self) -> bool:
        """Returns whether libcurl joins the odd line to the one before it."""
        return (
            self.byte in (b" ", b"\t")
            and self.place == "first"
            and self.line == "last"
            and self.part != "trailer"
        )


def odd_line(case: Case) -> bytes:
    """Returns the line with the odd name."""
    value = FIELDS[case.field]
    if not case.byte:
        return b": %s\r\n" % value
    name = case.field
    at = {"first": 0, "middle": len(name) // 2, "last": len(name)}[case.place]
    return b"%s%s%s: %s\r\n" % (name[:at], case.byte, name[at:], value)


def reply(case: Case, fields: bytes = b"", body: bytes = _BODY) -> bytes:
    """Returns an answer.

    Args:
        case: what is odd in it.
        fields: further lines of the head.
        body: the body.
    """
    framing, body, end = _frame(case.framing, body)
    if case.status == 503:
        fields += b"Not-Executed: 1\r\n"
    lines = {
        "interim head": [b"Link: <x>\r\n"],
        "head": [fields + b"Response-Stamp: s1\r\n" + framing],
        "trailer": [b"T: 1\r\n"],
    }
    at = 0 if case.line == "first" else 1
    lines[case.part].insert(at, odd_line(case))
    text = {part: b"".join(lines[part]) for part in lines}
    has_interim = case.part == "interim head"
    interim = b"HTTP/1.1 103 X\r\n%s\r\n" % text["interim head"]
    head = b"HTTP/1.1 %d X\r\n%s\r\n" % (case.status, text["head"])
    trailer = text["trailer"] if case.part == "trailer" else b""
    return interim * has_interim + head + body + (end and trailer + end)


def _frame(framing: str, body: bytes) -> tuple[bytes, bytes, bytes]:
    """Returns the lines of the head, the body, and what ends its trailers."""
    if framing == "length":
        return b"Content-Length: %d\r\n" % len(body), body, b""
    if framing == "chunks":
        chunks = b"%x\r\n%s\r\n0\r\n" % (len(body), body)
        return b"Transfer-Encoding: chunked\r\n", chunks, b"\r\n"
    return b"", body, b""


def send(conn, data: bytes, case: Case) -> None:
    """Sends an answer, in two packets if the case is one of these."""
    at = data.index(odd_line(case)) + len(odd_line(case)) // 2
    for part in (data[:at], data[at:]) if case.is_cut else (data,):
        conn.sendall(part)
        time.sleep(_CUT_PAUSE_S if case.is_cut else 0.0)


class Server:
    """Answers all requests on a connection with one case.

    Attributes:
        case: the answer; may be changed at any time.
        requests: those received.
        connections: how many were made.
    """

    def __init__(self) -> None:
        self.case: Case | None = None
        self.requests: list[bytes] = []
        self._server = lh.RawServer(self._serve)
        self.address = self._server.address
        self.close = self._server.close

    @property
    def connections(self) -> int:
        """How many connections were made."""
        return self._server.connections

    def _serve(self, conn) -> None:
        while request := lh.read_request(conn):
            self.requests.append(request)
            send(conn, reply(self.case), self.case)
            if self.case.framing == "close":
                return


def cases_of(byte: bytes) -> list[Case]:
    """Returns a case for each field, with every value of the other columns.

    All pairs of values of two columns occur in the cases of all bytes.
    """
    rng = random.Random(byte.hex())
    columns = []
    for values in (PLACES, SHAPES, LINES, STATUSES, CUTS):
        column = [values[n % len(values)] for n in range(len(FIELDS))]
        rng.shuffle(column)
        columns.append(column)
    return [
        Case(byte, field, place, part, line, framing, status, is_cut)
        for field, place, (part, framing), line, status, is_cut in zip(
            FIELDS, *columns, strict=True
        )
    ]
