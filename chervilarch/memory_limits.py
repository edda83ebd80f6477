"""How a gateway divides the memory that its host gives it."""

from chervilarch import byte_room

# For a process that isn't told its limit, in MB.
DEFAULT_MEMORY_MB = 256.0
_MB = 1024 * 1024
# Parts of the process's memory. The rest is for the process itself, the
# configuration and the copies that are made of a message.
_SHARED_PART = 0.14
_LARGEST_PART = 0.08
_SMALL_PART = 0.04
_MAX_MESSAGE_BYTES = 16 * _MB


def room_bounds(memory_mb: float) -> byte_room.Bounds:
    """Returns the bounds of the room for replies, or of that for requests.

    Args:
        memory_mb: memory that the process may use, 0 if that is unknown.
    """
    size = (memory_mb or DEFAULT_MEMORY_MB) * _MB
    return byte_room.Bounds(
        shared=int(_SHARED_PART * size),
        largest=min(_MAX_MESSAGE_BYTES, int(_LARGEST_PART * size)),
        small=int(_SMALL_PART * size),
    )
