"""Fraction of requests that change their region, from the logs of hosts."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import math

from wigeonhatch.tracing import reader

WINDOW_MS = 2_000
"""Window to which the operators' cap on shifts applies."""
STEP_MS = 250
"""Interval between the moments at which adjacent windows are compared."""
_ATTEMPT = 'attempt'


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Region in which an attempt ran.

    Args:
        sent_ms: Start of the attempt on the wall clock in ms.
        source: Region of the host that sent it.
        region: Region of its target.
    """

    sent_ms: int
    source: str
    region: str


@dataclasses.dataclass(frozen=True, slots=True)
class RegionShift:
    """Comparison of the requests of one region in two adjacent windows.

    Args:
        source: Region of the hosts that sent the requests.
        at_ms: End of the first window and start of the second one in ms.
        fraction: Fraction of the requests that changed their region.
        chance: Fraction to expect if nothing but chance distributes requests.
        before: Requests of the first window by the region in which they ran.
        after: Those of the second window.
    """

    source: str
    at_ms: int
    fraction: float
    chance: float
    before: dict[str, int]
    after: dict[str, int]


def read_placements(
    lines: collections.abc.Iterable[reader.LogLine],
) -> collections.abc.Iterator[Placement]:
    """Yield the attempts in the logs of hosts.

    Args:
        lines: Lines of all hosts; the lines of each host are in order.
    """
    source_by_host: dict[str, str] = {}
    for line in lines:
        if line.message == reader.STARTED and 'region' in line.fields:
            source_by_host[line.host] = str(line.fields['region'])
        elif line.message == _ATTEMPT and line.host in source_by_host:
            # Attempts are logged when they end.
            yield Placement(
                line.time_ms - int(line.fields.get('took_ms', 0)),
                source_by_host[line.host],
                str(line.fields.get('region', '')),
            )


def measure_shifts(
    placements: collections.abc.Iterable[Placement],
    window_ms: int = WINDOW_MS,
    step_ms: int = STEP_MS,
) -> collections.abc.Iterator[RegionShift]:
    """Compare all pairs of adjacent windows of each region.

    Pairs of which one window is empty are left out.

    Args:
        placements: Attempts in any order.
        window_ms: Length of a window in ms.
        step_ms: Interval between comparisons in ms; divides `window_ms`.
    """
    steps = window_ms // step_ms
    counts: dict[str, dict[int, collections.Counter[str]]] = {}
    for item in placements:
        by_step = counts.setdefault(item.source, {})
        step = by_step.setdefault(
            item.sent_ms // step_ms, collections.Counter()
        )
        step[item.region] += 1
    for source, by_step in sorted(counts.items()):
        for at in range(min(by_step) + 1, max(by_step) + 1):
            before = _sum(by_step, at - steps, at)
            after = _sum(by_step, at, at + steps)
            if before and after:
                yield RegionShift(
                    source,
                    at * step_ms,
                    changed_fraction(before, after),
                    _chance(before, after),
                    dict(before),
                    dict(after),
                )


def changed_fraction(
    before: collections.abc.Mapping[str, float],
    after: collections.abc.Mapping[str, float],
) -> float:
    """Fraction of requests that run in another region than before.

    Args:
        before: Requests of one window by region; not empty.
        after: Requests of the next window by region; not empty.
    """
    before_total, after_total = sum(before.values()), sum(after.values())
    return (
        sum(
            abs(
                before.get(region, 0) / before_total
                - after.get(region, 0) / after_total
            )
            for region in {**before, **after}
        )
        / 2
    )


def _sum(
    by_step: collections.abc.Mapping[int, collections.Counter[str]],
    begin: int,
    end: int,
) -> collections.Counter[str]:
    total: collections.Counter[str] = collections.Counter()
    for step in range(begin, end):
        total.update(by_step.get(step, {}))
    return total


def _chance(
    before: collections.Counter[str], after: collections.Counter[str]
) -> float:
    """Mean change between two samples of the same distribution.

    The difference of two frequencies is close to a normal distribution, the
    mean of which is sqrt(2 / pi) times its standard deviation.
    """
    both = before + after
    total = both.total()
    spread = 1 / before.total() + 1 / after.total()
    return (
        sum(
            math.sqrt(2 / math.pi * spread * share * (1 - share))
            for share in (count / total for count in both.values())
        )
        / 2
    )
