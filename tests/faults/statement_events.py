"""Targets of the soak test that state that they leave or want no requests."""

from __future__ import annotations

import asyncio
import random

from tests.faults import events
from tests.faults import fleet as fleets

_PAUSES = (('0.2', 200), ('3', 3_000), ('-1', 0), ('soon', 0))
"""Values of `Retry-After`, and the pause in ms that each asks for."""


async def state_departures(
    fleet: fleets.Fleet, rng: random.Random, seconds: float
) -> None:
    """Let targets state that they leave; their rows say so late or never."""
    end_ms = fleet.clock.now_ms + seconds * 1_000
    async with asyncio.TaskGroup() as tasks:
        while fleet.clock.now_ms < end_ms:
            await asyncio.sleep(rng.uniform(1.0, 5.0))
            target = events.choose_target(fleet, rng)
            if target is not None:
                fleet.targets.remove(target)
                target.is_departure_stated = True
                tasks.create_task(events.leave(fleet, target, rng))


async def ask_for_pauses(
    fleet: fleets.Fleet, rng: random.Random, seconds: float
) -> None:
    """Let one target after the other refuse requests and ask for a pause."""
    end_ms = fleet.clock.now_ms + seconds * 1_000
    while fleet.clock.now_ms < end_ms:
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        target = events.choose_target(fleet, rng)
        if target is not None:
            target.ask_for_pause(*rng.choice(_PAUSES))
            await asyncio.sleep(rng.uniform(0.5, 4.0))
            target.ask_for_pause('', 0)
