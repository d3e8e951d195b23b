"""Request head and cancellation result of one attempt at a target."""

from __future__ import annotations

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.requests import body as bodies
from wigeonhatch.requests import headers as fields
from wigeonhatch.requests import model
from wigeonhatch.targets import request as target_request


def build_head(
    request: model.CallerRequest, body: bodies.RequestBody, now_ms: int
) -> target_request.RequestHead:
    """Build the request head that is sent to a target.

    Args:
        request: Validated head from the caller.
        body: Body of the request.
        now_ms: Monotonic time in ms.
    """
    remaining_ms = max(1, request.deadline_ms - now_ms)
    headers = [
        *request.headers,
        (fields.DEADLINE, b'%d' % remaining_ms),
        (fields.REQUEST_ID, request.request_id.encode()),
        (fields.CLIENT, request.client.encode()),
    ]
    if request.customer:
        headers.append((fields.CUSTOMER, request.customer.encode()))
    return target_request.RequestHead(
        request.method, request.path, tuple(headers), body.length
    )


def describe_cancel(
    cause: codes.ResultCode | None, may_have_run: bool
) -> outcome.Failure:
    """Build the result of an attempt that was cancelled.

    Args:
        cause: Result code of the cancellation; None at the deadline.
        may_have_run: Whether a target may have received a byte of it.
    """
    ran = codes.Ran.UNKNOWN if may_have_run else codes.Ran.NOT_RUN
    if cause is not None:
        return outcome.Failure(cause, ran_override=ran)
    if may_have_run:
        return outcome.Failure(codes.ResultCode.DEADLINE_EXCEEDED_RUNNING)
    return outcome.Failure(codes.ResultCode.DEADLINE_EXCEEDED)
