"""Tests of the result codes."""

from __future__ import annotations

from wigeonhatch import codes


def test_each_code_is_described() -> None:
    """Guards against a result code without a status and description."""
    assert set(codes.INFO_BY_CODE) == set(codes.ResultCode)


def test_lost_attempts_may_have_run() -> None:
    """Guards against a code that denies a possible execution."""
    for code in (
        codes.ResultCode.TARGET_LOST,
        codes.ResultCode.PEER_LOST,
        codes.ResultCode.KEY_HOST_UNREACHABLE,
        codes.ResultCode.TARGET_TIMEOUT,
    ):
        assert codes.INFO_BY_CODE[code].ran is codes.Ran.UNKNOWN
