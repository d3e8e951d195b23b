"""Tests of the operator service."""

from __future__ import annotations

import json
import random
import typing

import anyio
import msgspec
import pytest

from tests.operators import harness
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.config import head as heads
from wigeonhatch.operators import records
from wigeonhatch.operators import service as services
from wigeonhatch.platform import interface
from wigeonhatch.standins import memory_platform

RACE_COUNT = 100


def _files_with_slots(slots: int) -> dict[str, bytes]:
    patch = {'service_by_name': {'rota-board': {'slots': slots}}}
    return {
        **harness.example_files(),
        '90-edit.json': json.dumps(patch).encode(),
    }


def _accepted(result: object) -> services.Accepted:
    assert isinstance(result, outcome.Success), result
    value = result.value
    assert isinstance(value, services.Accepted)
    return value


async def _rows(
    platform: memory_platform.MemoryPlatform, prefix: str
) -> dict[str, typing.Any]:
    result = await platform.client().scan(prefix)
    assert isinstance(result, interface.ReadResult)
    return {
        key: msgspec.json.decode(row.value)
        for key, row in result.row_by_key.items()
    }


class _FaultyClient:
    """Client of a shared table that injects random faults per call."""

    def __init__(
        self, table: memory_platform.MemoryPlatform, rng: random.Random
    ) -> None:
        self._client = table.client()
        self._rng = rng

    def __getattr__(self, name: str) -> typing.Any:
        faults = self._client.faults
        sample = self._rng.random()
        faults.lost_responses = int(sample < 0.3)
        faults.dropped_writes = int(sample > 0.7)
        faults.stale_reads = self._rng.choice((0, 0, 1))
        faults.delay_ms = self._rng.choice((0, 1, 2))
        return getattr(self._client, name)


async def _race(seed: int) -> str:
    rng = random.Random(seed)
    table = memory_platform.MemoryPlatform()
    setup = harness.make_harness(platform=table)
    await setup.service.apply(
        harness.request('setup000'), _files_with_slots(5)
    )
    hosts = []
    for name in ('entry-1', 'entry-2'):
        client: typing.Any = _FaultyClient(table, rng)
        host = harness.make_harness(name, client)
        host.daemon.current = setup.daemon.current
        hosts.append(host)
    results: dict[str, typing.Any] = {}

    async def apply(
        host: harness.ServiceHarness, change_id: str, slots: int
    ) -> None:
        results[change_id] = await host.service.apply(
            harness.request(change_id, change_id), _files_with_slots(slots), 1
        )

    async with anyio.create_task_group() as group:
        group.start_soon(apply, hosts[0], 'left0000', 6)
        group.start_soon(apply, hosts[1], 'right000', 7)
    winners = {}
    for change_id, result in results.items():
        if isinstance(result, outcome.Success):
            winners[_accepted(result).change_id] = change_id
        elif result.code is codes.ResultCode.CONFLICT:
            other = 'right000' if change_id == 'left0000' else 'left0000'
            assert f'by {other}' in result.detail
            assert 'service_by_name.rota-board.slots: 5 -> ' in result.detail
        else:
            # The only other valid outcome is a write without effect.
            assert result.code is codes.ResultCode.PLATFORM_UNAVAILABLE
            assert result.ran is codes.Ran.NOT_RUN
    assert len(winners) <= 1
    audit = await _rows(table, 'audit/')
    assert [row['change_id'] for row in audit.values()][1:] == list(winners)
    head = (await _rows(table, 'config/head'))[heads.HEAD_KEY]
    assert head['version'] == len(audit)
    content = await table.get_object(heads.OBJECT_PREFIX + head['change_id'])
    assert isinstance(content, bytes)
    assert heads.compute_digest(content) == head['digest']
    slots = json.loads(content)['service_by_name']['rota-board']['slots']
    expected = {'left0000': 6, 'right000': 7}
    assert slots == next(
        (expected[change_id] for change_id in winners.values()), 5
    )
    return next(iter(winners.values()), '')


def test_concurrent_applies_accept_at_most_one_change() -> None:
    """Guards against lost, mixed or doubly accepted versions.

    Two operators apply different files to the same base version while
    responses and writes are lost and reads are stale.
    """

    async def run() -> set[str]:
        return {await _race(seed) for seed in range(RACE_COUNT)}

    # Both sides win at least once, so the applies do overlap.
    assert anyio.run(run) >= {'left0000', 'right000'}


@pytest.mark.parametrize('fault', ['lost_responses', 'dropped_writes'])
def test_unknown_writes_are_resolved_by_reading(fault: str) -> None:
    """Guards against accepting a change twice if its response is lost."""

    async def run() -> None:
        host = harness.make_harness()
        setattr(host.platform.faults, fault, 2)
        result = await host.service.apply(
            harness.request(), harness.example_files()
        )
        assert _accepted(result).version == 1
        audit = await _rows(host.platform, 'audit/')
        assert list(audit) == ['audit/00000001']
        assert host.daemon.accepted == [1]

    anyio.run(run)


