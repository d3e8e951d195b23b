"""Tests that the checks of the soak test detect violations."""

from __future__ import annotations

import pytest

from tests.faults import bounds
from tests.faults import crash_rule
from tests.faults import ledger as ledgers
from tests.faults import rate_rule

NOW_MS = 100_000
CONTENT = ledgers.hash_content('POST', '/write/1', b'x')


def make_ledger(kind: str = 'write') -> tuple[ledgers.Ledger, ledgers.Request]:
    """Make a ledger with one request sent to h1."""
    ledger = ledgers.Ledger()
    request = ledgers.Request('r1', kind, 'h1', NOW_MS, CONTENT)
    ledger.on_sent(request)
    return ledger, request


def record_run(
    ledger: ledgers.Ledger, target: str = 't1', status: int = 200
) -> ledgers.Run:
    """Record a run of the request at a target."""
    run = ledgers.Run(target, NOW_MS + 10, True, status)
    ledger.on_run('r1', CONTENT, run)
    return run


def make_outcome(
    status: int, signature: str = '', body: bytes = b'', reason: str = ''
) -> ledgers.Outcome:
    """Make an outcome of the request."""
    return ledgers.Outcome(NOW_MS + 50, status, signature, body, reason)


def make_served_ledger() -> ledgers.Ledger:
    """Make a ledger with one correctly served request."""
    ledger, request = make_ledger()
    record_run(ledger)
    ledger.on_outcome(
        request,
        make_outcome(
            200, ledgers.sign('r1', 't1', 200), ledgers.make_body('r1', 't1')
        ),
    )
    return ledger


def violated_rules(ledger: ledgers.Ledger) -> list[str]:
    """Return the names of the violated rules."""
    return [violation.partition(':')[0] for violation in ledger.violations]


def test_complete_response_passes() -> None:
    """Guards against checks that reject a correct response."""
    ledger = make_served_ledger()
    assert ledger.violations == []


@pytest.mark.parametrize(
    'outcome',
    [
        make_outcome(200),
        make_outcome(200, 'another', ledgers.make_body('r1', 't1')),
        make_outcome(200, ledgers.sign('r1', 't1', 200), b'part'),
        make_outcome(500, ledgers.sign('r1', 't1', 200)),
    ],
)
def test_corrupt_response_is_detected(outcome: ledgers.Outcome) -> None:
    """Guards against undetected responses that are cut, mixed or forged."""
    ledger, request = make_ledger()
    record_run(ledger)
    ledger.on_outcome(request, outcome)
    assert violated_rules(ledger) == ['wrong']


def test_duplicate_run_is_detected() -> None:
    """Guards against an undetected second run of a non-idempotent request."""
    for kind, expected in (('write', ['rerun']), ('read', [])):
        ledger, _ = make_ledger(kind)
        record_run(ledger)
        record_run(ledger, 't2')
        assert violated_rules(ledger) == expected


@pytest.mark.parametrize('runs_later', [False, True])
def test_false_refusal_is_detected(runs_later: bool) -> None:
    """Guards against an undetected run of a refused request."""
    ledger, request = make_ledger()
    if not runs_later:
        record_run(ledger)
    ledger.on_outcome(request, make_outcome(503))
    if runs_later:
        record_run(ledger)
    assert violated_rules(ledger) == ['refused']


def test_altered_request_is_detected() -> None:
    """Guards against undetected requests that no caller sent."""
    ledger, _ = make_ledger()
    ledger.on_run('r1', 'other', ledgers.Run('t1', NOW_MS, True))
    ledger.on_arrival('r2', 't1', NOW_MS)
    assert violated_rules(ledger) == ['unknown', 'unknown']


def test_late_request_at_leaving_target_is_detected() -> None:
    """Guards against undetected late requests, if nothing was disturbed."""
    for disturbed, expected in (((), ['drain']), (('h1',), []), (('t1',), [])):
        ledger, _ = make_ledger()
        ledger.leaving_ms_by_target['t1'] = NOW_MS - bounds.DRAIN_MS - 1
        for name in disturbed:
            ledger.disturbances.add(name, NOW_MS - 10, NOW_MS)
        ledger.on_arrival('r1', 't1', NOW_MS)
        assert violated_rules(ledger) == expected


