"""Merging of the operators' files into one document."""

from __future__ import annotations

import collections.abc
import dataclasses
import json
import math
import pathlib
import typing

from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.config import problems

Document = dict[str, typing.Any]
Path = tuple[str, ...]
FILE_SUFFIX = '.json'
MAX_FOLDER_BYTES = 32_000_000
_MAX_DEPTH = 32


@dataclasses.dataclass(slots=True)
class Origin:
    """Last file that changed a value, and the origins of its members.

    Args:
        file: Name of the file.
        origin_by_key: Origin of each member, if the value is an object.
    """

    file: str = problems.MERGED_SOURCE
    origin_by_key: dict[str, Origin] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class MergedDocument:
    """Merged document and the origin of its values.

    Args:
        document: Result of the merge, without nulls.
        origin: Origin of the whole document.
    """

    document: Document
    origin: Origin = dataclasses.field(default_factory=Origin)

    def find_file(self, path: Path) -> str:
        """Return the source file of a value or of its nearest ancestor.

        Args:
            path: Path in the document; the value may be absent.
        """
        origin = self.origin
        for key in path:
            inner = origin.origin_by_key.get(key)
            if inner is None:
                break
            origin = inner
        return origin.file


def read_folder(
    path: str,
) -> outcome.Success[dict[str, bytes]] | outcome.Failure:
    """Read the JSON files of a folder.

    Args:
        path: Folder. Subfolders, hidden files and files without the suffix
            `.json` are skipped.

    Returns:
        Content by file name, or `CONFIG_INVALID`.
    """
    content_by_name: dict[str, bytes] = {}
    total_bytes = 0
    try:
        for item in sorted(pathlib.Path(path).iterdir()):
            is_hidden = item.name.startswith('.')
            if is_hidden or item.suffix != FILE_SUFFIX or not item.is_file():
                continue
            content_by_name[item.name] = item.read_bytes()
            total_bytes += len(content_by_name[item.name])
            if total_bytes > MAX_FOLDER_BYTES:
                return outcome.Failure(
                    codes.ResultCode.CONFIG_INVALID,
                    f'{path}: found more than {MAX_FOLDER_BYTES} bytes; '
                    f'allowed: at most {MAX_FOLDER_BYTES} bytes',
                )
    except (OSError, ValueError) as error:
        reason = getattr(error, 'strerror', None) or str(error)
        return outcome.Failure(
            codes.ResultCode.CONFIG_INVALID,
            f'{path}: found: {reason}; allowed: a readable folder',
        )
    if not content_by_name:
        return outcome.Failure(
            codes.ResultCode.CONFIG_INVALID,
            f'{path}: found no files; allowed: at least one *.json file',
        )
    return outcome.Success(content_by_name)


def merge_folder(
    path: str,
) -> outcome.Success[MergedDocument] | outcome.Failure:
    """Merge the JSON files of a folder in the order of their names.

    Args:
        path: Folder with files `*.json`.

    Returns:
        The merged document, or `CONFIG_INVALID` with one line for each
        problem.
    """
    files = read_folder(path)
    if isinstance(files, outcome.Failure):
        return files
    return merge_files(files.value)


def merge_files(
    content_by_name: collections.abc.Mapping[str, bytes],
) -> outcome.Success[MergedDocument] | outcome.Failure:
    """Merge files in the order of their names; later files take precedence.

    Objects merge by key, lists and scalars are replaced, null deletes.

    Args:
        content_by_name: Content of each file.

    Returns:
        The merged document, or `CONFIG_INVALID` with one line for each
        problem of any file.
    """
    merged = MergedDocument({})
    errors: list[problems.Problem] = []
    for name in sorted(content_by_name):
        parsed = _parse_file(name, content_by_name[name])
        if isinstance(parsed, problems.Problem):
            errors.append(parsed)
        else:
            _merge_into(merged.document, parsed, merged.origin, name)
    if errors:
        return problems.make_failure(errors)
    return outcome.Success(merged)


def apply_patch(document: Document, patch: Document) -> Document:
    """Merge a patch into a document.

    Args:
        document: Base; not modified.
        patch: Objects merge by key, null deletes.

    Returns:
        A new document that shares unchanged values with the base.
    """
    result = dict(document)
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        elif isinstance(value, dict):
            base = result.get(key)
            result[key] = apply_patch(
                base if isinstance(base, dict) else {}, value
            )
        else:
            result[key] = value
    return result


class _DuplicateKeyError(ValueError):
    """A JSON object contains a key more than once."""


def _merge_into(
    document: Document, patch: Document, origin: Origin, file: str
) -> None:
    origin.file = file
    for key, value in patch.items():
        if value is None:
            document.pop(key, None)
            origin.origin_by_key.pop(key, None)
        elif isinstance(value, dict):
            if not isinstance(document.get(key), dict):
                document[key] = {}
                origin.origin_by_key[key] = Origin()
            inner = origin.origin_by_key[key]
            _merge_into(document[key], value, inner, file)
        else:
            document[key] = value
            origin.origin_by_key[key] = Origin(file)


def _parse_file(name: str, content: bytes) -> Document | problems.Problem:
    try:
        parsed = json.loads(
            content.decode(),
            object_pairs_hook=_object_from_pairs,
            parse_constant=_reject_constant,
            parse_float=_parse_finite_float,
        )
        # JSON may contain lone surrogates, which cannot be encoded as UTF-8.
        json.dumps(parsed, ensure_ascii=False).encode()
    except _DuplicateKeyError as error:
        return problems.Problem(
            name, str(error), 'the key twice', 'each key once in an object'
        )
    except json.JSONDecodeError as error:
        position = f'line {error.lineno} column {error.colno}'
        return problems.Problem(name, position, error.msg, 'valid JSON')
    except UnicodeError as error:
        return problems.Problem(
            name, problems.DOCUMENT_PATH, str(error), 'JSON in UTF-8'
        )
    except (ValueError, RecursionError) as error:
        return problems.Problem(
            name, problems.DOCUMENT_PATH, str(error)[:120], 'valid JSON'
        )
    if not isinstance(parsed, dict):
        return problems.Problem(
            name,
            problems.DOCUMENT_PATH,
            problems.format_value(parsed),
            'an object',
        )
    if _nesting_depth(parsed) > _MAX_DEPTH:
        return problems.Problem(
            name,
            problems.DOCUMENT_PATH,
            f'values nested more than {_MAX_DEPTH} deep',
            f'at most {_MAX_DEPTH} levels',
        )
    return parsed


def _object_from_pairs(pairs: list[tuple[str, typing.Any]]) -> Document:
    document = dict(pairs)
    if len(document) != len(pairs):
        seen: set[str] = set()
        for key, _ in pairs:
            if key in seen:
                raise _DuplicateKeyError(key)
            seen.add(key)
    return document


def _reject_constant(name: str) -> typing.NoReturn:
    raise ValueError(f'{name} is no JSON number')


def _parse_finite_float(text: str) -> float:
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f'{text[:40]} is out of range')
    return value


def _nesting_depth(value: object) -> int:
    max_level = 0
    pending = [(value, 1)]
    while pending:
        item, level = pending.pop()
        max_level = max(max_level, level)
        if isinstance(item, dict):
            pending.extend((inner, level + 1) for inner in item.values())
        elif isinstance(item, list):
            pending.extend((inner, level + 1) for inner in item)
    return max_level
