"""Execution of one request, from its validated head to its response."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import dataclasses

import anyio

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.requests import _attempt
from wigeonhatch.requests import _replies
from wigeonhatch.requests import _response_stream
from wigeonhatch.requests import _route_search
from wigeonhatch.requests import _target_attempt
from wigeonhatch.requests import dependencies
from wigeonhatch.requests import forward_client
from wigeonhatch.requests import keys as key_tables
from wigeonhatch.requests import model
from wigeonhatch.requests import quarantine as quarantines
from wigeonhatch.requests import retry
from wigeonhatch.targets import client as target_client

# Longest wait for a slot, at each host, of a customer within its reservation.
RESERVATION_WAIT_MS = 100
Result = _response_stream.Result
# Waits for a target end at the deadline; the attempt is cancelled this much
# later, so that an unresponsive target is reported as such.
_DEADLINE_GRACE_S = 0.05


class RequestRunner:
    """Run requests at targets of this host or forward them to other hosts.

    Args:
        host: Name of this host.
        clock: Source of monotonic time.
        slots: Admission to the targets of this host.
        router: Routes of a request.
        targets: HTTP client of the targets.
        keys: Idempotency keys that this incarnation issued.
        forwarder: Forwards requests to other hosts.
        quarantine: Requests that crash targets.
    """

    def __init__(
        self,
        host: str,
        clock: clocks.Clock,
        slots: dependencies.SlotTable,
        router: dependencies.Router,
        targets: target_client.TargetClient,
        keys: key_tables.KeyTable,
        forwarder: forward_client.ForwardClient,
        quarantine: quarantines.QuarantineTable,
    ) -> None:
        self._host = host
        self._clock = clock
        self._router = router
        self._target_attempts = _target_attempt.TargetAttempts(
            clock, slots, targets, quarantine
        )
        self._keys = keys
        self._forwarder = forwarder
        self._budget_by_service: dict[str, retry.RetryBudget] = (
            collections.defaultdict(retry.RetryBudget)
        )

    async def run(self, context: model.RequestContext) -> Result:
        """Run a request that a caller sent to this host.

        Args:
            context: The request; a small body has been received.

        Returns:
            Success once the complete response was sent; otherwise the
            failure, to be sent unless the reply has started.
        """
        request = context.request
        self._budget_by_service[request.service].on_request()
        self._router.on_request(request.service)
        if not request.key:
            return await self._run_routes(context, is_issuer=False)
        key_parts = key_tables.parse_key(request.key)
        if key_parts is None:
            return outcome.Failure(codes.ResultCode.KEY_MALFORMED)
        if key_parts.host == self._host:
            return await self.run_as_issuer(context)
        return await self._run_at_issuer(context, key_parts.host)

    async def run_as_issuer(self, context: model.RequestContext) -> Result:
        """Run a non-idempotent request whose key this host issued.

        Args:
            context: The request.

        Returns:
            As `run`.
        """
        request = context.request
        begun = self._keys.begin(
            request.key, request.digest(context.body.length)
        )
        if isinstance(begun, outcome.Failure):
            return begun
        if isinstance(begun, key_tables.Replay):
            return await _replies.replay_stored(context.reply, begun.response)
        recorder = _replies.RecordingReply(context.reply)
        result: Result = outcome.Failure(codes.ResultCode.INTERNAL)
        try:
            result = await self._run_routes(
                dataclasses.replace(context, reply=recorder),
                is_issuer=True,
            )
        finally:
            self._end_key(request, recorder, result)
        if isinstance(result, outcome.Success) and recorder.failure:
            return recorder.failure
        return result

    async def run_local(
        self, context: model.RequestContext, wait_ms: int
    ) -> Result:
        """Run a request at a target of this host only.

        Args:
            context: The request, forwarded by another host.
            wait_ms: Longest wait for a slot in ms.

        Returns:
            As `run`.
        """
        return await self._attempt(
            context, None, is_issuer=False, wait_ms=wait_ms
        )

    def _end_key(
        self,
        request: model.CallerRequest,
        recorder: _replies.RecordingReply,
        result: Result,
    ) -> None:
        if isinstance(result, outcome.Success):
            self._keys.finish(request.key, recorder.stored)
        elif self._keys.is_sent(request.key):
            # Later attempts with the key must get the same result.
            self._keys.finish(
                request.key,
                _replies.render_stored_refusal(result, request.request_id),
            )
        else:
            self._keys.remove(request.key)

    async def _run_at_issuer(
        self, context: model.RequestContext, host: str
    ) -> Result:
        state = model.AttemptState()
        result = await self._attempt(
            context, host, is_issuer=False, state=state
        )
        if isinstance(result, outcome.Success) or state.has_result:
            return result
        if result.code is codes.ResultCode.PEER_UNREACHABLE:
            return outcome.Failure(
                codes.ResultCode.KEY_HOST_UNREACHABLE, result.detail
            )
        # Only the issuer knows whether an earlier attempt ran.
        return dataclasses.replace(result, ran_override=codes.Ran.UNKNOWN)

    async def _run_routes(
        self, context: model.RequestContext, is_issuer: bool
    ) -> Result:
        request = context.request
        search = _route_search.RouteSearch(
            lambda: self._router.routes(
                request.service,
                request.bucket,
                context.body.is_bulk,
                bool(request.customer),
            ),
            RESERVATION_WAIT_MS if request.customer else 0,
        )
        failure: outcome.Failure | None = None
        retries_left = retry.MAX_RETRIES
        while (route := search.next_route()) is not None:
            result = await self._attempt(
                context,
                None if route.is_local else route.host,
                is_issuer,
                route.region,
                search.wait_ms,
            )
            if isinstance(result, outcome.Success):
                self._router.on_end(request.service, route)
                return result
            is_refusal = retry.is_admission_refusal(result)
            if search.is_before_waits or not is_refusal:
                # Refusals after a wait only repeat those before it.
                failure = result
            if context.reply.is_started or not retry.may_retry(
                result, request.is_idempotent, context.body.is_replayable
            ):
                return result
            if is_refusal:
                search.on_refused(route)
                continue
            budget = self._budget_by_service[request.service]
            if retries_left == 0 or not budget.take():
                return result
            retries_left -= 1
            search.on_failed(route)
        return failure or self._router.refusal(request.service, request.bucket)

    async def _attempt(
        self,
        context: model.RequestContext,
        remote_host: str | None,
        is_issuer: bool,
        region: str = '',
        wait_ms: int = 0,
        state: model.AttemptState | None = None,
    ) -> Result:
        key = context.request.key
        state = state or model.AttemptState()
        remaining_ms = context.request.deadline_ms - self._clock.now_ms
        if remaining_ms <= 0:
            return outcome.Failure(codes.ResultCode.DEADLINE_EXCEEDED)
        if is_issuer and not self._keys.mark_sent(key):
            return outcome.Failure(
                codes.ResultCode.INVARIANT_VIOLATED,
                'the key was sent before',
                codes.Ran.UNKNOWN,
            )
        result: Result | None = None
        try:
            end_s = asyncio.get_running_loop().time() + remaining_ms / 1_000
            with anyio.CancelScope(
                deadline=end_s + _DEADLINE_GRACE_S
            ) as scope:
                context.control.enter(scope)
                if remote_host is None:
                    result = await self._target_attempts.run(
                        context, state, wait_ms
                    )
                else:
                    result = await self._forward(
                        forward_client.Destination(
                            remote_host, region, is_issuer, wait_ms
                        ),
                        context,
                        state,
                    )
            cause = context.control.leave()
            if result is None:
                result = _attempt.describe_cancel(cause, state.may_have_run)
        finally:
            if is_issuer and (
                not state.may_have_run
                or (
                    isinstance(result, outcome.Failure)
                    and result.ran is codes.Ran.NOT_RUN
                )
            ):
                self._keys.mark_not_run(key)
        return result

    async def _forward(
        self,
        destination: forward_client.Destination,
        context: model.RequestContext,
        state: model.AttemptState,
    ) -> Result:
        def on_sent() -> None:
            state.may_have_run = True
            _target_attempt.detach(context)

        return await self._forwarder.forward(
            destination,
            context.request,
            context.body,
            context.reply,
            state,
            on_sent,
        )
