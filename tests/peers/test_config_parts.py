"""Tests of configurations in datagrams."""

from __future__ import annotations

import random
import zlib

import msgspec
import pytest

from wigeonhatch import decoding
from wigeonhatch.peers import config_parts
from wigeonhatch.peers import state_link

CONTENT = random.Random(1).randbytes(5 * config_parts.PART_BYTES)


def join(datagrams: list[bytes]) -> list[bytes]:
    """Add datagrams and return the configurations that they complete."""
    assembler = config_parts.PartAssembler()
    joined = (assembler.add(data) for data in datagrams)
    return [content for content in joined if content is not None]


def test_parts_in_any_order_are_joined() -> None:
    """Guards against configurations that arrive in another order, or twice."""
    parts = config_parts.split(7, CONTENT)
    assert len(parts) > 1
    assert max(map(len, parts)) <= state_link.MAX_BYTES
    assert join(parts) == [CONTENT]
    assert join([*parts[::-1], *parts]) == [CONTENT, CONTENT]
    assert join([parts[0], *parts[:-1]]) == []


def test_parts_of_two_versions_are_not_mixed() -> None:
    """Guards against a configuration of which no host has all parts."""
    older = config_parts.split(6, CONTENT[::-1])
    newer = config_parts.split(7, CONTENT)
    assert join([older[0], *newer[1:], *older[1:], newer[0]]) == [CONTENT]


def test_configuration_too_large_for_datagrams_is_not_sent() -> None:
    """Guards against a burst of packets that fills a link."""
    size = config_parts.MAX_PARTS * config_parts.PART_BYTES
    assert config_parts.split(7, random.Random(1).randbytes(size)) == []


@pytest.mark.parametrize(
    'part',
    [
        (7, 0, 0, b''),
        (7, 1, 1, b''),
        (7, -1, 1, b''),
        (7, 0, config_parts.MAX_PARTS + 1, b''),
        (7, 0, 1, b'no compressed bytes'),
        (7, 0, 1, zlib.compress(b'{}')[:-1]),
        (7, 0, 1, zlib.compress(b'0' * (config_parts.MAX_BYTES + 1))),
        ('7', 0, 1, b''),
    ],
)
def test_malformed_part_is_an_error(part: tuple[object, ...]) -> None:
    """Guards against a datagram that ends the daemon or fills its memory."""
    with pytest.raises(decoding.DecodeError):
        join([config_parts.MARKER + msgspec.msgpack.encode(part)])


def test_no_state_begins_with_the_marker() -> None:
    """Guards against states that are taken for parts."""
    with pytest.raises(decoding.DecodeError):
        state_link.decode_state(config_parts.split(7, CONTENT)[0])
