"""Protocols of the components that the request path depends on."""

from __future__ import annotations

import collections.abc
import typing

from wigeonhatch import outcome
from wigeonhatch.budget import slots
from wigeonhatch.config import model
from wigeonhatch.links import budget as link_budget

AttemptResult = slots.AttemptResult
SlotRequest = slots.SlotRequest
TrafficClass = link_budget.TrafficClass


class SlotGrant(typing.Protocol):
    """Slot that was acquired at a target."""

    @property
    def target(self) -> str:
        """Name of the target."""

    def release(self, result: AttemptResult, latency_ms: int) -> None:
        """Return the slot."""


class SlotTable(typing.Protocol):
    """Admission to the targets of this host."""

    def acquire(
        self, request: SlotRequest
    ) -> outcome.Success[SlotGrant] | outcome.Failure:
        """Acquire a slot without waiting."""

    async def acquire_within(
        self, request: SlotRequest, wait_ms: int
    ) -> outcome.Success[SlotGrant] | outcome.Failure:
        """Acquire a slot; wait if the customer's reservation allows."""


class Route(typing.Protocol):
    """Host that admits requests to targets in a region."""

    @property
    def host(self) -> str:
        """Name of the host."""

    @property
    def region(self) -> str:
        """Region of the host."""

    @property
    def is_local(self) -> bool:
        """Whether the host is this one."""

    @property
    def is_spillover(self) -> bool:
        """Whether the region is not the one assigned to the bucket."""


class Router(typing.Protocol):
    """Routes of a request, best first."""

    def routes(
        self, service: str, bucket: int, bulk: bool, reserved: bool
    ) -> collections.abc.Iterator[Route]:
        """Yield the routes that may be used now."""

    def on_request(self, service: str) -> None:
        """Count a request that a caller sent to this host."""

    def on_end(self, service: str, route: typing.Any) -> None:
        """Record the end of a request that the host of a route admitted."""

    def refusal(self, service: str, bucket: int) -> outcome.Failure:
        """Return the failure for a request without a usable route."""


class PeerChannels(typing.Protocol):
    """Channels to the other hosts."""

    def stub(self, host: str) -> typing.Any:
        """gRPC stub of a host; None if the host is unreachable."""


class LinkBudget(typing.Protocol):
    """Byte budgets of the links from this host's region."""

    async def acquire(
        self,
        far_region: str,
        size_bytes: int,
        traffic_class: TrafficClass,
        wait_ms: int,
    ) -> bool:
        """Take tokens; False if there are too few within the wait."""


class ConfigSource(typing.Protocol):
    """Configuration in force."""

    @property
    def current(self) -> model.VersionedConfig | None:
        """Configuration in force; None before the first one."""
