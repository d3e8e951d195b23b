"""Structured log: one JSON object per line on standard output.

Lines are dropped and counted, never awaited: a slow reader must not block
requests, and a repeated failure must not flood the log.
"""

from __future__ import annotations

import collections
import collections.abc
import json
import logging
import os
import re
import select
import time

_EXTRA_FIELDS = ('request_id', 'code', 'service', 'host')
_REDACTED = '[hidden]'
_BEARER = re.compile(r'(?i)(bearer\s+)[^\s"\']+')
_MIN_REDACTED_LENGTH = 4
_secrets: list[str] = []

_STANDARD_OUTPUT = 1
_LOG = logging.getLogger(__name__)

MAX_LINES_PER_S = 200
"""Rate limit of each message; a host serves about 100 requests per second."""
MAX_DROPPED_IDS = 1_000
"""Limit of the request IDs that one line names for those dropped before it."""
_DRAIN_POLL_MS = 10
MAX_BUFFER_BYTES = 262_144
"""Size limit of the write buffer; holds about 10 s of log lines."""


class JsonFormatter(logging.Formatter):
    """Format records as JSON objects with credentials redacted."""

    def format(self, record: logging.LogRecord) -> str:
        """Format a record.

        Args:
            record: Record; the attributes request_id, code, service and host
                of `extra` and the fields of `event` are included.

        Returns:
            JSON text without line breaks.
        """
        entry: dict[str, object] = {
            'time_ms': int(record.created * 1000),
            'level': record.levelname,
            'logger': record.name,
            'message': _redact(record.getMessage()),
        }
        for name in _EXTRA_FIELDS:
            value = getattr(record, name, None)
            if value is not None:
                entry[name] = (
                    value if isinstance(value, int) else _redact(str(value))
                )
        for name, value in getattr(record, 'event_fields', {}).items():
            entry[name] = _redact(value) if isinstance(value, str) else value
        for name in ('dropped', 'dropped_request_ids'):
            value = getattr(record, name, None)
            if value:
                entry[name] = value
        if record.exc_info:
            entry['exception'] = _redact(self.formatException(record.exc_info))
        return json.dumps(entry, default=str)


