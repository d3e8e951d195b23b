"""Operations on the drains of a configuration document."""

from __future__ import annotations

from wigeonhatch.config import merge

SECTION = 'drain_by_name'
COMMAND_SOURCE = 'command'


def find_kind(document: merge.Document, name: str) -> str | None:
    """Return whether a name belongs to a host or a target.

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
    """Copy drains set by command from the current to a new document.

    Args:
        current: Configuration in force.
        document: Document that replaces it.

    Returns:
        The new document with the drains whose names it still contains.
    """
    drains = dict(document.get(SECTION, {}))
    for name, drain in current.get(SECTION, {}).items():
        is_command_drain = drain.get('source') == COMMAND_SOURCE
        if is_command_drain and find_kind(document, name) == drain.get('kind'):
            drains.setdefault(name, drain)
    if not drains:
        return document
    return {**document, SECTION: drains}


def add(
    document: merge.Document, name: str, kind: str, since_ms: int
) -> merge.Document:
    """Add a drain with the source `command`, unless the name is draining.

    Args:
        document: Configuration in force.
        name: Name of the host or target.
        kind: `host` or `target`.
        since_ms: Start of the drain since the Unix epoch in ms.

    Returns:
        A new document.
    """
    if name in document.get(SECTION, {}):
        return document
    drain = {'kind': kind, 'since_ms': since_ms, 'source': COMMAND_SOURCE}
    return merge.apply_patch(document, {SECTION: {name: drain}})


def remove(document: merge.Document, name: str) -> merge.Document:
    """Remove the drain of a name, if any.

    Args:
        document: Configuration in force.
        name: Name of the host or target.

    Returns:
        A new document.
    """
    if name not in document.get(SECTION, {}):
        return document
    updated = merge.apply_patch(document, {SECTION: {name: None}})
    if not updated[SECTION]:
        del updated[SECTION]
    return updated
