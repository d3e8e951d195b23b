"""Fixtures of the peer tests."""

from __future__ import annotations

import typing

import pytest


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, typing.Any]]:
    """Run asynchronous tests on the backend of the daemon."""
    return 'asyncio', {'use_uvloop': True}
