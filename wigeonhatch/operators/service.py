"""Configuration changes and queries of operators."""

from __future__ import annotations

import collections.abc
import dataclasses
import logging
import secrets
import typing

import anyio
import anyio.to_thread

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.config import check
from wigeonhatch.config import diff
from wigeonhatch.config import drains
from wigeonhatch.config import head as heads
from wigeonhatch.config import merge
from wigeonhatch.config import model
from wigeonhatch.operators import _change_writer
from wigeonhatch.operators import _platform_reads
from wigeonhatch.operators import records
from wigeonhatch.operators import view
from wigeonhatch.platform import interface

MAX_EDIT_ATTEMPTS = 20
MAX_LOST_WRITE_ATTEMPTS = 3
MAX_AUDIT_RECORDS = 200
CONFIRM_POLL_INTERVAL_MS = 50
_BACKOFF_STEP_MS = 50

_LOG = logging.getLogger(__name__)
_Edit = collections.abc.Callable[
    [merge.Document], outcome.Success[merge.Document] | outcome.Failure
]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRequest:
    """Identity of a change and of the operator who requests it.

    Args:
        change_id: Unique identifier that the caller generates.
        operator: Name of the operator, for the audit trail.
    """

    change_id: str
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """Result of a change.

    Args:
        version: Version that contains the change.
        change_id: Change that created the version; empty if unchanged.
        changed: Whether a new version was created.
    """

    version: int
    change_id: str
    changed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class FoundChange:
    """Result of looking up a change; None if no accepted change matches."""

    accepted: Accepted | None


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmation:
    """Progress of the rollout of a version to the hosts.

    Args:
        version: Requested version.
        confirmed: Reachable hosts with this version or a newer one in force.
        waiting: Reachable hosts with an older version in force.
        unreachable: Configured hosts that are not reachable.
    """

    version: int
    confirmed: list[str]
    waiting: list[str]
    unreachable: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Shown:
    """Configuration in force on the responding host."""

    version: int
    change_id: str
    document: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """State of the system as seen by the responding host."""

    host: str
    version: int
    hosts: list[view.HostStatus]
    splits: dict[str, view.SplitStatus]
    shares: dict[str, dict[str, float]]
    drains: dict[str, list[str]]


@dataclasses.dataclass(frozen=True, slots=True)
class AuditTrail:
    """Accepted changes and steps of traffic shifts, newest first."""

    version: int
    changes: list[records.AuditRecord]
    steps: list[records.AuditStep]


def new_change_id() -> str:
    """Generate a random identifier for a change."""
    return secrets.token_hex(8)


