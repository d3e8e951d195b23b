"""Command that explains a request from the logs of hosts."""

from __future__ import annotations

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.cli import render
from wigeonhatch.cli import reports
from wigeonhatch.tracing import reader
from wigeonhatch.tracing import request


def explain(request_id: str, *files: str, json: str = '') -> int:
    """Show what the hosts decided on a request, and what they knew.

    wigeonhatch explain REQUEST_ID FILE... [--json]

    Each file holds the log of one host. The decisions are shown in order,
    each with the newest things that its host had learned, and how long
    before. Lines that cannot be read are counted.

    Examples:
      wigeonhatch explain 9c41d07be2a35f68 h1.log h2.log
    """
    if not files:
        return reports.report(
            outcome.Failure(codes.ResultCode.USAGE, 'no log file is named'),
            json,
        )
    logs = reader.LogReader()
    try:
        steps = request.trace_request(request_id, logs.read(files))
    except OSError as error:
        return reports.report(
            outcome.Failure(
                codes.ResultCode.USAGE, f'{error.filename}: {error.strerror}'
            ),
            json,
        )
    unusable = dict(logs.unusable_by_path)
    lines = [render.clean(line) for line in request.render_steps(steps)]
    if not steps:
        lines.append(
            'no line has this id: the request reached none of these hosts, '
            'or its host ended before it decided'
        )
    lines.extend(
        f'{render.clean(path)}: {count} lines cannot be read'
        for path, count in unusable.items()
    )
    return reports.finish(json, {'steps': steps, 'unusable': unusable}, lines)
