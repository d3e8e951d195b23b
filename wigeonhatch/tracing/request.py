"""Trace of one request, with the state of its hosts at each decision."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import typing

from wigeonhatch.tracing import reader

_ATTEMPT = 'attempt'
_HOST_FIELD_BY_MESSAGE = {
    'configuration in force': ('configuration', 'version'),
    'store reached': ('store', 'version'),
    'store lost': ('store', 'reason'),
    'rows of a peer taken over': ('rows', 'version'),
    'evacuation': ('evacuation', 'domains'),
    'signal': ('signal', 'name'),
    reader.STARTED: ('process', 'domain'),
}
"""Subject and displayed field of each message that changes the state of a host
for all requests."""
_TARGET_FIELD_BY_MESSAGE = {
    'target changed': ('entry', 'draining'),
    'target removed': ('entry', 'target'),
    'target ejected': ('health', 'reason'),
    'target readmitted': ('health', 'target'),
    'target leaves': ('departure', 'source'),
    'target paused': ('pause', 'duration_ms'),
    'target rate limit changed': ('rate limit', 'rate_limit'),
}
"""Subject and displayed field of each message that changes the state of one
target."""
_DROPPED_IDS = 'dropped_request_ids'
_OMITTED_FIELDS = frozenset(
    {
        'time_ms',
        'level',
        'logger',
        'message',
        'request_id',
        'dropped',
        _DROPPED_IDS,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class StateRecord:
    """Part of the state of a host at the time of a decision.

    Args:
        message: Message that logged the change of state.
        detail: Version, reason or state that the message carried.
        age_ms: Time from the message to the decision in ms.
    """

    message: str
    detail: str
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Decision of a host on the request.

    Args:
        time_ms: Wall-clock time of the host in ms since the Unix epoch.
        host: Name of the host.
        message: Kind of decision.
        inputs: Inputs and outcome of the decision.
        beliefs: State of the host at the time, newest change first.
    """

    time_ms: int
    host: str
    message: str
    inputs: dict[str, typing.Any]
    beliefs: tuple[StateRecord, ...]


class _HostState:
    """State of one host: the newest log line of each subject."""

    def __init__(self) -> None:
        self._line_by_subject: dict[str, tuple[reader.LogLine, str]] = {}
        self._line_by_target: dict[
            str, dict[str, tuple[reader.LogLine, str]]
        ] = collections.defaultdict(dict)

    def apply(self, line: reader.LogLine) -> None:
        """Apply a line that changes the state of the host."""
        if line.message == reader.STARTED:
            # The state of a daemon does not outlive its process.
            self._line_by_subject.clear()
            self._line_by_target.clear()
        host_field = _HOST_FIELD_BY_MESSAGE.get(line.message)
        if host_field is not None:
            subject, field = host_field
            table = line.fields.get('table', '')
            self._line_by_subject[f'{subject} {table}'] = (line, field)
        target_field = _TARGET_FIELD_BY_MESSAGE.get(line.message)
        if target_field is not None and 'target' in line.fields:
            subject, field = target_field
            lines = self._line_by_target[line.fields['target']]
            lines[subject] = (line, field)

    def at(
        self, time_ms: int, target: str | None
    ) -> collections.abc.Iterator[StateRecord]:
        """Yield the state at a time, newest change first."""
        changes = [
            *self._line_by_subject.values(),
            *self._line_by_target.get(target or '', {}).values(),
        ]
        for line, field in sorted(changes, key=lambda item: -item[0].time_ms):
            table = line.fields.get('table')
            yield StateRecord(
                f'{line.message} ({table})' if table else line.message,
                f'{field}={line.fields.get(field)}',
                time_ms - line.time_ms,
            )


def trace_request(
    request_id: str, lines: collections.abc.Iterable[reader.LogLine]
) -> list[Step]:
    """Collect the decisions on a request in order of time.

    Args:
        request_id: ID of the request.
        lines: Lines of all hosts; the lines of each host are in order.

    Returns:
        The decisions; their order across hosts is subject to clock skew.
    """
    state_by_host: dict[str, _HostState] = {}
    steps = []
    for line in lines:
        state = state_by_host.setdefault(line.host, _HostState())
        if line.fields.get('request_id') == request_id:
            decided_ms = line.time_ms
            if line.message == _ATTEMPT:
                # Attempts are logged when they end.
                decided_ms -= int(line.fields.get('took_ms', 0))
            steps.append(
                Step(
                    decided_ms,
                    line.host,
                    line.message,
                    {
                        name: value
                        for name, value in line.fields.items()
                        if name not in _OMITTED_FIELDS
                    },
                    tuple(state.at(decided_ms, line.fields.get('target'))),
                )
            )
        elif request_id in line.fields.get(_DROPPED_IDS, ()):
            message = line.fields.get('of', line.message)
            steps.append(
                Step(
                    line.time_ms,
                    line.host,
                    f'{message} (dropped, since there were too many lines)',
                    {},
                    (),
                )
            )
        state.apply(line)
    return sorted(steps, key=lambda step: step.time_ms)


def render_steps(
    steps: collections.abc.Sequence[Step],
) -> collections.abc.Iterator[str]:
    """Render decisions as lines of text.

    Args:
        steps: Decisions in order of time.
    """
    for step in steps:
        elapsed_ms = step.time_ms - steps[0].time_ms
        inputs = ' '.join(f'{k}={v}' for k, v in step.inputs.items())
        yield f'+{elapsed_ms} ms {step.host}: {step.message}: {inputs}'
        for record in step.beliefs:
            yield (
                f'    {record.message}, {record.detail},'
                f' {record.age_ms} ms before'
            )
