"""Relay of one request to targets, with retries and a buffered response."""

from __future__ import annotations

import collections
import collections.abc
import functools

import anyio

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.balance import ejection
from wigeonhatch.balance import inactivity
from wigeonhatch.balance import loads
from wigeonhatch.balance import picker as pickers
from wigeonhatch.balance import rate_budget
from wigeonhatch.balance import statements as statement_tables
from wigeonhatch.balance import warmup
from wigeonhatch.platform import messages
from wigeonhatch.requests import _attempt_log
from wigeonhatch.requests import _exchange
from wigeonhatch.requests import _query
from wigeonhatch.requests import _refusals
from wigeonhatch.requests import _target_health
from wigeonhatch.requests import _target_work
from wigeonhatch.requests import body as bodies
from wigeonhatch.requests import model
from wigeonhatch.requests import peer_forwarder as peer_forwarders
from wigeonhatch.requests import quarantine as quarantines
from wigeonhatch.requests import relay_model
from wigeonhatch.requests import response_buffer
from wigeonhatch.requests import retry
from wigeonhatch.targets import client as target_client
from wigeonhatch.targets import crash_detector
from wigeonhatch.targets import reach as target_reach
from wigeonhatch.targets import registry

MIN_ATTEMPT_MS = 20
"""No attempt starts with less time left; a round trip takes up to 90 ms."""
INACTIVITY_FACTOR = 4.0
"""An idempotent attempt is cancelled and retried if its target has sent no
response for this multiple of the longest usual duration."""
MIN_INACTIVITY_MS = 400.0
"""Lower bound of that time."""
MAX_CONNECT_RETRIES = 3
"""Failed connections per request that are retried outside the budget."""


