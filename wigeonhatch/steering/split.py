"""Splits: which region serves each hash bucket of a service."""

from __future__ import annotations

import dataclasses

import msgspec

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.steering import buckets as hash_buckets

KEY_PREFIX = 'split/'


def row_key(service: str) -> str:
    """Name the table row that holds the split of a service."""
    return KEY_PREFIX + service


@dataclasses.dataclass(frozen=True, slots=True)
class _SplitRow:
    service: str
    step: int
    change_id: str
    regions: list[str]
    buckets: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StoredSplit:
    """Split of one service as the platform's table holds it.

    Args:
        service: Name of the service.
        step: Number of the step, from 0; increases by one with each step.
        row_version: Version of the row `split/SERVICE`.
        buckets: Region of each bucket; `BUCKET_COUNT` names.
        change_id: Identifies the write; empty if received from a peer.
    """

    service: str
    step: int
    row_version: int
    buckets: tuple[str, ...]
    change_id: str = ''

    def index_regions(self) -> tuple[list[str], bytes]:
        """Encode the buckets as indexes into a list of regions.

        Returns:
            Names of at most 256 regions in sorted order, and one byte for
            each bucket; the form of `peers.Split`.
        """
        regions = sorted(set(self.buckets))
        index_by_region = {name: at for at, name in enumerate(regions)}
        return regions, bytes(index_by_region[name] for name in self.buckets)

    def encode(self) -> bytes:
        """Encode the value of the row, without the row version."""
        regions, indexes = self.index_regions()
        return msgspec.json.encode(
            _SplitRow(
                self.service, self.step, self.change_id, regions, indexes
            )
        )


def from_index(
    service: str,
    step: int,
    row_version: int,
    regions: list[str],
    indexes: bytes,
    change_id: str = '',
) -> outcome.Success[StoredSplit] | outcome.Failure:
    """Build a split from the form of `peers.Split`.

    Args:
        service: Name of the service.
        step: Number of the step.
        row_version: Version of the row.
        regions: Names of the regions.
        indexes: Index into `regions` for each bucket.
        change_id: Identifies the write, if known.

    Returns:
        The split, or `CONFIG_INVALID` if its size or an index is wrong.
    """
    if len(indexes) != hash_buckets.BUCKET_COUNT:
        return _invalid(service, f'{len(indexes)} buckets')
    if max(indexes) >= len(regions):
        return _invalid(service, f'region index {max(indexes)}')
    if step < 0 or row_version < 0:
        return _invalid(service, f'step {step}, row version {row_version}')
    names = tuple(regions[index] for index in indexes)
    return outcome.Success(
        StoredSplit(service, step, row_version, names, change_id)
    )


def decode(
    value: bytes, row_version: int
) -> outcome.Success[StoredSplit] | outcome.Failure:
    """Decode the value of a row `split/SERVICE`.

    Args:
        value: Value of the row.
        row_version: Version of the row.

    Returns:
        The split, or `CONFIG_INVALID`.
    """
    try:
        row = msgspec.json.decode(value, type=_SplitRow)
    except msgspec.MsgspecError as error:
        return _invalid('(row)', str(error))
    return from_index(
        row.service,
        row.step,
        row_version,
        row.regions,
        row.buckets,
        row.change_id,
    )


def _invalid(service: str, found: str) -> outcome.Failure:
    return outcome.Failure(
        codes.ResultCode.CONFIG_INVALID,
        f'split of service {service!r} is malformed: {found}',
    )
