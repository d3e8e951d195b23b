"""Detection of targets that crashed while they ran requests."""

from __future__ import annotations

import asyncio
import collections.abc
import logging
import typing

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import log
from wigeonhatch.requests import fingerprint as fingerprints

DISCONNECTED_CODES = frozenset(
    {codes.ResultCode.TARGET_LOST, codes.ResultCode.RESPONSE_INCOMPLETE}
)
"""Results of requests whose target may have crashed."""
_MAX_LOGGED = 8
_LOG = logging.getLogger(__name__)


class Connector(typing.Protocol):
    """Opens connections to targets."""

    async def refuses_connections(self, target: str) -> bool:
        """Open a connection to a target and close it."""


OnCrash = collections.abc.Callable[[int, tuple[str, int]], None]
"""Receives a request's fingerprint, and name and start of the target."""


class CrashDetector:
    """Tell crashes of targets from lost connections.

    A connection may also be lost because the network resets it, or a target
    may be out of reach. A target that has crashed refuses new connections.

    Args:
        connector: Opens connections to targets.
        on_crash: Called for each request that a crashed target was running.
        clock: Source of monotonic time.
    """

    def __init__(
        self, connector: Connector, on_crash: OnCrash, clock: clocks.Clock
    ) -> None:
        self._connector = connector
        self._on_crash = on_crash
        self._clock = clock
        self._lost_by_target: dict[str, list[int]] = {}
        self._task_by_target: dict[str, asyncio.Task[None]] = {}

    def on_lost(self, target: str, started_ms: int, fingerprint: int) -> None:
        """Record a request whose target closed or reset the connection.

        Args:
            target: Name of the target.
            started_ms: Start of its process; 0 if unknown.
            fingerprint: Fingerprint of the request.
        """
        pending = self._lost_by_target.get(target)
        if pending is not None:
            pending.append(fingerprint)
            return
        self._lost_by_target[target] = [fingerprint]
        self._task_by_target[target] = asyncio.get_running_loop().create_task(
            self._examine(target, started_ms)
        )

    async def wait_examined(self, target: str) -> None:
        """Wait until it is known whether a target has crashed.

        Args:
            target: Name of the target.
        """
        task = self._task_by_target.get(target)
        if task is not None:
            await asyncio.wait({task})

    async def _examine(self, target: str, started_ms: int) -> None:
        try:
            has_crashed = await self._connector.refuses_connections(target)
        finally:
            lost = self._lost_by_target.pop(target)
            del self._task_by_target[target]
        if not has_crashed:
            return
        # Without its start, the time of the crash identifies an incarnation.
        incarnation = started_ms or self._clock.now_ms
        log.event(
            _LOG,
            'target crashed',
            target=target,
            incarnation=incarnation,
            requests=len(lost),
            fingerprints=[
                fingerprints.format_fingerprint(item)
                for item in lost[:_MAX_LOGGED]
            ],
        )
        for fingerprint in lost:
            self._on_crash(fingerprint, (target, incarnation))
