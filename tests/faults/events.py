"""Faults and planned work that the soak causes, drawn from a seed."""

from __future__ import annotations

import asyncio
import collections.abc
import random
import signal

from tests.faults import fleet as fleets
from tests.faults import ledger as ledgers
from tests.faults import target as targets
from tests.faults import terms
from wigeonhatch.standins import row_store

_HANDLER_MS = 3_000
"""Time from a start until a signal of reload is sure to be handled."""

Event = collections.abc.Callable[
    [fleets.Fleet, random.Random], collections.abc.Coroutine[None, None, None]
]


async def kill_host(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Kill a daemon; it is started again."""
    kill(fleet, rng.choice(fleet.hosts))


async def kill_many(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Kill most daemons at the same moment."""
    for host in rng.sample(fleet.hosts, max(1, len(fleet.hosts) * 2 // 3)):
        kill(fleet, host)


async def stop_host(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Stop a daemon as planned, and kill it after the grace."""
    host = rng.choice(fleet.hosts)
    process = host.process
    if process is None or host.killed_ms is not None:
        return
    now_ms = fleet.clock.now_ms
    host.killed_ms = now_ms
    fleet.disturb((host.name,), now_ms, now_ms + terms.GRACE_MS, True)
    fleet.send_signal(host, signal.SIGTERM)
    await asyncio.sleep(terms.GRACE_MS / 1_000)
    if process.poll() is None:
        # A daemon that is suspended meanwhile cannot end in time.
        calm = fleet.ledger.disturbances
        if calm.is_calm((ledgers.ANYTHING,), now_ms, fleet.clock.now_ms):
            fleet.ledger.fail('grace', f'{host.name} still runs')
        process.kill()


async def stop_in_turn(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Stop several daemons one after the other, faster than they end."""
    async with asyncio.TaskGroup() as tasks:
        for _ in range(max(1, len(fleet.hosts) // 2)):
            tasks.create_task(stop_host(fleet, rng))
            await asyncio.sleep(rng.uniform(0.5, 2.0))


async def pause_host(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Suspend a daemon for a while."""
    host = rng.choice(fleet.hosts)
    duration_s = rng.uniform(0.3, 4.0)
    _disturb_host(fleet, host, duration_s)
    fleet.send_signal(host, signal.SIGSTOP)
    await asyncio.sleep(duration_s)
    fleet.send_signal(host, signal.SIGCONT)


async def reload_host(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Change the settings of a daemon and tell it."""
    host = rng.choice(fleet.hosts)
    fleet.write_settings(host, rng.choice(('INFO', 'DEBUG')))
    if fleet.clock.now_ms - host.started_ms > _HANDLER_MS:
        fleet.send_signal(host, signal.SIGHUP)


async def cut_host(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Cut a host off from the store, one way or in some other manner."""
    host = rng.choice(fleet.hosts)
    duration_s = rng.uniform(0.5, 6.0)
    _disturb_host(fleet, host, duration_s)
    how = rng.choice(('refuses', 'is_request_silent', 'is_response_silent'))
    setattr(host.store, how, True)
    if how == 'refuses':
        host.store.reset_open()
    await asyncio.sleep(duration_s)
    setattr(host.store, how, False)


async def silence_store_connections(
    fleet: fleets.Fleet, rng: random.Random
) -> None:
    """Let open connections to the store go silent while new ones work."""
    for host in rng.sample(fleet.hosts, rng.randint(1, len(fleet.hosts))):
        _disturb_host(fleet, host, 0)
        host.store.silence_open()


async def break_store(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Take the store down, make it slow or silent, or lose its answers."""
    duration_s = rng.uniform(0.5, 6.0)
    now_ms = fleet.clock.now_ms
    fleet.disturb((ledgers.STORE,), now_ms, now_ms + int(duration_s * 1_000))
    store = fleet.application.store
    how = rng.choice(('down', 'silent', 'slow', 'lost'))
    store.faults = row_store.Faults(
        is_down=how == 'down',
        is_silent=how == 'silent',
        delay_ms=400 if how == 'slow' else 0,
    )
    for host in fleet.hosts:
        host.store.is_response_silent = how == 'lost'
    await asyncio.sleep(duration_s)
    store.faults = row_store.Faults()
    for host in fleet.hosts:
        if how == 'lost':
            host.store.reset_open()
        host.store.is_response_silent = False


async def forget_history(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Let the store forget the changes that it has made."""
    now_ms = fleet.clock.now_ms
    fleet.disturb((ledgers.STORE,), now_ms, now_ms)
    fleet.application.store.discard_history()


async def crash_target(fleet: fleets.Fleet, rng: random.Random) -> None:
    """End a target without notice; its entry lapses, and a new one comes."""
    target = _choose_target(fleet, rng)
    if target is None:
        return
    now_ms = fleet.clock.now_ms
    lapse_ms = 3 * fleets.HEARTBEAT_MS
    fleet.disturb((target.name,), now_ms, now_ms + lapse_ms)
    fleet.targets.remove(target)
    target.close()
    target.proxy.reset_open()
    await asyncio.sleep(lapse_ms / 1_000)
    fleet.unregister(target)
    await fleet.add_target(target.service, target.domain, target.proxy)


async def spoil_target(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Let some targets fail, lie, spoil responses or turn slow."""
    duration_s = rng.uniform(1.0, 6.0)
    spoilt = rng.sample(fleet.targets, max(1, len(fleet.targets) // 4))
    faults = rng.choice(
        (
            targets.Faults(error_share=0.5),
            targets.Faults(drop_share=0.4),
            targets.Faults(garble='short'),
            targets.Faults(garble='extra'),
            targets.Faults(garble='late'),
            targets.Faults(garble='noise'),
            targets.Faults(slow_x=12.0),
            targets.Faults(is_health_wrong=True),
        )
    )
    now_ms = fleet.clock.now_ms
    names = tuple(target.name for target in spoilt)
    fleet.disturb(names, now_ms, now_ms + int(duration_s * 1_000))
    for target in spoilt:
        target.faults = faults
    await asyncio.sleep(duration_s)
    for target in spoilt:
        target.faults = targets.Faults()


async def cut_target(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Delay, reset or silence the way to a target."""
    target = _choose_target(fleet, rng)
    if target is None:
        return
    duration_s = rng.uniform(0.3, 5.0)
    proxy = target.proxy
    now_ms = fleet.clock.now_ms
    fleet.disturb((target.name,), now_ms, now_ms + int(duration_s * 1_000))
    how = rng.choice(('delay', 'reset', 'silence', 'request', 'response'))
    if how == 'delay':
        proxy.delay_ms = rng.choice((50, 300))
    elif how == 'reset':
        proxy.reset_open()
    elif how == 'silence':
        proxy.silence_open()
    else:
        proxy.is_request_silent = how == 'request'
        proxy.is_response_silent = how == 'response'
    await asyncio.sleep(duration_s)
    proxy.delay_ms = 0
    proxy.is_request_silent = proxy.is_response_silent = False


async def drain_target(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Take a target out as planned; its address serves another one later."""
    target = _choose_target(fleet, rng)
    if target is None:
        return
    fleet.targets.remove(target)
    target.is_draining = True
    if rng.random() < 0.7:
        fleet.register(target)
        fleet.ledger.left_by_target[target.name] = fleet.clock.now_ms
    else:
        fleet.unregister(target)
    await asyncio.sleep((terms.DRAIN_MS + rng.randint(500, 3_000)) / 1_000)
    fleet.unregister(target)
    target.close()
    target.proxy.upstream = None
    await asyncio.sleep(terms.ADDRESS_REUSE_MS / 1_000)
    service = rng.choice(fleets.SERVICES)
    others = [item for item in fleet.targets if item.service == target.service]
    if len(others) < 4:
        service = target.service
    await fleet.add_target(service, target.domain, target.proxy)


async def change_configuration(
    fleet: fleets.Fleet, rng: random.Random
) -> None:
    """Change routes, at times in quick succession."""
    for _ in range(rng.choice((1, 1, 2, 5))):
        fleet.configure()
        await asyncio.sleep(rng.uniform(0.1, 0.8))


async def evacuate(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Evacuate one failure domain and take it back."""
    domain = rng.choice('abcd')
    if fleet.evacuated:
        return
    fleet.evacuate(domain)
    await asyncio.sleep(rng.uniform(5.0, 8.0))
    fleet.take_back(domain)


PLANNED: tuple[Event, ...] = (
    stop_host,
    stop_in_turn,
    reload_host,
    drain_target,
    change_configuration,
    evacuate,
)
UNPLANNED: tuple[Event, ...] = (
    kill_host,
    kill_many,
    pause_host,
    cut_host,
    silence_store_connections,
    break_store,
    forget_history,
    crash_target,
    spoil_target,
    cut_target,
)


def _choose_target(
    fleet: fleets.Fleet, rng: random.Random
) -> targets.Target | None:
    """Choose a target whose service keeps enough others."""
    target = rng.choice(fleet.targets)
    others = [item for item in fleet.targets if item.service == target.service]
    return target if len(others) > 2 else None


def _disturb_host(
    fleet: fleets.Fleet, host: fleets.Host, duration_s: float
) -> None:
    now_ms = fleet.clock.now_ms
    fleet.disturb((host.name,), now_ms, now_ms + int(duration_s * 1_000))


def kill(fleet: fleets.Fleet, host: fleets.Host) -> None:
    """Kill the daemon of a host, which is then started again."""
    if host.process is None:
        return
    if host.killed_ms is None:
        host.killed_ms = fleet.clock.now_ms
    _disturb_host(fleet, host, 0)
    fleet.send_signal(host, signal.SIGKILL)
