"""Membership: the newest records and heartbeats of all hosts."""

from __future__ import annotations

import collections.abc
import dataclasses
import logging
import random

import xxhash

from wigeonhatch import clock as clocks
from wigeonhatch.config import model
from wigeonhatch.peers import drains
from wigeonhatch.peers import peers_pb2
from wigeonhatch.peers import records
from wigeonhatch.steering import rendezvous

_LOG = logging.getLogger(__name__)
SUSPECT_MS = 1_500
UNREACHABLE_MS = 3_000
_AGE_UNIT_MS = 100
_MAX_AGE = 600
_RETENTION_MS = 60_000
LOAD_MS_PER_HOST = 50
"""Multiplied by the number of hosts, the minimum interval between load
announcements, because each host receives the loads of all others."""
_PRUNE_HEARTBEATS = 64
MAX_DIGESTS = 1_024
"""Maximum hosts per message; of more hosts, a random sample is sent."""


class _Entry:
    __slots__ = (
        'digest_id',
        'seen_ms',
        'heartbeat',
        'received_ms',
        'message',
        'record',
        'urgent_change_ms',
    )

    def __init__(self, record: records.HostRecord, now_ms: int) -> None:
        self.record = record
        self.message = records.encode_record(record)
        self.digest_id = records.digest_id(record.host, record.incarnation)
        self.heartbeat = 0
        # Only a heartbeat shows that the host is alive; a record may have
        # been relayed by other hosts.
        self.seen_ms = now_ms - UNREACHABLE_MS
        self.received_ms = now_ms
        self.urgent_change_ms = now_ms

    def raise_config_version(self, config_version: int) -> None:
        """Apply a newer configuration version received with a heartbeat."""
        if config_version > self.record.config_version:
            self.record = dataclasses.replace(
                self.record, config_version=config_version
            )
            self.message.config_version = config_version


