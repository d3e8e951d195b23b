"""Steering configuration as validated, immutable data."""

from __future__ import annotations

import dataclasses
import typing

import pydantic
from pydantic import dataclasses as checked

from wigeonhatch import settings

_STRICT = pydantic.ConfigDict(extra='forbid', strict=True)
LOOKUP_TTL_MS = 5_000
Percent = typing.Annotated[float, pydantic.Field(ge=0, le=100)]
CapPercent = typing.Annotated[float, pydantic.Field(gt=0, le=100)]
SlotCount = typing.Annotated[int, pydantic.Field(ge=1, le=100_000)]
Mbit = typing.Annotated[int, pydantic.Field(ge=1, le=10_000_000)]
IntervalMs = typing.Annotated[int, pydantic.Field(ge=1, le=86_400_000)]
EpochMs = typing.Annotated[int, pydantic.Field(ge=0, le=2**53)]


def _percent_from_int(value: object) -> object:
    if isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    return value


Share = typing.Annotated[Percent, pydantic.BeforeValidator(_percent_from_int)]
CapShare = typing.Annotated[
    CapPercent, pydantic.BeforeValidator(_percent_from_int)
]


@checked.dataclass(frozen=True, config=_STRICT)
class Region:
    """A region and its failure domains."""

    domains: list[str]


@checked.dataclass(frozen=True, config=_STRICT)
class Link:
    """Bandwidth of the link between two regions, in each direction."""

    mbit_per_s: Mbit


@checked.dataclass(frozen=True, config=_STRICT)
class Host:
    """An entry host."""

    domain: str
    caller_address: settings.Address
    peer_address: settings.Address
    operator_address: settings.Address


@checked.dataclass(frozen=True, config=_STRICT)
class Cap:
    """Maximum fraction of a service's buckets that may move in a window.

    Args:
        percent: Percentage of the buckets, above 0.
        interval_ms: Length of the window in ms, excluding the lookup TTL.
    """

    percent: CapShare
    interval_ms: IntervalMs


@checked.dataclass(frozen=True, config=_STRICT)
class Service:
    """A service and its capacity, shares and caps.

    Args:
        slots: Maximum concurrent requests of one target.
        connections: Maximum connections to one target.
        share_by_region: Percentage of the traffic per region; sums to 100.
        shift_cap: Cap for changes of the shares by operators.
        failover_cap: Cap for spillover; defaults to the shift cap.
        hold_back_percent: Percentage of an unused reservation that is not
            lent to other customers; defaults to the value in `Tuning`.
    """

    slots: SlotCount
    connections: SlotCount
    share_by_region: dict[str, Share]
    shift_cap: Cap
    failover_cap: Cap | None = None
    hold_back_percent: Share | None = None

    @property
    def spillover_cap(self) -> Cap:
        """Effective cap for spillover."""
        return self.failover_cap or self.shift_cap


@checked.dataclass(frozen=True, config=_STRICT)
class Target:
    """An instance of a service."""

    service: str
    domain: str
    address: settings.Address


@checked.dataclass(frozen=True, config=_STRICT)
class Customer:
    """A customer and its reserved capacity.

    Args:
        reserved_percent_by_service: Percentage of the slots of each service
            that is reserved for the customer in every region.
    """

    reserved_percent_by_service: dict[str, Share] = dataclasses.field(
        default_factory=dict
    )


@checked.dataclass(frozen=True, config=_STRICT)
class Drain:
    """A host or target that must receive no new requests.

    Args:
        since_ms: Start of the drain since the Unix epoch in ms; 0 if unknown.
        source: Origin of the drain. A drain set by the command is kept when
            the files are applied again, and ends with `undrain`.
    """

    kind: typing.Literal['host', 'target']
    since_ms: EpochMs = 0
    source: typing.Literal['files', 'command'] = 'files'


@checked.dataclass(frozen=True, config=_STRICT)
class Tuning:
    """Tuning parameters for all services.

    Args:
        floor_percent: Percentage of a target's slots that its owner may use
            without a lease.
        hold_back_percent: Percentage of an unused reservation that is not
            lent to other customers.
        planned_load_percent: Percentage of all slots of a service in use at
            the peak planned load; limits the shares of the regions.
    """

    floor_percent: Share = 50.0
    hold_back_percent: Share = 0.0
    planned_load_percent: Share = 70.0


@checked.dataclass(frozen=True, config=_STRICT)
class SteeringConfig:
    """Complete configuration, merged from the operators' files.

    Args:
        link_by_pair: Links by `REGION/REGION`, with the names sorted.
        drain_by_name: Drains by the name of the host or target.
    """

    region_by_name: dict[str, Region]
    host_by_name: dict[str, Host]
    service_by_name: dict[str, Service]
    target_by_name: dict[str, Target]
    link_by_pair: dict[str, Link] = dataclasses.field(default_factory=dict)
    customer_by_name: dict[str, Customer] = dataclasses.field(
        default_factory=dict
    )
    drain_by_name: dict[str, Drain] = dataclasses.field(default_factory=dict)
    tuning: Tuning = dataclasses.field(default_factory=Tuning)

    def find_region(self, domain: str) -> str:
        """Return the name of the region of a failure domain.

        Args:
            domain: Name of the failure domain.

        Raises:
            KeyError: No region contains the domain.
        """
        for name, region in self.region_by_name.items():
            if domain in region.domains:
                return name
        raise KeyError(domain)


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedConfig:
    """Configuration in force, with its version and source document."""

    version: int
    change_id: str
    config: SteeringConfig
    document: dict[str, typing.Any]
