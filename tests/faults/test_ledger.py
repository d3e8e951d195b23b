"""Tests that the checks of the soak find what they are for."""

from __future__ import annotations

import pytest

from tests.faults import ledger as ledgers
from tests.faults import terms

NOW_MS = 100_000
CONTENT = ledgers.hash_content('POST', '/write/1', b'x')


def make(kind: str = 'write') -> tuple[ledgers.Ledger, ledgers.Attempt]:
    """Ledger with one request that was sent to h1."""
    ledger = ledgers.Ledger()
    attempt = ledgers.Attempt('r1', kind, 'h1', NOW_MS, CONTENT)
    ledger.on_sent(attempt)
    return ledger, attempt


def run_at(
    ledger: ledgers.Ledger, target: str = 't1', status: int = 200
) -> ledgers.Run:
    """Let a target run the request."""
    run = ledgers.Run(target, NOW_MS + 10, True, status)
    ledger.on_run('r1', CONTENT, run)
    return run


def answer(
    status: int, signature: str = '', body: bytes = b'', reason: str = ''
) -> ledgers.Answer:
    """End of the request."""
    return ledgers.Answer(NOW_MS + 50, status, signature, body, reason)


def make_served() -> ledgers.Ledger:
    """Ledger with one request that was answered as it should be."""
    ledger, attempt = make()
    run_at(ledger)
    ledger.on_answer(
        attempt,
        answer(
            200, ledgers.sign('r1', 't1', 200), ledgers.body_of('r1', 't1')
        ),
    )
    return ledger


def rules(ledger: ledgers.Ledger) -> list[str]:
    """Names of the rules that were broken."""
    return [violation.partition(':')[0] for violation in ledger.violations]


def test_whole_response_passes() -> None:
    """Guards against checks that fail what is right."""
    ledger = make_served()
    assert ledger.violations == []


@pytest.mark.parametrize(
    'given',
    [
        answer(200),
        answer(200, 'another', ledgers.body_of('r1', 't1')),
        answer(200, ledgers.sign('r1', 't1', 200), b'part'),
        answer(500, ledgers.sign('r1', 't1', 200)),
    ],
)
def test_spoilt_response_is_found(given: ledgers.Answer) -> None:
    """Guards against responses that are cut, mixed or made up."""
    ledger, attempt = make()
    run_at(ledger)
    ledger.on_answer(attempt, given)
    assert rules(ledger) == ['mixed']


def test_second_run_is_found() -> None:
    """Guards against a non-idempotent request that runs twice."""
    for kind, found in (('write', ['twice']), ('read', [])):
        ledger, _ = make(kind)
        run_at(ledger)
        run_at(ledger, 't2')
        assert rules(ledger) == found


@pytest.mark.parametrize('runs_later', [False, True])
def test_false_refusal_is_found(runs_later: bool) -> None:
    """Guards against a request that runs although it was refused."""
    ledger, attempt = make()
    if not runs_later:
        run_at(ledger)
    ledger.on_answer(attempt, answer(503))
    if runs_later:
        run_at(ledger)
    assert rules(ledger) == ['refused']


def test_altered_request_is_found() -> None:
    """Guards against requests that nobody sent."""
    ledger, _ = make()
    ledger.on_run('r1', 'other', ledgers.Run('t1', NOW_MS, True))
    ledger.on_arrival('r2', 't1', NOW_MS)
    assert rules(ledger) == ['unasked', 'unasked']


def test_late_request_at_leaving_target_is_found() -> None:
    """Guards against requests to targets that leave, by calm hosts alone."""
    for disturbed, found in (((), ['drain']), (('h1',), []), (('t1',), [])):
        ledger, _ = make()
        ledger.left_by_target['t1'] = NOW_MS - terms.DRAIN_MS - 1
        for name in disturbed:
            ledger.disturbances.add(name, NOW_MS - 10, NOW_MS)
        ledger.on_arrival('r1', 't1', NOW_MS)
        assert rules(ledger) == found


def test_cut_is_found() -> None:
    """Guards against requests that are cut while nothing is disturbed."""
    ledger, attempt = make()
    run_at(ledger, status=0)
    ledger.on_answer(attempt, answer(0, reason='cut'))
    assert rules(ledger) == ['lost']


def test_too_many_retries_are_found() -> None:
    """Guards against repeats beyond the budget of a window."""
    ledger, _ = make('read')
    for number in range(int(terms.RETRY_SLACK) + 2):
        ledger.on_arrival('r1', 't1', NOW_MS + number)
    ledger.check_retries()
    assert rules(ledger) == ['retries']


def test_too_many_requests_to_cold_target_are_found() -> None:
    """Guards against a cold target that gets more than it tolerates."""
    ledger, _ = make('read')
    ledger.cold_until_by_target['t1'] = NOW_MS + 1_000
    for number in range(12):
        ledger.on_arrival('r1', 't1', NOW_MS + number)
    assert rules(ledger) == ['warmup']


def test_missing_recovery_is_found() -> None:
    """Guards against a fleet that serves nothing after its faults."""
    ledger = ledgers.Ledger()
    for number in range(terms.UNSERVED_MIN + 1):
        attempt = ledgers.Attempt(f'r{number}', 'read', 'h1', NOW_MS, CONTENT)
        ledger.on_sent(attempt)
        ledger.on_answer(attempt, answer(503))
    ledger.check_recovery(NOW_MS, NOW_MS + 100, {'h1'})
    assert rules(ledger) == ['recovery']


def test_host_without_requests_is_found() -> None:
    """Guards against a host that its peers never name after a restart."""
    ledger = make_served()
    ledger.check_recovery(NOW_MS, NOW_MS + 100, {'h1', 'h2'})
    assert ledger.violations == ["recovery: nothing reached ['h2']"]
