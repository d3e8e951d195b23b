"""State of one target on the host that admits requests to it."""

from __future__ import annotations

import enum

from wigeonhatch.budget import reports

RAMP_INTERVAL_MS = 1_000
SHED_RECOVERY_INTERVAL_MS = 1_000
"""Time after which a limit reduced by a 503 response rises by one slot."""
SHED_HOLDOFF_MS = 250
"""503 responses within this time after a reduction are ignored: they answer
requests that were admitted before it."""
EJECT_FAILURES = 3
EJECT_MS = 5_000
"""Time without a probe result after which one trial request is admitted."""
FULL_SORT_KEY = float('inf')


class AttemptResult(enum.Enum):
    """Result of an attempt at a target."""

    SERVED = 'served'
    SHED = 'shed'
    CONNECT_FAILED = 'connect failed'
    LOST = 'lost'
    TIMEOUT = 'timeout'
    CANCELLED = 'cancelled'


# Attribute access through the enum class takes 0.2 us on the hot path.
_SERVED = AttemptResult.SERVED


class TargetState:
    """Slots, health and usage of one target.

    Args:
        name: Name of the target.
        service: Service of the target.
        owner: Host that owns the target.
    """

    __slots__ = (
        'ejected_until_ms',
        'connect_failures',
        'is_draining',
        'max_used',
        'is_own',
        'sort_key',
        'average_latency_ms',
        'limit',
        'min_used',
        'name',
        'tie_break',
        'owner',
        'pending_by_host',
        'ramp_limit',
        'ramp_next_ms',
        'report',
        'service',
        'shed_limit',
        'shed_at_ms',
        'used',
        'versions',
        'is_admitting',
        'floor',
        'leased',
        'slots',
    )

    def __init__(self, name: str, service: str, owner: str) -> None:
        self.name = name
        self.service = service
        self.owner = owner
        self.is_own = False
        self.is_admitting = False
        self.used = 0
        self.limit = 0
        self.sort_key = FULL_SORT_KEY
        self.tie_break = 0.0
        self.min_used = 0
        self.max_used = 0
        self.average_latency_ms = 0.0
        self.is_draining = False
        self.ramp_limit = 1
        self.ramp_next_ms = 0
        self.shed_limit = 0
        self.shed_at_ms = 0
        self.connect_failures = 0
        self.ejected_until_ms = 0
        self.report = reports.WeightedReport()
        # Configuration version that each host must confirm before this host
        # may admit, and whether the host is known to have owned the target.
        # Other hosts are not waited for while they have no record.
        self.pending_by_host: dict[str, tuple[int, bool]] = {}
        # (version, slots, floor slots) of each configuration version that the
        # other user of the target's slots may still apply.
        self.versions: list[tuple[int, int, int]] = []
        self.floor = 0
        self.leased = 0
        self.slots = 0

    @property
    def is_steady(self) -> bool:
        """Whether the limit changes only on events and not with time."""
        return (
            self.ramp_limit >= self.slots
            and not self.shed_limit
            and not self.ejected_until_ms
            and not self.pending_by_host
            and not self.report.weight
            and len(self.versions) <= 1
        )

    def add_version(self, version: int, slots: int, floor_slots: int) -> None:
        """Add the slot counts of a configuration version.

        Args:
            version: Configuration version.
            slots: Slots of the target.
            floor_slots: Slots that the owner may use without a lease.
        """
        if self.versions and self.versions[-1][1:] == (slots, floor_slots):
            return
        self.versions.append((version, slots, floor_slots))
        self._recompute_slots()

    def drop_superseded(self, confirmed: int) -> None:
        """Drop slot counts that the other user of the slots has replaced.

        Args:
            confirmed: Version that the other user of the slots has confirmed.
        """
        while len(self.versions) > 1 and self.versions[1][0] <= confirmed:
            del self.versions[0]
        self._recompute_slots()

    def _recompute_slots(self) -> None:
        # While the two users of the slots may apply different versions, each
        # uses the smallest count of any version, so that the sum never
        # exceeds the slots of a version.
        self.floor = min(floor for _, _, floor in self.versions)
        self.leased = min(slots - floor for _, slots, floor in self.versions)
        self.slots = self.floor + self.leased

    def start_ramp_up(self, now_ms: int) -> None:
        """Restart the ramp-up at one slot.

        Args:
            now_ms: Current time in ms.
        """
        self.ramp_limit = 1
        self.ramp_next_ms = now_ms + RAMP_INTERVAL_MS
        self.connect_failures = 0
        self.ejected_until_ms = 0

    def eject(self, now_ms: int) -> None:
        """Admit nothing until a probe succeeds or `EJECT_MS` have elapsed.

        Args:
            now_ms: Current time in ms.
        """
        self.ejected_until_ms = now_ms + EJECT_MS

    def on_result(self, result: AttemptResult, now_ms: int) -> bool:
        """Update health and limits with the result of an attempt.

        Args:
            result: Result of the attempt.
            now_ms: Current time in ms.

        Returns:
            Whether the capacity may have changed.
        """
        if result is _SERVED:
            self.connect_failures = 0
            if self.ejected_until_ms:
                self.start_ramp_up(now_ms)
                return True
            if self.ramp_limit < self.slots and now_ms >= self.ramp_next_ms:
                self.ramp_limit *= 2
                self.ramp_next_ms = now_ms + RAMP_INTERVAL_MS
                return True
            return False
        if result is AttemptResult.CANCELLED:
            return False
        if result is AttemptResult.CONNECT_FAILED:
            self.connect_failures += 1
            if self.connect_failures >= EJECT_FAILURES:
                self.eject(now_ms)
                return True
            return False
        self.connect_failures = 0
        return result is AttemptResult.SHED and self._on_shed(now_ms)

    def capacity(self, now_ms: int) -> int:
        """Compute the limit of concurrent requests from the target's health.

        Args:
            now_ms: Current time in ms.

        Returns:
            0 to `slots`.
        """
        if self.is_draining or self.pending_by_host:
            return 0
        if self.ejected_until_ms:
            if now_ms < self.ejected_until_ms:
                return 0
            # One trial request is admitted; its failure ejects it again.
            self.connect_failures = EJECT_FAILURES - 1
            return 1
        limit = min(self.slots, self.ramp_limit)
        if self.shed_limit:
            grown = (
                self.shed_limit
                + (now_ms - self.shed_at_ms) // SHED_RECOVERY_INTERVAL_MS
            )
            if grown >= self.slots:
                self.shed_limit = 0
            else:
                limit = min(limit, grown)
        return min(limit, self.report.limit(self.slots, now_ms))

    def _on_shed(self, now_ms: int) -> bool:
        if self.shed_limit and now_ms - self.shed_at_ms < SHED_HOLDOFF_MS:
            return False
        self.shed_limit = max(1, min(self.slots, self.limit) // 2)
        self.shed_at_ms = now_ms
        return True
