"""Rule on requests that crash the targets that run them."""

from __future__ import annotations

import dataclasses

from tests.faults import bounds

DEADLY_PATH = '/deadly/'
"""Part of the path of requests that crash their targets."""


@dataclasses.dataclass(slots=True)
class _Crashes:
    """Crashes by one request, and what was sent after the last free one."""

    times_ms: list[int] = dataclasses.field(default_factory=list)
    late_count: int = 0


class CrashRule:
    """Count the arrivals of each request that crashes targets.

    Repeats have the same content, whatever their ids are.
    """

    def __init__(self) -> None:
        self._crashes_by_content: dict[str, _Crashes] = {}

    @property
    def most_crashes(self) -> int:
        """Most targets that one request has crashed."""
        return max(
            (len(item.times_ms) for item in self._crashes_by_content.values()),
            default=0,
        )

    def on_crash(self, content: str, now_ms: int) -> None:
        """Record that a request crashed a target."""
        crashes = self._crashes_by_content.setdefault(content, _Crashes())
        crashes.times_ms.append(now_ms)

    def on_arrival(self, content: str, now_ms: int) -> str:
        """Count a request from a host that must keep the time bounds.

        Returns:
            The violation; empty if there is none.
        """
        crashes = self._crashes_by_content.get(content)
        if crashes is None or len(crashes.times_ms) < bounds.FREE_CRASHES:
            return ''
        since_ms = crashes.times_ms[bounds.FREE_CRASHES - 1]
        if now_ms - since_ms <= bounds.CONVERGENCE_MS:
            return ''
        crashes.late_count += 1
        if crashes.late_count <= bounds.MAX_LATE_SENDS:
            return ''
        return (
            f'{crashes.late_count} sends after {bounds.FREE_CRASHES} crashes,'
            f' {len(crashes.times_ms)} crashes'
        )
