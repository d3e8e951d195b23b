"""Conversion of errors of the HTTP library to result codes."""

from __future__ import annotations

import dataclasses

import httpcore

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.targets import request

_NOT_RUN = codes.Ran.NOT_RUN


def convert_error(
    error: Exception, sent_bytes: int, is_expired: bool
) -> outcome.Failure:
    """Convert an error of a request to a target.

    Args:
        error: Error of the HTTP library or of the request body.
        sent_bytes: Bytes that may have reached the target.
        is_expired: Whether the deadline of the request has passed.
    """
    code = codes.ResultCode
    ran = _NOT_RUN if sent_bytes == 0 else codes.Ran.UNKNOWN
    detail = str(error)
    if isinstance(error, request.BodyInterrupted):
        return dataclasses.replace(error.failure, ran_override=ran)
    if isinstance(error, (httpcore.ConnectError, httpcore.ConnectTimeout)):
        return outcome.Failure(code.TARGET_CONNECT_FAILED, detail, _NOT_RUN)
    if isinstance(error, httpcore.TimeoutException):
        if is_expired and sent_bytes == 0:
            return outcome.Failure(code.DEADLINE_EXCEEDED, detail)
        if is_expired:
            return outcome.Failure(code.DEADLINE_EXCEEDED_RUNNING, detail)
        return outcome.Failure(code.TARGET_TIMEOUT, detail, ran)
    if isinstance(error, httpcore.LocalProtocolError):
        # The caller sent a head or a body that is not valid HTTP.
        if sent_bytes == 0:
            return outcome.Failure(code.BAD_REQUEST, detail)
        return outcome.Failure(code.BODY_LENGTH_MISMATCH, detail, ran)
    if isinstance(error, httpcore.RemoteProtocolError):
        if 'disconnected' in detail:
            return outcome.Failure(code.TARGET_LOST, detail, ran)
        return outcome.Failure(code.TARGET_PROTOCOL, detail, ran)
    if isinstance(error, httpcore.NetworkError):
        return outcome.Failure(code.TARGET_LOST, detail, ran)
    return outcome.Failure(code.INTERNAL, repr(error), ran)
