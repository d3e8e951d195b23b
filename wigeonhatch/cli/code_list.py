"""Command that lists result codes."""

from __future__ import annotations

from wigeonhatch.cli import _arguments
from wigeonhatch.cli import render
from wigeonhatch.cli import reports


def list_codes(*, json: str = '', markdown: str = '') -> int:
    """List the result codes and exit statuses.

    wigeonhatch codes [--json] [--markdown]

    Examples:
      wigeonhatch codes
    """
    if _arguments.is_enabled(markdown):
        return reports.output('', None, render.code_page())
    rows = list(render.code_rows())
    value = [dict(zip(render.CODE_HEADER, row)) for row in rows]
    return reports.output(json, value, render.table(render.CODE_HEADER, rows))
