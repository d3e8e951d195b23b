"""ASGI application that relays callers' requests along the routes."""

from __future__ import annotations

import collections.abc
import dataclasses
import logging

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import log
from wigeonhatch import outcome
from wigeonhatch.balance import picker as pickers
from wigeonhatch.platform import messages
from wigeonhatch.requests import _asgi
from wigeonhatch.requests import _fields
from wigeonhatch.requests import _replies
from wigeonhatch.requests import body as bodies
from wigeonhatch.requests import forward_fields
from wigeonhatch.requests import headers as fields
from wigeonhatch.requests import model
from wigeonhatch.requests import relay as relays
from wigeonhatch.requests import relay_model
from wigeonhatch.requests import request_counts
from wigeonhatch.routes import config_lag
from wigeonhatch.routes import model as routes_model
from wigeonhatch.routes import table as tables

_LOG = logging.getLogger(__name__)

BUFFERED_BODY_BYTES = 1_048_576
"""Bodies up to this size are buffered before the first attempt, so that a slow
sender occupies no slot and the request can be retried."""
DEFAULT_DEADLINE_MS = 10_000
"""Deadline of a request whose caller sends none."""
_CONNECTION_CLOSE = (b'connection', b'close')
_CLIENT_ERROR_STATUSES = range(400, 500)


@dataclasses.dataclass(frozen=True, slots=True)
class CompletedRequest:
    """Result of one request, for metrics and the weight of the host.

    Args:
        service: Service of the request; empty if no route matched.
        region: Region of the target that served it; empty if none did.
        code: Result code.
        elapsed_ms: Time from the request head to the response in ms.
        request_bytes: Declared length of the request body in bytes.
        response_bytes: Length of the response body in bytes.
    """

    service: str
    region: str
    code: codes.ResultCode
    elapsed_ms: int
    request_bytes: int = 0
    response_bytes: int = 0


OnFinished = collections.abc.Callable[[CompletedRequest], None]


