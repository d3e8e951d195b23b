"""Human-readable differences between two documents."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

from wigeonhatch.config import merge
from wigeonhatch.config import problems

_MISSING = object()


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """One value that was added, removed or changed.

    Args:
        path: Keys from the root, joined by dots.
        before: Rendered old value; None if it was added.
        after: Rendered new value; None if it was removed.
    """

    path: str
    before: str | None
    after: str | None

    def __str__(self) -> str:
        if self.before is None:
            return f'+ {self.path}: {self.after}'
        if self.after is None:
            return f'- {self.path}: {self.before}'
        return f'~ {self.path}: {self.before} -> {self.after}'


def diff_documents(
    before: merge.Document, after: merge.Document
) -> list[Difference]:
    """List the differences between two documents.

    Args:
        before: Old document.
        after: New document.

    Returns:
        One entry for each scalar, list or empty object that was added,
        removed or changed, ordered by path.
    """
    return list(_compare((), before, after))


def _compare(
    path: merge.Path, before: typing.Any, after: typing.Any
) -> collections.abc.Iterator[Difference]:
    if isinstance(before, dict) and isinstance(after, dict):
        for key in sorted(before.keys() | after.keys()):
            yield from _compare(
                (*path, key),
                before.get(key, _MISSING),
                after.get(key, _MISSING),
            )
    elif isinstance(before, dict) and before:
        yield from _compare(path, before, {})
        if after is not _MISSING:
            yield _render(path, _MISSING, after)
    elif isinstance(after, dict) and after:
        if before is not _MISSING:
            yield _render(path, before, _MISSING)
        yield from _compare(path, {}, after)
    elif _are_different(before, after):
        yield _render(path, before, after)


def _render(path: merge.Path, before: object, after: object) -> Difference:
    return Difference(
        problems.format_path(path),
        None if before is _MISSING else problems.format_value(before),
        None if after is _MISSING else problems.format_value(after),
    )


def _are_different(before: object, after: object) -> bool:
    # 1 and True are equal in Python, but 1 and true differ in JSON.
    return type(before) is not type(after) or before != after
