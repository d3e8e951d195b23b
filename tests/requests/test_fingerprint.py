"""Tests of fingerprints, which identify repeats of a request."""

from __future__ import annotations

import dataclasses
import typing

import anyio
import pytest

from tests.routes import test_table
from wigeonhatch.requests import body as bodies
from wigeonhatch.requests import relay_model

REQUEST = relay_model.RelayRequest(
    request_id=b'r1',
    route=test_table.build_route('r', '/a/', ('board', 1)),
    service='board',
    config_version=1,
    method='POST',
    path=b'/a/x?y=1',
    host_name=b'x.example',
    headers=((b'authorization', b'Bearer a'),),
    affinity_key=b'k',
    received_ms=0,
    deadline_ms=2_000,
)


def _fingerprint(
    request: relay_model.RelayRequest = REQUEST, content: bytes = b'body'
) -> int:
    chunks = iter([content, None])

    async def read_chunk() -> bytes | None:
        return next(chunks)

    body = bodies.RequestBody(len(content), read_chunk, 100)
    anyio.run(body.buffer)
    return request.compute_fingerprint(body)


def test_repeats_have_the_same_fingerprint() -> None:
    """Guards against repeats that count as different requests."""
    repeat = dataclasses.replace(
        REQUEST,
        request_id=b'r2',
        config_version=2,
        received_ms=5,
        deadline_ms=1_000,
    )
    assert _fingerprint(repeat) == _fingerprint()


@pytest.mark.parametrize(
    'change',
    [
        {'method': 'PUT'},
        {'path': b'/a/x?y=2'},
        {'host_name': b'y.example'},
        {'affinity_key': b'l'},
        {'headers': ((b'authorization', b'Bearer b'),)},
        {'path': b'/a/x?y=1x.example', 'host_name': b''},
    ],
)
def test_other_requests_have_other_fingerprints(
    change: dict[str, typing.Any],
) -> None:
    """Guards against a request that is refused because of another one."""
    assert _fingerprint(dataclasses.replace(REQUEST, **change)) != (
        _fingerprint()
    )


def test_body_is_part_of_the_fingerprint() -> None:
    """Guards against a request that is refused because of another body."""
    assert _fingerprint(content=b'ydob') != _fingerprint()
