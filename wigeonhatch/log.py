"""Log of a process: one JSON object per line on standard error."""

from __future__ import annotations

import json
import logging
import re
import sys

_FIELDS = ('request_id', 'code', 'service', 'host')
_HIDDEN = '[hidden]'
_BEARER = re.compile(r'(?i)(bearer\s+)[^\s"\']+')
_MIN_SECRET_LENGTH = 4
_secrets: list[str] = []


class JsonFormatter(logging.Formatter):
    """Render a record as one JSON object without credentials."""

    def format(self, record: logging.LogRecord) -> str:
        """Render a record.

        Args:
            record: Record; fields of `extra` named request_id, code, service
                and host are included.

        Returns:
            JSON text without line breaks.
        """
        entry: dict[str, object] = {
            'time_ms': int(record.created * 1000),
            'level': record.levelname,
            'logger': record.name,
            'message': _hide(record.getMessage()),
        }
        for name in _FIELDS:
            value = getattr(record, name, None)
            if value is not None:
                entry[name] = (
                    value if isinstance(value, int) else _hide(str(value))
                )
        if record.exc_info:
            entry['exception'] = _hide(self.formatException(record.exc_info))
        return json.dumps(entry)


def configure_logging(level: str) -> None:
    """Write the log of this process to standard error as JSON lines.

    Args:
        level: `DEBUG`, `INFO`, `WARNING` or `ERROR`.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def hide(secret: str) -> None:
    """Keep a credential out of the log.

    Args:
        secret: Text to replace wherever it appears; texts of fewer than 4
            characters are not replaced, since they appear in other words.
    """
    if len(secret) >= _MIN_SECRET_LENGTH and secret not in _secrets:
        _secrets.append(secret)


def _hide(text: str) -> str:
    for secret in _secrets:
        text = text.replace(secret, _HIDDEN)
    return _BEARER.sub(rf'\1{_HIDDEN}', text)
