"""Decode what the platform's store holds into the project's types.

Fields that are missing or of another type make a single entry unusable, not
the whole reading: other writers may leave entries of other shapes.
"""

from __future__ import annotations

import collections.abc
import re
import typing

import msgspec

from wigeonhatch import durations
from wigeonhatch.platform import names
from wigeonhatch.routes import model
from wigeonhatch.targets import registry

_VERSION = re.compile(r'r(\d+)', re.ASCII)
_READY_BY_STATE = {'ready': True, 'draining': False}


class DecodeError(ValueError):
    """An entry of the store has another shape than agreed."""


def read_config(content: bytes) -> model.RoutingConfig:
    """Decode a routing configuration.

    Args:
        content: Encoded configuration.

    Raises:
        DecodeError: The configuration has another shape than agreed.
    """
    document = _read_object(content)
    try:
        match = _VERSION.fullmatch(document['version'])
        if match is None:
            raise DecodeError(f'{document["version"]!r:.40} is no version')
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
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise DecodeError(f'{type(error).__name__}: {error}') from error


def read_target(name: str, content: bytes) -> registry.TargetRecord:
    """Decode the entry of one target.

    Args:
        name: Name of the target.
        content: Encoded entry.

    Raises:
        DecodeError: The entry names no target to use.
    """
    document = _read_object(content)
    try:
        info, status = document['info'], document['status']
        started = document.get('born', 0)
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
            started_ms=started,
        )
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise DecodeError(f'{type(error).__name__}: {error}') from error
    texts = (record.service, record.address, record.domain)
    numbers = (record.slots, record.started_ms)
    if not all(isinstance(text, str) and text for text in texts):
        raise DecodeError('a name or an address is not a text')
    if any(type(number) is not int for number in numbers):
        raise DecodeError('the slots or the start are not whole numbers')
    if record.slots < 1 or ':' not in record.address:
        raise DecodeError('no slots or no port')
    return record


def read_evacuated_domains(
    keys: collections.abc.Iterable[str],
) -> frozenset[str]:
    """Select the evacuated failure domains among the operators' keys.

    Args:
        keys: Keys of the operators' table.
    """
    return frozenset(
        key.removeprefix(names.EVACUATE_PREFIX)
        for key in keys
        if key.startswith(names.EVACUATE_PREFIX)
    )


def _read_object(content: bytes) -> dict[str, typing.Any]:
    try:
        return msgspec.json.decode(content, type=dict[str, typing.Any])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DecodeError(str(error)) from error


def _read_route(name: str, item: dict[str, typing.Any]) -> model.Route:
    weighted = item.get('weighted_services')
    shares = (
        tuple(
            model.ServiceShare(part['service'], float(part['weight']))
            for part in weighted
            if part['weight'] > 0
        )
        if weighted
        else (model.ServiceShare(item['service'], 1.0),)
    )
    return model.Route(
        name=name,
        host_name=item['host'].lower(),
        prefix=item['prefix'],
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


def _read_service(item: dict[str, typing.Any]) -> model.ServiceConfig:
    return model.ServiceConfig(
        health_path=item['health_path'],
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
