"""Cost of a configuration change for several numbers of hosts.

Run with `python -m benchmarks.config_size`.
"""

from __future__ import annotations

import dataclasses
import statistics
import sys
import time
import tracemalloc
import typing

import msgspec
import pydantic

from benchmarks import goals
from wigeonhatch.config import delta as deltas
from wigeonhatch.config import model
from wigeonhatch.steering import ownership

SIZES = (730, 2_190, 7_300)
CHANGES_PER_S = 18_000 / 86_400
_REGION_COUNT = 33
_DOMAIN_COUNT = 115
_TARGETS_PER_HOST = 2_200 / 7_300
_CONFIG = pydantic.TypeAdapter(model.SteeringConfig)


def build_document(hosts: int) -> dict[str, typing.Any]:
    """Build a document with as many targets per host as the design size.

    Args:
        hosts: Number of hosts.
    """
    domains = [f'd{number}' for number in range(_DOMAIN_COUNT)]
    cap = {'percent': 10, 'interval_ms': 5_000}

    def address(number: int, port: int) -> str:
        return f'10.{number >> 8}.{number & 255}.1:{port}'

    return {
        'region_by_name': {
            f'r{number}': {'domains': domains[number::_REGION_COUNT]}
            for number in range(_REGION_COUNT)
        },
        'host_by_name': {
            f'h{number}': {
                'domain': domains[number % _DOMAIN_COUNT],
                'caller_address': address(number, 1),
                'peer_address': address(number, 2),
                'operator_address': address(number, 3),
            }
            for number in range(hosts)
        },
        'service_by_name': {
            's': {
                'slots': 100,
                'connections': 400,
                'share_by_region': {'r0': 100},
                'shift_cap': cap,
            }
        },
        'target_by_name': {
            f't{number}': {
                'service': 's',
                'domain': domains[number % _DOMAIN_COUNT],
                'address': address(number, 4),
            }
            for number in range(int(hosts * _TARGETS_PER_HOST))
        },
    }


def _time_ms(function: typing.Callable[[], object], rounds: int) -> float:
    times_ms = []
    for _ in range(rounds):
        started = time.process_time()
        function()
        times_ms.append((time.process_time() - started) * 1_000)
    return statistics.median(times_ms)


def measure(hosts: int) -> list[goals.Figure]:
    """Measure the cost for one number of hosts.

    Args:
        hosts: Number of hosts.
    """
    document = build_document(hosts)
    encoded = msgspec.json.encode(document)
    tracemalloc.start()
    config = _CONFIG.validate_json(encoded)
    parsed = msgspec.json.decode(encoded)
    memory_mb = tracemalloc.get_traced_memory()[0] / 1_000_000
    tracemalloc.stop()
    changed = {**parsed, 'drain_by_name': {'t0': {'kind': 'target'}}}
    delta = deltas.make_delta(parsed, changed)
    assert delta is not None
    changed_document = deltas.apply_delta(parsed, delta)
    drained = deltas.apply_to_config(config, changed_document, delta)
    cache = ownership.OwnerCache()
    cache.assign(config)
    diff_ms = _time_ms(
        lambda: (
            deltas.apply_delta(parsed, delta),
            deltas.hash_document(changed_document),
            deltas.apply_to_config(config, changed_document, delta),
        ),
        9,
    )
    configs = [config, drained]

    def assign_alternately() -> None:
        configs.reverse()
        cache.assign(configs[0])

    cached_ms = _time_ms(assign_alternately, 9)
    full_ms = _time_ms(lambda: ownership.assign_owners(config), 3)
    label = f'{hosts} hosts'
    per_change = diff_ms + cached_ms
    return [
        goals.Figure(f'{label}: document', len(encoded) / 1_000, 'KB'),
        goals.Figure(f'{label}: memory of the document', memory_mb, 'MB'),
        goals.Figure(
            f'{label}: diff of a drain', len(msgspec.json.encode(delta)), 'B'
        ),
        goals.Figure(f'{label}: apply a diff', diff_ms, 'ms'),
        goals.Figure(f'{label}: owners, computed', full_ms, 'ms'),
        goals.Figure(f'{label}: owners, kept', cached_ms, 'ms'),
        goals.Figure(
            f'{label}: 18,000 changes a day',
            per_change * CHANGES_PER_S / 10,
            '% of core',
            2.1,
        ),
    ]


def main() -> int:
    """Measure all numbers of hosts and print the figures.

    Returns:
        0 if all goals were met, else 1.
    """
    figures = [figure for size in SIZES for figure in measure(size)]
    met = goals.print_figures(figures)
    print(dataclasses.asdict(figures[-1]))
    return 0 if met else 1


if __name__ == '__main__':
    sys.exit(main())
