"""Reads of the configuration, splits and host list from the platform."""

from __future__ import annotations

import collections.abc
import dataclasses
import logging

from wigeonhatch import codes
from wigeonhatch import decoding
from wigeonhatch import outcome
from wigeonhatch.config import delta as deltas
from wigeonhatch.config import head as heads
from wigeonhatch.peers import control_counters
from wigeonhatch.peers import split_store
from wigeonhatch.platform import interface
from wigeonhatch.steering import split as splits

_LOG = logging.getLogger(__name__)

DecodeSplit = collections.abc.Callable[
    [bytes, int], outcome.Success[splits.StoredSplit] | outcome.Failure
]
"""Decodes a row `split/SERVICE` from its value and version."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredDocument:
    """Document of a configuration version as the platform stores it."""

    version: int
    change_id: str
    document: deltas.Document


class PlatformSource:
    """Reads the platform and counts the reads.

    Args:
        platform: Client of the platform.
        splits: Receives the splits.
        decode_split: Decodes the rows of splits.
        counters: Counters of control messages.
    """

    def __init__(
        self,
        platform: interface.Platform,
        splits: split_store.SplitStore,
        decode_split: DecodeSplit,
        counters: control_counters.ControlCounters,
    ) -> None:
        self._platform = platform
        self._splits = splits
        self._decode_split = decode_split
        self._counters = counters

    async def read_head(
        self,
    ) -> outcome.Success[heads.ConfigHead | None] | outcome.Failure:
        """Read the head; the result may be stale.

        Returns:
            The head, None if there is none, or `PLATFORM_UNAVAILABLE`.
        """
        self._counters.platform_reads += 1
        result = await self._platform.read([heads.HEAD_KEY])
        if isinstance(result, interface.Unavailable):
            return _unavailable(result.detail)
        return _decode_head(result.row_by_key.get(heads.HEAD_KEY))

    async def read_current_head(
        self,
    ) -> outcome.Success[heads.ConfigHead | None] | outcome.Failure:
        """Read the head and validate it by a commit without writes.

        Returns:
            The head as of a time after the start of the call, None if there
            is none, or `PLATFORM_UNAVAILABLE`.
        """
        self._counters.platform_reads += 1
        result = await self._platform.read([heads.HEAD_KEY])
        if isinstance(result, interface.Unavailable):
            return _unavailable(result.detail)
        row = result.row_by_key.get(heads.HEAD_KEY)
        version = interface.ABSENT if row is None else row.version
        validated = await self._platform.commit(
            [interface.Check(heads.HEAD_KEY, version)], []
        )
        if isinstance(validated, interface.Conflict):
            return _decode_head(validated.row_by_key.get(heads.HEAD_KEY))
        if not isinstance(validated, interface.Committed):
            return _unavailable(validated.detail)
        return _decode_head(row)

    async def read_document(
        self, head: heads.ConfigHead
    ) -> outcome.Success[StoredDocument] | outcome.Failure:
        """Read the document of a head and verify its digest.

        Returns:
            The document, `PLATFORM_UNAVAILABLE`, or `CONFIG_INVALID` if the
            content differs from the digest.
        """
        self._counters.platform_reads += 1
        name = heads.OBJECT_PREFIX + head.change_id
        content = await self._platform.get_object(name)
        if content is None:
            return _unavailable(f'object {name} does not exist')
        if isinstance(content, interface.Unavailable):
            return _unavailable(content.detail)
        if head.digest and (heads.compute_digest(content) != head.digest):
            return outcome.Failure(
                codes.ResultCode.CONFIG_INVALID,
                f'object {name} differs from the digest of the head',
            )
        try:
            document = decoding.decode_json(content, deltas.Document)
        except decoding.DecodeError as error:
            return outcome.Failure(
                codes.ResultCode.CONFIG_INVALID, f'object {name}: {error}'
            )
        return outcome.Success(
            StoredDocument(head.version, head.change_id, document)
        )

    async def read_splits(self) -> bool:
        """Read all split rows and offer them to the split store.

        Returns:
            False if the platform is unavailable.
        """
        self._counters.platform_reads += 1
        result = await self._platform.scan(splits.KEY_PREFIX)
        if isinstance(result, interface.Unavailable):
            return False
        decoded: list[splits.StoredSplit] = []
        for row in result.row_by_key.values():
            split = self._decode_split(row.value, row.version)
            if isinstance(split, outcome.Failure):
                _LOG.error('row %s: %s', row.key, split.detail)
            else:
                decoded.append(split.value)
        self._splits.offer(decoded)
        return True

    async def list_hosts(self) -> interface.HostList | None:
        """Read the host list; None if the platform is unavailable."""
        self._counters.platform_reads += 1
        result = await self._platform.list_hosts()
        return None if isinstance(result, interface.Unavailable) else result


def _unavailable(detail: str) -> outcome.Failure:
    return outcome.Failure(codes.ResultCode.PLATFORM_UNAVAILABLE, detail)


def _decode_head(
    row: interface.Row | None,
) -> outcome.Success[heads.ConfigHead | None] | outcome.Failure:
    if row is None:
        return outcome.Success(None)
    try:
        return outcome.Success(
            decoding.decode_json(row.value, heads.ConfigHead)
        )
    except decoding.DecodeError as error:
        return outcome.Failure(
            codes.ResultCode.CONFIG_INVALID, f'row {heads.HEAD_KEY}: {error}'
        )
