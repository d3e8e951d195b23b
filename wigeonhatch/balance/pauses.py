"""Targets that ask this host to send no requests for some time."""

from __future__ import annotations

import collections.abc
import logging

from wigeonhatch import clock as clocks
from wigeonhatch import log
from wigeonhatch.targets import registry

MAX_PAUSE_MS = 300_000
"""Longest pause that is kept. A longer one may be a mistake, and a request
every few minutes finds out."""
_LOG = logging.getLogger(__name__)


class PauseTable:
    """Pauses that targets have asked this host for.

    The request for a pause is meant for one host. Others are not bound by it,
    as the target may refuse only the requests of some hosts.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._end_ms_by_key: dict[registry.Incarnation, int] = {}

    def on_response(
        self, target: registry.TargetRecord, pause_ms: int
    ) -> None:
        """Record a refusal in which a target asks for a pause.

        Args:
            target: The target.
            pause_ms: Time for which it wants no requests in ms.
        """
        now_ms = self._clock.now_ms
        duration_ms = min(pause_ms, MAX_PAUSE_MS)
        previous_ms = self._end_ms_by_key.get(target.incarnation, 0)
        if now_ms + duration_ms <= previous_ms:
            return
        self._end_ms_by_key[target.incarnation] = now_ms + duration_ms
        if previous_ms <= now_ms:
            # Requests that were on their way are refused with it.
            log.event(
                _LOG,
                'target paused',
                target=target.name,
                incarnation=target.started_ms,
                duration_ms=duration_ms,
                stated_ms=pause_ms,
            )

    def left_ms(self, target: registry.TargetRecord) -> int:
        """Time for which a target gets no requests in ms; 0 if it may.

        Args:
            target: The target.
        """
        if not self._end_ms_by_key:
            return 0
        end_ms = self._end_ms_by_key.get(target.incarnation, 0)
        return max(0, end_ms - self._clock.now_ms)

    def retain(
        self, targets: collections.abc.Iterable[registry.TargetRecord]
    ) -> None:
        """Discard pauses that have ended or whose targets are not listed.

        Args:
            targets: Listed targets.
        """
        if not self._end_ms_by_key:
            return
        now_ms = self._clock.now_ms
        keys = {target.incarnation for target in targets}
        self._end_ms_by_key = {
            key: end_ms
            for key, end_ms in self._end_ms_by_key.items()
            if key in keys and end_ms > now_ms
        }
