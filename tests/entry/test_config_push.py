"""Tests of sending configurations to hosts that are behind."""

from __future__ import annotations

import random

import anyio
import pytest

from tests import virtual_time
from wigeonhatch.entry import config_push
from wigeonhatch.peers import config_parts
from wigeonhatch.peers import state_link

CONTENT = b'{"version": "r7"}'


class _Rig:
    """Sender with one peer; records what it sends and applies."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, list[bytes]]] = []
        self.applied: list[bytes] = []
        self.push = config_push.ConfigPush(
            lambda ip, datagrams: self.sent.append((ip, list(datagrams))),
            self.applied.append,
            virtual_time.VirtualClock(),
            random.Random(1),
        )

    def announce(self, version: int) -> None:
        """Receive a state of the peer."""
        report = state_link.HostReport(True, True, 0, 1.0, version, {})
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
def test_only_hosts_with_an_older_configuration_get_it(
    announced: int, is_sent: bool
) -> None:
    """Guards against datagrams to hosts that need none.

    A host without any configuration would serve without its targets.
    """

    async def scenario() -> None:
        rig = _Rig()
        rig.push.on_config(7, CONTENT)
        rig.announce(announced)
        await rig.run_for(3 * config_push.PROPAGATION_MS)
        assert bool(rig.sent) is is_sent
        if is_sent:
            expected = config_parts.split(7, CONTENT)
            assert rig.sent[0] == ('10.0.0.2', expected)

    virtual_time.run(scenario)


def test_change_has_time_to_spread_before_it_is_sent() -> None:
    """Guards against each change being sent to all hosts."""

    async def scenario() -> None:
        rig = _Rig()
        rig.push.on_config(6, CONTENT)
        rig.announce(6)
        await rig.run_for(2 * config_push.PROPAGATION_MS)
        rig.push.on_config(7, CONTENT)
        await rig.run_for(config_push.PROPAGATION_MS - 1)
        assert rig.sent == []
        rig.announce(7)
        await rig.run_for(2 * config_push.PROPAGATION_MS)
        assert rig.sent == []

    virtual_time.run(scenario)


def test_host_that_has_gone_is_sent_nothing() -> None:
    """Guards against datagrams to hosts that will never take them."""

    async def scenario() -> None:
        rig = _Rig()
        rig.announce(6)
        rig.push.on_config(7, CONTENT)
        await rig.run_for(config_push.SILENCE_MS + 1_000)
        count = len(rig.sent)
        assert count
        await rig.run_for(config_push.SILENCE_MS)
        assert len(rig.sent) == count

    virtual_time.run(scenario)


def test_parts_that_arrive_are_applied_once_complete() -> None:
    """Guards against a configuration that is lost on its way to the catalog.

    A malformed part is passed over.
    """

    async def scenario() -> None:
        rig = _Rig()
        rig.push.on_datagram(config_parts.MARKER + b'\xff')
        for data in config_parts.split(7, CONTENT):
            rig.push.on_datagram(data)
        assert rig.applied == [CONTENT]

    virtual_time.run(scenario)
