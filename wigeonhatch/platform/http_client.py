"""Client of the platform over HTTP."""

from __future__ import annotations

import dataclasses
import urllib.parse

import httpcore
import msgspec

from wigeonhatch import decoding
from wigeonhatch.platform import _reply
from wigeonhatch.platform import interface

REQUEST_TIMEOUT_S = 1.5
MAX_CONNECTIONS = 4


@dataclasses.dataclass(frozen=True)
class ReadRequest:
    """Body of a read or scan request."""

    keys: list[str] = dataclasses.field(default_factory=list)
    prefix: str = ''


@dataclasses.dataclass(frozen=True)
class CommitRequest:
    """Body of a commit request."""

    checks: list[interface.Check]
    writes: list[interface.Write]


@dataclasses.dataclass(frozen=True)
class CommitResponse:
    """Response to a commit; `conflict` tells which map is set."""

    conflict: bool
    platform_ms: int
    version_by_key: dict[str, int] = dataclasses.field(default_factory=dict)
    row_by_key: dict[str, interface.Row] = dataclasses.field(
        default_factory=dict
    )


class HttpPlatform:
    """Implement `interface.Platform` over HTTP.

    Args:
        base_url: Base URL of the platform, `http://IP:PORT`.
        timeout_s: Timeout of each phase of a call, such as connect, in s.
    """

    def __init__(
        self, base_url: str, timeout_s: float = REQUEST_TIMEOUT_S
    ) -> None:
        self._base_url = base_url.rstrip('/')
        self._timeout = {
            'connect': timeout_s,
            'read': timeout_s,
            'write': timeout_s,
            'pool': timeout_s,
        }
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS, keepalive_expiry=10
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def read(
        self, keys: list[str]
    ) -> interface.ReadResult | interface.Unavailable:
        """Read rows; see `interface.Platform.read`."""
        return await self._read('/table/read', ReadRequest(keys=keys))

    async def scan(
        self, prefix: str
    ) -> interface.ReadResult | interface.Unavailable:
        """Read rows by prefix; see `interface.Platform.scan`."""
        return await self._read('/table/scan', ReadRequest(prefix=prefix))

    async def commit(
        self,
        checks: list[interface.Check],
        writes: list[interface.Write],
    ) -> interface.CommitResult:
        """Write rows; see `interface.Platform.commit`."""
        body = msgspec.json.encode(CommitRequest(checks, writes))
        reply = await self._call('POST', '/table/commit', body)
        if not isinstance(reply, _reply.Reply):
            return reply
        if reply.status != 200:
            return interface.Unknown(f'HTTP status {reply.status}')
        try:
            response = decoding.decode_json(reply.body, CommitResponse)
        except decoding.DecodeError as error:
            return interface.Unknown(str(error))
        if response.conflict:
            return interface.Conflict(
                response.row_by_key, response.platform_ms
            )
        return interface.Committed(
            response.version_by_key, response.platform_ms
        )

    async def get_object(
        self, name: str
    ) -> bytes | None | interface.Unavailable:
        """Read an object; see `interface.Platform.get_object`."""
        reply = await self._call('GET', _object_path(name), b'')
        if not isinstance(reply, _reply.Reply):
            return interface.Unavailable(reply.detail)
        if reply.status == 404:
            return None
        return reply.body

    async def put_object(
        self, name: str, content: bytes
    ) -> None | interface.Unavailable | interface.Unknown:
        """Store an object; see `interface.Platform.put_object`."""
        reply = await self._call('PUT', _object_path(name), content)
        if not isinstance(reply, _reply.Reply):
            return reply
        if reply.status != 200:
            return interface.Unknown(f'HTTP status {reply.status}')
        return None

    async def list_hosts(
        self,
    ) -> interface.HostList | interface.Unavailable:
        """Read the host list; see `interface.Platform.list_hosts`."""
        reply = await self._call('GET', '/hosts', b'')
        return _reply.decode(reply, interface.HostList)

    async def _read(
        self, path: str, request: ReadRequest
    ) -> interface.ReadResult | interface.Unavailable:
        body = msgspec.json.encode(request)
        reply = await self._call('POST', path, body)
        return _reply.decode(reply, interface.ReadResult)

    async def _call(
        self, method: str, path: str, body: bytes
    ) -> _reply.Reply | interface.Unavailable | interface.Unknown:
        try:
            response = await self._pool.request(
                method,
                self._base_url + path,
                content=body,
                extensions={'timeout': self._timeout},
            )
        except _reply.NOT_SENT as error:
            return interface.Unavailable(type(error).__name__)
        except _reply.MAYBE_SENT as error:
            return interface.Unknown(type(error).__name__)
        if response.status == 503:
            return interface.Unavailable('HTTP status 503')
        return _reply.Reply(response.status, response.content)


def _object_path(name: str) -> str:
    return '/objects/' + urllib.parse.quote(name, safe='')
