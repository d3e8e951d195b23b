"""Row that names the accepted configuration."""

from __future__ import annotations

import dataclasses
import hashlib
import json

from wigeonhatch.config import merge

HEAD_KEY = 'config/head'
OBJECT_PREFIX = 'config/'


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigHead:
    """Value of the row `config/head`.

    Args:
        version: Version of the configuration, from 1.
        change_id: Change that made it; the object `config/CHANGE_ID` holds
            the document.
        digest: SHA-256 of the object, in hexadecimal; not checked if empty.
    """

    version: int
    change_id: str
    digest: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class HeadVersion:
    """Part of the head for those who need only the version."""

    version: int


def encode_document(document: merge.Document) -> bytes:
    """Encode a document for the object store.

    Args:
        document: MergedDocument document.

    Returns:
        JSON with sorted keys, so that equal documents have equal digests.
    """
    return json.dumps(document, sort_keys=True, separators=(',', ':')).encode()


def compute_digest(content: bytes) -> str:
    """Digest the content of an object.

    Args:
        content: Result of `encode_document`.
    """
    return hashlib.sha256(content).hexdigest()
