"""Problems in the operators' files and their messages."""

from __future__ import annotations

import dataclasses
import json

from wigeonhatch import codes
from wigeonhatch import outcome

DOCUMENT_PATH = '(document)'
MERGED_SOURCE = '(merged)'
_MAX_VALUE_LENGTH = 120


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One error in one file.

    Args:
        file: Name of the source file of the value.
        path: Keys from the root to the value, joined by dots.
        found: Description of the value in the file.
        allowed: Description of the allowed values.
    """

    file: str
    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        return (
            f'{self.file}: {self.path}: found {self.found}; '
            f'allowed: {self.allowed}'
        )


def format_value(value: object) -> str:
    """Format a value for an error message.

    Args:
        value: Any JSON value.

    Returns:
        JSON text of at most 120 characters.
    """
    text = json.dumps(value, default=repr)
    if len(text) > _MAX_VALUE_LENGTH:
        return text[: _MAX_VALUE_LENGTH - 3] + '...'
    return text


def format_path(path: tuple[str, ...]) -> str:
    """Format a path for an error message.

    Args:
        path: Keys from the root; empty for the whole document.
    """
    return '.'.join(path) or DOCUMENT_PATH


def make_failure(problems: list[Problem]) -> outcome.Failure:
    """Combine problems into one failure.

    Args:
        problems: At least one problem.

    Returns:
        `CONFIG_INVALID` with one line for each problem.
    """
    return outcome.Failure(
        codes.ResultCode.CONFIG_INVALID,
        '\n'.join(str(problem) for problem in problems),
    )
