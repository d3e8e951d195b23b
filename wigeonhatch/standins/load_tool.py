"""Load generator: sends requests as a caller and reports the results."""

from __future__ import annotations

import random
import sys

import anyio
import fire  # type: ignore[import-untyped]
import msgspec

from wigeonhatch import clock as clocks
from wigeonhatch.standins import caller as callers


async def run_load(
    caller: callers.Caller,
    plans: list[callers.Plan],
    rate_per_s: float,
    seconds: float,
    seed: int = 1,
    clients: int = 200,
) -> callers.Report:
    """Send an open-loop load with Poisson arrivals.

    Args:
        caller: Sends the requests.
        plans: Request kinds with their weights.
        rate_per_s: Mean arrival rate per second.
        seconds: Duration of the arrivals, in s.
        seed: Seed of arrival times, request kinds and clients.
        clients: Number of distinct client blocks.

    Returns:
        The completed report.
    """
    rng = random.Random(seed)
    weights = [plan.weight for plan in plans]
    clock = clocks.Clock()
    start_ms = clock.now_ms
    arrival_ms = 0.0
    async with anyio.create_task_group() as tasks:
        while True:
            arrival_ms += rng.expovariate(rate_per_s) * 1_000
            if arrival_ms > seconds * 1_000:
                break
            remaining_ms = start_ms + arrival_ms - clock.now_ms
            if remaining_ms > 0:
                await anyio.sleep(remaining_ms / 1_000)
            plan = rng.choices(plans, weights)[0]
            client_index = rng.randrange(clients)
            client = f'10.{client_index // 256}.{client_index % 256}.7'
            tasks.start_soon(caller.send, plan, client)
    return caller.finish()


async def run_closed_loop(
    caller: callers.Caller,
    plan: callers.Plan,
    workers: int,
    seconds: float,
    seed: int = 1,
    clients: int = 200,
    pause_ms: float = 20.0,
) -> callers.Report:
    """Send a closed-loop load with a fixed number of workers.

    Args:
        caller: Sends the requests.
        plan: Kind of the requests.
        workers: Maximum number of requests in flight.
        seconds: Duration in s.
        seed: Seed of the random clients.
        clients: Number of distinct client blocks.
        pause_ms: Delay of a worker after a failed request, in ms.

    Returns:
        The completed report.
    """
    clock = clocks.Clock()
    stop_ms = clock.now_ms + seconds * 1_000

    async def run_worker(worker_index: int) -> None:
        rng = random.Random(seed * 10_000 + worker_index)
        while clock.now_ms < stop_ms:
            client_index = rng.randrange(clients)
            client = f'10.{client_index // 256}.{client_index % 256}.7'
            if await caller.send(plan, client) != 'OK':
                await anyio.sleep(pause_ms / 1_000)

    async with anyio.create_task_group() as tasks:
        for worker_index in range(workers):
            tasks.start_soon(run_worker, worker_index)
    return caller.finish()


def run(
    addresses: str,
    plans: str,
    rate: float = 100.0,
    seconds: float = 10.0,
    seed: int = 1,
) -> None:
    """Run a load and print its report as JSON.

    Args:
        addresses: Caller-facing addresses of entry hosts, comma-separated.
        plans: JSON array of request kinds.
        rate: Mean arrival rate per second.
        seconds: Duration in s.
        seed: Seed of the random load.
    """
    if not isinstance(addresses, str):
        addresses = ','.join(addresses)
    if not isinstance(plans, str):
        plans = msgspec.json.encode(plans).decode()
    decoded_plans = msgspec.json.decode(plans, type=list[callers.Plan])
    caller = callers.Caller(addresses.split(','), seed)

    async def main() -> callers.Report:
        return await run_load(caller, decoded_plans, rate, seconds, seed)

    report = anyio.run(main, backend_options={'use_uvloop': True})
    sys.stdout.write(msgspec.json.encode(report).decode() + '\n')


if __name__ == '__main__':
    fire.Fire(run)
