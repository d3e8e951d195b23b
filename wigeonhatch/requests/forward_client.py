"""Forwarding of requests to the hosts that admit them, client side."""

from __future__ import annotations

import collections.abc
import dataclasses
import logging
import typing

import anyio
import grpclib
import grpclib.exceptions
import h2.exceptions

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.peers import peers_pb2
from wigeonhatch.requests import _forward_messages
from wigeonhatch.requests import body as bodies
from wigeonhatch.requests import dependencies
from wigeonhatch.requests import headers as fields
from wigeonhatch.requests import model
from wigeonhatch.targets import request as target_request

LOG = logging.getLogger(__name__)

# The head and a small body wait this long for link tokens; then the next route
# is tried.
LINK_WAIT_MS = 100

Result = outcome.Success[None] | outcome.Failure
PEER_ERRORS = (
    OSError,
    TimeoutError,
    grpclib.GRPCError,
    grpclib.exceptions.ProtocolError,
    grpclib.exceptions.StreamTerminatedError,
    h2.exceptions.H2Error,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """Host that a request is forwarded to.

    Args:
        host: Name of the host.
        region: Region of the host; empty to look it up.
        is_owner: Whether the host runs the request at its own targets only,
            rather than as the issuer of the request's key.
        wait_ms: Longest time that the host may wait for a slot, in ms.
    """

    host: str
    region: str
    is_owner: bool
    wait_ms: int = 0


class ForwardClient:
    """Send requests to other hosts over the peer service.

    Args:
        region: Region of this host.
        clock: Source of monotonic time.
        config: Configuration in force, for the regions of hosts.
        peers: gRPC channels to the other hosts.
        links: Byte budgets of the links from this region.
    """

    def __init__(
        self,
        region: str,
        clock: clocks.Clock,
        config: dependencies.ConfigSource,
        peers: dependencies.PeerChannels,
        links: dependencies.LinkBudget,
    ) -> None:
        self._region = region
        self._clock = clock
        self._config = config
        self._peers = peers
        self._links = links

    async def forward(
        self,
        destination: Destination,
        request: model.CallerRequest,
        body: bodies.RequestBody,
        reply: model.Reply,
        state: model.AttemptState,
        on_sent: collections.abc.Callable[[], None],
    ) -> Result:
        """Forward a request and relay its response.

        Args:
            destination: Host to forward to.
            request: Validated head.
            body: Body; sent after admission unless it is small.
            reply: Receiver of the response.
            state: State to update when the host reports a result.
            on_sent: Called before the first byte is sent.

        Returns:
            The result that the host reported, or a failure if there is none.
        """
        stub = self._peers.stub(destination.host)
        if stub is None:
            return _describe_unreachable(destination.host)
        region = destination.region or self._region_of(destination.host)
        if region is None:
            return _describe_unreachable(destination.host)
        has_tokens = await self.take_tokens(
            region,
            _forward_messages.head_size(request.headers) + len(body.content),
            body.is_bulk,
            min(LINK_WAIT_MS, self.remaining_ms(request)),
        )
        if not has_tokens:
            return outcome.Failure(
                codes.ResultCode.LINK_FULL, f'link to {region}'
            )
        call = _Call(self, destination, region, request, body, reply, state)
        try:
            async with stub.Forward.open() as stream:
                await call.run(stream, on_sent)
                if not state.has_result:
                    # On exit, the stream would wait for the host to end it.
                    await stream.cancel()
        except PEER_ERRORS as error:
            _forward_messages.clear_cancellation()
            if call.result is None:
                call.result = call.describe_loss(str(error))
        return call.result or call.describe_loss('no end marker')

    async def take_tokens(
        self, region: str, size: int, is_bulk: bool, wait_ms: int
    ) -> bool:
        """Take tokens from the byte budget of the link to a region.

        Args:
            region: Region of the receiver.
            size: Bytes to send.
            is_bulk: Whether the bytes belong to a bulk transfer.
            wait_ms: Longest wait in ms.

        Returns:
            Whether the bytes may be sent.
        """
        if region in ('', self._region):
            return True
        traffic_class = (
            dependencies.TrafficClass.BULK
            if is_bulk
            else dependencies.TrafficClass.SMALL
        )
        return await self._links.acquire(region, size, traffic_class, wait_ms)

    def remaining_ms(self, request: model.CallerRequest) -> int:
        """Time until the deadline of a request in ms, at least 1.

        Args:
            request: The request.
        """
        return max(1, request.deadline_ms - self._clock.now_ms)

    def build_head(
        self,
        request: model.CallerRequest,
        body: bodies.RequestBody,
        destination: Destination,
    ) -> peers_pb2.ForwardHead:
        """Build the head message.

        Args:
            request: Validated head.
            body: Body of the request.
            destination: Host that receives the message.
        """
        headers = [
            peers_pb2.Header(name=name, value=value)
            for name, value in request.headers
        ]
        headers.append(
            peers_pb2.Header(name=fields.CLIENT, value=request.client.encode())
        )
        return peers_pb2.ForwardHead(
            request_id=request.request_id,
            service=request.service,
            method=request.method,
            path=request.path.decode('ascii'),
            headers=headers,
            deadline_ms=self.remaining_ms(request),
            customer=request.customer,
            non_idempotent=not request.is_idempotent,
            key='' if destination.is_owner else request.key,
            bucket=request.bucket,
            body_length=body.length,
            sender_region=self._region,
            wait_ms=destination.wait_ms,
        )

    def _region_of(self, host: str) -> str | None:
        versioned = self._config.current
        if versioned is None:
            return None
        host_config = versioned.config.host_by_name.get(host)
        if host_config is None:
            return None
        return versioned.config.find_region(host_config.domain)


class _Call:
    """One forwarded request."""

    def __init__(
        self,
        client: ForwardClient,
        destination: Destination,
        region: str,
        request: model.CallerRequest,
        body: bodies.RequestBody,
        reply: model.Reply,
        state: model.AttemptState,
    ) -> None:
        self.result: Result | None = None
        self._client = client
        self._destination = destination
        self._region = region
        self._request = request
        self._body = body
        self._reply = reply
        self._state = state
        self._may_have_sent_head = False

    async def run(
        self,
        stream: typing.Any,
        on_sent: collections.abc.Callable[[], None],
    ) -> None:
        """Send the request and relay the response."""
        # Opens the connection if there is none. The other host runs nothing
        # before it has received the head.
        await stream.send_request()
        on_sent()
        self._may_have_sent_head = True
        head = self._client.build_head(
            self._request, self._body, self._destination
        )
        await stream.send_message(peers_pb2.ForwardRequest(head=head))
        if not self._body.is_small:
            await self._exchange_chunks(stream)
            return
        if self._body.length:
            await stream.send_message(
                peers_pb2.ForwardRequest(body=self._body.content)
            )
        await stream.send_message(peers_pb2.ForwardRequest(end=True), end=True)
        self.result = await self._receive(stream, _do_nothing)

    def describe_loss(self, detail: str) -> outcome.Failure:
        """Build the failure for a lost or unreachable host.

        Args:
            detail: Observed error.

        Returns:
            A failure that is "not run" only if the head was never sent.
        """
        code = codes.ResultCode.PEER_UNREACHABLE
        if self._may_have_sent_head:
            code = codes.ResultCode.PEER_LOST
        return outcome.Failure(
            code, f'host {self._destination.host}: {detail}'
        )

    async def _exchange_chunks(self, stream: typing.Any) -> None:
        async with anyio.create_task_group() as tasks:

            async def send() -> None:
                failure = await self._send_body(stream)
                if failure is not None:
                    self.result = failure
                    tasks.cancel_scope.cancel()

            def start() -> None:
                tasks.start_soon(send)

            try:
                self.result = await self._receive(stream, start)
            except PEER_ERRORS as error:
                # The task group would wrap the error in an exception group.
                _forward_messages.clear_cancellation()
                self.result = self.describe_loss(str(error))
            tasks.cancel_scope.cancel()

    async def _send_body(self, stream: typing.Any) -> outcome.Failure | None:
        try:
            async for chunk in self._body.chunks():
                for piece in _forward_messages.split_chunk(chunk):
                    if not await self._client.take_tokens(
                        self._region,
                        len(piece),
                        self._body.is_bulk,
                        self._client.remaining_ms(self._request),
                    ):
                        return outcome.Failure(
                            codes.ResultCode.LINK_FULL,
                            f'link to {self._region}',
                            codes.Ran.UNKNOWN,
                        )
                    await stream.send_message(
                        peers_pb2.ForwardRequest(body=piece)
                    )
            await stream.send_message(
                peers_pb2.ForwardRequest(end=True), end=True
            )
        except target_request.BodyInterrupted as error:
            return dataclasses.replace(
                error.failure, ran_override=codes.Ran.UNKNOWN
            )
        except PEER_ERRORS:
            # `_receive` reports the error.
            _forward_messages.clear_cancellation()
        return None

    async def _receive(
        self,
        stream: typing.Any,
        on_admitted: collections.abc.Callable[[], None],
    ) -> Result:
        declared = -1
        received = 0
        is_bodyless = self._request.method == 'HEAD'
        failure: outcome.Failure | None = None
        while True:
            message = await stream.recv_message()
            if message is None:
                return self.describe_loss('no end marker')
            part = message.WhichOneof('part')
            if part == 'admitted':
                on_admitted()
                on_admitted = _do_nothing
            elif part == 'head':
                headers = tuple(
                    (item.name, item.value) for item in message.head.headers
                )
                length_field = fields.find(headers, b'content-length')
                if length_field is not None and not is_bodyless:
                    declared = int(length_field)
                failure = await self._reply.start(message.head.status, headers)
            elif part == 'body':
                received += len(message.body)
                failure = await self._reply.write(message.body, False)
            elif part == 'end':
                return await self._finish(message.end, declared, received)
            if failure is not None:
                return failure

    async def _finish(
        self, end: peers_pb2.ForwardEnd, declared: int, received: int
    ) -> Result:
        self._state.has_result = True
        if end.code != codes.ResultCode.OK:
            return _forward_messages.parse_end(end)
        if not self._reply.is_started or (0 <= declared != received):
            LOG.error(
                'INVARIANT_VIOLATED: request %s: reply of %d of %d bytes',
                self._request.request_id,
                received,
                declared,
            )
            return outcome.Failure(codes.ResultCode.RESPONSE_INCOMPLETE)
        failure = await self._reply.write(b'', True)
        return failure or outcome.Success(None)


def _do_nothing() -> None:
    pass


def _describe_unreachable(host: str) -> outcome.Failure:
    return outcome.Failure(
        codes.ResultCode.PEER_UNREACHABLE, f'host {host} is not reachable'
    )
