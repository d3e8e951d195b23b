"""What this host knows of all hosts."""

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
_FORGET_MS = 60_000
LOAD_MS_PER_HOST = 50
"""Each host receives the loads of all others, so the time between two
announcements of loads grows with the number of hosts."""
_FORGET_BEATS = 64
MAX_DIGESTS = 1_024
"""Hosts covered by one message; more are sampled."""


class _Entry:
    __slots__ = (
        'digest_id',
        'heard_ms',
        'heartbeat',
        'learnt_ms',
        'message',
        'record',
        'urgent_ms',
    )

    def __init__(self, record: records.HostRecord, now_ms: int) -> None:
        self.record = record
        self.message = records.encode_record(record)
        self.digest_id = records.digest_id(record.host, record.incarnation)
        self.heartbeat = 0
        # A record that others pass on does not show that the host lives;
        # only a heartbeat does.
        self.heard_ms = now_ms - UNREACHABLE_MS
        self.learnt_ms = now_ms
        self.urgent_ms = now_ms

    def raise_version(self, config_version: int) -> None:
        """Take a configuration version that came without the record."""
        if config_version > self.record.config_version:
            self.record = dataclasses.replace(
                self.record, config_version=config_version
            )
            self.message.config_version = config_version


class Membership:
    """Records of all hosts, drains, and the record of this host.

    Args:
        host: Name of this host.
        clock: Clock of this host.
        incarnation: Incarnation of this daemon; drawn if None.
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
        self._ordered: list[_Entry] | None = None
        self._ids_hash_value: int | None = None
        self._actors_by_host: dict[str, list[str]] = {}
        self._configured_hosts: frozenset[str] = frozenset()
        self._callbacks: list[collections.abc.Callable[[], None]] = []
        self._pending: dict[str, object] = {}
        self._loads: dict[str, records.LoadSummary] = {}
        self._loads_ms = clock.now_ms - LOAD_MS_PER_HOST
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
        """Names of all hosts with a record, including this one."""
        return self._entry_by_host.keys()

    def record(self, host: str) -> records.HostRecord | None:
        """Return the newest record of a host, however old it is."""
        entry = self._entry_by_host.get(host)
        return None if entry is None else entry.record

    def heartbeat_age_ms(self, host: str) -> int | None:
        """Return the time since a host announced itself, in ms.

        Args:
            host: Name of the host.

        Returns:
            The time by the clock of this host; None for an unknown host.
        """
        entry = self._entry_by_host.get(host)
        if entry is None:
            return None
        if entry is self._own:
            return 0
        return self._clock.now_ms - entry.heard_ms

    def is_suspect(self, host: str) -> bool:
        """Tell whether nothing newer arrived for 1,500 ms."""
        heartbeat_age_ms = self.heartbeat_age_ms(host)
        return heartbeat_age_ms is None or heartbeat_age_ms >= SUSPECT_MS

    def is_reachable(self, host: str) -> bool:
        """Tell whether something newer arrived within 3,000 ms."""
        heartbeat_age_ms = self.heartbeat_age_ms(host)
        return (
            heartbeat_age_ms is not None and heartbeat_age_ms < UNREACHABLE_MS
        )

    def is_serving(self, host: str) -> bool:
        """Tell whether a host is reachable, ready and not draining."""
        entry = self._entry_by_host.get(host)
        return (
            entry is not None
            and entry.record.state is records.HostState.SERVING
            and host not in self.drains.names
            and self.is_reachable(host)
        )

    def actor_for(self, host: str) -> str | None:
        """Name the reachable host that has taken over a host's targets."""
        actors = [
            actor
            for actor in self._actors_by_host.get(host, ())
            if self.is_reachable(actor)
        ]
        if len(actors) > 1:
            return rendezvous.rank(actors, f'standby/{host}')[0]
        return actors[0] if actors else None

    def load(self, host: str, service: str) -> records.LoadSummary | None:
        """Return the load that a host last announced for a service."""
        entry = self._entry_by_host.get(host)
        if entry is None:
            return None
        return entry.record.load_by_service.get(service)

    def draining(self) -> frozenset[str]:
        """Return the draining hosts and targets, by any source."""
        return self.drains.names

    def subscribe(self, on_change: collections.abc.Callable[[], None]) -> None:
        """Register a callback for changes that must spread at once.

        These are changes of a host's state, incarnation or takeovers, and
        of drains; changes of loads and versions are not reported.

        Args:
            on_change: Called after each change; must not block.
        """
        self._callbacks.append(on_change)

    def configure(self, versioned: model.VersionedConfig) -> None:
        """Take hosts and drains from a configuration.

        Args:
            versioned: Configuration in force.
        """
        self._configured_hosts = frozenset(versioned.config.host_by_name)
        self._own.raise_version(versioned.version)
        self._own.heartbeat += 1
        self._forget_removed()
        if self.drains.configure(versioned):
            self._notify()

    def set_state(self, state: records.HostState) -> None:
        """Change the state of this host.

        Args:
            state: New state; announced at once.
        """
        if state is not self._own.record.state:
            self._pending['state'] = state
            self._change_own()
            self._notify()

    def set_acting_for(self, hosts: frozenset[str]) -> None:
        """Change for which hosts this host acts.

        Args:
            hosts: Hosts whose targets this host has taken over.
        """
        if hosts != self._own.record.acting_for:
            self._pending['acting_for'] = hosts
            self._change_own()
            self._notify()

    def set_loads(
        self,
        load_by_service: collections.abc.Mapping[str, records.Load],
    ) -> None:
        """Change the loads that this host announces.

        Args:
            load_by_service: Loads of the services that it admits to; sent
                with an announcement, at most once in 50 ms for each host.
        """
        self._loads = {
            service: records.LoadSummary(
                max(0, load.free), load.used, load.capacity
            )
            for service, load in load_by_service.items()
        }

    def on_target_health(self, target: str, draining: bool) -> None:
        """Take a health response of a target.

        Args:
            target: Name of the target.
            draining: Whether the response asked for no new requests.
        """
        if self.drains.observe(target, draining, self._host):
            self._notify()

    def on_leaving(self, leaving: drains.LeavingList) -> None:
        """Take the leaving names of the platform's host list.

        Args:
            leaving: Names and version; ignored unless it is newer.
        """
        if self.drains.offer_leaving(leaving):
            self._notify()

    def on_drains(
        self, observations: collections.abc.Iterable[drains.TargetDrain]
    ) -> None:
        """Take observations of other hosts about targets."""
        if self.drains.merge(observations):
            self._notify()

    def announce(self) -> records.HostRecord:
        """Announce this host: apply pending changes, count a heartbeat.

        Returns:
            Record of this host; its sequence is higher if it changed.
        """
        load_interval_ms = LOAD_MS_PER_HOST * len(self._entry_by_host)
        now_ms = self._clock.now_ms
        if now_ms - self._loads_ms >= load_interval_ms:
            self._loads_ms = now_ms
            self._pending['load_by_service'] = self._loads
        self._change_own()
        self._own.heartbeat += 1
        if self._own.heartbeat % _FORGET_BEATS == 0:
            self._forget_removed()
        self._own.heard_ms = now_ms
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
        """Take records from a peer; older ones are ignored.

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
        """Take a heartbeat that the host itself sent."""
        entry = self._entry_by_host.get(host)
        if entry is not None and entry.record.incarnation == incarnation:
            self._hear(entry, heartbeat, self._clock.now_ms, config_version)

    def make_digests(
        self, rng: random.Random, with_ids: bool = False
    ) -> tuple[peers_pb2.Digests, bool]:
        """Describe what this host knows.

        Args:
            rng: Chooses the hosts if there are too many.
            with_ids: Whether the receiver needs the ids.

        Returns:
            The digests, and whether they are partial.
        """
        ordered = self._order()
        if len(ordered) > MAX_DIGESTS:
            return self._digests_of(rng.sample(ordered, MAX_DIGESTS)), True
        digests = self._digests_of(ordered)
        if not with_ids:
            self._leave_out_ids(digests)
        return digests, False

    def can_resolve(self, digests: peers_pb2.Digests) -> bool:
        """Tell whether digests have ids, or need none."""
        return not digests.ids_hash or digests.ids_hash == self._ids_hash()

    def on_digests(self, digests: peers_pb2.Digests) -> None:
        """Take heartbeats that a peer knows of."""
        now_ms = self._clock.now_ms
        for entry, heartbeat, age, lag in zip(
            self._entries_of(digests),
            digests.heartbeats,
            digests.ages,
            digests.config_lags,
        ):
            if entry is not None and heartbeat > entry.heartbeat:
                version = digests.config_version - lag
                self._hear(
                    entry, heartbeat, now_ms - age * _AGE_UNIT_MS, version
                )

    def compare(
        self, digests: peers_pb2.Digests, is_partial: bool, max_bytes: int
    ) -> tuple[list[peers_pb2.HostRecord], peers_pb2.Digests]:
        """Find what the sender of digests does not know.

        Args:
            digests: Digests of the sender.
            is_partial: Whether the sender left hosts out.
            max_bytes: Size of the records to return, in bytes.

        Returns:
            Newer records, and digests of hosts with a newer heartbeat and
            of the returned records.
        """
        lacking: list[_Entry] = []
        newer: list[_Entry] = []
        for entry, sequence, heartbeat in zip(
            self._entries_of(digests), digests.sequences, digests.heartbeats
        ):
            if entry is None:
                continue
            if sequence < entry.record.sequence:
                lacking.append(entry)
            elif heartbeat < entry.heartbeat:
                newer.append(entry)
        if not is_partial and not digests.ids_hash:
            known = set(digests.ids)
            lacking.extend(
                entry
                for digest_id, entry in self._entry_by_id.items()
                if digest_id not in known
            )
        chosen: list[_Entry] = []
        size = 0
        for entry in sorted(
            lacking, key=lambda entry: entry.learnt_ms, reverse=True
        ):
            size += entry.message.ByteSize()
            if size > max_bytes and chosen:
                break
            chosen.append(entry)
        return (
            [entry.message for entry in chosen],
            self._shortest_digests([*newer, *chosen], digests.ids_hash),
        )

    def recent_messages(self, since_ms: int) -> list[peers_pb2.HostRecord]:
        """Return the records with an urgent change after a time."""
        return [
            entry.message
            for entry in self._entry_by_host.values()
            if entry.urgent_ms >= since_ms and entry is not self._own
        ]

    def newer_own_record(
        self, message: peers_pb2.HostRecord
    ) -> peers_pb2.HostRecord | None:
        """Return the known record that supersedes a sender's own."""
        entry = self._entry_by_host.get(message.host)
        if entry is None or entry.record.incarnation <= message.incarnation:
            return None
        return entry.message

    def _order(self) -> list[_Entry]:
        if self._ordered is None:
            self._ordered = [
                self._entry_by_id[digest_id]
                for digest_id in sorted(self._entry_by_id)
            ]
        return self._ordered

    def _ids_hash(self) -> int:
        if self._ids_hash_value is None:
            self._ids_hash_value = xxhash.xxh3_64_intdigest(
                b''.join(
                    digest_id.to_bytes(8, 'big')
                    for digest_id in sorted(self._entry_by_id)
                )
            )
        return self._ids_hash_value

    def _entries_of(
        self, digests: peers_pb2.Digests
    ) -> collections.abc.Iterable[_Entry | None]:
        if not digests.ids_hash:
            return map(self._entry_by_id.get, digests.ids)
        return self._order() if self.can_resolve(digests) else ()

    def _leave_out_ids(self, digests: peers_pb2.Digests) -> None:
        digests.ClearField('ids')
        digests.ids_hash = self._ids_hash()

    def _shortest_digests(
        self, entries: list[_Entry], ids_hash: int
    ) -> peers_pb2.Digests:
        # Without its id an entry has 5 instead of 13 bytes, so that all
        # hosts without ids are shorter than many hosts with ids.
        is_short = 13 * len(entries) < 5 * len(self._entry_by_id)
        if is_short or ids_hash != self._ids_hash():
            return self._digests_of(entries)
        digests = self._digests_of(self._order())
        self._leave_out_ids(digests)
        return digests

    def _on_record(self, message: peers_pb2.HostRecord) -> bool:
        if message.host == self._host:
            self._on_own_name(message.incarnation)
            return False
        known = self._entry_by_host.get(message.host)
        order = (message.incarnation, message.sequence)
        if known is not None and order <= known.record.order:
            if message.incarnation < known.record.incarnation:
                self.stale_count += 1
            return False
        if known is None and not self._is_configured(message.host):
            # Taking it would revive records that others are forgetting.
            return False
        record = records.decode_record(message)
        entry = _Entry(record, self._clock.now_ms)
        if known is not None:
            self._remove_id(known)
            if known.record.incarnation == record.incarnation:
                entry.raise_version(known.record.config_version)
                entry.heartbeat = known.heartbeat
                entry.heard_ms = known.heard_ms
        before = None if known is None else known.record
        is_urgent = (
            before is None
            or before.incarnation != record.incarnation
            or before.state is not record.state
            or before.acting_for != record.acting_for
        )
        if not is_urgent and known is not None:
            entry.urgent_ms = known.urgent_ms
        self._put(entry)
        if before is None or before.acting_for != record.acting_for:
            self._index_actors()
        return is_urgent

    def _on_own_name(self, incarnation: int) -> None:
        own = self._own.record
        if incarnation <= own.incarnation:
            if incarnation < own.incarnation:
                self.stale_count += 1
            return
        if own.state is records.HostState.STARTING:
            # The wall clock went back between two starts; nothing was
            # issued under the drawn incarnation yet.
            _LOG.warning(
                'an earlier daemon had incarnation %d; starting above it',
                incarnation,
            )
            self._replace_own(
                dataclasses.replace(own, incarnation=incarnation + 1)
            )
        elif not self.is_superseded:
            self.is_superseded = True
            _LOG.error(
                'host %s was replaced by incarnation %d; this daemon has %d',
                self._host,
                incarnation,
                own.incarnation,
            )
            self._notify()

    def _hear(
        self,
        entry: _Entry,
        heartbeat: int,
        heard_ms: int,
        config_version: int,
    ) -> None:
        if heartbeat <= entry.heartbeat or entry is self._own:
            return
        entry.heartbeat = heartbeat
        entry.heard_ms = max(entry.heard_ms, heard_ms)
        entry.raise_version(config_version)

    def _digests_of(
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
                min(_MAX_AGE, (now_ms - entry.heard_ms + half) // _AGE_UNIT_MS)
                for entry in entries
            ],
            config_version=version,
            config_lags=[
                version - entry.record.config_version for entry in entries
            ],
        )

    def _change_own(self) -> None:
        own = self._own.record
        changes = {
            name: value
            for name, value in self._pending.items()
            if getattr(own, name) != value
        }
        self._pending.clear()
        if changes:
            self._replace_own(
                dataclasses.replace(
                    own,
                    sequence=own.sequence + 1,
                    **changes,  # type: ignore[arg-type]
                )
            )

    def _replace_own(self, record: records.HostRecord) -> None:
        entry = _Entry(record, self._clock.now_ms)
        entry.heartbeat = self._own.heartbeat
        entry.heard_ms = self._own.heard_ms
        self._remove_id(self._own)
        is_actor_changed = record.acting_for != self._own.record.acting_for
        self._own = entry
        self._put(entry)
        if is_actor_changed:
            self._index_actors()

    def _put(self, entry: _Entry) -> None:
        self._entry_by_host[entry.record.host] = entry
        self._entry_by_id[entry.digest_id] = entry
        self._ordered = None
        self._ids_hash_value = None

    def _remove_id(self, entry: _Entry) -> None:
        del self._entry_by_id[entry.digest_id]
        self._ordered = None
        self._ids_hash_value = None

    def _index_actors(self) -> None:
        self._actors_by_host = {}
        for host, entry in self._entry_by_host.items():
            for other in entry.record.acting_for:
                self._actors_by_host.setdefault(other, []).append(host)

    def _is_configured(self, host: str) -> bool:
        return not self._configured_hosts or host in self._configured_hosts

    def _forget_removed(self) -> None:
        limit_ms = self._clock.now_ms - _FORGET_MS
        for host, entry in list(self._entry_by_host.items()):
            if (
                not self._is_configured(host)
                and entry is not self._own
                and max(entry.heard_ms, entry.learnt_ms) < limit_ms
            ):
                del self._entry_by_host[host]
                self._remove_id(entry)
        self._index_actors()

    def _notify(self) -> None:
        for on_change in self._callbacks:
            try:
                on_change()
            except Exception:
                _LOG.exception('a membership subscriber failed')
