"""One attempt at a target."""

from __future__ import annotations

import collections.abc

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.platform import edge
from wigeonhatch.requests import body as bodies
from wigeonhatch.requests import headers as fields
from wigeonhatch.requests import relay_model
from wigeonhatch.targets import client as target_client
from wigeonhatch.targets import request as target_request
from wigeonhatch.targets import response as target_response

MAX_BUFFERED_RESPONSE_BYTES = 8_388_608
"""Responses up to this size are complete before the caller gets a byte, so
that one that breaks off can be replaced."""
_MISDIRECTED = 421


async def exchange(
    client: target_client.TargetClient,
    request: relay_model.RelayRequest,
    body: bodies.RequestBody,
    target: str,
    now_ms: int,
    on_answer: collections.abc.Callable[[edge.TargetFields], None],
) -> relay_model.Response | outcome.Failure:
    """Send a request to a target and receive its whole response.

    Args:
        client: Client of the targets.
        request: Checked head.
        body: Body of the request.
        target: Name of the target.
        now_ms: Monotonic time in ms.
        on_answer: Called with what the head of the response says.

    Returns:
        The response; or a failure, which is "not run" only if the target
        says so or no byte was sent.
    """
    head = target_request.RequestHead(
        request.method,
        request.path,
        edge.attempt_headers(
            request.headers, target, request.deadline_ms - now_ms
        ),
        body.length,
        request.host_name,
    )
    sent = await client.send(
        target, head, body.outgoing(), request.deadline_ms
    )
    if isinstance(sent, outcome.Failure):
        return sent
    response = sent.value
    said = edge.read_target_fields(response.headers)
    on_answer(said)
    if said.request_id != request.request_id:
        await response.close()
        return outcome.Failure(
            codes.ResultCode.TARGET_PROTOCOL,
            'the response belongs to another request',
            codes.Ran.UNKNOWN,
        )
    if said.is_not_run or response.status == _MISDIRECTED:
        await response.discard()
        return outcome.Failure(
            codes.ResultCode.TARGET_SHED,
            f'status {response.status}, load {said.load}',
            codes.Ran.NOT_RUN,
        )
    return await _read_whole(response, said, target)


async def _read_whole(
    response: target_response.TargetResponse,
    said: edge.TargetFields,
    target: str,
) -> relay_model.Response | outcome.Failure:
    is_success = 200 <= response.status < 300
    if is_success and not said.is_signed:
        await response.close()
        return outcome.Failure(
            codes.ResultCode.TARGET_PROTOCOL,
            'the response is not signed',
            codes.Ran.UNKNOWN,
        )
    if fields.find(response.headers, b'content-encoding') is not None:
        await response.close()
        return outcome.Failure(
            codes.ResultCode.TARGET_PROTOCOL,
            'the body is encoded',
            codes.Ran.RAN,
        )
    parts: list[bytes] = []
    size = 0
    while (part := await response.read()) is not None:
        if isinstance(part, outcome.Failure):
            return part
        parts.append(part)
        size += len(part)
        if size > MAX_BUFFERED_RESPONSE_BYTES:
            await response.close()
            return outcome.Failure(
                codes.ResultCode.RESPONSE_INCOMPLETE,
                f'longer than {MAX_BUFFERED_RESPONSE_BYTES} bytes',
            )
    headers = tuple(
        item for item in response.headers if item[0] != b'content-length'
    )
    return relay_model.Response(
        response.status, headers, b''.join(parts), target
    )
