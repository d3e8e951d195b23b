"""Arguments of the command line, parsed by fire and taken literally."""

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

_SWITCH = '--'
_RESERVED = frozenset({'-', '--'})

Command = collections.abc.Callable[..., int]


def bind(
    command: Command,
    arguments: collections.abc.Sequence[str],
    switches: collections.abc.Collection[str],
) -> outcome.Success[collections.abc.Callable[[], int]] | outcome.Failure:
    """Bind the arguments of a command without running it.

    fire would run a command before it finds out that arguments are left
    over, and would turn arguments into Python literals. The command is
    therefore replaced by a function that only records its arguments as they
    were given.

    Args:
        command: Function; all its parameters take text.
        arguments: Arguments after the name of the command.
        switches: Options without a value.

    Returns:
        A function that runs the command, or `USAGE`.
    """
    for argument in arguments:
        # Both are separators to fire; the others reach members of objects.
        if argument in _RESERVED or argument.startswith('__'):
            return _usage(f'unexpected argument {argument!r}')
        if not _is_unicode(argument):
            return _usage(f'{argument!r} is not encoded as UTF-8')
    recorded: list[tuple[tuple[str, ...], dict[str, str]]] = []

    @functools.wraps(command)
    def record(*given: str, **options: str) -> None:
        recorded.append((given, options))

    decorators.SetParseFn(str)(record)
    errors = io.StringIO()
    try:
        with contextlib.redirect_stderr(errors):
            fire.Fire(
                record,
                command=[_expand(item, switches) for item in arguments],
                name='wigeonhatch',
                serialize=_discard,
            )
    except core.FireExit as stop:
        return _usage(_describe(stop))
    if len(recorded) != 1:
        return _usage('unexpected arguments')
    positional, options = recorded[0]
    return outcome.Success(functools.partial(command, *positional, **options))


def is_set(value: str) -> bool:
    """Tell whether a switch was given.

    Args:
        value: Text that `bind` passed for the switch.
    """
    return value == 'True'


def _expand(argument: str, switches: collections.abc.Collection[str]) -> str:
    # Without a value, fire would take the next argument as the value.
    if argument.removeprefix(_SWITCH) in switches and argument.startswith(
        _SWITCH
    ):
        return f'{argument}=True'
    return argument


def _is_unicode(text: str) -> bool:
    # Bytes that are not UTF-8 arrive as lone surrogates.
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _discard(result: object) -> None:
    return None


def _describe(stop: core.FireExit) -> str:
    trace: typing.Any = stop.trace
    if trace is None or not trace.HasError():
        return 'unexpected arguments'
    text: str = trace.elements[-1].ErrorAsStr()
    return text


def _usage(detail: str) -> outcome.Failure:
    return outcome.Failure(codes.ResultCode.USAGE, detail)
