"""ASGI application for requests that routes assign to services."""

from __future__ import annotations

import collections.abc
import dataclasses
import logging

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import log
from wigeonhatch import outcome
from wigeonhatch.balance import picker as pickers
from wigeonhatch.platform import edge
from wigeonhatch.requests import _asgi
from wigeonhatch.requests import _fields
from wigeonhatch.requests import _replies
from wigeonhatch.requests import body as bodies
from wigeonhatch.requests import headers as fields
from wigeonhatch.requests import model
from wigeonhatch.requests import relay as relays
from wigeonhatch.requests import relay_model
from wigeonhatch.routes import model as routes_model
from wigeonhatch.routes import table as tables

_LOG = logging.getLogger(__name__)

BUFFERED_BODY_BYTES = 1_048_576
"""Bodies up to this size are received before a target gets a byte, so that a
slow sender holds no slot and the request can be sent again."""
DEFAULT_PATIENCE_MS = 10_000
"""Patience of a caller that states none."""
_CLOSE = (b'connection', b'close')
_CLIENT_ERRORS = range(400, 500)


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """End of one request.

    Args:
        service: Service that it was for; empty if no route was found.
        region: Region that served it; empty if none did.
        code: Result.
        took_ms: Time from its head to its response in ms.
        request_bytes: Bytes of its body as declared.
        response_bytes: Bytes of the response's body.
    """

    service: str
    region: str
    code: codes.ResultCode
    took_ms: int
    request_bytes: int = 0
    response_bytes: int = 0


OnFinished = collections.abc.Callable[[Finished], None]


