"""Tests of the graceful stop of a daemon with leased slots."""

from __future__ import annotations

import typing

import anyio

from wigeonhatch import clock as clocks
from wigeonhatch.config import model
from wigeonhatch.entry import stop
from wigeonhatch.requests import connection_ledger

BOUND_MS = 5_000


class DataPlane:
    """Data plane without requests that records until when it accepts some."""

    def __init__(self) -> None:
        self.in_progress = 0
        self.ends_ms: list[int] = []

    def accept_until(self, end_ms: int) -> None:
        """Record the end."""
        self.ends_ms.append(end_ms)


def test_no_request_is_accepted_after_the_last_one() -> None:
    """Guards against a request that is accepted just before the exit."""
    clock = clocks.ManualClock()
    started_ms = clock.now_ms
    data_plane = DataPlane()
    end_at_close_ms: list[int] = []

    class Server:
        """Server that closes its listener last."""

        def stop_accepting(self) -> None:
            """Record until when requests are accepted."""
            end_at_close_ms.append(data_plane.ends_ms[-1])

    anyio.run(
        stop.finish_requests,
        typing.cast(typing.Any, data_plane),
        Server(),
        connection_ledger.ConnectionLedger(),
        BOUND_MS,
        clock,
    )
    assert data_plane.ends_ms[0] > started_ms + model.LOOKUP_TTL_MS
    assert end_at_close_ms == [started_ms]
