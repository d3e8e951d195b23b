"""Tests of the log."""

from __future__ import annotations

import json
import logging
import os
import threading
import time

import pytest

from wigeonhatch import log


def test_lines_are_json_without_credentials(
    capfd: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against malformed lines, and against credentials in the log."""
    root = logging.getLogger()
    monkeypatch.setattr(root, 'handlers', list(root.handlers))
    monkeypatch.setattr(root, 'level', root.level)
    monkeypatch.setattr(log, '_secrets', [])
    log.redact('s3cret-word')
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


def test_repeated_message_is_rate_limited_and_counted() -> None:
    """Guards against a repeated failure that floods the log."""
    now_s = 0.5
    rate_filter = log.RateFilter(3, lambda: now_s)

    def record(message: str) -> logging.LogRecord:
        return logging.LogRecord('x', 20, 'x', 1, message, (), None)

    written = [rate_filter.filter(record('m')) for _ in range(5)]
    assert written == [True] * 3 + [False] * 2
    assert rate_filter.filter(record('other'))
    now_s = 1.5
    next_record = record('m')
    assert rate_filter.filter(next_record)
    assert next_record.dropped == 2  # type: ignore[attr-defined]


def test_stalled_reader_does_not_block() -> None:
    """Guards against requests that block on a full pipe of the log."""
    reader, writer = os.pipe()
    try:
        handler = log.NonBlockingHandler(writer)
        handler.setFormatter(log.JsonFormatter())
        record = logging.LogRecord('x', 20, 'x', 1, 'y' * 1_000, (), None)
        for _ in range(1_000):
            handler.emit(record)
        assert handler.dropped_lines > 0
        data = b''
        os.set_blocking(reader, False)
        for _ in range(100):
            try:
                data += os.read(reader, 65_536)
            except BlockingIOError:
                handler.flush()
        lines = data.splitlines()
        assert len(lines) + handler.dropped_lines >= 1_000
        assert all(json.loads(line)['logger'] == 'x' for line in lines)
    finally:
        os.close(reader)
        os.close(writer)


def test_buffered_lines_outlast_a_slow_reader_at_the_exit() -> None:
    """Guards against the last lines of a process that are never written."""
    reader, writer = os.pipe()
    handler = log.NonBlockingHandler(writer)
    handler.setFormatter(log.JsonFormatter())
    record = logging.LogRecord('x', 20, 'x', 1, 'y' * 1_000, (), None)
    count = 150
    for _ in range(count):
        handler.emit(record)
    lines = bytearray()

    def read_slowly() -> None:
        while data := os.read(reader, 16_384):
            lines.extend(data)
            time.sleep(0.002)

    thread = threading.Thread(target=read_slowly)
    thread.start()
    handler.drain(10_000)
    os.close(writer)
    thread.join()
    os.close(reader)
    assert lines.count(b'\n') == count


def test_stalled_reader_does_not_delay_the_exit() -> None:
    """Guards against a process that waits for a log that nobody reads."""
    reader, writer = os.pipe()
    try:
        handler = log.NonBlockingHandler(writer)
        record = logging.LogRecord('x', 20, 'x', 1, 'y' * 200_000, (), None)
        handler.emit(record)
        started_s = time.monotonic()
        handler.drain(50)
        assert time.monotonic() - started_s < 5
    finally:
        os.close(reader)
        os.close(writer)


def test_dropped_lines_name_their_requests(
    capfd: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request without a line since there were too many."""
    root = logging.getLogger()
    monkeypatch.setattr(root, 'handlers', root.handlers[:])
    level = root.level
    log.configure_logging('INFO')
    try:
        logger = logging.getLogger('wigeonhatch.test')
        count = log.MAX_LINES_PER_S * 3
        for number in range(count):
            log.event(logger, 'attempt', request_id=f'r{number}')
        log.drain(1_000)
    finally:
        os.set_blocking(1, True)
        root.setLevel(level)
    named: list[str] = []
    for line in capfd.readouterr().out.splitlines():
        fields = json.loads(line)
        named += fields.get('dropped_request_ids', [])
        named += [fields['request_id']] if 'request_id' in fields else []
    assert sorted(named) == sorted(f'r{number}' for number in range(count))
