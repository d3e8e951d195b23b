"""Run the daemon of an entry host on a platform."""

from __future__ import annotations

from wigeonhatch import clock as clocks
from wigeonhatch import log
from wigeonhatch.entry import edge_daemon
from wigeonhatch.entry import edge_settings
from wigeonhatch.entry import runner
from wigeonhatch.entry import settings_reload


def run_edge(
    settings: edge_settings.EdgeSettings,
    read_settings: settings_reload.ReadSettings,
) -> int:
    """Run the daemon until SIGTERM.

    Args:
        settings: Validated settings.
        read_settings: Reads the settings file again.

    Returns:
        Exit status.
    """
    log.configure_logging(settings.log_level)

    async def main() -> None:
        await edge_daemon.EdgeDaemon(
            settings, clocks.Clock(), read_settings
        ).run()

    return runner.run_daemon(main)
