"""Time that drains take."""

from __future__ import annotations

import collections.abc

from wigeonhatch import clock as clocks


class DrainTimer:
    """Measure the time from the start of a drain to its last response.

    Args:
        clock: Clock of this host.
        on_drained: Receives the kind and the time in us of each drain that
            has finished.
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
        self._finished: set[str] = set()

    def update(
        self,
        draining: collections.abc.Set[str],
        count_in_progress: collections.abc.Callable[[str], int],
    ) -> None:
        """Look at the drains; the time between calls limits the accuracy.

        Args:
            draining: Names that drain now.
            count_in_progress: Counts the requests in progress for a name.
        """
        now_ms = self._clock.now_ms
        for name in self._start_ms_by_name.keys() - draining:
            del self._start_ms_by_name[name]
        self._finished &= draining
        for name in draining - self._finished:
            start_ms = self._start_ms_by_name.setdefault(name, now_ms)
            if not count_in_progress(name):
                del self._start_ms_by_name[name]
                self._finished.add(name)
                if start_ms != now_ms:
                    self._on_drained(self._kind, (now_ms - start_ms) * 1_000)
