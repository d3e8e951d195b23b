"""Request and response of one attempt at a target."""

from __future__ import annotations

import collections.abc

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.platform import messages
from wigeonhatch.requests import body as bodies
from wigeonhatch.requests import headers as fields
from wigeonhatch.requests import relay_model
from wigeonhatch.requests import response_buffer
from wigeonhatch.targets import client as target_client
from wigeonhatch.targets import request as target_request
from wigeonhatch.targets import response as target_response

_MISDIRECTED = 421


async def exchange(
    client: target_client.TargetClient,
    request: relay_model.RelayRequest,
    body: bodies.RequestBody,
    target: str,
    now_ms: int,
    on_response_head: collections.abc.Callable[[messages.TargetFields], None],
    on_received: collections.abc.Callable[[], None],
    buffered: response_buffer.BufferedBytes,
) -> relay_model.Response | outcome.Failure:
    """Send a request to a target and buffer its complete response.

    Args:
        client: HTTP client of the targets.
        request: Validated head.
        body: Body of the request.
        target: Name of the target.
        now_ms: Monotonic time in ms.
        on_response_head: Receives the fields of the response head.
        on_received: Called when the target has ended its response.
        buffered: Bytes in the buffers of the host.

    Returns:
        The response; or a failure, which is "not run" only if the target
        declares that or no byte was sent.
    """
    head = target_request.RequestHead(
        request.method,
        request.path,
        messages.attempt_headers(
            request.headers, target, request.deadline_ms - now_ms
        ),
        body.length,
        request.host_name,
    )
    send_result = await client.send(
        target, head, body.payload(), request.deadline_ms
    )
    if isinstance(send_result, outcome.Failure):
        return send_result
    response = send_result.value
    response.on_received = on_received
    target_fields = messages.read_target_fields(
        response.headers, response.status
    )
    if response.status != _MISDIRECTED:
        # The fields of a misdirected response describe another target.
        on_response_head(target_fields)
    if target_fields.request_id != request.request_id:
        await response.close()
        return outcome.Failure(
            codes.ResultCode.TARGET_PROTOCOL,
            'the response belongs to another request',
            codes.Ran.UNKNOWN,
        )
    if target_fields.is_not_run or response.status == _MISDIRECTED:
        await response.discard()
        return outcome.Failure(
            codes.ResultCode.TARGET_SHED,
            f'status {response.status}, load {target_fields.load}',
            codes.Ran.NOT_RUN,
        )
    buffer = response_buffer.ResponseBuffer(buffered)
    try:
        return await read_complete(response, target_fields, target, buffer)
    finally:
        buffer.close()


async def read_complete(
    response: target_response.TargetResponse,
    target_fields: messages.TargetFields,
    target: str,
    buffer: response_buffer.ResponseBuffer,
) -> relay_model.Response | outcome.Failure:
    """Read a response to its end.

    Args:
        response: Response whose body has not been read yet.
        target_fields: Fields of its head.
        target: Name of the target.
        buffer: Receives the body.

    Returns:
        The response; or a failure if it is not signed, encoded or incomplete.
    """
    is_success = 200 <= response.status < 300
    if is_success and not target_fields.is_signed:
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
    while (chunk := await response.read()) is not None:
        if isinstance(chunk, outcome.Failure):
            return chunk
        reason = buffer.append(chunk)
        if reason is not None:
            await response.close()
            return outcome.Failure(
                codes.ResultCode.RESPONSE_INCOMPLETE, reason
            )
    headers = tuple(
        item for item in response.headers if item[0] != b'content-length'
    )
    return relay_model.Response(
        response.status, headers, bytes(buffer.content), target
    )
