"""Deltas between versions of the document, as sent between hosts.

A delta is a JSON merge patch (RFC 7396) limited to two levels: it maps changed
top-level keys to changed names, each with its new value or null if removed.
"""

from __future__ import annotations

import dataclasses
import typing

import msgspec
import pydantic
import xxhash

from wigeonhatch.config import model

Document = dict[str, typing.Any]
_MISSING = object()
_ENCODER = msgspec.json.Encoder(order='sorted')
_ITEM_BY_SECTION: dict[str, pydantic.TypeAdapter[typing.Any]] = {
    'region_by_name': pydantic.TypeAdapter(model.Region),
    'host_by_name': pydantic.TypeAdapter(model.Host),
    'service_by_name': pydantic.TypeAdapter(model.Service),
    'target_by_name': pydantic.TypeAdapter(model.Target),
    'link_by_pair': pydantic.TypeAdapter(model.Link),
    'customer_by_name': pydantic.TypeAdapter(model.Customer),
    'drain_by_name': pydantic.TypeAdapter(model.Drain),
}
_CONFIG = pydantic.TypeAdapter(model.SteeringConfig)


def hash_document(document: Document) -> int:
    """Hash a document independently of the order of its keys."""
    return xxhash.xxh3_64_intdigest(_ENCODER.encode(document))


def make_delta(base: Document, changed: Document) -> Document | None:
    """Compute the delta between two documents.

    Args:
        base: Document that the receiver holds.
        changed: Document that the receiver is to hold afterwards.

    Returns:
        The delta; None if a changed value is null, which no delta can set.
    """
    delta: Document = {}
    for key in base.keys() | changed.keys():
        before = base.get(key, _MISSING)
        after = changed.get(key, _MISSING)
        if before is after:
            continue
        if after is _MISSING:
            delta[key] = None
        elif after is None:
            return None
        elif not isinstance(after, dict):
            if not _are_equal(before, after):
                delta[key] = after
        else:
            section = before if isinstance(before, dict) else {}
            changed_items = _diff_section(section, after)
            if None in changed_items.values() and any(
                after.get(name, _MISSING) is None for name in changed_items
            ):
                return None
            if changed_items or not isinstance(before, dict):
                delta[key] = changed_items
    return delta


def _diff_section(before: Document, after: Document) -> Document:
    changed = {
        name: value
        for name, value in after.items()
        if not _are_equal(before.get(name, _MISSING), value)
    }
    changed.update((name, None) for name in before if name not in after)
    return changed


def _are_equal(before: object, after: object) -> bool:
    # 1, 1.0 and True are equal in Python, but their encodings differ.
    if before is after:
        return True
    if before is _MISSING or before != after:
        return False
    return _ENCODER.encode(before) == _ENCODER.encode(after)


def apply_delta(base: Document, delta: Document) -> Document:
    """Apply a delta to a document.

    Args:
        base: Document that the delta was computed from; not modified.
        delta: Result of `make_delta`.

    Returns:
        The changed document, which shares unchanged values with the base.
    """
    changed = dict(base)
    for key, value in delta.items():
        if value is None:
            changed.pop(key, None)
        elif isinstance(value, dict):
            before = changed.get(key)
            section = dict(before) if isinstance(before, dict) else {}
            for name, item in value.items():
                if item is None:
                    section.pop(name, None)
                else:
                    section[name] = item
            changed[key] = section
        else:
            changed[key] = value
    return changed


def apply_to_config(
    config: model.SteeringConfig, document: Document, delta: Document
) -> model.SteeringConfig:
    """Apply a delta to a checked configuration.

    Validates only the changed items, so that the cost does not depend on
    the size of the document.

    Args:
        config: Configuration of the base document.
        document: Result of `apply_delta`.
        delta: Delta from the base document.

    Returns:
        Configuration of the changed document.

    Raises:
        pydantic.ValidationError: A changed item is invalid.
    """
    if any(
        key not in _ITEM_BY_SECTION or value is None
        for key, value in delta.items()
    ):
        return _CONFIG.validate_json(_ENCODER.encode(document))
    changed: Document = {}
    for key, changed_items in delta.items():
        section = dict(getattr(config, key))
        for name, item in changed_items.items():
            if item is None:
                section.pop(name, None)
            else:
                section[name] = _ITEM_BY_SECTION[key].validate_json(
                    _ENCODER.encode(item)
                )
        changed[key] = section
    return dataclasses.replace(config, **changed)
