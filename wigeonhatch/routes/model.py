"""Routing configuration, as defined by the operators of the platform."""

from __future__ import annotations

import dataclasses
import enum


class RequestKind(enum.StrEnum):
    """Kind of the requests of a route."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    UPLOAD = 'upload'


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """Share of one service in the requests of a route.

    Args:
        service: Name of the service.
        weight: Size of the share, relative to the sum of all weights.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Destination of the requests with one host name and path prefix.

    Args:
        name: Name of the route.
        host_name: Value of the `Host` header field, without a port.
        prefix: Beginning of the path; starts and ends with a slash.
        kind: Kind of the requests.
        timeout_ms: Longest time for which a caller waits; 0 for no limit.
        objective_ms: Latency objective; a later response has less value.
        priority: Priority; 0 is the highest.
        shares: Services and their weights.
        max_attempts: Number of targets to which a request may be sent.
        has_affinity: Whether targets cache the state of affinity keys.
        allowed_regions: Regions that may serve the requests; empty for all.
    """

    name: str
    host_name: str
    prefix: str
    kind: RequestKind
    timeout_ms: int
    objective_ms: int
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    has_affinity: bool
    allowed_regions: frozenset[str]

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceConfig:
    """Configuration that the targets of one service share.

    Args:
        health_path: Path of the health check.
        max_connections: Connections that a target accepts from all hosts.
        warmup_ms: Time for which a target is cold after its start.
        cold_rate_per_s: Requests per second that a cold target tolerates; 0
            for no limit.
    """

    health_path: str
    max_connections: int
    warmup_ms: int
    cold_rate_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on what a caller may send.

    Args:
        max_header_bytes: Largest size of a request head.
        max_body_bytes: Largest size of a request body.
        header_timeout_ms: Longest time to receive a request head.
        idle_timeout_ms: Time after which an idle connection is closed.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingConfig:
    """One version of the routing configuration.

    Args:
        version: Version number; newer versions have higher numbers.
        route_by_name: All routes.
        service_by_name: All services.
        limits: Limits on what a caller may send.
    """

    version: int
    route_by_name: dict[str, Route]
    service_by_name: dict[str, ServiceConfig]
    limits: CallerLimits
