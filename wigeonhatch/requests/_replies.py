"""Recording and replay of responses, and rendering of refusals."""

from __future__ import annotations

import msgspec

from wigeonhatch import outcome
from wigeonhatch.requests import headers as fields
from wigeonhatch.requests import keys
from wigeonhatch.requests import model

_JSON_TYPE = (b'content-type', b'application/json')
_REPLAYED = (b'wigeonhatch-replayed', b'1')


class RecordingReply:
    """Forward a response and record it if it is small.

    A small response is recorded to its end even if the caller is gone, so
    that a later attempt with the same key can replay it.

    Args:
        inner: Receiver of the response.
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
        """Whether the head was forwarded."""
        return self._inner.is_started

    @property
    def stored(self) -> keys.StoredResponse | None:
        """The recorded response; None if too long or incomplete."""
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
        self, chunk: bytes, is_last: bool
    ) -> outcome.Failure | None:
        """Send a chunk of the body."""
        if self._body is not None:
            self._body += chunk
            if len(self._body) > keys.MAX_STORED_RESPONSE_BYTES:
                self._body = None
        self._is_complete = is_last
        if self.failure is None:
            self.failure = await self._inner.write(chunk, is_last)
        return self.failure if self._body is None else None


async def replay_stored(
    reply: model.Reply, stored: keys.StoredResponse
) -> outcome.Success[None] | outcome.Failure:
    """Replay a stored response.

    Args:
        reply: Receiver of the response.
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
        failure: Cause of the refusal.
        request_id: ID of the request.

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


def render_stored_refusal(
    failure: outcome.Failure, request_id: str
) -> keys.StoredResponse:
    """Render a refusal for replay to later attempts with the same key.

    Args:
        failure: Cause of the refusal.
        request_id: ID of the request.
    """
    status, headers, body = render_refusal(failure, request_id)
    return keys.StoredResponse(status, tuple(headers), body)
