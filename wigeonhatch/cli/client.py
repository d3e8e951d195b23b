"""Client of the operators' interfaces of several hosts."""

from __future__ import annotations

import collections.abc
import typing
import urllib.parse

import anyio
import httpcore
import msgspec

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch import settings
from wigeonhatch.cli import access as accesses
from wigeonhatch.operators import service as services
from wigeonhatch.operators import wire

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 8.0
# The interface itself answers a write after HANDLING_TIMEOUT_MS at the latest.
WRITE_TIMEOUT_S = (wire.BODY_TIMEOUT_MS + wire.HANDLING_TIMEOUT_MS) / 1000 + 2
RESOLVE_LIMIT_MS = 10_000
RESOLVE_PAUSE_MS = 500
MAX_REPLY_BYTES = 64_000_000
_NOT_SENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
)
_LOST = (
    TimeoutError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    httpcore.ConnectionNotAvailable,
)
_TRY_NEXT = frozenset(
    {
        codes.ResultCode.NOT_READY,
        codes.ResultCode.PLATFORM_UNAVAILABLE,
        codes.ResultCode.TOO_MANY_CONNECTIONS,
        codes.ResultCode.HOST_UNREACHABLE,
    }
)
_ValueT = typing.TypeVar('_ValueT')
MakeBody = collections.abc.Callable[[str], object]


class OperatorClient:
    """Send commands to the first host that answers.

    Args:
        access: Addresses and credential.
        clock: Clock of this process.
    """

    def __init__(self, access: accesses.Access, clock: clocks.Clock) -> None:
        self._access = access
        self._clock = clock

    async def read(
        self, path: str, kind: type[_ValueT], **query: str | int
    ) -> outcome.Success[_ValueT] | outcome.Failure:
        """Look something up at the first host that can tell.

        Args:
            path: Path of the interface.
            kind: Class of the result.
            query: Parameters of the query.

        Returns:
            The result, or the outcomes of all hosts.
        """
        target = f'{path}?{urllib.parse.urlencode(query)}' if query else path
        failures: list[tuple[str, outcome.Failure]] = []
        for address in self._access.addresses:
            result = await self._exchange(
                address, 'GET', target, b'', READ_TIMEOUT_S, kind
            )
            if isinstance(result, outcome.Success):
                return result
            failures.append((address, result))
            if result.code not in _TRY_NEXT:
                break
        return _combine(failures)

    async def write(
        self, path: str, make_body: MakeBody
    ) -> outcome.Success[services.Accepted] | outcome.Failure:
        """Ask for a change.

        The next host is asked only when the change has certainly not taken
        effect; a lost response is resolved by looking the change up.

        Args:
            path: Path of the interface.
            make_body: Builds the body for a change ID.

        Returns:
            The accepted version, or why there is none.
        """
        failures: list[tuple[str, outcome.Failure]] = []
        for address in self._access.addresses:
            change_id = services.new_change_id()
            result = await self._exchange(
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
                return await self._resolve(change_id, address, result)
            failures.append((address, result))
            if result.code not in _TRY_NEXT:
                break
        return _combine(failures)

    async def _resolve(
        self, change_id: str, address: str, lost: outcome.Failure
    ) -> outcome.Success[services.Accepted] | outcome.Failure:
        deadline_ms = self._clock.now_ms + RESOLVE_LIMIT_MS
        while self._clock.now_ms < deadline_ms:
            found = await self.read(
                wire.CHANGE_PATH, services.FoundChange, id=change_id
            )
            if isinstance(found, outcome.Success) and found.value.accepted:
                return outcome.Success(found.value.accepted)
            await self._clock.sleep_ms(RESOLVE_PAUSE_MS)
        return outcome.Failure(
            codes.ResultCode.PLATFORM_UNKNOWN,
            f'{address}: {lost.detail}\n'
            f'change {change_id} is not among the accepted changes so far; '
            'look for it with `audit` before repeating the command',
        )

    async def _exchange(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
        kind: type[_ValueT],
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
            f'http://{bracketed}:{port}{target}',
            headers={
                'Host': address,
                'Authorization': f'Bearer {self._access.credential}',
                'Content-Length': str(len(body)),
            },
            content=body,
            extensions={'timeout': timeout},
        )
        try:
            # The limits of httpcore hold for each part of a response only.
            with anyio.fail_after(timeout_s + CONNECT_TIMEOUT_S):
                async with httpcore.AsyncHTTPConnection(origin) as connection:
                    response = await connection.handle_async_request(request)
                    try:
                        return _decode(await _read(response), kind)
                    finally:
                        await response.aclose()
        except _NOT_SENT as error:
            return _unreachable(error, codes.Ran.NOT_RUN)
        except _LOST as error:
            return _unreachable(error, codes.Ran.UNKNOWN)


async def _read(response: httpcore.Response) -> bytes:
    content = bytearray()
    async for part in response.aiter_stream():
        content += part
        if len(content) > MAX_REPLY_BYTES:
            raise httpcore.RemoteProtocolError(
                f'the response has more than {MAX_REPLY_BYTES} bytes'
            )
    return bytes(content)


def _decode(
    content: bytes, kind: type[_ValueT]
) -> outcome.Success[_ValueT] | outcome.Failure:
    try:
        reply = msgspec.json.decode(content, type=wire.Reply)
        code = codes.ResultCode(reply.code)
        if code is codes.ResultCode.OK:
            return outcome.Success(msgspec.convert(reply.value, kind))
        return outcome.Failure(code, reply.detail, codes.Ran(reply.ran))
    except ValueError:
        return outcome.Failure(
            codes.ResultCode.HOST_UNREACHABLE,
            "the response is not that of an operators' interface",
            codes.Ran.UNKNOWN,
        )


def _unreachable(error: Exception, ran: codes.Ran) -> outcome.Failure:
    reason = str(error) or 'time limit'
    return outcome.Failure(
        codes.ResultCode.HOST_UNREACHABLE,
        f'{type(error).__name__}: {reason}',
        ran,
    )


def _combine(failures: list[tuple[str, outcome.Failure]]) -> outcome.Failure:
    """Report the outcome of the last host, and what the others said."""
    address, last = failures[-1]
    if len(failures) == 1 and last.code not in _TRY_NEXT:
        return last
    lines = [f'{other}: {failure.detail}' for other, failure in failures]
    return outcome.Failure(last.code, '\n'.join(lines), last.ran_override)
