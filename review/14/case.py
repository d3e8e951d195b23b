"""The next request of a connection whose last upload was answered early.

A client uploads to a route that has just been removed and gets 404 before it
has sent all of the body. It sends the rest, which keeps the connection usable,
and goes on with its next request, whose head comes in two packets. With
`TROUBLE=0` that head comes in one.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-3'))

import stand  # noqa: E402

ZONES = {'north-a': 'north', 'north-b': 'north'}
CLIENTS = 20
REQUESTS = 6
BODY = bytes(60_000)
FIRST_BYTES = 8_000
HEAD_BYTES = 40
"""Bytes of the head in the packet that also has the end of the body."""
DELAY_S = 0.05
NOT_COUNTED = (408, 421, 429)
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'


def make_head(request_id, path, length):
    return (
        f'POST {path} HTTP/1.1\r\nHost: jepu9.example\r\n'
        f'Request-Id: {request_id}\r\nDeadline-Ms: 4000\r\n'
        f'Content-Length: {length}\r\n\r\n'
    ).encode()


async def run_client(record, address, name, statuses):
    """Alternate between an upload to the removed route and a confirmation."""
    connection = None
    for number in range(REQUESTS):
        if connection is None:
            connection = await asyncio.open_connection(*address)
        reader, writer = connection
        upload_id, next_id = f'{name}-up{number}', f'{name}-next{number}'
        head = make_head(upload_id, '/gone81/2f', len(BODY))
        writer.write(head + BODY[:FIRST_BYTES])
        start, fields, _ = await stand.read_message(reader)
        record.line(f'{upload_id} answered {start}')
        rest = BODY[FIRST_BYTES:]
        if fields.get('connection', '').lower() == 'close':
            writer.close()
            reader, writer = connection = await asyncio.open_connection(
                *address
            )
            rest = b''
        head = make_head(next_id, '/xapu221/2f', 7) + b'confirm'
        cut = HEAD_BYTES if HAS_TROUBLE else len(head)
        writer.write(rest + head[:cut])
        if head[cut:]:
            await asyncio.sleep(DELAY_S)
            writer.write(head[cut:])
        async with asyncio.timeout(5):
            start, fields, _ = await stand.read_message(reader)
        record.line(f'{next_id} answered {start}')
        statuses.append(int(start.split(' ')[1]))
        if fields.get('connection', '').lower() == 'close':
            writer.close()
            connection = None
    if connection is not None:
        connection[1].close()


async def main():
    deployment = stand.Deployment(FOLDER, ZONES, list(ZONES))
    record = deployment.record
    for number in range(4):
        zone = ('north-a', 'north-b')[number % 2]
        deployment.add_instance(f'i-{number}', 'ledger', zone)
    route = stand.make_route('ledger', '/xapu221/', 'non_idempotent')
    gone = stand.make_route('ledger', '/gone81/', 'upload')
    services = {'ledger': stand.make_service()}
    try:
        await deployment.start(
            stand.make_config(7, {'r': route, 'g': gone}, services)
        )
        deployment.store.put(
            'op', 'config', stand.make_config(9, {'r': route}, services)
        )
        await asyncio.sleep(3)
        statuses = []
        await asyncio.gather(
            *(
                run_client(
                    record,
                    deployment.edges[number % 2].address,
                    f'c{number:02d}',
                    statuses,
                )
                for number in range(CLIENTS)
            )
        )
        denied = sum(
            300 <= status < 500 and status not in NOT_COUNTED
            for status in statuses
        )
        asked = 2 * len(statuses)
        bound = 5 + asked / 500
        ran = sum(len(instance.received) for instance in deployment.instances)
        text = (
            f'{len(statuses)} proper requests of {asked}: {ran} run, '
            f'{denied} ended with a 3xx or 4xx of the daemon, the bound is {bound}'
        )
        record.line(text)
        print(text)
        return 1 if denied > bound else 0
    finally:
        deployment.stop()


if __name__ == '__main__':
    sys.exit(stand.run(main))
