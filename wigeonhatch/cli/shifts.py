"""Command that measures shifts between regions from host logs."""

from __future__ import annotations

import collections.abc

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.cli import render
from wigeonhatch.cli import reports
from wigeonhatch.tracing import reader
from wigeonhatch.tracing import region_shift

_SHOWN = 5
"""Windows shown for each region."""


def shifts(*files: str, json: str = '') -> int:
    """Show how fast requests changed the region in which they ran.

    wigeonhatch shifts FILE... [--json]

    Each file holds the log of one host. For each region of hosts, the moments
    are shown at which the largest fraction of attempts changed its region
    from one window of 2 s to the next, and what chance alone explains.

    Examples:
      wigeonhatch shifts h1.log h2.log
    """
    if not files:
        return reports.print_failure(
            outcome.Failure(codes.ResultCode.USAGE, 'no log file given'),
            json,
        )
    logs = reader.LogReader()
    try:
        measured = list(
            region_shift.measure_shifts(
                region_shift.read_placements(logs.read(files))
            )
        )
    except OSError as error:
        return reports.print_failure(
            outcome.Failure(
                codes.ResultCode.USAGE, f'{error.filename}: {error.strerror}'
            ),
            json,
        )
    largest = list(_largest(measured))
    lines = [_format(item) for item in largest]
    if not largest:
        lines.append(
            'no attempts in two adjacent windows, or the logs do not contain '
            'the start of the hosts'
        )
    lines.extend(
        f'{render.sanitize(path)}: {count} lines cannot be read'
        for path, count in logs.unusable_by_path.items()
    )
    value = {'shifts': largest, 'unusable': dict(logs.unusable_by_path)}
    return reports.output(json, value, lines)


def _largest(
    measured: collections.abc.Sequence[region_shift.RegionShift],
) -> collections.abc.Iterator[region_shift.RegionShift]:
    """Yield the largest shifts of each region beyond what chance explains."""
    for source in sorted({item.source for item in measured}):
        yield from sorted(
            (item for item in measured if item.source == source),
            key=lambda item: item.chance - item.fraction,
        )[:_SHOWN]


def _format(item: region_shift.RegionShift) -> str:
    return render.sanitize(
        f'{item.source} at {item.at_ms} ms '
        f'({render.format_time(item.at_ms)}): '
        f'{item.fraction:.3f} changed, {item.chance:.3f} by chance; '
        f'before {_format_counts(item.before)}; '
        f'after {_format_counts(item.after)}'
    )


def _format_counts(count_by_region: dict[str, int]) -> str:
    return ', '.join(
        f'{region} {count}'
        for region, count in sorted(count_by_region.items())
    )
