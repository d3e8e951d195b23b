"""Detection of a host that has lost its links to the targets."""

from __future__ import annotations

import collections.abc
import logging
import random
import typing

import anyio

from wigeonhatch import clock as clocks
from wigeonhatch import log

SIGNAL_WINDOW_MS = 2_000
"""Time for which a failure to reach a target counts."""
MIN_SUSPECTS = 2
"""Targets that have to fail in this time to start probes."""
PROBE_COUNT = 6
"""Targets that a round of probes connects to."""
PROBE_INTERVAL_MS = 400
"""Pause between rounds of probes."""
MAX_FAILED_ROUNDS = 2
"""Rounds without any connection after which the targets are unreachable; a
single one may fail because the process was suspended."""
MIN_REACHED_FRACTION = 1 / 3
"""Fraction of probes that succeed in a round once the links are back."""
MIN_HOLD_MS = 1_500
"""Time for which probes have to succeed until the targets are reached."""
MAX_HOLD_MS = 24_000
"""Longest such time; it doubles if the links were lost again."""
STABLE_MS = 60_000
"""Time after which another loss is no longer held against the links."""
RETURN_MS = 4_000
"""Time in which a host that reaches the targets again gains full weight."""
MIN_RETURN_WEIGHT = 0.2
"""Weight with which it starts."""
_LOG = logging.getLogger(__name__)


class Connector(typing.Protocol):
    """Opens connections to targets."""

    async def accepts_connections(self, target: str) -> bool:
        """Open a connection to a target and close it."""


class TargetReach:
    """Tell a host without links from targets that fail.

    When requests do not reach some targets, the host opens connections to
    others, near and far. Only if it reaches none of them,
    its own links are lost. Connections that are still open say nothing, since
    they may work while new ones do not.

    Args:
        connector: Opens connections to targets.
        group_targets: Returns the names of the targets in this host's domain,
            of those elsewhere in its region, and of all others.
        on_reached: Called when the targets are reached again.
        clock: Source of monotonic time.
        rng: Chooses the targets to connect to.
    """

    def __init__(
        self,
        connector: Connector,
        group_targets: collections.abc.Callable[
            [], collections.abc.Sequence[collections.abc.Sequence[str]]
        ],
        on_reached: collections.abc.Callable[[], None],
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self.is_lost = False
        self._connector = connector
        self._group_targets = group_targets
        self._on_reached = on_reached
        self._clock = clock
        self._rng = rng
        self._failed_ms_by_target: dict[str, int] = {}
        self._suspicion = anyio.Event()
        self._failed_rounds = 0
        self._good_since_ms: int | None = None
        self._lost_ms = 0
        self._reached_ms: int | None = None
        self._hold_ms = MIN_HOLD_MS

    @property
    def return_weight(self) -> float:
        """Fraction of the weight of the host; below 1 after a loss."""
        if self._reached_ms is None:
            return 1.0
        elapsed_ms = self._clock.now_ms - self._reached_ms
        gained = (1.0 - MIN_RETURN_WEIGHT) * elapsed_ms / RETURN_MS
        return min(1.0, MIN_RETURN_WEIGHT + gained)

    def on_unreached(self, target: str) -> None:
        """Record a connection that failed, or a target that did not respond.

        Args:
            target: Name of the target.
        """
        now_ms = self._clock.now_ms
        self._failed_ms_by_target[target] = now_ms
        self._failed_ms_by_target = {
            name: at_ms
            for name, at_ms in self._failed_ms_by_target.items()
            if now_ms - at_ms <= SIGNAL_WINDOW_MS
        }
        if len(self._failed_ms_by_target) >= MIN_SUSPECTS:
            self._suspicion.set()

    async def run(self) -> None:
        """Probe targets while their links are suspected or lost."""
        while True:
            if not self.is_lost and not self._failed_rounds:
                await self._suspicion.wait()
            self._suspicion = anyio.Event()
            await self.probe()
            await self._clock.sleep_ms(PROBE_INTERVAL_MS)

    async def probe(self) -> None:
        """Connect to some targets and draw the conclusion."""
        names = self._sample()
        if not names:
            self._failed_rounds = 0
            return
        reached: set[str] = set()

        async def connect(name: str) -> None:
            if await self._connector.accepts_connections(name):
                reached.add(name)

        async with anyio.create_task_group() as tasks:
            for name in names:
                tasks.start_soon(connect, name)
        if self.is_lost:
            self._check_return(len(reached), len(names))
        else:
            self._check_loss(len(reached), len(names))

    def _sample(self) -> list[str]:
        """Choose as many targets from each group, if it has them."""
        names: list[str] = []
        groups = sorted(self._group_targets(), key=len)
        for number, group in enumerate(groups):
            left = (PROBE_COUNT - len(names)) // (len(groups) - number)
            names += self._rng.sample(group, min(left, len(group)))
        return names

    def _check_loss(self, reached: int, probed: int) -> None:
        self._failed_rounds = 0 if reached else self._failed_rounds + 1
        if self._failed_rounds < MAX_FAILED_ROUNDS:
            return
        now_ms = self._clock.now_ms
        is_repeated = (
            self._reached_ms is not None
            and now_ms - self._reached_ms < STABLE_MS
        )
        self._hold_ms = (
            min(MAX_HOLD_MS, 2 * self._hold_ms) if is_repeated else MIN_HOLD_MS
        )
        self.is_lost = True
        self._failed_rounds = 0
        self._lost_ms = now_ms
        self._good_since_ms = None
        log.event(
            _LOG,
            'targets unreachable',
            probed=probed,
            failing=len(self._failed_ms_by_target),
            hold_ms=self._hold_ms,
        )

    def _check_return(self, reached: int, probed: int) -> None:
        now_ms = self._clock.now_ms
        if reached < probed * MIN_REACHED_FRACTION:
            self._good_since_ms = None
            return
        if self._good_since_ms is None:
            self._good_since_ms = now_ms
        if now_ms - self._good_since_ms < self._hold_ms:
            return
        self.is_lost = False
        self._reached_ms = now_ms
        self._failed_ms_by_target.clear()
        log.event(
            _LOG,
            'targets reached again',
            probed=probed,
            reached=reached,
            lost_ms=now_ms - self._lost_ms,
        )
        self._on_reached()
