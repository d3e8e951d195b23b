"""Mark tests with known faults, as listed in KNOWN-RED.txt."""

from __future__ import annotations

import pathlib
import re

import pytest

KNOWN_RED = pathlib.Path(__file__).parents[1] / 'KNOWN-RED.txt'
_ENTRY = re.compile(r'^- test (\S+):$', re.MULTILINE)


def listed_tests(text: str) -> frozenset[str]:
    """Return the names of the tests in a list of known faults.

    Args:
        text: Content of the list.
    """
    return frozenset(_ENTRY.findall(text))


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark listed tests as expected failures; they still run."""
    listed = listed_tests(KNOWN_RED.read_text())
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason='KNOWN-RED.txt'))