class RateFilter(logging.Filter):
    """Limit the rate of each message.

    Args:
        max_per_s: Lines per second of each message.
        now_s: Returns the monotonic time in s.
    """

    def __init__(
        self,
        max_per_s: int = MAX_LINES_PER_S,
        now_s: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._max_per_s = max_per_s
        self._now_s = now_s
        self.dropped_lines = 0
        self._second = 0
        self._count_by_message: collections.Counter[str] = (
            collections.Counter()
        )
        self._dropped_by_message: collections.Counter[str] = (
            collections.Counter()
        )
        self._dropped_ids_by_message: dict[str, list[str]] = (
            collections.defaultdict(list)
        )

    def filter(self, record: logging.LogRecord) -> bool:
        """Decide whether a record is written.

        Args:
            record: Record; `dropped` is set to the lines dropped before it,
                and `dropped_request_ids` to the requests that these named.
        """
        second = int(self._now_s())
        if second != self._second:
            self._second = second
            self._count_by_message.clear()
        message = str(record.msg)
        self._count_by_message[message] += 1
        if self._count_by_message[message] > self._max_per_s:
            self._on_dropped(message, record)
            return False
        record.dropped = self._dropped_by_message.pop(message, 0)
        record.dropped_request_ids = self._dropped_ids_by_message.pop(
            message, []
        )
        return True

    def take_dropped(
        self,
    ) -> collections.abc.Iterator[tuple[str, int, list[str]]]:
        """Yield what no later line has reported, and forget it.

        Yields:
            Message, number of lines dropped, and IDs of their requests.
        """
        while self._dropped_by_message:
            message, count = self._dropped_by_message.popitem()
            yield message, count, self._dropped_ids_by_message.pop(message, [])

    def _on_dropped(self, message: str, record: logging.LogRecord) -> None:
        self.dropped_lines += 1
        self._dropped_by_message[message] += 1
        fields = getattr(record, 'event_fields', {})
        request_id = fields.get('request_id')
        ids = self._dropped_ids_by_message[message]
        if request_id and len(ids) < MAX_DROPPED_IDS:
            ids.append(request_id)


class NonBlockingHandler(logging.Handler):
    """Write lines to a file descriptor without blocking.

    Args:
        descriptor: File descriptor; it is set to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.dropped_lines = 0
        self._descriptor = descriptor
        self._buffer = b''
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop it while the buffer is full.

        Args:
            record: Record to write.
        """
        if len(self._buffer) > MAX_BUFFER_BYTES:
            self.dropped_lines += 1
            self._write(self._buffer)
            return
        line = self.format(record).encode(errors='backslashreplace') + b'\n'
        self._write(self._buffer + line)

    def flush(self) -> None:
        """Write as much of the buffer as the pipe accepts."""
        if self._buffer:
            self._write(self._buffer)

    def drain(self, timeout_ms: int) -> None:
        """Write the buffer; wait for a slow reader.

        Args:
            timeout_ms: Longest wait in ms. Lines that are left are lost.
        """
        end_s = time.monotonic() + timeout_ms / 1_000
        poller = select.poll()
        poller.register(self._descriptor, select.POLLOUT)
        while self._buffer and time.monotonic() < end_s:
            poller.poll(_DRAIN_POLL_MS)
            self._write(self._buffer)

    def _write(self, data: bytes) -> None:
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the pipe, and there is no other channel
            # to report this on.
            self.dropped_lines += 1
            written = len(data)
        self._buffer = data[written:]


def configure_logging(level: str) -> None:
    """Log to standard output as JSON lines.

    Args:
        level: `DEBUG`, `INFO`, `WARNING` or `ERROR`.
    """
    handler = NonBlockingHandler(_STANDARD_OUTPUT)
    handler.setFormatter(JsonFormatter())
    handler.addFilter(RateFilter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # The daemon logs its own start and stop.
    logging.getLogger('uvicorn').setLevel(logging.WARNING)


def event(logger: logging.Logger, message: str, **fields: object) -> None:
    """Log a decision with its inputs.

    Args:
        logger: Logger of the module.
        message: Constant text that identifies the kind of decision.
        fields: Inputs with their ages or versions, and the result.
    """
    if logger.isEnabledFor(logging.INFO):
        logger.info(message, extra={'event_fields': fields})


def count_missing_lines() -> int:
    """Count the lines that were dropped since the start."""
    return sum(
        handler.dropped_lines
        + sum(item.dropped_lines for item in _rate_filters(handler))
        for handler in _handlers()
    )


def drain(timeout_ms: int) -> None:
    """Write what is buffered, and name what was dropped, before the exit.

    Args:
        timeout_ms: Longest wait for a slow reader in ms.
    """
    for handler in _handlers():
        for rate_filter in _rate_filters(handler):
            for message, count, ids in list(rate_filter.take_dropped()):
                event(
                    _LOG,
                    'lines dropped',
                    of=message,
                    dropped=count,
                    dropped_request_ids=ids,
                )
        handler.drain(timeout_ms)


def _handlers() -> collections.abc.Iterator[NonBlockingHandler]:
    for handler in logging.getLogger().handlers:
        if isinstance(handler, NonBlockingHandler):
            yield handler


def _rate_filters(
    handler: logging.Handler,
) -> collections.abc.Iterator[RateFilter]:
    for item in handler.filters:
        if isinstance(item, RateFilter):
            yield item


def redact(secret: str) -> None:
    """Redact a credential in all later lines of the log.

    Args:
        secret: Text to redact; texts of fewer than 4 characters are ignored,
            since they occur in ordinary words.
    """
    if len(secret) >= _MIN_REDACTED_LENGTH and secret not in _secrets:
        _secrets.append(secret)


def _redact(text: str) -> str:
    for secret in _secrets:
        text = text.replace(secret, _REDACTED)
    return _BEARER.sub(rf'\1{_REDACTED}', text)
