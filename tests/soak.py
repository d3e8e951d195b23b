"""Soak test: randomised runs of the state machines, by seed and duration.

Run with `make soak SEED=7 SECONDS_=600`.
"""

from __future__ import annotations

import logging
import os
import sys
import time
import traceback

import hypothesis
from hypothesis import stateful

from tests.budget import test_machine as budget_machine
from tests.peers import test_versions as version_machine
from tests.requests import test_keys as key_machine
from tests.steering import test_split_machine as split_machine

_EXAMPLES_PER_ROUND = 20
_STEPS = 50
MACHINES: tuple[type[stateful.RuleBasedStateMachine], ...] = (
    budget_machine.SlotMachine,
    budget_machine.RecoveryMachine,
    key_machine.KeyMachine,
    split_machine.SplitMachine,
    version_machine.VersionMachine,
)


def run_round(
    machine: type[stateful.RuleBasedStateMachine], seed: int
) -> bool:
    """Run one state machine with one seed.

    Args:
        machine: State machine to run.
        seed: Seed of hypothesis.

    Returns:
        Whether it passed; a failure is printed with its seed.
    """
    seeded = hypothesis.seed(seed)(type(machine.__name__, (machine,), {}))
    settings = hypothesis.settings(
        max_examples=_EXAMPLES_PER_ROUND,
        stateful_step_count=_STEPS,
        deadline=None,
        database=None,
        print_blob=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    try:
        stateful.run_state_machine_as_test(seeded, settings=settings)
    except BaseException as error:
        if isinstance(error, KeyboardInterrupt):
            raise
        traceback.print_exc()
        print(f'FAILED: {machine.__name__}, SEED={seed}')
        return False
    return True


def main() -> int:
    """Run all state machines with increasing seeds until the time is up.

    Returns:
        0 if every round passed, else 1.
    """
    # The state machines inject faults, and each logs a warning.
    logging.disable(logging.CRITICAL)
    seed = int(os.environ.get('SOAK_SEED', '1'))
    end_s = time.monotonic() + float(os.environ.get('SOAK_SECONDS', '60'))
    rounds = 0
    failed = 0
    while time.monotonic() < end_s:
        for machine in MACHINES:
            failed += not run_round(machine, seed)
            rounds += 1
        seed += 1
    print(f'{rounds} rounds, {failed} failed, seeds up to {seed - 1}')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
