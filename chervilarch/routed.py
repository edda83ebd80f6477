"""A routed request on its way through the filters, and the wire's interface.

A routed request is one opaque call of any method, path and body, passed to an
endpoint unchanged after the stages of its route.
"""

from typing import NamedTuple, Protocol

from chervilarch import (
    endpoint_list,
    exchanges,
    inbound,
    outcomes,
    pieces,
    routing_table,
)


class Prompt(NamedTuple):
    """What a request says of its prompt.

    Attributes:
        parts: id and tokens of each part, in order.
        tokens_in: tokens of the whole prompt.
        tokens_out: most tokens that may be generated.
    """

    parts: tuple[tuple[str, int], ...] = ()
    tokens_in: int = 0
    tokens_out: int = 0

    def shared_name(self) -> bytes:
        """Returns what names the part that other requests share."""
        return ",".join(part for part, _ in self.parts[:-1]).encode()

    def shared_tokens(self) -> int:
        """Returns the tokens of that part."""
        return sum(tokens for _, tokens in self.parts[:-1])

    def own_tokens(self) -> int:
        """Returns the tokens that no other request shares."""
        return max(0, self.tokens_in - self.shared_tokens())


class RoutedRequest:
    """One attempt of a caller; filters fill in what they learn."""

    def __init__(
        self,
        req: inbound.Inbound,
        request_id: str,
        host: str,
        key: str,
        allowed_s: float | None,
        prompt: Prompt,
        piece_counts: tuple[int, ...],
        piece_key: str,
        resume_after: str,
    ):
        self.id = request_id
        self.method = req.method
        self.target = req.target
        self.path = req.target.partition("?")[0]
        self.headers = req.headers
        self.body = req.body
        self.arrived_at = req.arrived_at
        self.host = host
        self.key = key
        self.allowed_s = allowed_s
        self.prompt = prompt
        self.piece_counts = piece_counts
        self.piece_key = piece_key
        self.resume_after = resume_after
        self.account: routing_table.Account | None = None
        self.route: routing_table.Route | None = None
        self.priority = 0
        self.deadline_at = float("inf")
        self.objective_at = float("inf")
        self.sends = 0
        # Sends after which the request may have run.
        self.runs = 0

    def may_repeat(self) -> bool:
        """Tells whether the final call may run more than once."""
        return self.route.repeat is routing_table.Repeat.ANY


class ReplyHead(NamedTuple):
    """What an endpoint's reply says in its head.

    Attributes:
        status: HTTP status.
        request_id: id of the request that it answers, "" for none.
        is_stamped: whether the endpoint signed it.
        did_not_run: whether it vouches that the request did not run.
        is_other_endpoint: whether another endpoint has the address now.
        headers: headers to pass to the caller.
    """

    status: int
    request_id: str
    is_stamped: bool
    did_not_run: bool
    is_other_endpoint: bool
    headers: inbound.Headers


class PieceReply(NamedTuple):
    """What an endpoint's reply says of one piece.

    Attributes:
        handle: name of the result, "" if there is none.
        failure: a constant of `pieces`, or "" with a handle.
        is_full: whether the endpoint had no room for the result.
    """

    handle: str
    failure: str = ""
    is_full: bool = False


class Wire(Protocol):
    """Translates between the product and the protocol of its surroundings."""

    def parse_request(
        self, req: inbound.Inbound
    ) -> "RoutedRequest | outcomes.Rejected":
        """Reads a caller's request."""

    def build_call(
        self,
        req: RoutedRequest,
        listing: endpoint_list.Listing,
        allowed_s: float,
        inputs: tuple[str, ...],
        resume_after: str,
    ) -> exchanges.Exchange:
        """Returns the final call of a request."""

    def read_head(self, status: int, headers: inbound.Headers) -> ReplyHead:
        """Reads the head of an endpoint's reply."""

    def build_refusal(
        self, outcome: outcomes.Outcome, request_id: str
    ) -> tuple[int, inbound.Headers, bytes]:
        """Returns status, headers and body of an answer of our own."""

    def build_piece_call(
        self,
        listing: endpoint_list.Listing,
        batch: list[tuple[pieces.Job, int]],
        now: float,
        timeout_s: float,
    ) -> exchanges.Exchange:
        """Returns a call that makes pieces."""

    def read_pieces(self, body: bytes, count: int) -> list[PieceReply] | None:
        """Reads the reply to it; None if it can't be read."""

    def build_release(
        self, address: str, handles: list[str]
    ) -> exchanges.Exchange:
        """Returns a call that frees results."""
