"""Peer nodes on loopback addresses, for tests."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import hashlib
import random
import socket
import typing

import anyio
import anyio.abc
import msgspec

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.config import model
from wigeonhatch.peers import config_store
from wigeonhatch.peers import node as peer_node
from wigeonhatch.peers import peers_pb2
from wigeonhatch.platform import interface
from wigeonhatch.standins import memory_platform
from wigeonhatch.steering import split as splits

CREDENTIAL = 'peer-credential'
Document = dict[str, typing.Any]


def free_address() -> str:
    """Return a loopback address that no process listens on."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


def make_document(
    address_by_host: dict[str, str], variant: int = 0
) -> Document:
    """Build a document; each variant differs in its customer."""
    return {
        'region_by_name': {'north': {'domains': ['north-a', 'north-b']}},
        'host_by_name': {
            name: {
                'domain': 'north-a' if index % 2 == 0 else 'north-b',
                'caller_address': '127.0.0.1:1',
                'peer_address': address,
                'operator_address': '127.0.0.1:1',
            }
            for index, (name, address) in enumerate(address_by_host.items())
        },
        'service_by_name': {},
        'target_by_name': {
            't-1': {
                'service': 's',
                'domain': 'north-a',
                'address': '127.0.0.1:1',
            }
        },
        'customer_by_name': {f'customer-{variant}': {}},
    }


def versioned(version: int, document: Document) -> model.VersionedConfig:
    """Validate a document and assign a version to it."""
    checked = config_store.parse_document(document)
    assert isinstance(checked, outcome.Success)
    return model.VersionedConfig(
        version, f'change-{version}', checked.value, document
    )


async def store_config(
    platform: memory_platform.MemoryPlatform, version: int, document: Document
) -> None:
    """Store a version on the platform as an accepted change."""
    content = msgspec.json.encode(document)
    await platform.put_object(f'config/change-{version}', content)
    head = {
        'version': version,
        'change_id': f'change-{version}',
        'digest': hashlib.sha256(content).hexdigest(),
    }
    result = await platform.commit(
        [], [interface.Write('config/head', msgspec.json.encode(head))]
    )
    assert isinstance(result, interface.Committed)


def decode_split(
    value: bytes, row_version: int
) -> outcome.Success[splits.StoredSplit] | outcome.Failure:
    """Decode the split rows that these tests write."""
    try:
        fields = msgspec.json.decode(value)
        return outcome.Success(
            splits.StoredSplit(
                fields['service'],
                fields['step'],
                row_version,
                tuple(fields['buckets']),
            )
        )
    except (msgspec.MsgspecError, KeyError) as error:
        return outcome.Failure(codes.ResultCode.CONFIG_INVALID, str(error))


class Host:
    """One running node.

    Args:
        name: Name of the host.
        address: Peer address.
        platform: Client of the platform.
        seeds: Peer addresses to query at startup.
        index: Number of the host; selects its domain and random seed.
    """

    def __init__(
        self,
        name: str,
        address: str,
        platform: memory_platform.MemoryPlatform,
        seeds: collections.abc.Sequence[str] = (),
        index: int = 0,
    ) -> None:
        self.splits: list[splits.StoredSplit] = []
        self.versions: list[int] = []
        self.lists: list[interface.HostList] = []
        self.platform = platform
        self._scope = anyio.CancelScope()
        self.node = peer_node.PeerNode(
            peer_node.NodeIdentity(
                name,
                'north-a' if index % 2 == 0 else 'north-b',
                address,
                CREDENTIAL,
                seeds,
            ),
            peer_node.NodeHooks(
                _deny_lease,
                _hold_forward,
                self.splits.append,
                decode_split,
                on_host_list=self.lists.append,
            ),
            platform,
            clocks.Clock(),
            random.Random(index),
        )
        self.node.store.subscribe(
            lambda new: self.versions.append(new.version)
        )

    async def start(self, group: anyio.abc.TaskGroup) -> None:
        """Run the node in a task group until it accepts connections."""
        started = anyio.Event()
        group.start_soon(self._run, started)
        await started.wait()

    def stop(self) -> None:
        """Stop the node without notifying its peers."""
        self._scope.cancel()

    async def _run(self, started: anyio.Event) -> None:
        with self._scope:
            await self.node.run(started.set)


async def _deny_lease(request: peers_pb2.LeaseRequest) -> peers_pb2.LeaseReply:
    del request
    return peers_pb2.LeaseReply()


async def _hold_forward(stream: typing.Any) -> None:
    await stream.recv_message()
    await anyio.sleep_forever()


async def wait_until(condition: collections.abc.Callable[[], bool]) -> None:
    """Wait for a condition; the timeout only ends a test that hangs."""
    with anyio.fail_after(30):
        while not condition():
            await anyio.sleep(0.01)


class BlackholeProxy:
    """TCP proxy that can drop the data on its open connections."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(':')
        self._target = (host, int(port))
        self._server: asyncio.Server | None = None
        self._dropping: set[int] = set()
        self.connection_count = 0
        self.address = ''
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> BlackholeProxy:
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def drop_data(self) -> None:
        """Drop all further data on the open connections, both ways."""
        self._dropping.update(range(1, self.connection_count + 1))

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        number = self.connection_count
        far_reader, far_writer = await asyncio.open_connection(*self._target)
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.create_task(self._copy(number, source, sink))
            self._tasks.add(task)

    async def _copy(
        self,
        number: int,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await source.read(65_536):
                if number not in self._dropping:
                    sink.write(data)
        if number not in self._dropping:
            sink.close()
