"""Bounds on what one turn of the loop reads. No I/O."""

# Of one peer's bytes.
READER_BYTES = 64 * 1024
# Of all bytes together, beyond one chunk for each reader.
TURN_BYTES = 1024 * 1024


class Reader:
    """What was read from one peer in its last turn of the loop."""

    def __init__(self) -> None:
        self.turn = 0
        self.size = 0


class ReadQuota:
    """Counts the bytes of a turn."""

    def __init__(self) -> None:
        self._turn = 0
        self._size = 0

    def take(self, reader: Reader, size: int, turn: int) -> bool:
        """Returns whether a turn handles so many more bytes of a reader.

        Args:
            reader: whose bytes they are.
            size: in bytes, of one chunk.
            turn: number of the loop's turn.
        """
        if self._turn != turn:
            self._turn, self._size = turn, 0
        if reader.turn != turn:
            reader.turn, reader.size = turn, 0
        is_over = (
            reader.size + size > READER_BYTES or self._size + size > TURN_BYTES
        )
        if reader.size and is_over:
            return False
        reader.size += size
        self._size += size
        return True
