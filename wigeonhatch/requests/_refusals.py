"""Results of requests that no target of this host has served."""

from __future__ import annotations

import dataclasses

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.balance import picker as pickers
from wigeonhatch.requests import relay_model


def refuse(
    history: relay_model.AttemptHistory,
    code: codes.ResultCode,
    detail: str = '',
    retry_after_ms: int = pickers.MIN_RETRY_AFTER_MS,
) -> relay_model.Response | relay_model.Refusal:
    """Refuse a request, or return the error that a target responded with.

    Args:
        history: Attempts at targets.
        code: Reason why there is no further attempt.
        detail: Details of it.
        retry_after_ms: Time after which the caller may retry in ms.
    """
    if history.error_response is not None:
        return history.error_response
    failure = history.failure
    if failure is None or history.may_have_run is False:
        failure = outcome.Failure(
            code,
            detail or (failure.detail if failure else ''),
            codes.Ran.NOT_RUN,
        )
    elif failure.ran is codes.Ran.NOT_RUN:
        failure = dataclasses.replace(failure, ran_override=codes.Ran.UNKNOWN)
    elif code is codes.ResultCode.QUARANTINED:
        failure = dataclasses.replace(
            failure, detail=f'{failure.detail}; {detail}'
        )
    return relay_model.Refusal(failure, retry_after_ms)


def refuse_forwarded(
    history: relay_model.AttemptHistory, refusal: relay_model.Refusal
) -> relay_model.Response | relay_model.Refusal:
    """Refuse a request as the peer did that was to run it.

    Args:
        history: Attempts at targets of this host.
        refusal: Refusal of the peer.
    """
    failure = refusal.failure
    if not history.may_have_run:
        history.failure = failure
        history.may_have_run = failure.ran is not codes.Ran.NOT_RUN
    return refuse(
        history,
        failure.code,
        failure.detail,
        refusal.retry_after_ms or pickers.MIN_RETRY_AFTER_MS,
    )
