"""Parsing of command-line arguments by fire, without type conversion."""

from __future__ import annotations

import collections.abc
import contextlib
import functools
import io
import typing

import fire
from fire import core
from fire import decorators

from wigeonhatch import codes
from wigeonhatch import outcome

_PREFIX = '--'
_FIRE_SEPARATORS = frozenset({'-', '--'})

Command = collections.abc.Callable[..., int]


def bind(
    command: Command,
    arguments: collections.abc.Sequence[str],
    switches: collections.abc.Collection[str],
) -> outcome.Success[collections.abc.Callable[[], int]] | outcome.Failure:
    """Bind the arguments of a command without running it.

    fire runs a command before it detects surplus arguments, and converts
    arguments to Python literals. It is therefore given a wrapper that only
    records the arguments as unconverted text.

    Args:
        command: Function whose parameters all take text.
        arguments: Arguments after the name of the command.
        switches: Names of the options that take no value.

    Returns:
        A function that runs the command, or `USAGE`.
    """
    for argument in arguments:
        # fire treats `-` and `--` as separators and resolves names such as
        # `__class__` as members of objects.
        if argument in _FIRE_SEPARATORS or argument.startswith('__'):
            return _usage_error(f'unexpected argument {argument!r}')
        if not _is_encodable(argument):
            return _usage_error(f'{argument!r} is not encoded as UTF-8')
    recorded_calls: list[tuple[tuple[str, ...], dict[str, str]]] = []

    @functools.wraps(command)
    def record(*values: str, **options: str) -> None:
        recorded_calls.append((values, options))

    decorators.SetParseFn(str)(record)
    errors = io.StringIO()
    try:
        with contextlib.redirect_stderr(errors):
            fire.Fire(
                record,
                command=[_add_value(item, switches) for item in arguments],
                name='wigeonhatch',
                serialize=_discard,
            )
    except core.FireExit as fire_exit:
        return _usage_error(_describe(fire_exit))
    if len(recorded_calls) != 1:
        return _usage_error('unexpected arguments')
    positional, options = recorded_calls[0]
    return outcome.Success(functools.partial(command, *positional, **options))


def is_enabled(value: str) -> bool:
    """Return whether a switch was set on the command line.

    Args:
        value: Text that `bind` passed for the switch.
    """
    return value == 'True'


def _add_value(
    argument: str, switches: collections.abc.Collection[str]
) -> str:
    # Without a value, fire would consume the next argument as the value.
    if argument.removeprefix(_PREFIX) in switches and argument.startswith(
        _PREFIX
    ):
        return f'{argument}=True'
    return argument


def _is_encodable(text: str) -> bool:
    # Python decodes bytes that are not UTF-8 to lone surrogates.
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _discard(result: object) -> None:
    return None


def _describe(fire_exit: core.FireExit) -> str:
    trace: typing.Any = fire_exit.trace
    if trace is None or not trace.HasError():
        return 'unexpected arguments'
    text: str = trace.elements[-1].ErrorAsStr()
    return text


def _usage_error(detail: str) -> outcome.Failure:
    return outcome.Failure(codes.ResultCode.USAGE, detail)
