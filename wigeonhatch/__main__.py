"""Run the command line with `python -m wigeonhatch`."""

from __future__ import annotations

from wigeonhatch import cli

if __name__ == '__main__':
    cli.main()
