"""Tests of relayed requests to targets that leave or ask for a pause."""

from __future__ import annotations

import pytest

from tests.requests import relay_rig as rigs
from wigeonhatch.requests import relay_model


@pytest.mark.parametrize('is_forwarded', [False, True])
def test_leaving_target_gets_no_further_request(is_forwarded: bool) -> None:
    """Guards against requests to a target that has said that it leaves.

    Also those that a peer forwards, and retries, avoid it.
    """
    rig = rigs.Rig(rigs.leaving, rigs.shed, *[rigs.Response] * 5)
    assert isinstance(rig.run(), relay_model.Response)
    for _ in range(5):
        result = rig.run(is_forwarded=is_forwarded)
        assert isinstance(result, relay_model.Response)
    first, *others = rig.client.targets
    assert first not in others


def test_departure_in_a_response_to_another_request_counts() -> None:
    """Guards against a departure that is read in usable responses only."""
    rig = rigs.Rig(
        lambda: rigs.Response(
            headers=((b'server-leaving', b'1'),), request_id=b'other'
        ),
        *[rigs.Response] * 4,
    )
    for _ in range(4):
        rig.run()
    first, *others = rig.client.targets
    assert first not in others


def test_misdirected_response_states_nothing_of_the_target() -> None:
    """Guards against a departure of whatever else has the address now."""
    rig = rigs.Rig(
        lambda: rigs.Response(421, ((b'server-leaving', b'1'),)),
        rigs.Response,
    )
    assert isinstance(rig.run(), relay_model.Response)
    assert len(rig.scene.targets.usable('board')) == 4


def test_paused_target_is_passed_over_until_its_pause_ends() -> None:
    """Guards against requests to a target that wants none from this host."""
    rig = rigs.Rig(lambda: rigs.paused(b'3'), *[rigs.Response] * 12)
    for _ in range(5):
        assert isinstance(rig.run(), relay_model.Response)
    first, *others = rig.client.targets
    assert first not in others
    rig.scene.clock.advance(3_000)
    for _ in range(3):
        assert isinstance(rig.run(), relay_model.Response)
    assert first in rig.client.targets[-3:]
    assert rig.client.closed_idle == [first]


def test_refusal_of_all_targets_tells_when_to_return() -> None:
    """Guards against callers that return before a target wants them."""
    rig = rigs.Rig(*[lambda: rigs.paused(b'9')] * 4, retries=0)
    for expected_ms in (200, 200, 200, 9_000, 9_000):
        result = rig.run()
        assert isinstance(result, relay_model.Refusal)
        assert result.retry_after_ms == expected_ms
    assert len(rig.client.targets) == 4
