"""Tests of the operator commands."""

from __future__ import annotations

import json
import os
import pathlib
import subprocess
import sys
import typing

import pytest
from syrupy.assertion import SnapshotAssertion

from tests.cli import conftest
from wigeonhatch.cli import program

CLOSED_ADDRESS = '127.0.0.1:1'


def _run(
    capsys: pytest.CaptureFixture[str], *arguments: str
) -> tuple[int, str, str]:
    status = program.run(arguments)
    captured = capsys.readouterr()
    assert 'Traceback' not in captured.out + captured.err
    assert conftest.CREDENTIAL not in captured.out + captured.err
    return status, captured.out, captured.err


def test_outputs_of_a_working_day(
    server: conftest.Server,
    folder: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    snapshot: SnapshotAssertion,
) -> None:
    """Guards against unintended changes of the text and JSON output."""
    transcript = []

    def run(*arguments: str) -> None:
        status, out, err = _run(capsys, *arguments)
        for text, name in ((str(folder), 'DIR'), (server.address, 'ADDRESS')):
            arguments = tuple(item.replace(text, name) for item in arguments)
            out, err = out.replace(text, name), err.replace(text, name)
        transcript.append(
            f'$ wigeonhatch {" ".join(arguments)}\n{out}{err}exit {status}\n'
        )

    hosts = f'--hosts={server.address}'
    operator = '--operator=ada'
    run('check', str(folder))
    run('show', hosts)
    run('apply', str(folder), operator, hosts)
    run('apply', str(folder), operator, hosts)
    run('drain', 'rota-board-3', operator, hosts)
    patch = {'service_by_name': {'rota-board': {'slots': 6}}}
    (folder / '90-more.json').write_text(json.dumps(patch))
    run('diff', str(folder), hosts)
    run('apply', str(folder), '--base=1', operator, hosts)
    server.harness.daemon.lagging = frozenset({'entry-2'})
    server.harness.daemon.unreachable = frozenset({'entry-6'})
    run('apply', str(folder), '--base=2', '--wait_ms=1', operator, hosts)
    run('status', hosts)
    run('drain', 'nowhere', operator, hosts, '--json')
    run('undrain', 'rota-board-3', '--wait_ms=0', operator, hosts, '--json')
    (folder / '95-wrong.json').write_text('{"tuning": {"floor": 1}, "a": 2}')
    run('check', str(folder))
    run('apply', str(folder), operator, hosts)
    run('audit', '--limit=3', hosts)
    assert '\n'.join(transcript) == snapshot


@pytest.mark.parametrize('name', ['', 'apply', 'codes'])
def test_help(
    name: str,
    capsys: pytest.CaptureFixture[str],
    snapshot: SnapshotAssertion,
) -> None:
    """Guards against commands without a description or an example."""
    status, out, _ = _run(capsys, *([name] if name else []), '--help')
    assert status == 0
    assert out == snapshot


