"""Measurement of drain durations."""

from __future__ import annotations

import collections.abc

from wigeonhatch import clock as clocks


class DrainTimer:
    """Measure the time from the start of a drain to its last response.

    Args:
        clock: Clock of this host.
        on_drained: Receives the kind and the duration in us of each
            completed drain.
        kind: `host` or `target`.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        on_drained: collections.abc.Callable[[str, int], None],
        kind: str = 'target',
    ) -> None:
        self._clock = clock
        self._on_drained = on_drained
        self._kind = kind
        self._start_ms_by_name: dict[str, int] = {}
        self._completed: set[str] = set()

    def update(
        self,
        draining: collections.abc.Set[str],
        count_in_progress: collections.abc.Callable[[str], int],
    ) -> None:
        """Check for completed drains; the call interval limits the accuracy.

        Args:
            draining: Names of the hosts or targets that are draining.
            count_in_progress: Returns the number of requests in progress.
        """
        now_ms = self._clock.now_ms
        for name in self._start_ms_by_name.keys() - draining:
            del self._start_ms_by_name[name]
        self._completed &= draining
        for name in draining - self._completed:
            start_ms = self._start_ms_by_name.setdefault(name, now_ms)
            if not count_in_progress(name):
                del self._start_ms_by_name[name]
                self._completed.add(name)
                if start_ms != now_ms:
                    self._on_drained(self._kind, (now_ms - start_ms) * 1_000)
