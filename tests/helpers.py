"""Helpers that several tests share."""

import itertools

import uuid6

from chervilarch import log_client, records


def new_key() -> str:
    """Returns a new idempotency key."""
    return str(uuid6.uuid7())


class FakeLog:
    """An in-memory log; `down` and `lose_answers` simulate its faults."""

    def __init__(self, retention_s: float = 7200.0):
        self.bodies: list[tuple[float, records.Body]] = []
        self.first_offset = 0
        self.now = 1000.0
        self.down = False
        self.lose_answers = False
        self.retention_s = retention_s

    def append(self, stream: str, bodies: list[records.Body]):
        """Appends records, with the signature of `LogClient.append`."""
        if self.down:
            return log_client.LogError("down", False)
        offset = len(self.bodies)
        self.bodies += [(self.now, body) for body in bodies]
        if self.lose_answers:
            return log_client.LogError("answer lost", True)
        return offset

    def read(self, stream: str, offset: int, wait_s: float = 0.0):
        """Reads records, with the signature of `LogClient.read`."""
        if self.down:
            return log_client.LogError("down", False)
        return self.page(offset)

    def page(self, offset: int, limit: int = 1000) -> log_client.LogPage:
        """Returns a page of the records that haven't expired."""
        start = max(offset, self.first_offset)
        selected = itertools.islice(
            enumerate(self.bodies), start, start + limit
        )
        page_records = [
            records.Record(i, time, body) for i, (time, body) in selected
        ]
        return log_client.LogPage(
            self.first_offset,
            len(self.bodies),
            page_records,
            self.now,
            self.retention_s,
        )

    def expire_all(self) -> None:
        """Expires every record."""
        self.first_offset = len(self.bodies)


def publish(base: int, value: int) -> records.Publish:
    """Returns a publish that sets the field `v`."""
    patch = [{"op": "add", "path": "/v", "value": value}]
    return records.Publish(f"p{value}", base, patch, "")
