"""Records that hosts announce about themselves."""

from __future__ import annotations

import collections.abc
import dataclasses
import enum
import secrets
import typing

import xxhash

from wigeonhatch import clock as clocks
from wigeonhatch.peers import peers_pb2

_RANDOM_BITS = 22


class HostState(enum.IntEnum):
    """State that a host announces."""

    STARTING = 0
    SERVING = 1
    DRAINING = 2


# A state that only newer releases define decodes to `DRAINING`, so that the
# host receives no requests.
_STATE_BY_NUMBER = {int(state): state for state in HostState}


class Load(typing.Protocol):
    """Load of one service as counted by admission control, in slots."""

    @property
    def free(self) -> int:
        """Slots that a request without a reservation may use now."""
        ...

    @property
    def used(self) -> int:
        """Requests in flight."""
        ...

    @property
    def capacity(self) -> int:
        """Slots that the host may use now."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSummary:
    """Load of one service on the targets that a host admits to, in slots."""

    free: int
    used: int
    capacity: int


@dataclasses.dataclass(frozen=True, slots=True)
class HostRecord:
    """State of one host, announced by the host itself.

    Args:
        host: Name of the host.
        incarnation: Number that the daemon generated when it started.
        sequence: Increases whenever the contents change.
        state: State of the daemon.
        config_version: Configuration in force; 0 for none.
        load_by_service: Load of each service that the host admits to.
        acting_for: Hosts whose targets this host has taken over.
    """

    host: str
    incarnation: int
    sequence: int
    state: HostState = HostState.STARTING
    config_version: int = 0
    load_by_service: collections.abc.Mapping[str, LoadSummary] = (
        dataclasses.field(default_factory=dict)
    )
    acting_for: frozenset[str] = frozenset()

    @property
    def order(self) -> tuple[int, int]:
        """Sort key that orders the records of one host."""
        return self.incarnation, self.sequence


def generate_incarnation(clock: clocks.Clock) -> int:
    """Generate the incarnation of a daemon that starts.

    The upper bits are the wall time in ms, so that the record of a daemon
    that starts later is newer; the lower 22 bits are random.

    Args:
        clock: Clock of the host.
    """
    return (clock.wall_ms << _RANDOM_BITS) | secrets.randbits(_RANDOM_BITS)


def digest_id(host: str, incarnation: int) -> int:
    """Hash a host name and incarnation to the id used in digests."""
    return xxhash.xxh3_64_intdigest(f'{host}\0{incarnation}'.encode())


def encode_record(record: HostRecord) -> peers_pb2.HostRecord:
    """Convert a record to its message."""
    return peers_pb2.HostRecord(
        host=record.host,
        incarnation=record.incarnation,
        sequence=record.sequence,
        state=peers_pb2.HostState.Name(record.state.value),
        config_version=record.config_version,
        loads=[
            peers_pb2.ServiceLoad(
                service=service,
                free_slots=load.free,
                used_slots=load.used,
                capacity=load.capacity,
            )
            for service, load in record.load_by_service.items()
        ],
        acting_for=sorted(record.acting_for),
    )


def decode_record(message: peers_pb2.HostRecord) -> HostRecord:
    """Convert a message to a record."""
    return HostRecord(
        host=message.host,
        incarnation=message.incarnation,
        sequence=message.sequence,
        state=_STATE_BY_NUMBER.get(int(message.state), HostState.DRAINING),
        config_version=message.config_version,
        load_by_service={
            load.service: LoadSummary(
                load.free_slots, load.used_slots, load.capacity
            )
            for load in message.loads
        },
        acting_for=frozenset(message.acting_for),
    )
