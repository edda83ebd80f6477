"""Structured log lines: decisions on requests and changes of state.

The gateway's handler never blocks on a slow reader and limits lines per second.
Part of the limit is reserved for problems and changes of state; dropped lines
are counted by event.
"""

import collections
import logging
import os
import time
from collections.abc import Callable
from typing import Any, TextIO

from pythonjsonlogger import json as json_formatter

_LOGGER = logging.getLogger("chervilarch")
# Keeps logging below 1 % of a core, as a line costs about 40 us of it.
MAX_LINES_PER_S = 200
# Share of the limit for decisions that aren't problems; the rest is reserved
# for problems and changes of state.
_DECISION_SHARE = 0.6


class _TextFormatter(logging.Formatter):
    """Formats a record as one line of text."""

    def format(self, record: logging.LogRecord) -> str:
        fields = getattr(record, "fields", {})
        pairs = "".join(f" {name}={value}" for name, value in fields.items())
        when = self.formatTime(record)
        return f"{when} {record.levelname.lower()} {record.getMessage()}{pairs}"


class _JsonFormatter(json_formatter.JsonFormatter):
    """Formats a record as one JSON object."""

    def add_fields(self, log_data, record, message_dict) -> None:
        log_data["time"] = round(record.created, 3)
        log_data["level"] = record.levelname.lower()
        log_data["event"] = record.getMessage()
        log_data.update(getattr(record, "fields", {}))
        log_data.update(message_dict)


class RateLimitedHandler(logging.Handler):
    """Writes a limited number of lines per second, without blocking."""

    def __init__(
        self,
        fd: int,
        clock: Callable[[], float] = time.monotonic,
        max_lines_per_s: int = MAX_LINES_PER_S,
    ):
        super().__init__()
        self._fd = fd
        self._clock = clock
        self._max_lines = max_lines_per_s
        self._second = 0
        self._lines = 0
        self._unsent = b""
        self._dropped: collections.Counter[str] = collections.Counter()
        self.on_dropped: Callable[[str, int], None] = _ignore
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, or drops and counts it."""
        second = int(self._clock())
        if second != self._second:
            self._second, self._lines = second, 0
            self._report_dropped()
        limit = self._max_lines
        if record.levelno < logging.WARNING and getattr(
            record, "is_decision", False
        ):
            limit *= _DECISION_SHARE
        if self._lines >= limit or not self._write(self.format(record)):
            self._dropped[record.getMessage()] += 1
            return
        self._lines += 1

    def _report_dropped(self) -> None:
        dropped, self._dropped = self._dropped, collections.Counter()
        if not dropped:
            return
        for event, lines in dropped.items():
            self.on_dropped(event, lines)
        record = _LOGGER.makeRecord(
            _LOGGER.name,
            logging.WARNING,
            __file__,
            0,
            "lines left out",
            (),
            None,
            extra={"fields": {"lines": dict(dropped)}},
        )
        self._write(self.format(record))

    def _write(self, line: str) -> bool:
        """Writes a line if the reader keeps up; returns whether it did.

        The end of a line that didn't fit is written before the next line, so
        that no line is cut.
        """
        try:
            if self._unsent:
                sent = os.write(self._fd, self._unsent)
                self._unsent = self._unsent[sent:]
                if self._unsent:
                    return False
            data = line.encode() + b"\n"
            sent = os.write(self._fd, data)
        except OSError:
            # The reader is behind or has closed its end.
            return False
        self._unsent = data[sent:]
        return True


def set_up(stream: TextIO, as_json: bool) -> None:
    """Logs to a stream, as JSON or text, without a limit."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(_JsonFormatter() if as_json else _TextFormatter())
    _install(handler)


def set_up_rate_limited(handler: RateLimitedHandler) -> None:
    """Logs JSON to a bounded handler."""
    handler.setFormatter(_JsonFormatter())
    _install(handler)


def _install(handler: logging.Handler) -> None:
    _LOGGER.handlers[:] = [handler]
    _LOGGER.setLevel(logging.INFO)
    _LOGGER.propagate = False


def log_change(event: str, **fields: Any) -> None:
    """Logs a change of state."""
    _LOGGER.info(event, extra={"fields": fields})


def log_fault(event: str, **fields: Any) -> None:
    """Logs a change of state that an operator should look at."""
    _LOGGER.warning(event, extra={"fields": fields})


def log_decision(event: str, is_problem: bool = False, **fields: Any) -> None:
    """Logs a decision on a request and the values that it depends on."""
    level = logging.WARNING if is_problem else logging.INFO
    _LOGGER.log(level, event, extra={"fields": fields, "is_decision": True})


def log_exception(event: str, exc: BaseException) -> None:
    """Logs an unexpected exception with its traceback."""
    _LOGGER.error(event, exc_info=exc, extra={"fields": {"fault": repr(exc)}})


def _ignore(event: str, lines: int) -> None:
    pass