class Membership:
    """Records and heartbeats of all hosts, and drains from all sources.

    Args:
        host: Name of this host.
        clock: Clock of this host.
        incarnation: Incarnation of this daemon; generated if None.
    """

    def __init__(
        self,
        host: str,
        clock: clocks.Clock,
        incarnation: int | None = None,
    ) -> None:
        self.drains = drains.DrainRegister(clock)
        self.is_superseded = False
        self.stale_count = 0
        self._clock = clock
        self._host = host
        if incarnation is None:
            incarnation = records.generate_incarnation(clock)
        self._entry_by_host: dict[str, _Entry] = {}
        self._entry_by_id: dict[int, _Entry] = {}
        self._cached_entries: list[_Entry] | None = None
        self._cached_ids_hash: int | None = None
        self._actors_by_host: dict[str, list[str]] = {}
        self._configured_hosts: frozenset[str] = frozenset()
        self._callbacks: list[collections.abc.Callable[[], None]] = []
        self._pending_changes: dict[str, object] = {}
        self._own_loads: dict[str, records.LoadSummary] = {}
        self._loads_announced_ms = clock.now_ms - LOAD_MS_PER_HOST
        self._own = _Entry(
            records.HostRecord(host, incarnation, 1), clock.now_ms
        )
        self._put(self._own)

    @property
    def host(self) -> str:
        """Name of this host."""
        return self._host

    @property
    def incarnation(self) -> int:
        """Incarnation of this daemon; final once it has left STARTING."""
        return self._own.record.incarnation

    @property
    def hosts(self) -> collections.abc.Collection[str]:
        """Names of all hosts that have a record, including this one."""
        return self._entry_by_host.keys()

    def record(self, host: str) -> records.HostRecord | None:
        """Return the newest record of a host, regardless of its age."""
        entry = self._entry_by_host.get(host)
        return None if entry is None else entry.record

    def heartbeat_age_ms(self, host: str) -> int | None:
        """Return the age of the newest heartbeat of a host, in ms.

        Args:
            host: Name of the host.

        Returns:
            The age by the clock of this host; None for an unknown host.
        """
        entry = self._entry_by_host.get(host)
        if entry is None:
            return None
        if entry is self._own:
            return 0
        return self._clock.now_ms - entry.seen_ms

    def is_suspect(self, host: str) -> bool:
        """Return whether the newest heartbeat is at least 1,500 ms old."""
        age_ms = self.heartbeat_age_ms(host)
        return age_ms is None or age_ms >= SUSPECT_MS

    def is_reachable(self, host: str) -> bool:
        """Return whether the newest heartbeat is less than 3,000 ms old."""
        age_ms = self.heartbeat_age_ms(host)
        return age_ms is not None and age_ms < UNREACHABLE_MS

    def is_serving(self, host: str) -> bool:
        """Return whether a host is reachable, serving and not draining."""
        entry = self._entry_by_host.get(host)
        return (
            entry is not None
            and entry.record.state is records.HostState.SERVING
            and host not in self.drains.names
            and self.is_reachable(host)
        )

    def actor_for(self, host: str) -> str | None:
        """Return the reachable host that has taken over a host's targets."""
        actors = [
            actor
            for actor in self._actors_by_host.get(host, ())
            if self.is_reachable(actor)
        ]
        if len(actors) > 1:
            return rendezvous.rank(actors, f'standby/{host}')[0]
        return actors[0] if actors else None

    def load(self, host: str, service: str) -> records.LoadSummary | None:
        """Return the newest load that a host announced for a service."""
        entry = self._entry_by_host.get(host)
        if entry is None:
            return None
        return entry.record.load_by_service.get(service)

    def draining(self) -> frozenset[str]:
        """Return the draining hosts and targets, by any source."""
        return self.drains.names

    def subscribe(self, on_change: collections.abc.Callable[[], None]) -> None:
        """Register a callback for changes that peers must receive at once.

        These are changes of a host's state, incarnation or takeovers, and
        of drains. Changes of loads and versions do not call it.

        Args:
            on_change: Called after each change; must not block.
        """
        self._callbacks.append(on_change)

    def configure(self, versioned: model.VersionedConfig) -> None:
        """Apply the hosts and drains of a configuration.

        Args:
            versioned: Configuration in force.
        """
        self._configured_hosts = frozenset(versioned.config.host_by_name)
        self._own.raise_config_version(versioned.version)
        self._own.heartbeat += 1
        self._prune_removed_hosts()
        if self.drains.configure(versioned):
            self._notify()

    def set_state(self, state: records.HostState) -> None:
        """Change the state of this host.

        Args:
            state: New state; subscribers are notified at once.
        """
        if state is not self._own.record.state:
            self._pending_changes['state'] = state
            self._apply_pending_changes()
            self._notify()

    def set_acting_for(self, hosts: frozenset[str]) -> None:
        """Set the hosts whose targets this host has taken over.

        Args:
            hosts: Names of the hosts.
        """
        if hosts != self._own.record.acting_for:
            self._pending_changes['acting_for'] = hosts
            self._apply_pending_changes()
            self._notify()

    def set_loads(
        self,
        load_by_service: collections.abc.Mapping[str, records.Load],
    ) -> None:
        """Set the loads that this host announces.

        Args:
            load_by_service: Loads of the services that it admits to;
                announced at most once per 50 ms times the number of hosts.
        """
        self._own_loads = {
            service: records.LoadSummary(
                max(0, load.free), load.used, load.capacity
            )
            for service, load in load_by_service.items()
        }

    def on_target_health(self, target: str, draining: bool) -> None:
        """Record the drain state in a health response of a target.

        Args:
            target: Name of the target.
            draining: Whether the target asked for no new requests.
        """
        if self.drains.observe(target, draining, self._host):
            self._notify()

    def on_leaving(self, leaving: drains.LeavingList) -> None:
        """Apply the leaving names of the platform's host list.

        Args:
            leaving: Names and version; ignored unless it is newer.
        """
        if self.drains.offer_leaving(leaving):
            self._notify()

    def on_drains(
        self, observations: collections.abc.Iterable[drains.TargetDrain]
    ) -> None:
        """Merge drain observations of other hosts about targets."""
        if self.drains.merge(observations):
            self._notify()

    def announce(self) -> records.HostRecord:
        """Apply pending changes of this host and increment its heartbeat.

        Returns:
            Record of this host, with a higher sequence if it changed.
        """
        load_interval_ms = LOAD_MS_PER_HOST * len(self._entry_by_host)
        now_ms = self._clock.now_ms
        if now_ms - self._loads_announced_ms >= load_interval_ms:
            self._loads_announced_ms = now_ms
            self._pending_changes['load_by_service'] = self._own_loads
        self._apply_pending_changes()
        self._own.heartbeat += 1
        if self._own.heartbeat % _PRUNE_HEARTBEATS == 0:
            self._prune_removed_hosts()
        self._own.seen_ms = now_ms
        return self._own.record

    @property
    def own_message(self) -> peers_pb2.HostRecord:
        """Encoded record of this host."""
        return self._own.message

    @property
    def own_heartbeat(self) -> int:
        """Number of announcements of this host."""
        return self._own.heartbeat

    def on_records(
        self, messages: collections.abc.Iterable[peers_pb2.HostRecord]
    ) -> None:
        """Merge records from a peer; older ones are ignored.

        Args:
            messages: Encoded records.
        """
        is_urgent = False
        for message in messages:
            is_urgent |= self._on_record(message)
        if is_urgent:
            self._notify()

    def on_heartbeat(
        self,
        host: str,
        incarnation: int,
        heartbeat: int,
        config_version: int,
    ) -> None:
        """Apply a heartbeat received from the host itself."""
        entry = self._entry_by_host.get(host)
        if entry is not None and entry.record.incarnation == incarnation:
            self._refresh(entry, heartbeat, self._clock.now_ms, config_version)

    def make_digests(
        self, rng: random.Random, with_ids: bool = False
    ) -> tuple[peers_pb2.Digests, bool]:
        """Encode the digests of the hosts that this host knows.

        Args:
            rng: Samples the hosts if they exceed `MAX_DIGESTS`.
            with_ids: Whether the receiver needs the ids.

        Returns:
            The digests, and whether they are partial.
        """
        entries = self._sorted_entries()
        if len(entries) > MAX_DIGESTS:
            return self._encode_digests(rng.sample(entries, MAX_DIGESTS)), True
        digests = self._encode_digests(entries)
        if not with_ids:
            self._omit_ids(digests)
        return digests, False

    def can_resolve(self, digests: peers_pb2.Digests) -> bool:
        """Return whether digests have ids or cover the same hosts as here."""
        return not digests.ids_hash or digests.ids_hash == self._ids_hash()

    def on_digests(self, digests: peers_pb2.Digests) -> None:
        """Apply newer heartbeats from the digests of a peer."""
        now_ms = self._clock.now_ms
        for entry, heartbeat, age, lag in zip(
            self._find_entries(digests),
            digests.heartbeats,
            digests.ages,
            digests.config_lags,
        ):
            if entry is not None and heartbeat > entry.heartbeat:
                version = digests.config_version - lag
                self._refresh(
                    entry, heartbeat, now_ms - age * _AGE_UNIT_MS, version
                )

    def compare(
        self, digests: peers_pb2.Digests, is_partial: bool, max_bytes: int
    ) -> tuple[list[peers_pb2.HostRecord], peers_pb2.Digests]:
        """Find the records and heartbeats that the sender of digests lacks.

        Args:
            digests: Digests of the sender.
            is_partial: Whether the digests are a sample of the hosts.
            max_bytes: Maximum bytes of records; at least one is returned.

        Returns:
            Newer records, most recently received first, and digests of
            these and of the hosts with a newer heartbeat.
        """
        missing: list[_Entry] = []
        newer: list[_Entry] = []
        for entry, sequence, heartbeat in zip(
            self._find_entries(digests), digests.sequences, digests.heartbeats
        ):
            if entry is None:
                continue
            if sequence < entry.record.sequence:
                missing.append(entry)
            elif heartbeat < entry.heartbeat:
                newer.append(entry)
        if not is_partial and not digests.ids_hash:
            sender_ids = set(digests.ids)
            missing.extend(
                entry
                for digest_id, entry in self._entry_by_id.items()
                if digest_id not in sender_ids
            )
        selected: list[_Entry] = []
        size = 0
        for entry in sorted(
            missing, key=lambda entry: entry.received_ms, reverse=True
        ):
            size += entry.message.ByteSize()
            if size > max_bytes and selected:
                break
            selected.append(entry)
        return (
            [entry.message for entry in selected],
            self._shorter_digests([*newer, *selected], digests.ids_hash),
        )

    def recent_messages(self, since_ms: int) -> list[peers_pb2.HostRecord]:
        """Return the records of peers with an urgent change since a time."""
        return [
            entry.message
            for entry in self._entry_by_host.values()
            if entry.urgent_change_ms >= since_ms and entry is not self._own
        ]

    def newer_own_record(
        self, message: peers_pb2.HostRecord
    ) -> peers_pb2.HostRecord | None:
        """Return the record of a newer incarnation of a sender, if known."""
        entry = self._entry_by_host.get(message.host)
        if entry is None or entry.record.incarnation <= message.incarnation:
            return None
        return entry.message

    def _sorted_entries(self) -> list[_Entry]:
        if self._cached_entries is None:
            self._cached_entries = [
                self._entry_by_id[digest_id]
                for digest_id in sorted(self._entry_by_id)
            ]
        return self._cached_entries

    def _ids_hash(self) -> int:
        if self._cached_ids_hash is None:
            self._cached_ids_hash = xxhash.xxh3_64_intdigest(
                b''.join(
                    digest_id.to_bytes(8, 'big')
                    for digest_id in sorted(self._entry_by_id)
                )
            )
        return self._cached_ids_hash

    def _find_entries(
        self, digests: peers_pb2.Digests
    ) -> collections.abc.Iterable[_Entry | None]:
        if not digests.ids_hash:
            return map(self._entry_by_id.get, digests.ids)
        return self._sorted_entries() if self.can_resolve(digests) else ()

    def _omit_ids(self, digests: peers_pb2.Digests) -> None:
        digests.ClearField('ids')
        digests.ids_hash = self._ids_hash()

    def _shorter_digests(
        self, entries: list[_Entry], ids_hash: int
    ) -> peers_pb2.Digests:
        # An entry takes 5 bytes without its id and 13 bytes with it, so all
        # hosts without ids can take less than a subset with ids.
        ids_are_shorter = 13 * len(entries) < 5 * len(self._entry_by_id)
        if ids_are_shorter or ids_hash != self._ids_hash():
            return self._encode_digests(entries)
        digests = self._encode_digests(self._sorted_entries())
        self._omit_ids(digests)
        return digests

    def _on_record(self, message: peers_pb2.HostRecord) -> bool:
        if message.host == self._host:
            self._on_own_incarnation(message.incarnation)
            return False
        current = self._entry_by_host.get(message.host)
        order = (message.incarnation, message.sequence)
        if current is not None and order <= current.record.order:
            if message.incarnation < current.record.incarnation:
                self.stale_count += 1
            return False
        if current is None and not self._is_configured(message.host):
            # Accepting it would restore a record that peers are deleting.
            return False
        record = records.decode_record(message)
        entry = _Entry(record, self._clock.now_ms)
        if current is not None:
            self._remove_digest_id(current)
            if current.record.incarnation == record.incarnation:
                entry.raise_config_version(current.record.config_version)
                entry.heartbeat = current.heartbeat
                entry.seen_ms = current.seen_ms
        previous = None if current is None else current.record
        is_urgent = (
            previous is None
            or previous.incarnation != record.incarnation
            or previous.state is not record.state
            or previous.acting_for != record.acting_for
        )
        if not is_urgent and current is not None:
            entry.urgent_change_ms = current.urgent_change_ms
        self._put(entry)
        if previous is None or previous.acting_for != record.acting_for:
            self._rebuild_actor_index()
        return is_urgent

    def _on_own_incarnation(self, incarnation: int) -> None:
        own = self._own.record
        if incarnation <= own.incarnation:
            if incarnation < own.incarnation:
                self.stale_count += 1
            return
        if own.state is records.HostState.STARTING:
            # The wall clock was set back between two starts; nothing has
            # been issued under the generated incarnation yet.
            _LOG.warning(
                'a previous daemon had incarnation %d; using a higher one',
                incarnation,
            )
            self._replace_own_record(
                dataclasses.replace(own, incarnation=incarnation + 1)
            )
        elif not self.is_superseded:
            self.is_superseded = True
            _LOG.error(
                'host %s was superseded by incarnation %d; this daemon has %d',
                self._host,
                incarnation,
                own.incarnation,
            )
            self._notify()

    def _refresh(
        self,
        entry: _Entry,
        heartbeat: int,
        seen_ms: int,
        config_version: int,
    ) -> None:
        if heartbeat <= entry.heartbeat or entry is self._own:
            return
        entry.heartbeat = heartbeat
        entry.seen_ms = max(entry.seen_ms, seen_ms)
        entry.raise_config_version(config_version)

    def _encode_digests(
        self, entries: collections.abc.Collection[_Entry]
    ) -> peers_pb2.Digests:
        now_ms = self._clock.now_ms
        half = _AGE_UNIT_MS // 2
        version = max(
            (entry.record.config_version for entry in entries), default=0
        )
        return peers_pb2.Digests(
            ids=[entry.digest_id for entry in entries],
            sequences=[entry.record.sequence for entry in entries],
            heartbeats=[entry.heartbeat for entry in entries],
            ages=[
                min(_MAX_AGE, (now_ms - entry.seen_ms + half) // _AGE_UNIT_MS)
                for entry in entries
            ],
            config_version=version,
            config_lags=[
                version - entry.record.config_version for entry in entries
            ],
        )

    def _apply_pending_changes(self) -> None:
        own = self._own.record
        changes = {
            name: value
            for name, value in self._pending_changes.items()
            if getattr(own, name) != value
        }
        self._pending_changes.clear()
        if changes:
            self._replace_own_record(
                dataclasses.replace(
                    own,
                    sequence=own.sequence + 1,
                    **changes,  # type: ignore[arg-type]
                )
            )

    def _replace_own_record(self, record: records.HostRecord) -> None:
        entry = _Entry(record, self._clock.now_ms)
        entry.heartbeat = self._own.heartbeat
        entry.seen_ms = self._own.seen_ms
        self._remove_digest_id(self._own)
        is_actor_changed = record.acting_for != self._own.record.acting_for
        self._own = entry
        self._put(entry)
        if is_actor_changed:
            self._rebuild_actor_index()

    def _put(self, entry: _Entry) -> None:
        self._entry_by_host[entry.record.host] = entry
        self._entry_by_id[entry.digest_id] = entry
        self._cached_entries = None
        self._cached_ids_hash = None

    def _remove_digest_id(self, entry: _Entry) -> None:
        del self._entry_by_id[entry.digest_id]
        self._cached_entries = None
        self._cached_ids_hash = None

    def _rebuild_actor_index(self) -> None:
        self._actors_by_host = {}
        for host, entry in self._entry_by_host.items():
            for other in entry.record.acting_for:
                self._actors_by_host.setdefault(other, []).append(host)

    def _is_configured(self, host: str) -> bool:
        return not self._configured_hosts or host in self._configured_hosts

    def _prune_removed_hosts(self) -> None:
        cutoff_ms = self._clock.now_ms - _RETENTION_MS
        for host, entry in list(self._entry_by_host.items()):
            if (
                not self._is_configured(host)
                and entry is not self._own
                and max(entry.seen_ms, entry.received_ms) < cutoff_ms
            ):
                del self._entry_by_host[host]
                self._remove_digest_id(entry)
        self._rebuild_actor_index()

    def _notify(self) -> None:
        for on_change in self._callbacks:
            try:
                on_change()
            except Exception:
                _LOG.exception('membership subscriber failed')
