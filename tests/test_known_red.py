"""Tests of the list of known faults."""

from __future__ import annotations

from tests import conftest


def test_only_whole_names_are_passed_over() -> None:
    """Guards against a list that hides other tests than the named ones."""
    text = '- test tests/a.py::test_x[1]:\n  seen once\n- python -m x:\n'
    assert conftest.listed_tests(text) == frozenset({'tests/a.py::test_x[1]'})


def test_listed_tests_exist() -> None:
    """Guards against entries that outlive their test."""
    root = conftest.KNOWN_RED.parent
    for name in conftest.listed_tests(conftest.KNOWN_RED.read_text()):
        path, _, function = name.partition('::')
        source = (root / path).read_text()
        assert f'def {function.partition("[")[0]}(' in source
