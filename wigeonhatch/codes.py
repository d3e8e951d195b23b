"""Result codes, as listed in `docs/result-codes.md`."""

from __future__ import annotations

import dataclasses
import enum


class Ran(enum.StrEnum):
    """Whether the request that a result describes was run."""

    NOT_RUN = 'not run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class ResultCode(enum.IntEnum):
    """Result codes; the numbers are stable across releases."""

    OK = 0

    # 1xx: the caller or its request is at fault.
    UNKNOWN_SERVICE = 101
    BAD_CLIENT_ADDRESS = 102
    KEY_REQUIRED = 103
    KEY_MALFORMED = 104
    KEY_EXPIRED = 105
    DEADLINE_INVALID = 106
    DEADLINE_EXCEEDED = 107
    HEADER_TOO_LARGE = 108
    BODY_TOO_LARGE = 109
    BODY_LENGTH_MISMATCH = 110
    SLOW_SENDER = 111
    BAD_REQUEST = 112
    UNKNOWN_CUSTOMER = 113
    TOO_MANY_CONNECTIONS = 114
    NOT_FOUND = 115
    UNAUTHORIZED = 116
    CALLER_GONE = 117

    # 2xx: no capacity is available for the request.
    NO_CAPACITY = 201
    REGION_UNAVAILABLE = 202
    NOT_READY = 203
    LINK_FULL = 204
    PREEMPTED = 205
    TARGET_SHED = 207
    QUARANTINED = 208

    # 3xx: an attempt failed in transit or at the target.
    TARGET_CONNECT_FAILED = 301
    TARGET_LOST = 302
    TARGET_TIMEOUT = 303
    TARGET_PROTOCOL = 304
    PEER_LOST = 305
    PEER_UNREACHABLE = 306
    KEY_HOST_UNREACHABLE = 307
    ALREADY_RAN = 308
    IN_PROGRESS = 309
    RESPONSE_INCOMPLETE = 310
    DEADLINE_EXCEEDED_RUNNING = 311

    # 4xx: configuration and operator commands.
    SETTINGS_INVALID = 401
    CONFIG_INVALID = 402
    CONFLICT = 403
    PLATFORM_UNAVAILABLE = 404
    PLATFORM_UNKNOWN = 405
    NOT_CONFIRMED = 406
    UNKNOWN_NAME = 407
    USAGE = 408
    HOST_UNREACHABLE = 409

    # 5xx: internal errors.
    INVARIANT_VIOLATED = 501
    INTERNAL = 502


@dataclasses.dataclass(frozen=True)
class CodeInfo:
    """Properties of one result code.

    Args:
        http_status: Status of an HTTP response that carries the code.
        ran: Whether the request was run.
        retryable: Whether a caller may retry the request.
        exit_status: Exit status of a command that ends with the code.
        meaning: One sentence for operators and callers.
    """

    http_status: int
    ran: Ran
    retryable: bool
    exit_status: int
    meaning: str


def _info(
    http_status: int,
    ran: Ran,
    retryable: bool,
    meaning: str,
    exit_status: int = 1,
) -> CodeInfo:
    return CodeInfo(http_status, ran, retryable, exit_status, meaning)


_NO = Ran.NOT_RUN
_RAN = Ran.RAN
_MAYBE = Ran.UNKNOWN

