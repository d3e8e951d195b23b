"""Head row, which refers to the accepted configuration."""

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
        change_id: ID of the change that created the version; the object
            `config/CHANGE_ID` holds the document.
        digest: SHA-256 of the object in hexadecimal; not verified if empty.
    """

    version: int
    change_id: str
    digest: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class HeadVersion:
    """Partial view of the head row for readers of the version only."""

    version: int


def encode_document(document: merge.Document) -> bytes:
    """Encode a document for the object store.

    Args:
        document: Merged document.

    Returns:
        JSON with sorted keys, so that equal documents have equal digests.
    """
    return json.dumps(document, sort_keys=True, separators=(',', ':')).encode()


def compute_digest(content: bytes) -> str:
    """Compute the SHA-256 digest of an object.

    Args:
        content: Content of the object, from `encode_document`.
    """
    return hashlib.sha256(content).hexdigest()
