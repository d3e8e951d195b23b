"""Forwarding of requests, server side."""

from __future__ import annotations

import asyncio
import logging
import typing

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch import settings
from wigeonhatch.peers import peers_pb2
from wigeonhatch.requests import _forward_messages
from wigeonhatch.requests import attempts
from wigeonhatch.requests import body as bodies
from wigeonhatch.requests import dependencies
from wigeonhatch.requests import forward_client
from wigeonhatch.requests import headers as fields
from wigeonhatch.requests import model
from wigeonhatch.requests import retry

LOG = logging.getLogger(__name__)


class ForwardServer:
    """Handler of the `Forward` RPC.

    Args:
        clock: Source of monotonic time.
        config: Configuration in force.
        runner: Runs the requests.
        forwarder: Takes tokens from the link budgets.
        limits: Limits of the callers' interface.

    Attributes:
        end_ms: Time on the monotonic clock in ms at which the host ends the
            requests in progress; None unless it stops. Requests with a later
            deadline are refused.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        config: dependencies.ConfigSource,
        runner: attempts.RequestRunner,
        forwarder: forward_client.ForwardClient,
        limits: settings.Limits,
    ) -> None:
        self.end_ms: int | None = None
        self._handler_count = 0
        self._clock = clock
        self._config = config
        self._runner = runner
        self._forwarder = forwarder
        self._limits = limits
        self._tasks: set[asyncio.Task[attempts.Result]] = set()

    @property
    def in_progress(self) -> int:
        """Number of forwarded requests in progress."""
        return max(self._handler_count, len(self._tasks))

    async def handle(self, stream: typing.Any) -> None:
        """Run one forwarded request and send its response.

        Args:
            stream: grpclib stream of `ForwardRequest` and `ForwardReply`.
        """
        self._handler_count += 1
        try:
            result = await self._run(stream)
            await _send_end(stream, result)
        finally:
            self._handler_count -= 1

    async def _run(self, stream: typing.Any) -> attempts.Result:
        message = await stream.recv_message()
        if message is None or message.WhichOneof('part') != 'head':
            return outcome.Failure(
                codes.ResultCode.BAD_REQUEST, 'the stream has no head'
            )
        head = message.head
        failure = self._check(head)
        if failure is not None:
            return failure
        request = self._parse_head(head)
        reply = _StreamReply(
            stream, self._forwarder, request, head.sender_region
        )
        body = bodies.RequestBody(
            head.body_length,
            _chunk_reader(stream, is_small=_is_small(head.body_length)),
            self._limits.max_body_bytes,
        )
        if body.is_small:
            failure = await body.buffer()
            if failure is not None:
                return failure
        control = model.RequestControl()
        context = model.RequestContext(request, body, reply, control)
        if request.key:
            result = await self._run_as_issuer(context, reply)
        else:
            result = await self._runner.run_local(context, head.wait_ms)
        if isinstance(result, outcome.Failure):
            is_refused = retry.is_admission_refusal(result)
            LOG.log(
                logging.DEBUG if is_refused else logging.INFO,
                'forwarded request %s ended with %s: %s',
                request.request_id,
                result.code.name,
                result.detail,
            )
        return result

    async def _run_as_issuer(
        self, context: model.RequestContext, reply: _StreamReply
    ) -> attempts.Result:
        running = self._runner.run_as_issuer(context)
        if not context.body.is_small:
            return await running
        # The task outlives the forwarding host, so that a later attempt with
        # the same key finds the result; it ends at the deadline.
        task = asyncio.get_running_loop().create_task(running)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            reply.is_peer_lost = True
            raise

    def _check(self, head: peers_pb2.ForwardHead) -> outcome.Failure | None:
        versioned = self._config.current
        if versioned is None:
            return outcome.Failure(codes.ResultCode.NOT_READY)
        if head.service not in versioned.config.service_by_name:
            return outcome.Failure(
                codes.ResultCode.UNKNOWN_SERVICE, head.service
            )
        if head.deadline_ms == 0:
            return outcome.Failure(codes.ResultCode.DEADLINE_EXCEEDED)
        deadline_ms = self._clock.now_ms + head.deadline_ms
        if self.end_ms is not None and deadline_ms > self.end_ms:
            return outcome.Failure(codes.ResultCode.NOT_READY)
        if head.body_length > self._limits.max_body_bytes:
            return outcome.Failure(codes.ResultCode.BODY_TOO_LARGE)
        return None

    def _parse_head(self, head: peers_pb2.ForwardHead) -> model.CallerRequest:
        headers = tuple((item.name, item.value) for item in head.headers)
        client = fields.find(headers, fields.CLIENT) or b''
        return model.CallerRequest(
            request_id=head.request_id,
            service=head.service,
            method=head.method,
            path=head.path.encode('ascii'),
            headers=fields.filter_request(headers),
            deadline_ms=self._clock.now_ms + head.deadline_ms,
            customer=head.customer,
            is_idempotent=not head.non_idempotent,
            key=head.key,
            client=client.decode('ascii', 'replace'),
            bucket=head.bucket,
        )


class _StreamReply:
    """Send a response over the stream, within the link budget."""

    def __init__(
        self,
        stream: typing.Any,
        forwarder: forward_client.ForwardClient,
        request: model.CallerRequest,
        region: str,
    ) -> None:
        self.is_started = False
        self.is_peer_lost = False
        self._stream = stream
        self._forwarder = forwarder
        self._request = request
        self._region = region
        self._is_bulk = False
        self._sent_bytes = 0

    async def start(
        self, status: int, headers: fields.HeaderTuple
    ) -> outcome.Failure | None:
        length = fields.find(headers, b'content-length')
        self._is_bulk = (
            length is not None and int(length) > bodies.BULK_BODY_BYTES
        )
        if not await self._take_tokens(_forward_messages.head_size(headers)):
            return self._link_full()
        self.is_started = True
        head = peers_pb2.ForwardReplyHead(
            status=status,
            headers=[
                peers_pb2.Header(name=name, value=value)
                for name, value in headers
            ],
        )
        return await self._send(peers_pb2.ForwardReply(head=head))

    async def write(
        self, chunk: bytes, is_last: bool
    ) -> outcome.Failure | None:
        for piece in _forward_messages.split_chunk(chunk):
            if not piece:
                continue
            self._sent_bytes += len(piece)
            if self._sent_bytes > bodies.BULK_BODY_BYTES:
                self._is_bulk = True
            if not await self._take_tokens(len(piece)):
                return self._link_full()
            failure = await self._send(peers_pb2.ForwardReply(body=piece))
            if failure is not None:
                return failure
        return None

    async def _send(
        self, message: peers_pb2.ForwardReply
    ) -> outcome.Failure | None:
        if not self.is_peer_lost:
            try:
                await self._stream.send_message(message)
                return None
            except forward_client.PEER_ERRORS:
                self.is_peer_lost = True
        return outcome.Failure(
            codes.ResultCode.CALLER_GONE,
            'the forwarding host left',
            codes.Ran.RAN,
        )

    async def _take_tokens(self, size: int) -> bool:
        return await self._forwarder.take_tokens(
            self._region,
            size,
            self._is_bulk,
            self._forwarder.remaining_ms(self._request),
        )

    def _link_full(self) -> outcome.Failure:
        return outcome.Failure(
            codes.ResultCode.LINK_FULL,
            f'link to {self._region}',
            codes.Ran.RAN,
        )


def _is_small(body_length: int) -> bool:
    return 0 <= body_length <= bodies.SMALL_BODY_BYTES


def _chunk_reader(stream: typing.Any, is_small: bool) -> bodies.ReadChunk:
    """Build a reader of body messages.

    The first read of a large body reports the admission to the sender, which
    waits for it, since the body is read only after admission.
    """
    has_reported_admission = is_small

    async def read_chunk() -> bytes | None | outcome.Failure:
        nonlocal has_reported_admission
        if not has_reported_admission:
            has_reported_admission = True
            await stream.send_message(peers_pb2.ForwardReply(admitted=True))
        message = await stream.recv_message()
        part = None if message is None else message.WhichOneof('part')
        if part == 'body':
            return bytes(message.body)
        if part == 'end':
            return None
        return outcome.Failure(
            codes.ResultCode.CALLER_GONE, 'the forwarding host left'
        )

    return read_chunk


async def _send_end(stream: typing.Any, result: attempts.Result) -> None:
    if isinstance(result, outcome.Success):
        end = peers_pb2.ForwardEnd(code=codes.ResultCode.OK)
    else:
        end = peers_pb2.ForwardEnd(
            code=int(result.code),
            detail=result.detail,
            ran=result.ran.value,
        )
    await stream.send_message(peers_pb2.ForwardReply(end=end))
