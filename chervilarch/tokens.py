"""Checks that a streamed answer is whole, in order and the request's own."""

import enum
from typing import TypedDict

import msgspec

from chervilarch import event_stream


class TokenData(TypedDict):
    """Data of an engine's token event."""

    attempt_id: str
    index: int
    text: str


class EndData(TypedDict):
    """Data of an engine's end event."""

    attempt_id: str
    tokens: int


class StreamFault(enum.Enum):
    """Why a stream can't be trusted any further."""

    NOT_OWN = "an event of another attempt"
    GAP = "a token is missing"
    MALFORMED = "an event that isn't in the protocol"
    SHORT = "an end before all tokens"
    OVERFLOW = "an event that is too long"
    ENGINE = "the engine reported an error"


class TokenSequence:
    """Tokens of one answer, over all attempts that made it."""

    def __init__(self) -> None:
        self.texts: list[str] = []
        self.ended = False
        self._attempt_id = ""
        self._parser = event_stream.EventParser()
        self._token_decoder = msgspec.json.Decoder(TokenData)
        self._end_decoder = msgspec.json.Decoder(EndData)

    def begin_attempt(self, attempt_id: str) -> None:
        """Starts to read a new attempt that resumes after the last token."""
        self._attempt_id = attempt_id
        self._parser = event_stream.EventParser()

    def feed(self, chunk: bytes) -> StreamFault | None:
        """Takes bytes of the attempt; whole tokens are added to `texts`."""
        events = self._parser.feed(chunk)
        if isinstance(events, event_stream.EventOverflow):
            return StreamFault.OVERFLOW
        for event in events:
            fault = self._take(event)
            if fault is not None:
                return fault
        return None

    def _take(self, event: event_stream.Event) -> StreamFault | None:
        try:
            if event.name == "token":
                return self._take_token(self._token_decoder.decode(event.data))
            if event.name == "end":
                return self._take_end(self._end_decoder.decode(event.data))
        except msgspec.DecodeError:
            return StreamFault.MALFORMED
        if event.name == "error":
            return StreamFault.ENGINE
        return None

    def _take_token(self, token: TokenData) -> StreamFault | None:
        if token["attempt_id"] != self._attempt_id:
            return StreamFault.NOT_OWN
        expected = len(self.texts)
        if token["index"] > expected:
            return StreamFault.GAP
        # A repeated index carries what is held already.
        if token["index"] == expected and not self.ended:
            self.texts.append(token["text"])
        return None

    def _take_end(self, end: EndData) -> StreamFault | None:
        if end["attempt_id"] != self._attempt_id:
            return StreamFault.NOT_OWN
        if end["tokens"] != len(self.texts):
            return StreamFault.SHORT
        self.ended = True
        return None
