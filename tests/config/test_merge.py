"""Tests of merging the operators' files."""

from __future__ import annotations

import pathlib

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies
import pytest

from wigeonhatch import outcome
from wigeonhatch.config import diff
from wigeonhatch.config import merge

SCALARS = strategies.none() | strategies.booleans() | strategies.integers(0, 9)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=2)
        | strategies.dictionaries(strategies.sampled_from('abc'), inner)
    ),
    max_leaves=8,
)
DOCUMENTS = strategies.dictionaries(strategies.sampled_from('abc'), VALUES)


def _merge(**content: bytes) -> merge.MergedDocument:
    result = merge.merge_files(content)
    assert isinstance(result, outcome.Success), result
    return result.value


def test_later_files_override_earlier_ones() -> None:
    """Guards against merging in a wrong order and concatenating lists."""
    merged = _merge(
        c=b'{"a": {"y": null, "z": [3]}, "e": {"f": 1}}',
        a=b'{"a": {"x": 1, "y": 2, "z": [1, 2]}, "d": 4, "e": 5}',
        b=b'{"a": {"x": 7}, "d": null}',
    )
    assert merged.document == {'a': {'x': 7, 'z': [3]}, 'e': {'f': 1}}
    assert merged.find_file(('a', 'x')) == 'b'
    assert merged.find_file(('a', 'z')) == 'c'
    assert merged.find_file(('a', 'missing')) == 'c'


@pytest.mark.parametrize(
    ('content', 'expected'),
    [
        (b'{"a": {"b": 1, "b": 2}}', 'f.json: b: found the key twice'),
        (b'[1]', 'f.json: (document): found [1]; allowed: an object'),
        (b'', 'f.json: line 1 column 1: found Expecting value'),
        (b'{"a": 1,}', 'f.json: line 1 column '),
        (b'{"a": NaN}', 'f.json: (document): found NaN is no JSON number'),
        (b'{"a": 1e999}', 'found 1e999 is out of range'),
        (b'\xff', 'allowed: JSON in UTF-8'),
        (b'{"\\ud800": 1}', 'allowed: JSON in UTF-8'),
        (b'{"a": ' * 40 + b'1' + b'}' * 40, 'allowed: at most 32 levels'),
        (b'[' * 100_000, 'f.json: (document): found '),
        (b'{"a": ' + b'9' * 5_000 + b'}', 'f.json: (document): found '),
    ],
)
def test_malformed_files_are_named(content: bytes, expected: str) -> None:
    """Guards against accepting or raising on files without a JSON object."""
    result = merge.merge_files({'a.json': b'{}', 'f.json': content})
    assert isinstance(result, outcome.Failure)
    assert expected in result.detail


def test_all_malformed_files_are_reported_at_once() -> None:
    """Guards against stopping at the first malformed file."""
    result = merge.merge_files({'a.json': b'[', 'b.json': b'1'})
    assert isinstance(result, outcome.Failure)
    assert len(result.detail.splitlines()) == 2


def test_folders_without_files_are_refused(tmp_path: pathlib.Path) -> None:
    """Guards against an empty configuration caused by a wrong path."""
    (tmp_path / '.hidden.json').write_text('{}')
    (tmp_path / 'notes.txt').write_text('{}')
    (tmp_path / 'folder.json').mkdir()
    for path in (tmp_path, tmp_path / 'missing', tmp_path / 'notes.txt'):
        assert isinstance(merge.merge_folder(str(path)), outcome.Failure)


@seed(1)
@settings(max_examples=200, deadline=None)
@given(DOCUMENTS, DOCUMENTS)
def test_differences_are_empty_only_for_equal_documents(
    before: merge.Document, after: merge.Document
) -> None:
    """Guards against changes that are missing from the differences."""
    differences = diff.diff_documents(before, after)
    assert bool(differences) == (repr(_sorted(before)) != repr(_sorted(after)))


def _sorted(value: object) -> object:
    if isinstance(value, dict):
        return [(key, _sorted(value[key])) for key in sorted(value)]
    if isinstance(value, list):
        return [_sorted(item) for item in value]
    return value
