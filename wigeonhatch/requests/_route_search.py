"""Order in which one request tries the hosts that can admit it."""

from __future__ import annotations

import collections.abc

from wigeonhatch.requests import dependencies

# At 95% utilization a slot becomes free every few ms, so that a short wait
# avoids a refusal.
QUEUE_WAIT_MS = 100
MAX_WAITS = 4
"""Waits before a request is refused. After each, all hosts are tried again,
since a host with few slots may free none within a single wait."""
MAX_REFUSALS = 8
"""Refusals by hosts before a request waits for a slot."""

ListRoutes = collections.abc.Callable[
    [], collections.abc.Iterator[dependencies.Route]
]


class RouteSearch:
    """Routes of one request, with waits after all hosts have refused it.

    Args:
        list_routes: Lists the routes that may be used now, best first.
        wait_ms: Longest wait at a host that has not refused yet, in ms.
    """

    def __init__(self, list_routes: ListRoutes, wait_ms: int) -> None:
        self.wait_ms = wait_ms
        self._list_routes = list_routes
        self._base_wait_ms = wait_ms
        self._routes = list_routes()
        self._refused_hosts: set[str] = set()
        self._wait_route: dependencies.Route | None = None
        self._waits_left = MAX_WAITS

    @property
    def is_before_waits(self) -> bool:
        """Whether no host has been asked to queue the request yet."""
        return self._waits_left == MAX_WAITS

    def next_route(self) -> dependencies.Route | None:
        """Return the route to try next; None to refuse the request."""
        for route in self._routes:
            if route.host in self._refused_hosts:
                continue
            is_home = route.is_local and not route.is_spillover
            if self._wait_route is None or is_home:
                self._wait_route = route
            self.wait_ms = self._base_wait_ms
            return route
        if self._wait_route is None or not self._waits_left:
            return None
        wait_route = self._wait_route
        self._waits_left -= 1
        self._refused_hosts.clear()
        self._wait_route = None
        self._routes = self._list_routes()
        self.wait_ms = QUEUE_WAIT_MS
        return wait_route

    def on_refused(self, route: dependencies.Route) -> None:
        """Skip a host that has refused to admit the request.

        Args:
            route: Route to the host.
        """
        self._refused_hosts.add(route.host)
        if len(self._refused_hosts) >= MAX_REFUSALS:
            self._routes = iter(())

    def on_failed(self, route: dependencies.Route) -> None:
        """Restart without waits after an admitted attempt has failed.

        Args:
            route: Route of the attempt.
        """
        if not route.is_local:
            self._refused_hosts.add(route.host)
        self._wait_route = None
        self._waits_left = 0
        self._routes = self._list_routes()
