"""Reload of the settings of an edge daemon while it runs."""

from __future__ import annotations

import collections.abc
import logging

from wigeonhatch import clock as clocks
from wigeonhatch import log
from wigeonhatch import outcome
from wigeonhatch.entry import edge_settings

POLL_INTERVAL_MS = 2_000
"""Interval at which the file is read, as it may change without a signal."""
_LOG = logging.getLogger(__name__)

ReadSettings = collections.abc.Callable[
    [], outcome.Success[edge_settings.EdgeSettings] | outcome.Failure
]


class SettingsReloader:
    """Apply the settings file on request and when it has changed.

    Args:
        settings: Settings in use.
        read_settings: Reads the settings file.
        apply: Puts settings into use.
        clock: Clock of the host.
    """

    def __init__(
        self,
        settings: edge_settings.EdgeSettings,
        read_settings: ReadSettings,
        apply: collections.abc.Callable[[edge_settings.EdgeSettings], None],
        clock: clocks.Clock,
    ) -> None:
        self._settings = settings
        self._read_settings = read_settings
        self._apply = apply
        self._clock = clock
        self._unusable = ''

    def reload(self) -> None:
        """Read and apply the settings; unusable ones leave those in use."""
        result = self._read_settings()
        if isinstance(result, outcome.Failure):
            self._unusable = result.detail
            log.event(_LOG, 'settings unusable', reason=result.detail)
            return
        self._unusable = ''
        changed = edge_settings.changed_fields(self._settings, result.value)
        log.event(_LOG, 'settings read again', changed=changed)
        self._settings = result.value
        self._apply(result.value)

    async def run(self) -> None:
        """Reload the settings whenever the file has changed."""
        while True:
            await self._clock.sleep_ms(POLL_INTERVAL_MS)
            result = self._read_settings()
            if isinstance(result, outcome.Failure):
                has_changed = result.detail != self._unusable
            else:
                has_changed = result.value != self._settings
            if has_changed:
                self.reload()
