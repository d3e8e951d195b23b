"""A machine is stopped while uploads keep coming, some of them long."""

from __future__ import annotations

import asyncio
import dataclasses
import os
import pathlib
import random

from review.standins import client
from review.standins import main
from review.standins import scene as scenes

REGION_BY_ZONE = {
    'north-a': 'north',
    'north-b': 'north',
    'central-a': 'central',
    'south-a': 'south',
}
SERVICE = 'field-album'
WORK_S = (0.42, 0.42, 0.42, 2.9)
"""Times that requests take: 1.04 s on average, as `row-photo` of `caroni-rota`,
which takes 3.12 s at most."""
DEADLINE_S = 5.0
"""Time limit of the clients of `row-photo`, and timeout of the route."""
BODY_BYTES = 60_000
CALM_S = 5.0
"""Time without any disruption before the stop; `contact` is 4 s."""
ROLLS = 6
SECONDS_PER_ROLL = 12.0
CLIENTS = 60
PAUSE_S = 0.01
TTL_S = 2.0
PATIENT = 3
"""One client in this many keeps a lookup for three times its TTL."""
EXCUSED_SENT_S = 3.0
"""Requests that were sent up to this time after SIGTERM are excused if their
instance is still at work in the last sixth of `grace`."""


@dataclasses.dataclass
class Lookup:
    """What a client keeps of its last lookup."""

    addresses: list[str] = dataclasses.field(default_factory=list)
    expires_s: float = 0.0


async def _run() -> int:
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    folder = pathlib.Path(__file__).parent
    scene = scenes.Scene(folder, REGION_BY_ZONE, list(REGION_BY_ZONE))
    scene.add_service(
        SERVICE,
        'upload',
        ['north-a', 'north-b'] * 12,
        6,
        WORK_S,
        timeout=f'{DEADLINE_S * 1_000:.0f}ms',
        target_latency='4000ms',
    )
    stopped = scene.hosts[0]
    outcomes: list[client.Outcome] = []
    tasks: set[asyncio.Task[None]] = set()
    stops_s: list[float] = []

    lookups = [Lookup() for _ in range(CLIENTS)]
    rng = random.Random(3)

    async def call(number: int, request_id: str) -> None:
        """Send a request of a client to an address of its last lookup."""
        lookup = lookups[number]
        if scene.now_s >= lookup.expires_s or not lookup.addresses:
            for host in scene.hosts[:3]:
                found = await scene.resolve(host, 'north', 'north-a')
                if found:
                    kept = TTL_S * (1 if number % PATIENT else 3)
                    lookup.addresses = found
                    lookup.expires_s = scene.now_s + kept
                    break
        if not lookup.addresses:
            return
        address = rng.choice(lookup.addresses)
        outcome = await client.send(
            scene,
            address,
            request_id,
            'POST',
            f'/{SERVICE}/{request_id}',
            DEADLINE_S,
            b'x' * BODY_BYTES,
        )
        if not outcome.status and address in lookup.addresses:
            lookup.addresses.remove(address)
        if address.startswith(f'{stopped.ip}:'):
            outcomes.append(outcome)

    async def call_steadily() -> None:
        for count in range(1_000_000):
            task = asyncio.create_task(
                call(rng.randrange(CLIENTS), f'c{count:06x}')
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(PAUSE_S)

    try:
        await scene.start()
        caller = asyncio.create_task(call_steadily())
        await asyncio.sleep(CALM_S)
        for _ in range(ROLLS):
            if has_trouble:
                scene.terminate(stopped)
                stops_s.append(scene.now_s)
            await asyncio.sleep(SECONDS_PER_ROLL)
        caller.cancel()
        await asyncio.sleep(DEADLINE_S)
        return _judge(scene, outcomes, stops_s)
    finally:
        scene.stop()


def _judge(
    scene: scenes.Scene,
    outcomes: list[client.Outcome],
    stops_s: list[float],
) -> int:
    """Count the requests that a stop has lost, less the excused ones."""
    served = sum(item.status == 200 and item.is_genuine for item in outcomes)
    scene.note(f'{served} of {len(outcomes)} requests served')
    lost_count = excused_count = 0
    for item in outcomes:
        words = [word for _, word, _ in scene.events_by_id[item.request_id]]
        is_replaced = item.status >= 400 and not item.is_genuine
        is_cut = not item.status and item.reason != 'time limit'
        stop_s = next(
            (
                at
                for at in stops_s
                if at <= item.ended_s <= at + scenes.GRACE_S + 1.0
            ),
            None,
        )
        if 'runs' not in words or 'ran' in words or stop_s is None:
            continue
        if not (is_replaced or is_cut):
            continue
        after_s = item.sent_s - stop_s
        if (
            after_s <= EXCUSED_SENT_S
            and item.ended_s >= stop_s + scenes.GRACE_S * 5 / 6
        ):
            excused_count += 1
            continue
        lost_count += 1
        scene.note(
            f'LOST {item.request_id}: sent {after_s:.3f} s after SIGTERM, its'
            f' instance at work, {item.status or item.reason} in place of the'
            f' answer after {item.ended_s - item.sent_s:.3f} s'
        )
    scene.note(f'{excused_count} more were broken off that the rule excuses')
    scene.note(f'{lost_count} lost: {"BROKEN" if lost_count else "held"}')
    return 1 if lost_count else 0


if __name__ == '__main__':
    main.run(_run)
