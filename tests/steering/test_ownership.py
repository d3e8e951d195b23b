"""Tests of the cached owner assignment."""

from __future__ import annotations

import dataclasses

from tests.steering import examples
from wigeonhatch.steering import ownership


def test_changes_of_hosts_or_targets_are_not_missed() -> None:
    """Guards against reusing the owners of an earlier configuration."""
    config = examples.build_config().config
    cache = ownership.OwnerCache()
    first = cache.assign(config)
    drained = dataclasses.replace(config, drain_by_name={})
    assert cache.assign(drained) is first
    hosts = dict(config.host_by_name)
    del hosts['host-north-1']
    fewer = dataclasses.replace(config, host_by_name=hosts)
    assert cache.assign(fewer) == ownership.assign_owners(fewer)
    assert cache.assign(config) == first
    targets = dict(config.target_by_name)
    targets.popitem()
    fewer = dataclasses.replace(config, target_by_name=targets)
    assert cache.assign(fewer) == ownership.assign_owners(fewer)
