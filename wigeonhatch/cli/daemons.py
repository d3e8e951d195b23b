"""Commands that run a daemon."""

from __future__ import annotations

import os

from wigeonhatch import outcome
from wigeonhatch import pending_signals
from wigeonhatch import settings as settings_module


def entry(settings: str) -> int:
    """Run the daemon of an entry host.

    wigeonhatch entry SETTINGS

    Examples:
      wigeonhatch entry /etc/wigeonhatch/entry-1.json
    """
    pending_signals.hold()
    loaded = settings_module.load_settings(settings)
    if isinstance(loaded, outcome.Failure):
        return _print_failure(loaded)
    # Imported only here, so that operator commands start faster.
    from wigeonhatch.entry import daemon

    return daemon.run_entry(loaded.value)


def edge(settings: str = '') -> int:
    """Run the daemon of an entry host on a platform.

    wigeonhatch edge [SETTINGS]

    Without SETTINGS, the path is read from the environment variable
    WIGEONHATCH_SETTINGS.

    Examples:
      wigeonhatch edge /etc/wigeonhatch/node.json
    """
    pending_signals.hold()
    from wigeonhatch.entry import edge_settings

    path = settings or os.environ.get(edge_settings.SETTINGS_VARIABLE, '')

    def read() -> (
        outcome.Success[edge_settings.EdgeSettings] | outcome.Failure
    ):
        return settings_module.load_validated(path, edge_settings.EdgeSettings)

    loaded = read()
    if isinstance(loaded, outcome.Failure):
        return _print_failure(loaded)
    from wigeonhatch.entry import edge_runner

    return edge_runner.run_edge(loaded.value, read)


def _print_failure(failure: outcome.Failure) -> int:
    from wigeonhatch.cli import reports

    return reports.print_failure(failure, '')
