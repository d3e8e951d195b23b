"""Tests of channels and the credential, over loopback connections."""

from __future__ import annotations

import asyncio

import anyio
import grpclib
from grpclib import client
from grpclib import const as grpc_const
import pytest

from tests.peers import cluster
from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import settings
from wigeonhatch.peers import channels
from wigeonhatch.peers import peers_grpc
from wigeonhatch.peers import peers_pb2
from wigeonhatch.standins import memory_platform

pytestmark = pytest.mark.anyio


def _host() -> cluster.Host:
    return cluster.Host(
        'far', cluster.free_address(), memory_platform.MemoryPlatform()
    )


def _address(host: cluster.Host) -> str:
    return host.node._identity.peer_address


async def _forward(
    peers: channels.PeerChannels, size: int
) -> tuple[Exception, bool]:
    head_sent = False
    stub = peers.stub('far')
    assert stub is not None
    try:
        async with stub.Forward.open() as stream:
            await stream.send_request()
            head_sent = True
            await stream.send_message(peers_pb2.ForwardRequest())
            while size > 0:
                body = peers_pb2.ForwardRequest(body=bytes(65_536))
                await stream.send_message(body)
                size -= 65_536
            await stream.recv_message()
    except channels.PEER_ERRORS as error:
        return error, head_sent
    raise AssertionError('the call did not fail')


@pytest.mark.parametrize('size', [0, 64_000_000])
async def test_unresponsive_channel_is_replaced(size: int) -> None:
    """Guards against calls that hang on an unresponsive connection.

    With the large body the connection has unsent data when it is closed.
    """
    far = _host()
    async with (
        cluster.BlackholeProxy(_address(far)) as proxy,
        anyio.create_task_group() as group,
    ):
        await far.start(group)
        peers = channels.PeerChannels(
            'near', cluster.CREDENTIAL, clocks.Clock()
        )
        peers.set_addresses({'far': proxy.address})
        group.start_soon(peers.run)
        stub = peers.stub('far')
        assert stub is not None
        await stub.FetchConfig(peers_pb2.FetchConfigRequest())
        proxy.drop_data()
        with anyio.fail_after(30):
            error, head_sent = await _forward(peers, size)
        failure = channels.make_call_failure(error, 'far', head_sent)
        assert failure.code is codes.ResultCode.PEER_LOST
        assert failure.ran is codes.Ran.UNKNOWN
        assert not peers.is_usable('far')
        stub = peers.stub('far')
        assert stub is not None
        with anyio.fail_after(30):
            await stub.FetchConfig(peers_pb2.FetchConfigRequest())
        assert peers.is_usable('far')
        assert (peers.replaced_count, proxy.connection_count) == (1, 2)
        group.cancel_scope.cancel()


async def test_idle_channel_is_kept() -> None:
    """Guards against pings that do not keep an unused channel open."""
    far = _host()
    async with (
        cluster.BlackholeProxy(_address(far)) as proxy,
        anyio.create_task_group() as group,
    ):
        await far.start(group)
        peers = channels.PeerChannels(
            'near', cluster.CREDENTIAL, clocks.Clock()
        )
        peers.set_addresses({'far': proxy.address})
        group.start_soon(peers.run)
        for _ in range(2):
            stub = peers.stub('far')
            assert stub is not None
            await stub.FetchConfig(peers_pb2.FetchConfigRequest())
            await anyio.sleep(4)
        assert (peers.replaced_count, proxy.connection_count) == (0, 1)
        group.cancel_scope.cancel()


async def test_missing_credential_is_refused() -> None:
    """Guards against accepting a call without credential metadata."""
    far = _host()
    async with anyio.create_task_group() as group:
        await far.start(group)
        ip, port = settings.parse_address(_address(far))
        async with client.Channel(ip, port) as channel:
            stub = peers_grpc.PeersStub(channel)
            with pytest.raises(grpclib.GRPCError) as caught:
                await stub.FetchConfig(peers_pb2.FetchConfigRequest())
        assert caught.value.status is grpc_const.Status.UNAUTHENTICATED
        group.cancel_scope.cancel()


async def test_unreachable_peer_is_reported_as_not_run() -> None:
    """Guards against an unknown outcome although nothing was sent."""
    peers = channels.PeerChannels('near', cluster.CREDENTIAL, clocks.Clock())
    peers.set_addresses({'far': cluster.free_address()})
    error, head_sent = await _forward(peers, 0)
    failure = channels.make_call_failure(error, 'far', head_sent)
    assert failure.code is codes.ResultCode.PEER_UNREACHABLE
    assert failure.ran is codes.Ran.NOT_RUN
    assert not peers.is_usable('far')


async def test_stub_of_removed_peer_opens_no_connection() -> None:
    """Guards against a connection to an address that is not configured."""
    far = _host()
    async with anyio.create_task_group() as group:
        await far.start(group)
        peers = channels.PeerChannels(
            'near', cluster.CREDENTIAL, clocks.Clock()
        )
        peers.set_addresses({'far': _address(far)})
        stub = peers.stub('far')
        assert stub is not None
        peers.set_addresses({'near': _address(far)})
        assert peers.stub('far') is None
        assert peers.stub('near') is None
        with pytest.raises(ConnectionError):
            await stub.FetchConfig(peers_pb2.FetchConfigRequest())
        group.cancel_scope.cancel()


@pytest.mark.parametrize('credential', ['wrong', '', 'peer-credentia'])
async def test_wrong_credential_is_refused(credential: str) -> None:
    """Guards against accepting a call with a wrong credential."""
    far = _host()
    far.node.store.offer(cluster.versioned(1, cluster.make_document({})))
    async with anyio.create_task_group() as group:
        await far.start(group)
        peers = channels.PeerChannels('near', credential, clocks.Clock())
        peers.set_addresses({'far': _address(far)})
        stub = peers.stub('far')
        assert stub is not None
        sender = peers_pb2.HostRecord(host='near', incarnation=1, sequence=1)
        for call, request in (
            (stub.Exchange, peers_pb2.ExchangeRequest(sender=sender)),
            (stub.PushConfig, peers_pb2.ConfigUpdate(version=9)),
            (stub.FetchConfig, peers_pb2.FetchConfigRequest()),
            (stub.RenewLease, peers_pb2.LeaseRequest()),
        ):
            with pytest.raises(grpclib.GRPCError) as caught:
                await call(request)
            assert caught.value.status is grpc_const.Status.UNAUTHENTICATED
        error, head_sent = await _forward(peers, 0)
        failure = channels.make_call_failure(error, 'far', head_sent)
        assert failure.ran is codes.Ran.NOT_RUN
        assert far.node.server.refused_count == 5
        assert far.node.membership.record('near') is None
        group.cancel_scope.cancel()


async def test_connection_that_closes_at_once_is_a_peer_error() -> None:
    """Guards against a library error that stops the daemon."""

    async def close(
        _: asyncio.StreamReader, far: asyncio.StreamWriter
    ) -> None:
        far.transport.abort()

    server = await asyncio.start_server(close, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    peers = channels.PeerChannels('near', cluster.CREDENTIAL, clocks.Clock())
    peers.set_addresses({'far': f'127.0.0.1:{port}'})
    for _ in range(50):
        await _forward(peers, 0)
    server.close()
