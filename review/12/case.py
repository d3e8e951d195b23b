"""An instance restarts under its id while the store is unavailable."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-3'))

import stand  # noqa: E402

ZONES = {
    'north-a': 'north',
    'central-a': 'central',
    'south-a': 'south',
    'north-b': 'north',
    'central-b': 'central',
    'south-b': 'south',
}
EDGE_ZONES = ['north-a', *ZONES]
WARMUP_PER_S = 5.0
BOUND = WARMUP_PER_S * 1.5 + 5
CRASH_PER_S = 1.5 * BOUND
"""A cold instance crashes at a rate well above its own."""
OUTAGE_S = 4.5
DOWN_S = 1.6
CLIENTS = 49
PAUSE_S = 0.12
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'


async def press(deployment, client, number, is_over):
    """Send requests to a daemon, each after a short pause."""
    edge = deployment.edges[number % len(deployment.edges)]
    await asyncio.sleep(PAUSE_S * number / CLIENTS)
    while not is_over():
        await client.get(edge.address, '/lepu270/2f', body=b'confirm')
        await asyncio.sleep(PAUSE_S)


async def main():
    deployment = stand.Deployment(FOLDER, ZONES, EDGE_ZONES)
    record = deployment.record
    for number, zone in enumerate(EDGE_ZONES):
        deployment.add_instance(f'i-{number}', 'board', zone)
    restarted = deployment.instances[0]
    restarted.crash_per_s = CRASH_PER_S
    try:
        await deployment.start(
            stand.make_config(
                7,
                {
                    'r': stand.make_route(
                        'board', '/lepu270/', 'non_idempotent'
                    )
                },
                {'board': stand.make_service(WARMUP_PER_S)},
            )
        )
        record.line('daemons ready')
        end_s = time.monotonic() + 16
        clients = [
            stand.Client(record, f'c{number:02d}') for number in range(CLIENTS)
        ]
        tasks = [
            asyncio.create_task(
                press(
                    deployment,
                    client,
                    number,
                    lambda: time.monotonic() > end_s,
                )
            )
            for number, client in enumerate(clients)
        ]
        await asyncio.sleep(5)
        if HAS_TROUBLE:
            deployment.store.set_down(True)
            record.line('store unavailable')
        await asyncio.sleep(0.5)
        restarted.crash()
        await asyncio.sleep(DOWN_S)
        await restarted.start(is_cold=True)
        restart_s = time.monotonic()
        await asyncio.sleep(OUTAGE_S - 0.5 - DOWN_S)
        deployment.store.set_down(False)
        record.line('store available')
        await asyncio.gather(*tasks)
        sent_s_by_id = {
            request_id: sent_s
            for client in clients
            for sent_s, _, request_id, _ in client.results
        }
        cold = [
            (sent_s_by_id[request_id], at_s)
            for at_s, request_id, _, is_cold in restarted.arrivals
            if is_cold and at_s >= restart_s
        ]
        most = stand.most_in_one_second(cold)
        served = sum(
            status == 200
            for client in clients
            for _, _, _, status in client.results
        )
        asked = sum(len(client.results) for client in clients)
        text = (
            f'served {served} of {asked}; {len(cold)} requests reached the '
            f'cold instance, {most} in one second, the bound is {BOUND}; '
            f'its crash cut {len(restarted.lost)} that ran'
        )
        record.line(text)
        print(text)
        if served < asked / 2:
            return 2
        return 1 if most > BOUND else 0
    finally:
        deployment.stop()


if __name__ == '__main__':
    sys.exit(stand.run(main))
