"""Validation of the head of a caller's request."""

from __future__ import annotations

import collections.abc
import functools
import typing

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch import settings
from wigeonhatch.config import model as config_model
from wigeonhatch.requests import _fields
from wigeonhatch.requests import headers as fields
from wigeonhatch.requests import keys
from wigeonhatch.requests import model
from wigeonhatch.steering import buckets

Scope = collections.abc.MutableMapping[str, typing.Any]
ParsedHead = tuple[model.CallerRequest, int]

_MAX_BUCKET_DIGITS = 6
_BUCKET_CACHE_SIZE = 65_536


@functools.lru_cache(_BUCKET_CACHE_SIZE)
def find_bucket(service: str, address: str) -> int | None:
    """Find the hash bucket of a client.

    Args:
        service: Name of the service.
        address: Client address as text.

    Returns:
        The bucket; None if the text is no address.
    """
    block = buckets.client_block(address)
    return None if block is None else buckets.assign_bucket(service, block)


def client_address(scope: Scope) -> str:
    """Return the peer address of the connection, or an empty text.

    Args:
        scope: ASGI scope.
    """
    client = scope.get('client')
    return client[0] if client else ''


def parse_head(
    scope: Scope,
    request_id: str,
    header_by_name: collections.abc.Mapping[bytes, bytes],
    versioned: config_model.VersionedConfig | None,
    limits: settings.Limits,
    now_ms: int,
) -> ParsedHead | outcome.Failure:
    """Validate the head of a request for a service.

    Args:
        scope: ASGI scope.
        request_id: ID of the request.
        header_by_name: Value of each header field.
        versioned: Configuration in force, if any.
        limits: Limits of the callers' interface.
        now_ms: Monotonic time in ms.

    Returns:
        The validated head and the declared body length (-1 if there is
        none), or the refusal.
    """
    code = codes.ResultCode
    if versioned is None:
        return outcome.Failure(code.NOT_READY)
    size = sum(len(name) + len(value) for name, value in scope['headers'])
    size += len(scope['raw_path']) + len(scope['query_string'])
    if size > limits.max_header_bytes:
        return outcome.Failure(
            code.HEADER_TOO_LARGE,
            f'{size} bytes, the limit is {limits.max_header_bytes}',
        )
    path: bytes = scope['raw_path']
    segment = path[1:].partition(b'/')[0]
    service = segment.decode('ascii', 'replace')
    if service not in versioned.config.service_by_name:
        return outcome.Failure(
            code.UNKNOWN_SERVICE, f'no service {service[:64]!r}'
        )
    client = header_by_name.get(fields.CLIENT)
    address = (
        client_address(scope)
        if client is None
        else client.decode('ascii', 'replace')
    )
    bucket = find_bucket(service, address)
    if bucket is None:
        return outcome.Failure(
            code.BAD_CLIENT_ADDRESS, f'{address[:64]!r} is no IP address'
        )
    bucket_field = header_by_name.get(fields.BUCKET)
    if bucket_field is not None:
        if not _is_bucket(bucket_field):
            return outcome.Failure(
                code.BAD_REQUEST, f'{bucket_field[:32]!r} is not a bucket'
            )
        bucket = int(bucket_field)
    customer = header_by_name.get(fields.CUSTOMER, b'').decode(
        'utf-8', 'replace'
    )
    if customer and customer not in versioned.config.customer_by_name:
        return outcome.Failure(
            code.UNKNOWN_CUSTOMER, f'no customer {customer[:64]!r}'
        )
    deadline = _parse_deadline(header_by_name.get(fields.DEADLINE), limits)
    if isinstance(deadline, outcome.Failure):
        return deadline
    is_idempotent = header_by_name.get(fields.NON_IDEMPOTENT, b'0') == b'0'
    key = '' if is_idempotent else _read_key(header_by_name)
    if not is_idempotent and not key:
        return outcome.Failure(code.KEY_REQUIRED)
    if key and keys.parse_key(key) is None:
        return outcome.Failure(code.KEY_MALFORMED)
    length = _fields.parse_length(header_by_name, limits.max_body_bytes)
    if isinstance(length, outcome.Failure):
        return length
    if scope['query_string']:
        path += b'?' + scope['query_string']
    request = model.CallerRequest(
        request_id,
        service,
        scope['method'],
        path,
        fields.filter_request(scope['headers']),
        now_ms + deadline,
        customer,
        is_idempotent,
        key,
        address,
        bucket,
    )
    return request, length


def _is_bucket(value: bytes) -> bool:
    return (
        value.isdigit()
        and len(value) < _MAX_BUCKET_DIGITS
        and int(value) < buckets.BUCKET_COUNT
    )


def _read_key(header_by_name: collections.abc.Mapping[bytes, bytes]) -> str:
    return header_by_name.get(fields.KEY, b'').decode('ascii', 'replace')


def _parse_deadline(
    value: bytes | None, limits: settings.Limits
) -> int | outcome.Failure:
    if value is None:
        return limits.default_deadline_ms
    if value.isdigit() and len(value) < 10:
        deadline_ms = int(value)
        if 0 < deadline_ms <= limits.max_deadline_ms:
            return deadline_ms
    return outcome.Failure(
        codes.ResultCode.DEADLINE_INVALID,
        f'{value[:32]!r} is not from 1 to {limits.max_deadline_ms} ms',
    )
