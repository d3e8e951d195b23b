"""Tests of the list of known faults."""

from __future__ import annotations

from tests import conftest


def test_only_named_tests_are_listed() -> None:
    """Guards against a list that marks tests other than the named ones."""
    text = '- test tests/a.py::test_x[1]:\n  seen once\n- python -m x:\n'
    assert conftest.listed_tests(text) == frozenset({'tests/a.py::test_x[1]'})


def test_listed_tests_exist() -> None:
    """Guards against entries of renamed or deleted tests."""
    root = conftest.KNOWN_RED.parent
    for name in conftest.listed_tests(conftest.KNOWN_RED.read_text()):
        path, _, function = name.partition('::')
        source = (root / path).read_text()
        assert f'def {function.partition("[")[0]}(' in source