def test_show_prints_the_document(
    server: conftest.Server,
    folder: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a document that differs from the applied files."""
    hosts = f'--hosts={server.address}'
    _run(capsys, 'apply', str(folder), hosts)
    _, out, _ = _run(capsys, 'show', '--json', hosts)
    document = json.loads(out)['value']['document']
    merged: dict[str, typing.Any] = {}
    for path in sorted(folder.glob('*.json')):
        for section, items in json.loads(path.read_text()).items():
            merged.setdefault(section, {}).update(items)
    assert document == merged


def test_progress_is_shown_on_a_terminal_only(
    server: conftest.Server,
    folder: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against missing progress on a terminal and progress in a pipe."""
    hosts = f'--hosts={server.address}'
    assert _run(capsys, 'apply', str(folder), hosts)[2] == ''
    monkeypatch.setattr(sys.stderr, 'isatty', lambda: True, raising=False)
    _, out, err = _run(capsys, 'drain', 'entry-1', hosts)
    assert err == '\r7 of 7 reachable hosts have version 2\n'
    assert 'version 2 accepted' in out


def test_names_that_look_like_numbers_stay_text(
    server: conftest.Server,
    folder: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against arguments that are converted to Python literals."""
    names = ['10', '1e5', 'None', 'True', '0x1F', '1.0']
    targets = {
        name: {
            'service': 'rota-board',
            'domain': 'north-1',
            'address': f'127.0.0.1:{8900 + index}',
        }
        for index, name in enumerate(names)
    }
    (folder / '90-names.json').write_text(
        json.dumps({'target_by_name': targets})
    )
    hosts = f'--hosts={server.address}'
    assert _run(capsys, 'apply', str(folder), hosts)[0] == 0
    for name in names:
        assert _run(capsys, 'drain', name, hosts)[0] == 0
    current = server.harness.daemon.current
    assert current is not None
    assert sorted(current.config.drain_by_name) == sorted(names)


def test_the_next_address_is_tried(
    server: conftest.Server,
    folder: pathlib.Path,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against commands that fail because one host is unreachable."""
    settings = tmp_path / 'operators.json'
    credential = tmp_path / 'credential'
    credential.write_text(conftest.CREDENTIAL + '\n')
    settings.write_text(
        json.dumps(
            {
                'operator_addresses': [CLOSED_ADDRESS, server.address],
                'credential_file': str(credential),
            }
        )
    )
    monkeypatch.delenv('WIGEONHATCH_CREDENTIAL')
    monkeypatch.setenv('WIGEONHATCH_OPERATOR_SETTINGS', str(settings))
    assert _run(capsys, 'apply', str(folder))[0] == 0
    assert _run(capsys, 'status')[0] == 0
    status, _, err = _run(capsys, 'status', f'--hosts={CLOSED_ADDRESS}')
    assert status == 9
    assert f'{CLOSED_ADDRESS}: ConnectError' in err


def test_a_lost_response_is_resolved_without_a_second_write(
    server: conftest.Server,
    dropping_proxy: conftest.ResponseDroppingProxy,
    folder: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a change that is applied twice or reported as failed."""
    hosts = f'--hosts={dropping_proxy.address},{server.address}'
    status, out, _ = _run(capsys, 'apply', str(folder), hosts)
    assert dropping_proxy.dropped_count > 0
    assert (status, server.harness.daemon.accepted) == (0, [1])
    assert out.startswith('version 1 accepted, change change0001\n')


def test_a_write_without_known_outcome_is_reported_as_unknown(
    server: conftest.Server,
    dropping_proxy: conftest.ResponseDroppingProxy,
    folder: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against reporting failure of a change that may be in force."""
    monkeypatch.setattr('wigeonhatch.cli.client.RESOLVE_TIMEOUT_MS', 1)
    status, _, err = _run(
        capsys, 'apply', str(folder), f'--hosts={dropping_proxy.address}'
    )
    assert status == 6
    assert 'PLATFORM_UNKNOWN' in err
    assert server.harness.daemon.accepted == [1]


def test_a_wrong_credential_is_refused_and_not_shown(
    server: conftest.Server,
    folder: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against accepting or printing a wrong credential."""
    monkeypatch.setenv('WIGEONHATCH_CREDENTIAL', 'wrong-word')
    hosts = f'--hosts={server.address}'
    for arguments in (('apply', str(folder)), ('show',), ('audit',)):
        status, out, err = _run(capsys, *arguments, hosts)
        assert (status, out) == (1, '')
        assert 'UNAUTHORIZED' in err
        assert 'wrong-word' not in err
    monkeypatch.setenv('WIGEONHATCH_CREDENTIAL', 'two words')
    assert _run(capsys, 'show', hosts)[0] == 2
    assert server.harness.daemon.accepted == []


@pytest.mark.parametrize(
    ('argument', 'status'),
    [(b'examples/caroni', 0), ('\u00e9'.encode(), 3), (b'\xff', 2)],
)
def test_module_runs_the_program(argument: bytes, status: int) -> None:
    """Guards against failures of `python -m` and of non-ASCII arguments."""
    completed = subprocess.run(
        [sys.executable.encode(), b'-m', b'wigeonhatch', b'check', argument],
        cwd=pathlib.Path(__file__).parents[2],
        env={**os.environ, 'PYTHONIOENCODING': 'ascii'},
        capture_output=True,
        check=False,
    )
    assert completed.returncode == status
    assert b'Traceback' not in completed.stderr


def test_entry_reports_wrong_settings(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a daemon that starts with invalid settings."""
    path = tmp_path / 'entry.json'
    path.write_text('{"host": 1}')
    status, _, err = _run(capsys, 'entry', str(path))
    assert status == 2
    assert f'{path}: host: ' in err
