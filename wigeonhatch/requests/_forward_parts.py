"""Parts of forwarded messages, for both ends of the stream."""

from __future__ import annotations

import asyncio
import collections.abc

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.peers import peers_pb2
from wigeonhatch.requests import headers as fields

# Messages stay well below the flow control window of a stream.
PART_BYTES = 65_536
# Head of a request or response with its framing, without header fields.
_HEAD_BYTES = 200


def head_bytes(headers: fields.HeaderTuple) -> int:
    """Estimate the bytes of a head on the link.

    Args:
        headers: Header fields.
    """
    return _HEAD_BYTES + sum(len(n) + len(v) + 4 for n, v in headers)


def split_part(part: bytes) -> collections.abc.Iterator[bytes]:
    """Split a part into messages.

    Args:
        part: Bytes of a body.

    Yields:
        Slices of at most `PART_BYTES`.
    """
    if len(part) <= PART_BYTES:
        yield part
        return
    for start in range(0, len(part), PART_BYTES):
        yield part[start : start + PART_BYTES]


def uncancel() -> None:
    """Forget the cancellation by which grpclib wakes up its waiting tasks.

    grpclib replaces the cancellation by an exception, but leaves the task
    marked as cancelled, which later cancel scopes would take for their own.
    """
    task = asyncio.current_task()
    while task is not None and task.cancelling() > 0:
        task.uncancel()


def read_end(end: peers_pb2.ForwardEnd) -> outcome.Failure:
    """Read the failure of an end marker.

    Args:
        end: End marker with a code other than `OK`.

    Returns:
        The failure; "unknown" whether the request ran if that is not said.
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
