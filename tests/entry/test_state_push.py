"""Tests of sending state to hosts that are behind."""

from __future__ import annotations

import random

import anyio
import pytest

from tests import virtual_time
from wigeonhatch import decoding
from wigeonhatch.entry import state_push
from wigeonhatch.peers import state_link
from wigeonhatch.peers import state_parts

TOPIC = state_push.CONFIG_TOPIC
CONTENT = b'{"version": "r7"}'


class _Rig:
    """Sender with one peer; records what it sends and takes."""

    def __init__(self, version: int = 7, content: bytes = CONTENT) -> None:
        self.versions = {TOPIC: version, 'op': 3}
        self.content = content
        self.sent: list[tuple[str, list[bytes]]] = []
        self.reads: list[tuple[str, int]] = []
        self.taken: list[tuple[str, bytes]] = []
        self.push = state_push.StatePush(
            lambda: self.versions,
            state_push.Actions(
                lambda ip, datagrams: self.sent.append((ip, list(datagrams))),
                self._read,
                self._take,
            ),
            virtual_time.VirtualClock(),
            random.Random(1),
        )

    def _read(self, topic: str, after: int) -> bytes:
        self.reads.append((topic, after))
        return self.content

    def _take(self, topic: str, content: bytes) -> None:
        if content == b'malformed':
            raise decoding.DecodeError('malformed')
        self.taken.append((topic, content))

    def announce(self, version: int, op_version: int = 3) -> None:
        """Receive a state of the peer."""
        report = state_link.HostReport(
            True, True, 0, 1.0, version, {'op': op_version}
        )
        self.push.on_peer_state(
            state_link.HostState(
                'h2', 1, 1, 'a1', 'a', '10.0.0.2:80', report, {}
            )
        )

    async def run_for(self, duration_ms: int) -> None:
        """Let the sender run."""
        with anyio.move_on_after(duration_ms / 1_000):
            await self.push.run()


@pytest.mark.parametrize(
    ('announced', 'is_sent'), [(0, False), (6, True), (7, False), (8, False)]
)
def test_only_hosts_that_are_behind_are_sent_something(
    announced: int, is_sent: bool
) -> None:
    """Guards against datagrams to hosts that need none.

    A host without any configuration would serve without its targets.
    """

    async def scenario() -> None:
        rig = _Rig()
        rig.announce(announced)
        await rig.run_for(3 * state_push.PROPAGATION_MS)
        assert bool(rig.sent) is is_sent
        if is_sent:
            expected = state_parts.split(TOPIC, 7, CONTENT)
            assert rig.sent[0] == ('10.0.0.2', expected)

    virtual_time.run(scenario)


def test_rows_are_sent_from_the_version_that_the_host_has() -> None:
    """Guards against a host that gets only configurations, or whole tables."""

    async def scenario() -> None:
        rig = _Rig()
        rig.announce(7, op_version=2)
        await rig.run_for(2 * state_push.PROPAGATION_MS)
        assert set(rig.reads) == {('op', 2)}
        assert rig.sent[0][1] == state_parts.split('op', 3, CONTENT)

    virtual_time.run(scenario)


def test_change_has_time_to_spread_before_it_is_sent() -> None:
    """Guards against each change being sent to all hosts."""

    async def scenario() -> None:
        rig = _Rig(version=6)
        rig.announce(6)
        await rig.run_for(2 * state_push.PROPAGATION_MS)
        rig.versions = rig.versions | {TOPIC: 7}
        await rig.run_for(state_push.PROPAGATION_MS - 1)
        assert rig.sent == []
        rig.announce(7)
        await rig.run_for(2 * state_push.PROPAGATION_MS)
        assert rig.sent == []

    virtual_time.run(scenario)


def test_host_that_has_gone_is_sent_nothing() -> None:
    """Guards against datagrams to hosts that will never take them."""

    async def scenario() -> None:
        rig = _Rig()
        rig.announce(6)
        await rig.run_for(state_push.SILENCE_MS + 1_000)
        count = len(rig.sent)
        assert count
        await rig.run_for(state_push.SILENCE_MS)
        assert len(rig.sent) == count

    virtual_time.run(scenario)


def test_large_state_is_sent_less_often() -> None:
    """Guards against a burst of datagrams that fills a narrow link."""

    async def scenario() -> None:
        parts = 8 * state_push.DATAGRAMS
        size = parts * state_parts.PART_BYTES - 100
        rig = _Rig(content=random.Random(1).randbytes(size))
        rig.announce(6)
        intervals = 60
        await rig.run_for(intervals * state_push.INTERVAL_MS)
        assert 0 < len(rig.sent) < intervals / 4

    virtual_time.run(scenario)


def test_state_that_arrives_is_taken_once_complete() -> None:
    """Guards against a state that is lost between datagrams and catalog.

    What is malformed is passed over.
    """

    async def scenario() -> None:
        rig = _Rig()
        rig.push.on_datagram(state_parts.MARKER + b'\xff')
        for content in (b'malformed', CONTENT):
            for data in state_parts.split(TOPIC, 7, content):
                rig.push.on_datagram(data)
        assert rig.taken == [(TOPIC, CONTENT)]

    virtual_time.run(scenario)
