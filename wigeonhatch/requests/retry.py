"""Retry rules and the retry budget of a service."""

from __future__ import annotations

import collections.abc

from wigeonhatch import codes
from wigeonhatch import outcome

MAX_RETRIES = 2
RETRY_PERCENT = 10
# Lets a service with little traffic retry.
_BURST_RETRIES = 10
_TOKEN_UNITS = 100

_REFUSAL_CODES = frozenset(
    {codes.ResultCode.NO_CAPACITY, codes.ResultCode.LINK_FULL}
)
# Results that another attempt cannot change.
_FINAL_CODES = frozenset(
    {
        codes.ResultCode.DEADLINE_EXCEEDED,
        codes.ResultCode.DEADLINE_EXCEEDED_RUNNING,
        codes.ResultCode.CALLER_GONE,
        codes.ResultCode.QUARANTINED,
        codes.ResultCode.INVARIANT_VIOLATED,
        codes.ResultCode.INTERNAL,
    }
)


class RetryBudget:
    """Token bucket to which each request adds a fraction of a retry.

    Args:
        percent: Retries per 100 requests.
        burst: Returns the capacity of the bucket in retries, which may change.
        starts_full: Whether the bucket is full at the start. If it is not,
            restarts of the process add no retries.
    """

    def __init__(
        self,
        percent: int = RETRY_PERCENT,
        burst: collections.abc.Callable[[], int] = lambda: _BURST_RETRIES,
        starts_full: bool = True,
    ) -> None:
        # Counted in hundredths of a retry, to avoid rounding.
        self._percent = percent
        self._burst = burst
        self._tokens = burst() * _TOKEN_UNITS if starts_full else 0

    def on_request(self) -> None:
        """Add the fraction that one request of the service earns."""
        capacity = self._burst() * _TOKEN_UNITS
        self._tokens = min(capacity, self._tokens + self._percent)

    @property
    def has_token(self) -> bool:
        """Whether the budget allows a retry."""
        return self._tokens >= _TOKEN_UNITS

    def take(self) -> bool:
        """Take one retry from the budget if it has one.

        Returns:
            Whether the budget allows the retry.
        """
        if not self.has_token:
            return False
        self._tokens -= _TOKEN_UNITS
        return True


def may_retry(
    failure: outcome.Failure, is_idempotent: bool, is_body_replayable: bool
) -> bool:
    """Decide whether a request may be retried.

    Args:
        failure: Result of the attempt.
        is_idempotent: Whether the request may run more than once.
        is_body_replayable: Whether the complete body can be sent again.

    Returns:
        True if another attempt may change the result, and the request is
        idempotent or certainly did not run.
    """
    if failure.code in _FINAL_CODES or not is_body_replayable:
        return False
    if not failure.info.retryable:
        return False
    return is_idempotent or failure.ran is codes.Ran.NOT_RUN


def is_admission_refusal(failure: outcome.Failure) -> bool:
    """Tell whether a host refused to admit a request.

    Args:
        failure: Result of the attempt.

    Returns:
        True if the request reached no target, so that trying the next route
        adds no load to targets and does not count as a retry.
    """
    return failure.code in _REFUSAL_CODES and failure.ran is codes.Ran.NOT_RUN
