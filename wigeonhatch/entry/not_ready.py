"""Refuse requests while a daemon is unconfigured or stopping."""

from __future__ import annotations

import typing

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.peers import peers_pb2
from wigeonhatch.requests import _fields
from wigeonhatch.requests import _replies
from wigeonhatch.requests import application as applications

_FAILURE = outcome.Failure(codes.ResultCode.NOT_READY)


def is_lookup(scope: typing.Any) -> bool:
    """Tell whether a request is a lookup."""
    return bool(scope.get('path') == applications.LOOKUP_PATH)


async def refuse(scope: typing.Any, send: typing.Any) -> None:
    """Refuse a caller's request; the response states that it was not run.

    Args:
        scope: ASGI scope.
        send: Sends the response.
    """
    if scope['type'] != 'http':
        return
    by_name = dict(scope['headers'])
    request_id = _fields.choose_request_id(
        by_name.get(b'wigeonhatch-request-id')
    )
    status, headers, body = _replies.render_refusal(_FAILURE, request_id)
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': body})


async def refuse_forward(stream: typing.Any) -> None:
    """Refuse a forwarded request; the reply states that it was not run.

    Args:
        stream: grpclib stream of `ForwardRequest` and `ForwardReply`.
    """
    await stream.recv_message()
    await stream.send_message(
        peers_pb2.ForwardReply(
            end=peers_pb2.ForwardEnd(
                code=int(_FAILURE.code), ran=_FAILURE.ran.value
            )
        )
    )
