"""Hosts in one process that communicate over sockets, with fake admission."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import dataclasses
import logging
import typing

from grpclib import client as grpc_client
from grpclib import const as grpc_const
from grpclib import server as grpc_server
import httpcore
import msgspec
import uvicorn

from tests.targets import scripted
from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch import settings
from wigeonhatch.config import model as config_model
from wigeonhatch.peers import peers_grpc
from wigeonhatch.peers import peers_pb2
from wigeonhatch.requests import application
from wigeonhatch.requests import attempts
from wigeonhatch.requests import dependencies
from wigeonhatch.requests import forward_client
from wigeonhatch.requests import forward_server
from wigeonhatch.requests import keys
from wigeonhatch.requests import quarantine
from wigeonhatch.requests import server
from wigeonhatch.targets import client as target_client

CODE = codes.ResultCode
LOCAL = ('h1', 'h1')
FAR = ('h1', 'h2')
LIMITS = settings.Limits(max_header_bytes=4_096, max_connections=8)


@dataclasses.dataclass
class Grant:
    """Slot that was acquired at a target."""

    target: str
    table: FakeSlots
    request: dependencies.SlotRequest

    def release(self, result: typing.Any, latency_ms: int) -> None:
        """Return the slot."""
        self.table.grants.remove(self)
        self.table.results.append(result)


class FakeSlots:
    """Admission to one target, up to a limit."""

    def __init__(self) -> None:
        self.targets: list[str] = []
        self.limit = 4
        self.grants: list[Grant] = []
        self.results: list[dependencies.AttemptResult] = []
        self.acquire_count = 0

    def acquire(self, request: dependencies.SlotRequest) -> typing.Any:
        """Take a slot."""
        if len(self.grants) >= self.limit or not self.targets:
            return outcome.Failure(CODE.NO_CAPACITY)
        self.acquire_count += 1
        self.grants.append(Grant(self.targets[0], self, request))
        return outcome.Success(self.grants[-1])

    async def acquire_within(self, request: typing.Any, _: int) -> typing.Any:
        """Take a slot."""
        return self.acquire(request)


@dataclasses.dataclass(frozen=True)
class FakeRoute:
    """Route to one host."""

    host: str
    region: str
    is_local: bool
    is_spillover: bool = False


class FakeLinks:
    """Link budget that records the requested tokens."""

    def __init__(self) -> None:
        self.has_tokens = True
        self.token_requests: list[typing.Any] = []

    async def acquire(self, *arguments: typing.Any) -> bool:
        """Take tokens."""
        self.token_requests.append(arguments)
        return self.has_tokens


class Host:
    """One host: callers' interface, peer service and targets."""

    def __init__(self, rig: Rig, name: str, region: str) -> None:
        self.name = name
        self.region = region
        self.current: config_model.VersionedConfig | None = rig.versioned
        self.slots = FakeSlots()
        self.route_hosts: list[str] = [name]
        self.links = FakeLinks()
        self.clock = clocks.Clock()
        self.targets = target_client.TargetClient(self.clock)
        self.summaries: list[typing.Any] = []
        self._rig = rig
        self._channels: dict[str, grpc_client.Channel] = {}
        self.build(incarnation=1)

    def build(self, incarnation: int) -> None:
        """Build the components whose state is lost on a restart."""
        self.keys = keys.KeyTable(self.name, incarnation, self.clock)
        alone = frozenset({self.name})
        self.quarantine = quarantine.QuarantineTable(
            self.name, lambda: quarantine.HostView(alone, alone), self.clock
        )
        forwarder = forward_client.ForwardClient(
            self.region, self.clock, self, self, self.links
        )
        self.runner = attempts.RequestRunner(
            self.name,
            self.clock,
            self.slots,
            self,
            self.targets,
            self.keys,
            forwarder,
            self.quarantine,
        )
        self.forward_server = forward_server.ForwardServer(
            self.clock, self, self.runner, forwarder, LIMITS
        )
        self.application = application.Application(
            self.clock,
            LIMITS,
            self,
            lambda service, client, count: outcome.Success(
                {'service': service, 'keys': self.keys.issue(count)}
            ),
            lambda: {'state': 'ok'},
            self.runner,
            self.summaries.append,
        )

    def routes(
        self, service: str, bucket: int, bulk: bool, reserved: bool
    ) -> collections.abc.Iterator[dependencies.Route]:
        """Yield the routes."""
        for name in self.route_hosts:
            host = self._rig.hosts[name]
            yield FakeRoute(name, host.region, name == self.name)

    def on_request(self, service: str) -> None:
        """Count a request."""

    def on_end(self, service: str, route: typing.Any) -> None:
        """Ignore the end of a request."""

    def refusal(self, service: str, bucket: int) -> outcome.Failure:
        """Return the failure for a request without a route."""
        return outcome.Failure(CODE.REGION_UNAVAILABLE)

    def stub(self, host: str) -> peers_grpc.PeersStub | None:
        """gRPC stub of a peer."""
        port = self._rig.peer_ports.get(host)
        if port is None:
            return None
        if host not in self._channels:
            self._channels[host] = grpc_client.Channel('127.0.0.1', port)
        return peers_grpc.PeersStub(self._channels[host])

    def close(self) -> None:
        """Close the connections of the host."""
        for channel in self._channels.values():
            channel.close()
        self.targets.close()

    def __mapping__(self) -> dict[str, grpc_const.Handler]:
        """Serve the `Forward` RPC only."""
        return {
            '/wigeonhatch.peers.Peers/Forward': grpc_const.Handler(
                lambda stream: self.forward_server.handle(stream),
                grpc_const.Cardinality.STREAM_STREAM,
                peers_pb2.ForwardRequest,
                peers_pb2.ForwardReply,
            )
        }


