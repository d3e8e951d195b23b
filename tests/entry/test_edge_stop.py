"""Tests of the graceful stop of an edge daemon."""

from __future__ import annotations

import collections.abc
import logging

import anyio
import pytest

from wigeonhatch import clock as clocks
from wigeonhatch.entry import edge_stop
from wigeonhatch.requests import connection_ledger

GRACE_MS = 6_000
TTL_MS = 2_000
POLLS_MS = 60
Stage = connection_ledger.Stage


class Application:
    """Application with a request that ends at a time."""

    def __init__(self, clock: clocks.Clock, ends_ms: int = 0) -> None:
        self.end_ms: int | None = None
        self._clock = clock
        self._ends_ms = clock.now_ms + ends_ms

    @property
    def in_progress(self) -> int:
        """One request until its end."""
        return int(self._clock.now_ms < self._ends_ms)


class Connection:
    """Connection whose response has been sent at a time."""

    def __init__(self, clock: clocks.Clock, sent_ms: int) -> None:
        self._clock = clock
        self._sent_ms = clock.now_ms + sent_ms

    def describe_exchange(self) -> connection_ledger.Exchange:
        """Response in the buffer until it was sent."""
        if self._clock.now_ms < self._sent_ms:
            return connection_ledger.Exchange(Stage.SENDING, 'r1', 10)
        return connection_ledger.Exchange(Stage.IDLE)


class Server:
    """Server that records when it stops to accept connections."""

    def __init__(self, clock: clocks.Clock) -> None:
        self.closed_ms = 0
        self._clock = clock

    def stop_accepting(self) -> None:
        """Record the time."""
        self.closed_ms = self._clock.now_ms


async def _leave() -> None:
    pass


async def _fail() -> None:
    raise RuntimeError('unexpected')


class Scene:
    """Stop of a host with at most one request and one connection."""

    def __init__(self, ends_ms: int = 0, sent_ms: int = 0) -> None:
        self.clock = clocks.ManualClock()
        self.ledger = connection_ledger.ConnectionLedger()
        self.ledger.add(Connection(self.clock, sent_ms))
        self.application = Application(self.clock, ends_ms)
        self.server = Server(self.clock)

    def stop(
        self,
        leave: collections.abc.Callable[
            [], collections.abc.Awaitable[None]
        ] = _leave,
    ) -> int:
        """Stop; return how long it took in ms."""
        started_ms = self.clock.now_ms
        anyio.run(
            edge_stop.stop_gracefully,
            [self.application],
            [self.server],
            self.ledger,
            leave,
            TTL_MS,
            GRACE_MS,
            self.clock,
        )
        return self.clock.now_ms - started_ms


@pytest.mark.parametrize(
    'ends_ms, sent_ms', [(0, 0), (3_000, 0), (0, 3_000), (3_000, 4_000)]
)
def test_stop_ends_with_the_last_exchange(ends_ms: int, sent_ms: int) -> None:
    """Guards against a stop that ends before a response has been sent."""
    scene = Scene(ends_ms, sent_ms)
    expected_ms = max(TTL_MS, ends_ms, sent_ms)
    assert expected_ms <= scene.stop() <= expected_ms + 2 * POLLS_MS
    assert scene.server.closed_ms


def test_stop_leaves_time_to_exit(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a stop that lasts until the forced termination.

    What it cuts is logged.
    """
    caplog.set_level(logging.INFO)
    took_ms = Scene(ends_ms=9_000, sent_ms=9_000).stop()
    assert took_ms <= GRACE_MS - edge_stop.EXIT_MARGIN_MS + POLLS_MS
    records = [vars(record) for record in caplog.records]
    assert [
        record['event_fields']
        for record in records
        if record['msg'] == 'exchange cut'
    ] == [{'request_id': 'r1', 'stage': 'sending', 'unsent_bytes': 10}]


def test_error_of_the_deregistration_interrupts_nothing() -> None:
    """Guards against an error that ends the stop and all requests at once."""
    assert Scene(ends_ms=3_000).stop(_fail) >= 3_000
