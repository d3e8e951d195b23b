"""Messages of a forwarded request, for both ends of the stream."""

from __future__ import annotations

import asyncio
import collections.abc

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.peers import peers_pb2
from wigeonhatch.requests import headers as fields

# Keeps messages well below the flow control window of a stream.
MAX_MESSAGE_BYTES = 65_536
# Estimated head of a request or response with framing, without fields.
_HEAD_BYTES = 200


def head_size(headers: fields.HeaderTuple) -> int:
    """Estimate the size of a head on the link.

    Args:
        headers: Header fields.
    """
    return _HEAD_BYTES + sum(len(n) + len(v) + 4 for n, v in headers)


def split_chunk(chunk: bytes) -> collections.abc.Iterator[bytes]:
    """Split a chunk of a body into message bodies.

    Args:
        chunk: Chunk of any size.

    Yields:
        Slices of at most `MAX_MESSAGE_BYTES`.
    """
    if len(chunk) <= MAX_MESSAGE_BYTES:
        yield chunk
        return
    for start in range(0, len(chunk), MAX_MESSAGE_BYTES):
        yield chunk[start : start + MAX_MESSAGE_BYTES]


def clear_cancellation() -> None:
    """Clear the cancellation by which grpclib wakes up its waiting tasks.

    grpclib replaces the cancellation by an exception but leaves the task
    marked as cancelled; later cancel scopes would treat it as their own.
    """
    task = asyncio.current_task()
    while task is not None and task.cancelling() > 0:
        task.uncancel()


def parse_end(end: peers_pb2.ForwardEnd) -> outcome.Failure:
    """Parse the failure in an end marker.

    Args:
        end: End marker with a code other than `OK`.

    Returns:
        The failure; unless the marker states otherwise, it is unknown whether
        the request ran.
    """
    try:
        code = codes.ResultCode(end.code)
    except ValueError:
        code = codes.ResultCode.INTERNAL
    try:
        ran = codes.Ran(end.ran)
    except ValueError:
        ran = codes.Ran.UNKNOWN
    return outcome.Failure(code, end.detail, ran)
