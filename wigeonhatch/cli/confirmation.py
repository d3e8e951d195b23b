"""Wait until the hosts have confirmed a change."""

from __future__ import annotations

import collections.abc
import sys
import typing

from wigeonhatch import clock as clocks
from wigeonhatch import outcome
from wigeonhatch.cli import client as clients
from wigeonhatch.operators import service as services
from wigeonhatch.operators import wire

_LONG_POLL_MS = 500
"""Timeout of one long poll for the confirmation state."""


class Change(typing.NamedTuple):
    """An accepted change and the last state of its confirmation."""

    accepted: services.Accepted
    state: services.Confirmation | outcome.Failure | None


async def wait_until_confirmed(
    client: clients.OperatorClient, version: int, timeout_ms: int
) -> services.Confirmation | outcome.Failure | None:
    """Poll until all reachable hosts have confirmed a version.

    Prints the progress to standard error if that is a terminal.

    Args:
        client: Client of the operator interfaces.
        version: Version to wait for.
        timeout_ms: Total timeout in ms; 0 returns at once.

    Returns:
        The last state, the failure of the last call, or None if the timeout
        is 0.
    """
    if not timeout_ms:
        return None
    clock = clocks.Clock()
    deadline_ms = clock.now_ms + timeout_ms
    while True:
        result = await client.read(
            wire.CONFIRMATION_PATH,
            services.Confirmation,
            version=version,
            wait_ms=min(_LONG_POLL_MS, max(0, deadline_ms - clock.now_ms)),
        )
        if isinstance(result, outcome.Success):
            state = result.value
            _show_progress(state)
            if state.confirmed and not state.waiting:
                return state
        if clock.now_ms >= deadline_ms:
            if isinstance(result, outcome.Failure):
                return result
            return result.value
        await clock.sleep_ms(_LONG_POLL_MS // 5)


def _show_progress(state: services.Confirmation) -> None:
    if not sys.stderr.isatty():
        return
    total = len(state.confirmed) + len(state.waiting)
    is_complete = state.confirmed and not state.waiting
    sys.stderr.write(
        f'\r{len(state.confirmed)} of {total} reachable hosts have version '
        f'{state.version}' + ('\n' if is_complete else '')
    )
    sys.stderr.flush()


def describe(
    state: services.Confirmation,
) -> collections.abc.Iterator[str]:
    """Describe which hosts have confirmed a version.

    Args:
        state: Confirmation state of the version.

    Yields:
        Lines of text.
    """
    total = len(state.confirmed) + len(state.waiting)
    yield f'in force on {len(state.confirmed)} of {total} reachable hosts'
    if state.waiting:
        yield f'not yet on: {", ".join(state.waiting)}'
    if state.unreachable:
        yield f'unreachable: {", ".join(state.unreachable)}'
