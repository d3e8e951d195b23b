"""Prometheus metrics of a host."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import typing

from hdrh import histogram
import prometheus_client
from prometheus_client import core
from prometheus_client import registry as registries

from wigeonhatch import clock as clocks
from wigeonhatch import codes

WINDOW_MS = 60_000
"""Quantiles cover between one and two windows."""
MAX_LATENCY_US = 120_000_000
_QUANTILES = (0.5, 0.9, 0.99, 0.999)
# 64 steps per power of two, as fine as the histogram. Counting rounded values
# in a dict takes 0.1 us, recording them in the histogram 3 us.
_SIGNIFICANT_BITS = 7
_SIGNIFICANT_DIGITS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class SlotGauge:
    """Slots of one service in one region, as seen by this host."""

    service: str
    region: str
    free: int
    used: int
    capacity: int


ReadCounters = collections.abc.Callable[
    [], collections.abc.Mapping[str, float]
]


ReadSelections = collections.abc.Callable[
    [], collections.abc.Mapping[tuple[str, str, bool], int]
]


class GaugeSource(typing.Protocol):
    """State to read at each collection of the metrics."""

    def config_version(self) -> int:
        """Version of the configuration in force; 0 for none."""
        ...

    def slots(self) -> collections.abc.Iterable[SlotGauge]:
        """Slots by service and region."""
        ...

    def violations(self) -> collections.abc.Mapping[str, int]:
        """Violations of each invariant since the start of the process."""
        ...


class Metrics:
    """Collect the metrics of a host.

    The `on_` methods run on the request path and only increment counters.

    Args:
        clock: Clock of this host.

    Attributes:
        registry: Registry of the metrics, for further collectors.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._count_by_request: dict[tuple[str, str, int], int] = {}
        self._summary_by_route: dict[tuple[str, str], _Summary] = {}
        self._drain_by_kind: dict[str, _Summary] = {}
        self._violations: collections.Counter[str] = collections.Counter()
        self._gauge_source: GaugeSource | None = None
        self._read_control_counters: ReadCounters | None = None
        self._read_selections: ReadSelections | None = None
        self._read_task_errors: ReadCounters | None = None
        self._read_unavailable: ReadCounters | None = None
        self._read_reach: collections.abc.Callable[[], bool] | None = None
        self._read_largest_shift: (
            collections.abc.Callable[[], float] | None
        ) = None
        self._window_start_ms = clock.now_ms
        self._histogram = histogram.HdrHistogram(
            1, MAX_LATENCY_US, _SIGNIFICANT_DIGITS
        )
        self.registry = registries.CollectorRegistry(auto_describe=False)
        self.registry.register(self)
        prometheus_client.ProcessCollector(
            namespace='wigeonhatch', registry=self.registry
        )

    def set_gauge_source(self, source: GaugeSource) -> None:
        """Set the state to read at each collection.

        Args:
            source: State of the daemon.
        """
        self._gauge_source = source

    def set_control_counters(self, read: ReadCounters) -> None:
        """Set the counters of the control plane to read at each collection.

        Args:
            read: Returns counters by name, for example `bytes_sent`.
        """
        self._read_control_counters = read

    def set_selection_counters(self, read: ReadSelections) -> None:
        """Set the counters of selected regions to read at each collection.

        Args:
            read: Returns the attempts by service, region, and whether they
                overflowed from the region that the split selected.
        """
        self._read_selections = read

    def set_largest_shift(
        self, read: collections.abc.Callable[[], float]
    ) -> None:
        """Set the measure of shifts between regions to read.

        Args:
            read: Returns the largest fraction of the host's requests that
                changed their region from one window to the next.
        """
        self._read_largest_shift = read

    def set_reach(self, read: collections.abc.Callable[[], bool]) -> None:
        """Set the state of the links to targets to read at each collection.

        Args:
            read: Returns whether the host reaches targets.
        """
        self._read_reach = read

    def set_unavailable(self, read: ReadCounters) -> None:
        """Set the counts of targets without new requests to read.

        Args:
            read: Returns the number of listed targets by reason.
        """
        self._read_unavailable = read

    def set_task_errors(self, read: ReadCounters) -> None:
        """Set the counters of errors that ended a task to read.

        Args:
            read: Returns the number of errors by task.
        """
        self._read_task_errors = read

    def on_request(
        self,
        service: str,
        region: str,
        code: codes.ResultCode,
        duration_us: int,
    ) -> None:
        """Count a completed request.

        Args:
            service: Name of the service; empty if unknown.
            region: Region that served the request; empty if none did.
            code: Result of the request.
            duration_us: Time from the request head to the response end in us.
        """
        # Hashing an enum member runs Python code; hashing its number does
        # not.
        key = (service, region, int(code))
        self._count_by_request[key] = self._count_by_request.get(key, 0) + 1
        if code is codes.ResultCode.OK:
            summary = self._summary_by_route.get((service, region))
            if summary is None:
                summary = self._summary_by_route[service, region] = _Summary()
            summary.add(duration_us)

    def on_drained(self, kind: str, duration_us: int) -> None:
        """Count a completed drain.

        Args:
            kind: `host` or `target`.
            duration_us: Time from the drain to the last response in us.
        """
        self._drain_by_kind.setdefault(kind, _Summary()).add(duration_us)

    def on_violation(self, invariant: str) -> None:
        """Count a violation of an invariant.

        Args:
            invariant: Name of the invariant.
        """
        self._violations[invariant] += 1

    def expose(self) -> bytes:
        """Render all metrics in the text format of Prometheus."""
        return prometheus_client.generate_latest(self.registry)

    def collect(self) -> collections.abc.Iterator[core.Metric]:
        """Yield all metrics; called by the Prometheus registry."""
        self._rotate()
        yield self._requests()
        yield self._summary(
            'wigeonhatch_request_seconds',
            'Time to serve a request.',
            ('service', 'region'),
            self._summary_by_route,
        )
        yield self._summary(
            'wigeonhatch_drain_seconds',
            'Time from a drain to its last response.',
            ('kind',),
            {(kind,): item for kind, item in self._drain_by_kind.items()},
        )
        if self._read_control_counters is not None:
            yield _counter(
                'wigeonhatch_control',
                'Messages, bytes and reads of the control plane.',
                'counter',
                self._read_control_counters(),
            )
        if self._read_selections is not None:
            yield _selections(self._read_selections())
        if self._read_largest_shift is not None:
            yield core.GaugeMetricFamily(
                'wigeonhatch_region_shift_fraction',
                'Largest fraction of the requests that changed their region '
                'from one window of 2 s to the next in the last minute.',
                value=self._read_largest_shift(),
            )
        if self._read_reach is not None:
            yield core.GaugeMetricFamily(
                'wigeonhatch_reaches_targets',
                'Whether the host can open connections to targets.',
                value=int(self._read_reach()),
            )
        if self._read_unavailable is not None:
            unavailable = core.GaugeMetricFamily(
                'wigeonhatch_unavailable_targets',
                'Listed targets that get no new requests, by reason.',
                labels=('reason',),
            )
            for reason, count in self._read_unavailable().items():
                unavailable.add_metric((reason,), count)
            yield unavailable
        if self._read_task_errors is not None:
            yield _counter(
                'wigeonhatch_task_errors',
                'Unexpected errors after which a task was started again.',
                'task',
                self._read_task_errors(),
            )
        violations = collections.Counter(self._violations)
        if self._gauge_source is not None:
            violations.update(self._gauge_source.violations())
            yield core.GaugeMetricFamily(
                'wigeonhatch_config_version',
                'Version of the configuration in force.',
                self._gauge_source.config_version(),
            )
            yield from _slot_gauges(list(self._gauge_source.slots()))
        yield _counter(
            'wigeonhatch_invariant_violations',
            'Steps that were refused because they were unsafe.',
            'invariant',
            violations,
        )

    def _rotate(self) -> None:
        now_ms = self._clock.now_ms
        if now_ms - self._window_start_ms >= WINDOW_MS:
            self._window_start_ms = now_ms
            for item in self._summary_by_route.values():
                item.rotate()
            for item in self._drain_by_kind.values():
                item.rotate()

    def _requests(self) -> core.Metric:
        family = core.CounterMetricFamily(
            'wigeonhatch_requests',
            'Requests by service, region and result code.',
            labels=('service', 'region', 'code', 'name'),
        )
        for (service, region, code), count in self._count_by_request.items():
            name = codes.ResultCode(code).name
            family.add_metric((service, region, str(code), name), count)
        return family

    def _summary(
        self,
        name: str,
        documentation: str,
        labels: tuple[str, ...],
        summary_by_label: collections.abc.Mapping[typing.Any, _Summary],
    ) -> core.Metric:
        family = core.SummaryMetricFamily(name, documentation, labels=labels)
        for values, summary in summary_by_label.items():
            family.add_metric(values, summary.count, summary.total_us / 1e6)
            for quantile, value_us in self._quantiles(summary):
                sample_labels = dict(zip(labels, values))
                sample_labels['quantile'] = str(quantile)
                family.add_sample(name, sample_labels, value_us / 1e6)
        return family

    def _quantiles(
        self, summary: _Summary
    ) -> collections.abc.Iterator[tuple[float, int]]:
        self._histogram.reset()
        for window in (summary.previous, summary.current):
            for value_us, count in window.items():
                self._histogram.record_value(
                    min(max(value_us, 1), MAX_LATENCY_US), count
                )
        if self._histogram.get_total_count():
            values = self._histogram.get_percentile_to_value_dict(
                [quantile * 100 for quantile in _QUANTILES]
            )
            yield from zip(_QUANTILES, values.values())


