"""Rules that span several sections of a configuration."""

from __future__ import annotations

import collections.abc
import itertools
import typing

from wigeonhatch import settings
from wigeonhatch.config import merge
from wigeonhatch.config import model
from wigeonhatch.config import names
from wigeonhatch.config import problems

SHARE_SUM_TOLERANCE_PERCENT = 0.01
# One bucket: shares have two decimals but are applied in whole buckets.
_SLOT_TOLERANCE_PERCENT = 0.1
# One of the 1,000 buckets; a smaller cap would not let any bucket move.
MIN_CAP_PERCENT = 0.1
_NAMED_SECTIONS = (
    'region_by_name',
    'host_by_name',
    'service_by_name',
    'target_by_name',
    'customer_by_name',
)

Violation = tuple[merge.Path, str, str]
Sections = collections.abc.Mapping[str, typing.Any]
Rule = collections.abc.Callable[..., collections.abc.Iterator[Violation]]


def find_violations(sections: Sections) -> list[Violation]:
    """Apply the rules whose sections are all well-formed.

    Args:
        sections: Well-formed sections of the configuration by name. Rules
            that need a missing section are skipped, because they would only
            repeat the errors already reported for it.

    Returns:
        Path, value found and values allowed, for each violation.
    """
    return [
        violation
        for rule, required in _RULES
        if all(name in sections for name in required)
        for violation in rule(*(sections[name] for name in required))
    ]


def _check_names(
    section: str,
) -> collections.abc.Callable[
    [dict[str, object]], collections.abc.Iterator[Violation]
]:
    def check(
        item_by_name: dict[str, object],
    ) -> collections.abc.Iterator[Violation]:
        for name in item_by_name:
            if not names.is_name(name):
                yield (
                    (section, name),
                    problems.format_value(name),
                    names.ALLOWED_FORMAT,
                )

    return check


def _check_regions(
    regions: dict[str, model.Region],
) -> collections.abc.Iterator[Violation]:
    region_by_domain: dict[str, str] = {}
    for name, region in regions.items():
        path = ('region_by_name', name, 'domains')
        if not region.domains:
            yield path, 'no domains', 'at least one failure domain'
        for domain in region.domains:
            if not names.is_name(domain):
                yield path, problems.format_value(domain), names.ALLOWED_FORMAT
            elif domain in region_by_domain:
                yield (
                    path,
                    f'domain {domain!r}, also listed in region '
                    f'{region_by_domain[domain]!r}',
                    'each domain once, in one region',
                )
            region_by_domain.setdefault(domain, name)


def _check_hosts(
    regions: dict[str, model.Region], hosts: dict[str, model.Host]
) -> collections.abc.Iterator[Violation]:
    domains = _map_domains(regions)
    if not hosts:
        yield ('host_by_name',), 'no hosts', 'at least one entry host'
    for name, host in hosts.items():
        if host.domain not in domains:
            yield (
                ('host_by_name', name, 'domain'),
                f'unknown domain {host.domain!r}',
                _one_of(domains),
            )


def _check_targets(
    regions: dict[str, model.Region],
    services: dict[str, model.Service],
    targets: dict[str, model.Target],
) -> collections.abc.Iterator[Violation]:
    domains = _map_domains(regions)
    for name, target in targets.items():
        if target.domain not in domains:
            yield (
                ('target_by_name', name, 'domain'),
                f'unknown domain {target.domain!r}',
                _one_of(domains),
            )
        if target.service not in services:
            yield (
                ('target_by_name', name, 'service'),
                f'unknown service {target.service!r}',
                _one_of(services),
            )


def _check_unique(
    hosts: dict[str, model.Host], targets: dict[str, model.Target]
) -> collections.abc.Iterator[Violation]:
    for name in sorted(hosts.keys() & targets.keys()):
        # Drains and the platform's list refer to both by name alone.
        yield (
            ('target_by_name', name),
            f'the name of a host, {name!r}',
            'a name that no host has',
        )
    path_by_address: dict[tuple[str, int], str] = {}
    for path, text in _iterate_addresses(hosts, targets):
        address = settings.parse_address(text)
        if address in path_by_address:
            yield (
                path,
                f'{text!r}, also the value of {path_by_address[address]}',
                'an address that nothing else has',
            )
        path_by_address.setdefault(address, problems.format_path(path))


def _iterate_addresses(
    hosts: dict[str, model.Host], targets: dict[str, model.Target]
) -> collections.abc.Iterator[tuple[merge.Path, str]]:
    for name, host in hosts.items():
        path = ('host_by_name', name)
        yield (*path, 'caller_address'), host.caller_address
        yield (*path, 'peer_address'), host.peer_address
        yield (*path, 'operator_address'), host.operator_address
    for name, target in targets.items():
        yield ('target_by_name', name, 'address'), target.address


def _check_caps(
    services: dict[str, model.Service],
) -> collections.abc.Iterator[Violation]:
    for name, service in services.items():
        for field, cap in (
            ('shift_cap', service.shift_cap),
            ('failover_cap', service.failover_cap),
        ):
            if cap is not None and cap.percent < MIN_CAP_PERCENT:
                yield (
                    ('service_by_name', name, field, 'percent'),
                    f'{cap.percent:g} percent, which is less than one of '
                    'the 1,000 buckets',
                    f'at least {MIN_CAP_PERCENT}',
                )


