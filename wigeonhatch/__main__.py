"""Entry point of `python -m wigeonhatch`."""

from __future__ import annotations

from wigeonhatch import pending_signals

if __name__ == '__main__':
    # The imports below take a large part of the start of a daemon.
    pending_signals.hold()

    from wigeonhatch.cli import program

    program.main()
