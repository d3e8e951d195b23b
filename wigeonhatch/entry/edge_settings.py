"""Settings of a daemon on a platform that lists targets and routes."""

from __future__ import annotations

import dataclasses
import typing

import pydantic
from pydantic import dataclasses as checked

from wigeonhatch import durations
from wigeonhatch import settings

SETTINGS_VARIABLE = 'WIGEONHATCH_SETTINGS'
_CONFIG = pydantic.ConfigDict(extra='forbid')

Duration = typing.Annotated[
    int, pydantic.BeforeValidator(durations.parse_duration_ms)
]
NonNegative = typing.Annotated[float, pydantic.Field(ge=0)]
Ratio = typing.Annotated[float, pydantic.Field(ge=0, le=1)]


@checked.dataclass(frozen=True, config=_CONFIG)
class Bounds:
    """Bounds that the platform's operators have agreed with callers.

    Args:
        stop_grace: Time from SIGTERM to the forced termination in ms.
        max_shift: Maximum fraction of a region's requests that moves to other
            regions from one window of 2 s to the next.
        retry_ratio: Maximum retries per request, over all hosts.
        retry_slack: Retries allowed in addition to the ratio in any period,
            over all hosts.
        directory_ttl_max: Maximum TTL of a lookup result in ms.
    """

    stop_grace: Duration
    retry_ratio: Ratio
    retry_slack: float
    directory_ttl_max: Duration
    max_shift: Ratio = 1.0


@checked.dataclass(frozen=True, config=_CONFIG)
class EdgeSettings:
    """Settings of an edge daemon.

    Args:
        host: Name of this host.
        ip: IP address of this host.
        domain: Failure domain of this host.
        region: Region of this host.
        region_by_domain: Region of each failure domain.
        caller_address: `IP:PORT` of the callers' interface.
        readiness_address: `IP:PORT` of the readiness check.
        directory_address: `IP:PORT` where callers look hosts up.
        peer_address: `IP:PORT` where peers read rows of the store; the port
            is the same on all hosts.
        seeds: Peer addresses to contact before the host list is read.
        peer_port: UDP port of the heartbeats and TCP port of forwarded
            requests, the same on all hosts.
        metrics_port: TCP port of the metrics.
        store_address: `IP:PORT` of the platform's store.
        bounds: Agreed bounds.
        link_mbps: Bandwidth of the host's link in Mbit/s; 0 if unknown.
        processor_share: Fraction of a processor core that the host may use.
        processor_speed: Speed of that core relative to an ordinary one.
        log_level: Level of the `logging` library.
    """

    host: str
    ip: str
    domain: str
    region: str
    region_by_domain: dict[str, str]
    caller_address: settings.Address
    readiness_address: settings.Address
    directory_address: settings.Address
    peer_address: settings.Address
    peer_port: settings.Port
    metrics_port: settings.Port
    store_address: settings.Address
    bounds: Bounds
    seeds: list[settings.Address] = dataclasses.field(default_factory=list)
    link_mbps: NonNegative = 0.0
    processor_share: NonNegative = 1.0
    processor_speed: NonNegative = 1.0
    log_level: typing.Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    limits: settings.Limits = dataclasses.field(
        default_factory=settings.Limits
    )


def changed_fields(first: EdgeSettings, second: EdgeSettings) -> list[str]:
    """Names of the fields in which two settings differ.

    Args:
        first: One of the settings.
        second: The other one.
    """
    return [
        field.name
        for field in dataclasses.fields(first)
        if getattr(first, field.name) != getattr(second, field.name)
    ]
