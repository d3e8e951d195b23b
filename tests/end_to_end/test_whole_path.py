"""Tests of the whole path with separate processes, under failures."""

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
def _fleet(
    request: pytest.FixtureRequest,
) -> collections.abc.Generator[fleet_module.Fleet, None, None]:
    number = abs(hash_name(request.node.name)) % 90
    with _fleets.run_fleet(number) as fleet:
        yield fleet


def hash_name(name: str) -> int:
    """Give each test its own ports."""
    return sum(ord(char) * (index + 1) for index, char in enumerate(name))


def _faults(fleet: fleet_module.Fleet, **faults: typing.Any) -> None:
    fleet_module.call(
        'POST', fleet.platform_address, '/.standin/faults', faults
    )


def _served(fleet: fleet_module.Fleet, target: str) -> int:
    return int(_fleets.target_stats(fleet)[target]['served'])


def test_mixed_load_is_served_in_full(fleet: fleet_module.Fleet) -> None:
    """Guards against lost, doubled, mixed-up or refused requests."""
    report = _fleets.load(fleet, 4)
    _fleets.check_report(fleet, report)
    _fleets.check_targets(fleet)
    assert report.served == report.sent, report.count_by_code


def test_killed_host_never_doubles_a_booking(
    fleet: fleet_module.Fleet,
) -> None:
    """Guards against a second run after the key's issuer has crashed."""
    report = _fleets.load(
        fleet, 5, during=lambda: fleet.send_signal('entry-3', signal.SIGKILL)
    )
    _fleets.check_report(fleet, report)
    _fleets.check_targets(fleet)
    assert report.served > 0.85 * report.sent, report.count_by_code


def test_restarted_host_does_not_rerun_old_keys(
    fleet: fleet_module.Fleet,
) -> None:
    """Guards against a new incarnation that accepts keys of the old one."""

    def restart() -> None:
        fleet.send_signal('entry-2', signal.SIGKILL)
        fleet.wait_for_exit('entry-2')
        fleet.start_host('entry-2')

    report = _fleets.load(fleet, 6, during=restart)
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

    report = _fleets.load(fleet, 9, during=pause)
    _fleets.check_report(fleet, report)
    _fleets.check_targets(fleet)


def test_platform_outage_changes_nothing(fleet: fleet_module.Fleet) -> None:
    """Guards against a request path that needs the platform."""
    _faults(fleet, down=True)
    report = _fleets.load(fleet, 6)
    _fleets.check_report(fleet, report)
    _fleets.check_targets(fleet)
    assert report.served == report.sent, report.count_by_code


def test_graceful_stop_interrupts_nothing(
    fleet: fleet_module.Fleet,
) -> None:
    """Guards against a planned stop that fails requests in progress."""
    report = _fleets.load(
        fleet, 9, during=lambda: fleet.send_signal('entry-5', signal.SIGTERM)
    )
    _fleets.check_report(fleet, report)
    _fleets.check_targets(fleet)
    assert fleet.wait_for_exit('entry-5') == 0
    assert report.served == report.sent, report.count_by_code


def test_drained_target_receives_nothing(fleet: fleet_module.Fleet) -> None:
    """Guards against hosts that go on using a draining target."""
    result = fleet.run_command('drain', 'reads-0')
    assert result.returncode == 0, result.stdout + result.stderr
    before = _served(fleet, 'reads-0')
    report = _fleets.load(fleet, 3)
    assert _served(fleet, 'reads-0') == before
    assert report.served == report.sent, report.count_by_code
    result = fleet.run_command('undrain', 'reads-0')
    assert result.returncode == 0, result.stdout + result.stderr
    _fleets.load(fleet, 3)
    assert _served(fleet, 'reads-0') > before


@pytest.mark.parametrize('source', ['health', 'list'])
def test_drain_from_other_sources(
    fleet: fleet_module.Fleet, source: str
) -> None:
    """Guards against drains that only the configuration can start."""
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

    def drained() -> bool:
        return 'reads-1' in json.dumps(fleet.read_status()['drains'])

    assert _fleets.wait_until(drained)
    time.sleep(3)
    before = _served(fleet, 'reads-1')
    _fleets.load(fleet, 3)
    assert _served(fleet, 'reads-1') == before


def test_accepted_version_survives_restarts_and_stale_reads(
    fleet: fleet_module.Fleet,
) -> None:
    """Guards against hosts that return to an older configuration."""
    fleet.run_command('drain', 'reads-2')
    version = fleet.read_status()['version']
    _faults(fleet, stale_reads=40)
    names = [name for name in fleet.document['host_by_name']]
    for name in names[1:]:
        fleet.send_signal(name, signal.SIGKILL)
        fleet.wait_for_exit(name)
    for name in names[1:]:
        fleet.start_host(name)

    def all_current() -> bool:
        hosts = fleet.read_status()['hosts']
        versions = [host['config_version'] for host in hosts]
        return len(versions) == 7 and min(versions) >= version

    assert _fleets.wait_until(all_current), fleet.read_status()


def test_lost_region_spills_over_within_the_cap(
    fleet: fleet_module.Fleet,
) -> None:
    """Guards against false refusals and overload when a region fails."""
    document = fleet.document
    south = [
        name
        for section in ('host_by_name', 'target_by_name')
        for name, item in document[section].items()
        if item['domain'].startswith('south')
    ]

    def lose() -> None:
        for name in south:
            fleet.send_signal(name, signal.SIGKILL)

    report = _fleets.load(fleet, 4, during=lose)
    assert report.wrong == 0
    time.sleep(8)
    # The killed targets have lost their counts, so the lists of executed
    # keys are complete only for the requests that follow.
    report = _fleets.load(fleet, 4, seed=2)
    _fleets.check_report(fleet, report)
    _fleets.check_targets(fleet)
    assert report.served > 0.95 * report.sent, report.count_by_code


def test_drained_host_goes_quiet_without_losing_requests(
    fleet: fleet_module.Fleet,
) -> None:
    """Guards against targets that idle, or callers lost, with their host."""

    def drain() -> None:
        result = fleet.run_command('drain', 'entry-6')
        assert result.returncode == 0, result.stdout + result.stderr

    report = _fleets.load(fleet, 9, during=drain)
    _fleets.check_report(fleet, report)
    _fleets.check_targets(fleet)
    assert report.served == report.sent, report.count_by_code
    hosts = {item['host']: item for item in fleet.read_status()['hosts']}
    assert hosts['entry-6']['state'] == 'draining'
    acting = [item for item in hosts.values() if item['acting_for']]
    assert [item['acting_for'] for item in acting] == [['entry-6']]