INFO_BY_CODE: dict[ResultCode, CodeInfo] = {
    ResultCode.OK: _info(200, _RAN, False, 'The request was served.', 0),
    ResultCode.UNKNOWN_SERVICE: _info(
        404, _NO, False, 'The configuration has no such service.'
    ),
    ResultCode.BAD_CLIENT_ADDRESS: _info(
        400, _NO, False, 'The client address is not an IP address.'
    ),
    ResultCode.KEY_REQUIRED: _info(
        400, _NO, False, 'A non-idempotent request needs an idempotency key.'
    ),
    ResultCode.KEY_MALFORMED: _info(
        400, _NO, False, 'The idempotency key was not issued by a lookup.'
    ),
    ResultCode.KEY_EXPIRED: _info(
        409, _MAYBE, False, 'The idempotency key has expired.'
    ),
    ResultCode.DEADLINE_INVALID: _info(
        400, _NO, False, 'The deadline is not a positive number of ms.'
    ),
    ResultCode.DEADLINE_EXCEEDED: _info(
        504, _NO, True, 'The deadline passed before the request was sent.'
    ),
    ResultCode.HEADER_TOO_LARGE: _info(
        431, _NO, False, 'The request headers exceed the limit.'
    ),
    ResultCode.BODY_TOO_LARGE: _info(
        413, _NO, False, 'The request body exceeds the limit.'
    ),
    ResultCode.BODY_LENGTH_MISMATCH: _info(
        400, _MAYBE, False, 'The body differs from its declared length.'
    ),
    ResultCode.SLOW_SENDER: _info(
        408, _MAYBE, True, 'The caller sent its request too slowly.'
    ),
    ResultCode.BAD_REQUEST: _info(
        400, _NO, False, 'The request is malformed.'
    ),
    ResultCode.UNKNOWN_CUSTOMER: _info(
        403, _NO, False, 'The configuration has no such customer.'
    ),
    ResultCode.TOO_MANY_CONNECTIONS: _info(
        503, _NO, True, 'The host has reached its connection limit.'
    ),
    ResultCode.NOT_FOUND: _info(
        404, _NO, False, 'The interface has no such path.'
    ),
    ResultCode.UNAUTHORIZED: _info(
        401, _NO, False, 'The credential is missing or wrong.'
    ),
    ResultCode.CALLER_GONE: _info(
        499, _MAYBE, True, 'The caller closed its connection.'
    ),
    ResultCode.NO_CAPACITY: _info(
        503, _NO, True, 'No target has a free slot.'
    ),
    ResultCode.REGION_UNAVAILABLE: _info(
        503, _NO, True, 'The region is unreachable and the cap is used up.'
    ),
    ResultCode.NOT_READY: _info(
        503, _NO, True, 'The host has no configuration yet or is stopping.'
    ),
    ResultCode.LINK_FULL: _info(
        503, _NO, True, 'The link to the region has no free bandwidth.'
    ),
    ResultCode.PREEMPTED: _info(
        503, _MAYBE, True, 'The slot was reclaimed for a reservation.'
    ),
    ResultCode.TARGET_SHED: _info(
        503, _NO, True, 'The target refused the request without running it.'
    ),
    ResultCode.QUARANTINED: _info(
        503, _NO, True, 'Targets crashed while they ran the request.'
    ),
    ResultCode.TARGET_CONNECT_FAILED: _info(
        502, _NO, True, 'No connection to the target could be opened.'
    ),
    ResultCode.TARGET_LOST: _info(
        502, _MAYBE, True, 'The connection to the target was lost.'
    ),
    ResultCode.TARGET_TIMEOUT: _info(
        504, _MAYBE, True, 'The target did not respond in time.'
    ),
    ResultCode.TARGET_PROTOCOL: _info(
        502, _MAYBE, True, 'The target sent a malformed response.'
    ),
    ResultCode.PEER_LOST: _info(
        502, _MAYBE, True, 'The connection to the owner host was lost.'
    ),
    ResultCode.PEER_UNREACHABLE: _info(
        502, _NO, True, 'The owner host could not be reached.'
    ),
    ResultCode.KEY_HOST_UNREACHABLE: _info(
        503, _MAYBE, True, 'The host that issued the key is unreachable.'
    ),
    ResultCode.ALREADY_RAN: _info(
        409, _RAN, False, 'The request ran; its response is not kept.'
    ),
    ResultCode.IN_PROGRESS: _info(
        409, _MAYBE, True, 'An attempt with the same key is in progress.'
    ),
    ResultCode.RESPONSE_INCOMPLETE: _info(
        502, _RAN, True, 'The response ended before its declared length.'
    ),
    ResultCode.DEADLINE_EXCEEDED_RUNNING: _info(
        504, _MAYBE, True, 'The deadline passed while the request ran.'
    ),
    ResultCode.SETTINGS_INVALID: _info(
        500, _NO, False, 'The settings file is invalid.', 2
    ),
    ResultCode.CONFIG_INVALID: _info(
        422, _NO, False, 'The configuration is invalid.', 3
    ),
    ResultCode.CONFLICT: _info(
        409, _NO, True, 'Another change was accepted first.', 4
    ),
    ResultCode.PLATFORM_UNAVAILABLE: _info(
        503, _NO, True, 'The platform is unavailable.', 5
    ),
    ResultCode.PLATFORM_UNKNOWN: _info(
        503, _MAYBE, True, 'The platform did not confirm the write.', 6
    ),
    ResultCode.NOT_CONFIRMED: _info(
        202, _RAN, False, 'Some hosts have not confirmed the version.', 7
    ),
    ResultCode.UNKNOWN_NAME: _info(
        404, _NO, False, 'The configuration has no such name.', 8
    ),
    ResultCode.USAGE: _info(
        400, _NO, False, 'The command line is invalid.', 2
    ),
    ResultCode.HOST_UNREACHABLE: _info(
        503, _NO, True, 'No operator interface could be reached.', 9
    ),
    ResultCode.INVARIANT_VIOLATED: _info(
        500, _NO, True, 'A step was refused because it was unsafe.', 70
    ),
    ResultCode.INTERNAL: _info(
        500, _MAYBE, True, 'An unexpected error occurred.', 70
    ),
}
