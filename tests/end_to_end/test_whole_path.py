"""End-to-end tests with separate processes under injected failures."""

from __future__ import annotations

import collections.abc
import json
import signal
import time
import typing

import pytest

from tests.end_to_end import _fleets
from wigeonhatch.standins import fleet as fleet_module


@pytest.fixture(name='fleet')
def _run_fleet(
    request: pytest.FixtureRequest,
) -> collections.abc.Generator[fleet_module.Fleet, None, None]:
    number = abs(hash_name(request.node.name)) % 90
    with _fleets.run_fleet(number) as fleet:
        yield fleet


def hash_name(name: str) -> int:
    """Hash the name of a test, to choose its port range."""
    return sum(ord(char) * (index + 1) for index, char in enumerate(name))


def _set_faults(fleet: fleet_module.Fleet, **faults: typing.Any) -> None:
    fleet_module.call(
        'POST', fleet.platform_address, '/.standin/faults', faults
    )


def _read_served_count(fleet: fleet_module.Fleet, target: str) -> int:
    return int(_fleets.read_target_stats(fleet)[target]['served'])


def test_mixed_load_is_served_in_full(fleet: fleet_module.Fleet) -> None:
    """Guards against lost, duplicate, refused or wrongly served requests."""
    report = _fleets.run_load(fleet, 4)
    _fleets.check_report(fleet, report)
    _fleets.check_targets(fleet)
    assert report.served == report.sent, report.count_by_code


def test_killed_host_never_doubles_a_booking(
    fleet: fleet_module.Fleet,
) -> None:
    """Guards against a second run after the issuer of a key crashes."""
    report = _fleets.run_load(
        fleet, 5, action=lambda: fleet.send_signal('entry-3', signal.SIGKILL)
    )
    _fleets.check_report(fleet, report)
    _fleets.check_targets(fleet)
    assert report.served > 0.85 * report.sent, report.count_by_code


def test_restarted_host_does_not_rerun_old_keys(
    fleet: fleet_module.Fleet,
) -> None:
    """Guards against an incarnation that accepts keys of the previous one."""

    def restart() -> None:
        fleet.send_signal('entry-2', signal.SIGKILL)
        fleet.wait_for_exit('entry-2')
        fleet.start_host('entry-2')

    report = _fleets.run_load(fleet, 6, action=restart)
    _fleets.check_report(fleet, report)
    _fleets.check_targets(fleet)


def test_paused_host_resumes_without_overload(
    fleet: fleet_module.Fleet,
) -> None:
    """Guards against a resumed host that uses slots of an expired lease."""

    def pause() -> None:
        fleet.send_signal('entry-4', signal.SIGSTOP)
        time.sleep(4)
        fleet.send_signal('entry-4', signal.SIGCONT)

    report = _fleets.run_load(fleet, 9, action=pause)
    _fleets.check_report(fleet, report)
    _fleets.check_targets(fleet)


def test_platform_outage_changes_nothing(fleet: fleet_module.Fleet) -> None:
    """Guards against a request path that depends on the platform."""
    _set_faults(fleet, down=True)
    report = _fleets.run_load(fleet, 6)
    _fleets.check_report(fleet, report)
    _fleets.check_targets(fleet)
    assert report.served == report.sent, report.count_by_code


def test_graceful_stop_interrupts_nothing(
    fleet: fleet_module.Fleet,
) -> None:
    """Guards against a graceful stop that fails requests in flight."""
    report = _fleets.run_load(
        fleet, 9, action=lambda: fleet.send_signal('entry-5', signal.SIGTERM)
    )
    _fleets.check_report(fleet, report)
    _fleets.check_targets(fleet)
    assert fleet.wait_for_exit('entry-5') == 0
    assert report.served == report.sent, report.count_by_code


