"""Tests of the result codes."""

from __future__ import annotations

from wigeonhatch import codes


def test_each_code_has_a_meaning() -> None:
    """Guards against a code that no refusal can describe."""
    assert set(codes.INFO_BY_CODE) == set(codes.ResultCode)


def test_not_run_is_never_claimed_for_lost_attempts() -> None:
    """Guards against a refusal that denies a possible execution."""
    for code in (
        codes.ResultCode.TARGET_LOST,
        codes.ResultCode.PEER_LOST,
        codes.ResultCode.KEY_HOST_UNREACHABLE,
        codes.ResultCode.TARGET_TIMEOUT,
    ):
        assert codes.INFO_BY_CODE[code].ran is codes.Ran.UNKNOWN
