"""Reads from the platform that exclude stale rows."""

from __future__ import annotations

import dataclasses

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.config import head as heads
from wigeonhatch.config import merge
from wigeonhatch.operators import records
from wigeonhatch.platform import interface


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Head row, which identifies the accepted configuration.

    Args:
        row_version: Version of the row `config/head`; `ABSENT` if missing.
        value: Value of the row; version 0 if the row is missing.
    """

    row_version: int
    value: heads.ConfigHead


NO_HEAD = Head(interface.ABSENT, heads.ConfigHead(0, ''))


async def read_current(
    platform: interface.Platform, keys: list[str]
) -> outcome.Success[dict[str, interface.Row]] | outcome.Failure:
    """Read the current rows.

    A plain read may be stale, so a commit without writes validates the row
    versions; on a conflict, the response carries the current rows.

    Args:
        platform: Platform to read from.
        keys: Keys of the rows.

    Returns:
        Existing rows by key, or `PLATFORM_UNAVAILABLE`.
    """
    result = await platform.read(keys)
    if isinstance(result, interface.Unavailable):
        return unavailable(result.detail)
    checks = [
        interface.Check(
            key,
            result.row_by_key[key].version
            if key in result.row_by_key
            else interface.ABSENT,
        )
        for key in keys
    ]
    validation = await platform.commit(checks, [])
    if isinstance(validation, interface.Committed):
        return outcome.Success(result.row_by_key)
    if isinstance(validation, interface.Conflict):
        return outcome.Success(validation.row_by_key)
    return unavailable(validation.detail)


async def read_head(
    platform: interface.Platform,
) -> outcome.Success[Head] | outcome.Failure:
    """Read the head of the accepted configuration.

    Args:
        platform: Platform to read from.

    Returns:
        The head; `PLATFORM_UNAVAILABLE`; or `INTERNAL` for a malformed row.
    """
    rows = await read_current(platform, [heads.HEAD_KEY])
    if isinstance(rows, outcome.Failure):
        return rows
    row = rows.value.get(heads.HEAD_KEY)
    if row is None:
        return outcome.Success(NO_HEAD)
    value = records.decode(row, heads.ConfigHead)
    if value is None:
        return outcome.Failure(
            codes.ResultCode.INTERNAL,
            f'row {heads.HEAD_KEY} is malformed',
            codes.Ran.NOT_RUN,
        )
    return outcome.Success(Head(row.version, value))


async def read_document(
    platform: interface.Platform, head: heads.ConfigHead
) -> outcome.Success[merge.Document] | outcome.Failure:
    """Read the document of an accepted configuration.

    Args:
        platform: Platform to read from.
        head: Head row of the version.

    Returns:
        The document, empty for version 0; `PLATFORM_UNAVAILABLE`; or
        `INTERNAL` if the object is missing, malformed or does not match its
        digest.
    """
    if head.version == 0:
        return outcome.Success({})
    name = heads.OBJECT_PREFIX + head.change_id
    content = await platform.get_object(name)
    if isinstance(content, interface.Unavailable):
        return unavailable(content.detail)
    if content is not None and (
        not head.digest or heads.compute_digest(content) == head.digest
    ):
        parsed = merge.merge_files({name: content})
        if isinstance(parsed, outcome.Success):
            return outcome.Success(parsed.value.document)
    return outcome.Failure(
        codes.ResultCode.INTERNAL,
        f'object {name} of version {head.version} is missing or malformed',
        codes.Ran.NOT_RUN,
    )


def unavailable(detail: str) -> outcome.Failure:
    """Build the failure for a platform that is unavailable.

    Args:
        detail: Reason from the platform client.
    """
    return outcome.Failure(
        codes.ResultCode.PLATFORM_UNAVAILABLE, f'platform: {detail}'
    )
