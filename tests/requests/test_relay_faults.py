"""Tests of the relay when requests crash targets or links are lost."""

from __future__ import annotations

import pytest

from tests.requests import relay_rig as rigs
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.balance import ejection
from wigeonhatch.requests import quarantine
from wigeonhatch.requests import relay as relays
from wigeonhatch.requests import relay_model
from wigeonhatch.routes import model


def _lose_requests(rig: rigs.Rig, kind: model.RequestKind) -> None:
    rig.client.steps = [rigs.LOST] * 2 * quarantine.MAX_CRASHES
    for _ in range(quarantine.MAX_CRASHES):
        rig.run(kind)
        rig.scene.clock.advance(ejection.MAX_EJECTION_MS)


@pytest.mark.parametrize('kind', list(model.RequestKind))
def test_request_that_crashes_targets_is_refused_as_not_run(
    kind: model.RequestKind,
) -> None:
    """Guards against one request that ends target after target."""
    rig = rigs.Rig()
    rig.client.has_crashed = True
    _lose_requests(rig, kind)
    count = len(rig.client.targets)
    result = rig.run(kind)
    assert rigs.refused(result) == (rigs.CODE.QUARANTINED, codes.Ran.NOT_RUN)
    assert len(rig.client.targets) == count
    assert count <= quarantine.MAX_CRASHES + 1


def test_attempt_before_a_quarantine_is_not_denied() -> None:
    """Guards against "not run" for a request whose attempts crashed targets.

    The refusal names the quarantine as the reason for no further attempt.
    """
    rig = rigs.Rig(*[rigs.LOST] * quarantine.MAX_CRASHES)
    rig.client.has_crashed = True
    for _ in range(quarantine.MAX_CRASHES - 1):
        rig.run(rigs.NON_IDEMPOTENT)
    result = rig.run()
    assert isinstance(result, relay_model.Refusal)
    assert result.failure.ran is codes.Ran.UNKNOWN
    assert 'targets crashed' in result.failure.detail


def test_lost_connections_alone_quarantine_nothing() -> None:
    """Guards against refusals of requests whose connections were reset."""
    rig = rigs.Rig()
    _lose_requests(rig, rigs.NON_IDEMPOTENT)
    rig.client.steps = [rigs.Response]
    assert isinstance(rig.run(rigs.NON_IDEMPOTENT), relay_model.Response)


def test_suspect_request_ejects_no_target() -> None:
    """Guards against a deadly request that keeps targets ejected."""
    rig = rigs.Rig(*[rigs.LOST] * quarantine.MAX_CRASHES)
    rig.client.has_crashed = True
    for _ in range(quarantine.MAX_CRASHES):
        rig.run(rigs.NON_IDEMPOTENT)
    assert not any(
        rig.scene.ejections.is_suspect(name)
        for name in rig.scene.targets.record_by_name
    )


FORWARDED = relay_model.Response(200, (rigs.SIGNED,), b'ok', '')


def _lose_links(rig: rigs.Rig) -> None:
    rig.reach.is_lost = True
    rig.forwarder.result = FORWARDED


def test_host_without_links_forwards_requests() -> None:
    """Guards against attempts over lost links while peers reach targets."""
    rig = rigs.Rig()
    _lose_links(rig)
    assert rig.run(rigs.NON_IDEMPOTENT) is FORWARDED
    assert rig.client.targets == []


def test_forwarded_request_is_not_forwarded_again() -> None:
    """Guards against requests that go round among hosts without links."""
    rig = rigs.Rig(rigs.Response)
    _lose_links(rig)
    assert isinstance(rig.run(is_forwarded=True), relay_model.Response)
    assert rig.forwarder.attempts_left == []
    assert len(rig.client.targets) == 1


def test_host_without_peers_uses_its_own_links() -> None:
    """Guards against a refusal while open connections may still work."""
    rig = rigs.Rig(rigs.Response)
    rig.reach.is_lost = True
    assert isinstance(rig.run(), relay_model.Response)


@pytest.mark.parametrize('step', [rigs.CONNECT_FAILED, rigs.LOST])
@pytest.mark.parametrize('kind', list(model.RequestKind))
@pytest.mark.parametrize('retries', [0, 1])
def test_request_moves_to_a_peer_within_its_limits(
    step: rigs.Step, kind: model.RequestKind, retries: int
) -> None:
    """Guards against a second run, and retries beyond the budget.

    The links are lost during the first attempt.
    """
    rig = rigs.Rig(step, retries=retries)
    rig.client.on_send = lambda: _lose_links(rig)
    result = rig.run(kind)
    may_have_run = step is rigs.LOST
    if not may_have_run:
        assert result is FORWARDED
        assert rig.forwarder.attempts_left == [2]
    elif kind is model.RequestKind.IDEMPOTENT and retries:
        assert result is FORWARDED
        assert rig.forwarder.attempts_left == [1]
    else:
        assert rigs.refused(result)[1] is codes.Ran.UNKNOWN
        assert rig.forwarder.attempts_left == []


@pytest.mark.parametrize('ran', list(codes.Ran))
def test_refusal_of_a_peer_reaches_the_caller(ran: codes.Ran) -> None:
    """Guards against "not run" for a request that a peer may have sent."""
    rig = rigs.Rig()
    _lose_links(rig)
    rig.forwarder.result = relay_model.Refusal(
        outcome.Failure(rigs.CODE.TARGET_LOST, '', ran), 700
    )
    result = rig.run()
    assert rigs.refused(result) == (rigs.CODE.TARGET_LOST, ran)
    assert isinstance(result, relay_model.Refusal)
    assert result.retry_after_ms == 700


def test_host_without_links_and_peers_refuses_at_once() -> None:
    """Guards against one failed connection after the other until the end."""
    rig = rigs.Rig(*[rigs.CONNECT_FAILED] * 4)
    rig.reach.is_lost = True
    _, ran = rigs.refused(rig.run())
    assert ran is codes.Ran.NOT_RUN
    assert len(rig.client.targets) == relays.MAX_CONNECT_RETRIES + 1


def test_refused_request_is_forwarded_within_the_budget() -> None:
    """Guards against a repeat at a peer that no retry budget counts."""
    rig = rigs.Rig(rigs.shed, retries=0)
    rig.client.on_send = lambda: _lose_links(rig)
    assert rigs.refused(rig.run())[0] is rigs.CODE.TARGET_SHED
    assert rig.forwarder.attempts_left == []
