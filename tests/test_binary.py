"""Tests of the executable file that is released."""

from __future__ import annotations

import os
import pathlib
import subprocess

BINARY = pathlib.Path(__file__).parents[1] / 'dist' / 'wigeonhatch'


def _run(
    tmp_path: pathlib.Path, *arguments: str
) -> subprocess.CompletedProcess[str]:
    environment = {**os.environ, 'SHIV_ROOT': str(tmp_path / 'unpacked')}
    environment.pop('PYTHONPATH', None)
    return subprocess.run(
        [str(BINARY), *arguments],
        cwd=tmp_path,
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_executable_prints_result_codes(tmp_path: pathlib.Path) -> None:
    """Guards against an executable file that lacks a library or a module."""
    result = _run(tmp_path, 'codes')
    assert result.returncode == 0, result.stderr
    assert 'NO_CAPACITY' in result.stdout


def test_executable_rejects_unknown_setting(tmp_path: pathlib.Path) -> None:
    """Guards against a daemon that ignores a misspelt setting."""
    path = tmp_path / 'settings.json'
    path.write_text('{"hots": "entry-1"}')
    result = _run(tmp_path, 'entry', str(path))
    assert result.returncode == 2
    assert 'hots' in result.stderr
    assert 'Traceback' not in result.stderr
