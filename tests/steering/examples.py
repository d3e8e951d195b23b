"""Configurations and fakes for the tests of steering."""

from __future__ import annotations

import collections.abc
import dataclasses

import msgspec

from wigeonhatch.config import head as heads
from wigeonhatch.config import model
from wigeonhatch.platform import interface
from wigeonhatch.standins import memory_platform
from wigeonhatch.steering import split
from wigeonhatch.steering import step_writer

INTERVAL_MS = 10_000
WINDOW_MS = INTERVAL_MS + model.LOOKUP_TTL_MS
REGIONS = ('central', 'north', 'south')


def build_config(
    version: int = 1,
    shares: dict[str, float] | None = None,
    cap: model.Cap | None = None,
    failover_cap: model.Cap | None = None,
) -> model.VersionedConfig:
    """Build a configuration with two hosts and targets per region."""
    domains = [f'{region}-{number}' for region in REGIONS for number in (1, 2)]
    service = model.Service(
        slots=5,
        connections=50,
        share_by_region=shares
        or {'central': 30.0, 'north': 40.0, 'south': 30.0},
        shift_cap=cap or model.Cap(percent=5.0, interval_ms=INTERVAL_MS),
        failover_cap=failover_cap,
    )
    config = model.SteeringConfig(
        region_by_name={
            region: model.Region(domains=[f'{region}-1', f'{region}-2'])
            for region in REGIONS
        },
        host_by_name={
            f'host-{domain}': model.Host(
                domain, *(f'127.0.0.{index}:{port}' for port in (1, 2, 3))
            )
            for index, domain in enumerate(domains, 1)
        },
        service_by_name={'ledger': service},
        target_by_name={
            f'ledger-{domain}': model.Target(
                'ledger', domain, f'127.0.0.1:{100 + index}'
            )
            for index, domain in enumerate(domains)
        },
    )
    return model.VersionedConfig(version, f'change-{version}', config, {})


class PausingPlatform(memory_platform.MemoryPlatform):
    """Platform client that can pause before its next commit.

    Args:
        platform: Platform whose data the client shares.
    """

    def __init__(self, platform: memory_platform.MemoryPlatform) -> None:
        self.__dict__.update(platform.client().__dict__)
        self.pause: (
            collections.abc.Callable[[], collections.abc.Awaitable[None]]
            | None
        ) = None

    async def commit(
        self, checks: list[interface.Check], writes: list[interface.Write]
    ) -> interface.CommitResult:
        """Commit, after the pause if one is set."""
        pause, self.pause = self.pause, None
        if pause is not None:
            await pause()
        return await super().commit(checks, writes)


async def apply_config(
    platform: memory_platform.MemoryPlatform,
    versioned: model.VersionedConfig,
) -> None:
    """Commit the head row of a configuration."""
    head = {'version': versioned.version, 'change_id': versioned.change_id}
    result = await platform.commit(
        [], [interface.Write(heads.HEAD_KEY, msgspec.json.encode(head))]
    )
    assert isinstance(result, interface.Committed)


async def check_steps(
    platform: memory_platform.MemoryPlatform, cap: int
) -> list[tuple[interface.Row, step_writer.StepAudit]]:
    """Check that steps were committed once, in order and a window apart."""
    result = await platform.scan('audit-step/')
    assert isinstance(result, interface.ReadResult)
    rows = sorted(result.row_by_key.values(), key=lambda row: row.key)
    audits = [
        msgspec.json.decode(row.value, type=step_writer.StepAudit)
        for row in rows
    ]
    assert [item.step for item in audits] == list(range(len(audits)))
    assert all(item.moved <= cap for item in audits)
    assert all(row.version == 1 for row in rows)
    for before, after in zip(rows, rows[1:]):
        assert after.committed_ms - before.committed_ms > WINDOW_MS
    for stored in await read_splits(platform):
        assert stored.step == len(audits) - 1
    return list(zip(rows, audits))


async def read_splits(
    platform: memory_platform.MemoryPlatform,
) -> list[split.StoredSplit]:
    """Read the stored splits."""
    result = await platform.scan(split.KEY_PREFIX)
    assert isinstance(result, interface.ReadResult)
    return [
        split.decode(row.value, row.version).value
        for row in result.row_by_key.values()
    ]


@dataclasses.dataclass
class Load:
    """Load of a service at a host."""

    free: int
    capacity: int = 5


@dataclasses.dataclass
class Record:
    """Record of a host."""

    incarnation: int = 1
    sequence: int = 1


class FakeMembership:
    """Membership whose state is set by the tests."""

    def __init__(self, config: model.SteeringConfig) -> None:
        self.load_by_host = {name: Load(5) for name in config.host_by_name}
        self.record_by_host = {name: Record() for name in config.host_by_name}
        self.unreachable: set[str] = set()
        self.actor_by_host: dict[str, str] = {}
        self.drained: frozenset[str] = frozenset()

    def record(self, host: str) -> Record | None:
        """Return the record of a host."""
        return self.record_by_host.get(host)

    def is_reachable(self, host: str) -> bool:
        """Report whether the host is not in `unreachable`."""
        return host not in self.unreachable

    def is_serving(self, host: str) -> bool:
        """Report that every host serves."""
        return True

    def actor_for(self, host: str) -> str | None:
        """Return the host that acts for a host."""
        return self.actor_by_host.get(host)

    def load(self, host: str, service: str) -> Load | None:
        """Return the load of a host."""
        return self.load_by_host.get(host)

    def draining(self) -> frozenset[str]:
        """Return the names in `drained`."""
        return self.drained
