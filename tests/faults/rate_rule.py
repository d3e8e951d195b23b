"""Rule on the requests that a target with a stated rate limit receives."""

from __future__ import annotations

import bisect
import collections
import dataclasses

from tests.faults import bounds


@dataclasses.dataclass(slots=True)
class _Statement:
    """Limit that a target states, and the requests that count against it."""

    rate_per_s: float
    since_ms: int
    informed_ms_by_host: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    arrivals: list[int] = dataclasses.field(default_factory=list)


class RateRule:
    """Count the requests of informed hosts in sliding windows.

    A host is informed once it has received a response with the limit.
    `count_by_target` has the requests of all windows that were checked.
    """

    def __init__(self) -> None:
        self.count_by_target: collections.Counter[str] = collections.Counter()
        self._statement_by_target: dict[str, _Statement] = {}

    def begin(self, target: str, rate_per_s: float, now_ms: int) -> None:
        """Start a limit.

        Args:
            target: Name of the target.
            rate_per_s: Requests per second from all hosts.
            now_ms: Time of the first response that may state it.
        """
        self._statement_by_target[target] = _Statement(rate_per_s, now_ms)

    def end(self, target: str) -> None:
        """End the limit of a target."""
        self._statement_by_target.pop(target, None)

    def on_response(self, target: str, host: str, now_ms: int) -> None:
        """Record a response that stated the limit to a host."""
        statement = self._statement_by_target.get(target)
        if statement is not None:
            statement.informed_ms_by_host.setdefault(host, now_ms)

    def on_arrival(self, target: str, host: str, now_ms: int) -> str:
        """Count a request of an undisturbed host.

        Returns:
            The violation; empty if there is none.
        """
        statement = self._statement_by_target.get(target)
        if statement is None:
            return ''
        informed_ms = statement.informed_ms_by_host.get(host, now_ms)
        if now_ms - informed_ms < bounds.RATE_NOTICE_MS:
            return ''
        arrivals = statement.arrivals
        arrivals.append(now_ms)
        if now_ms - statement.since_ms < bounds.CONVERGENCE_MS:
            return ''
        self.count_by_target[target] += 1
        first = bisect.bisect(arrivals, now_ms - bounds.RATE_WINDOW_MS)
        count = len(arrivals) - first
        allowed = bounds.RATE_SLACK + (
            bounds.RATE_FACTOR
            * statement.rate_per_s
            * (bounds.RATE_WINDOW_MS / 1_000)
        )
        if count <= allowed:
            return ''
        return (
            f'{target} got {count} requests at {statement.rate_per_s} a second'
        )