class OperatorService:
    """Apply changes and respond to queries on one entry host.

    Args:
        host: Name of this host.
        platform: Store of the configuration and the audit trail.
        daemon: Access to the state of the daemon.
        clock: Clock of this host.
    """

    def __init__(
        self,
        host: str,
        platform: interface.Platform,
        daemon: view.DaemonView,
        clock: clocks.Clock,
    ) -> None:
        self._host = host
        self._platform = platform
        self._daemon = daemon
        self._clock = clock
        self._writer = _change_writer.ChangeWriter(host, platform, clock)

    async def apply(
        self,
        request: ChangeRequest,
        content_by_name: collections.abc.Mapping[str, bytes],
        base_version: int | None = None,
    ) -> outcome.Success[Accepted] | outcome.Failure:
        """Replace the configuration by the files of a folder.

        Drains that were set by command are kept.

        Args:
            request: Identity of the change and the operator.
            content_by_name: Content of each file by name.
            base_version: Base of the change; None for the accepted version.

        Returns:
            The accepted version, or `CONFIG_INVALID`, `CONFLICT`,
            `PLATFORM_UNAVAILABLE` (no effect) or `PLATFORM_UNKNOWN`.
        """
        # Runs in a thread so that a large folder does not block the event
        # loop of this host: 7,300 hosts take 0.4 s.
        checked = await anyio.to_thread.run_sync(_check_files, content_by_name)
        if isinstance(checked, outcome.Failure):
            return await self._refuse(request, 'apply', base_version, checked)
        document = checked.value

        def replace_document(
            current: merge.Document,
        ) -> outcome.Success[merge.Document] | outcome.Failure:
            return outcome.Success(
                drains.retain_command_drains(current, document)
            )

        return await self._change(
            request, 'apply', replace_document, base_version, may_retry=False
        )

    async def drain(
        self, request: ChangeRequest, name: str
    ) -> outcome.Success[Accepted] | outcome.Failure:
        """Stop sending new requests to a host or target.

        Args:
            request: Identity of the change and the operator.
            name: Name of the host or target.

        Returns:
            As `apply`, or `UNKNOWN_NAME`. If another change was accepted
            first, the edit is retried on the newer version.
        """
        since_ms = self._clock.wall_ms

        def add_drain(
            current: merge.Document,
        ) -> outcome.Success[merge.Document] | outcome.Failure:
            kind = drains.find_kind(current, name)
            if kind is None:
                return _unknown_name(name)
            return outcome.Success(drains.add(current, name, kind, since_ms))

        return await self._change(
            request, f'drain {name}', add_drain, None, may_retry=True
        )

    async def undrain(
        self, request: ChangeRequest, name: str
    ) -> outcome.Success[Accepted] | outcome.Failure:
        """Remove the drain of a host or target.

        Args:
            request: Identity of the change and the operator.
            name: Name of the host or target.

        Returns:
            As `drain`.
        """

        def remove_drain(
            current: merge.Document,
        ) -> outcome.Success[merge.Document] | outcome.Failure:
            if drains.find_kind(current, name) is None:
                return _unknown_name(name)
            return outcome.Success(drains.remove(current, name))

        return await self._change(
            request, f'undrain {name}', remove_drain, None, may_retry=True
        )

    def show(self) -> outcome.Success[Shown] | outcome.Failure:
        """Return the configuration in force on this host.

        Returns:
            The configuration, or `NOT_READY` if there is none yet.
        """
        current = self._daemon.current
        if current is None:
            return outcome.Failure(
                codes.ResultCode.NOT_READY,
                f'host {self._host} has no configuration yet',
            )
        return outcome.Success(
            Shown(current.version, current.change_id, current.document)
        )

    def status(self) -> Status:
        """Return the state of the system as seen by this host."""
        current = self._daemon.current
        shares: dict[str, dict[str, float]] = {}
        if current is not None:
            shares = {
                name: dict(service.share_by_region)
                for name, service in current.config.service_by_name.items()
            }
        return Status(
            host=self._host,
            version=current.version if current else 0,
            hosts=sorted(self._daemon.hosts(), key=lambda item: item.host),
            splits=self._daemon.splits(),
            shares=shares,
            drains=self._daemon.drains(),
        )

    async def audit(
        self, limit: int
    ) -> outcome.Success[AuditTrail] | outcome.Failure:
        """Read the newest accepted changes and steps of traffic shifts.

        Args:
            limit: Number of changes and steps; at most `MAX_AUDIT_RECORDS`.

        Returns:
            The audit trail, or `PLATFORM_UNAVAILABLE`.
        """
        limit = max(1, min(limit, MAX_AUDIT_RECORDS))
        head = await _platform_reads.read_head(self._platform)
        if isinstance(head, outcome.Failure):
            return head
        last = head.value.value.version
        changes = await _change_writer.read_audit(
            self._platform, max(1, last - limit + 1), last
        )
        if isinstance(changes, outcome.Failure):
            return changes
        rows = await self._platform.read(
            [
                records.step_key(service, step)
                for service, split in self._daemon.splits().items()
                for step in range(
                    max(0, split.step - limit + 1), split.step + 1
                )
            ]
        )
        if isinstance(rows, interface.Unavailable):
            return _platform_reads.unavailable(rows.detail)
        steps = [
            step
            for row in rows.row_by_key.values()
            if (step := records.decode(row, records.AuditStep)) is not None
        ]
        steps.sort(key=lambda step: step.wall_ms, reverse=True)
        return outcome.Success(
            AuditTrail(last, changes.value[::-1], steps[:limit])
        )

    async def find_change(
        self, change_id: str
    ) -> outcome.Success[FoundChange] | outcome.Failure:
        """Look up the outcome of a change.

        Args:
            change_id: Identifier from the change request.

        Returns:
            The accepted version if the change is among the newest
            `MAX_AUDIT_RECORDS`, or `PLATFORM_UNAVAILABLE`.
        """
        trail = await self.audit(MAX_AUDIT_RECORDS)
        if isinstance(trail, outcome.Failure):
            return trail
        for record in trail.value.changes:
            if record.change_id.partition('.')[0] == change_id:
                accepted = Accepted(record.version, record.change_id, True)
                return outcome.Success(FoundChange(accepted))
        return outcome.Success(FoundChange(None))

    def confirmation(self, version: int) -> Confirmation:
        """Return which hosts have a version in force.

        Args:
            version: Requested version.
        """
        current = self._daemon.current
        status_by_host = {item.host: item for item in self._daemon.hosts()}
        names = set(status_by_host)
        if current is not None:
            names &= set(current.config.host_by_name)
            names |= set(current.config.host_by_name)
        confirmed, waiting, unreachable = [], [], []
        for name in sorted(names):
            status = status_by_host.get(name)
            if status is None or not status.reachable:
                unreachable.append(name)
            elif status.config_version >= version:
                confirmed.append(name)
            else:
                waiting.append(name)
        return Confirmation(version, confirmed, waiting, unreachable)

    async def wait_confirmed(
        self, version: int, wait_ms: int
    ) -> outcome.Success[Confirmation] | outcome.Failure:
        """Wait until all reachable hosts have a version in force.

        Args:
            version: Requested version.
            wait_ms: Maximum time to wait in ms.

        Returns:
            The confirmation, or `NOT_CONFIRMED` with the hosts that lack
            the version.
        """
        deadline_ms = self._clock.now_ms + wait_ms
        while True:
            confirmation = self.confirmation(version)
            if confirmation.confirmed and not confirmation.waiting:
                return outcome.Success(confirmation)
            if self._clock.now_ms >= deadline_ms:
                return outcome.Failure(
                    codes.ResultCode.NOT_CONFIRMED,
                    f'version {version} is accepted, but not in force on: '
                    + (', '.join(confirmation.waiting) or 'any host'),
                )
            await self._clock.sleep_ms(CONFIRM_POLL_INTERVAL_MS)

    async def _change(
        self,
        request: ChangeRequest,
        action: str,
        edit: _Edit,
        base_version: int | None,
        may_retry: bool,
    ) -> outcome.Success[Accepted] | outcome.Failure:
        for attempt in range(1, MAX_EDIT_ATTEMPTS + 1):
            # Each commit has a unique change ID, so that the rows show the
            # outcome of each commit.
            attempted = request
            if attempt > 1:
                change_id = f'{request.change_id}.{attempt}'
                attempted = dataclasses.replace(request, change_id=change_id)
            result = await self._attempt(attempted, action, edit, base_version)
            if isinstance(result, outcome.Success):
                return result
            is_conflict = result.code is codes.ResultCode.CONFLICT
            if not (
                (may_retry and is_conflict)
                or (
                    result is _change_writer.NOT_COMMITTED
                    and attempt < MAX_LOST_WRITE_ATTEMPTS
                )
            ):
                break
            await self._clock.sleep_ms(
                secrets.randbelow(_BACKOFF_STEP_MS * attempt)
            )
        assert isinstance(result, outcome.Failure)
        return await self._refuse(attempted, action, base_version, result)

    async def _attempt(
        self,
        request: ChangeRequest,
        action: str,
        edit: _Edit,
        base_version: int | None,
    ) -> outcome.Success[Accepted] | outcome.Failure:
        head = await _platform_reads.read_head(self._platform)
        if isinstance(head, outcome.Failure):
            return head
        base = head.value
        if base_version is not None and base.value.version != base_version:
            expected_head = heads.ConfigHead(base_version, '')
            return await self._writer.explain_conflict(
                _platform_reads.Head(interface.ABSENT, expected_head)
            )
        before = await self._read_base(base.value)
        if isinstance(before, outcome.Failure):
            return before
        edited = await anyio.to_thread.run_sync(
            _edit_document, edit, before.value
        )
        if isinstance(edited, outcome.Failure):
            return edited
        if not edited.value.differences:
            return outcome.Success(Accepted(base.value.version, '', False))
        change = _change_writer.Change(
            request.change_id, request.operator, action, base, edited.value
        )
        write_result = await self._writer.write(change)
        if isinstance(write_result, outcome.Failure):
            return write_result
        self._on_accepted(change)
        return outcome.Success(
            Accepted(write_result.value, request.change_id, True)
        )

    async def _read_base(
        self, head: heads.ConfigHead
    ) -> outcome.Success[merge.Document] | outcome.Failure:
        current = self._daemon.current
        if current is not None and (current.version, current.change_id) == (
            head.version,
            head.change_id,
        ):
            return outcome.Success(current.document)
        return await _platform_reads.read_document(self._platform, head)

    def _on_accepted(self, change: _change_writer.Change) -> None:
        _LOG.info(
            'version %d accepted: %s by %s, change %s',
            change.version,
            change.action,
            change.operator,
            change.change_id,
        )
        self._daemon.on_accepted(
            model.VersionedConfig(
                change.version,
                change.change_id,
                change.edited.config,
                change.edited.document,
            )
        )

    async def _refuse(
        self,
        request: ChangeRequest,
        action: str,
        base_version: int | None,
        failure: outcome.Failure,
    ) -> outcome.Failure:
        _LOG.warning(
            '%s by %s refused: %s',
            action,
            request.operator,
            failure.detail,
            extra={'code': int(failure.code)},
        )
        # An unavailable platform cannot record the refusal, and the refused
        # row must not fence a change whose outcome is unknown.
        if failure.code not in (
            codes.ResultCode.PLATFORM_UNAVAILABLE,
            codes.ResultCode.PLATFORM_UNKNOWN,
        ):
            await self._writer.record_refusal(
                request.change_id,
                request.operator,
                action,
                base_version or 0,
                failure,
            )
        return failure


def _unknown_name(name: str) -> outcome.Failure:
    return outcome.Failure(
        codes.ResultCode.UNKNOWN_NAME,
        f'the configuration has no host or target {name!r}',
    )


def _check_files(
    content_by_name: collections.abc.Mapping[str, bytes],
) -> outcome.Success[merge.Document] | outcome.Failure:
    merged = merge.merge_files(content_by_name)
    if isinstance(merged, outcome.Failure):
        return merged
    checked = check.check_merged(merged.value)
    if isinstance(checked, outcome.Failure):
        return checked
    return outcome.Success(merged.value.document)


def _edit_document(
    edit: _Edit, before: merge.Document
) -> outcome.Success[_change_writer.EditedDocument] | outcome.Failure:
    """Edit and validate a document; runs in a worker thread."""
    after = edit(before)
    if isinstance(after, outcome.Failure):
        return after
    checked = check.check_document(after.value)
    if isinstance(checked, outcome.Failure):
        return checked
    return outcome.Success(
        _change_writer.EditedDocument(
            after.value,
            checked.value,
            heads.encode_document(after.value),
            diff.diff_documents(before, after.value),
        )
    )
