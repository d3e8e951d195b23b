"""Requests that peers run, as this host does not reach the targets."""

from __future__ import annotations

import collections.abc
import dataclasses
import logging

import anyio

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import log
from wigeonhatch import outcome
from wigeonhatch.platform import messages
from wigeonhatch.requests import _exchange
from wigeonhatch.requests import body as bodies
from wigeonhatch.requests import forward_fields
from wigeonhatch.requests import model
from wigeonhatch.requests import relay_model
from wigeonhatch.requests import response_buffer
from wigeonhatch.targets import client as target_client
from wigeonhatch.targets import request as target_request

MAX_PEERS = 3
"""Peers that are tried, one after the other, while none has run a request."""
MAX_CONNECTIONS = 256
"""Connections to one peer."""
MAX_KNOWN_PEERS = 256
"""Peers to which connections are kept; hosts are replaced all the time."""
_LOG = logging.getLogger(__name__)
_Result = relay_model.Response | relay_model.Refusal
_MISSED_CODES = frozenset(
    {
        codes.ResultCode.NOT_FOUND,
        codes.ResultCode.NOT_READY,
        codes.ResultCode.PEER_UNREACHABLE,
        codes.ResultCode.TARGET_CONNECT_FAILED,
        codes.ResultCode.TOO_MANY_CONNECTIONS,
    }
)
"""Refusals that say something about a peer rather than the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Host that reaches the targets.

    Args:
        host: Name of the host.
        address: `IP:PORT` at which it takes requests of peers.
    """

    host: str
    address: str


FindPeers = collections.abc.Callable[
    [frozenset[str]], collections.abc.Sequence[Peer]
]
"""Returns the peers that may run a request with the given allowed regions, the
preferred ones first."""


class PeerForwarder:
    """Let a peer run a request with what is left of its time and attempts.

    A peer runs the request as if a caller had sent it, with its own picker and
    retry budget, and does not forward it again.

    Args:
        client: HTTP client of the peers.
        find_peers: Returns the peers that may run a request.
        clock: Source of monotonic time.
    """

    def __init__(
        self,
        client: target_client.TargetClient,
        find_peers: FindPeers,
        clock: clocks.Clock,
    ) -> None:
        self._client = client
        self._find_peers = find_peers
        self._clock = clock
        self._buffered = response_buffer.BufferedBytes()
        self._address_by_host: dict[str, str] = {}

    async def forward(
        self,
        request: relay_model.RelayRequest,
        body: bodies.RequestBody,
        control: model.RequestControl,
        attempts_left: int,
    ) -> _Result | None:
        """Forward a request until a peer has decided on it.

        Args:
            request: Validated head.
            body: Body of the request, which can still be sent.
            control: Cancels the request when the caller disconnects.
            attempts_left: Targets to which it may still be sent.

        Returns:
            The response or the refusal of a peer; None if no peer could be
            asked, so that the request has certainly not run at one.
        """
        peers = self._find_peers(request.route.allowed_regions)[:MAX_PEERS]
        for peer in peers:
            if control.cause is not None:
                return None
            self._connect(peer, peers)
            started_ms = self._clock.now_ms
            with anyio.CancelScope() as scope:
                control.enter(scope)
                result = await self._send(peer, request, body, attempts_left)
            cause = control.leave()
            if scope.cancelled_caught:
                result = _refuse(
                    cause or codes.ResultCode.PEER_LOST, codes.Ran.UNKNOWN
                )
            _log_forward(
                request, peer, result, self._clock.now_ms - started_ms
            )
            if not _is_missed(result) or not body.is_replayable:
                return result
        return None

    def _connect(
        self, peer: Peer, peers: collections.abc.Sequence[Peer]
    ) -> None:
        """Add a peer to the client, or replace its address."""
        if self._address_by_host.get(peer.host) == peer.address:
            return
        if len(self._address_by_host) >= MAX_KNOWN_PEERS:
            self._address_by_host = {
                other.host: other.address for other in peers
            }
        self._address_by_host[peer.host] = peer.address
        self._client.set_targets(
            {
                host: (address, MAX_CONNECTIONS)
                for host, address in self._address_by_host.items()
            }
        )

    async def _send(
        self,
        peer: Peer,
        request: relay_model.RelayRequest,
        body: bodies.RequestBody,
        attempts_left: int,
    ) -> _Result:
        head = target_request.RequestHead(
            request.method,
            request.path,
            (
                *messages.forwarded_headers(
                    request.headers, request.deadline_ms - self._clock.now_ms
                ),
                forward_fields.encode_limits(
                    forward_fields.Limits(
                        attempts_left, request.config_version
                    )
                ),
            ),
            body.length,
            request.host_name,
        )
        sent = await self._client.send(
            peer.host, head, body.payload(), request.deadline_ms
        )
        if isinstance(sent, outcome.Failure):
            return _refuse_lost(sent)
        response = sent.value
        decision = forward_fields.find_decision(response.headers)
        if decision is None:
            await response.close()
            return _refuse(codes.ResultCode.PEER_LOST, codes.Ran.UNKNOWN)
        if decision.code is not codes.ResultCode.OK:
            await response.discard()
            return relay_model.Refusal(
                outcome.Failure(
                    decision.code, f'at {peer.host}', decision.ran
                ),
                decision.retry_after_ms,
            )
        buffer = response_buffer.ResponseBuffer(self._buffered)
        try:
            result = await _exchange.read_complete(
                response,
                messages.read_target_fields(response.headers, response.status),
                '',
                buffer,
            )
        finally:
            buffer.close()
        if isinstance(result, outcome.Failure):
            return relay_model.Refusal(result, 0)
        return dataclasses.replace(
            result, headers=forward_fields.remove_decision(result.headers)
        )


def _refuse(code: codes.ResultCode, ran: codes.Ran) -> relay_model.Refusal:
    return relay_model.Refusal(outcome.Failure(code, ran_override=ran), 0)


def _refuse_lost(failure: outcome.Failure) -> relay_model.Refusal:
    """Describe a peer that could not be asked, or did not respond."""
    if failure.ran is not codes.Ran.NOT_RUN:
        return relay_model.Refusal(failure, 0)
    if failure.code is codes.ResultCode.DEADLINE_EXCEEDED:
        return relay_model.Refusal(failure, 0)
    return _refuse(codes.ResultCode.PEER_UNREACHABLE, codes.Ran.NOT_RUN)


def _is_missed(result: _Result) -> bool:
    """Tell whether another peer may run the request instead."""
    return (
        isinstance(result, relay_model.Refusal)
        and result.failure.ran is codes.Ran.NOT_RUN
        and result.failure.code in _MISSED_CODES
    )


def _log_forward(
    request: relay_model.RelayRequest,
    peer: Peer,
    result: _Result,
    elapsed_ms: int,
) -> None:
    log.event(
        _LOG,
        'request forwarded',
        request_id=request.id_text,
        peer=peer.host,
        took_ms=elapsed_ms,
        result=(
            result.status
            if isinstance(result, relay_model.Response)
            else f'{result.failure.code.name}: {result.failure.detail}'
        ),
    )
