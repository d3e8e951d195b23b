"""Rule on the accounts that daemons write when they stop."""

from __future__ import annotations

import collections.abc
import json
import pathlib
import typing


def find_cuts(
    log_paths: collections.abc.Iterable[pathlib.Path],
) -> collections.abc.Iterator[str]:
    """Find the stops that ended with a request or an exchange open.

    Args:
        log_paths: Logs of the daemons.

    Yields:
        Descriptions of the violations.
    """
    for path in log_paths:
        for line in _read_lines(path):
            message = line['message']
            if message in ('exchange cut', 'request cut'):
                yield f'{path.stem} {message} {line["request_id"]}'
            elif message == 'stopped' and (
                line['in_progress'] or line['unsent_bytes']
            ):
                yield f'{path.stem} stopped with {line}'


def _read_lines(
    path: pathlib.Path,
) -> collections.abc.Iterator[dict[str, typing.Any]]:
    for line in path.read_text(errors='replace').splitlines():
        # Libraries may write other lines; a killed daemon half of one.
        if line.startswith('{') and line.endswith('}'):
            yield json.loads(line)
