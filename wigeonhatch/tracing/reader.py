"""Reader of the log files of hosts."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import pathlib
import typing

from wigeonhatch import decoding

STARTED = 'started'
"""Message at the start of a daemon; its fields include the host name."""


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a host's log.

    Args:
        time_ms: Wall-clock time of the host in ms since the Unix epoch.
        host: Name of the host; the file name until the first `started`.
        message: Kind of decision or event.
        fields: All fields of the line.
    """

    time_ms: int
    host: str
    message: str
    fields: dict[str, typing.Any]


class LogReader:
    """Read log files and count the lines that cannot be decoded."""

    def __init__(self) -> None:
        self.unusable_by_path: collections.Counter[str] = collections.Counter()

    def read(
        self, paths: collections.abc.Iterable[str]
    ) -> collections.abc.Iterator[LogLine]:
        """Yield the lines of log files.

        Args:
            paths: Files, each the log of one host.

        Raises:
            OSError: A file cannot be read.
        """
        for path in paths:
            host = pathlib.Path(path).stem
            with open(path, 'rb') as stream:
                for text in stream:
                    line = _decode(text, host)
                    if line is None:
                        self.unusable_by_path[path] += 1
                        continue
                    if line.message == STARTED and 'host' in line.fields:
                        host = str(line.fields['host'])
                        line = dataclasses.replace(line, host=host)
                    yield line


def _decode(text: bytes, host: str) -> LogLine | None:
    # A line may be truncated where the process was killed.
    try:
        entry = decoding.decode_json(text, dict[str, typing.Any])
        return LogLine(int(entry['time_ms']), host, entry['message'], entry)
    except (KeyError, TypeError, ValueError):
        return None
