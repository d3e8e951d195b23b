"""What a host sends to peers that are behind: its configuration and rows."""

from __future__ import annotations

import random

import msgspec

from wigeonhatch import clock as clocks
from wigeonhatch.entry import catalog as catalogs
from wigeonhatch.entry import fleet as fleets
from wigeonhatch.entry import state_push
from wigeonhatch.entry import store_follower
from wigeonhatch.peers import row_share
from wigeonhatch.routes import table as tables


def build_push(
    routes: tables.RouteTable,
    catalog: catalogs.Catalog,
    follower: store_follower.StoreFollower,
    fleet: fleets.Fleet,
    clock: clocks.Clock,
    rng: random.Random,
) -> state_push.StatePush:
    """Build the exchange of the configuration in force and of all tables.

    The configuration is a topic of its own, since a restored store may lack
    the one in force.

    Args:
        routes: Routes in force.
        catalog: Applies configurations.
        follower: Holds the rows of the tables.
        fleet: Sends datagrams.
        clock: Source of monotonic time.
        rng: Decides which peers send.
    """

    def read_versions() -> dict[str, int]:
        config = routes.config
        version = 0 if config is None else config.version
        return {state_push.CONFIG_TOPIC: version, **follower.changed_by_table}

    def read(topic: str, after: int) -> bytes | None:
        if topic == state_push.CONFIG_TOPIC:
            return catalog.config_content
        rows = follower.read_rows(topic, after)
        if rows is None:
            return None
        return msgspec.msgpack.encode(row_share.SentRows(after, rows))

    def take(topic: str, content: bytes) -> None:
        if topic == state_push.CONFIG_TOPIC:
            catalog.on_config_of_peer(content)
        else:
            follower.on_rows_of_peer(topic, content)

    return state_push.StatePush(
        read_versions,
        state_push.Actions(fleet.send_datagrams, read, take),
        clock,
        rng,
    )
