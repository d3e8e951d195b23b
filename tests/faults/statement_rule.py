"""Rules on targets that state that they leave or want no requests."""

from __future__ import annotations

import collections
import dataclasses
import typing

from tests.faults import bounds


def process_of(host: str) -> str:
    """Name for the starts and suspensions of the process of a host."""
    return f'{host}/process'


def links_of(host: str) -> str:
    """Name for times in which a host has no links to targets."""
    return f'{host}/links'


class Disturbances(typing.Protocol):
    """Time intervals of disturbances by name."""

    def is_undisturbed(
        self, names: tuple[str, ...], start_ms: int, end_ms: int
    ) -> bool:
        """Return whether nothing named was disturbed in an interval."""


@dataclasses.dataclass(slots=True)
class _Pause:
    """Time for which a target wants no requests, and those that it got."""

    stated_ms: int
    end_ms: int
    count: int = 0


class StatementRule:
    """Check the requests of each host at targets that informed it.

    Requests are attributed to the host that received them from the caller,
    unless peers ran them for it.

    Args:
        disturbances: Disturbances of the run.
    """

    def __init__(self, disturbances: Disturbances) -> None:
        self.checked_count = 0
        self._disturbances = disturbances
        self._departure_ms_by_key: dict[tuple[str, str], int] = {}
        self._pauses_by_key: dict[tuple[str, str], list[_Pause]] = (
            collections.defaultdict(list)
        )

    def on_departure(self, target: str, host: str, now_ms: int) -> None:
        """Record a response of a leaving target that a host has passed on.

        Args:
            target: Name of the target.
            host: Name of the host.
            now_ms: Time at which the caller received it.
        """
        self._departure_ms_by_key.setdefault((target, host), now_ms)

    def on_pause(
        self, target: str, host: str, now_ms: int, duration_ms: int
    ) -> None:
        """Record that a target asked a host for a pause.

        Args:
            target: Name of the target.
            host: Name of the host.
            now_ms: Time of the response.
            duration_ms: Length of the pause.
        """
        self._pauses_by_key[target, host].append(
            _Pause(now_ms, now_ms + duration_ms)
        )

    def on_arrival(
        self, target: str, host: str, sent_ms: int, now_ms: int
    ) -> str:
        """Check a request that reached a target.

        Args:
            target: Name of the target.
            host: Name of the host.
            sent_ms: Time at which the caller sent the request.
            now_ms: Time of the arrival.

        Returns:
            The violation; empty if there is none.
        """
        self.checked_count += 1
        if not self._disturbances.is_undisturbed(
            (links_of(host),), sent_ms, now_ms
        ):
            return ''
        departure_ms = self._departure_ms_by_key.get((target, host))
        if (
            departure_ms is not None
            and sent_ms - departure_ms > bounds.DRAIN_MS
            and self._disturbances.is_undisturbed(
                (process_of(host),), departure_ms, now_ms
            )
        ):
            return f'sent {sent_ms - departure_ms} ms after the departure'
        pauses = self._pauses_by_key.get((target, host), [])
        pauses[:] = [item for item in pauses if now_ms <= item.end_ms]
        for pause in pauses:
            if now_ms - pause.stated_ms > bounds.PAUSE_NOTICE_MS:
                pause.count += 1
                if pause.count > bounds.MAX_PAUSED and (
                    self._disturbances.is_undisturbed(
                        (host,), pause.stated_ms, now_ms
                    )
                ):
                    return (
                        f'number {pause.count} in a pause that began'
                        f' {now_ms - pause.stated_ms} ms before'
                    )
        return ''
