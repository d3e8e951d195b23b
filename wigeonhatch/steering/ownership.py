"""Assignment of owners and standbys, computed from the configuration."""

from __future__ import annotations

import dataclasses

from wigeonhatch.config import model
from wigeonhatch.steering import rendezvous


@dataclasses.dataclass(frozen=True, slots=True)
class Ownership:
    """Owner of each target and standby of each host.

    Args:
        owner_by_target: Host that admits requests to the target; empty if
            no host is configured.
        standby_by_host: Host that may take over the targets of a host;
            absent if no other host is configured.
        targets_by_owner: Names of the targets that a host owns.
    """

    owner_by_target: dict[str, str]
    standby_by_host: dict[str, str]
    targets_by_owner: dict[str, list[str]]


def assign_owners(config: model.SteeringConfig) -> Ownership:
    """Assign an owner to each target and a standby to each host.

    Args:
        config: Configuration in force.

    Returns:
        The assignment; the same on every host with this configuration.
    """
    hosts_by_domain: dict[str, list[str]] = {}
    for name, host in config.host_by_name.items():
        hosts_by_domain.setdefault(host.domain, []).append(name)
    region_by_domain = {
        domain: name
        for name, region in config.region_by_name.items()
        for domain in region.domains
    }
    hosts_by_region: dict[str, list[str]] = {}
    for domain, names in hosts_by_domain.items():
        region = region_by_domain[domain]
        hosts_by_region.setdefault(region, []).extend(names)
    owner_by_target = _assign_targets(
        config, hosts_by_domain, hosts_by_region, region_by_domain
    )
    standby_by_host: dict[str, str] = {}
    for name, host in config.host_by_name.items():
        region = region_by_domain[host.domain]
        for hosts in (
            hosts_by_domain[host.domain],
            hosts_by_region[region],
            list(config.host_by_name),
        ):
            others = [other for other in hosts if other != name]
            if others:
                standby_by_host[name] = rendezvous.rank(
                    others, f'standby/{name}'
                )[0]
                break
    targets_by_owner: dict[str, list[str]] = {
        name: [] for name in config.host_by_name
    }
    for target, owner in owner_by_target.items():
        targets_by_owner.setdefault(owner, []).append(target)
    return Ownership(owner_by_target, standby_by_host, targets_by_owner)


def _assign_targets(
    config: model.SteeringConfig,
    hosts_by_domain: dict[str, list[str]],
    hosts_by_region: dict[str, list[str]],
    region_by_domain: dict[str, str],
) -> dict[str, str]:
    owner_by_target: dict[str, str] = {}
    for name, target in config.target_by_name.items():
        hosts = (
            hosts_by_domain.get(target.domain)
            or hosts_by_region.get(region_by_domain[target.domain])
            or list(config.host_by_name)
        )
        if hosts:
            owner_by_target[name] = rendezvous.rank(hosts, f'owner/{name}')[0]
    return owner_by_target


class OwnerCache:
    """Reuse the assignment while hosts, targets and regions are unchanged.

    An assignment hashes each host with all hosts of its domain, which takes
    far longer than applying a change of a share or a drain.
    """

    def __init__(self) -> None:
        self._config: model.SteeringConfig | None = None
        self._ownership: Ownership | None = None

    def assign(self, config: model.SteeringConfig) -> Ownership:
        """Return the owners and standbys of a configuration.

        Args:
            config: Configuration in force.
        """
        ownership = self._ownership
        if ownership is None or not _has_same_inputs(self._config, config):
            ownership = assign_owners(config)
        self._config = config
        self._ownership = ownership
        return ownership


def _has_same_inputs(
    old: model.SteeringConfig | None, new: model.SteeringConfig
) -> bool:
    # Dictionaries compare values by identity first, so comparing sections
    # that a change did not touch costs little.
    return (
        old is not None
        and old.host_by_name == new.host_by_name
        and old.target_by_name == new.target_by_name
        and old.region_by_name == new.region_by_name
    )