class EdgeApplication:
    """Callers' interface of a host on a platform.

    Args:
        routes: Routes in force.
        relay: Runs requests.
        region_of: Region of a target by its name.
        on_finished: Receives the result of each request.
        clock: Source of monotonic time.
    """

    def __init__(
        self,
        routes: tables.RouteTable,
        relay: relays.Relay,
        region_of: collections.abc.Callable[[str], str],
        on_finished: OnFinished,
        clock: clocks.Clock,
    ) -> None:
        self.in_progress = 0
        self.is_stopping = False
        self.is_refusing = False
        self._routes = routes
        self._relay = relay
        self._region_of = region_of
        self._on_finished = on_finished
        self._clock = clock

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
        self.in_progress += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.in_progress -= 1

    async def _serve(
        self,
        scope: _asgi.Scope,
        receive: _asgi.Receive,
        send: _asgi.Send,
    ) -> None:
        received_ms = self._clock.now_ms
        reply = _asgi.AsgiReply(send, scope['method'] == 'HEAD')
        control = model.RequestControl()
        by_name = dict(scope['headers'])
        request = self._parse(scope, by_name, received_ms)
        length: int | outcome.Failure = 0
        result: relay_model.Relayed | relay_model.Refused
        if isinstance(request, outcome.Failure):
            result = relay_model.Refused(request, pickers.MIN_RETRY_AFTER_MS)
        else:
            length = _fields.parse_length(
                by_name, self._limits().max_body_bytes
            )
            result = await self._receive_and_run(
                length, receive, request, reply, control
            )
        if control.cause is not codes.ResultCode.CALLER_GONE:
            await self._answer(reply, request, result)
        self._report(
            request,
            result,
            received_ms,
            length if isinstance(length, int) else 0,
        )

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
    ) -> relay_model.Relayed | relay_model.Refused:
        if isinstance(length, outcome.Failure):
            return relay_model.Refused(length, pickers.MIN_RETRY_AFTER_MS)
        limits = self._limits()
        caller = _asgi.CallerConnection(
            receive, reply, control, limits.header_timeout_ms
        )
        body = bodies.RequestBody(
            length,
            caller.read_part,
            limits.max_body_bytes,
            BUFFERED_BODY_BYTES,
        )
        if length == 0:
            body.is_received = True
            caller.watch()
        else:
            failure = await body.buffer()
            if failure is not None:
                if failure.code is codes.ResultCode.CALLER_GONE:
                    control.on_caller_gone()
                return relay_model.Refused(failure, pickers.MIN_RETRY_AFTER_MS)
        try:
            return await self._relay.run(request, body, control)
        except Exception:
            _LOG.exception(
                'request failed', extra={'request_id': request.id_text}
            )
            return _refuse(codes.ResultCode.INTERNAL)

    def _parse(
        self,
        scope: _asgi.Scope,
        by_name: dict[bytes, bytes],
        received_ms: int,
    ) -> relay_model.RelayRequest | outcome.Failure:
        config = self._routes.config
        if config is None or self.is_refusing:
            return outcome.Failure(codes.ResultCode.NOT_READY)
        raw_path: bytes = scope['raw_path']
        host_name: bytes = by_name.get(b'host', b'')
        route = self._routes.find(
            host_name.decode('ascii', 'replace'), raw_path.decode('latin-1')
        )
        if route is None:
            return outcome.Failure(
                codes.ResultCode.NOT_FOUND,
                f'no route in version {config.version}',
            )
        said = edge.read_caller_fields(by_name)
        patience_ms = said.patience_ms or DEFAULT_PATIENCE_MS
        if route.timeout_ms:
            patience_ms = min(patience_ms, route.timeout_ms)
        path = raw_path
        if scope['query_string']:
            path += b'?' + scope['query_string']
        return relay_model.RelayRequest(
            request_id=said.request_id,
            route=route,
            service=self._routes.choose_service(route),
            config_version=config.version,
            method=scope['method'],
            path=path,
            host_name=host_name,
            headers=fields.filter_request(scope['headers']),
            affinity_key=said.affinity_key,
            received_ms=received_ms,
            end_ms=received_ms + patience_ms,
        )

    async def _answer(
        self,
        reply: _asgi.AsgiReply,
        request: relay_model.RelayRequest | outcome.Failure,
        result: relay_model.Relayed | relay_model.Refused,
    ) -> None:
        headers: list[tuple[bytes, bytes]]
        if isinstance(result, relay_model.Relayed):
            status, body = result.status, result.body
            headers = [
                *result.headers,
                (b'content-length', b'%d' % len(body)),
            ]
        else:
            request_id = (
                request.id_text
                if isinstance(request, relay_model.RelayRequest)
                else ''
            )
            _, headers, body = _replies.render_refusal(
                result.failure, request_id
            )
            status = _status_of(result.failure)
            if result.failure.ran is codes.Ran.NOT_RUN and status == 503:
                headers.append(edge.return_header(result.return_ms))
        if self.is_stopping:
            headers.append(_CLOSE)
        reply.is_finished = True
        await reply.start(status, tuple(headers))
        await reply.write(body, True)

    def _report(
        self,
        request: relay_model.RelayRequest | outcome.Failure,
        result: relay_model.Relayed | relay_model.Refused,
        received_ms: int,
        request_bytes: int,
    ) -> None:
        took_ms = self._clock.now_ms - received_ms
        service = region = request_id = route = ''
        if isinstance(request, relay_model.RelayRequest):
            service, route = request.service, request.route.name
            request_id = request.id_text
        if isinstance(result, relay_model.Relayed):
            region = self._region_of(result.target)
            self._on_finished(
                Finished(
                    service,
                    region,
                    codes.ResultCode.OK,
                    took_ms,
                    max(0, request_bytes),
                    len(result.body),
                )
            )
            return
        failure = result.failure
        self._on_finished(Finished(service, region, failure.code, took_ms))
        config = self._routes.config
        log.event(
            _LOG,
            'request refused',
            request_id=request_id,
            route=route,
            config_version=0 if config is None else config.version,
            service=service,
            code=int(failure.code),
            name=failure.code.name,
            ran=failure.ran.value,
            detail=failure.detail,
            return_ms=result.return_ms,
            took_ms=took_ms,
        )


def _refuse(code: codes.ResultCode) -> relay_model.Refused:
    return relay_model.Refused(
        outcome.Failure(code), pickers.MIN_RETRY_AFTER_MS
    )


def _status_of(failure: outcome.Failure) -> int:
    """Choose a status that tells the truth on whether the request ran."""
    status = failure.info.http_status
    if failure.ran is codes.Ran.NOT_RUN:
        return status if status in _CLIENT_ERRORS else 503
    if status in (408, 429, 503):
        return 502
    return status
