"""Tests of configuration validation."""

from __future__ import annotations

import json
import pathlib
import random
import typing

import pytest

from tests.operators import harness
from wigeonhatch import outcome
from wigeonhatch.config import check
from wigeonhatch.config import merge
from wigeonhatch.steering import ownership

# Each case has a patch that is merged over the example, and the prefix of a
# line that the validation must report.
CASES: list[dict[str, typing.Any]] = json.loads(
    pathlib.Path(__file__).with_name('wrong_files.json').read_text()
)


def _check(patches: list[object]) -> outcome.Success[typing.Any] | list[str]:
    files = harness.example_files()
    for number, patch in enumerate(patches):
        files[f'9{number}-wrong.json'] = json.dumps(patch).encode()
    merged = merge.merge_files(files)
    assert isinstance(merged, outcome.Success)
    result = check.check_merged(merged.value)
    if isinstance(result, outcome.Success):
        return result
    return result.detail.splitlines()


@pytest.mark.parametrize('example', ['caroni', 'tandem'])
def test_examples_are_accepted(example: str) -> None:
    """Guards against examples that fail validation."""
    merged = merge.merge_folder(str(harness.EXAMPLES / example))
    assert isinstance(merged, outcome.Success)
    assert isinstance(check.check_merged(merged.value), outcome.Success)


@pytest.mark.parametrize('case', CASES, ids=lambda case: case['message'])
def test_each_kind_of_error_is_described(case: dict[str, typing.Any]) -> None:
    """Guards against invalid files that are accepted or reported vaguely."""
    lines = _check([case['patch']])
    assert isinstance(lines, list)
    assert any(line.startswith(case['message']) for line in lines), lines


def test_all_errors_are_reported_at_once() -> None:
    """Guards against stopping at the first error and partial acceptance."""
    lines = _check([case['patch'] for case in CASES])
    assert isinstance(lines, list)
    sections = {line.split(': ')[1].split('.')[0] for line in lines}
    assert {'hosts', 'host_by_name', 'tuning', 'link_by_pair'} <= sections


def _mutate(rng: random.Random, value: typing.Any) -> typing.Any:
    if rng.random() < 0.02:
        return rng.choice([None, True, -1, 1e300, 10**30, '', 'x', [], {}])
    if isinstance(value, dict):
        return {
            key
            if rng.random() > 0.01
            else rng.choice(['', 'a/b', '\0', key]): (_mutate(rng, inner))
            for key, inner in value.items()
        }
    return value


def test_damaged_documents_never_raise() -> None:
    """Guards against exceptions from validation or from accepted documents."""
    merged = merge.merge_folder(str(harness.EXAMPLES / 'caroni'))
    assert isinstance(merged, outcome.Success)
    rng = random.Random(1)
    for _ in range(300):
        document = _mutate(rng, merged.value.document)
        if not isinstance(document, dict):
            continue
        result = check.check_document(document)
        if isinstance(result, outcome.Success):
            ownership.assign_owners(result.value)
        else:
            assert '; allowed: ' in result.detail
