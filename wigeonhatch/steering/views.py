"""What steering needs to know about other hosts and links."""

from __future__ import annotations

import collections.abc
import typing


class LoadView(typing.Protocol):
    """Load of one service on the targets that a host admits to."""

    @property
    def free(self) -> int:
        """Free slots."""
        ...

    @property
    def capacity(self) -> int:
        """Slots in total."""
        ...


class RecordView(typing.Protocol):
    """Record that a host announced."""

    @property
    def incarnation(self) -> int:
        """Number of the daemon's start."""
        ...

    @property
    def sequence(self) -> int:
        """Number of the record within the incarnation."""
        ...


class MembershipView(typing.Protocol):
    """The part of `peers.membership.Membership` that steering uses."""

    def record(self, host: str) -> RecordView | None:
        """Return the newest record of a host."""
        ...

    def is_reachable(self, host: str) -> bool:
        """Report whether a host is not unreachable."""
        ...

    def is_serving(self, host: str) -> bool:
        """Report whether a host announces that it serves."""
        ...

    def actor_for(self, host: str) -> str | None:
        """Name the host that has taken over the targets of a host."""
        ...

    def load(self, host: str, service: str) -> LoadView | None:
        """Return the newest load of a service at a host."""
        ...

    def draining(self) -> frozenset[str]:
        """Return the names of draining hosts and targets."""
        ...


LocalLoad = collections.abc.Callable[[str], LoadView | None]
"""Returns the load of a service on the targets that this host admits to."""

HasRoom = collections.abc.Callable[[str, bool], bool]
"""Reports whether the link to (far region, bulk) has room."""
