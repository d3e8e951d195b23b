"""Configuration in force on this host."""

from __future__ import annotations

import collections.abc
import logging
import typing

import msgspec
import pydantic

from wigeonhatch import codes
from wigeonhatch import decoding
from wigeonhatch import outcome
from wigeonhatch import settings
from wigeonhatch.config import delta as deltas
from wigeonhatch.config import model
from wigeonhatch.peers import peers_pb2

_LOG = logging.getLogger(__name__)
_MAX_DELTAS = 256
_CONFIG_ADAPTER = pydantic.TypeAdapter(model.SteeringConfig)

CheckDocument = collections.abc.Callable[
    [deltas.Document],
    outcome.Success[model.SteeringConfig] | outcome.Failure,
]


def parse_document(
    document: deltas.Document,
) -> outcome.Success[model.SteeringConfig] | outcome.Failure:
    """Convert a document without validation across its sections.

    Args:
        document: Merged document.

    Returns:
        The configuration, or `CONFIG_INVALID`.
    """
    try:
        config = _CONFIG_ADAPTER.validate_json(msgspec.json.encode(document))
    except pydantic.ValidationError as error:
        lines = settings.describe_errors(error, 'document')
        return outcome.Failure(
            codes.ResultCode.CONFIG_INVALID, '\n'.join(lines)
        )
    return outcome.Success(config)


