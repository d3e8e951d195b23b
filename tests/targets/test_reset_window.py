"""Tests of the time in which a reset may follow a response."""

from __future__ import annotations

from wigeonhatch.targets import _reset_window


def test_reset_is_awaited_from_the_later_of_end_and_last_byte() -> None:
    """Guards against a wait that ends before the last piece is answered."""
    after_end_s = _reset_window.compute_end(5.0, 4.9, 1_000) - 5.0
    after_piece_s = _reset_window.compute_end(5.0, 7.0, 1_000) - 7.0
    assert after_end_s > 0.2
    assert abs(after_end_s - after_piece_s) < 1e-9


def test_requests_that_arrived_long_before_the_end_bring_no_wait() -> None:
    """Guards against a delay of responses that take a target long."""
    assert _reset_window.compute_end(60.0, 50.0, 60_000) < 60.0


def test_large_requests_take_longer_to_arrive() -> None:
    """Guards against an upload that counts as received while it is not."""
    assert _reset_window.compute_end(60.0, 58.0, 1_000) < 60.0
    assert _reset_window.compute_end(60.0, 58.0, 1_000_000) > 60.0
