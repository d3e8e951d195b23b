"""Read the log files of hosts."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import pathlib
import typing

import msgspec

STARTED = 'started'
"""Message of a host that starts, with its name."""


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a host's log.

    Args:
        time_ms: Time of day of the host, ms since the Unix epoch.
        host: Name of the host; that of the file until the host names itself.
        message: What was decided.
        fields: Inputs and outcome of the decision.
    """

    time_ms: int
    host: str
    message: str
    fields: dict[str, typing.Any]


class LogReader:
    """Read files line by line, and count what cannot be read."""

    def __init__(self) -> None:
        self.unusable_by_path: collections.Counter[str] = collections.Counter()

    def read(
        self, paths: collections.abc.Iterable[str]
    ) -> collections.abc.Iterator[LogLine]:
        """Yield the lines of log files.

        Args:
            paths: Files, each with the log of one host.

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
    # A line may be cut, as the log ends with its process.
    try:
        entry = msgspec.json.decode(text, type=dict[str, typing.Any])
        return LogLine(int(entry['time_ms']), host, entry['message'], entry)
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return None
