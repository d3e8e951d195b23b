"""Records the requests of callers and targets and checks them by rules."""

from __future__ import annotations

import bisect
import collections
import collections.abc
import dataclasses
import hashlib

from tests.faults import bounds
from tests.faults import crash_rule
from tests.faults import rate_rule
from tests.faults import statement_rule

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
STORE = 'store'
"""Name for disturbances of the store."""
ANY_FAULT = 'anything'
"""Name under which all unplanned disturbances are recorded."""


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """Request sent by a caller.

    Args:
        request_id: Identifier of the request.
        kind: `read`, `write` or `photo`.
        host: Name of the host that the request was sent to.
        sent_ms: Time of sending.
        content: Hash of method, path and body.
        expects_success: Whether the checks expect a success.
    """

    request_id: str
    kind: str
    host: str
    sent_ms: int
    content: str
    expects_success: bool = True

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.kind == 'read'


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a request at the caller.

    Args:
        ended_ms: Time of the response or the error.
        status: HTTP status; 0 if there was no complete response.
        signature: Signature of the target; empty if there is none.
        body: Complete response body.
        reason: Kind of the error if there was no response.
    """

    ended_ms: int
    status: int
    signature: str = ''
    body: bytes = b''
    reason: str = ''


@dataclasses.dataclass(slots=True)
class Run:
    """Execution of a request at a target.

    Args:
        target: Name of the target.
        started_ms: Time of the start.
        is_healthy: Whether the target had no injected fault at the start.
        status: HTTP status of the response; 0 while the request runs.
    """

    target: str
    started_ms: int
    is_healthy: bool
    status: int = 0


def hash_content(method: str, path: str, body: bytes) -> str:
    """Hash the parts of a request that a target must receive unchanged."""
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f'{method} {path}\n'.encode())
    digest.update(body)
    return digest.hexdigest()


def sign(request_id: str, target: str, status: int) -> str:
    """Compute the signature of a response."""
    text = f'{request_id}/{target}/{status}'
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def make_body(request_id: str, target: str) -> bytes:
    """Build a response body that is unique to request and target."""
    return (f'{request_id} ran at {target}. '.encode()) * 20


def _find_repeat_times(
    arrivals: collections.abc.Iterable[tuple[int, str]],
) -> collections.abc.Iterator[int]:
    """Yield the time of each arrival except the first of a request."""
    seen_ids: set[str] = set()
    for at_ms, request_id in arrivals:
        if request_id in seen_ids:
            yield at_ms
        seen_ids.add(request_id)


class Disturbances:
    """Time intervals of disturbances, by host, target or store."""

    def __init__(self) -> None:
        self._intervals: dict[str, list[tuple[int, int]]] = (
            collections.defaultdict(list)
        )

    def add(self, name: str, start_ms: int, end_ms: int) -> None:
        """Record a disturbance of a host, target, `STORE` or `ANY_FAULT`."""
        self._intervals[name].append((start_ms, end_ms))

    def is_undisturbed(
        self, names: tuple[str, ...], start_ms: int, end_ms: int
    ) -> bool:
        """Return whether nothing named was disturbed in an interval."""
        return not any(
            start <= end_ms and end >= start_ms
            for name in names
            for start, end in self._intervals[name]
        )

    def has_converged(self, host: str, at_ms: int) -> bool:
        """Return whether a host must keep the time bounds."""
        return self.is_undisturbed(
            (host, STORE), at_ms - bounds.CONVERGENCE_MS, at_ms
        )


class Ledger:
    """Request records of callers and targets, checked on arrival."""

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.disturbances = Disturbances()
        self.request_by_id: dict[str, Request] = {}
        self.outcome_by_id: dict[str, Outcome] = {}
        self.runs_by_id: dict[str, list[Run]] = collections.defaultdict(list)
        self.leaving_ms_by_target: dict[str, int] = {}
        self.evacuated_ms_by_target: dict[str, int] = {}
        self.warmup_end_ms_by_target: dict[str, int] = {}
        self.rate_rule = rate_rule.RateRule()
        self.crash_rule = crash_rule.CrashRule()
        self.statement_rule = statement_rule.StatementRule(self.disturbances)
        self._arrivals: dict[str, list[tuple[int, str]]] = (
            collections.defaultdict(list)
        )
        self._warmup_arrivals: dict[str, list[int]] = collections.defaultdict(
            list
        )
        self._lost_ids: list[str] = []

    def fail(self, rule: str, detail: str) -> None:
        """Record the violation of a rule."""
        self.violations.append(f'{rule}: {detail}')

    def on_sent(self, request: Request) -> None:
        """Record a request before its first byte is sent."""
        self.request_by_id[request.request_id] = request

    def on_arrival(self, request_id: str, target: str, now_ms: int) -> None:
        """Check a request that reached a target, even if it is refused."""
        request = self.request_by_id.get(request_id)
        if request is None:
            self.fail('unknown', f'{request_id} at {target}')
            return
        self._arrivals[request.kind].append((now_ms, request_id))
        if now_ms < self.warmup_end_ms_by_target.get(target, 0):
            self._check_warmup(target, now_ms)
        if self.disturbances.is_undisturbed(
            (request.host, target), now_ms - bounds.CONVERGENCE_MS, now_ms
        ):
            violation = self.rate_rule.on_arrival(target, request.host, now_ms)
            if violation:
                self.fail('rate', violation)
        violation = self.statement_rule.on_arrival(
            target, request.host, request.sent_ms, now_ms
        )
        if violation:
            self.fail(
                'statement',
                f'{request_id} by {request.host} at {target}: {violation}',
            )
        has_converged = self.disturbances.has_converged(request.host, now_ms)
        if has_converged:
            violation = self.crash_rule.on_arrival(request.content, now_ms)
            if violation:
                self.fail(
                    'crash', f'{request_id} by {request.host}: {violation}'
                )
        for rule, limit_ms, since_by_target in (
            ('drain', bounds.DRAIN_MS, self.leaving_ms_by_target),
            ('evacuate', bounds.EVACUATE_MS, self.evacuated_ms_by_target),
        ):
            since_ms = since_by_target.get(target)
            if (
                since_ms is not None
                and has_converged
                and now_ms - since_ms > limit_ms
                and self.disturbances.is_undisturbed(
                    (target,), now_ms - bounds.CONVERGENCE_MS, now_ms
                )
            ):
                self.fail(
                    rule,
                    f'{request_id} by {request.host} at {target}'
                    f' {now_ms - since_ms} ms after its removal',
                )

    def on_run(self, request_id: str, content: str, run: Run) -> None:
        """Check a request that a target runs."""
        request = self.request_by_id.get(request_id)
        if request is None or request.content != content:
            self.fail('unknown', f'{request_id} at {run.target} was altered')
            return
        runs = self.runs_by_id[request_id]
        runs.append(run)
        if len(runs) > 1 and not request.is_idempotent:
            self.fail('rerun', f'{request_id} at {[r.target for r in runs]}')
        outcome = self.outcome_by_id.get(request_id)
        if outcome is not None:
            self._check_refusal(request, outcome)

    def on_outcome(self, request: Request, outcome: Outcome) -> None:
        """Check the outcome of a request."""
        self.outcome_by_id[request.request_id] = outcome
        self._check_refusal(request, outcome)
        self._check_body(request, outcome)
        if not outcome.status:
            self._check_lost(request, outcome)

    def check_retries(self) -> None:
        """Check the repeated arrivals of each kind in each time window."""
        for kind, arrivals in self._arrivals.items():
            sent = sorted(
                request.sent_ms
                for request in self.request_by_id.values()
                if request.kind == kind
            )
            repeat_times = list(_find_repeat_times(arrivals))
            for index, start_ms in enumerate(repeat_times):
                end_ms = start_ms + bounds.RETRY_WINDOW_MS
                count = bisect.bisect_left(repeat_times, end_ms) - index
                requests = max(
                    bisect.bisect(sent, end_ms - shift_ms)
                    - bisect.bisect_left(sent, start_ms - shift_ms)
                    for shift_ms in (
                        0,
                        bounds.RETRY_WINDOW_MS // 2,
                        bounds.RETRY_WINDOW_MS,
                    )
                )
                allowed = bounds.RETRY_RATIO * requests + bounds.RETRY_SLACK
                if count > allowed:
                    self.fail('retries', f'{kind}: {count} of {allowed:.0f}')
                    break

    def check_recovery(
        self, since_ms: int, until_ms: int, hosts: set[str]
    ) -> None:
        """Check that requests are served after all faults have ended.

        Args:
            since_ms: Earliest send time of the checked requests.
            until_ms: Latest end time of the checked requests.
            hosts: Hosts that must each have received requests.
        """
        checked = [
            request_id
            for request_id, request in self.request_by_id.items()
            if request.expects_success
            and request.sent_ms >= since_ms
            and request_id in self.outcome_by_id
            and self.outcome_by_id[request_id].ended_ms <= until_ms
        ]
        unserved = [
            request_id
            for request_id in checked
            if self.outcome_by_id[request_id].status != 200
        ]
        allowed = bounds.UNSERVED_SLACK + bounds.UNSERVED_RATIO * len(checked)
        if not checked or len(unserved) > allowed:
            self.fail(
                'recovery',
                f'{len(unserved)} of {len(checked)} unserved: {unserved[:5]}',
            )
        used = {self.request_by_id[request_id].host for request_id in checked}
        if used != hosts:
            self.fail('recovery', f'no request reached {sorted(hosts - used)}')

    def served_ratio(self) -> float:
        """Return the fraction of requests expected to succeed that did."""
        expected = [
            outcome.status == 200
            for request_id, outcome in self.outcome_by_id.items()
            if self.request_by_id[request_id].expects_success
        ]
        return sum(expected) / max(1, len(expected))

    def _check_warmup(self, target: str, now_ms: int) -> None:
        arrivals = self._warmup_arrivals[target]
        arrivals.append(now_ms)
        count = len(arrivals) - bisect.bisect(arrivals, now_ms - 1_000)
        cap = bounds.WARMUP_PER_S * bounds.WARMUP_FACTOR + bounds.WARMUP_SLACK
        if count > cap and self.disturbances.is_undisturbed(
            (target,), now_ms - 1_000, now_ms
        ):
            self.fail('warmup', f'{count} in one second at {target}')

    def _check_refusal(self, request: Request, outcome: Outcome) -> None:
        refused = outcome.status in NOT_RUN_STATUSES and not outcome.signature
        runs = self.runs_by_id[request.request_id]
        if refused and runs and not request.is_idempotent:
            self.fail(
                'refused',
                f'{request.request_id} got {outcome.status} and ran at'
                f' {runs[0].target}',
            )

    def _check_body(self, request: Request, outcome: Outcome) -> None:
        request_id = request.request_id
        if not outcome.signature:
            if 200 <= outcome.status < 300:
                self.fail('wrong', f'{request_id}: success without signature')
            return
        matching_runs = [
            run
            for run in self.runs_by_id[request_id]
            if outcome.signature == sign(request_id, run.target, run.status)
        ]
        if not matching_runs or matching_runs[0].status != outcome.status:
            self.fail('wrong', f'{request_id}: not sent by a target')
        elif outcome.status == 200 and outcome.body != make_body(
            request_id, matching_runs[0].target
        ):
            self.fail('wrong', f'{request_id}: wrong body')

    def _check_lost(self, request: Request, outcome: Outcome) -> None:
        runs = self.runs_by_id[request.request_id]
        if outcome.reason != 'reset' or not any(
            run.is_healthy for run in runs
        ):
            return
        start_ms = request.sent_ms - bounds.CONVERGENCE_MS
        record = self.disturbances
        if record.is_undisturbed((ANY_FAULT,), start_ms, outcome.ended_ms):
            self.fail('lost', f'{request.request_id} by {request.host}')
        elif record.has_converged(request.host, outcome.ended_ms):
            self._lost_ids.append(request.request_id)
            if len(self._lost_ids) == bounds.MAX_LOST + 1:
                self.fail('lost', f'by converged hosts: {self._lost_ids}')
