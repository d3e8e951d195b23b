"""Counts of requests by their result."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True)
class RequestCounts:
    """Number of requests since the start of the process.

    Attributes:
        received: Requests whose head was read.
        served: Requests with the response of a target.
        refused: Requests with any other response, or whose caller has gone.
        cut: Requests that ended with neither.
    """

    received: int = 0
    served: int = 0
    refused: int = 0
    cut: int = 0

    @property
    def in_progress(self) -> int:
        """Number of requests without a result."""
        return self.received - self.served - self.refused - self.cut

    def add(self, other: RequestCounts) -> None:
        """Add the counts of another interface."""
        self.received += other.received
        self.served += other.served
        self.refused += other.refused
        self.cut += other.cut
