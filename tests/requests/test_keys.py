"""Tests of idempotency keys."""

from __future__ import annotations

import asyncio
import typing

import httpcore
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from tests.requests import rig as rigs
from tests.targets import scripted
from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.requests import keys

CODE = codes.ResultCode
NOT_RUN = codes.Ran.NOT_RUN.value
UNKNOWN = codes.Ran.UNKNOWN.value
STORED = keys.StoredResponse(200, ((b'a', b'b'),), b'x' * 1_000)
HOSTS = ('h1', 'h2.with~dots')


def code_of(result: object) -> codes.ResultCode | None:
    """Code of a failure."""
    return result.code if isinstance(result, outcome.Failure) else None


def test_altered_keys_are_refused() -> None:
    """Guards against forged keys."""
    table = keys.KeyTable('h1', 7, clocks.ManualClock())
    (key,) = table.issue(1)
    other = keys.KeyTable('h1', 7, clocks.ManualClock()).issue(1)[0]
    host, incarnation, issued, serial, mac = key.split('.')
    altered = [
        '',
        'x' * 600,
        key[:-1],
        other,
        f'{host}.{incarnation}.{issued}.9.{mac}',
        f'{host}.{incarnation}.{issued}ff.{serial}.{mac}',
        f'{host}.{incarnation}.-1.{serial}.{mac}',
        key.replace('h1', '\u00e9'),
    ]
    for text in altered:
        assert code_of(table.begin(text)) is CODE.KEY_MALFORMED
    assert isinstance(table.begin(key), keys.Started)


def test_memory_is_bounded() -> None:
    """Guards against unbounded memory and an eviction that loses a run."""
    clock = clocks.ManualClock()
    table = keys.KeyTable('h1', 7, clock, 3, 2 * STORED.size_bytes)
    issued = table.issue(4)
    for key in issued[:3]:
        assert isinstance(table.begin(key), keys.Started)
        assert table.mark_sent(key)
        table.finish(key, STORED)
    assert table.stored_bytes == 2 * STORED.size_bytes
    assert code_of(table.begin(issued[0])) is CODE.ALREADY_RAN
    assert table.begin(issued[1]) == keys.Replay(STORED)
    assert code_of(table.begin(issued[1], b'x')) is CODE.BAD_REQUEST
    refused = table.begin(issued[3])
    assert code_of(refused) is CODE.NO_CAPACITY
    clock.advance(keys.KEY_LIFETIME_MS)
    assert code_of(table.begin(issued[0])) is CODE.KEY_EXPIRED
    assert isinstance(table.begin(table.issue(1)[0]), keys.Started)
    assert (len(table), table.stored_bytes) == (1, 0)


