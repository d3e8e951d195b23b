"""Decode rows of the store into routing configurations and target records.

A row with missing or mistyped fields is rejected without affecting other
rows: other programs may write rows of another schema.
"""

from __future__ import annotations

import collections.abc
import re
import typing

from wigeonhatch import decoding
from wigeonhatch import durations
from wigeonhatch import settings
from wigeonhatch.platform import names
from wigeonhatch.routes import model
from wigeonhatch.targets import registry

_VERSION = re.compile(r'r(\d{1,15})', re.ASCII)
_MAX_INTEGER = 2**53 - 1
"""Largest integer that JSON represents exactly in all implementations."""
_MISMATCHES = (
    KeyError,
    TypeError,
    AttributeError,
    ValueError,
    OverflowError,
)
"""Errors of reading a document that does not match the schema."""
_READY_BY_STATE = {'ready': True, 'draining': False}


def read_config(content: bytes) -> model.RoutingConfig:
    """Decode a routing configuration.

    Args:
        content: Encoded configuration.

    Raises:
        DecodeError: The configuration does not match the schema.
    """
    document = decoding.decode_json(content, dict[str, typing.Any])
    try:
        match = _VERSION.fullmatch(document['version'])
        if match is None:
            raise decoding.DecodeError(
                f'{document["version"]!r:.40} is not a version'
            )
        return model.RoutingConfig(
            version=int(match[1]),
            route_by_name={
                name: _read_route(name, item)
                for name, item in document['routes'].items()
            },
            service_by_name={
                name: _read_service(item)
                for name, item in document['services'].items()
            },
            limits=_read_limits(document.get('limits') or {}),
        )
    except _MISMATCHES as error:
        raise decoding.DecodeError(
            f'{type(error).__name__}: {error}'
        ) from error


def read_target(name: str, content: bytes) -> registry.TargetRecord:
    """Decode the row of one target.

    Args:
        name: Name of the target.
        content: Encoded row.

    Raises:
        DecodeError: The row does not match the schema.
    """
    document = decoding.decode_json(content, dict[str, typing.Any])
    try:
        info, status = document['info'], document['status']
        started_ms = document.get('born', 0)
        record = registry.TargetRecord(
            name=name,
            service=info['service'],
            address=document['address'],
            domain=info['zone'],
            slots=info['concurrency'],
            is_draining=not _READY_BY_STATE[status['state']],
            warmup_left_ms=durations.parse_duration_ms(
                status.get('warmup_left', '0ms')
            ),
            started_ms=started_ms,
        )
    except _MISMATCHES as error:
        raise decoding.DecodeError(
            f'{type(error).__name__}: {error}'
        ) from error
    _check_target(record)
    return record


def _check_target(record: registry.TargetRecord) -> None:
    string_fields = (record.service, record.address, record.domain)
    if not all(isinstance(item, str) and item for item in string_fields):
        raise decoding.DecodeError(
            'service, address or zone is not a non-empty string'
        )
    for value in (record.slots, record.started_ms):
        if type(value) is not int or abs(value) > _MAX_INTEGER:
            raise decoding.DecodeError(
                'concurrency or born is not an integer in range'
            )
    if record.slots < 1:
        raise decoding.DecodeError('concurrency is below 1')
    try:
        settings.parse_address(record.address)
    except ValueError as error:
        raise decoding.DecodeError(f'address: {error}') from error


def read_evacuated_domains(
    keys: collections.abc.Iterable[str],
) -> frozenset[str]:
    """Read the evacuated failure domains from the operator table.

    Args:
        keys: Keys of the rows of the operator table.
    """
    return frozenset(
        key.removeprefix(names.EVACUATE_PREFIX)
        for key in keys
        if key.startswith(names.EVACUATE_PREFIX)
    )


def _read_route(name: str, item: dict[str, typing.Any]) -> model.Route:
    weighted = item.get('weighted_services')
    shares = (
        tuple(
            model.ServiceShare(_text(share['service']), float(share['weight']))
            for share in weighted
            if share['weight'] > 0
        )
        if weighted
        else (model.ServiceShare(_text(item['service']), 1.0),)
    )
    if not shares:
        raise ValueError(f'route {name} has no service with a weight')
    return model.Route(
        name=name,
        host_name=item['host'].lower(),
        prefix=_text(item['prefix']),
        kind=model.RequestKind(item['type']),
        timeout_ms=durations.parse_duration_ms(item.get('timeout') or '0ms'),
        objective_ms=durations.parse_duration_ms(
            item.get('target_latency') or '0ms'
        ),
        priority=int(item.get('priority', 0)),
        shares=shares,
        max_attempts=max(1, int(item.get('max_attempts', 1))),
        has_affinity=bool(item.get('session_affinity', False)),
        allowed_regions=frozenset(item.get('home_regions') or ()),
    )


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f'{value!r:.40} is not a string')
    return value


def _read_service(item: dict[str, typing.Any]) -> model.ServiceConfig:
    return model.ServiceConfig(
        health_path=_text(item['health_path']),
        max_connections=int(item['max_conns']),
        warmup_ms=durations.parse_duration_ms(item.get('warmup') or '0ms'),
        cold_rate_per_s=float(item.get('warmup_per_s') or 0.0),
    )


def _read_limits(item: dict[str, typing.Any]) -> model.CallerLimits:
    default = model.CallerLimits()
    return model.CallerLimits(
        max_header_bytes=int(
            item.get('max_header_bytes', default.max_header_bytes)
        ),
        max_body_bytes=int(item.get('max_body_bytes', default.max_body_bytes)),
        header_timeout_ms=durations.parse_duration_ms(
            item.get('header_timeout', f'{default.header_timeout_ms}ms')
        ),
        idle_timeout_ms=durations.parse_duration_ms(
            item.get('idle_timeout', f'{default.idle_timeout_ms}ms')
        ),
    )
