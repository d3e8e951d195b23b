"""Tests of the configuration store and of deltas."""

from __future__ import annotations

import typing

import hypothesis
from hypothesis import strategies

from tests.peers import cluster
from wigeonhatch import codes
from wigeonhatch import outcome
from wigeonhatch.config import delta
from wigeonhatch.peers import config_store
from wigeonhatch.peers import peers_pb2

_ADDRESSES = {'a': '127.0.0.1:1', 'b': '127.0.0.1:2'}
_SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(0, 2)
    | strategies.sampled_from([0.0, 1.0, 'x'])
)
_ITEMS = strategies.recursive(
    _SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=2)
        | strategies.dictionaries(strategies.sampled_from('pq'), inner)
    ),
    max_leaves=3,
)
_DOCUMENTS = strategies.dictionaries(
    strategies.sampled_from('abc'),
    _ITEMS | strategies.dictionaries(strategies.sampled_from('xyz'), _ITEMS),
)


def _document(version: int) -> dict[str, typing.Any]:
    return cluster.make_document(_ADDRESSES, version)


def _store(*versions: int) -> config_store.ConfigStore:
    store = config_store.ConfigStore()
    for version in versions:
        assert store.offer(cluster.versioned(version, _document(version)))
    return store


@hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
@hypothesis.given(_DOCUMENTS, _DOCUMENTS)
def test_delta_restores_the_document(
    base: dict[str, typing.Any], changed: dict[str, typing.Any]
) -> None:
    """Guards against a delta that does not restore the changed document."""
    made = delta.make_delta(base, changed)
    if made is None:
        sections = [v for v in changed.values() if isinstance(v, dict)]
        assert None in [
            *changed.values(),
            *(item for section in sections for item in section.values()),
        ]
        return
    restored = delta.apply_delta(base, made)
    assert delta.hash_document(restored) == delta.hash_document(changed)


def test_versions_out_of_order() -> None:
    """Guards against an older version that arrives late and is applied."""
    ahead, behind = _store(1, 2, 3), _store(1)
    received: list[int] = []
    behind.subscribe(lambda new: received.append(new.version))
    late = _store(1, 2).make_update(1)
    assert behind.accept(ahead.make_update(1)) == outcome.Success(True)
    assert behind.accept(late) == outcome.Success(False)
    assert not behind.offer(cluster.versioned(2, _document(2)))
    assert not behind.offer(cluster.versioned(3, _document(3)))
    assert (behind.version, received, behind.violations) == (3, [3], 0)
    assert behind.current is not None and ahead.current is not None
    assert behind.current.document == ahead.current.document
    assert behind.current.config == ahead.current.config


def test_diff_for_another_base_is_refused() -> None:
    """Guards against a diff that is applied to the wrong document."""
    ahead = _store(1, 2, 3)
    for versions in ([], [2], [1]):
        store = _store(*versions)
        update = ahead.make_update(1 if versions == [2] else 2)
        assert update.base_version
        refused = store.accept(update)
        assert isinstance(refused, outcome.Failure)
        assert refused.code is codes.ResultCode.CONFLICT
        assert store.version == (versions or [0])[0]


def test_diff_that_yields_another_document_is_refused() -> None:
    """Guards against two different documents with the same version."""
    update = peers_pb2.ConfigUpdate()
    update.CopyFrom(_store(1, 2).make_update(1))
    update.diff = b'{"customer_by_name":{"stranger":{}}}'
    store = _store(1)
    assert isinstance(store.accept(update), outcome.Failure)
    assert store.version == 1


def test_document_is_sent_when_the_base_is_unknown() -> None:
    """Guards against a host that is too far behind to apply a diff."""
    update = _store(5, 9).make_update(3)
    assert not update.base_version and update.document
    for store in (_store(), _store(3)):
        assert store.accept(update) == outcome.Success(True)
        assert store.version == 9
        assert not _store(9).make_update(9).version


def test_invalid_change_is_not_put_in_force() -> None:
    """Guards against a configuration in force that failed validation."""
    document = _document(2)
    document['host_by_name']['c'] = {'domain': 'north-a'}
    store = _store(1)
    assert store.current is not None
    step = delta.make_delta(store.current.document, document)
    update = peers_pb2.ConfigUpdate(
        version=2,
        base_version=1,
        diff=delta._ENCODER.encode(step),
        hash=delta.hash_document(document),
    )
    for refused in (
        store.accept(update),
        store.offer_document(2, 'change-2', document),
    ):
        assert isinstance(refused, outcome.Failure)
        assert refused.code is codes.ResultCode.CONFIG_INVALID
    assert store.version == 1


def test_two_changes_under_one_version_are_reported() -> None:
    """Guards against two changes with one version that go undetected."""
    store = _store(1)
    other = peers_pb2.ConfigUpdate(version=1, change_id='other')
    assert store.accept(other) == outcome.Success(False)
    assert store.violations == 1
    assert store.current is not None
    assert store.current.change_id == 'change-1'


def test_failing_subscriber_does_not_stop_the_others() -> None:
    """Guards against a failing subscriber that blocks the others."""
    store = config_store.ConfigStore()
    received: list[int] = []

    def fail(_: object) -> None:
        raise RuntimeError('subscriber failed')

    store.subscribe(fail)
    store.subscribe(lambda new: received.append(new.version))
    assert store.offer(cluster.versioned(1, _document(1)))
    assert received == [1]
