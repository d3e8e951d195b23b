"""Drains in a document."""

from __future__ import annotations

from wigeonhatch.config import merge

SECTION = 'drain_by_name'
BY_COMMAND = 'command'


def find_kind(document: merge.Document, name: str) -> str | None:
    """Tell whether a name is a host or a target.

    Args:
        document: Checked configuration, or an empty document.
        name: Name to look up.

    Returns:
        `host`, `target`, or None.
    """
    if name in document.get('host_by_name', {}):
        return 'host'
    if name in document.get('target_by_name', {}):
        return 'target'
    return None


def retain_command_drains(
    current: merge.Document, document: merge.Document
) -> merge.Document:
    """Add the drains that were set by command to a new document.

    Args:
        current: Configuration in force.
        document: Document that replaces it.

    Returns:
        The new document with the drains of names that it still has.
    """
    drains = dict(document.get(SECTION, {}))
    for name, drain in current.get(SECTION, {}).items():
        by_command = drain.get('source') == BY_COMMAND
        if by_command and find_kind(document, name) == drain.get('kind'):
            drains.setdefault(name, drain)
    if not drains:
        return document
    return {**document, SECTION: drains}


def add(
    document: merge.Document, name: str, kind: str, since_ms: int
) -> merge.Document:
    """Add a drain by command; a drain that exists is kept.

    Args:
        document: Configuration in force.
        name: Name of the host or target.
        kind: `host` or `target`.
        since_ms: Time since the Unix epoch in ms.

    Returns:
        A new document.
    """
    if name in document.get(SECTION, {}):
        return document
    drain = {'kind': kind, 'since_ms': since_ms, 'source': BY_COMMAND}
    return merge.apply_patch(document, {SECTION: {name: drain}})


def remove(document: merge.Document, name: str) -> merge.Document:
    """Remove a drain, if there is one.

    Args:
        document: Configuration in force.
        name: Name of the host or target.

    Returns:
        A new document.
    """
    if name not in document.get(SECTION, {}):
        return document
    after = merge.apply_patch(document, {SECTION: {name: None}})
    if not after[SECTION]:
        del after[SECTION]
    return after
