"""Tests that the documentation matches the code."""

from __future__ import annotations

import dataclasses
import json
import pathlib
import re
import typing

import pytest

from wigeonhatch import settings
from wigeonhatch.cli import access
from wigeonhatch.cli import render
from wigeonhatch.config import model
from wigeonhatch.entry import edge_settings

DOCS = pathlib.Path(__file__).parents[1] / 'docs'
CLASSES: list[typing.Any] = [
    model.SteeringConfig,
    model.Region,
    model.Link,
    model.Host,
    model.Service,
    model.Cap,
    model.Target,
    model.Customer,
    model.Drain,
    model.Tuning,
    settings.Settings,
    settings.Limits,
    access.OperatorSettings,
    edge_settings.EdgeSettings,
    edge_settings.Bounds,
]


def _default(field: dataclasses.Field[typing.Any]) -> str:
    value = field.default
    if field.default_factory is not dataclasses.MISSING:
        value = field.default_factory()
    if value is dataclasses.MISSING:
        return 'required'
    if dataclasses.is_dataclass(value):
        return '`{}`'
    return f'`{json.dumps(value)}`'


def test_result_codes_are_documented() -> None:
    """Guards against a page with missing or outdated codes."""
    page = (DOCS / 'result-codes.md').read_text()
    assert page.splitlines() == list(render.code_page())


@pytest.mark.parametrize('kind', CLASSES, ids=lambda kind: kind.__name__)
def test_fields_are_documented(kind: typing.Any) -> None:
    """Guards against undocumented fields and outdated defaults."""
    page = (DOCS / 'configuration.md').read_text()
    section = page.split(f'## Class: {kind.__name__}\n')[1].split('\n## ')[0]
    documented = re.findall(
        r'^\| `(\w+)` \|[^|]*\|[^|]*\| ([^|]*) \|', section, re.MULTILINE
    )
    expected = [
        (field.name, _default(field)) for field in dataclasses.fields(kind)
    ]
    assert documented == expected


def test_classes_are_documented() -> None:
    """Guards against undocumented configuration and settings classes."""
    page = (DOCS / 'configuration.md').read_text()
    names = re.findall(r'^## Class: (\w+)$', page, re.MULTILINE)
    assert names == [kind.__name__ for kind in CLASSES]
    dataclass_names = {
        name
        for module in (model, settings, access, edge_settings)
        for name, value in vars(module).items()
        if dataclasses.is_dataclass(value)
        and value.__module__ == module.__name__
        and hasattr(value, '__pydantic_validator__')
    }
    assert dataclass_names == set(names)


def test_table_of_promises_names_existing_code() -> None:
    """Guards against promises whose module or test is gone."""
    root = DOCS.parent
    text = (DOCS / 'invariants.md').read_text()
    text = text[text.index('## The daemon on a platform') :]
    text = text[: text.index('## Not proved yet')]
    path = ''
    names = re.findall(r'`((?:\w+/)*\w+\.py)?(?:::(test_\w+))?`', text)
    assert names
    for named_path, test in names:
        path = named_path or path
        found = [
            root / folder / path
            for folder in ('wigeonhatch', 'tests')
            if (root / folder / path).exists()
        ]
        assert found, path
        assert not test or f'def {test}(' in found[0].read_text(), test
