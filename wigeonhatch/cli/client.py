"""HTTP client of the operator interfaces, with failover between hosts."""

from __future__ import annotations

import collections.abc
import typing
import urllib.parse

import anyio
import httpcore
import msgspec

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import decoding
from wigeonhatch import outcome
from wigeonhatch import settings
from wigeonhatch.cli import access as accesses
from wigeonhatch.operators import service as services
from wigeonhatch.operators import wire

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 8.0
# The interface itself answers a write after HANDLING_TIMEOUT_MS at the latest.
WRITE_TIMEOUT_S = (wire.BODY_TIMEOUT_MS + wire.HANDLING_TIMEOUT_MS) / 1000 + 2
RESOLVE_TIMEOUT_MS = 10_000
RESOLVE_INTERVAL_MS = 500
MAX_RESPONSE_BYTES = 64_000_000
_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
)
_UNKNOWN_OUTCOME_ERRORS = (
    TimeoutError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.ConnectionNotAvailable,
)
_FAILOVER_CODES = frozenset(
    {
        codes.ResultCode.NOT_READY,
        codes.ResultCode.PLATFORM_UNAVAILABLE,
        codes.ResultCode.TOO_MANY_CONNECTIONS,
        codes.ResultCode.HOST_UNREACHABLE,
    }
)
_ValueT = typing.TypeVar('_ValueT')
BodyFactory = collections.abc.Callable[[str], object]


class OperatorClient:
    """Sends requests to the configured hosts in order until one succeeds.

    Args:
        access: Addresses and credential of the interfaces.
        clock: Clock of this process.
    """

    def __init__(self, access: accesses.Access, clock: clocks.Clock) -> None:
        self._access = access
        self._clock = clock

    async def read(
        self, path: str, result_type: type[_ValueT], **query: str | int
    ) -> outcome.Success[_ValueT] | outcome.Failure:
        """Send a read request, trying the next host on failover codes.

        Args:
            path: Path of the endpoint.
            result_type: Type to which the result is decoded.
            query: Query parameters.

        Returns:
            The result, or the combined failures of the hosts tried.
        """
        full_path = (
            f'{path}?{urllib.parse.urlencode(query)}' if query else path
        )
        failures: list[tuple[str, outcome.Failure]] = []
        for address in self._access.addresses:
            result = await self._send_request(
                address, 'GET', full_path, b'', READ_TIMEOUT_S, result_type
            )
            if isinstance(result, outcome.Success):
                return result
            failures.append((address, result))
            if result.code not in _FAILOVER_CODES:
                break
        return _combine_failures(failures)

    async def write(
        self, path: str, make_body: BodyFactory
    ) -> outcome.Success[services.Accepted] | outcome.Failure:
        """Submit a change.

        The next host is tried only if the change has certainly not taken
        effect. If the outcome is unknown, the change is looked up by its ID
        instead of being sent again.

        Args:
            path: Path of the endpoint.
            make_body: Builds the request body for a change ID.

        Returns:
            The accepted version, or the failure.
        """
        failures: list[tuple[str, outcome.Failure]] = []
        for address in self._access.addresses:
            change_id = services.new_change_id()
            result = await self._send_request(
                address,
                'POST',
                path,
                msgspec.json.encode(make_body(change_id)),
                WRITE_TIMEOUT_S,
                services.Accepted,
            )
            if isinstance(result, outcome.Success):
                return result
            if result.ran is not codes.Ran.NOT_RUN:
                return await self._resolve_outcome(change_id, address, result)
            failures.append((address, result))
            if result.code not in _FAILOVER_CODES:
                break
        return _combine_failures(failures)

    async def _resolve_outcome(
        self, change_id: str, address: str, failure: outcome.Failure
    ) -> outcome.Success[services.Accepted] | outcome.Failure:
        deadline_ms = self._clock.now_ms + RESOLVE_TIMEOUT_MS
        while self._clock.now_ms < deadline_ms:
            result = await self.read(
                wire.CHANGE_PATH, services.FoundChange, id=change_id
            )
            if isinstance(result, outcome.Success) and result.value.accepted:
                return outcome.Success(result.value.accepted)
            await self._clock.sleep_ms(RESOLVE_INTERVAL_MS)
        return outcome.Failure(
            codes.ResultCode.PLATFORM_UNKNOWN,
            f'{address}: {failure.detail}\n'
            f'change {change_id} is not among the accepted changes so far; '
            'look for it with `audit` before repeating the command',
        )

    async def _send_request(
        self,
        address: str,
        method: str,
        full_path: str,
        body: bytes,
        timeout_s: float,
        result_type: type[_ValueT],
    ) -> outcome.Success[_ValueT] | outcome.Failure:
        host, port = settings.parse_address(address)
        bracketed = f'[{host}]' if ':' in host else host
        timeout = {
            'connect': CONNECT_TIMEOUT_S,
            'read': timeout_s,
            'write': timeout_s,
            'pool': timeout_s,
        }
        origin = httpcore.Origin(b'http', host.encode(), port)
        request = httpcore.Request(
            method,
            f'http://{bracketed}:{port}{full_path}',
            headers={
                'Host': address,
                'Authorization': f'Bearer {self._access.credential}',
                'Content-Length': str(len(body)),
            },
            content=body,
            extensions={'timeout': timeout},
        )
        try:
            # httpcore applies its timeouts to each read or write, not to the
            # whole exchange.
            with anyio.fail_after(timeout_s + CONNECT_TIMEOUT_S):
                async with httpcore.AsyncHTTPConnection(origin) as connection:
                    response = await connection.handle_async_request(request)
                    try:
                        return _decode(await _read_body(response), result_type)
                    finally:
                        await response.aclose()
        except _NOT_SENT_ERRORS as error:
            return _unreachable(error, codes.Ran.NOT_RUN)
        except _UNKNOWN_OUTCOME_ERRORS as error:
            return _unreachable(error, codes.Ran.UNKNOWN)


async def _read_body(response: httpcore.Response) -> bytes:
    content = bytearray()
    async for chunk in response.aiter_stream():
        content += chunk
        if len(content) > MAX_RESPONSE_BYTES:
            raise httpcore.RemoteProtocolError(
                f'the response has more than {MAX_RESPONSE_BYTES} bytes'
            )
    return bytes(content)


def _decode(
    content: bytes, result_type: type[_ValueT]
) -> outcome.Success[_ValueT] | outcome.Failure:
    try:
        reply = decoding.decode_json(content, wire.Reply)
        code = codes.ResultCode(reply.code)
        if code is codes.ResultCode.OK:
            return outcome.Success(msgspec.convert(reply.value, result_type))
        return outcome.Failure(code, reply.detail, codes.Ran(reply.ran))
    except ValueError:
        return outcome.Failure(
            codes.ResultCode.HOST_UNREACHABLE,
            'the response does not come from an operator interface',
            codes.Ran.UNKNOWN,
        )


def _unreachable(error: Exception, ran: codes.Ran) -> outcome.Failure:
    reason = str(error) or 'timed out'
    return outcome.Failure(
        codes.ResultCode.HOST_UNREACHABLE,
        f'{type(error).__name__}: {reason}',
        ran,
    )


def _combine_failures(
    failures: list[tuple[str, outcome.Failure]],
) -> outcome.Failure:
    """Combine the failures of all hosts under the code of the last one."""
    address, last = failures[-1]
    if len(failures) == 1 and last.code not in _FAILOVER_CODES:
        return last
    lines = [f'{other}: {failure.detail}' for other, failure in failures]
    return outcome.Failure(last.code, '\n'.join(lines), last.ran_override)
