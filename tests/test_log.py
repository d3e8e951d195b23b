"""Tests of the log."""

from __future__ import annotations

import json
import logging

import pytest

from wigeonhatch import log


def test_lines_are_json_without_credentials(
    capfd: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against lines that break parsers, and credentials in the log."""
    root = logging.getLogger()
    monkeypatch.setattr(root, 'handlers', list(root.handlers))
    monkeypatch.setattr(root, 'level', root.level)
    monkeypatch.setattr(log, '_secrets', [])
    log.hide('s3cret-word')
    log.configure_logging('INFO')
    logger = logging.getLogger('wigeonhatch.test')
    logger.debug('left out')
    logger.info(
        'two\nlines with s3cret-word and Bearer other-word',
        extra={'request_id': 'r1', 'code': 403},
    )
    try:
        raise ValueError('s3cret-word')
    except ValueError:
        logger.exception('failed')
    captured = capfd.readouterr()
    lines = captured.out.splitlines()
    first, second = (json.loads(line) for line in lines)
    assert (first['request_id'], first['code']) == ('r1', 403)
    assert 'ValueError' in second['exception']
    assert 's3cret-word' not in captured.out
    assert 'other-word' not in captured.out
