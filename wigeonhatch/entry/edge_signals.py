"""Signals of an edge daemon."""

from __future__ import annotations

import collections.abc
import logging
import signal

from wigeonhatch import log
from wigeonhatch import pending_signals

_LOG = logging.getLogger(__name__)


async def wait_for_stop(
    signals: collections.abc.AsyncIterable[signal.Signals],
    reload: collections.abc.Callable[[], None],
) -> None:
    """Reload on SIGHUP; return on the first other signal.

    Args:
        signals: Signals of the process.
        reload: Reads the settings again. Its errors are logged, and the
            settings in use stay.
    """
    if pending_signals.take():
        _reload(reload)
    async for number in signals:
        log.event(_LOG, 'signal', name=signal.Signals(number).name)
        if number != signal.SIGHUP:
            return
        _reload(reload)


def _reload(reload: collections.abc.Callable[[], None]) -> None:
    try:
        reload()
    except Exception:
        _LOG.exception('settings unusable')
