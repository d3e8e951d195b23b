"""Tests of the edge daemon within the process of the tests."""

from __future__ import annotations

import pathlib

import anyio
import pytest

from tests.end_to_end import edge_deployment
from wigeonhatch import clock as clocks
from wigeonhatch import outcome
from wigeonhatch import settings as settings_module
from wigeonhatch.entry import edge_daemon
from wigeonhatch.entry import edge_settings

# Method that fails, and the task that calls it.
FAILURES = {
    'fleet.Fleet.join': 'registration',
    'state_link.PeerTable.detect_lost_peers': 'heartbeats',
    'catalog.Catalog.expire_holds': 'adjustments',
    'reach.TargetReach.run': 'target probes',
    'quarantine_store.QuarantineStore.run_once': 'quarantines',
    'table_follower.TableFollower._poll': 'follower of servers',
    'settings_reload.SettingsReloader.run': 'settings',
}
_PACKAGE_BY_MODULE = {'state_link': 'peers', 'reach': 'targets'}
_TIMEOUT_S = 5


def build_daemon(folder: pathlib.Path) -> edge_daemon.EdgeDaemon:
    """Build a daemon whose store does not answer."""
    deployment = edge_deployment.Deployment(folder)
    loaded = settings_module.load_validated(
        str(deployment.settings_path), edge_settings.EdgeSettings
    )
    assert isinstance(loaded, outcome.Success)
    return edge_daemon.EdgeDaemon(loaded.value, clocks.Clock(), lambda: loaded)


@pytest.mark.parametrize('method', FAILURES)
def test_error_of_a_task_does_not_end_the_daemon(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, method: str
) -> None:
    """Guards against an error in one loop that ends all requests."""

    def fail(*arguments: object) -> None:
        raise RuntimeError('unexpected')

    package = _PACKAGE_BY_MODULE.get(method.partition('.')[0], 'entry')
    monkeypatch.setattr(f'wigeonhatch.{package}.{method}', fail)
    daemon = build_daemon(tmp_path)

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(daemon.run)
            with anyio.fail_after(_TIMEOUT_S):
                while not daemon._supervisor.errors_by_task[FAILURES[method]]:
                    await anyio.sleep(0.01)
            await anyio.sleep(0.1)
            tasks.cancel_scope.cancel()

    anyio.run(main, backend_options={'use_uvloop': True})
