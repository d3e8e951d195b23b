"""Stateful test of splits with several hosts, writers and faults."""

from __future__ import annotations

import asyncio
import collections
import dataclasses

import anyio
import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests.steering import examples
from wigeonhatch import clock as clocks
from wigeonhatch.config import model
from wigeonhatch.standins import memory_platform
from wigeonhatch.steering import limiter
from wigeonhatch.steering import split
from wigeonhatch.steering import step
from wigeonhatch.steering import step_writer

WINDOW_MS = examples.WINDOW_MS
WEIGHTS = (1, 5, 2, 9)
HOSTS = strategies.integers(0, len(WEIGHTS) - 1)


@dataclasses.dataclass
class Host:
    """One incarnation of a host and its state at the last check."""

    client: examples.PausingPlatform
    config: model.VersionedConfig
    table: split.SplitTable
    writer: step_writer.StepWriter | None = None
    is_isolated: bool = False
    previous: tuple[str, ...] | None = None
    row_version: int = 0

    @property
    def cap(self) -> int:
        """Number of buckets that may move per window on this host."""
        service = self.config.config.service_by_name['ledger']
        return limiter.buckets_per_window(service.shift_cap)


class SplitMachine(stateful.RuleBasedStateMachine):
    """Random sequences of changes, polls, pauses, faults and restarts."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner()
        self.clock = clocks.ManualClock()
        self.platform = memory_platform.MemoryPlatform(self.clock)
        self.newest = examples.build_config()
        self.moves: list[tuple[int, int, int]] = []
        self.caps: list[tuple[int, int]] = []
        self.applied: list[tuple[int, int]] = [(0, 1)]
        self.runner.run(examples.apply_config(self.platform, self.newest))
        self.hosts = [self.start(index) for index in range(len(WEIGHTS))]

    def start(self, index: int) -> Host:
        """Start a host with the configuration and splits of the platform."""
        client = examples.PausingPlatform(self.platform)
        host = Host(client, self.newest, split.SplitTable(self.clock))
        name = sorted(self.newest.config.host_by_name)[index]
        host.writer = step_writer.StepWriter(
            name, client, self.clock, lambda: host.config, host.table
        )
        host.table.configure(host.config)
        for stored in self.runner.run(examples.read_splits(self.platform)):
            host.table.offer(stored)
        host.table.mark_loaded()
        return host

    @stateful.rule(
        weights=strategies.tuples(*[strategies.integers(0, 9)] * 3).filter(
            any
        ),
        percent=strategies.sampled_from([10.0, 25.0, 50.0]),
        reached=strategies.sets(HOSTS),
    )
    def apply(
        self, weights: tuple[int, ...], percent: float, reached: set[int]
    ) -> None:
        """Change shares and cap; only some hosts receive the new version."""
        shares = dict(zip(examples.REGIONS, map(float, weights)))
        cap = model.Cap(percent=percent, interval_ms=examples.INTERVAL_MS)
        version = self.newest.version + 1
        self.newest = examples.build_config(version, shares, cap)
        self.applied.append((self.clock.now_ms, version))
        self.runner.run(examples.apply_config(self.platform, self.newest))
        for index in reached:
            self.hosts[index].config = self.newest
            self.hosts[index].table.configure(self.newest)

    @stateful.rule(one=HOSTS, other=HOSTS)
    def exchange(self, one: int, other: int) -> None:
        """Exchange configuration and splits between two hosts."""
        pair = [self.hosts[one], self.hosts[other]]
        if any(host.is_isolated for host in pair):
            return
        newest = max(
            (host.config for host in pair), key=lambda item: item.version
        )
        for host, peer in (pair, pair[::-1]):
            host.config = newest
            host.table.configure(newest)
            stored = peer.table.stored('ledger')
            if stored is not None:
                host.table.offer(stored)

    @stateful.rule(
        polling=strategies.sets(HOSTS, min_size=1),
        duration_ms=strategies.sampled_from([500, 4_000, 16_000, 40_000]),
    )
    def poll(self, polling: set[int], duration_ms: int) -> None:
        """Run some writers concurrently; the other hosts are stopped."""

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                for index in polling:
                    tasks.start_soon(self.run_host, self.hosts[index], end_ms)
                while self.clock.now_ms < end_ms + 2 * WINDOW_MS:
                    for _ in range(20):
                        await anyio.lowlevel.checkpoint()
                    self.observe()
                    if self.clock.now_ms >= end_ms and len(polling) == (
                        self.finished
                    ):
                        return
                    self.clock.advance(250)

        self.finished = 0
        end_ms = self.clock.now_ms + duration_ms
        self.runner.run(run())

    async def run_host(self, host: Host, end_ms: int) -> None:
        """Poll and advance one host until a time."""
        assert host.writer is not None
        while self.clock.now_ms < end_ms:
            await host.writer.poll()
            host.table.advance()
            before_ms = self.clock.now_ms
            while self.clock.now_ms == before_ms:
                await anyio.lowlevel.checkpoint()
        self.finished += 1

    @stateful.rule(
        index=HOSTS,
        fault=strategies.sampled_from(
            ['lost_responses', 'dropped_writes', 'stale_reads']
        ),
        count=strategies.integers(0, 3),
    )
    def fail(self, index: int, fault: str, count: int) -> None:
        """Set a platform fault for the client of one host."""
        setattr(self.hosts[index].client.faults, fault, count)

    @stateful.rule(index=HOSTS, pause_ms=strategies.integers(1, WINDOW_MS))
    def pause(self, index: int, pause_ms: int) -> None:
        """Pause a writer right before its next commit."""

        async def wait() -> None:
            end_ms = self.clock.now_ms + pause_ms
            while self.clock.now_ms < end_ms:
                await anyio.lowlevel.checkpoint()

        self.hosts[index].client.pause = wait

    @stateful.rule(index=HOSTS, is_isolated=strategies.booleans())
    def isolate(self, index: int, is_isolated: bool) -> None:
        """Isolate a host from the platform and its peers, or reconnect it."""
        self.hosts[index].is_isolated = is_isolated
        self.hosts[index].client.faults.down = is_isolated

    @stateful.rule(index=HOSTS)
    def restart(self, index: int) -> None:
        """Restart a host that can reach the platform."""
        if not self.hosts[index].is_isolated:
            self.hosts[index] = self.start(index)

    @stateful.invariant()
    def observe(self) -> None:
        """Check the moves of each host since the last call against its cap."""
        now_ms = self.clock.now_ms
        self.caps.append((now_ms, max(host.cap for host in self.hosts)))
        for index, host in enumerate(self.hosts):
            assert host.table.violations == 0
            stored = host.table.stored('ledger')
            version = stored.row_version if stored else 0
            assert version >= host.row_version
            host.row_version = version
            buckets = host.table.in_force('ledger')
            assert buckets is not None
            moved = sum(
                old != new
                for old, new in zip(host.previous or buckets, buckets)
            )
            host.previous = buckets
            if not moved:
                continue
            self.moves.append((now_ms, index, moved))
            recent = [
                count
                for moved_ms, host_index, count in self.moves
                if host_index == index and now_ms - moved_ms <= WINDOW_MS
            ]
            assert sum(recent) <= host.cap, self.moves
        weighted = sum(
            WEIGHTS[index] * count
            for moved_ms, index, count in self.moves
            if now_ms - moved_ms <= WINDOW_MS
        )
        cap = max(
            cap for at_ms, cap in self.caps if now_ms - at_ms <= WINDOW_MS
        )
        assert weighted <= cap * sum(WEIGHTS)

    def teardown(self) -> None:
        """End all faults and check that every host reaches the shares."""
        for index, host in enumerate(self.hosts):
            self.isolate(index, False)
            host.client.faults = memory_platform.Faults()
            host.client.pause = None
            host.config = self.newest
            host.table.configure(self.newest)
        shares = self.newest.config.service_by_name['ledger'].share_by_region
        expected = collections.Counter(step.allocate_buckets(shares))
        for _ in range(40):
            if all(
                collections.Counter(host.table.in_force('ledger')) == expected
                and not host.table.count_pending('ledger')
                for host in self.hosts
            ):
                break
            self.poll({0, 1}, WINDOW_MS // 2)
            for index in range(1, len(self.hosts)):
                self.exchange(0, index)
            for host in self.hosts:
                host.table.advance()
            self.observe()
        else:
            raise AssertionError('the split did not reach the shares')
        for row, audit in self.runner.run(
            examples.check_steps(self.platform, 500)
        ):
            assert audit.config_version >= max(
                version
                for at_ms, version in self.applied
                if at_ms < row.committed_ms
            )
        self.runner.close()


class TestSplit(SplitMachine.TestCase):
    """Guards against moves above the cap in any sequence of faults.

    Also guards against steps that are committed twice or out of order, and
    against a shift that does not complete once the faults end.
    """

    settings = hypothesis.settings(
        derandomize=True,
        deadline=None,
        max_examples=30,
        stateful_step_count=30,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
