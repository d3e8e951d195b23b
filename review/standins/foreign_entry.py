"""Another writer leaves an entry in the platform's list of instances."""

from __future__ import annotations

import asyncio
import collections.abc
import os
import pathlib

from review.standins import client
from review.standins import scene as scenes

REGION_BY_ZONE = {
    'north-a': 'north',
    'north-b': 'north',
    'central-a': 'central',
    'south-a': 'south',
}
SERVICE = 'rota-board'
CALM_S = 4.0
"""Time of ordinary traffic before the entry is written."""
WATCHED_S = 20.0
"""Time after it; longer than the bound `recovery` of 15 s."""
PAUSE_S = 0.1
MAX_ENDS = 3
"""Ends of one process by itself from which a machine counts."""

BuildEntry = collections.abc.Callable[[scenes.Scene], bytes]


async def run(folder: pathlib.Path, build_entry: BuildEntry) -> int:
    """Run the case.

    Args:
        folder: Folder of the case.
        build_entry: Builds the content of the entry.

    Returns:
        Exit status: 1 if the rule was broken, 0 if it held.
    """
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    scene = scenes.Scene(folder, REGION_BY_ZONE, list(REGION_BY_ZONE))
    scene.add_service(
        SERVICE, 'idempotent', list(REGION_BY_ZONE) * 2, 6, (0.1,)
    )
    outcomes: list[client.Outcome] = []
    try:
        await scene.start()
        callers = [
            asyncio.create_task(_call(scene, number, outcomes))
            for number in range(4)
        ]
        await asyncio.sleep(CALM_S)
        written_s = scene.now_s
        if has_trouble:
            scene.store.put('servers', 'e-other-writer', build_entry(scene))
            scene.note('another writer has put an entry into the list')
        await asyncio.sleep(WATCHED_S)
        for task in callers:
            task.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        return _judge(scene, outcomes, written_s)
    finally:
        scene.stop()


async def _call(
    scene: scenes.Scene, number: int, outcomes: list[client.Outcome]
) -> None:
    """Send requests to the daemons in turn until cancelled."""
    for count in range(1_000_000):
        host = scene.hosts[(number + count) % len(scene.hosts)]
        outcomes.append(
            await client.send(
                scene,
                f'{host.ip}:{scene.port("front")}',
                f'{number:x}{count:06x}',
                'GET',
                f'/{SERVICE}/{count % 40}',
                4.0,
            )
        )
        await asyncio.sleep(PAUSE_S)


def _judge(
    scene: scenes.Scene, outcomes: list[client.Outcome], written_s: float
) -> int:
    for name, part in (
        ('before', [item for item in outcomes if item.sent_s < written_s]),
        ('after', [item for item in outcomes if item.sent_s >= written_s]),
    ):
        served = sum(item.status == 200 and item.is_genuine for item in part)
        scene.note(f'{name}: {served} of {len(part)} requests served')
    ended = [host for host in scene.hosts if len(host.ends) >= MAX_ENDS]
    for host in scene.hosts:
        scene.note(f'{host.name} has ended by itself {len(host.ends)} times')
        if host.ends:
            for line in scene.last_lines(host, 2):
                scene.note(f'  last line: {line[:300]}')
    needed = max(2, -(-len(scene.hosts) // 10))
    is_broken = len(ended) >= needed
    scene.note(
        f'{len(ended)} machines with {MAX_ENDS} ends or more,'
        f' the rule allows fewer than {needed}:'
        f' {"BROKEN" if is_broken else "held"}'
    )
    return 1 if is_broken else 0
