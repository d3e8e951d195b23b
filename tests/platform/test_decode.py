"""Tests of the decoding of rows of the platform's store."""

from __future__ import annotations

import json
import typing

import pytest

from wigeonhatch import decoding
from wigeonhatch.platform import decode
from wigeonhatch.routes import model

ROUTE: dict[str, typing.Any] = {
    'host': 'X.example',
    'prefix': '/a/',
    'type': 'idempotent',
    'timeout': '1.5s',
    'target_latency': '600ms',
    'priority': 2,
    'weighted_services': [
        {'service': 's', 'weight': 90},
        {'service': 't', 'weight': 0},
    ],
    'max_attempts': 2,
    'session_affinity': True,
    'home_regions': ['north'],
}
HUGE = 10**400
SHARES_WITHOUT_WEIGHT = [{'service': 's', 'weight': 0}]
HUGE_SHARES = [{'service': 's', 'weight': HUGE}]
SERVICE = {'health_path': '/h', 'max_conns': 9, 'warmup': '3s'}
TARGET: dict[str, typing.Any] = {
    'address': '10.0.0.1:80',
    'born': 17,
    'info': {'service': 's', 'version': 'v1', 'zone': 'a', 'concurrency': 6},
    'status': {'state': 'ready', 'sequence': 4, 'warmup_left': '250ms'},
}


def encode(value: object) -> bytes:
    """Encode a value as a row of the store."""
    return json.dumps(value).encode()


def test_configuration_is_decoded() -> None:
    """Guards against configuration fields that are confused."""
    config = decode.read_config(
        encode(
            {
                'version': 'r12',
                'routes': {'r': ROUTE},
                'services': {'s': SERVICE},
                'limits': {'idle_timeout': '15000ms'},
            }
        )
    )
    route = config.route_by_name['r']
    assert config.version == 12
    assert route.host_name == 'x.example'
    assert (route.timeout_ms, route.objective_ms) == (1_500, 600)
    assert route.shares == (model.ServiceShare('s', 90.0),)
    assert route.allowed_regions == frozenset({'north'})
    assert config.service_by_name['s'].warmup_ms == 3_000
    assert config.service_by_name['s'].cold_rate_per_s == 0.0
    assert config.limits.idle_timeout_ms == 15_000


@pytest.mark.parametrize(
    'change',
    [
        {'version': '12'},
        {'version': None},
        {'routes': []},
        {'routes': {'r': ROUTE | {'type': 'other'}}},
        {'routes': {'r': ROUTE | {'timeout': 15}}},
        {'services': {'s': {}}},
        {'version': f'r{HUGE}'},
        {'routes': {'r': ROUTE | {'prefix': None}}},
        {'routes': {'r': ROUTE | {'timeout': f'{HUGE}ms'}}},
        {
            'routes': {
                'r': ROUTE | {'weighted_services': SHARES_WITHOUT_WEIGHT}
            }
        },
        {'routes': {'r': ROUTE | {'weighted_services': HUGE_SHARES}}},
        {'services': {'s': SERVICE | {'warmup_per_s': HUGE}}},
    ],
)
def test_malformed_configuration_is_rejected(
    change: dict[str, object],
) -> None:
    """Guards against a malformed configuration that is applied in part."""
    document = {
        'version': 'r1',
        'routes': {'r': ROUTE},
        'services': {'s': SERVICE},
        'limits': {},
    }
    with pytest.raises(decoding.DecodeError):
        decode.read_config(encode(document | change))


def test_target_is_decoded() -> None:
    """Guards against fields of a target that are confused."""
    record = decode.read_target('t1', encode(TARGET))
    assert (record.service, record.domain, record.slots) == ('s', 'a', 6)
    assert (record.warmup_left_ms, record.started_ms) == (250, 17)
    assert not record.is_draining
    draining = TARGET | {'status': {'state': 'draining', 'sequence': 5}}
    assert decode.read_target('t1', encode(draining)).is_draining


@pytest.mark.parametrize(
    'content',
    [
        b'',
        b'\xff\xfe',
        b'[]',
        b'{"x":' + b'[' * 4_000 + b']' * 4_000 + b'}',
        encode(TARGET | {'address': None}),
        encode(TARGET | {'address': 'nowhere'}),
        encode(TARGET | {'address': '10.0.0.1:http'}),
        encode(TARGET | {'address': '10.0.0.1:0'}),
        encode(TARGET | {'address': '10.0.0.1:65536'}),
        encode(TARGET | {'address': 'target.example:80'}),
        encode(TARGET | {'address': ':80'}),
        encode(TARGET | {'born': HUGE}),
        encode(TARGET | {'born': -HUGE}),
        encode(TARGET | {'info': TARGET['info'] | {'concurrency': HUGE}}),
        encode(
            TARGET | {'status': {'state': 'ready', 'warmup_left': f'{HUGE}s'}}
        ),
        encode(TARGET | {'born': '17'}),
        encode(TARGET | {'born': True}),
        encode(TARGET | {'info': {}}),
        encode(TARGET | {'info': TARGET['info'] | {'concurrency': '6'}}),
        encode(TARGET | {'info': TARGET['info'] | {'concurrency': 0}}),
        encode(TARGET | {'info': TARGET['info'] | {'service': 3}}),
        encode(TARGET | {'status': {'state': 'sleeping'}}),
        encode(TARGET | {'status': {'state': []}}),
        encode(TARGET | {'status': 'ready'}),
    ],
)
def test_malformed_target_is_rejected(content: bytes) -> None:
    """Guards against rows of other programs that crash the daemon."""
    with pytest.raises(decoding.DecodeError):
        decode.read_target('t1', content)


def test_evacuated_domains_are_read() -> None:
    """Guards against unrelated keys that evacuate a domain."""
    keys = ['config', 'evacuate/a', 'evacuate/b-1']
    assert decode.read_evacuated_domains(keys) == frozenset({'a', 'b-1'})
