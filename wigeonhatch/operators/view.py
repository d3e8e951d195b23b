"""State of the daemon that the operator service reads."""

from __future__ import annotations

import dataclasses
import typing

from wigeonhatch.config import model


@dataclasses.dataclass(frozen=True, slots=True)
class LoadStatus:
    """Slots of one service on the targets whose admission a host controls.

    Args:
        free: Slots without a request in flight.
        used: Slots with a request in flight.
        capacity: Slots that the host may use now.
    """

    free: int
    used: int
    capacity: int


@dataclasses.dataclass(frozen=True, slots=True)
class HostStatus:
    """State of one entry host, as last reported to this host.

    Args:
        host: Name of the host.
        reachable: Whether a newer record arrived within the timeout.
        state: `starting`, `serving`, `draining` or `unknown`.
        config_version: Version of the configuration in force; 0 if none.
        load_by_service: Load of each service on the targets of the host.
        acting_for: Hosts whose targets the host has taken over.
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
    """Regional split of one service in force on this host.

    Args:
        step: Number of the step; 0 for the initial split.
        percent_by_region: Percentage of the buckets assigned to each region.
    """

    step: int
    percent_by_region: dict[str, float]


class DaemonView(typing.Protocol):
    """Access to the state of the daemon.

    No member blocks on a peer or the platform.
    """

    @property
    def current(self) -> model.VersionedConfig | None:
        """Configuration in force on this host; None if there is none yet."""
        ...

    def hosts(self) -> list[HostStatus]:
        """List the status of all hosts, including this one."""
        ...

    def splits(self) -> dict[str, SplitStatus]:
        """Return the split in force by service."""
        ...

    def drains(self) -> dict[str, list[str]]:
        """Return the sources of each drain by host or target name.

        The sources are `configuration`, `host list` and `health`.
        """
        ...

    def on_accepted(self, versioned: model.VersionedConfig) -> None:
        """Put an accepted version in force and push it to the peers."""
        ...
