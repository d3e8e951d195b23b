"""Retries of attempts, within a budget per service."""

from __future__ import annotations

from wigeonhatch import codes
from wigeonhatch import outcome

MAX_RETRIES = 2
RETRY_PERCENT = 10
# Lets a service with little traffic retry at all.
_BURST_RETRIES = 10
_TOKEN_SIZE = 100

_ADMISSION_CODES = frozenset(
    {codes.ResultCode.NO_CAPACITY, codes.ResultCode.LINK_FULL}
)
# Results of the request itself, which another attempt cannot change.
_FINAL_CODES = frozenset(
    {
        codes.ResultCode.DEADLINE_EXCEEDED,
        codes.ResultCode.DEADLINE_EXCEEDED_RUNNING,
        codes.ResultCode.CALLER_GONE,
        codes.ResultCode.INVARIANT_VIOLATED,
        codes.ResultCode.INTERNAL,
    }
)


class RetryBudget:
    """Token bucket that earns a part of a retry with each request.

    Args:
        percent: Retries per 100 requests.
        burst: Retries that may be saved up; also the initial number.
    """

    def __init__(
        self, percent: int = RETRY_PERCENT, burst: int = _BURST_RETRIES
    ) -> None:
        # Counted in hundredths, so that no fraction is lost.
        self._percent = percent
        self._limit = burst * _TOKEN_SIZE
        self._tokens = self._limit

    def on_request(self) -> None:
        """Count one request of the service."""
        self._tokens = min(self._limit, self._tokens + self._percent)

    @property
    def has_token(self) -> bool:
        """Whether the budget allows a retry now."""
        return self._tokens >= _TOKEN_SIZE

    def take(self) -> bool:
        """Take one retry.

        Returns:
            Whether the budget allows the retry.
        """
        if not self.has_token:
            return False
        self._tokens -= _TOKEN_SIZE
        return True


def may_retry(
    failure: outcome.Failure, is_idempotent: bool, is_body_replayable: bool
) -> bool:
    """Decide whether a request may be attempted again.

    Args:
        failure: Result of the attempt.
        is_idempotent: Whether the request may run more than once.
        is_body_replayable: Whether the complete body can be sent again.

    Returns:
        True only for idempotent requests and for requests that certainly did
        not run, and only for results that another attempt may change.
    """
    if failure.code in _FINAL_CODES or not is_body_replayable:
        return False
    if not failure.info.retryable:
        return False
    return is_idempotent or failure.ran is codes.Ran.NOT_RUN


def is_admission_refusal(failure: outcome.Failure) -> bool:
    """Tell whether an attempt ended before a target was involved.

    Args:
        failure: Result of the attempt.

    Returns:
        True if a host refused to admit the request, so that trying the next
        route is no retry and puts no load on targets.
    """
    return (
        failure.code in _ADMISSION_CODES and failure.ran is codes.Ran.NOT_RUN
    )
