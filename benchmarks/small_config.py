"""Build small configurations for simulations and tests."""

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
    """Build a configuration; a failure domain is a region and a digit.

    Args:
        hosts: Failure domain by host.
        targets: Service and failure domain by target.
        slots: Slots of each target.
        version: Version of the configuration.
        reserved: Percent of the slots of each service by customer.
        tuning: Admission parameters.
        mbit: Capacity of the link between `north` and `south` in Mbit/s.
    """
    domains = {*hosts.values(), *(item[1] for item in targets.values())}
    services = sorted({item[0] for item in targets.values()})
    address = '127.0.0.1:1'
    config = model.SteeringConfig(
        region_by_name={
            name: model.Region([f'{name}1', f'{name}2'])
            for name in sorted({domain[:-1] for domain in domains})
        },
        host_by_name={
            name: model.Host(domain, address, address, address)
            for name, domain in hosts.items()
        },
        service_by_name={
            name: model.Service(slots, 10, {'north': 100.0}, CAP)
            for name in services
        },
        target_by_name={
            name: model.Target(service, domain, address)
            for name, (service, domain) in targets.items()
        },
        link_by_pair={'north/south': model.Link(mbit)},
        customer_by_name={
            name: model.Customer(dict.fromkeys(services, percent))
            for name, percent in (reserved or {}).items()
        },
        tuning=tuning or model.Tuning(),
    )
    versioned = model.VersionedConfig(version, f'change{version}', config, {})
    return versioned, ownership.assign_owners(config)
