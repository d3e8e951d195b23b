"""One attempt of a request at a target of this host."""

from __future__ import annotations

import anyio

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.requests import _attempt
from wigeonhatch.requests import _response_stream
from wigeonhatch.requests import dependencies
from wigeonhatch.requests import model
from wigeonhatch.requests import quarantine as quarantines
from wigeonhatch.targets import client as target_client
from wigeonhatch.targets import crash_detector

Result = _response_stream.Result
_RESULT_BY_CODE = {
    codes.ResultCode.TARGET_CONNECT_FAILED: (
        dependencies.AttemptResult.CONNECT_FAILED
    ),
    codes.ResultCode.TARGET_SHED: dependencies.AttemptResult.SHED,
    codes.ResultCode.TARGET_LOST: dependencies.AttemptResult.LOST,
    codes.ResultCode.TARGET_PROTOCOL: dependencies.AttemptResult.LOST,
    codes.ResultCode.RESPONSE_INCOMPLETE: dependencies.AttemptResult.LOST,
    codes.ResultCode.TARGET_TIMEOUT: dependencies.AttemptResult.TIMEOUT,
    codes.ResultCode.DEADLINE_EXCEEDED_RUNNING: (
        dependencies.AttemptResult.TIMEOUT
    ),
}


class TargetAttempts:
    """Admit requests to the targets of this host and send them.

    Args:
        clock: Source of monotonic time.
        slots: Admission to the targets of this host.
        targets: HTTP client of the targets.
        quarantine: Requests that crash targets.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        slots: dependencies.SlotTable,
        targets: target_client.TargetClient,
        quarantine: quarantines.QuarantineTable,
    ) -> None:
        self._clock = clock
        self._slots = slots
        self._targets = targets
        self._quarantine = quarantine
        self._crashes = crash_detector.CrashDetector(
            targets, quarantine.on_crash, clock
        )

    async def run(
        self,
        context: model.RequestContext,
        state: model.AttemptState,
        wait_ms: int,
    ) -> Result:
        """Run a request at a target of this host.

        Args:
            context: The request.
            state: State of the attempt.
            wait_ms: Longest wait for a slot in ms.

        Returns:
            Success once the complete response was sent, or the failure.
        """
        fingerprint = context.request.compute_fingerprint(context.body)
        quarantined = self._quarantine.check(fingerprint)
        if quarantined is not None:
            return outcome.Failure(
                codes.ResultCode.QUARANTINED, quarantined.reason
            )
        acquired = await self._acquire(context, wait_ms)
        if isinstance(acquired, outcome.Failure):
            return acquired
        grant = acquired.value
        self._quarantine.on_start(fingerprint)
        try:
            result = await self._send(context, state, grant)
        finally:
            self._quarantine.on_end(fingerprint)
        if isinstance(result, outcome.Success):
            self._quarantine.on_served(fingerprint)
        elif result.code in crash_detector.DISCONNECTED_CODES:
            self._crashes.on_lost(grant.target, 0, fingerprint)
            if self._quarantine.is_suspect(fingerprint):
                await self._crashes.wait_examined(grant.target)
        return result

    async def _send(
        self,
        context: model.RequestContext,
        state: model.AttemptState,
        grant: dependencies.SlotGrant,
    ) -> Result:
        request = context.request
        started_ms = self._clock.now_ms
        result = dependencies.AttemptResult.CANCELLED
        is_released = False

        def release() -> None:
            nonlocal is_released
            if not is_released:
                is_released = True
                grant.release(result, self._clock.now_ms - started_ms)

        try:
            state.may_have_run = True
            detach(context)
            send_result = await self._targets.send(
                grant.target,
                _attempt.build_head(request, context.body, self._clock.now_ms),
                context.body.payload(),
                request.deadline_ms,
            )
            if isinstance(send_result, outcome.Failure):
                result = _RESULT_BY_CODE.get(send_result.code, result)
                return send_result
            response = send_result.value
            try:
                if response.is_shed:
                    result = dependencies.AttemptResult.SHED
                    await response.discard()
                    return outcome.Failure(
                        codes.ResultCode.TARGET_SHED, grant.target
                    )
                result = dependencies.AttemptResult.SERVED
                streamed = await _response_stream.stream_response(
                    response, context.reply, release
                )
                if isinstance(streamed, outcome.Failure):
                    result = _RESULT_BY_CODE.get(
                        streamed.code, dependencies.AttemptResult.CANCELLED
                    )
                return streamed
            except BaseException:
                result = dependencies.AttemptResult.CANCELLED
                raise
            finally:
                if not response.is_complete:
                    with anyio.CancelScope(shield=True):
                        await response.close()
        finally:
            release()

    async def _acquire(
        self, context: model.RequestContext, wait_ms: int
    ) -> outcome.Success[dependencies.SlotGrant] | outcome.Failure:
        request = context.request

        def on_preempt() -> None:
            # Preemption would truncate a response that has started.
            if not context.reply.is_started:
                context.control.on_preempt()

        slot_request = dependencies.SlotRequest(
            request.service,
            request.customer,
            request.is_idempotent,
            request.bucket,
            on_preempt
            if request.is_idempotent and context.body.is_small
            else None,
        )
        if not wait_ms:
            return self._slots.acquire(slot_request)
        remaining_ms = request.deadline_ms - self._clock.now_ms
        return await self._slots.acquire_within(
            slot_request, max(0, min(wait_ms, remaining_ms))
        )


def detach(context: model.RequestContext) -> None:
    """Let a small non-idempotent request outlive its caller.

    Args:
        context: The request, which may have reached a target.
    """
    if not context.request.is_idempotent and context.body.is_small:
        context.control.is_detached = True