def test_a_delayed_commit_does_not_take_effect() -> None:
    """Guards against a commit that is accepted after it was fenced."""

    class DelayedCommitPlatform(memory_platform.MemoryPlatform):
        delayed: typing.Any = None

        async def commit(
            self,
            checks: list[interface.Check],
            writes: list[interface.Write],
        ) -> interface.CommitResult:
            keys = [write.key for write in writes]
            if heads.HEAD_KEY in keys and self.delayed is None:
                self.delayed = (checks, writes)
                return interface.Unknown('late')
            return await super().commit(checks, writes)

    async def run() -> None:
        platform = DelayedCommitPlatform()
        host = harness.make_harness(platform=platform)
        result = await host.service.apply(
            harness.request(), harness.example_files()
        )
        assert _accepted(result).change_id == 'change01.2'
        late = await platform.commit(*platform.delayed)
        assert isinstance(late, interface.Conflict)
        refused = await _rows(platform, 'refused/')
        assert list(refused) == ['refused/change01']

    anyio.run(run)


def test_unreachable_platform_leaves_the_outcome_unknown() -> None:
    """Guards against a definite outcome for a write that is unresolved."""

    class UnreachablePlatform(memory_platform.MemoryPlatform):
        async def commit(
            self,
            checks: list[interface.Check],
            writes: list[interface.Write],
        ) -> interface.CommitResult:
            if writes:
                self.faults.down = True
                return interface.Unknown('time limit')
            return await super().commit(checks, writes)

    async def run() -> None:
        host = harness.make_harness(platform=UnreachablePlatform())
        result = await host.service.apply(
            harness.request(), harness.example_files()
        )
        assert isinstance(result, outcome.Failure)
        assert result.code is codes.ResultCode.PLATFORM_UNKNOWN
        assert 'change01' in result.detail
        assert host.daemon.accepted == []

    anyio.run(run)


def test_refused_changes_are_recorded_with_the_faulty_file() -> None:
    """Guards against refusals that are missing from the audit trail."""

    async def run() -> None:
        host = harness.make_harness()
        result = await host.service.apply(
            harness.request(), _files_with_slots(-1)
        )
        assert isinstance(result, outcome.Failure)
        assert result.code is codes.ResultCode.CONFIG_INVALID
        refused = await _rows(host.platform, 'refused/')
        record = refused['refused/change01']
        assert record['operator'] == 'ada'
        assert record['reason'].startswith('90-edit.json: service_by_name.')
        assert await _rows(host.platform, 'config/') == {}

    anyio.run(run)


def test_equal_files_create_no_version() -> None:
    """Guards against a new version without differences."""

    async def run() -> None:
        host = harness.make_harness()
        files = harness.example_files()
        await host.service.apply(harness.request('first000'), files)
        repeated = await host.service.apply(harness.request('second00'), files)
        assert _accepted(repeated) == services.Accepted(1, '', False)

    anyio.run(run)


def test_drain_is_retried_on_a_newer_version() -> None:
    """Guards against concurrent changes that overwrite each other."""

    async def run() -> None:
        table = memory_platform.MemoryPlatform()
        first = harness.make_harness('entry-1', table)
        await first.service.apply(
            harness.request('setup000'), _files_with_slots(5)
        )
        second = harness.make_harness('entry-2', table.client())
        async with anyio.create_task_group() as group:
            for number in range(4):
                host = (first, second)[number % 2]
                group.start_soon(
                    host.service.drain,
                    harness.request(f'drain00{number}'),
                    f'rota-board-{number + 1}',
                )
        applied = await first.service.apply(
            harness.request('apply000'), _files_with_slots(6)
        )
        assert _accepted(applied).version == 6
        assert first.daemon.current is not None
        drains = first.daemon.current.config.drain_by_name
        assert sorted(drains) == [f'rota-board-{n}' for n in (1, 2, 3, 4)]
        undrained = await first.service.undrain(
            harness.request('undrain0'), 'rota-board-2'
        )
        assert _accepted(undrained).version == 7
        assert 'rota-board-2' not in first.daemon.current.config.drain_by_name
        unknown = await first.service.drain(harness.request('unknown0'), '1e5')
        assert isinstance(unknown, outcome.Failure)
        assert unknown.code is codes.ResultCode.UNKNOWN_NAME

    anyio.run(run)


def test_confirmation_waits_for_reachable_hosts_only() -> None:
    """Guards against waiting for unreachable hosts, and early success."""

    async def run() -> None:
        host = harness.make_harness()
        await host.service.apply(harness.request(), harness.example_files())
        host.daemon.unreachable = frozenset({'entry-6'})
        done = await host.service.wait_confirmed(1, 1_000)
        assert isinstance(done, outcome.Success)
        assert done.value.unreachable == ['entry-6']
        host.daemon.lagging = frozenset({'entry-3'})
        late = await host.service.wait_confirmed(1, 1_000)
        assert isinstance(late, outcome.Failure)
        assert late.code is codes.ResultCode.NOT_CONFIRMED
        assert 'entry-3' in late.detail

    anyio.run(run)


def test_audit_lists_changes_and_shift_steps() -> None:
    """Guards against an audit trail without the steps of a shift."""

    async def run() -> None:
        host = harness.make_harness()
        await host.service.apply(harness.request(), harness.example_files())
        step = records.AuditStep('rota-board', 2, 'entry-4', 1, 40, 5)
        await host.platform.commit(
            [],
            [
                interface.Write(
                    records.step_key('rota-board', 2),
                    msgspec.json.encode(step),
                )
            ],
        )
        trail = await host.service.audit(5)
        assert isinstance(trail, outcome.Success)
        assert trail.value.steps == [step]
        (change,) = trail.value.changes
        assert (change.version, change.operator) == (1, 'ada')
        found = await host.service.find_change('change01')
        assert isinstance(found, outcome.Success)
        assert found.value.accepted == services.Accepted(1, 'change01', True)

    anyio.run(run)
