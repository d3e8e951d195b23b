"""Entry point of `python -m wigeonhatch`."""

from __future__ import annotations

from wigeonhatch.cli import program

if __name__ == '__main__':
    program.main()
