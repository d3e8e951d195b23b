"""What the operators' service needs to know from the daemon."""

from __future__ import annotations

import dataclasses
import typing

from wigeonhatch.config import model


@dataclasses.dataclass(frozen=True, slots=True)
class LoadStatus:
    """Slots of one service on the targets that a host admits to.

    Args:
        free: Slots without a request.
        used: Slots with a request in progress.
        capacity: Slots that the host may use now.
    """

    free: int
    used: int
    capacity: int


@dataclasses.dataclass(frozen=True, slots=True)
class HostStatus:
    """One entry host as another host knows it.

    Args:
        host: Name of the host.
        reachable: Whether a newer record arrived within the time limit.
        state: `starting`, `serving`, `draining` or `unknown`.
        config_version: Version of the configuration in force; 0 for none.
        load_by_service: Load of each service on this host's targets.
        acting_for: Hosts whose targets this host has taken over.
    """

    host: str
    reachable: bool
    state: str
    config_version: int
    load_by_service: dict[str, LoadStatus] = dataclasses.field(
        default_factory=dict
    )
    acting_for: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class SplitStatus:
    """Split of one service in force on this host.

    Args:
        step: Number of the step; 0 for the first split.
        percent_by_region: Part of the buckets that each region serves.
    """

    step: int
    percent_by_region: dict[str, float]


class DaemonView(typing.Protocol):
    """State of the daemon that the operators' commands show.

    All members return at once; none waits for a peer or the platform.
    """

    @property
    def current(self) -> model.VersionedConfig | None:
        """Configuration in force on this host; None before the first."""
        ...

    def hosts(self) -> list[HostStatus]:
        """List all known hosts, this one included."""
        ...

    def splits(self) -> dict[str, SplitStatus]:
        """Return the split in force of each service."""
        ...

    def drains(self) -> dict[str, list[str]]:
        """Return the sources of the drain of each draining name.

        The sources are `configuration`, `host list` and `health`.
        """
        ...

    def on_accepted(self, versioned: model.VersionedConfig) -> None:
        """Take over and push a version that the platform has accepted."""
        ...
