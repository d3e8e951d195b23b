"""Validation of a merged document; reports all problems at once."""

from __future__ import annotations

import collections.abc
import dataclasses
import json
import typing

import pydantic

from wigeonhatch import outcome
from wigeonhatch.config import _rules
from wigeonhatch.config import merge
from wigeonhatch.config import model
from wigeonhatch.config import problems

_HINT_BY_SECTION = typing.get_type_hints(
    model.SteeringConfig, include_extras=True
)
_ADAPTER_BY_SECTION: dict[str, pydantic.TypeAdapter[typing.Any]] = {
    name: pydantic.TypeAdapter(hint) for name, hint in _HINT_BY_SECTION.items()
}
_OPTIONAL_SECTIONS = frozenset(
    field.name
    for field in dataclasses.fields(model.SteeringConfig)
    if field.default is not dataclasses.MISSING
    or field.default_factory is not dataclasses.MISSING
)
_CLASS_BY_SECTION = {
    'region_by_name': model.Region,
    'host_by_name': model.Host,
    'service_by_name': model.Service,
    'target_by_name': model.Target,
    'link_by_pair': model.Link,
    'customer_by_name': model.Customer,
    'drain_by_name': model.Drain,
}
_CAP_FIELDS = frozenset({'shift_cap', 'failover_cap'})
_ALLOWED_BY_TYPE = {
    'missing': 'a value; the field is required',
    'value_error': 'IP:PORT, with an IPv6 address in brackets',
    'dataclass_type': 'an object',
    'dict_type': 'an object',
}


def check_document(
    document: merge.Document,
) -> outcome.Success[model.SteeringConfig] | outcome.Failure:
    """Check a document without information on its source files.

    Args:
        document: Complete configuration.

    Returns:
        The checked configuration, or `CONFIG_INVALID` with one line for each
        problem.
    """
    return check_merged(merge.MergedDocument(document))


def check_merged(
    merged: merge.MergedDocument,
) -> outcome.Success[model.SteeringConfig] | outcome.Failure:
    """Check a merged document.

    Args:
        merged: Document and the source files of its values.

    Returns:
        The checked configuration, or `CONFIG_INVALID` with one line for each
        problem: file, path, value found and values allowed.
    """
    errors: list[problems.Problem] = []
    section_by_name: dict[str, typing.Any] = {}
    for name in sorted(merged.document.keys() - _HINT_BY_SECTION.keys()):
        errors.append(
            problems.Problem(
                merged.find_file((name,)),
                problems.format_path((name,)),
                'an unknown field',
                'one of ' + ', '.join(sorted(_HINT_BY_SECTION)),
            )
        )
    for name, adapter in _ADAPTER_BY_SECTION.items():
        if name not in merged.document:
            if name in _OPTIONAL_SECTIONS:
                section_by_name[name] = adapter.validate_json('{}')
            else:
                errors.append(
                    _to_problem(merged, (name,), 'missing', '', None)
                )
            continue
        try:
            # Strict mode accepts objects for dataclasses only in JSON input.
            section_by_name[name] = adapter.validate_json(
                json.dumps(merged.document[name])
            )
        except pydantic.ValidationError as error:
            errors.extend(_convert_errors(merged, name, error))
    for path, found, allowed in _rules.find_violations(section_by_name):
        errors.append(
            problems.Problem(
                merged.find_file(path),
                problems.format_path(path),
                found,
                allowed,
            )
        )
    if errors:
        return problems.make_failure(errors)
    return outcome.Success(model.SteeringConfig(**section_by_name))


def _convert_errors(
    merged: merge.MergedDocument, section: str, error: pydantic.ValidationError
) -> collections.abc.Iterator[problems.Problem]:
    for item in error.errors(include_url=False):
        path = (section, *(str(key) for key in item['loc']))
        yield _to_problem(
            merged, path, item['type'], item['msg'], item.get('input')
        )


def _to_problem(
    merged: merge.MergedDocument,
    path: merge.Path,
    kind: str,
    message: str,
    value: object,
) -> problems.Problem:
    found = 'nothing' if kind == 'missing' else problems.format_value(value)
    allowed = _ALLOWED_BY_TYPE.get(kind)
    if kind == 'unexpected_keyword_argument':
        found = 'an unknown field'
        allowed = 'one of ' + ', '.join(_list_fields(path))
    if allowed is None:
        allowed = message.removeprefix('Input should be ')
    return problems.Problem(
        merged.find_file(path), problems.format_path(path), found, allowed
    )


def _list_fields(path: merge.Path) -> list[str]:
    field_class: type = _CLASS_BY_SECTION.get(path[0], model.Tuning)
    if _CAP_FIELDS.intersection(path):
        field_class = model.Cap
    return sorted(field.name for field in dataclasses.fields(field_class))
