"""Log of a process: one JSON object per line on standard output.

Lines are dropped and counted rather than written late: a reader that does
not keep up must not block requests, and a failure that repeats must not
flood the log.
"""

from __future__ import annotations

import collections
import collections.abc
import json
import logging
import os
import re
import time

_FIELDS = ('request_id', 'code', 'service', 'host')
_REDACTED = '[hidden]'
_BEARER = re.compile(r'(?i)(bearer\s+)[^\s"\']+')
_MIN_SECRET_LENGTH = 4
_secrets: list[str] = []

_STANDARD_OUTPUT = 1

MAX_LINES_PER_S = 200
"""Lines per second and message; a host serves about 100 requests a second."""
MAX_PENDING_BYTES = 262_144
"""Bytes that wait for the reader; about 10 s of an ordinary log."""


class JsonFormatter(logging.Formatter):
    """Render a record as one JSON object without credentials."""

    def format(self, record: logging.LogRecord) -> str:
        """Render a record.

        Args:
            record: Record; fields of `extra` named request_id, code, service
                and host are included, and those of `event`.

        Returns:
            JSON text without line breaks.
        """
        entry: dict[str, object] = {
            'time_ms': int(record.created * 1000),
            'level': record.levelname,
            'logger': record.name,
            'message': _redact(record.getMessage()),
        }
        for name in _FIELDS:
            value = getattr(record, name, None)
            if value is not None:
                entry[name] = (
                    value if isinstance(value, int) else _redact(str(value))
                )
        for name, value in getattr(record, 'event_fields', {}).items():
            entry[name] = _redact(value) if isinstance(value, str) else value
        dropped = getattr(record, 'dropped', 0)
        if dropped:
            entry['dropped'] = dropped
        if record.exc_info:
            entry['exception'] = _redact(self.formatException(record.exc_info))
        return json.dumps(entry, default=str)


class RateFilter(logging.Filter):
    """Bound the lines of each message.

    Args:
        max_per_s: Lines per second and message.
        now_s: Monotonic time in s.
    """

    def __init__(
        self,
        max_per_s: int = MAX_LINES_PER_S,
        now_s: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._max_per_s = max_per_s
        self._now_s = now_s
        self._second = 0
        self._count_by_message: collections.Counter[str] = (
            collections.Counter()
        )
        self._dropped_by_message: collections.Counter[str] = (
            collections.Counter()
        )

    def filter(self, record: logging.LogRecord) -> bool:
        """Decide whether a record is written.

        Args:
            record: Record; it gets the number of lines dropped before it.
        """
        second = int(self._now_s())
        if second != self._second:
            self._second = second
            self._count_by_message.clear()
        message = str(record.msg)
        self._count_by_message[message] += 1
        if self._count_by_message[message] > self._max_per_s:
            self._dropped_by_message[message] += 1
            return False
        record.dropped = self._dropped_by_message.pop(message, 0)
        return True


class NonBlockingHandler(logging.Handler):
    """Write lines to a file descriptor without waiting for its reader.

    Args:
        descriptor: File descriptor; becomes non-blocking.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._pending = b''
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop it while too many bytes wait.

        Args:
            record: Record to write.
        """
        if len(self._pending) > MAX_PENDING_BYTES:
            self.dropped_lines += 1
            self._write(self._pending)
            return
        line = self.format(record).encode(errors='backslashreplace') + b'\n'
        self._write(self._pending + line)

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        if self._pending:
            self._write(self._pending)

    def _write(self, data: bytes) -> None:
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads the log any more, and there is no other place to
            # report it.
            self.dropped_lines += 1
            written = len(data)
        self._pending = data[written:]


def configure_logging(level: str) -> None:
    """Write the log of this process to standard output as JSON lines.

    Args:
        level: `DEBUG`, `INFO`, `WARNING` or `ERROR`.
    """
    handler = NonBlockingHandler(_STANDARD_OUTPUT)
    handler.setFormatter(JsonFormatter())
    handler.addFilter(RateFilter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # The daemon logs its own start and stop, once.
    logging.getLogger('uvicorn').setLevel(logging.WARNING)


def event(logger: logging.Logger, message: str, **fields: object) -> None:
    """Log one decision with the inputs that led to it.

    Args:
        logger: Logger of the module.
        message: What was decided; the same text for each such decision.
        fields: Inputs with their age or version, and the result.
    """
    if logger.isEnabledFor(logging.INFO):
        logger.info(message, extra={'event_fields': fields})


def redact(secret: str) -> None:
    """Keep a credential out of the log.

    Args:
        secret: Text to replace wherever it appears; texts of fewer than 4
            characters are not replaced, since they appear in other words.
    """
    if len(secret) >= _MIN_SECRET_LENGTH and secret not in _secrets:
        _secrets.append(secret)


def _redact(text: str) -> str:
    for secret in _secrets:
        text = text.replace(secret, _REDACTED)
    return _BEARER.sub(rf'\1{_REDACTED}', text)
