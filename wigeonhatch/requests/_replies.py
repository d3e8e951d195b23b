"""Replies that record, replay or refuse."""

from __future__ import annotations

import msgspec

from wigeonhatch import outcome
from wigeonhatch.requests import headers as fields
from wigeonhatch.requests import keys
from wigeonhatch.requests import model

_JSON_TYPE = (b'content-type', b'application/json')
_REPLAYED = (b'wigeonhatch-replayed', b'1')


class RecordingReply:
    """Pass a response on and keep it while it is small.

    A small response is kept to its end even if it can no longer be passed
    on, so that a later attempt with the same key finds it.

    Args:
        inner: Where the response goes.
    """

    def __init__(self, inner: model.Reply) -> None:
        self.failure: outcome.Failure | None = None
        self._inner = inner
        self._status = 0
        self._headers: fields.HeaderTuple = ()
        self._body: bytearray | None = bytearray()
        self._is_complete = False

    @property
    def is_started(self) -> bool:
        """Whether the head was passed on."""
        return self._inner.is_started

    @property
    def stored(self) -> keys.StoredResponse | None:
        """The complete response; None if it is too long or broke off."""
        if self._body is None or not self._is_complete:
            return None
        return keys.StoredResponse(
            self._status, self._headers, bytes(self._body)
        )

    async def start(
        self, status: int, headers: fields.HeaderTuple
    ) -> outcome.Failure | None:
        """Send the head."""
        self._status = status
        self._headers = headers
        self.failure = await self._inner.start(status, headers)
        return None

    async def write(
        self, part: bytes, is_last: bool
    ) -> outcome.Failure | None:
        """Send a part of the body."""
        if self._body is not None:
            self._body += part
            if len(self._body) > keys.MAX_STORED_RESPONSE_BYTES:
                self._body = None
        self._is_complete = is_last
        if self.failure is None:
            self.failure = await self._inner.write(part, is_last)
        return self.failure if self._body is None else None


async def send_stored(
    reply: model.Reply, stored: keys.StoredResponse
) -> outcome.Success[None] | outcome.Failure:
    """Send a stored response.

    Args:
        reply: Where the response goes.
        stored: The response.
    """
    failure = await reply.start(stored.status, (*stored.headers, _REPLAYED))
    if failure is None:
        failure = await reply.write(stored.body, True)
    return failure or outcome.Success(None)


def render_refusal(
    failure: outcome.Failure, request_id: str
) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
    """Render a refusal.

    Args:
        failure: Why the request was refused.
        request_id: Identity of the request.

    Returns:
        HTTP status, headers and body.
    """
    info = failure.info
    ran = failure.ran.value
    body = msgspec.json.encode(
        {
            'code': int(failure.code),
            'name': failure.code.name,
            'ran': ran,
            'retryable': info.retryable,
            'detail': failure.detail or info.meaning,
            'request_id': request_id,
        }
    )
    headers = [
        _JSON_TYPE,
        (b'content-length', b'%d' % len(body)),
        (fields.CODE, b'%d' % failure.code),
        (fields.RAN, ran.encode()),
    ]
    return info.http_status, headers, body


def store_refusal(
    failure: outcome.Failure, request_id: str
) -> keys.StoredResponse:
    """Keep a refusal for later attempts with the same key.

    Args:
        failure: Why the request was refused.
        request_id: Identity of the request.
    """
    status, headers, body = render_refusal(failure, request_id)
    return keys.StoredResponse(status, tuple(headers), body)
