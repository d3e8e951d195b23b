"""Output of command results as text or JSON."""

from __future__ import annotations

import collections.abc
import json
import sys

import msgspec

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.cli import _arguments
from wigeonhatch.cli import render


def print_failure(failure: outcome.Failure, as_json: str) -> int:
    """Print a failure.

    Args:
        failure: Outcome of the command.
        as_json: Switch `--json`; if set, the failure goes to standard output
            as JSON, otherwise to standard error.

    Returns:
        Exit status of the result code.
    """
    if _arguments.is_enabled(as_json):
        print_json(failure.code, failure.ran, failure.detail, None)
    else:
        sys.stderr.write(format_title(failure.code))
        if failure.detail:
            sys.stderr.write(render.sanitize(failure.detail) + '\n')
    return failure.info.exit_status


def format_title(code: codes.ResultCode) -> str:
    """Format a result code as a line of text."""
    meaning = codes.INFO_BY_CODE[code].meaning
    return f'wigeonhatch: {code.name} ({int(code)}): {meaning}\n'


def output(
    as_json: str,
    value: object,
    lines: collections.abc.Iterable[str],
    code: codes.ResultCode = codes.ResultCode.OK,
) -> int:
    """Print the result of a command.

    Args:
        as_json: Switch `--json`.
        value: Result to print as JSON.
        lines: Result as text.
        code: Result code.

    Returns:
        Exit status of the result code.
    """
    if _arguments.is_enabled(as_json):
        print_json(code, codes.INFO_BY_CODE[code].ran, '', value)
    else:
        for line in lines:
            print(line)
    return codes.INFO_BY_CODE[code].exit_status


def print_json(
    code: codes.ResultCode, ran: codes.Ran, detail: str, value: object
) -> None:
    """Print a result as JSON."""
    print(
        to_json(
            {
                'code': int(code),
                'name': code.name,
                'ran': ran,
                'detail': detail,
                'value': msgspec.to_builtins(value),
            }
        )
    )


def to_json(value: object) -> str:
    """Render a value as JSON."""
    return json.dumps(value, indent=2, sort_keys=True)