class KeyMachine(stateful.RuleBasedStateMachine):
    """Retry with the same key while hosts crash and restart.

    Guards against a key whose request reaches a target twice.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = clocks.ManualClock()
        self.incarnation = 0
        self.tables: dict[str, keys.KeyTable] = {}
        self.issued: list[str] = []
        self.in_progress: dict[str, keys.KeyTable] = {}
        self.runs: dict[str, int] = {}
        self.reported_not_run: set[str] = set()
        for host in HOSTS:
            self.restart(host)

    @stateful.rule(host=strategies.sampled_from(HOSTS))
    def restart(self, host: str) -> None:
        """Restart a host; it loses its keys and requests in progress."""
        self.incarnation += 1
        old = self.tables.get(host)
        self.tables[host] = keys.KeyTable(
            host, self.incarnation, self.clock, 4, 3 * STORED.size_bytes
        )
        for key, table in list(self.in_progress.items()):
            if table is old:
                del self.in_progress[key]

    @stateful.rule(host=strategies.sampled_from(HOSTS))
    def look_up(self, host: str) -> None:
        """Issue a key."""
        self.issued += self.tables[host].issue(1)

    @stateful.precondition(lambda self: self.issued)
    @stateful.rule(data=strategies.data())
    def attempt(self, data: typing.Any) -> None:
        """Start an attempt at the host that issued the key."""
        key = data.draw(strategies.sampled_from(self.issued))
        key_parts = keys.parse_key(key)
        assert key_parts is not None
        table = self.tables[key_parts.host]
        begin_result = table.begin(key)
        if isinstance(begin_result, keys.Started):
            assert key not in self.in_progress
            assert not self.runs.get(key)
            self.in_progress[key] = table
        elif isinstance(begin_result, keys.Replay):
            assert self.runs[key] == 1
        elif begin_result.ran is codes.Ran.NOT_RUN:
            assert not self.runs.get(key)
        elif begin_result.ran is codes.Ran.RAN:
            assert self.runs[key] == 1

    @stateful.precondition(lambda self: self.in_progress)
    @stateful.rule(
        data=strategies.data(),
        ending=strategies.sampled_from(['none', 'stored', 'not run', 'late']),
    )
    def end(self, data: typing.Any, ending: str) -> None:
        """Send the request unless that is not allowed; end the attempt."""
        key = data.draw(strategies.sampled_from(sorted(self.in_progress)))
        table = self.in_progress.pop(key)
        if ending == 'late':
            self.clock.advance(keys.KEY_LIFETIME_MS)
        if table.mark_sent(key):
            assert not table.mark_sent(key)
            table.violations -= 1
            if ending == 'not run':
                table.mark_not_run(key)
            else:
                self.runs[key] = self.runs.get(key, 0) + 1
        if ending == 'not run':
            table.remove(key)
        else:
            table.finish(key, STORED if ending == 'stored' else None)

    @stateful.rule(duration_ms=strategies.sampled_from([1, 200_000, 400_000]))
    def wait(self, duration_ms: int) -> None:
        """Advance the clock, so that keys may expire."""
        self.clock.advance(duration_ms)

    @stateful.invariant()
    def at_most_once(self) -> None:
        """No request reaches a target twice; the memory stays bounded."""
        assert all(count <= 1 for count in self.runs.values())
        for table in self.tables.values():
            assert len(table) <= 4
            assert table.stored_bytes <= 3 * STORED.size_bytes
            assert table.violations == 0


TestKeyMachine = KeyMachine.TestCase
TestKeyMachine.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)

# Response of the target to the first request; result of the first attempt and
# of the second one with the same key; requests that the target receives.
FIRST_ATTEMPTS = {
    'served': (scripted.respond(b'one'), b'one', b'one', 1),
    'lost': (scripted.drop, ('TARGET_LOST', UNKNOWN), 'same', 1),
    'short': (
        scripted.respond(b'o', declared=3),
        'cut off',
        ('RESPONSE_INCOMPLETE', 'ran'),
        1,
    ),
    'hang': (
        scripted.hang,
        ('DEADLINE_EXCEEDED_RUNNING', UNKNOWN),
        'same',
        1,
    ),
    'long': (
        scripted.respond(b'x' * 70_000),
        b'x' * 70_000,
        ('ALREADY_RAN', 'ran'),
        1,
    ),
    'shed': (scripted.SHED, ('TARGET_SHED', NOT_RUN), b'two', 0),
}


@pytest.mark.parametrize(
    'entry,owner', [('h1', 'h1'), ('h2', 'h1'), ('h2', 'h3'), ('h1', 'h3')]
)
@pytest.mark.parametrize('case', FIRST_ATTEMPTS)
@scripted.run_on_uvloop
async def test_second_attempt_never_runs_again(
    entry: str, owner: str, case: str
) -> None:
    """Guards against a non-idempotent request that runs twice because the
    result of its first attempt was lost. Host h1 issues the key; entry host,
    issuer and owner of the target are the same or different hosts."""
    script, first, second, received = FIRST_ATTEMPTS[case]
    async with rigs.serving(('h1', owner), script) as (rig, target):
        # The issuer chooses the route, not the entry host.
        rig.hosts['h2'].route_hosts = ['h2']
        key = await rig.issue('h1')
        headers = {**rigs.keyed(key), 'Wigeonhatch-Deadline-Ms': '700'}
        results: list[object] = []
        for _ in range(2):
            try:
                answer = await rig.call(entry, 'PUT', headers=headers)
            except httpcore.RemoteProtocolError:
                results.append('cut off')
                continue
            is_refusal = 'wigeonhatch-code' in answer.headers
            results.append(answer.result if is_refusal else answer.content)
            if case == 'shed':
                # A remote owner is tried once, local targets three times.
                received = 4 if owner == 'h1' else 2
                target.scripts = [scripted.respond(b'two')]
        expected = [first, first if second == 'same' else second]
        assert results == expected
        assert len(target.requests) == received
        assert rig.hosts['h1'].keys.violations == 0


@scripted.run_on_uvloop
async def test_attempt_during_an_attempt_is_refused() -> None:
    """Guards against concurrent attempts with one key, and against a result
    that is lost when its caller disconnects."""
    slow = scripted.respond(b'one', delay_s=0.3)
    async with rigs.serving(rigs.LOCAL, slow) as (rig, target):
        headers: dict[str, str] = {}
        for entry in ('h1', 'h2'):
            target.requests.clear()
            headers = rigs.keyed(await rig.issue('h1'))
            call = asyncio.ensure_future(
                rig.call(entry, 'PUT', headers=headers)
            )
            await scripted.until(lambda: target.requests)
            answer = await rig.call('h2', 'PUT', headers=headers)
            assert answer.result == ('IN_PROGRESS', UNKNOWN)
            call.cancel()
            await scripted.until(lambda: not rig.hosts['h1'].slots.grants)
            answer = await rig.call('h2', 'PUT', headers=headers)
            assert answer.content == b'one'
            assert answer.headers['wigeonhatch-replayed'] == b'1'
            assert len(target.requests) == 1
        other = await rig.call('h1', 'PUT', headers=headers, path='/svc/y')
        assert other.result == ('BAD_REQUEST', NOT_RUN)


@scripted.run_on_uvloop
async def test_result_survives_loss_of_the_entry_host() -> None:
    """Guards against a result that is lost with the forwarding host."""
    slow = scripted.respond(b'one', delay_s=0.3)
    async with rigs.serving(rigs.LOCAL, slow) as (rig, target):
        headers = rigs.keyed(await rig.issue('h1'))
        call = asyncio.ensure_future(rig.call('h2', 'PUT', headers=headers))
        await scripted.until(lambda: target.requests)
        rig.hosts['h2']._channels.pop('h1').close()
        assert (await call).result == ('PEER_LOST', UNKNOWN)
        await scripted.until(lambda: not rig.hosts['h1'].slots.grants)
        answer = await rig.call('h3', 'PUT', headers=headers)
        assert answer.content == b'one'
        assert len(target.requests) == 1


@scripted.run_on_uvloop
async def test_lost_issuer_is_unknown() -> None:
    """Guards against "not run" when the issuer of the key has restarted or
    cannot be reached, since an earlier attempt may have run."""
    lost = ('KEY_HOST_UNREACHABLE', UNKNOWN)
    async with rigs.serving(rigs.LOCAL, scripted.respond()) as (rig, target):
        headers = rigs.keyed(await rig.issue('h1'))
        assert (await rig.call('h2', 'PUT', headers=headers)).status == 200
        rig.hosts['h1'].build(incarnation=2)
        for entry in ('h1', 'h2'):
            answer = await rig.call(entry, 'PUT', headers=headers)
            assert answer.result == lost
        rig.hosts['h2'].links.has_tokens = False
        answer = await rig.call('h2', 'PUT', headers=headers)
        assert answer.result == ('LINK_FULL', UNKNOWN)
        rig.hosts['h2'].links.has_tokens = True
        rig.hosts['h2']._channels.pop('h1').close()
        rig.peer_ports['h1'] = 1
        answer = await rig.call('h2', 'PUT', headers=headers)
        assert answer.result == lost
        del rig.peer_ports['h1']
        answer = await rig.call('h2', 'PUT', headers=headers)
        assert answer.result == lost
        assert len(target.requests) == 1
