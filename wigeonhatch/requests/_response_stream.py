"""Streaming of a target's response to the caller."""

from __future__ import annotations

import collections.abc

from wigeonhatch import outcome
from wigeonhatch.requests import model
from wigeonhatch.targets import response as target_response

Result = outcome.Success[None] | outcome.Failure
_SERVED = outcome.Success(None)


async def stream_response(
    response: target_response.TargetResponse,
    reply: model.Reply,
    release: collections.abc.Callable[[], None],
) -> Result:
    """Stream a response to the caller as it arrives.

    Args:
        response: Response of the target.
        reply: Receiver of the response.
        release: Called once the response has been read completely.

    Returns:
        Success; or the failure, if the response was not sent completely.
    """
    # The first chunk is read before the head is sent, so that a response that
    # fails before it can still be replaced by a refusal.
    chunk = await response.read()
    if isinstance(chunk, outcome.Failure):
        return chunk
    if response.is_complete:
        release()
    failure = await reply.start(response.status, response.headers)
    while chunk is not None and failure is None:
        if response.is_complete:
            failure = await reply.write(chunk, True)
            return failure or _SERVED
        failure = await reply.write(chunk, False)
        next_chunk = await response.read()
        if isinstance(next_chunk, outcome.Failure):
            return next_chunk
        if response.is_complete:
            release()
        chunk = next_chunk
    if failure is None:
        failure = await reply.write(b'', True)
    return failure or _SERVED
