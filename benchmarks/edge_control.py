"""Cost of host states and target selection in the edge daemon.

    python -m benchmarks.edge_control

Prints the size of a host state and the processor time to encode and to apply
it, and the processor time to pick a target, for growing numbers of targets.
"""

from __future__ import annotations

import collections.abc
import random
import time

import msgspec

from wigeonhatch import clock as clocks
from wigeonhatch.balance import ejection
from wigeonhatch.balance import loads
from wigeonhatch.balance import pauses
from wigeonhatch.balance import picker as pickers
from wigeonhatch.balance import rate_budget
from wigeonhatch.balance import rate_limits
from wigeonhatch.balance import region_selector
from wigeonhatch.balance import warmup
from wigeonhatch.peers import state_link
from wigeonhatch.routes import model
from wigeonhatch.targets import registry

ROUNDS = 5_000
AFFINITY_KEYS = 500
TARGETS = (22, 108, 1_000)
BUSY_TARGETS = (10, 50, 100)
SERVICE_CONFIG = model.ServiceConfig('/health', 100, 3_000, 5.0)


def time_us(call: collections.abc.Callable[[], object]) -> float:
    """Measure the mean processor time of a call in us."""
    started_ns = time.process_time_ns()
    for _ in range(ROUNDS):
        call()
    return (time.process_time_ns() - started_ns) / ROUNDS / 1_000


def measure_state(busy_count: int) -> None:
    """Print the size and cost of a state that reports busy targets."""
    state = state_link.HostState(
        'front-north-a-1',
        1_700_000_000_000,
        1,
        'north-a',
        'north',
        '10.1.0.34:8548',
        state_link.HostReport(
            True, True, 30_000, 1.0, 12, {'op': 1_000, 'servers': 1_001}
        ),
        {f'i-{number:010x}': 3 for number in range(busy_count)},
    )
    data = msgspec.msgpack.encode(state)
    table = loads.LoadTable(clocks.Clock())
    decoder = msgspec.msgpack.Decoder(state_link.HostState)

    def decode_and_apply() -> None:
        table.on_report('h', decoder.decode(data).count_by_target)

    print(
        f'state, {busy_count} busy targets: {len(data)} bytes, encode '
        f'{time_us(lambda: msgspec.msgpack.encode(state)):.1f} us, take over '
        f'{time_us(decode_and_apply):.1f} us'
    )


def measure_pick(count: int) -> None:
    """Print the time to pick one of several targets."""
    clock = clocks.Clock()
    targets = registry.TargetRegistry(clock)
    targets.set_services({'s': SERVICE_CONFIG})
    targets.replace(
        registry.TargetRecord(
            f't{number}', 's', '10.0.0.1:80', 'a', 6, False, 0, 1
        )
        for number in range(count)
    )
    load_table = loads.LoadTable(clock)
    ejections = ejection.EjectionTable(clock)
    picker = pickers.Picker(
        region_selector.RegionSelector(
            'r',
            {'a': 'r'},
            0.15,
            targets,
            load_table,
            ejections,
            lambda: (),
            random.Random(1),
        ),
        targets,
        load_table,
        ejections,
        warmup.WarmupBudget('h', clock, lambda: frozenset({'h'})),
        rate_budget.RateBudget(
            'h',
            rate_limits.RateLimitTable(clock),
            lambda _: rate_budget.HostGroup(frozenset({'h'}), 1),
            clock,
        ),
        pauses.PauseTable(clock),
        clock,
    )
    picker.configure({'s': SERVICE_CONFIG})
    picker.adjust_splits({})
    numbers = iter(range(ROUNDS * 2))

    def pick() -> None:
        key = b'%d' % (next(numbers) % AFFINITY_KEYS)
        picker.pick(pickers.Query('s', key, frozenset(), 300.0), frozenset())

    for _ in range(AFFINITY_KEYS):
        pick()
    print(f'choice among {count} targets: {time_us(pick):.1f} us')


def main() -> None:
    """Print all measurements."""
    for count in BUSY_TARGETS:
        measure_state(count)
    for count in TARGETS:
        measure_pick(count)


if __name__ == '__main__':
    main()