class Rig:
    """Three hosts; `h1` in region r1, `h2` and `h3` in region r2."""

    def __init__(self) -> None:
        self.versioned = scripted.build_config({})
        self.hosts: dict[str, Host] = {}
        self.peer_ports: dict[str, int] = {}
        self.peer_servers: dict[str, grpc_server.Server] = {}
        self.port_by_host: dict[str, int] = {}

    async def call(
        self, host: str, method: str = 'GET', **kwargs: typing.Any
    ) -> Answer:
        """Send one request on a new connection."""
        extra_headers = kwargs.pop('headers', {})
        path = kwargs.pop('path', '/svc/x')
        origin = httpcore.Origin(
            b'http', b'127.0.0.1', self.port_by_host[host]
        )
        async with httpcore.AsyncHTTPConnection(origin) as connection:
            response = await connection.request(
                method,
                f'http://127.0.0.1:{origin.port}{path}',
                headers={'Host': 'x', **extra_headers},
                **kwargs,
            )
        names = {n.lower().decode(): v for n, v in response.headers}
        return Answer(response.status, names, response.content)

    async def issue(self, host: str) -> str:
        """Issue one idempotency key by a lookup."""
        path = '/.wigeonhatch/v1/lookup?service=svc&client=10.0.0.1&keys=1'
        answer = await self.call(host, path=path)
        return str(answer.json['keys'][0])

    async def send_raw(
        self, host: str, data: bytes, sends_eof: bool = False
    ) -> bytes:
        """Send bytes to the callers' interface and read until EOF."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.port_by_host[host]
        )
        writer.write(data)
        if sends_eof:
            writer.write_eof()
        content = await reader.read()
        writer.close()
        return content


@dataclasses.dataclass
class Answer:
    """Response to a caller."""

    status: int
    headers: dict[str, bytes]
    content: bytes

    @property
    def json(self) -> typing.Any:
        """Decoded body."""
        return msgspec.json.decode(self.content)

    @property
    def result(self) -> tuple[str, str]:
        """Name of the result code, and whether the request ran."""
        return self.json['name'], self.json['ran']


def keyed(key: str) -> dict[str, str]:
    """Header fields of a non-idempotent request with a key."""
    return {'Wigeonhatch-Non-Idempotent': '1', 'Idempotency-Key': key}


@contextlib.asynccontextmanager
async def running() -> collections.abc.AsyncIterator[Rig]:
    """Run the hosts."""
    logging.getLogger('uvicorn.error').setLevel(logging.WARNING)
    rig = Rig()
    servers = []
    for name, region in (('h1', 'r1'), ('h2', 'r2'), ('h3', 'r2')):
        host = rig.hosts[name] = Host(rig, name, region)
        peer_server = grpc_server.Server([host])
        await peer_server.start('127.0.0.1', 0)
        sockets = peer_server._server.sockets  # type: ignore[union-attr]
        rig.peer_ports[name] = sockets[0].getsockname()[1]
        rig.peer_servers[name] = peer_server

        async def serve(
            scope: typing.Any, *args: typing.Any, host: Host = host
        ) -> None:
            await host.application(scope, *args)

        config = server.build_server_config(
            serve, '127.0.0.1:1', server.build_protocol(LIMITS)
        )
        config.port = 0
        http_server = uvicorn.Server(config)
        config.load()
        http_server.lifespan = config.lifespan_class(config)
        await http_server.startup()
        listener = http_server.servers[0].sockets[0]
        rig.port_by_host[name] = listener.getsockname()[1]
        servers.append(http_server)
    try:
        yield rig
    finally:
        for host in rig.hosts.values():
            host.close()
        for peer_server in rig.peer_servers.values():
            peer_server.close()
        for http_server in servers:
            http_server.should_exit = True
            http_server.force_exit = True
            await http_server.shutdown()


@contextlib.asynccontextmanager
async def serving(
    route: tuple[str, str], *scripts: scripted.Script
) -> collections.abc.AsyncIterator[tuple[Rig, scripted.ScriptedTarget]]:
    """Run the hosts and a target; the route is entry host and owner."""
    entry, owner = route
    async with running() as rig, scripted.ScriptedTarget(*scripts) as target:
        config = scripted.build_config({'t1': target.address})
        rig.hosts[owner].targets.configure(config)
        rig.hosts[owner].slots.targets = ['t1']
        rig.hosts[entry].route_hosts = [owner]
        yield rig, target