class Relay:
    """Send requests to targets and retry failed attempts.

    Args:
        picker: Chooses the target of each attempt.
        load_table: Number of requests in progress at each target.
        ejections: Outlier ejection of failing targets.
        warmups: Request rate limits of cold targets.
        statements: What targets state of themselves.
        rates: Share of this host in the rate limits that they state.
        targets: Registry of targets.
        client: HTTP client of the targets.
        quarantine: Requests that crash targets.
        crashes: Detects crashes of targets.
        reach: Detects that this host cannot reach the targets.
        forwarder: Forwards requests to peers that reach them.
        build_budget: Builds the retry budget of a service.
        clock: Source of monotonic time.
    """

    def __init__(
        self,
        picker: pickers.Picker,
        load_table: loads.LoadTable,
        ejections: ejection.EjectionTable,
        warmups: warmup.WarmupBudget,
        statements: statement_tables.StatementTable,
        rates: rate_budget.RateBudget,
        targets: registry.TargetRegistry,
        client: target_client.TargetClient,
        quarantine: quarantines.QuarantineTable,
        crashes: crash_detector.CrashDetector,
        reach: target_reach.TargetReach,
        forwarder: peer_forwarders.PeerForwarder,
        build_budget: collections.abc.Callable[[], retry.RetryBudget],
        clock: clocks.Clock,
    ) -> None:
        self._picker = picker
        self._loads = load_table
        self._ejections = ejections
        self._warmups = warmups
        self._statements = statements
        self._rates = rates
        self._targets = targets
        self.is_stopping = False
        self._client = client
        self._quarantine = quarantine
        self._crashes = crashes
        self._reach = reach
        self._forwarder = forwarder
        self._health = _target_health.TargetHealth(
            load_table,
            ejections,
            statements.pauses,
            quarantine,
            crashes,
            client,
            reach,
        )
        self._clock = clock
        self._buffered = response_buffer.BufferedBytes()
        self._last_responses = inactivity.LastResponseTimes(clock)
        self._budget_by_service: dict[str, retry.RetryBudget] = (
            collections.defaultdict(build_budget)
        )

    async def run(
        self,
        request: relay_model.RelayRequest,
        body: bodies.RequestBody,
        control: model.RequestControl,
    ) -> relay_model.Response | relay_model.Refusal:
        """Attempt a request until it is served or no retry is allowed.

        Args:
            request: Validated head.
            body: Body of the request.
            control: Cancels the attempt when the caller disconnects.
        """
        history = relay_model.AttemptHistory(request.compute_fingerprint(body))
        if not self._is_forwarding(request):
            self._budget_by_service[request.service].on_request()
        while True:
            if control.cause is not None:
                return _refusals.refuse(history, codes.ResultCode.CALLER_GONE)
            remaining_ms = request.deadline_ms - self._clock.now_ms
            if remaining_ms < MIN_ATTEMPT_MS:
                return _refusals.refuse(
                    history, codes.ResultCode.DEADLINE_EXCEEDED
                )
            failure = history.failure
            may_retry = failure is None or self._may_retry(
                request, history, body
            )
            # A request that no target has received is no retry at a peer.
            is_forwarding = self._is_forwarding(request) and (
                may_retry or not history.send_count
            )
            if failure is not None and not (may_retry or is_forwarding):
                return _refusals.refuse(
                    history,
                    failure.code,
                    retry_after_ms=self._picker.min_retry_after_ms(
                        request.service, request.route.allowed_regions
                    ),
                )
            quarantined = self._quarantine.check(history.fingerprint)
            if quarantined is not None:
                return _refusals.refuse(
                    history,
                    codes.ResultCode.QUARANTINED,
                    quarantined.reason,
                    quarantined.retry_after_ms,
                )
            if is_forwarding:
                forwarded = await self._forwarder.forward(
                    request,
                    body,
                    control,
                    request.route.max_attempts - history.send_count,
                )
                if isinstance(forwarded, relay_model.Response):
                    return forwarded
                if forwarded is not None:
                    return _refusals.refuse_forwarded(history, forwarded)
                if control.cause is not None:
                    continue
                if failure is not None and not may_retry:
                    return _refusals.refuse(history, failure.code)
            pick = self._picker.pick(
                _query.build_query(
                    request,
                    remaining_ms,
                    self._loads.duration_ms(request.service, True),
                    self._can_retry(request, history),
                ),
                history.tried_targets,
            )
            if isinstance(pick, pickers.NoTarget):
                return _refusals.refuse(
                    history,
                    codes.ResultCode.NO_CAPACITY,
                    pick.reason,
                    pick.retry_after_ms,
                )
            result = await self._attempt(request, body, control, pick, history)
            if isinstance(result, relay_model.Response):
                return result
            if self._quarantine.is_suspect(history.fingerprint):
                await self._crashes.wait_examined(pick.target.name)

    def _is_forwarding(self, request: relay_model.RelayRequest) -> bool:
        """Tell whether a peer is to run a request."""
        return self._reach.is_lost and not request.is_forwarded

    def _can_retry(
        self,
        request: relay_model.RelayRequest,
        history: relay_model.AttemptHistory,
    ) -> bool:
        """Tell whether another target may be tried if the next one refuses.

        Requests that are sent to one target only count as well, since there
        may be no others to find out which targets serve again.
        """
        max_attempts = request.route.max_attempts
        is_last = max_attempts > 1 and history.send_count + 1 >= max_attempts
        budget = self._budget_by_service[request.service]
        return budget.has_token and not is_last

    def _has_alternative(
        self,
        request: relay_model.RelayRequest,
        history: relay_model.AttemptHistory,
    ) -> bool:
        """Tell whether another target could respond before the deadline."""
        remaining_ms = request.deadline_ms - self._clock.now_ms
        duration_ms = self._loads.duration_ms(request.service, True)
        query = _query.build_query(
            request,
            remaining_ms,
            duration_ms,
            self._can_retry(request, history),
        )
        return remaining_ms >= max(
            MIN_ATTEMPT_MS, duration_ms
        ) and self._picker.can_pick(query, history.tried_targets)

    def _may_retry(
        self,
        request: relay_model.RelayRequest,
        history: relay_model.AttemptHistory,
        body: bodies.RequestBody,
    ) -> bool:
        """Decide whether to retry the request at another target."""
        failure = history.failure
        assert failure is not None
        may_run_again = request.route.is_idempotent or not (
            history.may_have_run
        )
        if not may_run_again or not body.is_replayable:
            return False
        if failure.code is codes.ResultCode.TARGET_CONNECT_FAILED:
            history.connect_failures += 1
            return history.connect_failures <= MAX_CONNECT_RETRIES
        if history.send_count >= request.route.max_attempts:
            return False
        return self._budget_by_service[request.service].take()

    async def _attempt(
        self,
        request: relay_model.RelayRequest,
        body: bodies.RequestBody,
        control: model.RequestControl,
        pick: pickers.Pick,
        history: relay_model.AttemptHistory,
    ) -> relay_model.Response | None:
        target = pick.target
        name = target.name
        is_cold = self._targets.is_cold(name)
        if is_cold:
            self._warmups.take_token(name)
        self._rates.take_token(target)
        history.tried_targets.add(name)
        if self._ejections.has_refused(name):
            # The target may just be closing connections that were idle.
            self._client.close_idle(name)
        load = self._loads.in_progress(name)
        work = _target_work.TargetWork(self._loads, name, self._clock)
        self._ejections.on_start(name)
        self._quarantine.on_start(history.fingerprint)
        history.target_fields = None
        result: relay_model.Response | outcome.Failure | None = None
        try:
            with anyio.CancelScope() as scope:
                control.enter(scope)
                timer = self._start_inactivity_timer(
                    request, history, body, pick, scope
                )
                result = await _exchange.exchange(
                    self._client,
                    request,
                    body,
                    name,
                    work.started_ms,
                    functools.partial(
                        self._on_response_head, request, target, history
                    ),
                    work.end,
                    self._buffered,
                )
            cause = control.leave()
        except BaseException as error:
            _attempt_log.log_interrupted(
                request, target, work.elapsed_ms, error
            )
            raise
        finally:
            timer.stop()
            work.end()
            self._quarantine.on_end(history.fingerprint)
        if result is None:
            result = outcome.Failure(
                cause or codes.ResultCode.TARGET_TIMEOUT,
                ran_override=codes.Ran.UNKNOWN,
            )
        self._health.on_result(
            request,
            history.fingerprint,
            pick,
            result,
            load,
            work.elapsed_ms,
            history.pause_ms,
        )
        if history.pause_ms:
            self._picker.recount_slots(request.service)
        _attempt_log.log_attempt(
            request,
            history,
            pick,
            self._picker.region_of(target.domain),
            result,
            _attempt_log.AttemptTimes(work.started_ms, work.elapsed_ms),
            load,
            is_cold,
        )
        return history.record(result, request.route)

    def _start_inactivity_timer(
        self,
        request: relay_model.RelayRequest,
        history: relay_model.AttemptHistory,
        body: bodies.RequestBody,
        pick: pickers.Pick,
        scope: anyio.CancelScope,
    ) -> inactivity.InactivityTimer:
        """Cancel an attempt once its target has sent no response for long.

        Responses to other requests count: a target that sends some is only
        slow, and a retry would add load. A stopping host cancels no attempt,
        since it may exit before a second one ends.
        """
        budget = self._budget_by_service[request.service]

        def on_inactive() -> bool:
            # Without a retry, only this attempt can succeed.
            may_cancel = (
                budget.has_token
                and not self.is_stopping
                and self._has_alternative(request, history)
            )
            if may_cancel:
                scope.cancel()
            return may_cancel

        timer = inactivity.InactivityTimer(
            self._last_responses, pick.target.name, on_inactive
        )
        is_last = history.send_count + 1 >= request.route.max_attempts
        max_duration_ms = self._loads.max_duration_ms(request.service)
        if (
            request.route.is_idempotent
            and body.is_replayable
            and not is_last
            and max_duration_ms is not None
        ):
            limit_ms = INACTIVITY_FACTOR * max_duration_ms + pick.wait_ms
            timer.start(max(MIN_INACTIVITY_MS, limit_ms))
        return timer

    def _on_response_head(
        self,
        request: relay_model.RelayRequest,
        target: registry.TargetRecord,
        history: relay_model.AttemptHistory,
        head: messages.TargetFields,
    ) -> None:
        history.target_fields = head
        self._last_responses.on_response(target.name)
        if head.warmup_left_ms:
            self._targets.on_warmup_report(target.name, head.warmup_left_ms)
        self._statements.on_response(target, request.request_id, head)
