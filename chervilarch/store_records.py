"""Records of the platform's store, and where they are."""

from typing import NamedTuple


class Position(NamedTuple):
    """A place in a topic, ordered by when it was reached.

    A restore of the store gives out offsets again in a higher era.
    """

    era: int
    offset: int


class Record(NamedTuple):
    """One record of a topic; an empty value removes the key.

    Attributes:
        offset: its place in the topic.
        key: what it is about.
        value: its content.
        era: the store's era when it was read, 0 if unknown.
    """

    offset: int
    key: str
    value: bytes
    era: int = 0

    @property
    def position(self) -> Position:
        """The place of the record among those of all eras."""
        return Position(self.era, self.offset)