class EdgeApplication:
    """Callers' interface of a host on a platform, or that of its peers.

    Args:
        routes: Routes of the configuration in force.
        lag: Compares the configuration in force with those of the peers.
        relay: Sends requests to targets.
        find_region: Returns the region of a target by its name.
        on_finished: Receives the result of each request.
        clock: Source of monotonic time.
        is_for_peers: Whether it takes requests that peers forward.

    Attributes:
        counts: Requests since the start, by result.
        end_ms: Time on the monotonic clock in ms at which the host ends the
            requests in progress; None unless it stops. Requests that may
            last longer are refused.
    """

    def __init__(
        self,
        routes: tables.RouteTable,
        lag: config_lag.ConfigLag,
        relay: relays.Relay,
        find_region: collections.abc.Callable[[str], str],
        on_finished: OnFinished,
        clock: clocks.Clock,
        is_for_peers: bool = False,
    ) -> None:
        self.counts = request_counts.RequestCounts()
        self.end_ms: int | None = None
        self._routes = routes
        self._lag = lag
        self._relay = relay
        self._find_region = find_region
        self._on_finished = on_finished
        self._clock = clock
        self._is_for_peers = is_for_peers

    @property
    def in_progress(self) -> int:
        """Number of requests that have not been answered."""
        return self.counts.in_progress

    async def __call__(
        self,
        scope: _asgi.Scope,
        receive: _asgi.Receive,
        send: _asgi.Send,
    ) -> None:
        """Serve one request.

        Args:
            scope: ASGI scope.
            receive: Receives the body.
            send: Sends the response.
        """
        if scope['type'] != 'http':
            return
        self.counts.received += 1
        try:
            is_served = await self._serve(scope, receive, send)
        except BaseException as error:
            self.counts.cut += 1
            _log_cut(scope, error)
            raise
        if is_served:
            self.counts.served += 1
        else:
            self.counts.refused += 1

    async def _serve(
        self,
        scope: _asgi.Scope,
        receive: _asgi.Receive,
        send: _asgi.Send,
    ) -> bool:
        """Serve one request; return whether a target's response was sent."""
        received_ms = self._clock.now_ms
        reply = _asgi.AsgiReply(send, scope['method'] == 'HEAD')
        control = model.RequestControl()
        header_by_name = dict(scope['headers'])
        caller_fields = messages.read_caller_fields(header_by_name)
        request = self._parse_head(
            scope, header_by_name, caller_fields, received_ms
        )
        length: int | outcome.Failure = 0
        result: relay_model.Response | relay_model.Refusal
        if isinstance(request, outcome.Failure):
            result = relay_model.Refusal(request, pickers.MIN_RETRY_AFTER_MS)
        else:
            length = _fields.parse_length(
                header_by_name, self._limits().max_body_bytes
            )
            result = await self._receive_and_run(
                length, receive, request, reply, control
            )
        if control.cause is not codes.ResultCode.CALLER_GONE:
            await self._respond(reply, caller_fields.id_text, result)
        self._report(
            caller_fields.id_text,
            request,
            result,
            received_ms,
            length if isinstance(length, int) else 0,
        )
        return isinstance(result, relay_model.Response)

    def _limits(self) -> routes_model.CallerLimits:
        config = self._routes.config
        assert config is not None
        return config.limits

    async def _receive_and_run(
        self,
        length: int | outcome.Failure,
        receive: _asgi.Receive,
        request: relay_model.RelayRequest,
        reply: _asgi.AsgiReply,
        control: model.RequestControl,
    ) -> relay_model.Response | relay_model.Refusal:
        if isinstance(length, outcome.Failure):
            return relay_model.Refusal(length, pickers.MIN_RETRY_AFTER_MS)
        limits = self._limits()
        caller = _asgi.CallerConnection(
            receive, reply, control, limits.header_timeout_ms
        )
        body = bodies.RequestBody(
            length,
            caller.read_chunk,
            limits.max_body_bytes,
            BUFFERED_BODY_BYTES,
        )
        if length == 0:
            body.is_received = True
            caller.watch_disconnect()
        else:
            failure = await body.buffer()
            if failure is not None:
                if failure.code is codes.ResultCode.CALLER_GONE:
                    control.on_caller_gone()
                return relay_model.Refusal(failure, pickers.MIN_RETRY_AFTER_MS)
        try:
            return await self._relay.run(request, body, control)
        except Exception:
            _LOG.exception(
                'unhandled exception', extra={'request_id': request.id_text}
            )
            return _build_refusal(codes.ResultCode.INTERNAL)

    def _parse_head(
        self,
        scope: _asgi.Scope,
        header_by_name: dict[bytes, bytes],
        caller_fields: messages.CallerFields,
        received_ms: int,
    ) -> relay_model.RelayRequest | outcome.Failure:
        config = self._routes.config
        if config is None:
            return outcome.Failure(codes.ResultCode.NOT_READY)
        limits: forward_fields.Limits | None = None
        if self._is_for_peers:
            limits = forward_fields.parse_limits(
                header_by_name.get(fields.FORWARDED)
            )
            if limits is None or limits.config_version > config.version:
                return outcome.Failure(
                    codes.ResultCode.NOT_READY,
                    f'not for version {config.version}',
                )
        raw_path: bytes = scope['raw_path']
        host_name: bytes = header_by_name.get(b'host', b'')
        route = self._routes.find(
            host_name.decode('ascii', 'replace'), raw_path.decode('latin-1')
        )
        if route is None:
            return outcome.Failure(
                codes.ResultCode.NOT_FOUND,
                f'no route in version {config.version}',
            )
        if limits is not None:
            route = dataclasses.replace(
                route, max_attempts=limits.attempts_left
            )
        timeout_ms = caller_fields.timeout_ms or DEFAULT_DEADLINE_MS
        if route.timeout_ms:
            timeout_ms = min(timeout_ms, route.timeout_ms)
        if self.end_ms is not None and received_ms + timeout_ms > self.end_ms:
            return outcome.Failure(
                codes.ResultCode.NOT_READY, 'the host stops before the timeout'
            )
        path = raw_path
        if scope['query_string']:
            path += b'?' + scope['query_string']
        return relay_model.RelayRequest(
            request_id=caller_fields.request_id,
            route=route,
            service=self._routes.choose_service(route),
            config_version=config.version,
            method=scope['method'],
            path=path,
            host_name=host_name,
            headers=fields.filter_request(scope['headers']),
            affinity_key=caller_fields.affinity_key,
            received_ms=received_ms,
            deadline_ms=received_ms + timeout_ms,
            is_forwarded=self._is_for_peers,
        )

    async def _respond(
        self,
        reply: _asgi.AsgiReply,
        request_id: str,
        result: relay_model.Response | relay_model.Refusal,
    ) -> None:
        headers: list[tuple[bytes, bytes]]
        if isinstance(result, relay_model.Response):
            status, body = result.status, result.body
            headers = [
                *result.headers,
                (b'content-length', b'%d' % len(body)),
            ]
        else:
            _, headers, body = _replies.render_refusal(
                result.failure, request_id
            )
            status = _http_status(result.failure)
            if result.failure.ran is codes.Ran.NOT_RUN and status == 503:
                headers.append(
                    messages.retry_after_header(result.retry_after_ms)
                )
        if self._is_for_peers:
            headers = [
                *forward_fields.remove_decision(tuple(headers)),
                forward_fields.encode_decision(_describe(result)),
            ]
        if self.end_ms is not None:
            headers.append(_CONNECTION_CLOSE)
        reply.is_finished = True
        await reply.start(status, tuple(headers))
        await reply.write(body, True)

    def _report(
        self,
        request_id: str,
        request: relay_model.RelayRequest | outcome.Failure,
        result: relay_model.Response | relay_model.Refusal,
        received_ms: int,
        request_bytes: int,
    ) -> None:
        elapsed_ms = self._clock.now_ms - received_ms
        service = region = route = ''
        if isinstance(request, relay_model.RelayRequest):
            service, route = request.service, request.route.name
        if isinstance(result, relay_model.Response):
            region = self._find_region(result.target)
            self._on_finished(
                CompletedRequest(
                    service,
                    region,
                    codes.ResultCode.OK,
                    elapsed_ms,
                    max(0, request_bytes),
                    len(result.body),
                )
            )
            return
        failure = result.failure
        self._on_finished(
            CompletedRequest(service, region, failure.code, elapsed_ms)
        )
        log.event(
            _LOG,
            'request refused',
            request_id=request_id,
            route=route,
            config_version=self._lag.version,
            config_age_ms=self._lag.age_ms,
            newest_config_version=self._lag.newest_version,
            behind_ms=self._lag.behind_ms,
            service=service,
            code=int(failure.code),
            name=failure.code.name,
            ran=failure.ran.value,
            detail=failure.detail,
            return_ms=result.retry_after_ms,
            took_ms=elapsed_ms,
        )


def _log_cut(scope: _asgi.Scope, error: BaseException) -> None:
    caller_fields = messages.read_caller_fields(dict(scope['headers']))
    log.event(
        _LOG,
        'request cut',
        request_id=caller_fields.id_text,
        reason=repr(error),
    )


def _describe(
    result: relay_model.Response | relay_model.Refusal,
) -> forward_fields.Decision:
    """Describe a result to the peer that forwarded the request."""
    if isinstance(result, relay_model.Response):
        return forward_fields.Decision(
            codes.ResultCode.OK, codes.Ran.RAN, retry_after_ms=0
        )
    return forward_fields.Decision(
        result.failure.code, result.failure.ran, result.retry_after_ms
    )


def _build_refusal(code: codes.ResultCode) -> relay_model.Refusal:
    return relay_model.Refusal(
        outcome.Failure(code), pickers.MIN_RETRY_AFTER_MS
    )


def _http_status(failure: outcome.Failure) -> int:
    """Choose an HTTP status; 408, 429 and 503 imply that nothing ran."""
    status = failure.info.http_status
    if failure.ran is codes.Ran.NOT_RUN:
        return status if status in _CLIENT_ERROR_STATUSES else 503
    if status in (408, 429, 503):
        return 502
    return status