class ConfigStore:
    """Configuration in force; its version never decreases.

    Args:
        check: Validates a complete document.
    """

    def __init__(self, check: CheckDocument = parse_document) -> None:
        self.violations = 0
        self._check_document = check
        self._current: model.VersionedConfig | None = None
        self._callbacks: list[
            collections.abc.Callable[[model.VersionedConfig], None]
        ] = []
        # Delta from each version to the one that replaced it.
        self._delta_by_base: dict[int, tuple[int, deltas.Document]] = {}
        self._update_by_base: dict[int, peers_pb2.ConfigUpdate] = {}
        self._hash = 0

    @property
    def current(self) -> model.VersionedConfig | None:
        """Configuration in force; None before the first one."""
        return self._current

    @property
    def version(self) -> int:
        """Version in force; 0 before the first one."""
        return 0 if self._current is None else self._current.version

    def subscribe(
        self,
        on_change: collections.abc.Callable[[model.VersionedConfig], None],
    ) -> None:
        """Register a callback for new configurations.

        Args:
            on_change: Called after each change; must not block.
        """
        self._callbacks.append(on_change)

    def offer(self, versioned: model.VersionedConfig) -> bool:
        """Put a validated configuration in force if it is newer.

        Args:
            versioned: Configuration from the platform or an operator.

        Returns:
            False if it is not newer.
        """
        if not self._is_newer(versioned.version, versioned.change_id):
            return False
        self._replace(versioned, self._delta_to(versioned.document))
        return True

    def offer_document(
        self, version: int, change_id: str, document: deltas.Document
    ) -> outcome.Success[bool] | outcome.Failure:
        """Validate a complete document and put it in force if it is newer.

        Args:
            version: Version of the document.
            change_id: Change that created the version.
            document: Merged document.

        Returns:
            Whether it was newer, or `CONFIG_INVALID`.
        """
        if not self._is_newer(version, change_id):
            return outcome.Success(False)
        delta = self._delta_to(document)
        result = self._validate_change(document, delta)
        if isinstance(result, outcome.Failure):
            return result
        self._replace(
            model.VersionedConfig(version, change_id, result.value, document),
            delta,
        )
        return outcome.Success(True)

    def accept(
        self, update: peers_pb2.ConfigUpdate
    ) -> outcome.Success[bool] | outcome.Failure:
        """Put the configuration of a peer in force if it is newer.

        Args:
            update: Diff or complete document.

        Returns:
            Whether it was newer, or `CONFLICT` if the diff does not apply to
            the configuration in force.
        """
        if not self._is_newer(update.version, update.change_id):
            return outcome.Success(False)
        if not update.base_version:
            return self._accept_document(update)
        current = self._current
        if current is None or current.version != update.base_version:
            return outcome.Failure(
                codes.ResultCode.CONFLICT,
                f'diff is for version {update.base_version}; '
                f'version {self.version} is in force',
            )
        try:
            delta = decoding.decode_json(update.diff, deltas.Document)
        except decoding.DecodeError as error:
            return _malformed(update, error)
        document = deltas.apply_delta(current.document, delta)
        if deltas.hash_document(document) != update.hash:
            return outcome.Failure(
                codes.ResultCode.CONFLICT,
                f'diff to version {update.version} yields another document',
            )
        result = self._validate_change(document, delta)
        if isinstance(result, outcome.Failure):
            return result
        self._replace(
            model.VersionedConfig(
                update.version, update.change_id, result.value, document
            ),
            delta,
            update.hash,
        )
        return outcome.Success(True)

    def make_update(self, base_version: int) -> peers_pb2.ConfigUpdate:
        """Encode the configuration in force for a peer.

        Args:
            base_version: Version that the peer holds.

        Returns:
            A diff if all deltas since that version are cached, otherwise the
            document; an empty update with version 0 if the peer holds the
            version in force or a newer one.
        """
        current = self._current
        if current is None or base_version >= current.version:
            return peers_pb2.ConfigUpdate()
        update = self._update_by_base.get(base_version)
        if update is not None:
            return update
        delta = self._delta_since(base_version)
        update = peers_pb2.ConfigUpdate(
            version=current.version,
            change_id=current.change_id,
            hash=self._hash,
        )
        if delta is None:
            update.document = msgspec.json.encode(current.document)
        else:
            update.base_version = base_version
            update.diff = msgspec.json.encode(delta)
        if len(self._update_by_base) < _MAX_DELTAS:
            self._update_by_base[base_version] = update
        return update

    def _is_newer(self, version: int, change_id: str) -> bool:
        current = self._current
        if current is None:
            return version > 0
        if version == current.version and change_id != current.change_id:
            self._report_violation(
                f'version {version} has two changes: {current.change_id} '
                f'and {change_id}'
            )
        return version > current.version

    def _accept_document(
        self, update: peers_pb2.ConfigUpdate
    ) -> outcome.Success[bool] | outcome.Failure:
        try:
            document = decoding.decode_json(update.document, deltas.Document)
        except decoding.DecodeError as error:
            return _malformed(update, error)
        return self.offer_document(update.version, update.change_id, document)

    def _validate_change(
        self, document: deltas.Document, delta: deltas.Document | None
    ) -> outcome.Success[model.SteeringConfig] | outcome.Failure:
        """Validate the changed sections, or without a delta the document.

        The host that accepted the change has validated the whole document;
        doing so here would block all requests for 190 ms with 7,300 hosts.
        """
        current = self._current
        if current is None or delta is None:
            return self._check_document(document)
        try:
            return outcome.Success(
                deltas.apply_to_config(current.config, document, delta)
            )
        except pydantic.ValidationError as error:
            lines = settings.describe_errors(error, 'change')
            return outcome.Failure(
                codes.ResultCode.CONFIG_INVALID, '\n'.join(lines)
            )

    def _delta_to(self, document: deltas.Document) -> deltas.Document | None:
        if self._current is None:
            return None
        return deltas.make_delta(self._current.document, document)

    def _delta_since(self, base_version: int) -> deltas.Document | None:
        combined: deltas.Document = {}
        version = base_version
        while version != self.version:
            entry = self._delta_by_base.get(version)
            if entry is None:
                return None
            version, delta = entry
            merged = _merge_deltas(combined, delta)
            if merged is None:
                return None
            combined = merged
        return combined

    def _replace(
        self,
        versioned: model.VersionedConfig,
        delta: deltas.Document | None,
        document_hash: int | None = None,
    ) -> None:
        previous = self.version
        if versioned.version <= previous:
            self._report_violation(
                f'version {versioned.version} must not replace {previous}'
            )
            return
        if document_hash is None:
            document_hash = deltas.hash_document(versioned.document)
        if delta is None:
            self._delta_by_base.clear()
        else:
            self._delta_by_base[previous] = (versioned.version, delta)
            if len(self._delta_by_base) > _MAX_DELTAS:
                del self._delta_by_base[next(iter(self._delta_by_base))]
        self._current = versioned
        self._hash = document_hash
        self._update_by_base.clear()
        for on_change in self._callbacks:
            try:
                on_change(versioned)
            except Exception:
                _LOG.exception('configuration subscriber failed')

    def _report_violation(self, detail: str) -> None:
        self.violations += 1
        _LOG.error(
            detail, extra={'code': codes.ResultCode.INVARIANT_VIOLATED.name}
        )


def _merge_deltas(
    first: deltas.Document, second: deltas.Document
) -> deltas.Document | None:
    """Merge two deltas; None if a section was replaced in between."""
    combined: dict[str, typing.Any] = dict(first)
    for key, value in second.items():
        if key in combined and isinstance(value, dict):
            section = combined[key]
            if not isinstance(section, dict):
                return None
            combined[key] = {**section, **value}
        else:
            combined[key] = value
    return combined


def _malformed(
    update: peers_pb2.ConfigUpdate, error: decoding.DecodeError
) -> outcome.Failure:
    return outcome.Failure(
        codes.ResultCode.CONFIG_INVALID, f'version {update.version}: {error}'
    )
