"""Command line: the daemon and the operators' commands."""

from __future__ import annotations

import sys

import fire  # type: ignore[import-untyped]

from wigeonhatch import outcome
from wigeonhatch import settings as settings_module
from wigeonhatch.entry import daemon


def entry(path: str) -> None:
    """Run the daemon of an entry host.

    Args:
        path: Settings file.
    """
    result = settings_module.load_settings(path)
    if isinstance(result, outcome.Failure):
        sys.stderr.write(result.detail + '\n')
        sys.exit(result.info.exit_status)
    sys.exit(daemon.run_entry(result.value))


def main() -> None:
    """Run the command line."""
    fire.Fire({'entry': entry}, name='wigeonhatch')
