"""State of one target on the host that admits requests to it."""

from __future__ import annotations

import enum

from wigeonhatch.budget import reports

RAMP_STEP_MS = 1_000
SHED_STEP_MS = 1_000
SHED_HOLD_MS = 250
"""503 responses within this time count once: they were admitted before the
reduction took effect."""
EJECT_FAILURES = 3
EJECT_MS = 5_000
"""Time without a probe result after which one request tries the target."""
FULL = float('inf')


class AttemptResult(enum.Enum):
    """How an attempt at a target ended."""

    SERVED = 'served'
    SHED = 'shed'
    CONNECT_FAILED = 'connect failed'
    LOST = 'lost'
    TIMEOUT = 'timeout'
    CANCELLED = 'cancelled'


# Access to a member through its class costs 0.2 us on the hot path.
_SERVED = AttemptResult.SERVED


class TargetState:
    """Slots, health and use of one target.

    Args:
        name: Name of the target.
        service: Service of the target.
        owner: Host that owns the target.
    """

    __slots__ = (
        'ejected_until_ms',
        'connect_failures',
        'draining',
        'high',
        'is_own',
        'key',
        'latency_ms',
        'limit',
        'low',
        'name',
        'order',
        'owner',
        'pending',
        'ramp',
        'ramp_next_ms',
        'report',
        'service',
        'shed_limit',
        'shed_ms',
        'used',
        'variants',
        'is_admitted',
        'floor',
        'leased',
        'slots',
    )

    def __init__(self, name: str, service: str, owner: str) -> None:
        self.name = name
        self.service = service
        self.owner = owner
        self.is_own = False
        self.is_admitted = False
        self.used = 0
        self.limit = 0
        self.key = FULL
        self.order = 0.0
        self.low = 0
        self.high = 0
        self.latency_ms = 0.0
        self.draining = False
        self.ramp = 1
        self.ramp_next_ms = 0
        self.shed_limit = 0
        self.shed_ms = 0
        self.connect_failures = 0
        self.ejected_until_ms = 0
        self.report = reports.ReportWeight()
        # Hosts that have to confirm a configuration version before this host
        # may admit; False in the value: a host without a record is passed.
        self.pending: dict[str, tuple[int, bool]] = {}
        # (version, slots, floor) of each version that the other holder of
        # the target's slots may still use.
        self.variants: list[tuple[int, int, int]] = []
        self.floor = 0
        self.leased = 0
        self.slots = 0

    @property
    def is_steady(self) -> bool:
        """Whether the limit changes only through calls."""
        return (
            self.ramp >= self.slots
            and not self.shed_limit
            and not self.ejected_until_ms
            and not self.pending
            and not self.report.weight
            and len(self.variants) <= 1
        )

    def adopt(self, version: int, slots: int, floor: int) -> None:
        """Note the slots that a configuration version gives the target.

        Args:
            version: Configuration version.
            slots: Slots of the target.
            floor: Slots that the owner may always use.
        """
        if self.variants and self.variants[-1][1:] == (slots, floor):
            return
        self.variants.append((version, slots, floor))
        self._apply_variants()

    def settle(self, confirmed: int) -> None:
        """Drop slot counts that the other holder no longer uses.

        Args:
            confirmed: Version that the other holder has confirmed.
        """
        while len(self.variants) > 1 and self.variants[1][0] <= confirmed:
            del self.variants[0]
        self._apply_variants()

    def _apply_variants(self) -> None:
        # While the two holders may use different versions, each takes the
        # smallest part, so that the parts never add up to more than either
        # version's slots.
        self.floor = min(floor for _, _, floor in self.variants)
        self.leased = min(slots - floor for _, slots, floor in self.variants)
        self.slots = self.floor + self.leased

    def cool(self, now_ms: int) -> None:
        """Start the ramp-up from one slot.

        Args:
            now_ms: Current time in ms.
        """
        self.ramp = 1
        self.ramp_next_ms = now_ms + RAMP_STEP_MS
        self.connect_failures = 0
        self.ejected_until_ms = 0

    def eject(self, now_ms: int) -> None:
        """Admit nothing until a probe succeeds or `EJECT_MS` have passed.

        Args:
            now_ms: Current time in ms.
        """
        self.ejected_until_ms = now_ms + EJECT_MS

    def on_result(self, result: AttemptResult, now_ms: int) -> bool:
        """Learn from the end of an attempt.

        Args:
            result: How the attempt ended.
            now_ms: Current time in ms.

        Returns:
            Whether the capacity may have changed.
        """
        if result is _SERVED:
            self.connect_failures = 0
            if self.ejected_until_ms:
                self.cool(now_ms)
                return True
            if self.ramp < self.slots and now_ms >= self.ramp_next_ms:
                self.ramp *= 2
                self.ramp_next_ms = now_ms + RAMP_STEP_MS
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
        """Compute how many requests the target's health admits.

        Args:
            now_ms: Current time in ms.

        Returns:
            0 to `slots`.
        """
        if self.draining or self.pending:
            return 0
        if self.ejected_until_ms:
            if now_ms < self.ejected_until_ms:
                return 0
            # One request tries the target; one more failure ejects it again.
            self.connect_failures = EJECT_FAILURES - 1
            return 1
        limit = min(self.slots, self.ramp)
        if self.shed_limit:
            grown = self.shed_limit + (now_ms - self.shed_ms) // SHED_STEP_MS
            if grown >= self.slots:
                self.shed_limit = 0
            else:
                limit = min(limit, grown)
        return min(limit, self.report.limit(self.slots, now_ms))

    def _on_shed(self, now_ms: int) -> bool:
        if self.shed_limit and now_ms - self.shed_ms < SHED_HOLD_MS:
            return False
        self.shed_limit = max(1, min(self.slots, self.limit) // 2)
        self.shed_ms = now_ms
        return True
