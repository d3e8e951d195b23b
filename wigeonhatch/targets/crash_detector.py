"""Detection of targets that crashed while they ran requests."""

from __future__ import annotations

import asyncio
import collections.abc
import logging
import typing

from wigeonhatch import log
from wigeonhatch.requests import fingerprint as fingerprints
from wigeonhatch.targets import registry

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
    """

    def __init__(self, connector: Connector, on_crash: OnCrash) -> None:
        self._connector = connector
        self._on_crash = on_crash
        self._lost_by_target: dict[str, list[int]] = {}
        self._task_by_target: dict[str, asyncio.Task[None]] = {}

    def on_lost(self, target: registry.TargetRecord, fingerprint: int) -> None:
        """Record a request whose target closed or reset the connection.

        Args:
            target: The target.
            fingerprint: Fingerprint of the request.
        """
        pending = self._lost_by_target.get(target.name)
        if pending is not None:
            pending.append(fingerprint)
            return
        self._lost_by_target[target.name] = [fingerprint]
        self._task_by_target[target.name] = (
            asyncio.get_running_loop().create_task(self._examine(target))
        )

    async def wait_examined(self, target: str) -> None:
        """Wait until it is known whether a target has crashed.

        Args:
            target: Name of the target.
        """
        task = self._task_by_target.get(target)
        if task is not None:
            await asyncio.wait({task})

    async def _examine(self, target: registry.TargetRecord) -> None:
        try:
            has_crashed = await self._connector.refuses_connections(
                target.name
            )
        finally:
            lost = self._lost_by_target.pop(target.name)
            del self._task_by_target[target.name]
        if not has_crashed:
            return
        log.event(
            _LOG,
            'target crashed',
            target=target.name,
            incarnation=target.started_ms,
            requests=len(lost),
            fingerprints=[
                fingerprints.format_fingerprint(item)
                for item in lost[:_MAX_LOGGED]
            ],
        )
        for fingerprint in lost:
            self._on_crash(fingerprint, (target.name, target.started_ms))
