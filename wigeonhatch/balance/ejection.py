"""Outlier ejection of targets whose requests fail."""

from __future__ import annotations

import dataclasses
import logging

from wigeonhatch import clock as clocks
from wigeonhatch import log

MAX_CONSECUTIVE_FAILURES = 2
"""Consecutive failures that eject a target; a single one may be random."""
FIRST_EJECTION_MS = 1_000
"""Duration of the first ejection; a target restarts in a few seconds."""
MAX_EJECTION_MS = 4_000
"""Longest ejection, so that a recovered target is soon used again."""
EJECTION_FAILURE_RATIO = 0.3
"""Smoothed failure ratio that ejects; sporadic errors stay below 0.05."""
HEALTHY_FAILURE_RATIO = 0.01
"""Smoothed failure ratio below which a target counts as healthy; reached after
one failure by about 20 successful responses."""
_SMOOTHING = 0.15
"""Smoothing factor; the average covers about the last seven results."""
_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class _Health:
    consecutive_failures: int = 0
    failure_ratio: float = 0.0
    ejection_count: int = 0
    ejected_until_ms: int = 0
    is_on_trial: bool = False
    has_responded: bool = False
    has_refused: bool = False
    trials_in_progress: int = 0


class EjectionTable:
    """Circuit breakers of the targets, driven by the results of requests.

    After an ejection, a target gets one trial request at a time until one
    succeeds.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._health_by_target: dict[str, _Health] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no target has recent failures."""
        return not self._health_by_target

    def is_available(self, target: str) -> bool:
        """Tell whether a request may be sent to a target now.

        Args:
            target: Name of the target.
        """
        health = self._health_by_target.get(target)
        if health is None:
            return True
        if self._clock.now_ms < health.ejected_until_ms:
            return False
        return not health.is_on_trial or health.trials_in_progress == 0

    def has_responded(self, target: str) -> bool:
        """Tell whether the target responded to the last failed request.

        Such a target may still serve some requests, which is better than none
        if most targets fail in the same way. One that asked for a pause serves
        none.
        """
        health = self._health_by_target.get(target)
        return health is None or (
            health.has_responded and not health.has_refused
        )

    def has_refused(self, target: str) -> bool:
        """Tell whether a target has asked for a pause and served none since.

        Args:
            target: Name of the target.
        """
        health = self._health_by_target.get(target)
        return health is not None and health.has_refused

    def is_suspect(self, target: str) -> bool:
        """Tell whether a target is ejected or on trial."""
        health = self._health_by_target.get(target)
        return health is not None and health.is_on_trial

    def on_start(self, target: str) -> None:
        """Count a trial request if the target is on trial."""
        health = self._health_by_target.get(target)
        if health is not None and health.is_on_trial:
            health.trials_in_progress += 1

    def on_success(self, target: str) -> None:
        """Record a successful response."""
        health = self._health_by_target.get(target)
        if health is None or self._clock.now_ms < health.ejected_until_ms:
            # A request sent before the ejection does not end it.
            return
        health.consecutive_failures = 0
        health.failure_ratio *= 1 - _SMOOTHING
        if health.is_on_trial:
            health.is_on_trial = health.has_refused = False
            health.trials_in_progress = 0
            health.failure_ratio = 0.0
            log.event(_LOG, 'target readmitted', target=target)
        if health.failure_ratio < HEALTHY_FAILURE_RATIO:
            del self._health_by_target[target]

    def on_inconclusive(self, target: str) -> None:
        """Record a request that reveals nothing about the target's health."""
        health = self._health_by_target.get(target)
        if health is not None and health.trials_in_progress:
            health.trials_in_progress -= 1

    def on_pause(self, target: str) -> None:
        """Let a target that asked for a pause prove that it serves again.

        Args:
            target: Name of the target.
        """
        health = self._health_by_target.setdefault(target, _Health())
        if health.trials_in_progress:
            health.trials_in_progress -= 1
        health.is_on_trial = health.has_refused = True

    def on_failure(
        self, target: str, has_responded: bool, reason: str
    ) -> None:
        """Record a failed request.

        Args:
            target: Name of the target.
            has_responded: Whether the target has responded.
            reason: Cause of the failure, for the log.
        """
        health = self._health_by_target.setdefault(target, _Health())
        health.has_responded = has_responded
        health.consecutive_failures += 1
        health.failure_ratio += _SMOOTHING * (1 - health.failure_ratio)
        if health.trials_in_progress:
            health.trials_in_progress -= 1
        now_ms = self._clock.now_ms
        if now_ms < health.ejected_until_ms:
            return
        if (
            not health.is_on_trial
            and health.consecutive_failures < MAX_CONSECUTIVE_FAILURES
            and health.failure_ratio < EJECTION_FAILURE_RATIO
        ):
            return
        duration_ms = min(
            MAX_EJECTION_MS, FIRST_EJECTION_MS << health.ejection_count
        )
        health.ejection_count += 1
        health.ejected_until_ms = now_ms + duration_ms
        health.is_on_trial = True
        health.trials_in_progress = 0
        log.event(
            _LOG,
            'target ejected',
            target=target,
            reason=reason,
            duration_ms=duration_ms,
            consecutive=health.consecutive_failures,
            failure_ratio=round(health.failure_ratio, 2),
        )

    def clear(self) -> None:
        """Readmit all targets that failed, since it was not their fault.

        Those that asked for a pause have responded.
        """
        self._health_by_target = {
            target: health
            for target, health in self._health_by_target.items()
            if health.has_refused
        }

    def retain(self, targets: frozenset[str]) -> None:
        """Discard the results of targets that are no longer listed.

        Args:
            targets: Names of the listed targets.
        """
        for target in self._health_by_target.keys() - targets:
            del self._health_by_target[target]
