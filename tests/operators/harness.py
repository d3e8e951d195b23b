"""In-memory daemon and test harness for the operator service."""

from __future__ import annotations

import dataclasses
import pathlib

from wigeonhatch import clock as clocks
from wigeonhatch.config import model
from wigeonhatch.operators import service
from wigeonhatch.operators import view
from wigeonhatch.standins import memory_platform

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples'


def example_files(name: str = 'caroni') -> dict[str, bytes]:
    """Read the files of an example folder by name."""
    return {
        path.name: path.read_bytes()
        for path in sorted((EXAMPLES / name).glob('*.json'))
    }


@dataclasses.dataclass
class MemoryDaemon:
    """Daemon view whose hosts confirm at once, except `lagging` ones."""

    current: model.VersionedConfig | None = None
    lagging: frozenset[str] = frozenset()
    unreachable: frozenset[str] = frozenset()
    accepted: list[int] = dataclasses.field(default_factory=list)

    def hosts(self) -> list[view.HostStatus]:
        """List the status of the configured hosts."""
        if self.current is None:
            return [view.HostStatus('entry-1', True, 'starting', 0)]
        version = self.current.version
        return [
            view.HostStatus(
                name,
                name not in self.unreachable,
                'serving',
                version - (name in self.lagging),
                {'rota-board': view.LoadStatus(6, 4, 10)},
                ['entry-7'] if name == 'entry-1' else [],
            )
            for name in self.current.config.host_by_name
        ]

    def splits(self) -> dict[str, view.SplitStatus]:
        """Return a fixed split; none before the first configuration."""
        split = view.SplitStatus(2, {'north': 40.0, 'central': 60.0})
        return {'rota-board': split} if self.current else {}

    def drains(self) -> dict[str, list[str]]:
        """Return the configured drains."""
        if self.current is None:
            return {}
        return {
            name: ['configuration']
            for name in self.current.config.drain_by_name
        }

    def on_accepted(self, versioned: model.VersionedConfig) -> None:
        """Put a version in force."""
        self.accepted.append(versioned.version)
        self.current = versioned


@dataclasses.dataclass
class ServiceHarness:
    """Operator service of one host with an in-memory platform."""

    clock: clocks.Clock
    platform: memory_platform.MemoryPlatform
    daemon: MemoryDaemon
    service: service.OperatorService


def make_harness(
    host: str = 'entry-1',
    platform: memory_platform.MemoryPlatform | None = None,
) -> ServiceHarness:
    """Build a harness with a manual clock."""
    clock = clocks.ManualClock(1_700_000_000_000)
    if platform is None:
        platform = memory_platform.MemoryPlatform(clock)
    daemon = MemoryDaemon()
    return ServiceHarness(
        clock,
        platform,
        daemon,
        service.OperatorService(host, platform, daemon, clock),
    )


def request(
    change_id: str = 'change01', operator: str = 'ada'
) -> service.ChangeRequest:
    """Build a change request with a fixed identifier."""
    return service.ChangeRequest(change_id, operator)
