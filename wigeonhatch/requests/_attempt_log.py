"""Log line of one attempt at a target."""

from __future__ import annotations

import dataclasses
import logging

from wigeonhatch import log
from wigeonhatch import outcome
from wigeonhatch.balance import picker as pickers
from wigeonhatch.requests import fingerprint
from wigeonhatch.requests import relay_model
from wigeonhatch.targets import registry

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptTimes:
    """Start and duration of an attempt.

    Args:
        started_ms: Start on the monotonic clock in ms.
        elapsed_ms: Duration in ms.
    """

    started_ms: int
    elapsed_ms: int


def log_attempt(
    request: relay_model.RelayRequest,
    history: relay_model.AttemptHistory,
    pick: pickers.Pick,
    region: str,
    result: relay_model.Response | outcome.Failure,
    times: AttemptTimes,
    load: int,
    is_cold: bool,
) -> None:
    """Log an attempt that has ended, with what its target was chosen by.

    Args:
        request: The request.
        history: Its attempts until now.
        pick: Target of the attempt.
        region: Region of the target.
        result: Response or failure.
        times: Start and duration.
        load: Requests in progress at the target when the attempt started.
        is_cold: Whether the target was cold.
    """
    target = pick.target
    log.event(
        _LOG,
        'attempt',
        request_id=request.id_text,
        fingerprint=fingerprint.format_fingerprint(history.fingerprint),
        target=target.name,
        region=region,
        split_region=pick.split_region,
        affinity=request.affinity_key.decode('ascii', 'replace'),
        load=load,
        wait_ms=round(pick.wait_ms),
        home=pick.is_home,
        slots=target.slots,
        cold=is_cold,
        rate_limit=history.rate_limit_per_s,
        leaving=history.states_departure,
        pause_ms=history.pause_ms,
        left_ms=request.deadline_ms - times.started_ms,
        took_ms=times.elapsed_ms,
        result=(
            result.status
            if isinstance(result, relay_model.Response)
            else f'{result.code.name}: {result.detail}'
        ),
    )


def log_interrupted(
    request: relay_model.RelayRequest,
    target: registry.TargetRecord,
    elapsed_ms: int,
    error: BaseException,
) -> None:
    """Log an attempt that ended without a result, as its task did.

    Args:
        request: The request.
        target: Target that may be running it.
        elapsed_ms: Time since the start of the attempt in ms.
        error: What ended the task.
    """
    log.event(
        _LOG,
        'attempt interrupted',
        request_id=request.id_text,
        target=target.name,
        took_ms=elapsed_ms,
        reason=repr(error),
    )
