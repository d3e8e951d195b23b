"""Command line: daemons and operator commands."""

from __future__ import annotations

from wigeonhatch.cli.program import main

__all__ = ['main']
