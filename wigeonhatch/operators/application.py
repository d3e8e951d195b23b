"""HTTP interface for operators as an ASGI application."""

from __future__ import annotations

import collections.abc
import hmac
import logging
import re
import secrets
import typing
import urllib.parse

import anyio
import msgspec

from wigeonhatch import codes
from wigeonhatch import decoding
from wigeonhatch import outcome
from wigeonhatch.config import names
from wigeonhatch.operators import service as services
from wigeonhatch.operators import wire

Scope = collections.abc.MutableMapping[str, typing.Any]
Receive = collections.abc.Callable[
    [],
    collections.abc.Awaitable[collections.abc.MutableMapping[str, typing.Any]],
]
Send = collections.abc.Callable[
    [collections.abc.MutableMapping[str, typing.Any]],
    collections.abc.Awaitable[None],
]
_Result = outcome.Success[typing.Any] | outcome.Failure
_Handler = collections.abc.Callable[
    [bytes, dict[str, str]], collections.abc.Awaitable[_Result]
]
_BodyT = typing.TypeVar('_BodyT', wire.ApplyBody, wire.DrainBody)

_LOG = logging.getLogger(__name__)
_CHANGE_ID = re.compile(wire.CHANGE_ID_PATTERN, re.ASCII)
_REQUEST_ID = re.compile(r'[0-9A-Za-z._-]{1,64}', re.ASCII)
_MAX_FILE_NAME_LENGTH = 255
_METRICS_TYPE = b'text/plain; version=0.0.4; charset=utf-8'
_WRITE_PATHS = frozenset({wire.APPLY_PATH, wire.DRAIN_PATH, wire.UNDRAIN_PATH})


