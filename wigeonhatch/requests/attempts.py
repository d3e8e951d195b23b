"""One request from its checked head to its response."""

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
from wigeonhatch.requests import _passing
from wigeonhatch.requests import _replies
from wigeonhatch.requests import _search
from wigeonhatch.requests import body as bodies
from wigeonhatch.requests import dependencies
from wigeonhatch.requests import forward_client
from wigeonhatch.requests import keys as key_tables
from wigeonhatch.requests import model
from wigeonhatch.requests import retry
from wigeonhatch.targets import client as target_client

# Longest wait of a customer within its reservation for a slot, at each host.
RESERVATION_WAIT_MS = 100
Result = _passing.Result
# Waits for a target end at the deadline; the rest ends this much later, so
# that a target that does not respond is reported as such.
_DEADLINE_GRACE_S = 0.05
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


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """Parts of one request that its attempts share.

    Args:
        request: Checked head.
        body: Body of the request.
        reply: Where the response goes.
        control: Cancels the attempt in progress.
    """

    request: model.CallerRequest
    body: bodies.RequestBody
    reply: model.Reply
    control: model.RequestControl


class RequestRunner:
    """Run requests at targets of this host and through other hosts.

    Args:
        host: Name of this host.
        region: Region of this host.
        clock: Source of monotonic time.
        slots: Admission to the targets of this host.
        router: Routes of a request.
        targets: Client of the targets.
        keys: Idempotency keys of this incarnation.
        forwarder: Forwards requests to other hosts.
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
    ) -> None:
        self._host = host
        self._clock = clock
        self._slots = slots
        self._router = router
        self._targets = targets
        self._keys = keys
        self._forwarder = forwarder
        self._budget_by_service: dict[str, retry.RetryBudget] = (
            collections.defaultdict(retry.RetryBudget)
        )

    async def run(self, exchange: Exchange) -> Result:
        """Run a request that a caller sent to this host.

        Args:
            exchange: The request; a small body has been received.

        Returns:
            Success after the complete response was passed on; otherwise the
            failure, to be sent unless the reply has started.
        """
        request = exchange.request
        self._budget_by_service[request.service].on_request()
        self._router.on_request(request.service)
        if not request.key:
            return await self._run_routes(exchange, is_key_held=False)
        parts = key_tables.parse_key(request.key)
        if parts is None:
            return outcome.Failure(codes.ResultCode.KEY_MALFORMED)
        if parts.host == self._host:
            return await self.run_issued(exchange)
        return await self._run_at_issuer(exchange, parts.host)

    async def run_issued(self, exchange: Exchange) -> Result:
        """Run a non-idempotent request whose key this host issued.

        Args:
            exchange: The request.

        Returns:
            As `run`.
        """
        request = exchange.request
        begun = self._keys.begin(
            request.key, request.digest(exchange.body.length)
        )
        if isinstance(begun, outcome.Failure):
            return begun
        if isinstance(begun, key_tables.Replay):
            return await _replies.send_stored(exchange.reply, begun.response)
        recorder = _replies.RecordingReply(exchange.reply)
        result: Result = outcome.Failure(codes.ResultCode.INTERNAL)
        try:
            result = await self._run_routes(
                dataclasses.replace(exchange, reply=recorder),
                is_key_held=True,
            )
        finally:
            self._end_key(request, recorder, result)
        if isinstance(result, outcome.Success) and recorder.failure:
            return recorder.failure
        return result

    async def run_local(self, exchange: Exchange, wait_ms: int) -> Result:
        """Run a request at a target of this host only.

        Args:
            exchange: The request, forwarded by another host.
            wait_ms: Longest wait for a slot in ms.

        Returns:
            As `run`.
        """
        return await self._attempt(
            exchange, None, is_key_held=False, wait_ms=wait_ms
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
            # Later attempts must learn the same outcome.
            self._keys.finish(
                request.key,
                _replies.store_refusal(result, request.request_id),
            )
        else:
            self._keys.forget(request.key)

    async def _run_at_issuer(self, exchange: Exchange, host: str) -> Result:
        progress = model.Progress()
        result = await self._attempt(
            exchange, host, is_key_held=False, progress=progress
        )
        if isinstance(result, outcome.Success) or progress.has_verdict:
            return result
        if result.code is codes.ResultCode.PEER_UNREACHABLE:
            return outcome.Failure(
                codes.ResultCode.KEY_HOST_UNREACHABLE, result.detail
            )
        # Only the issuer knows whether an earlier attempt has run.
        return dataclasses.replace(result, ran_override=codes.Ran.UNKNOWN)

    async def _run_routes(
        self, exchange: Exchange, is_key_held: bool
    ) -> Result:
        request = exchange.request
        search = _search.RouteSearch(
            lambda: self._router.routes(
                request.service,
                request.bucket,
                exchange.body.is_bulk,
                bool(request.customer),
            ),
            RESERVATION_WAIT_MS if request.customer else 0,
        )
        last: outcome.Failure | None = None
        retries_left = retry.MAX_RETRIES
        while (route := search.next_route()) is not None:
            result = await self._attempt(
                exchange,
                None if route.is_local else route.host,
                is_key_held,
                route.region,
                search.wait_ms,
            )
            if isinstance(result, outcome.Success):
                self._router.on_end(request.service, route)
                return result
            is_refusal = retry.is_admission_refusal(result)
            if search.is_first_round or not is_refusal:
                # Later rounds repeat what the first one found.
                last = result
            if exchange.reply.is_started or not retry.may_repeat(
                result, request.is_idempotent, exchange.body.is_available
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
        return last or self._router.refusal(request.service, request.bucket)

    async def _attempt(
        self,
        exchange: Exchange,
        remote: str | None,
        is_key_held: bool,
        region: str = '',
        wait_ms: int = 0,
        progress: model.Progress | None = None,
    ) -> Result:
        key = exchange.request.key
        progress = progress or model.Progress()
        remaining_ms = exchange.request.deadline_ms - self._clock.now_ms
        if remaining_ms <= 0:
            return outcome.Failure(codes.ResultCode.DEADLINE_EXCEEDED)
        if is_key_held and not self._keys.mark_sent(key):
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
                exchange.control.enter(scope)
                if remote is None:
                    result = await self._run_at_target(
                        exchange, progress, wait_ms
                    )
                else:
                    result = await self._forward(
                        forward_client.Destination(
                            remote, region, is_key_held, wait_ms
                        ),
                        exchange,
                        progress,
                    )
            cause = exchange.control.leave()
            if result is None:
                result = _attempt.describe_cancel(cause, progress.may_have_run)
        finally:
            if is_key_held and (
                not progress.may_have_run
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
        exchange: Exchange,
        progress: model.Progress,
    ) -> Result:
        def on_sent() -> None:
            progress.may_have_run = True
            self._detach(exchange)

        return await self._forwarder.forward(
            destination,
            exchange.request,
            exchange.body,
            exchange.reply,
            progress,
            on_sent,
        )

    async def _run_at_target(
        self, exchange: Exchange, progress: model.Progress, wait_ms: int
    ) -> Result:
        request = exchange.request
        acquired = await self._acquire(exchange, wait_ms)
        if isinstance(acquired, outcome.Failure):
            return acquired
        grant = acquired.value
        started_ms = self._clock.now_ms
        result = dependencies.AttemptResult.CANCELLED
        is_released = False

        def release() -> None:
            nonlocal is_released
            if not is_released:
                is_released = True
                grant.release(result, self._clock.now_ms - started_ms)

        try:
            progress.may_have_run = True
            self._detach(exchange)
            sent = await self._targets.send(
                grant.target,
                _attempt.build_head(
                    request, exchange.body, self._clock.now_ms
                ),
                exchange.body.outgoing(),
                request.deadline_ms,
            )
            if isinstance(sent, outcome.Failure):
                result = _RESULT_BY_CODE.get(sent.code, result)
                return sent
            response = sent.value
            try:
                if response.is_shed:
                    result = dependencies.AttemptResult.SHED
                    await response.discard()
                    return outcome.Failure(
                        codes.ResultCode.TARGET_SHED, grant.target
                    )
                result = dependencies.AttemptResult.SERVED
                passed = await _passing.pass_on(
                    response, exchange.reply, release
                )
                if isinstance(passed, outcome.Failure):
                    result = _RESULT_BY_CODE.get(
                        passed.code, dependencies.AttemptResult.CANCELLED
                    )
                return passed
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
        self, exchange: Exchange, wait_ms: int
    ) -> outcome.Success[dependencies.SlotGrant] | outcome.Failure:
        request = exchange.request

        def on_preempt() -> None:
            # A response that has begun would be cut off.
            if not exchange.reply.is_started:
                exchange.control.on_preempt()

        slot_request = dependencies.SlotRequest(
            request.service,
            request.customer,
            request.is_idempotent,
            request.bucket,
            on_preempt
            if request.is_idempotent and exchange.body.is_small
            else None,
        )
        if not wait_ms:
            return self._slots.acquire(slot_request)
        remaining_ms = request.deadline_ms - self._clock.now_ms
        return await self._slots.acquire_within(
            slot_request, max(0, min(wait_ms, remaining_ms))
        )

    def _detach(self, exchange: Exchange) -> None:
        if not exchange.request.is_idempotent and exchange.body.is_small:
            exchange.control.is_detached = True
