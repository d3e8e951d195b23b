"""Pass a target's response on to the caller."""

from __future__ import annotations

import collections.abc

from wigeonhatch import outcome
from wigeonhatch.requests import model
from wigeonhatch.targets import response as target_response

Result = outcome.Success[None] | outcome.Failure
_SERVED = outcome.Success(None)


async def pass_on(
    response: target_response.TargetResponse,
    reply: model.Reply,
    release: collections.abc.Callable[[], None],
) -> Result:
    """Pass a response on to the caller while it arrives.

    Args:
        response: Response of the target.
        reply: Reply to the caller.
        release: Called once the target has finished.

    Returns:
        Success, or why the response could not be passed on completely.
    """
    # The first part is read before the head is sent, so that a response that
    # breaks off before it can still be replaced by a refusal.
    part = await response.read()
    if isinstance(part, outcome.Failure):
        return part
    if response.is_complete:
        release()
    failure = await reply.start(response.status, response.headers)
    while part is not None and failure is None:
        if response.is_complete:
            failure = await reply.write(part, True)
            return failure or _SERVED
        failure = await reply.write(part, False)
        following = await response.read()
        if isinstance(following, outcome.Failure):
            return following
        if response.is_complete:
            release()
        part = following
    if failure is None:
        failure = await reply.write(b'', True)
    return failure or _SERVED
