"""Story of one request, with what its hosts believed at the time."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from wigeonhatch.tracing import reader

_ATTEMPT = 'attempt'
_HOST_STATE_FIELDS = {
    'configuration in force': ('configuration', 'version'),
    'store reached': ('store', 'version'),
    'store lost': ('store', 'reason'),
    'rows of a peer taken over': ('rows', 'version'),
    'evacuation': ('evacuation', 'domains'),
    'signal': ('signal', 'name'),
    reader.STARTED: ('process', 'domain'),
}
"""Subject and telling field of each message that changes what a host believes
of all requests."""
_TARGET_STATE_FIELD = {
    'target changed': 'draining',
    'target removed': 'target',
    'target ejected': 'reason',
    'target readmitted': 'target',
}
"""Telling field of each message that changes what it believes of a target."""
_HIDDEN = frozenset(
    {'time_ms', 'level', 'logger', 'message', 'request_id', 'dropped'}
)


@dataclasses.dataclass(frozen=True, slots=True)
class StateRecord:
    """What a host believed when it decided.

    Args:
        message: Message that told of it.
        detail: Its version, reason or state.
        age_ms: Time from then to the decision in ms.
    """

    message: str
    detail: str
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One decision on the request.

    Args:
        time_ms: Time of day of the host, ms since the Unix epoch.
        host: Host that decided.
        message: What it decided.
        inputs: Inputs and outcome.
        beliefs: What the host believed, newest first.
    """

    time_ms: int
    host: str
    message: str
    inputs: dict[str, typing.Any]
    beliefs: tuple[StateRecord, ...]


class _HostState:
    """Newest line of each subject for one host."""

    def __init__(self) -> None:
        self._line_by_subject: dict[str, tuple[reader.LogLine, str]] = {}
        self._line_by_target: dict[str, tuple[reader.LogLine, str]] = {}

    def note(self, line: reader.LogLine) -> None:
        """Keep a line that changes what the host believes."""
        if line.message == reader.STARTED:
            # Nothing lasts beyond the life of the process.
            self._line_by_subject.clear()
            self._line_by_target.clear()
        of_host = _HOST_STATE_FIELDS.get(line.message)
        if of_host is not None:
            subject, field = of_host
            table = line.fields.get('table', '')
            self._line_by_subject[f'{subject} {table}'] = (line, field)
        field = _TARGET_STATE_FIELD.get(line.message, '')
        if field and 'target' in line.fields:
            self._line_by_target[line.fields['target']] = (line, field)

    def at(
        self, time_ms: int, target: str | None
    ) -> collections.abc.Iterator[StateRecord]:
        """Yield what the host believed at a time, newest first."""
        known = list(self._line_by_subject.values())
        if target in self._line_by_target:
            known.append(self._line_by_target[target])
        for line, field in sorted(known, key=lambda item: -item[0].time_ms):
            table = line.fields.get('table')
            yield StateRecord(
                f'{line.message} ({table})' if table else line.message,
                f'{field}={line.fields.get(field)}',
                time_ms - line.time_ms,
            )


def trace_request(
    request_id: str, lines: collections.abc.Iterable[reader.LogLine]
) -> list[Step]:
    """Collect the decisions on a request in the order of their times.

    Args:
        request_id: Identity of the request.
        lines: Lines of all hosts; those of each host in their order.

    Returns:
        The decisions; times of different hosts differ by their clocks.
    """
    beliefs_by_host: dict[str, _HostState] = {}
    steps = []
    for line in lines:
        beliefs = beliefs_by_host.setdefault(line.host, _HostState())
        if line.fields.get('request_id') == request_id:
            decided_ms = line.time_ms
            if line.message == _ATTEMPT:
                # The line is written at the end of the attempt.
                decided_ms -= int(line.fields.get('took_ms', 0))
            steps.append(
                Step(
                    decided_ms,
                    line.host,
                    line.message,
                    {
                        name: value
                        for name, value in line.fields.items()
                        if name not in _HIDDEN
                    },
                    tuple(beliefs.at(decided_ms, line.fields.get('target'))),
                )
            )
        beliefs.note(line)
    return sorted(steps, key=lambda step: step.time_ms)


def render_steps(
    steps: collections.abc.Sequence[Step],
) -> collections.abc.Iterator[str]:
    """Yield lines for people.

    Args:
        steps: Decisions in order.
    """
    for step in steps:
        after_ms = step.time_ms - steps[0].time_ms
        inputs = ' '.join(f'{k}={v}' for k, v in step.inputs.items())
        yield f'+{after_ms} ms {step.host}: {step.message}: {inputs}'
        for belief in step.beliefs:
            yield (
                f'    {belief.message}, {belief.detail},'
                f' {belief.age_ms} ms before'
            )
