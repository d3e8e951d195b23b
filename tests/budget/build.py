"""Configurations for the tests of admission and links."""

from __future__ import annotations

from wigeonhatch.config import model
from wigeonhatch.steering import ownership

CAP = model.Cap(percent=10.0, interval_ms=1_000)


def build_config(
    hosts: dict[str, str],
    targets: dict[str, tuple[str, str]],
    slots: int = 4,
    version: int = 1,
    reserved: dict[str, float] | None = None,
    tuning: model.Tuning | None = None,
    mbit: int = 80,
) -> tuple[model.VersionedConfig, ownership.Ownership]:
    """Build a configuration from domains of hosts and targets."""
    domains = sorted(
        {*hosts.values(), *(item[1] for item in targets.values())}
    )
    services = sorted({item[0] for item in targets.values()})
    config = model.SteeringConfig(
        region_by_name={
            name: model.Region(domains=[f'{name}{index}' for index in '12'])
            for name in sorted({domain[:-1] for domain in domains})
        },
        host_by_name={
            name: model.Host(domain, *(['127.0.0.1:1'] * 3))
            for name, domain in hosts.items()
        },
        service_by_name={
            name: model.Service(
                slots=slots,
                connections=10,
                share_by_region={'north': 100.0},
                shift_cap=CAP,
            )
            for name in services
        },
        target_by_name={
            name: model.Target(service, domain, '127.0.0.1:2')
            for name, (service, domain) in targets.items()
        },
        link_by_pair={'north/south': model.Link(mbit_per_s=mbit)},
        customer_by_name={
            name: model.Customer({service: percent for service in services})
            for name, percent in (reserved or {}).items()
        },
        tuning=tuning or model.Tuning(),
    )
    versioned = model.VersionedConfig(version, f'change{version}', config, {})
    return versioned, ownership.assign_owners(config)
