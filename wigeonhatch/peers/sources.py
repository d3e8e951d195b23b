"""Choice of the peers from which a host reads what they know."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import anyio

from wigeonhatch import clock as clocks
from wigeonhatch.peers import roster as rosters
from wigeonhatch.peers import state_link

MAX_SOURCES = 3
"""Peers that are asked at most, one after the other."""
HEDGE_DELAY_MS = 400
"""Time without an answer after which the next peer is asked as well. A few
round trips fit into it."""
FAILURE_MEMORY_MS = 5_000
"""Time for which a peer that did not answer in time is asked last."""
_T = typing.TypeVar('_T')


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """Peer to read from.

    Args:
        host: Name of the host.
        ip: Its address.
    """

    host: str
    ip: str


Fetch = collections.abc.Callable[
    [Source], collections.abc.Awaitable[_T | None]
]
"""Reads from a peer; None if it did not answer."""


class PeerSources:
    """Read from the nearest peers that answer.

    Args:
        domain: Failure domain of this host.
        region: Region of this host.
        peers: States of the peers.
        roster: Addresses of the peers.
        clock: Source of monotonic time.
    """

    def __init__(
        self,
        domain: str,
        region: str,
        peers: state_link.PeerTable,
        roster: rosters.Roster,
        clock: clocks.Clock,
    ) -> None:
        self._domain = domain
        self._region = region
        self._peers = peers
        self._roster = roster
        self._clock = clock
        self._failed_ms_by_host: dict[str, int] = {}

    def find(
        self, rank: collections.abc.Callable[[state_link.HostReport], int]
    ) -> list[Source]:
        """Find the live peers to read from, the preferred ones first.

        Args:
            rank: Returns how much a peer knows, above 0 if it knows more than
                this host; of two that are equally near, the higher is asked.

        Returns:
            At most `MAX_SOURCES` peers. Those that have not answered lately
            come last, then the nearest ones first.
        """
        now_ms = self._clock.now_ms
        self._failed_ms_by_host = {
            host: failed_ms
            for host, failed_ms in self._failed_ms_by_host.items()
            if now_ms - failed_ms < FAILURE_MEMORY_MS
        }
        candidates = sorted(
            (
                (
                    state.host not in self._failed_ms_by_host,
                    state.domain == self._domain,
                    state.region == self._region,
                    rank(state.report),
                    state.host,
                )
                for state in self._peers.live_states()
                if rank(state.report) > 0
            ),
            reverse=True,
        )
        ip_by_host = self._roster.ip_by_host
        hosts = (host for *_, host in candidates if host in ip_by_host)
        return [Source(host, ip_by_host[host]) for host in hosts][:MAX_SOURCES]

    async def read(
        self, sources: collections.abc.Iterable[Source], fetch: Fetch[_T]
    ) -> _T | None:
        """Read from the first peer that answers.

        The next one is asked if a peer fails, or has not answered for
        `HEDGE_DELAY_MS`.

        Args:
            sources: Peers in the order in which to ask them.
            fetch: Reads from one of them.

        Returns:
            The first answer; None if there was none.
        """
        results: list[_T] = []

        async def ask(source: Source, ended: anyio.Event) -> None:
            result = await fetch(source)
            if result is None:
                self._failed_ms_by_host[source.host] = self._clock.now_ms
            else:
                self._failed_ms_by_host.pop(source.host, None)
                results.append(result)
                tasks.cancel_scope.cancel()
            ended.set()

        async with anyio.create_task_group() as tasks:
            for source in sources:
                ended = anyio.Event()
                tasks.start_soon(ask, source, ended)
                with anyio.move_on_after(HEDGE_DELAY_MS / 1_000):
                    await ended.wait()
                if not ended.is_set():
                    self._failed_ms_by_host[source.host] = self._clock.now_ms
        return results[0] if results else None
