"""Random histories of several hosts, writers, operators and faults."""

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
    """One incarnation of a host and the moves that it made."""

    client: examples.PausingPlatform
    config: model.VersionedConfig
    table: split.SplitTable
    writer: step_writer.StepWriter | None = None
    is_alone: bool = False
    before: tuple[str, ...] | None = None
    row_version: int = 0

    @property
    def cap(self) -> int:
        """Cap in force on this host, in buckets."""
        service = self.config.config.service_by_name['ledger']
        return limiter.buckets_per_window(service.shift_cap)


class SplitMachine(stateful.RuleBasedStateMachine):
    """Histories in which hosts, writers, operators and the platform fail."""

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
        self.hosts = [self.start(at) for at in range(len(WEIGHTS))]

    def start(self, at: int) -> Host:
        """Start a host with the configuration and splits of the platform."""
        client = examples.PausingPlatform(self.platform)
        host = Host(client, self.newest, split.SplitTable(self.clock))
        name = sorted(self.newest.config.host_by_name)[at]
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
        """Let an operator change shares and cap; some hosts learn of it."""
        shares = dict(zip(examples.REGIONS, map(float, weights)))
        cap = model.Cap(percent=percent, interval_ms=examples.INTERVAL_MS)
        version = self.newest.version + 1
        self.newest = examples.build_config(version, shares, cap)
        self.applied.append((self.clock.now_ms, version))
        self.runner.run(examples.apply_config(self.platform, self.newest))
        for at in reached:
            self.hosts[at].config = self.newest
            self.hosts[at].table.configure(self.newest)

    @stateful.rule(one=HOSTS, other=HOSTS)
    def exchange(self, one: int, other: int) -> None:
        """Let two hosts exchange configuration and splits."""
        pair = [self.hosts[one], self.hosts[other]]
        if any(host.is_alone for host in pair):
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
        """Let some writers run at once; the other hosts are stopped."""

        async def run() -> None:
            async with anyio.create_task_group() as tasks:
                for at in polling:
                    tasks.start_soon(self.run_host, self.hosts[at], end_ms)
                while self.clock.now_ms < end_ms + 2 * WINDOW_MS:
                    for _ in range(20):
                        await anyio.lowlevel.checkpoint()
                    self.observe()
                    if self.clock.now_ms >= end_ms and len(polling) == (
                        self.done
                    ):
                        return
                    self.clock.advance(250)

        self.done = 0
        end_ms = self.clock.now_ms + duration_ms
        self.runner.run(run())

    async def run_host(self, host: Host, end_ms: int) -> None:
        """Poll and advance until a time."""
        assert host.writer is not None
        while self.clock.now_ms < end_ms:
            await host.writer.poll()
            host.table.advance()
            before_ms = self.clock.now_ms
            while self.clock.now_ms == before_ms:
                await anyio.lowlevel.checkpoint()
        self.done += 1

    @stateful.rule(
        at=HOSTS,
        fault=strategies.sampled_from(
            ['lost_responses', 'dropped_writes', 'stale_reads']
        ),
        count=strategies.integers(0, 3),
    )
    def fail(self, at: int, fault: str, count: int) -> None:
        """Set a fault of the platform as one host sees it."""
        setattr(self.hosts[at].client.faults, fault, count)

    @stateful.rule(at=HOSTS, pause_ms=strategies.integers(1, WINDOW_MS))
    def pause(self, at: int, pause_ms: int) -> None:
        """Make a writer pause right before its next write."""

        async def wait() -> None:
            end_ms = self.clock.now_ms + pause_ms
            while self.clock.now_ms < end_ms:
                await anyio.lowlevel.checkpoint()

        self.hosts[at].client.pause = wait

    @stateful.rule(at=HOSTS, is_alone=strategies.booleans())
    def isolate(self, at: int, is_alone: bool) -> None:
        """Cut a host off from the platform and the peers, or end that."""
        self.hosts[at].is_alone = is_alone
        self.hosts[at].client.faults.down = is_alone

    @stateful.rule(at=HOSTS)
    def restart(self, at: int) -> None:
        """Replace a host that can reach the platform."""
        if not self.hosts[at].is_alone:
            self.hosts[at] = self.start(at)

    @stateful.invariant()
    def observe(self) -> None:
        """Compare what each host did since the last look with its cap."""
        now_ms = self.clock.now_ms
        self.caps.append((now_ms, max(host.cap for host in self.hosts)))
        for at, host in enumerate(self.hosts):
            assert host.table.violations == 0
            stored = host.table.stored('ledger')
            version = stored.row_version if stored else 0
            assert version >= host.row_version
            host.row_version = version
            buckets = host.table.in_force('ledger')
            assert buckets is not None
            moved = sum(
                old != new for old, new in zip(host.before or buckets, buckets)
            )
            host.before = buckets
            if not moved:
                continue
            self.moves.append((now_ms, at, moved))
            recent = [
                count
                for at_ms, who, count in self.moves
                if who == at and now_ms - at_ms <= WINDOW_MS
            ]
            assert sum(recent) <= host.cap, self.moves
        weighted = sum(
            WEIGHTS[at] * count
            for at_ms, at, count in self.moves
            if now_ms - at_ms <= WINDOW_MS
        )
        cap = max(
            cap for at_ms, cap in self.caps if now_ms - at_ms <= WINDOW_MS
        )
        assert weighted <= cap * sum(WEIGHTS)

    def teardown(self) -> None:
        """End all failures and expect the operator's shares everywhere."""
        for at, host in enumerate(self.hosts):
            self.isolate(at, False)
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
            for at in range(1, len(self.hosts)):
                self.exchange(0, at)
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
    """Guards against moves above a cap in any order of failures.

    Also guards against steps that are committed twice or out of order, and
    against a shift that does not end once the failures end.
    """

    settings = hypothesis.settings(
        derandomize=True,
        deadline=None,
        max_examples=30,
        stateful_step_count=30,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
