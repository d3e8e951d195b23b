"""Tests of the step writer with racing writers and platform faults."""

from __future__ import annotations

import collections.abc

import anyio
import pytest

from tests.steering import examples
from wigeonhatch import clock as clocks
from wigeonhatch.config import model
from wigeonhatch.standins import memory_platform
from wigeonhatch.steering import rendezvous
from wigeonhatch.steering import split
from wigeonhatch.steering import step
from wigeonhatch.steering import step_writer

SHIFTED = {'central': 42.0, 'north': 28.0, 'south': 30.0}
pytestmark = pytest.mark.anyio
WINDOW_MS = examples.WINDOW_MS


class Hosts:
    """Step writers of several hosts that share only the platform."""

    def __init__(self) -> None:
        self.clock = clocks.ManualClock()
        self.platform = memory_platform.MemoryPlatform(self.clock)
        self.config = examples.build_config()
        names = rendezvous.rank(self.config.config.host_by_name, 'step/ledger')
        self.clients = [self.platform.client() for _ in names]
        self.tables = [split.SplitTable(self.clock) for _ in names]
        self.writers = [
            step_writer.StepWriter(
                name, client, self.clock, lambda: self.config, table
            )
            for name, client, table in zip(names, self.clients, self.tables)
        ]
        for table in self.tables:
            table.configure(self.config)
            table.mark_loaded()

    async def apply(self, config: model.VersionedConfig) -> None:
        """Commit a configuration and apply it to all hosts."""
        self.config = config
        await examples.apply_config(self.platform, config)
        for table in self.tables:
            table.configure(config)

    async def start(self) -> None:
        """Store the initial split, then configure a shift."""
        await self.apply(self.config)
        await self.writers[0].poll()
        await self.apply(examples.build_config(2, SHIFTED))

    async def poll_for(self, duration_ms: int, *writers: int) -> None:
        """Poll writers at the same instants for a duration."""
        for _ in range(duration_ms // 500):
            async with anyio.create_task_group() as tasks:
                for index in writers:
                    tasks.start_soon(self.writers[index].poll)
            self.clock.advance(500)

    async def check_steps(self) -> split.StoredSplit:
        """Check that each step counts once; return the stored split."""
        steps = await examples.check_steps(self.platform, 50)
        committed = sum(writer.committed_count for writer in self.writers)
        assert committed == len(steps)
        return (await examples.read_splits(self.platform))[0]


@pytest.fixture
def anyio_backend() -> str:
    """Return the event loop that the tests use."""
    return 'asyncio'


@pytest.fixture
def hosts() -> Hosts:
    """Return hosts on a platform of their own."""
    return Hosts()


async def test_writers_at_once_commit_each_step_once(hosts: Hosts) -> None:
    """Guards against two steps in a window when writers race."""
    await hosts.start()
    writers = hosts.writers
    for writer in writers[1:]:
        writer._rank = lambda *_: 0  # type: ignore[method-assign]
    await hosts.poll_for(70_000, 0, 1, 2)
    stored = await hosts.check_steps()
    assert stored.step == 3
    assert stored.buckets == step.plan_step(stored.buckets, SHIFTED, 1_000)
    assert sum(writer.conflict_count for writer in writers) > 0


async def test_lower_ranks_leave_the_step_to_the_first(hosts: Hosts) -> None:
    """Guards against commits to the table by every host for each step."""
    await hosts.start()
    await hosts.poll_for(1_000, 0)
    for client in hosts.clients[1:]:
        client.count_by_operation.clear()
    hosts.clock.advance(WINDOW_MS + 1)
    await hosts.poll_for(500, *range(6))
    assert all(
        client.count_by_operation['commit'] == 0
        for client in hosts.clients[1:]
    )
    await hosts.check_steps()


async def test_next_rank_steps_in(hosts: Hosts) -> None:
    """Guards against a shift that stops when the first writer fails."""
    await hosts.start()
    await hosts.poll_for(60_000, 4)
    stored = await hosts.check_steps()
    assert stored.step == 3


@pytest.mark.parametrize(
    'fault', ['lost_responses', 'dropped_writes', 'stale_reads']
)
async def test_faulty_responses_of_the_table(hosts: Hosts, fault: str) -> None:
    """Guards against a step that is written twice, early or never."""
    await hosts.start()
    for count in (1, 2, 1, 3, 1, 0):
        setattr(hosts.clients[0].faults, fault, count)
        await hosts.poll_for(20_000, 0, 1)
    assert (await hosts.check_steps()).step == 3


async def test_lost_response_during_an_outage(hosts: Hosts) -> None:
    """Guards against a new step while the outcome of one is unknown."""
    await hosts.start()
    hosts.clock.advance(WINDOW_MS + 1)
    faults = hosts.clients[0].faults
    faults.lost_responses = 1
    read = hosts.clients[0].read

    async def go_down(keys: list[str]) -> object:
        if faults.lost_responses == 0:
            faults.down = True
        return await read(keys)

    hosts.clients[0].read = go_down  # type: ignore[assignment]
    await hosts.poll_for(20_000, 0)
    assert hosts.writers[0].committed_count == 1
    await hosts.poll_for(40_000, 1)
    hosts.clients[0].read = read  # type: ignore[method-assign]
    faults.down = False
    await hosts.poll_for(1_000, 0)
    await hosts.check_steps()


async def _pause_before_commit(
    hosts: Hosts,
    while_paused: collections.abc.Callable[
        [], collections.abc.Awaitable[None]
    ],
) -> None:
    await hosts.start()
    hosts.clock.advance(WINDOW_MS + 1)
    hosts.writers[0]._platform = platform = examples.PausingPlatform(
        hosts.platform
    )
    platform.pause = while_paused
    await hosts.writers[0].poll()
    assert hosts.writers[0].conflict_count == 1


async def test_paused_writer_is_fenced(hosts: Hosts) -> None:
    """Guards against a writer that repeats an old step after a pause."""
    await _pause_before_commit(hosts, lambda: hosts.poll_for(40_000, 1))
    await hosts.poll_for(20_000, 0)
    assert (await hosts.check_steps()).step == 3


async def test_change_during_a_pause_fences_the_writer(hosts: Hosts) -> None:
    """Guards against a step under a configuration that was replaced."""
    replacement = examples.build_config(3)
    await _pause_before_commit(hosts, lambda: hosts.apply(replacement))
    assert (await hosts.check_steps()).step == 0


async def test_step_follows_the_newest_configuration(hosts: Hosts) -> None:
    """Guards against a step towards shares that an operator withdrew."""
    await hosts.start()
    hosts.clock.advance(WINDOW_MS + 1)
    stale = hosts.config
    await hosts.apply(examples.build_config(3))
    hosts.config = stale
    await hosts.poll_for(20_000, *range(6))
    assert (await hosts.check_steps()).step == 0


async def test_a_cap_below_one_bucket_moves_nothing(hosts: Hosts) -> None:
    """Guards against rounding a cap up to one bucket."""
    await hosts.start()
    cap = model.Cap(percent=0.05, interval_ms=1)
    await hosts.apply(examples.build_config(3, SHIFTED, cap))
    await hosts.poll_for(30_000, 0)
    assert (await hosts.check_steps()).step == 0
