"""Tests of messages in several datagrams."""

from __future__ import annotations

import random
import zlib

import msgspec
import pytest

from wigeonhatch import decoding
from wigeonhatch.peers import state_link
from wigeonhatch.peers import state_parts

CONTENT = random.Random(1).randbytes(5 * state_parts.PART_BYTES)


def join(datagrams: list[bytes]) -> list[bytes]:
    """Add datagrams and return the messages that they complete."""
    assembler = state_parts.PartAssembler(('a', 'b'))
    joined = (assembler.add(data) for data in datagrams)
    return [message[1] for message in joined if message is not None]


def test_parts_in_any_order_are_joined() -> None:
    """Guards against messages that arrive in another order, or twice."""
    parts = state_parts.split('a', 7, CONTENT)
    assert len(parts) > 1
    assert max(map(len, parts)) <= state_link.MAX_BYTES
    assert join(parts) == [CONTENT]
    assert join([*parts[::-1], *parts]) == [CONTENT, CONTENT]
    assert join([parts[0], *parts[:-1]]) == []


def test_parts_of_two_versions_are_not_mixed() -> None:
    """Guards against a message of which no host has all parts."""
    older = state_parts.split('a', 6, CONTENT[::-1])
    newer = state_parts.split('a', 7, CONTENT)
    assert join([older[0], *newer[1:], *older[1:], newer[0]]) == [CONTENT]


def test_topics_are_joined_apart() -> None:
    """Guards against a topic that replaces the parts of another one."""
    first = state_parts.split('a', 7, CONTENT)
    second = state_parts.split('b', 9, CONTENT[::-1])
    joined = join([*first[:1], *second, *first[1:]])
    assert joined == [CONTENT[::-1], CONTENT]


def test_message_too_large_for_datagrams_is_not_sent() -> None:
    """Guards against a burst of packets that fills a link."""
    size = state_parts.MAX_PARTS * state_parts.PART_BYTES
    assert state_parts.split('a', 7, random.Random(1).randbytes(size)) == []


@pytest.mark.parametrize(
    'part',
    [
        ('a', 7, 0, 0, b''),
        ('a', 7, 1, 1, b''),
        ('a', 7, -1, 1, b''),
        ('a', 7, 0, state_parts.MAX_PARTS + 1, b''),
        ('a', 7, 0, 1, b'no compressed bytes'),
        ('a', 7, 0, 1, zlib.compress(b'{}')[:-1]),
        ('a', 7, 0, 1, zlib.compress(b'0' * (state_parts.MAX_BYTES + 1))),
        ('a', '7', 0, 1, b''),
        ('unknown', 7, 0, 1, zlib.compress(b'{}')),
    ],
)
def test_malformed_part_is_an_error(part: tuple[object, ...]) -> None:
    """Guards against a datagram that ends the daemon or fills its memory."""
    with pytest.raises(decoding.DecodeError):
        join([state_parts.MARKER + msgspec.msgpack.encode(part)])


def test_no_state_begins_with_the_marker() -> None:
    """Guards against states that are taken for parts."""
    with pytest.raises(decoding.DecodeError):
        state_link.decode_state(state_parts.split('a', 7, CONTENT)[0])
