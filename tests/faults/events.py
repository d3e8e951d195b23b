"""Faults and planned operations of the soak test, chosen by a seed."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib
import random
import signal

from tests import processes
from tests.faults import bounds
from tests.faults import callers
from tests.faults import fleet as fleets
from tests.faults import ledger as ledgers
from tests.faults import links
from tests.faults import statement_rule
from tests.faults import target as targets
from wigeonhatch.standins import row_store

Event = collections.abc.Callable[
    [fleets.Fleet, random.Random], collections.abc.Coroutine[None, None, None]
]


async def kill_host(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Kill a daemon, which is then restarted."""
    kill(fleet, rng.choice(fleet.hosts))


async def kill_most_hosts(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Kill two thirds of the daemons at once."""
    for host in rng.sample(fleet.hosts, max(1, len(fleet.hosts) * 2 // 3)):
        kill(fleet, host)


async def stop_host(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Stop a daemon gracefully and kill it after the grace period."""
    host = rng.choice(fleet.hosts)
    process = host.process
    if process is None or host.down_since_ms is not None:
        return
    now_ms = fleet.clock.now_ms
    host.down_since_ms = now_ms
    fleet.disturb((host.name,), now_ms, now_ms + bounds.STOP_GRACE_MS, True)
    fleet.send_signal(host, signal.SIGTERM)
    await asyncio.sleep(bounds.STOP_GRACE_MS / 1_000)
    if process.poll() is None:
        # A daemon that is suspended meanwhile cannot stop in time.
        disturbances = fleet.ledger.disturbances
        if disturbances.is_undisturbed(
            (ledgers.ANY_FAULT,), now_ms, fleet.clock.now_ms
        ):
            fleet.ledger.fail('grace', f'{host.name} did not exit')
        process.kill()


async def stop_hosts_in_turn(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Stop several daemons in turn, faster than they exit."""
    async with asyncio.TaskGroup() as tasks:
        for _ in range(max(1, len(fleet.hosts) // 2)):
            tasks.create_task(stop_host(fleet, rng))
            await asyncio.sleep(rng.uniform(0.5, 2.0))


async def pause_host(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Suspend a daemon for a while."""
    host = rng.choice(fleet.hosts)
    duration_s = rng.uniform(0.3, 4.0)
    _disturb_host(fleet, host, duration_s, statement_rule.process_of)
    fleet.send_signal(host, signal.SIGSTOP)
    await asyncio.sleep(duration_s)
    fleet.send_signal(host, signal.SIGCONT)


async def reload_host(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Change the settings of a daemon and send SIGHUP."""
    host = rng.choice(fleet.hosts)
    fleet.write_settings(host, rng.choice(('INFO', 'DEBUG')))
    # Before the interpreter runs, no program can handle a signal.
    if host.process and processes.catches(host.process.pid, signal.SIGHUP):
        fleet.send_signal(host, signal.SIGHUP)


async def disrupt_store_link(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Refuse or stall the connections of a host to the store."""
    host = rng.choice(fleet.hosts)
    duration_s = rng.uniform(0.5, 6.0)
    _disturb_host(fleet, host, duration_s)
    fault = rng.choice(
        ('refuses_connections', 'is_request_stalled', 'is_response_stalled')
    )
    setattr(host.store_proxy, fault, True)
    if fault == 'refuses_connections':
        host.store_proxy.reset_connections()
    await asyncio.sleep(duration_s)
    setattr(host.store_proxy, fault, False)


async def stall_store_connections(
    fleet: fleets.Fleet, rng: random.Random
) -> None:
    """Stall open connections to the store while new ones work."""
    for host in rng.sample(fleet.hosts, rng.randint(1, len(fleet.hosts))):
        _disturb_host(fleet, host, 0)
        host.store_proxy.stall_connections()


async def disrupt_store(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Make the store unavailable, slow or silent, or lose its responses."""
    duration_s = rng.uniform(0.5, 6.0)
    now_ms = fleet.clock.now_ms
    fleet.disturb((ledgers.STORE,), now_ms, now_ms + int(duration_s * 1_000))
    store = fleet.application.store
    fault = rng.choice(('down', 'silent', 'slow', 'lost'))
    store.faults = row_store.Faults(
        is_down=fault == 'down',
        is_silent=fault == 'silent',
        delay_ms=400 if fault == 'slow' else 0,
    )
    for host in fleet.hosts:
        host.store_proxy.is_response_stalled = fault == 'lost'
    await asyncio.sleep(duration_s)
    store.faults = row_store.Faults()
    for host in fleet.hosts:
        if fault == 'lost':
            host.store_proxy.reset_connections()
        host.store_proxy.is_response_stalled = False


async def discard_store_history(
    fleet: fleets.Fleet, rng: random.Random
) -> None:
    """Discard the change log of the store."""
    now_ms = fleet.clock.now_ms
    fleet.disturb((ledgers.STORE,), now_ms, now_ms)
    fleet.application.store.discard_history()


async def crash_target(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Crash a target; its row expires and then a new target starts."""
    target = choose_target(fleet, rng)
    if target is None:
        return
    now_ms = fleet.clock.now_ms
    expiry_ms = 3 * fleets.HEARTBEAT_MS
    fleet.disturb((target.name,), now_ms, now_ms + expiry_ms)
    fleet.targets.remove(target)
    target.close()
    target.proxy.reset_connections()
    await asyncio.sleep(expiry_ms / 1_000)
    fleet.unregister(target)
    await fleet.add_target(target.service, target.domain, target.proxy)


async def degrade_targets(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Inject errors, corrupt responses, slowness or wrong health checks."""
    duration_s = rng.uniform(1.0, 6.0)
    affected = rng.sample(fleet.targets, max(1, len(fleet.targets) // 4))
    faults = rng.choice(
        (
            targets.Faults(error_fraction=0.5),
            targets.Faults(reset_fraction=0.4),
            targets.Faults(corruption='truncated'),
            targets.Faults(corruption='duplicate'),
            targets.Faults(corruption='late'),
            targets.Faults(corruption='malformed'),
            targets.Faults(slowdown=12.0),
            targets.Faults(is_health_inverted=True),
        )
    )
    now_ms = fleet.clock.now_ms
    names = tuple(target.name for target in affected)
    fleet.disturb(names, now_ms, now_ms + int(duration_s * 1_000))
    for target in affected:
        target.faults = faults
    await asyncio.sleep(duration_s)
    for target in affected:
        target.faults = targets.Faults()


async def disrupt_target_link(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Delay, reset or stall the connections to a target."""
    target = choose_target(fleet, rng)
    if target is None:
        return
    duration_s = rng.uniform(0.3, 5.0)
    proxy = target.proxy
    now_ms = fleet.clock.now_ms
    fleet.disturb((target.name,), now_ms, now_ms + int(duration_s * 1_000))
    fault = rng.choice(('delay', 'reset', 'stall', 'request', 'response'))
    if fault == 'delay':
        proxy.delay_ms = rng.choice((50, 300))
    elif fault == 'reset':
        proxy.reset_connections()
    elif fault == 'stall':
        proxy.stall_connections()
    else:
        proxy.is_request_stalled = fault == 'request'
        proxy.is_response_stalled = fault == 'response'
    await asyncio.sleep(duration_s)
    proxy.delay_ms = 0
    proxy.is_request_stalled = proxy.is_response_stalled = False


async def drain_target(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Drain a target and reuse its address for another one later."""
    target = choose_target(fleet, rng)
    if target is None:
        return
    fleet.targets.remove(target)
    target.is_draining = True
    if rng.random() < 0.7:
        fleet.register(target)
        fleet.ledger.leaving_ms_by_target[target.name] = fleet.clock.now_ms
    else:
        fleet.unregister(target)
    await leave(fleet, target, rng)


async def leave(
    fleet: fleets.Fleet, target: targets.Target, rng: random.Random
) -> None:
    """End a leaving target and reuse its address for another one."""
    await asyncio.sleep((bounds.DRAIN_MS + rng.randint(500, 3_000)) / 1_000)
    fleet.unregister(target)
    target.close()
    target.proxy.upstream = None
    await asyncio.sleep(bounds.ADDRESS_REUSE_MS / 1_000)
    service = rng.choice(fleets.SERVICES)
    others = [item for item in fleet.targets if item.service == target.service]
    if len(others) < 4:
        service = target.service
    await fleet.add_target(service, target.domain, target.proxy)


async def change_configuration(
    fleet: fleets.Fleet, rng: random.Random
) -> None:
    """Change the routes, sometimes several times in quick succession."""
    for _ in range(rng.choice((1, 1, 2, 5))):
        fleet.write_configuration()
        await asyncio.sleep(rng.uniform(0.1, 0.8))


async def evacuate(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Evacuate one failure domain and end the evacuation later."""
    domain = rng.choice('abcd')
    if fleet.evacuated_domains:
        return
    fleet.evacuate(domain)
    await asyncio.sleep(rng.uniform(5.0, 8.0))
    fleet.end_evacuation(domain)


async def limit_rates(fleet: fleets.Fleet, rng: random.Random) -> None:
    """Make one target after the other state a rate limit until cancelled."""
    while True:
        await asyncio.sleep(rng.uniform(0.0, 3.0))
        target = choose_target(fleet, rng)
        if target is not None:
            target.limit_rate(rng.choice((0.5, 2.0, 8.0)))
            await asyncio.sleep(rng.uniform(5.0, 10.0))
            target.lift_rate_limit()


async def repeat_deadly(
    fleet: fleets.Fleet, rng: random.Random, seconds: float
) -> None:
    """Send a request that crashes targets again and again for some time."""
    await asyncio.sleep(rng.uniform(0.0, seconds / 2))
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await callers.send_deadly(
                fleet, rng.choice(('read', 'write')), rng
            )


async def lose_target_links(
    fleet: fleets.Fleet, rng: random.Random, seconds: float
) -> None:
    """Cut the links of some hosts to all targets, again and again."""
    end_ms = fleet.clock.now_ms + seconds * 1_000
    while fleet.clock.now_ms < end_ms:
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        cut = rng.sample(fleet.hosts, rng.randint(1, len(fleet.hosts) // 2))
        duration_s = rng.uniform(0.5, 6.0)
        for host in cut:
            _disturb_host(fleet, host, duration_s, statement_rule.links_of)
            host.set_links(rng.choice(links.MODES))
        await asyncio.sleep(duration_s)
        for host in cut:
            host.set_links('')


async def cut_peers(
    fleet: fleets.Fleet, rng: random.Random, seconds: float
) -> None:
    """Cut the links between two groups of hosts, one way or both ways.

    Their links to the store stay, so that they have to keep the time bounds.
    """
    end_ms = fleet.clock.now_ms + seconds * 1_000
    while fleet.clock.now_ms < end_ms:
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        count = rng.randint(1, len(fleet.hosts) - 1)
        group = rng.sample(fleet.hosts, count)
        others = [host for host in fleet.hosts if host not in group]
        duration_s = rng.uniform(0.5, 6.0)
        _disturb_host(fleet, None, duration_s)
        for host in group:
            host.cut_peers([other.ip for other in others])
        if rng.random() < 0.5:
            for host in others:
                host.cut_peers([other.ip for other in group])
        await asyncio.sleep(duration_s)
        for host in fleet.hosts:
            host.cut_peers([])


async def restore_store(
    fleet: fleets.Fleet, rng: random.Random, seconds: float
) -> None:
    """Restore the store from older copies for some time."""
    store = fleet.application.store
    end_ms = fleet.clock.now_ms + seconds * 1_000
    while fleet.clock.now_ms < end_ms:
        await asyncio.sleep(rng.uniform(0.0, 4.0))
        copy = store.copy()
        await asyncio.sleep(rng.uniform(1.0, 6.0))
        store.restore(copy)
        now_ms = fleet.clock.now_ms
        fleet.disturb((ledgers.STORE,), now_ms, now_ms)
        await asyncio.sleep(rng.uniform(0.0, 1.5))
        await fleet.write_again()


PLANNED: tuple[Event, ...] = (
    stop_host,
    stop_hosts_in_turn,
    reload_host,
    drain_target,
    change_configuration,
    evacuate,
)
UNPLANNED: tuple[Event, ...] = (
    kill_host,
    kill_most_hosts,
    pause_host,
    disrupt_store_link,
    stall_store_connections,
    disrupt_store,
    discard_store_history,
    crash_target,
    degrade_targets,
    disrupt_target_link,
)


def choose_target(
    fleet: fleets.Fleet, rng: random.Random
) -> targets.Target | None:
    """Choose a target; None if its service has too few others."""
    target = rng.choice(fleet.targets)
    others = [item for item in fleet.targets if item.service == target.service]
    return target if len(others) > 2 else None


def _disturb_host(
    fleet: fleets.Fleet,
    host: fleets.Host | None,
    duration_s: float,
    name_part: collections.abc.Callable[[str], str] = str,
) -> None:
    """Record a disturbance of a host, and of the named part of it."""
    now_ms = fleet.clock.now_ms
    names = () if host is None else (host.name, name_part(host.name))
    fleet.disturb(names, now_ms, now_ms + int(duration_s * 1_000))


def kill(fleet: fleets.Fleet, host: fleets.Host) -> None:
    """Kill the daemon of a host, which is then restarted."""
    if host.process is None:
        return
    if host.down_since_ms is None:
        host.down_since_ms = fleet.clock.now_ms
    _disturb_host(fleet, host, 0)
    fleet.send_signal(host, signal.SIGKILL)
