"""Operator interfaces on loopback for tests of the command line."""

from __future__ import annotations

import collections.abc
import itertools
import pathlib
import shutil
import socket
import threading
import typing

import anyio
import pytest

from tests.operators import harness
from wigeonhatch.entry import http_server
from wigeonhatch.operators import application
from wigeonhatch.operators import service as services

CREDENTIAL = 'a-test-credential'


class Server:
    """Operator interface of one host, run in its own thread."""

    def __init__(self) -> None:
        self.harness = harness.make_harness()
        app = application.OperatorApplication(
            self.harness.service, CREDENTIAL, lambda: b''
        )
        self._socket = socket.socket()
        self._socket.bind(('127.0.0.1', 0))
        self._socket.listen()
        self.address = '127.0.0.1:%d' % self._socket.getsockname()[1]
        self._server = http_server.build_server(app, self.address)
        self._thread = threading.Thread(
            target=anyio.run, args=(self._server.serve, [self._socket])
        )
        self._thread.start()

    def stop(self) -> None:
        """Stop the server and wait for its thread."""
        self._server.should_exit = True
        self._thread.join()
        self._socket.close()


class ResponseDroppingProxy:
    """Proxy that forwards each request but drops the response."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        self._upstream = (host, int(port))
        self._socket = socket.socket()
        self._socket.bind(('127.0.0.1', 0))
        self._socket.listen()
        self.address = '127.0.0.1:%d' % self._socket.getsockname()[1]
        self.dropped_count = 0
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self) -> None:
        while True:
            connection, _ = self._socket.accept()
            with (
                connection,
                socket.create_connection(self._upstream) as upstream,
            ):
                forwarder = threading.Thread(
                    target=self._forward, args=(connection, upstream)
                )
                forwarder.start()
                if not upstream.recv(1):
                    return
                self.dropped_count += 1
                connection.shutdown(socket.SHUT_RDWR)
                forwarder.join()

    @staticmethod
    def _forward(connection: socket.socket, upstream: socket.socket) -> None:
        while content := connection.recv(65_536):
            upstream.sendall(content)
        upstream.shutdown(socket.SHUT_WR)

    def stop(self) -> None:
        """Stop the accept loop by a connection that sends no request."""
        socket.create_connection(self._socket.getsockname(), timeout=5).close()
        self._thread.join()
        self._socket.close()


@pytest.fixture
def server(
    monkeypatch: pytest.MonkeyPatch,
) -> collections.abc.Iterator[Server]:
    """Run an interface; set its credential and predictable change IDs."""
    monkeypatch.setenv('WIGEONHATCH_CREDENTIAL', CREDENTIAL)
    numbers = itertools.count(1)
    monkeypatch.setattr(
        services, 'new_change_id', lambda: f'change{next(numbers):04d}'
    )
    running = Server()
    yield running
    running.stop()


@pytest.fixture
def dropping_proxy(server: Server) -> collections.abc.Iterator[typing.Any]:
    """Run a proxy that drops the responses of the interface."""
    running = ResponseDroppingProxy(server.address)
    yield running
    running.stop()


@pytest.fixture
def folder(tmp_path: pathlib.Path) -> pathlib.Path:
    """Copy the example configuration to a temporary folder."""
    copy = tmp_path / 'caroni'
    shutil.copytree(harness.EXAMPLES / 'caroni', copy)
    return copy
