"""Tests of the metrics."""

from __future__ import annotations

import random

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch.metrics import collector
from wigeonhatch.metrics import drain_timer


class _GaugeSource:
    def config_version(self) -> int:
        return 7

    def slots(self) -> list[collector.SlotGauge]:
        return [collector.SlotGauge('a', 'north', 3, 2, 5)]

    def violations(self) -> dict[str, int]:
        return {'shift cap': 1}


def _samples(metrics: collector.Metrics) -> dict[str, float]:
    lines = metrics.expose().decode().splitlines()
    parsed = (line.rpartition(' ') for line in lines if line[0] != '#')
    return {name: float(value) for name, _, value in parsed}


def test_exposition_has_each_metric() -> None:
    """Guards against metrics that are missing from the exposition."""
    metrics = collector.Metrics(clocks.ManualClock())
    metrics.set_gauge_source(_GaugeSource())
    metrics.set_unavailable(lambda: {'leaving': 2})
    metrics.on_request('a', 'north', codes.ResultCode.OK, 2_000)
    metrics.on_request('a', '', codes.ResultCode.NO_CAPACITY, 10)
    metrics.on_drained('target', 1_500_000)
    metrics.set_control_counters(lambda: {'bytes_sent': 1_000})
    metrics.set_selection_counters(lambda: {('a', 'north', True): 4})
    metrics.set_largest_shift(lambda: 0.12)
    metrics.on_violation('shift cap')
    samples = _samples(metrics)
    for name, value in (
        ('requests_total{code="0",name="OK",region="north",service="a"}', 1),
        (
            'requests_total{code="201",name="NO_CAPACITY",region="",'
            'service="a"}',
            1,
        ),
        ('request_seconds_sum{region="north",service="a"}', 0.002),
        ('drain_seconds_count{kind="target"}', 1),
        ('control_total{counter="bytes_sent"}', 1_000),
        (
            'attempts_total{region="north",selection="overflow",service="a"}',
            4,
        ),
        ('invariant_violations_total{invariant="shift cap"}', 2),
        ('region_shift_fraction', 0.12),
        ('unavailable_targets{reason="leaving"}', 2),
        ('config_version', 7),
        ('slots_free{region="north",service="a"}', 3),
        ('slots_used{region="north",service="a"}', 2),
        ('slots_capacity{region="north",service="a"}', 5),
    ):
        assert samples[f'wigeonhatch_{name}'] == value, name
    assert 'wigeonhatch_process_cpu_seconds_total' in samples


def test_quantiles_cover_the_last_windows() -> None:
    """Guards against quantiles that are wrong or never forget old windows."""
    clock = clocks.ManualClock()
    metrics = collector.Metrics(clock)
    rng = random.Random(1)
    values = sorted(rng.randrange(1, 200_000) for _ in range(2_000))
    for value in values:
        metrics.on_request('a', 'b', codes.ResultCode.OK, value)
    name = 'wigeonhatch_request_seconds{quantile="%s",region="b",service="a"}'
    samples = _samples(metrics)
    for quantile in (0.5, 0.9, 0.99):
        exact = values[int(quantile * len(values)) - 1] / 1e6
        assert abs(samples[name % quantile] - exact) <= 0.03 * exact
    for _ in range(2):
        clock.advance(collector.WINDOW_MS)
        metrics.on_request('a', 'b', codes.ResultCode.OK, 100)
        samples = _samples(metrics)
    assert samples[name % 0.99] <= 0.0002
    assert samples['wigeonhatch_request_seconds_count{region="b",service="a"}']


def test_drains_end_with_the_last_request() -> None:
    """Guards against drain durations that start late or are counted twice."""
    clock = clocks.ManualClock()
    drains: list[tuple[str, int]] = []
    timer = drain_timer.DrainTimer(
        clock, lambda kind, duration_us: drains.append((kind, duration_us))
    )
    in_progress = {'a': 2, 'b': 0, 'c': 1}
    for count in (2, 1, 0, 0):
        in_progress['a'] = count
        timer.update({'a', 'b', 'c'}, in_progress.__getitem__)
        clock.advance(100)
    timer.update(set(), in_progress.__getitem__)
    timer.update({'a'}, in_progress.__getitem__)
    assert drains == [('target', 200_000)]
