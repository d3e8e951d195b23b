"""Tests of relayed requests to targets that leave."""

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
