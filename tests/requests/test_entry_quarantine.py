"""Tests of hosts that own targets, with a request that crashes these."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from tests.requests import rig as rigs
from tests.targets import scripted
from wigeonhatch import codes
from wigeonhatch.requests import quarantine

MAX_CALLS = 4 * quarantine.MAX_CRASHES
NOT_RUN = codes.Ran.NOT_RUN.value


class _CrashingService:
    """Target that crashes while it runs a request, and starts again.

    Args:
        rig: Hosts.
        owner: Host that owns the target.
    """

    def __init__(self, rig: rigs.Rig, owner: str) -> None:
        self.run_count = 0
        self._host = rig.hosts[owner]
        self._stack = contextlib.AsyncExitStack()

    async def start(self) -> None:
        """Start an incarnation of the target."""
        target = scripted.ScriptedTarget(self._crash)
        await self._stack.enter_async_context(target)
        self._target = target
        self._host.targets.configure(
            scripted.build_config({'t1': target.address})
        )
        self._host.slots.targets = ['t1']

    async def _crash(
        self, request: scripted.ReceivedRequest, writer: scripted.Writer
    ) -> None:
        self.run_count += 1
        assert self._target._server is not None
        self._target._server.close()
        raise scripted.CloseConnection


@pytest.mark.parametrize('route', [rigs.LOCAL, rigs.FAR])
@pytest.mark.parametrize('is_idempotent', [True, False])
@scripted.run_on_uvloop
async def test_request_that_crashes_targets_is_refused(
    route: tuple[str, str], is_idempotent: bool
) -> None:
    """Guards against one request that ends target after target."""
    entry, owner = route
    async with rigs.running() as rig:
        rig.hosts[entry].route_hosts = [owner]
        service = _CrashingService(rig, owner)
        for _ in range(MAX_CALLS):
            await service.start()
            headers = {}
            if not is_idempotent:
                headers = rigs.keyed(await rig.issue(entry))
            answer = await rig.call(entry, 'POST', headers=headers)
            # Lets the examination of the lost target end.
            await asyncio.sleep(0.05)
        assert answer.result == ('QUARANTINED', NOT_RUN)
        assert answer.status == 503
        assert service.run_count <= quarantine.MAX_CRASHES
        other = await rig.call(entry, path='/svc/other')
        assert other.result[0] != 'QUARANTINED'
