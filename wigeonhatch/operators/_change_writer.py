"""Commit of a configuration change, including unknown outcomes."""

from __future__ import annotations

import dataclasses

import msgspec

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.config import diff
from wigeonhatch.config import head as heads
from wigeonhatch.config import merge
from wigeonhatch.config import model
from wigeonhatch.operators import _platform_reads
from wigeonhatch.operators import records
from wigeonhatch.platform import interface

RESOLVE_TIMEOUT_MS = 8_000
RESOLVE_INTERVAL_MS = 200
MAX_STORE_ATTEMPTS = 3
NOT_COMMITTED = _platform_reads.unavailable(
    'the write was lost and did not take effect'
)
"""Failure of a commit that can no longer take effect."""
_MAX_LISTED_CHANGES = 20


@dataclasses.dataclass(frozen=True, slots=True)
class EditedDocument:
    """Validated new document and its differences from the base document.

    Args:
        document: New document.
        config: Configuration that the document describes.
        content: Document encoded for the object store.
        differences: Changed values; empty if the documents are equal.
    """

    document: merge.Document
    config: model.SteeringConfig
    content: bytes
    differences: list[diff.Difference]


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One attempt to commit a document as the accepted configuration.

    Args:
        change_id: Unique identifier of the attempt.
        operator: Name that the operator gave; not authenticated.
        action: `apply`, `drain NAME` or `undrain NAME`.
        base: Accepted configuration that the change replaces.
        edited: New document.
    """

    change_id: str
    operator: str
    action: str
    base: _platform_reads.Head
    edited: EditedDocument

    @property
    def version(self) -> int:
        """Version that the change creates."""
        return self.base.value.version + 1


class ChangeWriter:
    """Write changes and their audit records to the platform.

    Args:
        host: Name of this host.
        platform: Store for documents, the head row and audit records.
        clock: Clock of this host.
    """

    def __init__(
        self, host: str, platform: interface.Platform, clock: clocks.Clock
    ) -> None:
        self._host = host
        self._platform = platform
        self._clock = clock

    async def write(
        self, change: Change
    ) -> outcome.Success[int] | outcome.Failure:
        """Store the document and commit the change.

        Args:
            change: Change with a validated document.

        Returns:
            The accepted version; `CONFLICT` with the changes accepted
            instead; `PLATFORM_UNAVAILABLE` if the change certainly did not
            take effect (`NOT_COMMITTED` if the platform responds again); or
            `PLATFORM_UNKNOWN`.
        """
        content = change.edited.content
        store_failure = await self._store_document(change, content)
        if store_failure is not None:
            return store_failure
        head = heads.ConfigHead(
            change.version, change.change_id, heads.compute_digest(content)
        )
        result = await self._platform.commit(
            self._checks(change),
            [
                interface.Write(heads.HEAD_KEY, msgspec.json.encode(head)),
                interface.Write(
                    records.audit_key(change.version),
                    msgspec.json.encode(self._audit_record(change)),
                ),
            ],
        )
        if isinstance(result, interface.Committed):
            return outcome.Success(change.version)
        if isinstance(result, interface.Unavailable):
            return _platform_reads.unavailable(result.detail)
        if isinstance(result, interface.Conflict):
            row = result.row_by_key.get(records.audit_key(change.version))
            audit = records.decode(row, records.AuditRecord)
            # A commit that the transport retried conflicts with itself.
            if audit is not None and audit.change_id == change.change_id:
                return outcome.Success(change.version)
            return await self.explain_conflict(change.base)
        return await self._resolve_unknown(change)

    async def record_refusal(
        self,
        change_id: str,
        operator: str,
        action: str,
        base_version: int,
        failure: outcome.Failure,
    ) -> interface.CommitResult:
        """Record a refused change, without retries.

        Args:
            change_id: Identifier of the change.
            operator: Name that the operator gave.
            action: `apply`, `drain NAME` or `undrain NAME`.
            base_version: Version that the change is based on.
            failure: Reason for the refusal.
        """
        record = self._refused_record(
            change_id, operator, action, base_version, failure
        )
        key = records.refused_key(change_id)
        return await self._platform.commit(
            [interface.Check(key, interface.ABSENT)],
            [interface.Write(key, msgspec.json.encode(record))],
        )

    async def _store_document(
        self, change: Change, content: bytes
    ) -> outcome.Failure | None:
        name = heads.OBJECT_PREFIX + change.change_id
        for _ in range(MAX_STORE_ATTEMPTS):
            result = await self._platform.put_object(name, content)
            if result is None:
                return None
            if isinstance(result, interface.Unavailable):
                return _platform_reads.unavailable(result.detail)
            # No row refers to the object yet and each attempt writes the same
            # content, so a retry cannot change an accepted version.
            if await self._platform.get_object(name) == content:
                return None
        # An object that no committed row refers to has no effect.
        return _platform_reads.unavailable('the document could not be stored')

    async def _resolve_unknown(
        self, change: Change
    ) -> outcome.Success[int] | outcome.Failure:
        """Determine the outcome of a commit whose response was lost.

        The rows show whether the change was accepted. If not, this writes
        the refused row as a fence: the commit checks that this row is
        absent, so a commit that is still in flight fails from then on.
        """
        audit_key = records.audit_key(change.version)
        refused_key = records.refused_key(change.change_id)
        deadline_ms = self._clock.now_ms + RESOLVE_TIMEOUT_MS
        while self._clock.now_ms < deadline_ms:
            rows = await _platform_reads.read_current(
                self._platform, [heads.HEAD_KEY, audit_key, refused_key]
            )
            if isinstance(rows, outcome.Failure):
                await self._clock.sleep_ms(RESOLVE_INTERVAL_MS)
                continue
            audit = records.decode(
                rows.value.get(audit_key), records.AuditRecord
            )
            if audit is not None:
                if audit.change_id == change.change_id:
                    return outcome.Success(change.version)
                return await self.explain_conflict(change.base)
            if refused_key in rows.value:
                return NOT_COMMITTED
            head = rows.value.get(heads.HEAD_KEY)
            head_version = interface.ABSENT if head is None else head.version
            if head_version != change.base.row_version:
                return await self.explain_conflict(change.base)
            if await self._fence(change):
                return NOT_COMMITTED
            await self._clock.sleep_ms(RESOLVE_INTERVAL_MS)
        return outcome.Failure(
            codes.ResultCode.PLATFORM_UNKNOWN,
            f'change {change.change_id}: the platform confirmed neither that '
            f'it was accepted nor that it was not; `audit` tells later',
        )

    async def _fence(self, change: Change) -> bool:
        record = self._refused_record(
            change.change_id,
            change.operator,
            change.action,
            change.base.value.version,
            outcome.Failure(
                codes.ResultCode.PLATFORM_UNAVAILABLE, 'the write was lost'
            ),
        )
        key = records.refused_key(change.change_id)
        result = await self._platform.commit(
            self._checks(change),
            [interface.Write(key, msgspec.json.encode(record))],
        )
        return isinstance(result, interface.Committed)

    async def explain_conflict(
        self, base: _platform_reads.Head
    ) -> outcome.Failure:
        """Describe the changes that were accepted after a version.

        Args:
            base: Version that the operator's change is based on.

        Returns:
            `CONFLICT` with the newest later changes and their differences.
        """
        first = base.value.version + 1
        current = await _platform_reads.read_head(self._platform)
        if isinstance(current, outcome.Failure):
            return outcome.Failure(
                codes.ResultCode.CONFLICT,
                f'version {first} was accepted from another change',
            )
        last = current.value.value.version
        audit_records = await read_audit(
            self._platform, max(first, last - _MAX_LISTED_CHANGES + 1), last
        )
        lines = [
            f'the change was made from version {base.value.version}, '
            f'but version {last} is accepted'
        ]
        if isinstance(audit_records, outcome.Success):
            lines.extend(
                line
                for record in audit_records.value
                for line in _format_record(record)
            )
        return outcome.Failure(codes.ResultCode.CONFLICT, '\n'.join(lines))

    def _checks(self, change: Change) -> list[interface.Check]:
        return [
            interface.Check(heads.HEAD_KEY, change.base.row_version),
            interface.Check(
                records.audit_key(change.version), interface.ABSENT
            ),
            interface.Check(
                records.refused_key(change.change_id), interface.ABSENT
            ),
        ]

    def _audit_record(self, change: Change) -> records.AuditRecord:
        differences = change.edited.differences
        return records.AuditRecord(
            version=change.version,
            base_version=change.base.value.version,
            change_id=change.change_id,
            operator=change.operator,
            action=change.action,
            host=self._host,
            accepted_ms=self._clock.wall_ms,
            differences=differences[: records.MAX_DIFFERENCES],
            omitted=max(0, len(differences) - records.MAX_DIFFERENCES),
        )

    def _refused_record(
        self,
        change_id: str,
        operator: str,
        action: str,
        base_version: int,
        failure: outcome.Failure,
    ) -> records.RefusedRecord:
        return records.RefusedRecord(
            change_id=change_id,
            operator=operator,
            action=action,
            host=self._host,
            refused_ms=self._clock.wall_ms,
            base_version=base_version,
            code=int(failure.code),
            reason=failure.detail[: records.MAX_REASON_LENGTH],
        )


async def read_audit(
    platform: interface.Platform, first: int, last: int
) -> outcome.Success[list[records.AuditRecord]] | outcome.Failure:
    """Read the audit records of a range of versions.

    Args:
        platform: Platform to read from.
        first: First version, at least 1.
        last: Last version, inclusive.

    Returns:
        The records by ascending version, or `PLATFORM_UNAVAILABLE`.
    """
    keys = [records.audit_key(version) for version in range(first, last + 1)]
    rows = await _platform_reads.read_current(platform, keys)
    if isinstance(rows, outcome.Failure):
        return rows
    decoded = (
        records.decode(rows.value.get(key), records.AuditRecord)
        for key in keys
    )
    return outcome.Success([item for item in decoded if item is not None])


def _format_record(record: records.AuditRecord) -> list[str]:
    lines = [
        f'version {record.version}: {record.action} by {record.operator} '
        f'on {record.host}, change {record.change_id}'
    ]
    lines.extend(f'  {item}' for item in record.differences[:50])
    omitted_count = len(record.differences) - 50 + record.omitted
    if omitted_count > 0:
        lines.append(f'  and {omitted_count} more differences')
    return lines
