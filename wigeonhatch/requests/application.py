"""ASGI application of the callers' interface."""

from __future__ import annotations

import collections.abc
import logging
import typing

import msgspec

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch import settings
from wigeonhatch.requests import _asgi
from wigeonhatch.requests import _fields
from wigeonhatch.requests import _head
from wigeonhatch.requests import _replies
from wigeonhatch.requests import attempts
from wigeonhatch.requests import body as bodies
from wigeonhatch.requests import dependencies
from wigeonhatch.requests import headers as fields
from wigeonhatch.requests import model

LOG = logging.getLogger(__name__)

LOOKUP_PATH = '/.wigeonhatch/v1/lookup'
HEALTH_PATH = '/.wigeonhatch/v1/health'
_RESERVED_PREFIX = '/.wigeonhatch'

Lookup = collections.abc.Callable[
    [str, str, int], outcome.Success[typing.Any] | outcome.Failure
]
DescribeHealth = collections.abc.Callable[
    [], collections.abc.Mapping[str, object]
]


class Application:
    """Callers' interface of one host.

    Args:
        clock: Source of monotonic time.
        limits: Limits of the callers' interface.
        config: Configuration in force.
        lookup: Answers a lookup for service, client address and number of
            keys, with JSON or a value to encode as JSON.
        describe_health: Describes the state of this host, for JSON.
        runner: Runs the requests.
        on_finished: Receives the result of each request.

    Attributes:
        in_progress: Number of requests that have not been answered.
        end_ms: Time on the monotonic clock in ms at which the host ends the
            requests in progress; None unless it stops. Requests with a later
            deadline are refused.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        limits: settings.Limits,
        config: dependencies.ConfigSource,
        lookup: Lookup,
        describe_health: DescribeHealth,
        runner: attempts.RequestRunner,
        on_finished: model.OnFinished | None = None,
    ) -> None:
        self.in_progress = 0
        self.end_ms: int | None = None
        self._clock = clock
        self._limits = limits
        self._config = config
        self._lookup = lookup
        self._describe_health = describe_health
        self._runner = runner
        self._on_finished = on_finished
        self._encoder = msgspec.json.Encoder()

    async def __call__(
        self, scope: _head.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        """Serve one request.

        Args:
            scope: ASGI scope.
            receive: Receives the body.
            send: Sends the response.
        """
        if scope['type'] != 'http':
            return
        path: str = scope['path']
        if path.startswith(_RESERVED_PREFIX):
            await self._handle_reserved_path(scope, path, send)
            return
        self.in_progress += 1
        try:
            await self.handle_request(scope, receive, send)
        finally:
            self.in_progress -= 1

    async def handle_request(
        self, scope: _head.Scope, receive: _asgi.Receive, send: _asgi.Send
    ) -> None:
        """Serve one request for a service.

        Args:
            scope: ASGI scope.
            receive: Receives the body.
            send: Sends the response.
        """
        started_ms = self._clock.now_ms
        header_by_name = dict(scope['headers'])
        request_id = _fields.choose_request_id(
            header_by_name.get(fields.REQUEST_ID)
        )
        parsed = _head.parse_head(
            scope,
            request_id,
            header_by_name,
            self._config.current,
            self._limits,
            started_ms,
        )
        if isinstance(parsed, outcome.Failure):
            await self._refuse(send, parsed, request_id)
            self._report(request_id, '', parsed, started_ms)
            return
        request, length = parsed
        if self.end_ms is not None and request.deadline_ms > self.end_ms:
            stopping = outcome.Failure(
                codes.ResultCode.NOT_READY,
                'the host stops before the deadline',
            )
            await self._refuse(send, stopping, request_id)
            self._report(request_id, request.service, stopping, started_ms)
            return
        reply = _asgi.AsgiReply(send, request.method == 'HEAD')
        control = model.RequestControl()
        caller = _asgi.CallerConnection(
            receive, reply, control, self._limits.max_body_gap_ms
        )
        body = bodies.RequestBody(
            length, caller.read_chunk, self._limits.max_body_bytes
        )
        result: attempts.Result | None
        if length == 0:
            body.is_received = True
            caller.watch_disconnect()
            result = None
        else:
            result = await body.buffer()
        if result is None:
            result = await self._run(
                model.RequestContext(request, body, reply, control)
            )
        if isinstance(result, outcome.Failure):
            if reply.is_started:
                await _asgi.abort(scope)
            else:
                reply.is_finished = True
                await self._refuse(send, result, request_id)
        self._report(request_id, request.service, result, started_ms)

    async def _run(self, context: model.RequestContext) -> attempts.Result:
        try:
            return await self._runner.run(context)
        except Exception:
            LOG.exception(
                'unhandled exception in request %s', context.request.request_id
            )
            return outcome.Failure(codes.ResultCode.INTERNAL)

    async def _handle_reserved_path(
        self, scope: _head.Scope, path: str, send: _asgi.Send
    ) -> None:
        result: outcome.Success[typing.Any] | outcome.Failure
        if path == LOOKUP_PATH:
            result = self._answer_lookup(scope)
        elif path == HEALTH_PATH:
            result = outcome.Success(self._describe_health())
        else:
            result = outcome.Failure(codes.ResultCode.NOT_FOUND)
        if isinstance(result, outcome.Failure):
            request_id = _fields.choose_request_id(None)
            await self._refuse(send, result, request_id)
            return
        content = result.value
        if not isinstance(content, bytes):
            content = self._encoder.encode(content)
        await _asgi.send_response(
            send,
            200,
            [
                (b'content-type', b'application/json'),
                (b'content-length', b'%d' % len(content)),
            ],
            content,
        )

    def _answer_lookup(
        self, scope: _head.Scope
    ) -> outcome.Success[typing.Any] | outcome.Failure:
        versioned = self._config.current
        if versioned is None:
            return outcome.Failure(codes.ResultCode.NOT_READY)
        query = _fields.parse_query(scope['query_string'])
        service = query.get('service', '')
        if service not in versioned.config.service_by_name:
            return outcome.Failure(
                codes.ResultCode.UNKNOWN_SERVICE,
                f'no service {service[:64]!r}',
            )
        client = query.get('client') or _head.client_address(scope)
        if _head.find_bucket(service, client) is None:
            return outcome.Failure(
                codes.ResultCode.BAD_CLIENT_ADDRESS,
                f'{client[:64]!r} is no IP address',
            )
        count = query.get('keys', '0')
        limit = self._limits.max_keys_per_lookup
        if not (count.isdecimal() and len(count) < 6) or int(count) > limit:
            return outcome.Failure(
                codes.ResultCode.BAD_REQUEST,
                f'keys={count[:32]!r} is not from 0 to {limit}',
            )
        return self._lookup(service, client, int(count))

    async def _refuse(
        self, send: _asgi.Send, failure: outcome.Failure, request_id: str
    ) -> None:
        status, headers, body = _replies.render_refusal(failure, request_id)
        await _asgi.send_response(send, status, headers, body)

    def _report(
        self,
        request_id: str,
        service: str,
        result: attempts.Result,
        started_ms: int,
    ) -> None:
        code = codes.ResultCode.OK
        if isinstance(result, outcome.Failure):
            code = result.code
            LOG.info(
                'request %s for %s ended with %s (%s): %s',
                request_id,
                service or 'no service',
                code.name,
                result.ran.value,
                result.detail,
            )
        elif LOG.isEnabledFor(logging.DEBUG):
            LOG.debug('request %s for %s served', request_id, service)
        if self._on_finished is not None:
            self._on_finished(
                model.RequestSummary(
                    request_id,
                    service,
                    code,
                    self._clock.now_ms - started_ms,
                )
            )
