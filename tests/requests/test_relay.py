"""Tests of the relay of one request, with in-memory targets."""

from __future__ import annotations

import pytest

from tests.requests import relay_rig as rigs
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.requests import relay_model
from wigeonhatch.routes import model


def test_response_is_whole_and_unchanged() -> None:
    """Guards against a response that differs from the target's."""
    rig = rigs.Rig(lambda: rigs.Response(chunks=(b'a', b'b')))
    result = rig.run()
    assert isinstance(result, relay_model.Response)
    assert (result.status, result.body) == (200, b'ab')
    assert rigs.SIGNED in result.headers
    sent = dict(rig.client.heads[0].headers)
    assert sent[b'target-instance'] == rig.client.targets[0].encode()
    assert int(sent[b'deadline-ms']) <= 2_000


@pytest.mark.parametrize('kind', list(model.RequestKind))
def test_request_that_did_not_run_is_retried(
    kind: model.RequestKind,
) -> None:
    """Guards against a refusal while another target has free slots."""
    rig = rigs.Rig(rigs.shed, rigs.Response)
    assert isinstance(rig.run(kind), relay_model.Response)
    assert len(set(rig.client.targets)) == 2


@pytest.mark.parametrize(
    'step',
    [
        rigs.LOST,
        lambda: rigs.Response(request_id=b'other'),
        lambda: rigs.Response(headers=()),
        lambda: rigs.Response(
            headers=(rigs.SIGNED, (b'content-encoding', b'gzip'))
        ),
        lambda: rigs.Response(chunks=(b'a', rigs.LOST)),
    ],
)
def test_request_that_may_have_run_is_sent_once(step: rigs.Step) -> None:
    """Guards against requests that run twice, and a false "not run"."""
    rig = rigs.Rig(step, rigs.Response)
    _, ran = rigs.refused(rig.run(rigs.NON_IDEMPOTENT))
    assert ran is not codes.Ran.NOT_RUN
    assert len(rig.client.targets) == 1


def test_idempotent_request_is_retried() -> None:
    """Guards against a failed request that a retry could have served."""
    rig = rigs.Rig(rigs.LOST, rigs.Response)
    assert isinstance(rig.run(), relay_model.Response)


def test_shed_after_an_unknown_attempt_is_unknown() -> None:
    """Guards against "not run" although the first attempt may have run."""
    rig = rigs.Rig(rigs.LOST, rigs.shed)
    _, ran = rigs.refused(rig.run())
    assert ran is not codes.Ran.NOT_RUN


def test_retries_end_with_the_budget() -> None:
    """Guards against more retries than the budget allows."""
    rig = rigs.Rig(rigs.shed, rigs.shed, rigs.shed, retries=1)
    for expected in (2, 3):
        assert rigs.refused(rig.run())[1] is codes.Ran.NOT_RUN
        assert len(rig.client.targets) == expected


def test_failed_connections_use_no_retry_budget() -> None:
    """Guards against refusals because connections to some targets fail."""
    rig = rigs.Rig(
        rigs.CONNECT_FAILED, rigs.CONNECT_FAILED, rigs.Response, retries=0
    )
    assert isinstance(rig.run(rigs.NON_IDEMPOTENT), relay_model.Response)
    assert len(set(rig.client.targets)) == 3


def test_error_response_is_returned() -> None:
    """Guards against an error response that a refusal replaces."""
    rig = rigs.Rig(lambda: rigs.Response(500), rigs.shed)
    result = rig.run()
    assert isinstance(result, relay_model.Response)
    assert result.status == 500
    rig = rigs.Rig(lambda: rigs.Response(500))
    result = rig.run(rigs.NON_IDEMPOTENT)
    assert isinstance(result, relay_model.Response)


def test_disconnect_of_the_caller_ends_the_attempt() -> None:
    """Guards against retries for callers that have disconnected."""
    rig = rigs.Rig(None, rigs.Response)
    rig.client.on_send = lambda: rig.control.on_caller_gone()
    assert rigs.refused(rig.run())[0] is rigs.CODE.CALLER_GONE
    assert len(rig.client.targets) == 1


