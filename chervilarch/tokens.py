"""Checks that a streamed answer is complete, in order and the attempt's own."""

import enum
from typing import TypedDict

import msgspec

from chervilarch import caller_input, decoding, event_stream

# Bounds the text of an answer, which is kept so that it can be resumed.
MAX_TEXT_CHARS = 2 * 1024 * 1024
# Bounds what an attempt may send without a new token.
MAX_IDLE_BYTES = 8 * 1024 * 1024


class TokenData(TypedDict):
    """Data of a token event that an endpoint streams."""

    attempt_id: str
    index: int
    text: str


class EndData(TypedDict):
    """Data of the end event, with the number of all tokens."""

    attempt_id: str
    tokens: int


class StreamFault(enum.Enum):
    """Why the rest of a stream can't be used."""

    # An event names another attempt.
    NOT_OWN = "an event of another attempt"
    # A token's index is above the next expected one.
    GAP = "a token is missing"
    # The data of a token or end event can't be decoded.
    MALFORMED = "an event that isn't in the protocol"
    # The end event names another number of tokens than were received.
    SHORT = "an end before all tokens"
    # An incomplete event has grown over `event_stream.MAX_EVENT_BYTES`.
    OVERFLOW = "an event that is too long"
    # More tokens than were asked for, or more text than is kept.
    EXCESS = "more than was asked for"
    # Comments, events or repeated tokens without a new token.
    IDLE = "many bytes without a new token"
    # The endpoint sent an error event.
    ENGINE = "the engine reported an error"


class TokenSequence:
    """Tokens of one answer, which several attempts may have generated."""

    def __init__(self, max_tokens: int = caller_input.MAX_TOKENS) -> None:
        self.texts: list[str] = []
        self._max_tokens = max_tokens
        self._text_chars = 0
        # Bytes of the attempt since its last new token.
        self._idle_bytes = 0
        self.ended = False
        self._attempt_id = ""
        self._parser = event_stream.EventParser()
        self._token_decoder = msgspec.json.Decoder(TokenData)
        self._end_decoder = msgspec.json.Decoder(EndData)

    def begin_attempt(self, attempt_id: str) -> None:
        """Prepares for the stream of an attempt that resumes the answer."""
        self._attempt_id = attempt_id
        self._idle_bytes = 0
        self._parser = event_stream.EventParser()

    def feed(self, chunk: bytes) -> StreamFault | None:
        """Parses bytes of the attempt and adds complete tokens to `texts`."""
        count = len(self.texts)
        events = self._parser.feed(chunk)
        if isinstance(events, event_stream.EventOverflow):
            return StreamFault.OVERFLOW
        for event in events:
            fault = self._apply_event(event)
            if fault is not None:
                return fault
        self._idle_bytes += len(chunk)
        if len(self.texts) > count or self.ended:
            self._idle_bytes = 0
        is_idle = self._idle_bytes > MAX_IDLE_BYTES
        return StreamFault.IDLE if is_idle else None

    def _apply_event(self, event: event_stream.Event) -> StreamFault | None:
        try:
            if event.name == "token":
                return self._apply_token(self._token_decoder.decode(event.data))
            if event.name == "end":
                return self._apply_end(self._end_decoder.decode(event.data))
        except decoding.ERRORS:
            return StreamFault.MALFORMED
        if event.name == "error":
            return StreamFault.ENGINE
        # Events of other names are ignored.
        return None

    def _apply_token(self, token: TokenData) -> StreamFault | None:
        if token["attempt_id"] != self._attempt_id:
            return StreamFault.NOT_OWN
        expected = len(self.texts)
        if token["index"] > expected:
            return StreamFault.GAP
        # A lower index repeats a token that was already received.
        if token["index"] < expected or self.ended:
            return None
        self._text_chars += len(token["text"])
        if expected >= self._max_tokens or self._text_chars > MAX_TEXT_CHARS:
            return StreamFault.EXCESS
        self.texts.append(token["text"])
        return None

    def _apply_end(self, end: EndData) -> StreamFault | None:
        if end["attempt_id"] != self._attempt_id:
            return StreamFault.NOT_OWN
        if end["tokens"] != len(self.texts):
            return StreamFault.SHORT
        self.ended = True
        return None
