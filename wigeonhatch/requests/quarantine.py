"""Requests that crash targets, as known to all hosts."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import logging
import math

import msgspec
import xxhash

from wigeonhatch import clock as clocks
from wigeonhatch import log
from wigeonhatch.requests import fingerprint as fingerprints
from wigeonhatch.steering import rendezvous

MAX_CRASHES = 3
"""Targets that one request may crash before it is quarantined, if all hosts
hear each other. A request that was sent beside a deadly one may see two."""
MAX_TRIALS = 2
"""Times that a quarantined request is sent again to find whether it still
crashes targets."""
FIRST_TRIAL_MS = 30_000
"""Time from the last crash to the first trial."""
TRIAL_BACKOFF = 4
"""Factor between the delays of successive trials."""
RETENTION_MS = 600_000
"""Time for which a request is remembered after it was last received."""
SERVED_RETENTION_MS = 10_000
"""Time for which a response outweighs older reports of crashes."""
REPORT_MS = 2_000
"""Time for which a change is reported; about ten datagrams."""
MAX_STATEMENTS = 8
"""Maximum statements per datagram, so that it fits into one packet."""
MAX_ENTRIES = 1_024
"""Requests remembered at most, at some 500 bytes each."""
REPEAT_MS = 2_000
"""Delay after which the caller of a quarantined request may retry."""
BUSY_REPEAT_MS = 300
"""Delay after which it may retry while another attempt decides."""
_ROTATION_MS = 200
"""Time after which a datagram has other statements if there are more."""
_MAX_RECORDED_CRASHES = 16
_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class HostView:
    """Hosts that may receive a repeat of a request.

    Args:
        live: Names of the hosts that this host hears, and of itself.
        known: Names of these and of the silent ones.
    """

    live: frozenset[str]
    known: frozenset[str]


class CrashStatement(msgspec.Struct, frozen=True, array_like=True):
    """What a host knows of one request.

    Args:
        fingerprint: Fingerprint of the request.
        age_ms_by_crash: Time since each crash in ms, by a hash of the target's
            incarnation.
        served_age_ms: Time since the newest response in ms; None without one.
    """

    fingerprint: int
    age_ms_by_crash: dict[int, int]
    served_age_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """Refusal of a request.

    Args:
        reason: Why it is refused, for the log and the caller.
        retry_after_ms: Time after which the caller may retry in ms.
    """

    reason: str
    retry_after_ms: int


@dataclasses.dataclass(slots=True)
class _Entry:
    """Crashes of targets that ran one request, since its last response."""

    changed_ms: int
    received_ms: int
    crashed_ms_by_target: dict[int, int] = dataclasses.field(
        default_factory=dict
    )
    served_ms: int | None = None

    @property
    def crash_count(self) -> int:
        """Number of crashes."""
        return len(self.crashed_ms_by_target)

    def add_crash(self, target: int, at_ms: int) -> bool:
        """Add a crash; return whether it is new."""
        if self.served_ms is not None and at_ms <= self.served_ms:
            return False
        if target in self.crashed_ms_by_target or (
            self.crash_count >= _MAX_RECORDED_CRASHES
        ):
            return False
        self.crashed_ms_by_target[target] = at_ms
        return True

    def add_response(self, at_ms: int) -> bool:
        """Discard the crashes before a response; return if there were any."""
        self.served_ms = max(at_ms, self.served_ms or at_ms)
        old_count = self.crash_count
        self.crashed_ms_by_target = {
            target: crashed_ms
            for target, crashed_ms in self.crashed_ms_by_target.items()
            if crashed_ms > self.served_ms
        }
        return self.crash_count < old_count


class QuarantineTable:
    """Refuse the requests that have crashed several targets.

    All requests at a target are lost when it crashes. The one that crashes it
    is found by its repeats, at any host: it is lost with each target that runs
    it and never gets a response, while the others are served sooner or later.

    Args:
        host: Name of this host.
        find_hosts: Returns the hosts that may receive a repeat.
        clock: Source of monotonic time.

    Attributes:
        on_change: Called when the peers have to learn of a crash at once.
    """

    def __init__(
        self,
        host: str,
        find_hosts: collections.abc.Callable[[], HostView],
        clock: clocks.Clock,
    ) -> None:
        self.on_change: collections.abc.Callable[[], None] = lambda: None
        self._host = host
        self._find_hosts = find_hosts
        self._clock = clock
        self._entry_by_fingerprint: dict[int, _Entry] = {}
        self._in_progress: collections.Counter[int] = collections.Counter()

    def check(self, fingerprint: int) -> Quarantined | None:
        """Decide whether a request may be sent to a target.

        Args:
            fingerprint: Fingerprint of the request.

        Returns:
            The refusal; None if the request may be sent.
        """
        entry = self._entry_by_fingerprint.get(fingerprint)
        if entry is None:
            return None
        entry.received_ms = self._clock.now_ms
        count = entry.crash_count
        limit = self._limit() if count else MAX_CRASHES
        if count >= limit and not self._is_trial_due(
            fingerprint, entry, count
        ):
            return _refuse(fingerprint, count, '', REPEAT_MS)
        # The next crash decides: concurrent repeats would crash more targets.
        if count and count + 1 >= limit and self._in_progress[fingerprint]:
            return _refuse(
                fingerprint, count, '; another one runs it', BUSY_REPEAT_MS
            )
        return None

    def is_suspect(self, fingerprint: int) -> bool:
        """Tell whether a target crashed while it ran a request.

        Args:
            fingerprint: Fingerprint of the request.
        """
        entry = self._entry_by_fingerprint.get(fingerprint)
        return entry is not None and entry.crash_count > 0

    def on_start(self, fingerprint: int) -> None:
        """Record that a request is sent to a target."""
        self._in_progress[fingerprint] += 1

    def on_end(self, fingerprint: int) -> None:
        """Record the end of an attempt."""
        self._in_progress[fingerprint] -= 1
        if self._in_progress[fingerprint] <= 0:
            del self._in_progress[fingerprint]

    def on_served(self, fingerprint: int) -> None:
        """Record a complete response to a request, which clears it."""
        if fingerprint in self._entry_by_fingerprint:
            self._merge(fingerprint, {}, self._clock.now_ms)

    def on_crash(self, fingerprint: int, target: tuple[str, int]) -> None:
        """Record that a target crashed while it ran a request.

        Args:
            fingerprint: Fingerprint of the request.
            target: Name and start of the target.
        """
        name, started_ms = target
        crash = xxhash.xxh32_intdigest(f'{name}\0{started_ms}'.encode())
        entry = self._merge(fingerprint, {crash: self._clock.now_ms}, None)
        # Most requests are only sent beside one that crashes a target; their
        # first crash can wait for the next datagram.
        if entry.crash_count + 1 >= self._limit():
            self.on_change()

    def on_report(
        self, statements: collections.abc.Iterable[CrashStatement]
    ) -> None:
        """Apply the statements of a peer."""
        now_ms = self._clock.now_ms
        for item in statements:
            self._merge(
                item.fingerprint,
                {
                    target: now_ms - age_ms
                    for target, age_ms in item.age_ms_by_crash.items()
                },
                None
                if item.served_age_ms is None
                else now_ms - item.served_age_ms,
            )

    def build_report(self) -> tuple[CrashStatement, ...]:
        """Select the statements to send to the peers."""
        now_ms = self._clock.now_ms
        changed = [
            item
            for item in self._entry_by_fingerprint.items()
            if now_ms - item[1].changed_ms < REPORT_MS
        ]
        return tuple(
            _build_statement(fingerprint, entry, now_ms)
            for fingerprint, entry in _select_reported(changed, now_ms)
        )

    def refused(self) -> list[CrashStatement]:
        """List the requests that this host refuses, latest crash first."""
        if not self._entry_by_fingerprint:
            return []
        limit = self._limit()
        entries = [
            item
            for item in self._entry_by_fingerprint.items()
            if item[1].crash_count >= limit
        ]
        entries.sort(key=lambda item: -item[1].changed_ms)
        return [
            _build_statement(fingerprint, entry, self._clock.now_ms)
            for fingerprint, entry in entries
        ]

    def report_again(self) -> None:
        """Report everything to a peer that has started or is reached again."""
        for entry in self._entry_by_fingerprint.values():
            entry.changed_ms = self._clock.now_ms

    def expire(self) -> None:
        """Remove the requests that were not received for some time."""
        now_ms = self._clock.now_ms
        for fingerprint, entry in list(self._entry_by_fingerprint.items()):
            unused_ms = now_ms - max(entry.received_ms, entry.changed_ms)
            retention_ms = (
                RETENTION_MS if entry.crash_count else SERVED_RETENTION_MS
            )
            if unused_ms > retention_ms:
                del self._entry_by_fingerprint[fingerprint]

    def _limit(self) -> int:
        """Crashes from which this host refuses a request.

        Hosts that do not hear each other crash targets of their own; each
        group therefore has a part of the limit.
        """
        hosts = self._find_hosts()
        reached = len(hosts.live) / max(1, len(hosts.known))
        return max(1, math.ceil(MAX_CRASHES * min(1.0, reached)))

    def _is_trial_due(
        self, fingerprint: int, entry: _Entry, count: int
    ) -> bool:
        trials = count - MAX_CRASHES
        if not 0 <= trials < MAX_TRIALS or self._in_progress[fingerprint]:
            return False
        delay_ms = FIRST_TRIAL_MS * TRIAL_BACKOFF**trials
        last_ms = max(entry.crashed_ms_by_target.values())
        if self._clock.now_ms - last_ms < delay_ms:
            return False
        known = self._find_hosts().known
        return rendezvous.rank(known, str(fingerprint))[0] == self._host

    def _merge(
        self,
        fingerprint: int,
        crashed_ms_by_target: dict[int, int],
        served_ms: int | None,
    ) -> _Entry:
        """Add crashes and a response to the entry of a request."""
        entry = self._find_or_add(fingerprint)
        old_count = entry.crash_count
        is_released = served_ms is not None and entry.add_response(served_ms)
        added = [
            entry.add_crash(*item) for item in crashed_ms_by_target.items()
        ]
        if is_released or any(added):
            entry.changed_ms = self._clock.now_ms
            limit = self._limit()
            if old_count < limit <= entry.crash_count:
                _log_change('request quarantined', fingerprint, entry)
            elif entry.crash_count < limit <= old_count:
                _log_change('request released', fingerprint, entry)
        return entry

    def _find_or_add(self, fingerprint: int) -> _Entry:
        entry = self._entry_by_fingerprint.get(fingerprint)
        if entry is None:
            if len(self._entry_by_fingerprint) >= MAX_ENTRIES:
                self._evict()
            now_ms = self._clock.now_ms
            entry = _Entry(now_ms, now_ms)
            self._entry_by_fingerprint[fingerprint] = entry
        return entry

    def _evict(self) -> None:
        """Remove the oldest entry that is not on its way to a quarantine."""
        evicted = next(
            (
                fingerprint
                for fingerprint, entry in self._entry_by_fingerprint.items()
                if entry.crash_count <= 1
            ),
            next(iter(self._entry_by_fingerprint)),
        )
        del self._entry_by_fingerprint[evicted]


def _build_statement(
    fingerprint: int, entry: _Entry, now_ms: int
) -> CrashStatement:
    return CrashStatement(
        fingerprint,
        {
            target: now_ms - at_ms
            for target, at_ms in entry.crashed_ms_by_target.items()
        },
        None if entry.served_ms is None else now_ms - entry.served_ms,
    )


def _refuse(
    fingerprint: int, count: int, reason: str, retry_after_ms: int
) -> Quarantined:
    text = fingerprints.format_fingerprint(fingerprint)
    return Quarantined(
        f'{count} targets crashed while they ran {text}{reason}',
        retry_after_ms,
    )


def _select_reported(
    changed: list[tuple[int, _Entry]], now_ms: int
) -> list[tuple[int, _Entry]]:
    """Select the entries with most crashes, and some others in turn."""
    if len(changed) <= MAX_STATEMENTS:
        return changed
    ranked = sorted(changed, key=lambda item: -item[1].crash_count)
    half = MAX_STATEMENTS // 2
    others = ranked[half:]
    start = now_ms // _ROTATION_MS * half % len(others)
    return ranked[:half] + (others[start:] + others[:start])[:half]


def _log_change(message: str, fingerprint: int, entry: _Entry) -> None:
    log.event(
        _LOG,
        message,
        fingerprint=fingerprints.format_fingerprint(fingerprint),
        crashes=entry.crash_count,
    )
