"""Open exchanges on callers' connections.

An exchange is open from the first byte of its request until the last byte of
its response has been handed to the operating system.
"""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import enum
import typing


class Stage(enum.Enum):
    """Progress of the exchange on a connection."""

    IDLE = 'idle'
    RECEIVING = 'receiving'
    """The head of a request is incomplete."""
    RUNNING = 'running'
    """A request was received and its response is incomplete."""
    SENDING = 'sending'
    """The response waits in the transport's buffer."""
    DISCARDING = 'discarding'
    """The response was sent while the caller still sends its request. Closing
    the connection now would reset it and discard the response."""


_OPEN_STAGES = frozenset({Stage.RUNNING, Stage.SENDING, Stage.DISCARDING})


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """Exchange of a connection.

    Args:
        stage: Progress.
        request_id: ID of the latest request; empty if there is none.
        unsent_bytes: Bytes in the transport's buffer.
    """

    stage: Stage
    request_id: str = ''
    unsent_bytes: int = 0


class Connection(typing.Protocol):
    """Connection of a caller."""

    def describe_exchange(self) -> Exchange:
        """Describe the exchange on the connection."""


class ConnectionLedger:
    """Connections of callers and of peers that forward requests.

    A host may exit without losing a response once `open_exchanges` returns
    nothing.
    """

    def __init__(self) -> None:
        self._connections: set[Connection] = set()

    def add(self, connection: Connection) -> None:
        """Add a connection that has been made."""
        self._connections.add(connection)

    def remove(self, connection: Connection) -> None:
        """Remove a connection that has ended."""
        self._connections.discard(connection)

    def open_exchanges(self) -> list[Exchange]:
        """List the exchanges that an exit would cut.

        A request whose head is incomplete is not among them: it has certainly
        not run, and its caller cannot take it for accepted.
        """
        return [
            exchange
            for exchange in self._describe()
            if exchange.stage in _OPEN_STAGES
        ]

    def count_by_stage(self) -> dict[str, int]:
        """Count the connections in each stage that occurs."""
        return dict(
            collections.Counter(
                exchange.stage.value for exchange in self._describe()
            )
        )

    def _describe(self) -> collections.abc.Iterator[Exchange]:
        return (item.describe_exchange() for item in self._connections)
