"""Tests of the port ranges of the deployments under test."""

from __future__ import annotations

import socket

from tests.end_to_end import _fleets


def test_range_in_use_is_left_out() -> None:
    """Guards against two runs of the tests that use the same ports."""
    base_port = _fleets._find_base_port(0)
    with socket.create_server(('127.0.0.1', base_port + 7)):
        assert _fleets._find_base_port(0) != base_port
