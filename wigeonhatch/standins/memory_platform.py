"""In-memory platform with fault injection, for tests and benchmarks."""

from __future__ import annotations

import collections
import dataclasses

import anyio

from wigeonhatch import clock as clocks
from wigeonhatch.platform import interface

_MAX_SNAPSHOTS = 64


@dataclasses.dataclass(slots=True)
class Faults:
    """Injected faults; tests set the fields.

    Args:
        down: Every operation returns `Unavailable` and has no effect.
        delay_ms: Latency of each operation on the platform's clock, in ms.
        stale_reads: Number of commits by which `read` and `scan` lag, and
            of list versions by which `list_hosts` lags.
        lost_responses: Number of next writes that take effect but return
            `Unknown`.
        dropped_writes: Number of next writes that have no effect and return
            `Unknown`.
    """

    down: bool = False
    delay_ms: int = 0
    stale_reads: int = 0
    lost_responses: int = 0
    dropped_writes: int = 0


class MemoryPlatform:
    """In-memory table, object store and host list.

    Implements `interface.Platform`. Clients may share one instance; `client()`
    returns a client of the same data with independent faults.

    Args:
        clock: Clock for delays and commit times.
        faults: Faults of this client; none by default.
    """

    def __init__(
        self,
        clock: clocks.Clock | None = None,
        faults: Faults | None = None,
    ) -> None:
        self.faults = faults or Faults()
        self.count_by_operation: collections.Counter[str] = (
            collections.Counter()
        )
        self._clock = clock or clocks.Clock()
        self._row_by_key: dict[str, interface.Row] = {}
        # Versions are kept after a row is deleted so that none is reused.
        self._last_version_by_key: dict[str, int] = {}
        self._object_by_name: dict[str, bytes] = {}
        self._row_snapshots: collections.deque[dict[str, interface.Row]] = (
            collections.deque(maxlen=_MAX_SNAPSHOTS)
        )
        self._lists: collections.deque[interface.HostList] = collections.deque(
            [interface.HostList(1, {})], maxlen=_MAX_SNAPSHOTS
        )

    def client(self) -> MemoryPlatform:
        """Return a client of the same data with independent faults."""
        client = MemoryPlatform(self._clock)
        client._row_by_key = self._row_by_key
        client._last_version_by_key = self._last_version_by_key
        client._object_by_name = self._object_by_name
        client._row_snapshots = self._row_snapshots
        client._lists = self._lists
        return client

    def set_hosts(
        self, state_by_name: dict[str, interface.HostState]
    ) -> interface.HostList:
        """Replace the host list and increase its version.

        Args:
            state_by_name: State of each host and target.

        Returns:
            The new list.
        """
        hosts = interface.HostList(
            self._lists[-1].version + 1, dict(state_by_name)
        )
        self._lists.append(hosts)
        return hosts

    async def read(
        self, keys: list[str]
    ) -> interface.ReadResult | interface.Unavailable:
        """Read rows; see `interface.Platform`."""
        if not await self._begin_operation('read'):
            return interface.Unavailable('platform is down')
        rows = self._get_visible_rows()
        return interface.ReadResult(
            {key: rows[key] for key in keys if key in rows},
            self._clock.now_ms,
        )

    async def scan(
        self, prefix: str
    ) -> interface.ReadResult | interface.Unavailable:
        """Read rows by prefix; see `interface.Platform`."""
        if not await self._begin_operation('scan'):
            return interface.Unavailable('platform is down')
        return interface.ReadResult(
            {
                key: row
                for key, row in sorted(self._get_visible_rows().items())
                if key.startswith(prefix)
            },
            self._clock.now_ms,
        )

    async def commit(
        self, checks: list[interface.Check], writes: list[interface.Write]
    ) -> interface.CommitResult:
        """Run one transaction; see `interface.Platform`."""
        if not await self._begin_operation('commit'):
            return interface.Unavailable('platform is down')
        if writes and self.faults.dropped_writes > 0:
            self.faults.dropped_writes -= 1
            return interface.Unknown('request or response lost')
        now_ms = self._clock.now_ms
        for check in checks:
            row = self._row_by_key.get(check.key)
            stored_version = interface.ABSENT if row is None else row.version
            if stored_version != check.version:
                return interface.Conflict(
                    {
                        item.key: self._row_by_key[item.key]
                        for item in checks
                        if item.key in self._row_by_key
                    },
                    now_ms,
                )
        version_by_key = self._apply_writes(writes, now_ms)
        if writes and self.faults.lost_responses > 0:
            self.faults.lost_responses -= 1
            return interface.Unknown('response lost')
        return interface.Committed(version_by_key, now_ms)

    async def get_object(
        self, name: str
    ) -> bytes | None | interface.Unavailable:
        """Read an object; see `interface.Platform`."""
        if not await self._begin_operation('get_object'):
            return interface.Unavailable('platform is down')
        return self._object_by_name.get(name)

    async def put_object(
        self, name: str, content: bytes
    ) -> None | interface.Unavailable | interface.Unknown:
        """Store an object; see `interface.Platform`."""
        if not await self._begin_operation('put_object'):
            return interface.Unavailable('platform is down')
        if self.faults.dropped_writes > 0:
            self.faults.dropped_writes -= 1
            return interface.Unknown('request or response lost')
        self._object_by_name[name] = content
        if self.faults.lost_responses > 0:
            self.faults.lost_responses -= 1
            return interface.Unknown('response lost')
        return None

    async def list_hosts(
        self,
    ) -> interface.HostList | interface.Unavailable:
        """Read the host list; see `interface.Platform`."""
        if not await self._begin_operation('list_hosts'):
            return interface.Unavailable('platform is down')
        lag = min(self.faults.stale_reads, len(self._lists) - 1)
        return self._lists[-1 - lag]

    async def _begin_operation(self, operation: str) -> bool:
        self.count_by_operation[operation] += 1
        if self.faults.delay_ms:
            await self._clock.sleep_ms(self.faults.delay_ms)
        else:
            await anyio.lowlevel.checkpoint()
        return not self.faults.down

    def _get_visible_rows(self) -> dict[str, interface.Row]:
        lag = min(self.faults.stale_reads, len(self._row_snapshots))
        return self._row_snapshots[-lag] if lag else self._row_by_key

    def _apply_writes(
        self, writes: list[interface.Write], now_ms: int
    ) -> dict[str, int]:
        if writes:
            self._row_snapshots.append(dict(self._row_by_key))
        version_by_key: dict[str, int] = {}
        for write in writes:
            version = self._last_version_by_key.get(write.key, 0) + 1
            self._last_version_by_key[write.key] = version
            if write.value is None:
                self._row_by_key.pop(write.key, None)
                version_by_key[write.key] = interface.ABSENT
                continue
            self._row_by_key[write.key] = interface.Row(
                write.key, write.value, version, now_ms
            )
            version_by_key[write.key] = version
        return version_by_key
