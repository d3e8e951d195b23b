"""Order in which one request tries the hosts that may admit it."""

from __future__ import annotations

import collections.abc

from wigeonhatch.requests import dependencies

# At 95% of the capacity a slot becomes free every few ms, so a short wait
# replaces a refusal.
QUEUE_WAIT_MS = 100
QUEUE_ROUNDS = 4
"""Waits before a request is refused. After each, all hosts are asked again,
since a host with few slots may not free one within a single wait."""
MAX_REFUSALS = 8
"""Hosts that may refuse a request before it waits."""

Start = collections.abc.Callable[
    [], collections.abc.Iterator[dependencies.Route]
]


class RouteSearch:
    """Routes of one request, with waits once all hosts have refused.

    Args:
        start: Begins the routes, best first.
        wait_ms: Time that each host may let the request wait, in ms.
    """

    def __init__(self, start: Start, wait_ms: int) -> None:
        self.wait_ms = wait_ms
        self._start = start
        self._base_wait_ms = wait_ms
        self._routes = start()
        self._refused: set[str] = set()
        self._queue: dependencies.Route | None = None
        self._rounds_left = QUEUE_ROUNDS

    @property
    def is_first_round(self) -> bool:
        """Whether no host has been asked to let the request wait yet."""
        return self._rounds_left == QUEUE_ROUNDS

    def next_route(self) -> dependencies.Route | None:
        """Return the host to try next; None if the request is refused."""
        for route in self._routes:
            if route.host in self._refused:
                continue
            is_home = route.is_local and not route.is_spillover
            if self._queue is None or is_home:
                self._queue = route
            self.wait_ms = self._base_wait_ms
            return route
        if self._queue is None or not self._rounds_left:
            return None
        queue = self._queue
        self._rounds_left -= 1
        self._refused.clear()
        self._queue = None
        self._routes = self._start()
        self.wait_ms = QUEUE_WAIT_MS
        return queue

    def on_refused(self, route: dependencies.Route) -> None:
        """Pass over a host that has refused to admit the request.

        Args:
            route: Route to the host.
        """
        self._refused.add(route.host)
        if len(self._refused) >= MAX_REFUSALS:
            self._routes = iter(())

    def on_failed(self, route: dependencies.Route) -> None:
        """Begin again without waits after an attempt that was admitted.

        Args:
            route: Route of the attempt.
        """
        if not route.is_local:
            self._refused.add(route.host)
        self._queue = None
        self._rounds_left = 0
        self._routes = self._start()