class OperatorApplication:
    """Serve operators and the metrics scraper.

    Every request needs the header `Authorization: Bearer CREDENTIAL`.

    Args:
        service: Operator service of this host.
        credential: Bearer credential that operators must send.
        render_metrics: Renders the metrics in the Prometheus text format.
    """

    def __init__(
        self,
        service: services.OperatorService,
        credential: str,
        render_metrics: collections.abc.Callable[[], bytes],
    ) -> None:
        self._service = service
        self._expected = f'Bearer {credential}'.encode()
        self._render_metrics = render_metrics
        self._handler_by_route: dict[tuple[str, str], _Handler] = {
            ('POST', wire.APPLY_PATH): self._on_apply,
            ('POST', wire.DRAIN_PATH): self._on_drain,
            ('POST', wire.UNDRAIN_PATH): self._on_undrain,
            ('GET', wire.CONFIG_PATH): self._on_config,
            ('GET', wire.STATUS_PATH): self._on_status,
            ('GET', wire.AUDIT_PATH): self._on_audit,
            ('GET', wire.CHANGE_PATH): self._on_change,
            ('GET', wire.CONFIRMATION_PATH): self._on_confirmation,
        }

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handle one ASGI connection."""
        if scope['type'] != 'http':
            return
        request_id = _parse_request_id(scope)
        if not self._is_authorized(scope):
            failure = outcome.Failure(
                codes.ResultCode.UNAUTHORIZED,
                'Authorization: Bearer CREDENTIAL is required',
            )
            _LOG.warning(
                'request without valid credential from %s',
                (scope.get('client') or ('unknown',))[0],
                extra={'request_id': request_id, 'code': int(failure.code)},
            )
            await _respond(send, failure, request_id)
            return
        if (scope['method'], scope['path']) == ('GET', wire.METRICS_PATH):
            await _send(send, 200, _METRICS_TYPE, self._render_metrics(), ())
            return
        result = await self._handle(scope, receive, request_id)
        if result is not None:
            await _respond(send, result, request_id)

    def _is_authorized(self, scope: Scope) -> bool:
        authorizations = [
            value
            for name, value in scope['headers']
            if name == b'authorization'
        ]
        return len(authorizations) == 1 and hmac.compare_digest(
            authorizations[0], self._expected
        )

    async def _handle(
        self, scope: Scope, receive: Receive, request_id: str
    ) -> _Result | None:
        route = (scope['method'], scope['path'])
        handler = self._handler_by_route.get(route)
        if handler is None:
            return outcome.Failure(
                codes.ResultCode.NOT_FOUND,
                'no such path; there are '
                + ', '.join(
                    f'{method} {path}'
                    for method, path in self._handler_by_route
                ),
            )
        body = await _read_body(receive)
        if not isinstance(body, bytes):
            return body
        query = _parse_query(scope)
        try:
            with anyio.fail_after(wire.HANDLING_TIMEOUT_MS / 1000):
                return await handler(body, query)
        except TimeoutError:
            is_write = scope['path'] in _WRITE_PATHS
            return outcome.Failure(
                codes.ResultCode.PLATFORM_UNKNOWN
                if is_write
                else codes.ResultCode.PLATFORM_UNAVAILABLE,
                f'no result within {wire.HANDLING_TIMEOUT_MS} ms',
            )
        except Exception:
            _LOG.exception('request failed', extra={'request_id': request_id})
            return outcome.Failure(
                codes.ResultCode.INTERNAL,
                f'the log of the host tells more, request {request_id}',
            )

    async def _on_apply(self, body: bytes, query: dict[str, str]) -> _Result:
        parsed = _decode(body, wire.ApplyBody)
        if isinstance(parsed, outcome.Failure):
            return parsed
        for name in parsed.files:
            if not 0 < len(name) <= _MAX_FILE_NAME_LENGTH or '/' in name:
                return _bad_request(f'{name[:300]!r} is no file name')
        return await self._service.apply(
            services.ChangeRequest(parsed.change_id, parsed.operator),
            parsed.files,
            parsed.base_version,
        )

    async def _on_drain(self, body: bytes, query: dict[str, str]) -> _Result:
        parsed = _decode(body, wire.DrainBody)
        if isinstance(parsed, outcome.Failure):
            return parsed
        return await self._service.drain(
            services.ChangeRequest(parsed.change_id, parsed.operator),
            parsed.name,
        )

    async def _on_undrain(self, body: bytes, query: dict[str, str]) -> _Result:
        parsed = _decode(body, wire.DrainBody)
        if isinstance(parsed, outcome.Failure):
            return parsed
        return await self._service.undrain(
            services.ChangeRequest(parsed.change_id, parsed.operator),
            parsed.name,
        )

    async def _on_config(self, body: bytes, query: dict[str, str]) -> _Result:
        return self._service.show()

    async def _on_status(self, body: bytes, query: dict[str, str]) -> _Result:
        return outcome.Success(self._service.status())

    async def _on_audit(self, body: bytes, query: dict[str, str]) -> _Result:
        limit = _parse_number(query, 'limit', services.MAX_AUDIT_RECORDS)
        if isinstance(limit, outcome.Failure):
            return limit
        return await self._service.audit(limit)

    async def _on_change(self, body: bytes, query: dict[str, str]) -> _Result:
        return await self._service.find_change(query.get('id', ''))

    async def _on_confirmation(
        self, body: bytes, query: dict[str, str]
    ) -> _Result:
        version = _parse_number(query, 'version', 2**53)
        if isinstance(version, outcome.Failure):
            return version
        wait_ms = _parse_number(query, 'wait_ms', wire.MAX_CONFIRM_WAIT_MS)
        if isinstance(wait_ms, outcome.Failure):
            return wait_ms
        await self._service.wait_confirmed(version, wait_ms)
        return outcome.Success(self._service.confirmation(version))


async def _read_body(receive: Receive) -> bytes | outcome.Failure | None:
    """Read the body; None if the caller has disconnected."""
    body = bytearray()
    with anyio.move_on_after(wire.BODY_TIMEOUT_MS / 1000):
        while True:
            message = await receive()
            if message['type'] != 'http.request':
                return None
            body += message.get('body', b'')
            if len(body) > wire.MAX_BODY_BYTES:
                return outcome.Failure(
                    codes.ResultCode.BODY_TOO_LARGE,
                    f'at most {wire.MAX_BODY_BYTES} bytes are allowed',
                )
            if not message.get('more_body'):
                return bytes(body)
    return outcome.Failure(
        codes.ResultCode.SLOW_SENDER,
        f'the body took more than {wire.BODY_TIMEOUT_MS} ms',
        codes.Ran.NOT_RUN,
    )


def _decode(body: bytes, body_type: type[_BodyT]) -> _BodyT | outcome.Failure:
    try:
        parsed = decoding.decode_json(body, body_type)
    except decoding.DecodeError as error:
        return _bad_request(f'body: {error}')
    if not _CHANGE_ID.fullmatch(parsed.change_id):
        return _bad_request('change_id: 8 to 64 letters and digits')
    if not names.is_name(parsed.operator):
        return _bad_request('operator: a name')
    return parsed


def _parse_query(scope: Scope) -> dict[str, str]:
    text = scope['query_string'].decode('latin-1')
    return dict(urllib.parse.parse_qsl(text, keep_blank_values=True))


def _parse_number(
    query: dict[str, str], name: str, maximum: int
) -> int | outcome.Failure:
    text = query.get(name, '')
    if not re.fullmatch('[0-9]{1,16}', text, re.ASCII):
        return _bad_request(f'{name}: a number from 0 to {maximum}')
    return min(int(text), maximum)


def _bad_request(detail: str) -> outcome.Failure:
    return outcome.Failure(codes.ResultCode.BAD_REQUEST, detail)


def _parse_request_id(scope: Scope) -> str:
    for name, value in scope['headers']:
        if name == b'wigeonhatch-request-id':
            text: str = value.decode('latin-1')
            if _REQUEST_ID.fullmatch(text):
                return text
    return secrets.token_hex(8)


async def _respond(send: Send, result: _Result, request_id: str) -> None:
    code = codes.ResultCode.OK
    detail = ''
    value = None
    if isinstance(result, outcome.Failure):
        code = result.code
        detail = result.detail
        ran = result.ran
    else:
        value = result.value
        ran = codes.Ran.RAN
    info = codes.INFO_BY_CODE[code]
    body = msgspec.json.encode(
        wire.Reply(
            int(code),
            code.name,
            ran,
            info.retryable,
            detail,
            request_id,
            value,
        )
    )
    await _send(
        send,
        info.http_status,
        b'application/json',
        body,
        (
            (b'wigeonhatch-code', str(int(code)).encode()),
            (b'wigeonhatch-ran', ran.encode()),
            (b'wigeonhatch-request-id', request_id.encode()),
        ),
    )


async def _send(
    send: Send,
    status: int,
    content_type: bytes,
    body: bytes,
    headers: collections.abc.Iterable[tuple[bytes, bytes]],
) -> None:
    fields = [
        (b'content-type', content_type),
        (b'content-length', str(len(body)).encode()),
        *headers,
    ]
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': fields}
    )
    await send({'type': 'http.response.body', 'body': body})