def _check_shares(
    regions: dict[str, model.Region],
    services: dict[str, model.Service],
    targets: dict[str, model.Target],
    tuning: model.Tuning,
) -> collections.abc.Iterator[Violation]:
    slots_by_service = _count_slots(regions, services, targets)
    for name, service in services.items():
        path = ('service_by_name', name, 'share_by_region')
        total = sum(service.share_by_region.values())
        if abs(total - 100) > SHARE_SUM_TOLERANCE_PERCENT + 1e-9:
            yield (
                path,
                f'shares that sum to {total:.4g} percent',
                f'a sum of 100 within {SHARE_SUM_TOLERANCE_PERCENT}',
            )
        for region, share in service.share_by_region.items():
            inner = (*path, region)
            if region not in regions:
                yield inner, f'unknown region {region!r}', _one_of(regions)
            elif share > 0 and not slots_by_service[name].get(region):
                yield (
                    inner,
                    f'{share:g} percent for a region without targets of '
                    f'{name!r}',
                    '0, or targets in the region',
                )
            elif share > 0:
                yield from _check_slots(
                    inner, share, slots_by_service[name], region, tuning
                )


def _check_slots(
    path: merge.Path,
    share: float,
    slots_by_region: dict[str, int],
    region: str,
    tuning: model.Tuning,
) -> collections.abc.Iterator[Violation]:
    total = sum(slots_by_region.values())
    load = total * tuning.planned_load_percent / 100
    region_slots = slots_by_region[region]
    allowed = 100 * region_slots / load if load else 100.0
    if share > allowed + _SLOT_TOLERANCE_PERCENT:
        yield (
            path,
            f'{share:g} percent, which needs {share * load / 100:.1f} of the '
            f'{region_slots} slots of {region!r} when '
            f'{tuning.planned_load_percent:g} percent of all {total} slots '
            'are in use',
            f'at most {allowed:.2f} percent',
        )


def _check_links(
    regions: dict[str, model.Region], links: dict[str, model.Link]
) -> collections.abc.Iterator[Violation]:
    pairs = {
        '/'.join(sorted(pair)) for pair in itertools.combinations(regions, 2)
    }
    for pair in links:
        if pair not in pairs:
            yield (
                ('link_by_pair', pair),
                f'unknown pair {pair!r}',
                'two regions in sorted order: ' + _one_of(pairs),
            )
    for pair in sorted(pairs - links.keys()):
        yield ('link_by_pair', pair), 'nothing', 'a link for each pair'


def _check_customers(
    services: dict[str, model.Service], customers: dict[str, model.Customer]
) -> collections.abc.Iterator[Violation]:
    reserved_by_service: dict[str, float] = {}
    for name, customer in customers.items():
        for service, percent in customer.reserved_percent_by_service.items():
            path = (
                'customer_by_name',
                name,
                'reserved_percent_by_service',
                service,
            )
            other_percent = reserved_by_service.get(service, 0.0)
            reserved_by_service[service] = other_percent + percent
            if service not in services:
                yield path, f'unknown service {service!r}', _one_of(services)
            elif reserved_by_service[service] > 100:
                yield (
                    path,
                    f'{percent:g} percent, so that all customers together '
                    f'reserve {reserved_by_service[service]:g} percent',
                    f'at most {max(0.0, 100 - other_percent):g} percent',
                )


def _check_drains(
    hosts: dict[str, model.Host],
    targets: dict[str, model.Target],
    drains: dict[str, model.Drain],
) -> collections.abc.Iterator[Violation]:
    for name, drain in drains.items():
        configured: collections.abc.Collection[str] = (
            hosts if drain.kind == 'host' else targets
        )
        if name not in configured:
            yield (
                ('drain_by_name', name),
                f'unknown {drain.kind} {name!r}',
                f'the name of a {drain.kind}',
            )


def _map_domains(regions: dict[str, model.Region]) -> dict[str, str]:
    return {
        domain: name
        for name, region in regions.items()
        for domain in region.domains
    }


def _count_slots(
    regions: dict[str, model.Region],
    services: dict[str, model.Service],
    targets: dict[str, model.Target],
) -> dict[str, dict[str, int]]:
    region_by_domain = _map_domains(regions)
    slots: dict[str, dict[str, int]] = {name: {} for name in services}
    for target in targets.values():
        region = region_by_domain.get(target.domain)
        service = services.get(target.service)
        if region is None or service is None:
            continue
        by_region = slots[target.service]
        by_region[region] = by_region.get(region, 0) + service.slots
    return slots


def _one_of(names: collections.abc.Collection[str]) -> str:
    if not names:
        return 'nothing, since none is configured'
    ordered = sorted(names)
    suffix = f' and {len(ordered) - 8} more' if len(ordered) > 8 else ''
    return 'one of ' + ', '.join(ordered[:8]) + suffix


_RULES: list[tuple[Rule, tuple[str, ...]]] = [
    *((_check_names(section), (section,)) for section in _NAMED_SECTIONS),
    (_check_regions, ('region_by_name',)),
    (_check_hosts, ('region_by_name', 'host_by_name')),
    (
        _check_targets,
        ('region_by_name', 'service_by_name', 'target_by_name'),
    ),
    (_check_caps, ('service_by_name',)),
    (_check_unique, ('host_by_name', 'target_by_name')),
    (
        _check_shares,
        ('region_by_name', 'service_by_name', 'target_by_name', 'tuning'),
    ),
    (_check_links, ('region_by_name', 'link_by_pair')),
    (_check_customers, ('service_by_name', 'customer_by_name')),
    (_check_drains, ('host_by_name', 'target_by_name', 'drain_by_name')),
]
