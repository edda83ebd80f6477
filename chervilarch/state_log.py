"""Log lines for changes of state, as text or as JSON."""

import json
import logging
from typing import Any, TextIO

_LOGGER = logging.getLogger("chervilarch")


class _JsonFormatter(logging.Formatter):
    """Writes each record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        fields = {
            "time": record.created,
            "level": record.levelname.lower(),
            "event": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        return json.dumps(fields, default=str)


class _TextFormatter(logging.Formatter):
    """Writes each record as one line of text."""

    def format(self, record: logging.LogRecord) -> str:
        fields = getattr(record, "fields", {})
        pairs = "".join(f" {name}={value}" for name, value in fields.items())
        when = self.formatTime(record)
        return f"{when} {record.levelname.lower()} {record.getMessage()}{pairs}"


def set_up(stream: TextIO, as_json: bool) -> None:
    """Sends state changes to a stream."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(_JsonFormatter() if as_json else _TextFormatter())
    _LOGGER.handlers[:] = [handler]
    _LOGGER.setLevel(logging.INFO)
    _LOGGER.propagate = False


def log_change(event: str, **fields: Any) -> None:
    """Logs a change of state."""
    _LOGGER.info(event, extra={"fields": fields})


def log_fault(event: str, **fields: Any) -> None:
    """Logs a change of state that an operator should look at."""
    _LOGGER.warning(event, extra={"fields": fields})
