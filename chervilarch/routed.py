"""Routed requests, and the interface of the protocol that carries them.

A routed request is an HTTP request of any method, path and body. It is
forwarded unchanged to an endpoint after the stages of its route.
"""

from typing import NamedTuple, Protocol

from chervilarch import (
    endpoint_list,
    exchanges,
    http_server,
    outcomes,
    pieces,
    prompt_blocks,
    routing_table,
)
from chervilarch.scheduling import homes, prefix_cache, request_cost

_MS_PER_S = 1000


class Prompt(NamedTuple):
    """The prompt of a request, as its headers describe it.

    Attributes:
        parts: id and tokens of each part, in order.
        tokens_in: tokens of the whole prompt.
        tokens_out: upper bound on generated tokens.
        length_hint: the caller's estimate of generated tokens, 0 for none.
    """

    parts: tuple[tuple[str, int], ...] = ()
    tokens_in: int = 0
    tokens_out: int = 0
    length_hint: int = 0

    def shared_name(self) -> bytes:
        """Returns the name of the prefix that other requests share."""
        return ",".join(part for part, _ in self.parts[:-1]).encode()

    def shared_parts(self) -> prompt_blocks.Prompt:
        """Returns the ids of the parts that other prompts may share."""
        return frozenset(part for part, _ in self.parts[:-1])

    def shared_tokens(self) -> int:
        """Returns the number of tokens of the shared prefix."""
        return sum(tokens for _, tokens in self.parts[:-1])

    def own_tokens(self) -> int:
        """Returns the number of tokens after the shared prefix."""
        return max(0, self.tokens_in - self.shared_tokens())

    def sized_parts(self) -> tuple[prefix_cache.Part, ...]:
        """Returns all parts; the last one has the rest of the tokens."""
        parts = [prefix_cache.Part(*part) for part in self.parts[:-1]]
        own_id = self.parts[-1][0] if self.parts else ""
        return (*parts, prefix_cache.Part(own_id, self.own_tokens()))

    def answer_size(self) -> request_cost.Size:
        """Returns what the request says about the length of its answer."""
        return request_cost.Size(self.length_hint, self.tokens_out)


class RoutedRequest:
    """One request as the caller sent it; a retry by the caller is a new one.

    The filters set account, route, regions, priority, deadline and objective.
    """

    def __init__(
        self,
        req: http_server.Request,
        request_id: str,
        host: str,
        api_key: str,
        allowed_s: float | None,
        prompt: Prompt,
        piece_counts: tuple[int, ...],
        input_key: str,
        resume_after: str,
        resumed_id: str = "",
    ):
        """Creates the request.

        Args:
            req: the HTTP request.
            request_id: the caller's id of the request.
            host: HTTP host name that the request names.
            api_key: the caller's key, "" for none.
            allowed_s: the caller's own time limit in seconds, None for none.
            prompt: the prompt, empty if the request has none.
            piece_counts: pieces of each stage in order; a missing one means 1.
            input_key: names the input of stages that depend on no other stage.
            resume_after: id of the last event that the caller has, "" for a new
                stream.
            resumed_id: then the id of the request that brought the stream's
                first event, "" if the caller doesn't say it.
        """
        self.id = request_id
        self.method = req.method
        self.target = req.target
        self.path = req.target.partition("?")[0]
        self.headers = req.headers
        self.body = req.body
        self.arrived_at = req.arrived_at
        self.host = host
        self.api_key = api_key
        self.allowed_s = allowed_s
        self.prompt = prompt
        self.piece_counts = piece_counts
        self.input_key = input_key
        self.resume_after = resume_after
        self.resumed_id = resumed_id
        # Version of the endpoints' software that began the stream, None if any
        # version may go on.
        self.version: str | None = None
        self.account: routing_table.Account | None = None
        # The block of prompts that this request tests, if any.
        self.tested_block: prompt_blocks.PromptBlock | None = None
        self.route: routing_table.Route | None = None
        self.regions: homes.Allowed = None
        self.priority = 0
        self.deadline_at = float("inf")
        self.objective_at = float("inf")
        # When the stages had ended and the final call began.
        self.call_began_at = float("inf")
        self.attempts_sent = 0
        # Ended attempts that an endpoint may have run. A running attempt counts
        # only once it ends.
        self.possible_runs = 0

    def elapsed_ms(self, now: float) -> int:
        """Returns the time since the arrival, at a monotonic time."""
        return round((now - self.arrived_at) * _MS_PER_S)

    def is_retryable(self) -> bool:
        """Returns whether the final call may run more than once."""
        return self.route.retry_policy is routing_table.RetryPolicy.ANY


class ReplyHead(NamedTuple):
    """The head of an endpoint's reply.

    Attributes:
        status: HTTP status.
        request_id: id of the request that the reply names, "" for none.
        is_stamped: whether the reply has the endpoint's stamp header. Its value
            isn't verified; a proxy's reply lacks the header.
        did_not_run: whether the endpoint states that it didn't run the request.
        is_misdirected: whether another endpoint has the address now.
        headers: headers to forward to the caller.
        limit_per_s: requests a second that the endpoint takes from all hosts
            together, None if it names no limit.
        is_leaving: whether the endpoint says that it will shut down.
        pause_s: seconds for which the endpoint wants no requests of this host,
            None if it doesn't say so.
        ends_at_close: whether only the end of the connection ends the reply, so
            that a crash may look like the end.
    """

    status: int
    request_id: str
    is_stamped: bool
    did_not_run: bool
    is_misdirected: bool
    headers: http_server.Headers
    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None
    ends_at_close: bool = False


class PieceReply(NamedTuple):
    """The part of an endpoint's reply that concerns one piece.

    Attributes:
        handle: name of the result, "" if there is none.
        failure: a constant of `pieces`, or "" with a handle.
        is_memory_full: whether the endpoint lacked free result memory.
    """

    handle: str
    failure: str = ""
    is_memory_full: bool = False


class Wire(Protocol):
    """Translates between routed requests and the platform's HTTP messages."""

    def parse_request(
        self, req: http_server.Request
    ) -> "RoutedRequest | outcomes.Rejected":
        """Parses a caller's request."""

    def build_call(
        self,
        req: RoutedRequest,
        listing: endpoint_list.Listing,
        allowed_s: float,
        inputs: tuple[str, ...],
        resume_after: str,
    ) -> exchanges.Exchange:
        """Builds the final call of a request."""

    def parse_head(
        self, status: int, headers: http_server.Headers
    ) -> ReplyHead:
        """Parses the head of an endpoint's reply."""

    def build_refusal(
        self, outcome: outcomes.Outcome, request_id: str
    ) -> tuple[int, http_server.Headers, bytes]:
        """Builds status, headers and body of an answer without a reply."""

    def build_piece_call(
        self,
        listing: endpoint_list.Listing,
        batch: list[tuple[pieces.Job, int]],
        now: float,
        timeout_s: float,
    ) -> exchanges.Exchange:
        """Builds a call that makes a batch of pieces."""

    def parse_pieces(self, body: bytes, count: int) -> list[PieceReply] | None:
        """Parses the reply to a piece call; None if it is malformed."""

    def build_free(
        self, address: str, handles: list[str]
    ) -> exchanges.Exchange:
        """Builds a call that frees results."""