def test_lost_request_is_detected() -> None:
    """Guards against undetected interruptions without a disturbance."""
    ledger, request = make_ledger()
    record_run(ledger, status=0)
    ledger.on_outcome(request, make_outcome(0, reason='reset'))
    assert violated_rules(ledger) == ['lost']


def test_too_many_retries_are_detected() -> None:
    """Guards against undetected repeats beyond the budget of a window."""
    ledger, _ = make_ledger('read')
    for number in range(int(bounds.RETRY_SLACK) + 2):
        ledger.on_arrival('r1', 't1', NOW_MS + number)
    ledger.check_retries()
    assert violated_rules(ledger) == ['retries']


def test_too_many_requests_to_cold_target_are_detected() -> None:
    """Guards against undetected overload of a cold target."""
    ledger, _ = make_ledger('read')
    ledger.warmup_end_ms_by_target['t1'] = NOW_MS + 1_000
    for number in range(12):
        ledger.on_arrival('r1', 't1', NOW_MS + number)
    assert violated_rules(ledger) == ['warmup']


def test_missing_recovery_is_detected() -> None:
    """Guards against an undetected fleet that serves nothing after faults."""
    ledger = ledgers.Ledger()
    for number in range(bounds.UNSERVED_SLACK + 1):
        request = ledgers.Request(f'r{number}', 'read', 'h1', NOW_MS, CONTENT)
        ledger.on_sent(request)
        ledger.on_outcome(request, make_outcome(503))
    ledger.check_recovery(NOW_MS, NOW_MS + 100, {'h1'})
    assert violated_rules(ledger) == ['recovery']


def test_host_without_requests_is_detected() -> None:
    """Guards against an undetected host that lookups omit after a restart."""
    ledger = make_served_ledger()
    ledger.check_recovery(NOW_MS, NOW_MS + 100, {'h1', 'h2'})
    assert ledger.violations == ["recovery: no request reached ['h2']"]


@pytest.mark.parametrize(
    ('informed_ms', 'sent', 'is_violation'),
    [(0, 12, True), (0, 11, False), (None, 12, False), (7_900, 12, False)],
)
def test_requests_beyond_a_rate_limit(
    informed_ms: int | None, sent: int, is_violation: bool
) -> None:
    """Guards against a rule that misses, or blames hosts not yet informed.

    At one request a second, 11 are allowed in 4 s.
    """
    rule = rate_rule.RateRule()
    rule.begin('t1', 1.0, 0)
    if informed_ms is not None:
        rule.on_response('t1', 'h1', informed_ms)
    violations = [
        rule.on_arrival('t1', 'h1', 8_000 + number) for number in range(sent)
    ]
    assert any(violations) is is_violation


@pytest.mark.parametrize(
    ('crashes', 'arrivals', 'after_ms', 'is_violation'),
    [
        (3, 4, bounds.CONVERGENCE_MS + 1, True),
        (3, 3, bounds.CONVERGENCE_MS + 1, False),
        (3, 4, bounds.CONVERGENCE_MS, False),
        (2, 4, bounds.CONVERGENCE_MS + 1, False),
    ],
)
def test_sends_of_a_crashing_request(
    crashes: int, arrivals: int, after_ms: int, is_violation: bool
) -> None:
    """Guards against a rule that misses, or counts what is allowed."""
    rule = crash_rule.CrashRule()
    for number in range(crashes):
        rule.on_crash(CONTENT, NOW_MS + number)
    rule.on_crash('other', NOW_MS)
    violations = [
        rule.on_arrival(CONTENT, NOW_MS + crashes - 1 + after_ms)
        for _ in range(arrivals)
    ]
    assert any(violations) is is_violation
