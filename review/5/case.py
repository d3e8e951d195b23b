"""Instances leave half a minute after the platform's store was down."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random

from review.standins import client
from review.standins import main
from review.standins import scene as scenes

REGION_BY_ZONE = {'north-a': 'north', 'north-b': 'north', 'south-a': 'south'}
HOST_ZONES = ['north-a'] * 3 + ['north-b'] * 2 + ['south-a']
"""A small site with some of its spare machines (`add_nodes`)."""
SERVICES = ('rota-board', 'bloom-ledger', 'field-album')
INSTANCES = 30
"""Instances of each service, all in the region `north`."""
SLOTS = 6
WORK_S = (0.04,)
DOWN_AFTER_S = 25.0
DOWN_S = 8.0
"""Length of the outage; `platform_down` lasts 8 s at most on this site."""
LEAVING_FROM_S = 54.6
WAVES = 10
WAVE_PAUSE_S = 0.1
LEAVING = 2
"""Instances of each service that leave at once; the site takes away up to a
quarter at once (`scale_in`)."""
SILENT = 3
"""One in this many leaves without a report."""
DRAIN_S = 2.5
"""Bound `drain`."""
SERVES_ON_S = 6.0
"""Time for which an instance goes on to serve after its entry is gone."""
CALLERS = 36
PAUSE_S = 0.03
DEADLINE_S = 4.0


async def _run() -> int:
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    folder = pathlib.Path(__file__).parent
    scene = scenes.Scene(folder, REGION_BY_ZONE, HOST_ZONES)
    for service in SERVICES:
        scene.add_service(
            service,
            'idempotent',
            ['north-a', 'north-b'] * (INSTANCES // 2),
            SLOTS,
            WORK_S,
            session_affinity=True,
        )
    waiting = {
        service: [x for x in scene.instances if x.service == service]
        for service in SERVICES
    }
    left_s: dict[str, float] = {}
    rng = random.Random(5)
    closing: list[asyncio.TimerHandle] = []

    async def call(number: int) -> None:
        """Send requests to the daemons of the region until cancelled."""
        for count in range(1_000_000):
            host = scene.hosts[(number + count) % (len(scene.hosts) - 1)]
            service = SERVICES[rng.randrange(3)]
            await client.send(
                scene,
                f'{host.ip}:{scene.port("front")}',
                f'{number:x}{count:06x}',
                'GET',
                f'/{service}/{rng.randrange(40)}',
                DEADLINE_S,
            )
            await asyncio.sleep(PAUSE_S)

    def leave() -> None:
        """Take away some instances of each service.

        One in three does not report that it drains: its entry is removed.
        """
        for service in SERVICES:
            for _ in range(LEAVING):
                item = waiting[service].pop(0)
                if len(left_s) % SILENT:
                    entry = item.describe()
                    entry['status']['state'] = 'draining'
                    scene.store.put('servers', item.name, entry)
                else:
                    scene.store.remove('servers', item.name)
                left_s[item.name] = scene.now_s
                scene.note(f'{item.name} leaves')
                closing.append(
                    asyncio.get_running_loop().call_later(
                        SERVES_ON_S, item.close
                    )
                )

    try:
        await scene.start()
        callers = [
            asyncio.create_task(call(number)) for number in range(CALLERS)
        ]
        await asyncio.sleep(DOWN_AFTER_S - scene.now_s)
        if has_trouble:
            scene.note('the store is down')
            scene.store.break_down()
            await asyncio.sleep(DOWN_S)
            await scene.store.come_back()
            scene.note('the store is back')
        await asyncio.sleep(LEAVING_FROM_S - scene.now_s)
        for _ in range(WAVES):
            leave()
            await asyncio.sleep(WAVE_PAUSE_S)
        await asyncio.sleep(SERVES_ON_S)
        for task in callers:
            task.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        return _judge(scene, left_s)
    finally:
        scene.stop()


def _judge(scene: scenes.Scene, left_s: dict[str, float]) -> int:
    late_count = 0
    outcomes = {'answered': 0, 'unanswered': 0}
    for request_id, events in scene.events_by_id.items():
        # A request reaches its instance after the client has sent it.
        sent_s, address = next(
            ((at, x) for at, word, x in events if word == 'sent'), (0.0, '')
        )
        for _, word, detail in events:
            if word in outcomes:
                outcomes[word] += 1
            if word not in ('runs', 'not run') or detail not in left_s:
                continue
            after_s = sent_s - left_s[detail]
            if after_s > DRAIN_S:
                late_count += 1
                scene.note(
                    f'LATE {request_id} by {address} to {detail}, sent'
                    f' {after_s:.3f} s after it had left'
                )
    scene.note(f'{outcomes}')
    scene.note(
        f'{late_count} requests later than {DRAIN_S} s:'
        f' {"BROKEN" if late_count else "held"}'
    )
    return 1 if late_count else 0


if __name__ == '__main__':
    main.run(_run)
