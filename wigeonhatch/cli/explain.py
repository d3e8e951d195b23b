"""Command that reconstructs the decisions on a request from host logs."""

from __future__ import annotations

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.cli import render
from wigeonhatch.cli import reports
from wigeonhatch.tracing import reader
from wigeonhatch.tracing import request


def explain(request_id: str, *files: str, json: str = '') -> int:
    """Show the decisions of hosts on a request and the state behind them.

    wigeonhatch explain REQUEST_ID FILE... [--json]

    Each file holds the log of one host. The decisions are shown in order,
    each with the latest state changes that its host had logged, and how
    long before. Lines that cannot be parsed are counted.

    Examples:
      wigeonhatch explain 9c41d07be2a35f68 h1.log h2.log
    """
    if not files:
        return reports.print_failure(
            outcome.Failure(codes.ResultCode.USAGE, 'no log file given'),
            json,
        )
    logs = reader.LogReader()
    try:
        steps = request.trace_request(request_id, logs.read(files))
    except OSError as error:
        return reports.print_failure(
            outcome.Failure(
                codes.ResultCode.USAGE, f'{error.filename}: {error.strerror}'
            ),
            json,
        )
    unusable = dict(logs.unusable_by_path)
    lines = [render.sanitize(line) for line in request.render_steps(steps)]
    if not steps:
        lines.append(
            'no line has this id: the request reached none of these hosts, '
            'or the host stopped before it logged a decision'
        )
    lines.extend(
        f'{render.sanitize(path)}: {count} lines cannot be read'
        for path, count in unusable.items()
    )
    return reports.output(json, {'steps': steps, 'unusable': unusable}, lines)
