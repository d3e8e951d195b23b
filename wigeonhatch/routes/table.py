"""Selection of the route and the service of a request."""

from __future__ import annotations

import collections

from wigeonhatch.routes import model


class RouteTable:
    """Routes of the configuration in force.

    Services are selected by smooth weighted round-robin. A change of weights
    keeps their credits, so that the weights also hold over short times.
    """

    def __init__(self) -> None:
        self.config: model.RoutingConfig | None = None
        self._route_by_prefix_by_host: dict[str, dict[str, model.Route]] = {}
        self._credit_by_service_by_route: dict[str, dict[str, float]] = (
            collections.defaultdict(dict)
        )

    def configure(self, config: model.RoutingConfig) -> bool:
        """Activate a configuration if its version is newer.

        Args:
            config: The configuration.

        Returns:
            Whether it was activated.
        """
        if self.config is not None and config.version <= self.config.version:
            return False
        by_host: dict[str, dict[str, model.Route]] = {}
        for route in config.route_by_name.values():
            by_host.setdefault(route.host_name, {})[route.prefix] = route
        self._route_by_prefix_by_host = by_host
        for name in self._credit_by_service_by_route.keys() - (
            config.route_by_name.keys()
        ):
            del self._credit_by_service_by_route[name]
        self.config = config
        return True

    def find(self, host_name: str, path: str) -> model.Route | None:
        """Find the route with the longest prefix of a path.

        Args:
            host_name: Value of the `Host` header field; a port is ignored.
            path: Path without the query, as the caller sent it.
        """
        by_prefix = self._route_by_prefix_by_host.get(
            host_name.partition(':')[0].lower()
        )
        if by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind('/', 0, end)) >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def choose_service(self, route: model.Route) -> str:
        """Select the service of the next request of a route.

        Args:
            route: Route of the configuration in force.

        Returns:
            Name of the service with the most credit.
        """
        if len(route.shares) == 1:
            return route.shares[0].service
        total = sum(share.weight for share in route.shares)
        credits_ = self._credit_by_service_by_route[route.name]
        for share in route.shares:
            credits_[share.service] = (
                credits_.get(share.service, 0.0) + share.weight / total
            )
        service = max(
            route.shares, key=lambda share: credits_[share.service]
        ).service
        credits_[service] -= 1.0
        return service
