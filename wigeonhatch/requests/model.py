"""Data and cancellation of one request on a host."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import anyio
import xxhash

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.requests import body as bodies
from wigeonhatch.requests import fingerprint
from wigeonhatch.requests import headers as fields


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """Validated head of a request.

    Args:
        request_id: Request ID for logs and refusals.
        service: Name of the service.
        method: HTTP method.
        path: Path with query, as the caller sent it.
        headers: End-to-end header fields for the target.
        deadline_ms: Deadline on the monotonic clock in ms.
        customer: Name of the customer; empty for none.
        is_idempotent: Whether the request may run more than once.
        key: Idempotency key, if this host is the issuer or has to forward
            the request to the issuer; else empty.
        client: Address of the client.
        bucket: Hash bucket of the client.
    """

    request_id: str
    service: str
    method: str
    path: bytes
    headers: fields.HeaderTuple
    deadline_ms: int
    customer: str
    is_idempotent: bool
    key: str
    client: str
    bucket: int

    def digest(self, body_length: int) -> bytes:
        """Hash of the request, which its idempotency key is bound to.

        Args:
            body_length: Length of the body in bytes; -1 if not known.
        """
        text = f'{self.service}\0{self.method}\0{body_length}\0'
        return xxhash.xxh3_128_digest(text.encode() + self.path)

    def compute_fingerprint(self, body: bodies.RequestBody) -> int:
        """Hash what repeats of the request have in common, at any host.

        Args:
            body: Body of the request; only its length counts if it is too
                large to be buffered.
        """
        return fingerprint.compute_fingerprint(
            (
                self.method.encode(),
                self.path,
                self.client.encode(),
                self.customer.encode(),
                body.content if body.is_small else b'%d' % body.length,
            )
        )


class Reply(typing.Protocol):
    """Receiver of the response to a request."""

    @property
    def is_started(self) -> bool:
        """Whether the head was sent."""

    async def start(
        self, status: int, headers: fields.HeaderTuple
    ) -> outcome.Failure | None:
        """Send the head."""

    async def write(
        self, chunk: bytes, is_last: bool
    ) -> outcome.Failure | None:
        """Send a chunk of the body."""


class AttemptState:
    """State of one attempt.

    Attributes:
        may_have_run: Whether a byte may have reached a target.
        has_result: Whether another host has reported the result.
    """

    __slots__ = ('has_result', 'may_have_run')

    def __init__(self) -> None:
        self.may_have_run = False
        self.has_result = False


class RequestControl:
    """Cancel the attempt in progress of one request."""

    __slots__ = ('_scope', 'cause', 'is_detached')

    def __init__(self) -> None:
        self.cause: codes.ResultCode | None = None
        # A non-idempotent request continues after its caller disconnects, so
        # that a later attempt with the same key finds its result.
        self.is_detached = False
        self._scope: anyio.CancelScope | None = None

    def on_caller_gone(self) -> None:
        """Cancel the request unless it is detached from its caller."""
        if not self.is_detached:
            self.cause = codes.ResultCode.CALLER_GONE
            if self._scope is not None:
                self._scope.cancel()

    def on_preempt(self) -> None:
        """Cancel the attempt because its slot is reclaimed."""
        if self.cause is None and self._scope is not None:
            self.cause = codes.ResultCode.PREEMPTED
            self._scope.cancel()

    def enter(self, scope: anyio.CancelScope) -> None:
        """Set the scope that a cancellation applies to."""
        self._scope = scope
        if self.cause is codes.ResultCode.CALLER_GONE:
            scope.cancel()

    def leave(self) -> codes.ResultCode | None:
        """Clear the scope.

        Returns:
            Cause of a cancellation other than the deadline, if any.
        """
        self._scope = None
        cause = self.cause
        if cause is codes.ResultCode.PREEMPTED:
            self.cause = None
        return cause


@dataclasses.dataclass(frozen=True, slots=True)
class RequestContext:
    """State of one request that its attempts share.

    Args:
        request: Validated head.
        body: Body of the request.
        reply: Receiver of the response.
        control: Cancels the attempt in progress.
    """

    request: CallerRequest
    body: bodies.RequestBody
    reply: Reply
    control: RequestControl


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSummary:
    """Result of a request, for metrics and logs.

    Args:
        request_id: ID of the request.
        service: Name of the service; empty if unknown.
        code: Result code.
        elapsed_ms: Time since the head was received in ms.
    """

    request_id: str
    service: str
    code: codes.ResultCode
    elapsed_ms: int


OnFinished = collections.abc.Callable[[RequestSummary], None]
