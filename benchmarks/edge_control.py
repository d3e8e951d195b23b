"""Cost of the edge daemon's control: states of hosts and choices of targets.

    python -m benchmarks.edge_control

Prints the size of a state, the processor time to encode and to take over one,
and the time of one choice, for growing numbers of targets and hosts.
"""

from __future__ import annotations

import collections.abc
import time

import msgspec

from wigeonhatch import clock as clocks
from wigeonhatch.balance import ejection
from wigeonhatch.balance import loads
from wigeonhatch.balance import picker as pickers
from wigeonhatch.balance import warmup
from wigeonhatch.peers import state_link
from wigeonhatch.routes import model
from wigeonhatch.targets import registry

ROUNDS = 5_000
OBJECTS = 500
TARGETS = (22, 108, 1_000)
BUSY_TARGETS = (10, 50, 100)
SERVICE_CONFIG = model.ServiceConfig('/health', 100, 3_000, 5.0)


def time_us(run: collections.abc.Callable[[], object]) -> float:
    """Measure the processor time of a call in us."""
    started_ns = time.process_time_ns()
    for _ in range(ROUNDS):
        run()
    return (time.process_time_ns() - started_ns) / ROUNDS / 1_000


def measure_state(busy: int) -> None:
    """Print the cost of a state with some busy targets."""
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
        {f'i-{number:010x}': 3 for number in range(busy)},
    )
    data = msgspec.msgpack.encode(state)
    table = loads.LoadTable(clocks.Clock())
    decoder = msgspec.msgpack.Decoder(state_link.HostState)

    def take_over() -> None:
        table.on_report('h', decoder.decode(data).count_by_target)

    print(
        f'state, {busy} busy targets: {len(data)} bytes, encode '
        f'{time_us(lambda: msgspec.msgpack.encode(state)):.1f} us, take over '
        f'{time_us(take_over):.1f} us'
    )


def measure_choice(count: int) -> None:
    """Print the time of one choice among some targets."""
    clock = clocks.Clock()
    targets = registry.TargetRegistry(clock)
    targets.set_services({'s': SERVICE_CONFIG})
    targets.replace(
        registry.TargetRecord(
            f't{number}', 's', '10.0.0.1:80', 'a', 6, False, 0, 1
        )
        for number in range(count)
    )
    picker = pickers.Picker(
        'r',
        {'a': 'r'},
        0.15,
        targets,
        loads.LoadTable(clock),
        ejection.EjectionTable(clock),
        warmup.WarmupBudget('h', clock, lambda: frozenset({'h'})),
        clock,
    )
    picker.configure({'s': SERVICE_CONFIG})
    picker.adjust_splits({})
    numbers = iter(range(ROUNDS * 2))

    def choose() -> None:
        key = b'%d' % (next(numbers) % OBJECTS)
        picker.pick(pickers.Query('s', key, frozenset(), 300.0), frozenset())

    for _ in range(OBJECTS):
        choose()
    print(f'choice among {count} targets: {time_us(choose):.1f} us')


def main() -> None:
    """Print all measurements."""
    for busy in BUSY_TARGETS:
        measure_state(busy)
    for count in TARGETS:
        measure_choice(count)


if __name__ == '__main__':
    main()
