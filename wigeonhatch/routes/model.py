"""Routing configuration as the operators of a platform state it."""

from __future__ import annotations

import dataclasses
import enum


class RequestKind(enum.StrEnum):
    """What the requests of a route allow."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    UPLOAD = 'upload'


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """Part of the requests of a route that goes to one service.

    Args:
        service: Name of the service.
        weight: Size of the part, relative to the sum of all weights.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of one host name and path prefix go.

    Args:
        name: Name of the route.
        host_name: Value of the `Host` header field, without a port.
        prefix: Beginning of the path; starts and ends with a slash.
        kind: What the requests allow.
        timeout_ms: Longest time a caller is kept waiting; 0 for no limit.
        objective_ms: Time within which a response has its full use.
        priority: Rank; 0 is the highest.
        shares: Services and their weights.
        max_attempts: Targets that one request may be sent to.
        has_affinity: Whether targets remember the objects they handled.
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
    """What the targets of one service have in common.

    Args:
        health_path: Path of the health check.
        max_connections: Connections that a target accepts from all hosts.
        warmup_ms: Time for which a target is cold after its start.
        cold_rate_per_s: Requests per second that a cold target tolerates; 0
            for no bound.
    """

    health_path: str
    max_connections: int
    warmup_ms: int
    cold_rate_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on what a caller may send.

    Args:
        max_header_bytes: Size of a head.
        max_body_bytes: Size of a body.
        header_timeout_ms: Time to send a head.
        idle_timeout_ms: Time for which an idle connection is kept open.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingConfig:
    """One version of the routing configuration.

    Args:
        version: Number of the version; a newer one is higher.
        route_by_name: All routes.
        service_by_name: All services.
        limits: Limits on what a caller may send.
    """

    version: int
    route_by_name: dict[str, Route]
    service_by_name: dict[str, ServiceConfig]
    limits: CallerLimits