class _Summary:
    """Durations of two windows, with their count and sum since the start."""

    __slots__ = ('count', 'total_us', 'current', 'previous')

    def __init__(self) -> None:
        self.count = 0
        self.total_us = 0
        self.current: dict[int, int] = {}
        self.previous: dict[int, int] = {}

    def add(self, duration_us: int) -> None:
        """Record a duration in us."""
        self.count += 1
        self.total_us += duration_us
        shift = max(0, duration_us.bit_length() - _SIGNIFICANT_BITS)
        rounded = duration_us >> shift << shift
        self.current[rounded] = self.current.get(rounded, 0) + 1

    def rotate(self) -> None:
        """Start a new window."""
        self.previous = self.current
        self.current = {}


def _counter(
    name: str,
    documentation: str,
    label: str,
    value_by_label: collections.abc.Mapping[str, float],
) -> core.Metric:
    family = core.CounterMetricFamily(name, documentation, labels=(label,))
    for value, number in value_by_label.items():
        family.add_metric((value,), number)
    return family


def _selections(
    count_by_selection: collections.abc.Mapping[tuple[str, str, bool], int],
) -> core.Metric:
    family = core.CounterMetricFamily(
        'wigeonhatch_attempts',
        'Attempts by service, region and how the region was selected.',
        labels=('service', 'region', 'selection'),
    )
    for (service, region, is_overflow), count in count_by_selection.items():
        selection = 'overflow' if is_overflow else 'split'
        family.add_metric((service, region, selection), count)
    return family


def _slot_gauges(
    gauges: list[SlotGauge],
) -> collections.abc.Iterator[core.Metric]:
    for state in ('free', 'used', 'capacity'):
        family = core.GaugeMetricFamily(
            f'wigeonhatch_slots_{state}',
            f'Slots by service and region: {state}.',
            labels=('service', 'region'),
        )
        for item in gauges:
            family.add_metric(
                (item.service, item.region), getattr(item, state)
            )
        yield family
