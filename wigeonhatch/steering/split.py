"""Splits: which region serves each hash bucket of a service."""

from __future__ import annotations

import dataclasses


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
