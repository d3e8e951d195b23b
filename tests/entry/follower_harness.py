"""Follower of a store table for tests."""

from __future__ import annotations

import random
import typing

import anyio

from tests.entry import fake_store
from wigeonhatch import clock as clocks
from wigeonhatch.entry import table_follower
from wigeonhatch.peers import row_share
from wigeonhatch.standins import row_store


class FollowerHarness:
    """Follower of a fake store; records what it reports."""

    def __init__(self) -> None:
        self.store = fake_store.FakeStore(row_store.RowStore())
        self.clock = clocks.ManualClock()
        self.snapshots: list[list[str]] = []
        self.changes: list[tuple[str, bool]] = []
        self.outages_ms: list[int] = []
        self.restores: list[int] = []
        self.peer_rows: row_share.SharedRows | None = None
        self.peer_calls: list[int] = []
        self.peer_grace_ms: list[int] = []
        self.is_reader = True
        self.follower = table_follower.TableFollower(
            typing.cast(typing.Any, self.store),
            'op',
            lambda rows: self.snapshots.append([row.key for row in rows]),
            lambda rows: self.changes.extend(
                (row.key, row.is_deleted) for row in rows
            ),
            self.outages_ms.append,
            lambda: self.restores.append(len(self.snapshots)),
            self.peer_grace_ms.append,
            lambda: self.is_reader,
            lambda: 7,
            self._fetch_from_peer,
            self.clock,
            random.Random(1),
        )

    async def _fetch_from_peer(
        self, table: str, change_version: int, after: int
    ) -> row_share.SharedRows | None:
        self.peer_calls.append(after)
        return self.peer_rows

    async def run_for(self, duration_s: float = 0.05) -> None:
        """Let the follower run."""
        with anyio.move_on_after(duration_s):
            await self.follower.run()


async def run_as_non_reader(
    harness: FollowerHarness, peer_versions: list[int], delay_s: float = 0.05
) -> None:
    """Run a follower that has read the table while another host is reader."""
    if harness.follower.cache.version is None:
        await harness.run_for()
    harness.is_reader = False
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(harness.follower.run)
        await anyio.sleep(0.02)
        for version in peer_versions:
            harness.follower.on_peer_version(version)
            await anyio.sleep(0.02)
        await anyio.sleep(delay_s)
        tasks.cancel_scope.cancel()
