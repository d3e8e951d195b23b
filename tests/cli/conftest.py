"""Operators' interfaces on loopback for tests of the command line."""

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
    """Operators' interface of one host in a thread of its own."""

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


class LosingProxy:
    """Pass each request on to an address and lose the response."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        self._upstream = (host, int(port))
        self._socket = socket.socket()
        self._socket.bind(('127.0.0.1', 0))
        self._socket.listen()
        self.address = '127.0.0.1:%d' % self._socket.getsockname()[1]
        self.lost = 0
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self) -> None:
        while True:
            connection, _ = self._socket.accept()
            with connection, socket.create_connection(self._upstream) as far:
                pump = threading.Thread(
                    target=self._pump, args=(connection, far)
                )
                pump.start()
                if not far.recv(1):
                    return
                self.lost += 1
                connection.shutdown(socket.SHUT_RDWR)
                pump.join()

    @staticmethod
    def _pump(connection: socket.socket, far: socket.socket) -> None:
        while content := connection.recv(65_536):
            far.sendall(content)
        far.shutdown(socket.SHUT_WR)

    def stop(self) -> None:
        """Stop by a connection without a request."""
        socket.create_connection(self._socket.getsockname(), timeout=5).close()
        self._thread.join()
        self._socket.close()


@pytest.fixture
def server(
    monkeypatch: pytest.MonkeyPatch,
) -> collections.abc.Iterator[Server]:
    """Run an interface, and give commands its credential and fixed IDs."""
    monkeypatch.setenv('WIGEONHATCH_CREDENTIAL', CREDENTIAL)
    numbers = itertools.count(1)
    monkeypatch.setattr(
        services, 'new_change_id', lambda: f'change{next(numbers):04d}'
    )
    running = Server()
    yield running
    running.stop()


@pytest.fixture
def losing_proxy(server: Server) -> collections.abc.Iterator[typing.Any]:
    """Run a proxy that loses the responses of the interface."""
    running = LosingProxy(server.address)
    yield running
    running.stop()


@pytest.fixture
def folder(tmp_path: pathlib.Path) -> pathlib.Path:
    """Copy the example folder."""
    copy = tmp_path / 'caroni'
    shutil.copytree(harness.EXAMPLES / 'caroni', copy)
    return copy
