"""Wait until a change is in force on the hosts."""

from __future__ import annotations

import collections.abc
import sys
import typing

from wigeonhatch import clock as clocks
from wigeonhatch import outcome
from wigeonhatch.cli import client as clients
from wigeonhatch.operators import service as services
from wigeonhatch.operators import wire

_POLL_WAIT_MS = 500
"""Longest wait of one call for a confirmation."""


class Changed(typing.NamedTuple):
    """A change, and which hosts have it in force."""

    accepted: services.Accepted
    confirmed: services.Confirmation | outcome.Failure | None


async def wait(
    client: clients.OperatorClient, version: int, limit_ms: int
) -> services.Confirmation | outcome.Failure | None:
    """Poll until all reachable hosts have a version; show the progress.

    Args:
        client: Client of the operators' interface.
        version: Version to wait for.
        limit_ms: Longest wait in ms; 0 for none.

    Returns:
        The last state, the failure of the last call, or None without a wait.
    """
    if not limit_ms:
        return None
    clock = clocks.Clock()
    deadline_ms = clock.now_ms + limit_ms
    while True:
        found = await client.read(
            wire.CONFIRMATION_PATH,
            services.Confirmation,
            version=version,
            wait_ms=min(_POLL_WAIT_MS, max(0, deadline_ms - clock.now_ms)),
        )
        if isinstance(found, outcome.Success):
            state = found.value
            _show_progress(state)
            if state.confirmed and not state.waiting:
                return state
        if clock.now_ms >= deadline_ms:
            if isinstance(found, outcome.Failure):
                return found
            return found.value
        await clock.sleep_ms(_POLL_WAIT_MS // 5)


def _show_progress(state: services.Confirmation) -> None:
    if not sys.stderr.isatty():
        return
    total = len(state.confirmed) + len(state.waiting)
    done = state.confirmed and not state.waiting
    sys.stderr.write(
        f'\r{len(state.confirmed)} of {total} reachable hosts have version '
        f'{state.version}' + ('\n' if done else '')
    )
    sys.stderr.flush()


def describe(
    state: services.Confirmation,
) -> collections.abc.Iterator[str]:
    """Yield lines on which hosts have a version.

    Args:
        state: State of a version.
    """
    total = len(state.confirmed) + len(state.waiting)
    yield f'in force on {len(state.confirmed)} of {total} reachable hosts'
    if state.waiting:
        yield f'not yet on: {", ".join(state.waiting)}'
    if state.unreachable:
        yield f'unreachable: {", ".join(state.unreachable)}'
