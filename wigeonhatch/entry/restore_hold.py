"""State that stays in force after the store was restored from a copy.

The copy is some seconds old. Operators and targets write again what they had
written since; until then it lacks recent evacuations and shows targets that
have left as ready.
"""

from __future__ import annotations

import collections.abc

from wigeonhatch import clock as clocks
from wigeonhatch.targets import registry

HOLD_MS = 6_000
"""Time after a restore in which older state does not replace newer one. It
covers the expiry of the entries of targets that have left."""
_RETENTION_MS = 60_000
"""Time for which targets that have left are remembered; copies are newer."""


class RestoreHold:
    """Targets that have left, and evacuations, from before a restore.

    Args:
        clock: Source of monotonic time.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._end_ms: int | None = None
        self._operator_keys: set[str] = set()
        self._left_ms_by_key: dict[registry.Incarnation, int] = {}
        self._older_by_name: dict[str, registry.TargetRecord] = {}

    @property
    def is_active(self) -> bool:
        """Whether the state from before a restore is still in force."""
        return self._end_ms is not None and self._clock.now_ms < self._end_ms

    @property
    def has_expired(self) -> bool:
        """Whether it is time to call `end`."""
        return self._end_ms is not None and not self.is_active

    @property
    def operator_keys(self) -> frozenset[str]:
        """Keys of the operators' table from before the restore."""
        return frozenset(self._operator_keys)

    def begin(self, operator_keys: collections.abc.Iterable[str]) -> None:
        """Keep the present state in force.

        Args:
            operator_keys: Keys of the operators' table.
        """
        self._operator_keys.update(operator_keys)
        self._end_ms = self._clock.now_ms + HOLD_MS

    def end(self) -> list[registry.TargetRecord]:
        """Give up the state from before the restore.

        Returns:
            Entries that were kept back and are still listed.
        """
        older = list(self._older_by_name.values())
        self._operator_keys.clear()
        self._older_by_name.clear()
        self._end_ms = None
        return older

    def on_operator_removal(self, key: str) -> None:
        """Give up a key that operators have removed since."""
        self._operator_keys.discard(key)

    def on_left(
        self, targets: collections.abc.Iterable[registry.TargetRecord]
    ) -> None:
        """Remember targets that drain or are no longer listed."""
        now_ms = self._clock.now_ms
        for target in targets:
            key = target.incarnation
            self._left_ms_by_key.setdefault(key, now_ms)
        for key, left_ms in list(self._left_ms_by_key.items()):
            if left_ms < now_ms - _RETENTION_MS:
                del self._left_ms_by_key[key]

    def on_target_changes(
        self,
        changed: collections.abc.Iterable[registry.TargetRecord],
        removed: collections.abc.Iterable[str],
    ) -> None:
        """Apply entries that have been written or removed since.

        Args:
            changed: Entries that are new or have changed.
            removed: Names of targets that are no longer listed.
        """
        for name in removed:
            self._older_by_name.pop(name, None)
        for target in changed:
            self._older_by_name.pop(target.name, None)
            if target.is_draining:
                self.on_left([target])
            else:
                self._left_ms_by_key.pop(target.incarnation, 0)

    def filter_snapshot(
        self,
        listed: collections.abc.Iterable[registry.TargetRecord],
        record_by_name: collections.abc.Mapping[str, registry.TargetRecord],
    ) -> collections.abc.Iterator[registry.TargetRecord]:
        """Replace the entries of a snapshot that precede what is known.

        Args:
            listed: Entries of the snapshot.
            record_by_name: Targets that are known.
        """
        self._older_by_name.clear()
        for record in listed:
            if not self.is_active:
                yield record
                continue
            current = record_by_name.get(record.name)
            is_restarted = (
                current is not None and current.started_ms > record.started_ms
            )
            key = record.incarnation
            has_left = not record.is_draining and key in self._left_ms_by_key
            if has_left and not is_restarted:
                self._older_by_name[record.name] = record
            if not has_left and not is_restarted:
                yield record
            elif current is not None:
                yield current
