"""Reads that are known to be current."""

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
    """Accepted configuration.

    Args:
        row_version: Version of the row `config/head`; `ABSENT` for none.
        value: Value of the row; version 0 if there is no row.
    """

    row_version: int
    value: heads.ConfigHead


NO_HEAD = Head(interface.ABSENT, heads.ConfigHead(0, ''))


async def read_current(
    platform: interface.Platform, keys: list[str]
) -> outcome.Success[dict[str, interface.Row]] | outcome.Failure:
    """Read rows as they are now.

    A plain read may be stale, so a commit without writes validates it; if it
    was stale, the conflict carries the current rows.

    Args:
        platform: Platform.
        keys: Keys of the rows.

    Returns:
        Rows by key, without absent ones, or `PLATFORM_UNAVAILABLE`.
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
    validated = await platform.commit(checks, [])
    if isinstance(validated, interface.Committed):
        return outcome.Success(result.row_by_key)
    if isinstance(validated, interface.Conflict):
        return outcome.Success(validated.row_by_key)
    return unavailable(validated.detail)


async def read_head(
    platform: interface.Platform,
) -> outcome.Success[Head] | outcome.Failure:
    """Read which configuration is accepted now.

    Args:
        platform: Platform.

    Returns:
        The head; `PLATFORM_UNAVAILABLE`, or `INTERNAL` for a malformed row.
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
        platform: Platform.
        head: Version to read.

    Returns:
        The document, empty for version 0; `PLATFORM_UNAVAILABLE`, or
        `INTERNAL` if the object is missing or differs from its digest.
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
    """Build the outcome for a platform that does not respond.

    Args:
        detail: What the platform client reported.
    """
    return outcome.Failure(
        codes.ResultCode.PLATFORM_UNAVAILABLE, f'platform: {detail}'
    )
