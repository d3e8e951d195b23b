"""Decode JSON and MessagePack that another process has written."""

from __future__ import annotations

import collections.abc
import contextlib
import typing

import msgspec

Buffer = bytes | memoryview
_DecodedT = typing.TypeVar('_DecodedT')


class DecodeError(ValueError):
    """Bytes of another process do not match the expected schema."""


def decode_json(content: Buffer, kind: type[_DecodedT]) -> _DecodedT:
    """Decode a JSON document.

    Args:
        content: Encoded document.
        kind: Type to decode into.

    Returns:
        The decoded document.

    Raises:
        DecodeError: The content is malformed, nested too deeply or of
            another type.
    """
    with _converted_errors():
        return msgspec.json.decode(content, type=kind)


def decode_msgpack(content: Buffer, kind: type[_DecodedT]) -> _DecodedT:
    """Decode a MessagePack document.

    Args:
        content: Encoded document.
        kind: Type to decode into.

    Returns:
        The decoded document.

    Raises:
        DecodeError: The content is malformed, nested too deeply or of
            another type.
    """
    with _converted_errors():
        return msgspec.msgpack.decode(content, type=kind)


@contextlib.contextmanager
def _converted_errors() -> collections.abc.Iterator[None]:
    try:
        yield
    except RecursionError as error:
        raise DecodeError('nested too deeply') from error
    except ValueError as error:
        # msgspec.DecodeError and UnicodeDecodeError are ValueErrors.
        raise DecodeError(str(error)) from error