def test_drained_target_receives_nothing(fleet: fleet_module.Fleet) -> None:
    """Guards against hosts that keep using a drained target."""
    result = fleet.run_command('drain', 'reads-0')
    assert result.returncode == 0, result.stdout + result.stderr
    before = _read_served_count(fleet, 'reads-0')
    report = _fleets.run_load(fleet, 3)
    assert _read_served_count(fleet, 'reads-0') == before
    assert report.served == report.sent, report.count_by_code
    result = fleet.run_command('undrain', 'reads-0')
    assert result.returncode == 0, result.stdout + result.stderr
    _fleets.run_load(fleet, 3)
    assert _read_served_count(fleet, 'reads-0') > before


@pytest.mark.parametrize('source', ['health', 'list'])
def test_drain_from_other_sources(
    fleet: fleet_module.Fleet, source: str
) -> None:
    """Guards against ignored drains from health checks or the host list."""
    if source == 'health':
        address = fleet.document['target_by_name']['reads-1']['address']
        fleet_module.call(
            'POST', address, '/.standin/faults', {'state': 'draining'}
        )
    else:
        states = {name: 'live' for name in fleet.document['target_by_name']}
        states.update(
            {name: 'live' for name in fleet.document['host_by_name']}
        )
        states['reads-1'] = 'leaving'
        fleet_module.call(
            'PUT', fleet.platform_address, '/.standin/hosts', states
        )

    def is_draining() -> bool:
        return 'reads-1' in json.dumps(fleet.read_status()['drains'])

    assert _fleets.wait_until(is_draining)
    time.sleep(3)
    before = _read_served_count(fleet, 'reads-1')
    _fleets.run_load(fleet, 3)
    assert _read_served_count(fleet, 'reads-1') == before


def test_accepted_version_survives_restarts_and_stale_reads(
    fleet: fleet_module.Fleet,
) -> None:
    """Guards against hosts that revert to an older configuration."""
    fleet.run_command('drain', 'reads-2')
    version = fleet.read_status()['version']
    _set_faults(fleet, stale_reads=40)
    host_names = [name for name in fleet.document['host_by_name']]
    for name in host_names[1:]:
        fleet.send_signal(name, signal.SIGKILL)
        fleet.wait_for_exit(name)
    for name in host_names[1:]:
        fleet.start_host(name)

    def are_all_current() -> bool:
        hosts = fleet.read_status()['hosts']
        versions = [host['config_version'] for host in hosts]
        return len(versions) == 7 and min(versions) >= version

    assert _fleets.wait_until(are_all_current), fleet.read_status()


def test_lost_region_spills_over_within_the_cap(
    fleet: fleet_module.Fleet,
) -> None:
    """Guards against needless refusals and overload when a region fails."""
    document = fleet.document
    south_names = [
        name
        for section in ('host_by_name', 'target_by_name')
        for name, item in document[section].items()
        if item['domain'].startswith('south')
    ]

    def kill_region() -> None:
        for name in south_names:
            fleet.send_signal(name, signal.SIGKILL)

    report = _fleets.run_load(fleet, 4, action=kill_region)
    assert report.wrong == 0
    time.sleep(8)
    # The statistics of the killed targets are lost, so the executed keys are
    # complete only for later requests.
    report = _fleets.run_load(fleet, 4, seed=2)
    _fleets.check_report(fleet, report)
    _fleets.check_targets(fleet)
    assert report.served > 0.95 * report.sent, report.count_by_code


def test_drained_host_goes_quiet_without_losing_requests(
    fleet: fleet_module.Fleet,
) -> None:
    """Guards against unused targets or lost requests when a host drains."""

    def drain() -> None:
        result = fleet.run_command('drain', 'entry-6')
        assert result.returncode == 0, result.stdout + result.stderr

    report = _fleets.run_load(fleet, 9, action=drain)
    _fleets.check_report(fleet, report)
    _fleets.check_targets(fleet)
    assert report.served == report.sent, report.count_by_code
    hosts = {item['host']: item for item in fleet.read_status()['hosts']}
    assert hosts['entry-6']['state'] == 'draining'
    acting = [item for item in hosts.values() if item['acting_for']]
    assert [item['acting_for'] for item in acting] == [['entry-6']]
