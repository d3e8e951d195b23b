"""Targets that are left out because their requests fail."""

from __future__ import annotations

import dataclasses
import logging

from wigeonhatch import clock as clocks
from wigeonhatch import log

MAX_CONSECUTIVE_FAILURES = 2
"""Failures in a row that eject a target; a single one may be chance."""
FIRST_EJECTION_MS = 1_000
"""First ejection; a restart of a target takes a few seconds."""
MAX_EJECTION_MS = 4_000
"""Longest ejection, so that a target that recovers is used again soon."""
FAILURE_RATIO = 0.3
"""Smoothed part of failures that ejects; ordinary errors are below 0.05."""
FORGOTTEN_RATIO = 0.01
"""Smoothed part of failures below which a target counts as sound; reached by
about 20 good responses after one failure."""
_SMOOTHING = 0.15
"""Weight of the newest result; about the last seven results count."""
_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class _Health:
    consecutive: int = 0
    ratio: float = 0.0
    ejections: int = 0
    ejected_until_ms: int = 0
    is_on_trial: bool = False
    has_responded: bool = False
    trials: int = 0


class EjectionTable:
    """Results of requests by target.

    After an ejection, a target gets one request at a time until one
    succeeds.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._health_by_target: dict[str, _Health] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no target has failed lately."""
        return not self._health_by_target

    def is_available(self, target: str) -> bool:
        """Tell whether a target may get a request now.

        Args:
            target: Name of the target.
        """
        health = self._health_by_target.get(target)
        if health is None:
            return True
        if self._clock.now_ms < health.ejected_until_ms:
            return False
        return not health.is_on_trial or health.trials == 0

    def has_responded(self, target: str) -> bool:
        """Tell whether the last failure was an answer of the target.

        Such a target may still serve a part of its requests, which is better
        than none if most targets fail alike.
        """
        health = self._health_by_target.get(target)
        return health is None or health.has_responded

    def is_suspect(self, target: str) -> bool:
        """Tell whether a target is ejected or on trial."""
        health = self._health_by_target.get(target)
        return health is not None and health.is_on_trial

    def on_start(self, target: str) -> None:
        """Count a request to a target that is on trial."""
        health = self._health_by_target.get(target)
        if health is not None and health.is_on_trial:
            health.trials += 1

    def on_success(self, target: str) -> None:
        """Record a good response."""
        health = self._health_by_target.get(target)
        if health is None or self._clock.now_ms < health.ejected_until_ms:
            # Requests that were in progress do not end an ejection.
            return
        health.consecutive = 0
        health.ratio *= 1 - _SMOOTHING
        if health.is_on_trial:
            health.is_on_trial = False
            health.trials = 0
            health.ratio = 0.0
            log.event(_LOG, 'target readmitted', target=target)
        if health.ratio < FORGOTTEN_RATIO:
            del self._health_by_target[target]

    def on_inconclusive(self, target: str) -> None:
        """Record a request that ended without telling about the target."""
        health = self._health_by_target.get(target)
        if health is not None and health.trials:
            health.trials -= 1

    def on_failure(
        self, target: str, has_responded: bool, reason: str
    ) -> None:
        """Record a failed request.

        Args:
            target: Name of the target.
            has_responded: Whether the target has answered.
            reason: Why it failed, for the log.
        """
        health = self._health_by_target.setdefault(target, _Health())
        health.has_responded = has_responded
        health.consecutive += 1
        health.ratio += _SMOOTHING * (1 - health.ratio)
        if health.trials:
            health.trials -= 1
        now_ms = self._clock.now_ms
        if now_ms < health.ejected_until_ms:
            return
        if (
            not health.is_on_trial
            and health.consecutive < MAX_CONSECUTIVE_FAILURES
            and health.ratio < FAILURE_RATIO
        ):
            return
        duration_ms = min(
            MAX_EJECTION_MS, FIRST_EJECTION_MS << health.ejections
        )
        health.ejections += 1
        health.ejected_until_ms = now_ms + duration_ms
        health.is_on_trial = True
        health.trials = 0
        log.event(
            _LOG,
            'target ejected',
            target=target,
            reason=reason,
            duration_ms=duration_ms,
            consecutive=health.consecutive,
            failure_ratio=round(health.ratio, 2),
        )

    def retain(self, targets: frozenset[str]) -> None:
        """Drop all targets but some.

        Args:
            targets: Names of the listed targets.
        """
        for target in self._health_by_target.keys() - targets:
            del self._health_by_target[target]
