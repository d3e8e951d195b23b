"""Relay one request to a target, with retries, and buffer its response."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import functools
import logging

import anyio

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import log
from wigeonhatch import outcome
from wigeonhatch.balance import ejection
from wigeonhatch.balance import inactivity
from wigeonhatch.balance import loads
from wigeonhatch.balance import picker as pickers
from wigeonhatch.balance import warmup
from wigeonhatch.platform import edge
from wigeonhatch.requests import _exchange
from wigeonhatch.requests import body as bodies
from wigeonhatch.requests import model
from wigeonhatch.requests import relay_model
from wigeonhatch.requests import retry
from wigeonhatch.targets import client as target_client
from wigeonhatch.targets import registry

_LOG = logging.getLogger(__name__)

MIN_ATTEMPT_MS = 20
"""Time below which no request is sent; a round trip takes up to 90 ms."""
PATIENCE_FACTOR = 4.0
"""Usual times of a request after which an idempotent one is sent again."""
MIN_PATIENCE_MS = 400.0
"""Shortest time until a request is sent again."""
LATE_WAIT_PART = 0.5
"""Part of the time left that a late request may wait, so that it ends well
before its caller gives up."""
MAX_SKIPS = 3
"""Targets that may be skipped because no connection could be opened."""
_SERVER_ERROR = 500


@dataclasses.dataclass(slots=True)
class _Progress:
    """What the attempts of one request have shown so far."""

    tried: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    skips: int = 0
    may_have_run: bool = False
    failure: outcome.Failure | None = None
    response: relay_model.Relayed | None = None


class Relay:
    """Send requests to targets.

    Args:
        picker: Chooses the target of each attempt.
        load_table: Requests in progress.
        ejections: Targets that fail.
        warmups: Rate of cold targets.
        targets: Listed targets.
        client: Client of the targets.
        budgets: Makes the retry budget of a service.
        clock: Source of monotonic time.
    """

    def __init__(
        self,
        picker: pickers.Picker,
        load_table: loads.LoadTable,
        ejections: ejection.EjectionTable,
        warmups: warmup.WarmupBudget,
        targets: registry.TargetRegistry,
        client: target_client.TargetClient,
        budgets: collections.abc.Callable[[], retry.RetryBudget],
        clock: clocks.Clock,
    ) -> None:
        self._picker = picker
        self._loads = load_table
        self._ejections = ejections
        self._warmups = warmups
        self._targets = targets
        self.is_stopping = False
        self._client = client
        self._clock = clock
        self._answers = inactivity.LastResponseTimes(clock)
        self._budget_by_service: dict[str, retry.RetryBudget] = (
            collections.defaultdict(budgets)
        )

    async def run(
        self,
        request: relay_model.RelayRequest,
        body: bodies.RequestBody,
        control: model.RequestControl,
    ) -> relay_model.Relayed | relay_model.Refused:
        """Run a request until a target has answered it or none can.

        Args:
            request: Checked head.
            body: Body of the request.
            control: Cancels the attempt when the caller has gone.
        """
        progress = _Progress()
        self._budget_by_service[request.service].on_request()
        while True:
            if control.cause is not None:
                return self._refuse(progress, codes.ResultCode.CALLER_GONE)
            left_ms = request.end_ms - self._clock.now_ms
            if left_ms < MIN_ATTEMPT_MS:
                return self._refuse(
                    progress, codes.ResultCode.DEADLINE_EXCEEDED
                )
            if progress.failure is not None and not self._may_repeat(
                request, progress, body
            ):
                return self._refuse(progress, progress.failure.code)
            picked = self._picker.pick(
                _build_query(
                    request,
                    left_ms,
                    self._loads.duration_ms(request.service, True),
                ),
                progress.tried,
            )
            if isinstance(picked, pickers.NoTarget):
                return self._refuse(
                    progress,
                    codes.ResultCode.NO_CAPACITY,
                    picked.reason,
                    picked.retry_after_ms,
                )
            result = await self._attempt(
                request, body, control, picked, progress
            )
            if isinstance(result, relay_model.Relayed):
                return result

    def _may_repeat(
        self,
        request: relay_model.RelayRequest,
        progress: _Progress,
        body: bodies.RequestBody,
    ) -> bool:
        """Decide whether another target may get the request."""
        failure = progress.failure
        assert failure is not None
        is_repeatable = request.route.is_idempotent or not (
            progress.may_have_run
        )
        if not is_repeatable or not body.is_available:
            return False
        if failure.code is codes.ResultCode.TARGET_CONNECT_FAILED:
            progress.skips += 1
            return progress.skips <= MAX_SKIPS
        if progress.sends >= request.route.max_attempts:
            return False
        return self._budget_by_service[request.service].take()

    async def _attempt(
        self,
        request: relay_model.RelayRequest,
        body: bodies.RequestBody,
        control: model.RequestControl,
        picked: pickers.Pick,
        progress: _Progress,
    ) -> relay_model.Relayed | None:
        target = picked.target
        name = target.name
        is_cold = self._targets.is_cold(name)
        if is_cold:
            self._warmups.take_token(name)
        progress.tried.add(name)
        load = self._loads.in_progress(name)
        started_ms = self._clock.now_ms
        self._loads.start(name)
        self._ejections.on_start(name)
        result: relay_model.Relayed | outcome.Failure | None = None
        try:
            with anyio.CancelScope() as scope:
                control.enter(scope)
                watch = self._watch_silence(
                    request, progress, body, picked, scope
                )
                result = await _exchange.exchange(
                    self._client,
                    request,
                    body,
                    name,
                    started_ms,
                    functools.partial(self._on_answer, name),
                )
            cause = control.leave()
        finally:
            watch.stop()
            self._loads.finish(name)
        took_ms = self._clock.now_ms - started_ms
        if result is None:
            result = outcome.Failure(
                cause or codes.ResultCode.TARGET_TIMEOUT,
                ran_override=codes.Ran.UNKNOWN,
            )
        self._judge(request, picked, result, load, took_ms)
        log.event(
            _LOG,
            'attempt',
            request_id=request.id_text,
            target=name,
            region=self._picker.region_of(target.domain),
            affinity=request.affinity_key.decode('ascii', 'replace'),
            load=load,
            wait_ms=round(picked.wait_ms),
            home=picked.is_home,
            slots=target.slots,
            cold=is_cold,
            left_ms=request.end_ms - started_ms,
            took_ms=took_ms,
            result=(
                result.status
                if isinstance(result, relay_model.Relayed)
                else f'{result.code.name}: {result.detail}'
            ),
        )
        return self._settle(request, result, progress)

    def _settle(
        self,
        request: relay_model.RelayRequest,
        result: relay_model.Relayed | outcome.Failure,
        progress: _Progress,
    ) -> relay_model.Relayed | None:
        """Keep the result of an attempt; return it if it is final."""
        if isinstance(result, outcome.Failure):
            progress.failure = result
            if result.code is not codes.ResultCode.TARGET_CONNECT_FAILED:
                progress.sends += 1
            if result.ran is not codes.Ran.NOT_RUN:
                progress.may_have_run = True
            return None
        progress.sends += 1
        progress.may_have_run = True
        if (
            result.status >= _SERVER_ERROR
            and request.route.is_idempotent
            and progress.response is None
            and progress.sends < request.route.max_attempts
        ):
            # Kept, and delivered if no other target does better.
            progress.response = result
            progress.failure = outcome.Failure(
                codes.ResultCode.RESPONSE_INCOMPLETE, f'status {result.status}'
            )
            return None
        return result

    def _watch_silence(
        self,
        request: relay_model.RelayRequest,
        progress: _Progress,
        body: bodies.RequestBody,
        picked: pickers.Pick,
        scope: anyio.CancelScope,
    ) -> inactivity.InactivityTimer:
        """Give an attempt up once its target has answered nobody for long.

        A target that answers other requests is slow, and sending the request
        once more would only add to its load. A stopping host gives nothing
        up, since it may not be there for the second attempt.
        """
        budget = self._budget_by_service[request.service]

        def on_silent() -> bool:
            # Without a retry, the attempt may still succeed.
            is_given_up = budget.has_token and not self.is_stopping
            if is_given_up:
                scope.cancel()
            return is_given_up

        watch = inactivity.InactivityTimer(
            self._answers, picked.target.name, on_silent
        )
        is_last = progress.sends + 1 >= request.route.max_attempts
        usual_ms = self._loads.max_duration_ms(request.service)
        if (
            request.route.is_idempotent
            and body.is_available
            and not is_last
            and usual_ms is not None
        ):
            patience_ms = PATIENCE_FACTOR * usual_ms + picked.wait_ms
            watch.start(max(MIN_PATIENCE_MS, patience_ms))
        return watch

    def _on_answer(self, target: str, said: edge.TargetFields) -> None:
        self._answers.on_response(target)
        if said.warmup_left_ms:
            self._targets.on_warmup_report(target, said.warmup_left_ms)

    def _judge(
        self,
        request: relay_model.RelayRequest,
        picked: pickers.Pick,
        result: relay_model.Relayed | outcome.Failure,
        load: int,
        took_ms: int,
    ) -> None:
        """Tell the balance what an attempt shows of its target."""
        target = picked.target
        name = target.name
        if isinstance(result, relay_model.Relayed):
            if result.status >= _SERVER_ERROR:
                self._ejections.on_failure(
                    name, True, f'status {result.status}'
                )
            else:
                self._ejections.on_success(name)
                # Requests without an object test the configuration.
                if load < target.slots and request.affinity_key:
                    self._loads.record_duration(
                        request.service, picked.is_home, took_ms
                    )
            return
        if result.code is codes.ResultCode.CALLER_GONE:
            self._ejections.on_inconclusive(name)
        elif result.code is codes.ResultCode.TARGET_SHED and (
            load >= target.slots
        ):
            # A full target rightly refuses.
            self._ejections.on_inconclusive(name)
        else:
            self._ejections.on_failure(
                name, result.code in _REACHED_CODES, result.code.name
            )
            if result.code in _SILENT_CODES:
                self._client.close_idle(name)

    def _refuse(
        self,
        progress: _Progress,
        code: codes.ResultCode,
        detail: str = '',
        return_ms: int = pickers.MIN_RETRY_AFTER_MS,
    ) -> relay_model.Relayed | relay_model.Refused:
        if progress.response is not None:
            return progress.response
        failure = progress.failure
        if failure is None or progress.may_have_run is False:
            failure = outcome.Failure(
                code,
                detail or (failure.detail if failure else ''),
                codes.Ran.NOT_RUN,
            )
        elif failure.ran is codes.Ran.NOT_RUN:
            failure = dataclasses.replace(
                failure, ran_override=codes.Ran.UNKNOWN
            )
        return relay_model.Refused(failure, return_ms)


_REACHED_CODES = frozenset(
    {
        codes.ResultCode.TARGET_SHED,
        codes.ResultCode.TARGET_PROTOCOL,
        codes.ResultCode.RESPONSE_INCOMPLETE,
    }
)
_SILENT_CODES = frozenset(
    {
        codes.ResultCode.TARGET_TIMEOUT,
        codes.ResultCode.DEADLINE_EXCEEDED_RUNNING,
        codes.ResultCode.TARGET_LOST,
    }
)


def _build_query(
    request: relay_model.RelayRequest, left_ms: int, duration_ms: float
) -> pickers.Query:
    """State how long the request may wait for a slot.

    The response is of full use within the objective. If even a request that
    does not wait misses it, the time until the end decides.
    """
    waited_ms = request.end_ms - left_ms - request.received_ms
    useful_ms = request.route.objective_ms - waited_ms - duration_ms
    if useful_ms <= 0:
        useful_ms = (left_ms - duration_ms) * LATE_WAIT_PART
    return pickers.Query(
        request.service,
        request.affinity_key if request.route.has_affinity else b'',
        request.route.allowed_regions,
        max(0.0, useful_ms),
    )
