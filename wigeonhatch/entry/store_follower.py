"""Followers of the platform's store tables."""

from __future__ import annotations

import collections.abc
import random

import anyio.abc

from wigeonhatch import clock as clocks
from wigeonhatch import decoding
from wigeonhatch import supervision
from wigeonhatch.entry import catalog as catalogs
from wigeonhatch.entry import fleet as fleets
from wigeonhatch.entry import table_follower
from wigeonhatch.peers import row_share
from wigeonhatch.peers import state_link
from wigeonhatch.platform import names
from wigeonhatch.platform import store as stores


class StoreFollower:
    """Follow all tables of the platform's store.

    Args:
        store: Client of the store.
        catalog: Applies the rows to routes and targets.
        fleet: Peers of this host.
        clock: Clock of the host.
        rng: Source of randomness.
    """

    def __init__(
        self,
        store: stores.StoreClient,
        catalog: catalogs.Catalog,
        fleet: fleets.Fleet,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._catalog = catalog
        appliers_by_table = {
            names.OPERATOR_TABLE: (
                catalog.on_operator_snapshot,
                catalog.on_operator_changes,
            ),
            names.TARGET_TABLE: (
                catalog.on_target_snapshot,
                catalog.on_target_changes,
            ),
        }
        self._follower_by_table = {
            table: table_follower.TableFollower(
                store,
                table,
                on_snapshot,
                on_changes,
                catalog.on_store_recovered,
                catalog.on_store_restored,
                catalog.extend_grace,
                lambda: fleet.is_reader,
                fleet.count_domains,
                fleet.fetch_from_peer,
                clock,
                rng,
            )
            for table, (on_snapshot, on_changes) in appliers_by_table.items()
        }

    def start(
        self,
        tasks: anyio.abc.TaskGroup,
        supervisor: supervision.Supervisor,
    ) -> None:
        """Follow all tables until the tasks are cancelled.

        Args:
            tasks: Tasks of the daemon.
            supervisor: Starts a follower again after an error.
        """
        for table, follower in self._follower_by_table.items():
            tasks.start_soon(
                supervisor.run,
                f'follower of {table}',
                follower.run,
                follower.forget,
            )

    @property
    def is_connected(self) -> bool:
        """Whether the store answered the last call for each table."""
        return all(follower.is_connected for follower in self._followers)

    @property
    def followed_ms(self) -> int:
        """Time in ms for which this host has followed all tables itself."""
        return min(follower.followed_ms for follower in self._followers)

    @property
    def changed_by_table(self) -> dict[str, int]:
        """Store version of the newest change received, by table."""
        return {
            table: follower.cache.change_version
            for table, follower in self._follower_by_table.items()
        }

    def read_rows(self, table: str, after: int) -> row_share.SharedRows | None:
        """Select the rows of a table that a peer is missing.

        Args:
            table: Name of the table.
            after: Store version of the table that the peer holds.

        Returns:
            The rows; None if this host has not read the table.
        """
        follower = self._follower_by_table.get(table)
        if follower is None or follower.cache.version is None:
            return None
        return follower.cache.select_after(after, self._catalog.grace_left_ms)

    def on_rows_of_peer(self, table: str, content: bytes) -> None:
        """Apply rows that a peer has sent.

        Args:
            table: Name of the table.
            content: Encoded `row_share.SentRows`.

        Raises:
            DecodeError: The content is malformed.
        """
        rows = decoding.decode_msgpack(content, row_share.SentRows)
        self._follower_by_table[table].on_rows_of_peer(rows)

    def on_peer_state(self, state: state_link.HostState) -> None:
        """Compare the table versions of a peer with those of this host."""
        for table, version in state.report.changed_by_table.items():
            follower = self._follower_by_table.get(table)
            if follower is not None:
                follower.on_peer_version(version)
        self._catalog.on_peer_follow_time(state.report.followed_ms)

    @property
    def _followers(
        self,
    ) -> collections.abc.Iterable[table_follower.TableFollower]:
        return self._follower_by_table.values()
