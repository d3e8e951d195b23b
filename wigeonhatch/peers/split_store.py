"""Newest split of each service that this host has received."""

from __future__ import annotations

import collections.abc
import logging

import xxhash

from wigeonhatch import clock as clocks
from wigeonhatch.peers import peers_pb2
from wigeonhatch.steering import buckets as hash_buckets
from wigeonhatch.steering import split as splits

_LOG = logging.getLogger(__name__)


class SplitStore:
    """Splits by service; a higher row version replaces a lower one.

    Args:
        clock: Clock of the host.
        offer_split: Called with each newer split.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        offer_split: collections.abc.Callable[[splits.StoredSplit], None],
    ) -> None:
        self._clock = clock
        self._offer_split = offer_split
        self._split_by_service: dict[str, splits.StoredSplit] = {}
        self._received_ms_by_service: dict[str, int] = {}
        self._callbacks: list[collections.abc.Callable[[], None]] = []
        self._hash = 0

    @property
    def split_by_service(
        self,
    ) -> collections.abc.Mapping[str, splits.StoredSplit]:
        """Newest split of each service."""
        return self._split_by_service

    @property
    def versions_hash(self) -> int:
        """Hash of all row versions, equal on hosts with the same splits."""
        return self._hash

    def subscribe(self, on_change: collections.abc.Callable[[], None]) -> None:
        """Register a callback for newer splits; it must not block."""
        self._callbacks.append(on_change)

    def offer(
        self, offered: collections.abc.Iterable[splits.StoredSplit]
    ) -> bool:
        """Store newer splits from the platform, a peer or a committed step.

        Args:
            offered: Splits; ignored unless their row version is higher.

        Returns:
            Whether any split was newer.
        """
        is_newer = False
        for split in offered:
            stored = self._split_by_service.get(split.service)
            if stored is not None and split.row_version <= stored.row_version:
                continue
            self._split_by_service[split.service] = split
            self._received_ms_by_service[split.service] = self._clock.now_ms
            is_newer = True
            self._offer_split(split)
        if is_newer:
            text = '\n'.join(
                f'{service}\0{split.row_version}'
                for service, split in sorted(self._split_by_service.items())
            )
            self._hash = xxhash.xxh3_64_intdigest(text.encode())
            for on_change in self._callbacks:
                on_change()
        return is_newer

    def offer_messages(
        self, messages: collections.abc.Iterable[peers_pb2.Split]
    ) -> bool:
        """Store newer splits from a peer; malformed ones are logged.

        Returns:
            Whether any split was newer.
        """
        decoded = []
        for message in messages:
            try:
                decoded.append(decode_split(message))
            except (IndexError, ValueError) as error:
                _LOG.warning(
                    'split of service %s is malformed: %s',
                    message.service,
                    error,
                )
        return self.offer(decoded)

    def digests(self) -> list[peers_pb2.SplitDigest]:
        """Return the row versions of all splits."""
        return [
            peers_pb2.SplitDigest(
                service=service, row_version=split.row_version
            )
            for service, split in self._split_by_service.items()
        ]

    def compare(
        self, digests: collections.abc.Iterable[peers_pb2.SplitDigest]
    ) -> tuple[list[str], list[str]]:
        """Compare with the row versions of a peer.

        Args:
            digests: All row versions of the peer.

        Returns:
            Services for which the peer has a newer split, and services for
            which this host has one.
        """
        theirs = {item.service: item.row_version for item in digests}
        ours = {
            service: split.row_version
            for service, split in self._split_by_service.items()
        }
        return (
            [name for name in theirs if theirs[name] > ours.get(name, 0)],
            [name for name in ours if ours[name] > theirs.get(name, 0)],
        )

    def encode(
        self, services: collections.abc.Iterable[str], max_bytes: int
    ) -> list[peers_pb2.Split]:
        """Encode splits for a peer.

        Args:
            services: Services whose splits to encode.
            max_bytes: Maximum size in bytes; at least one split is encoded.
        """
        messages: list[peers_pb2.Split] = []
        size = 0
        for service in services:
            split = self._split_by_service.get(service)
            if split is None:
                continue
            message = encode_split(split)
            size += message.ByteSize()
            if size > max_bytes and messages:
                break
            messages.append(message)
        return messages

    def recent_services(self, since_ms: int) -> list[str]:
        """Return the services whose split was received since a time."""
        return [
            service
            for service, received_ms in self._received_ms_by_service.items()
            if received_ms >= since_ms
        ]


def encode_split(split: splits.StoredSplit) -> peers_pb2.Split:
    """Convert a split of at most 256 regions to its message."""
    regions = sorted(set(split.buckets))
    index_by_region = {region: index for index, region in enumerate(regions)}
    return peers_pb2.Split(
        service=split.service,
        step=split.step,
        row_version=split.row_version,
        regions=regions,
        buckets=bytes(index_by_region[name] for name in split.buckets),
    )


def decode_split(message: peers_pb2.Split) -> splits.StoredSplit:
    """Convert a message to a split.

    Raises:
        IndexError: A bucket refers to a region that is not in the message.
        ValueError: The number of buckets is wrong.
    """
    if len(message.buckets) != hash_buckets.BUCKET_COUNT:
        raise ValueError(f'{len(message.buckets)} buckets')
    regions = list(message.regions)
    return splits.StoredSplit(
        message.service,
        message.step,
        message.row_version,
        tuple(regions[index] for index in message.buckets),
    )
