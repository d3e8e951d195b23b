"""Load tool: sends requests of callers and reports what they saw."""

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
    """Send an open-loop load of Poisson arrivals.

    Args:
        caller: Sends the requests.
        plans: Kinds of requests with their weights.
        rate_per_s: Mean arrivals each second.
        seconds: Duration of the arrivals in s.
        seed: Seed of arrivals, kinds and clients.
        clients: Number of distinct client blocks.

    Returns:
        The completed report.
    """
    chooser = random.Random(seed)
    weights = [plan.weight for plan in plans]
    clock = clocks.Clock()
    start_ms = clock.now_ms
    due_ms = 0.0
    async with anyio.create_task_group() as tasks:
        while True:
            due_ms += chooser.expovariate(rate_per_s) * 1_000
            if due_ms > seconds * 1_000:
                break
            early_ms = start_ms + due_ms - clock.now_ms
            if early_ms > 0:
                await anyio.sleep(early_ms / 1_000)
            plan = chooser.choices(plans, weights)[0]
            number = chooser.randrange(clients)
            client = f'10.{number // 256}.{number % 256}.7'
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
    """Keep a fixed number of requests in progress.

    Args:
        caller: Sends the requests.
        plan: Kind of the requests.
        workers: Requests in progress at once.
        seconds: Duration in s.
        seed: Seed of the choice of clients.
        clients: Number of distinct client blocks.
        pause_ms: Pause of a worker after a refusal, in ms.

    Returns:
        The completed report.
    """
    clock = clocks.Clock()
    end_ms = clock.now_ms + seconds * 1_000

    async def work(number: int) -> None:
        chooser = random.Random(seed * 10_000 + number)
        while clock.now_ms < end_ms:
            client_number = chooser.randrange(clients)
            client = f'10.{client_number // 256}.{client_number % 256}.7'
            if await caller.send(plan, client) != 'OK':
                await anyio.sleep(pause_ms / 1_000)

    async with anyio.create_task_group() as tasks:
        for number in range(workers):
            tasks.start_soon(work, number)
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
        addresses: Callers' addresses of entry hosts, separated by commas.
        plans: JSON list of plans.
        rate: Mean arrivals each second.
        seconds: Duration in s.
        seed: Seed of all random choices.
    """
    if not isinstance(addresses, str):
        addresses = ','.join(addresses)
    if not isinstance(plans, str):
        plans = msgspec.json.encode(plans).decode()
    chosen = msgspec.json.decode(plans, type=list[callers.Plan])
    caller = callers.Caller(addresses.split(','), seed)

    async def main() -> callers.Report:
        return await run_load(caller, chosen, rate, seconds, seed)

    report = anyio.run(main, backend_options={'use_uvloop': True})
    sys.stdout.write(msgspec.json.encode(report).decode() + '\n')


if __name__ == '__main__':
    fire.Fire(run)