def test_full_service_refuses_at_once() -> None:
    """Guards against requests that wait although no target can serve them."""
    rig = rigs.Rig()
    rig.scene.loads.on_report('h2', {f't{n}': 40 for n in range(4)})
    code, ran = rigs.refused(rig.run())
    assert (code, ran) == (rigs.CODE.NO_CAPACITY, codes.Ran.NOT_RUN)
    assert rig.client.targets == []


def test_unresponsive_target_is_replaced() -> None:
    """Guards against waits for a dead target until the deadline."""
    rig = rigs.Rig(None, rigs.Response)
    rig.scene.loads.record_duration('board', True, 10)
    rig.client.on_send = lambda: rig.scene.clock.advance(450)
    assert isinstance(rig.run(), relay_model.Response)
    assert len(set(rig.client.targets)) == 2


@pytest.mark.parametrize(
    'reason', ['stopping', 'budget', 'unknown', 'kind', 'time', 'full']
)
def test_attempt_continues_if_a_retry_is_not_possible(reason: str) -> None:
    """Guards against a stopping host that cancels attempts in progress.

    An attempt also continues without a retry left, while no usual duration is
    known, if the request is not idempotent, and if no other target has a slot
    or could respond in time: a refusal would replace its response.
    """
    rig = rigs.Rig(None, retries=0 if reason == 'budget' else 10)
    if reason != 'unknown':
        rig.scene.loads.record_duration('board', True, 10)
    rig.relay.is_stopping = reason == 'stopping'

    def on_send() -> None:
        rig.scene.clock.advance(1_995 if reason == 'time' else 450)
        if reason == 'full':
            rig.scene.loads.on_report('h2', {f't{n}': 400 for n in range(4)})

    rig.client.on_send = on_send
    kind = (
        rigs.NON_IDEMPOTENT
        if reason == 'kind'
        else model.RequestKind.IDEMPOTENT
    )
    with pytest.raises(TimeoutError):
        rig.run(kind, within_s=0.6)
    assert len(rig.client.targets) == 1


def test_rate_limit_of_a_response_applies_to_later_requests() -> None:
    """Guards against a target that gets requests beyond its stated limit."""
    limited = (rigs.SIGNED, (b'server-limit', b'0.5'))
    rig = rigs.Rig(
        lambda: rigs.Response(headers=limited), rigs.Response, rigs.Response
    )
    for _ in range(3):
        assert isinstance(rig.run(), relay_model.Response)
    assert rig.client.targets[0] not in rig.client.targets[1:]


def test_misdirected_response_states_no_limit() -> None:
    """Guards against a limit of the target that reuses an address."""
    headers = (rigs.NOT_RUN, (b'server-limit', b'0.5'))
    rig = rigs.Rig(lambda: rigs.Response(421, headers), rigs.Response)
    assert isinstance(rig.run(), relay_model.Response)
    targets = rig.scene.targets.record_by_name
    assert rig.scene.limits.rate_per_s(targets[rig.client.targets[0]]) is None


def test_target_is_free_once_it_has_ended_its_response() -> None:
    """Guards against slots that are full while an end is confirmed."""
    rig = rigs.Rig()
    counts: list[dict[str, int]] = []

    class Unconfirmed(rigs.Response):
        """Response whose end is confirmed later."""

        async def read(self) -> bytes | outcome.Failure | None:
            chunk = await super().read()
            if chunk is None:
                rig.scene.clock.advance(100)
                assert self.on_received is not None
                self.on_received()
                counts.append(rig.scene.loads.own_counts())
                rig.scene.clock.advance(250)
            return chunk

    rig.client.steps.append(Unconfirmed)
    assert isinstance(rig.run(), relay_model.Response)
    assert counts == [{}]
    assert rig.scene.loads.duration_ms('board', True) == 100.0
