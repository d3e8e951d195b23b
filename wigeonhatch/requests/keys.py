"""Idempotency keys that one incarnation of a host issues."""

from __future__ import annotations

import collections
import dataclasses
import enum
import hashlib
import hmac
import logging
import secrets
import urllib.parse

from wigeonhatch import clock as clocks
from wigeonhatch import codes
from wigeonhatch import outcome

LOG = logging.getLogger(__name__)

KEY_LIFETIME_MS = 600_000
MAX_STORED_RESPONSE_BYTES = 65_536
MAX_KEY_BYTES = 512
_MAC_BYTES = 16
_SECRET_BYTES = 32
_FIELD_COUNT = 5
# A host of the current deployments begins a few hundred keys per second, which
# is 120,000 within the lifetime of a key.
_MAX_ENTRIES = 200_000
_MAX_TOTAL_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class StoredResponse:
    """Response that is replayed to later attempts with the same key.

    Args:
        status: HTTP status.
        headers: Header names in lower case, and values.
        body: Complete body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def size_bytes(self) -> int:
        """Approximate memory of the response in bytes."""
        header_bytes = sum(len(n) + len(v) for n, v in self.headers)
        return len(self.body) + header_bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """First attempt with the key; its request is to be run now."""

    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Replay:
    """The request of the key has finished; its response is replayed."""

    response: StoredResponse


@dataclasses.dataclass(frozen=True, slots=True)
class KeyParts:
    """Fields of a key.

    Args:
        host: Host that issued the key.
        incarnation: Incarnation of that host.
        issued_ms: Time of issue on that host's monotonic clock in ms.
        serial: Sequence number of the key within the incarnation.
        signed: Text that the MAC authenticates.
        mac: MAC in hexadecimal digits.
    """

    host: str
    incarnation: int
    issued_ms: int
    serial: int
    signed: str
    mac: str


class _State(enum.Enum):
    IN_PROGRESS = enum.auto()
    FINISHED = enum.auto()


class _Entry:
    __slots__ = ('begun_ms', 'digest', 'is_sent', 'response', 'state')

    def __init__(self, begun_ms: int, digest: bytes) -> None:
        self.begun_ms = begun_ms
        self.digest = digest
        self.is_sent = False
        self.state = _State.IN_PROGRESS
        self.response: StoredResponse | None = None


def parse_key(key: str) -> KeyParts | None:
    """Split a key into its fields.

    Args:
        key: Text of the key.

    Returns:
        The fields, not authenticated; None if the text is no key.
    """
    if len(key) > MAX_KEY_BYTES or not key.isascii():
        return None
    texts = key.rsplit('.', _FIELD_COUNT - 1)
    if len(texts) != _FIELD_COUNT:
        return None
    host, incarnation, issued, serial, mac = texts
    try:
        fields = [int(text, 16) for text in (incarnation, issued, serial)]
    except ValueError:
        return None
    if not host or len(mac) != 2 * _MAC_BYTES or min(fields) < 0:
        return None
    return KeyParts(
        urllib.parse.unquote(host),
        fields[0],
        fields[1],
        fields[2],
        key[: -len(mac) - 1],
        mac,
    )


class KeyTable:
    """Issue keys and store the state and response of their requests.

    Args:
        host: Name of this host.
        incarnation: Incarnation of this daemon.
        clock: Source of monotonic time.
        max_entries: Largest number of stored keys; further ones are refused.
        max_total_bytes: Memory for responses; the oldest are evicted.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        clock: clocks.Clock,
        max_entries: int = _MAX_ENTRIES,
        max_total_bytes: int = _MAX_TOTAL_BYTES,
    ) -> None:
        self.violations = 0
        self._host = host
        self._incarnation = incarnation
        self._clock = clock
        self._max_entries = max_entries
        self._max_total_bytes = max_total_bytes
        self._secret = secrets.token_bytes(_SECRET_BYTES)
        self._prefix = f'{urllib.parse.quote(host, safe="")}.{incarnation:x}.'
        self._serial = 0
        # In the order of `begin`, which is also the order of expiry.
        self._entry_by_serial: dict[int, _Entry] = {}
        self._stored_serials: collections.deque[int] = collections.deque()
        self._stored_bytes = 0

    def __len__(self) -> int:
        """Number of stored keys."""
        return len(self._entry_by_serial)

    @property
    def stored_bytes(self) -> int:
        """Memory of the stored responses in bytes."""
        return self._stored_bytes

    def issue(self, count: int) -> list[str]:
        """Issue new keys.

        Args:
            count: Number of keys, at least 0.

        Returns:
            Keys that are unique to this call.
        """
        now = f'{self._clock.now_ms:x}'
        keys = []
        for _ in range(count):
            self._serial += 1
            signed = f'{self._prefix}{now}.{self._serial:x}'
            keys.append(f'{signed}.{self._mac(signed)}')
        return keys

    def begin(
        self, key: str, digest: bytes = b''
    ) -> Started | Replay | outcome.Failure:
        """Begin the request of a key unless an attempt has begun before.

        Args:
            key: Text of the key.
            digest: Hash of the request; the first one is bound to the key.

        Returns:
            `Started` for the first attempt; `Replay` if its response is
            stored; otherwise the refusal.
        """
        key_parts = self._check(key)
        if isinstance(key_parts, outcome.Failure):
            return key_parts
        self._remove_expired()
        entry = self._entry_by_serial.get(key_parts.serial)
        if entry is not None:
            return self._answer_repeat(entry, digest)
        if len(self._entry_by_serial) >= self._max_entries:
            return outcome.Failure(
                codes.ResultCode.NO_CAPACITY,
                f'{self._max_entries} idempotency keys are in use',
            )
        entry = _Entry(self._clock.now_ms, digest)
        self._entry_by_serial[key_parts.serial] = entry
        return Started(key)

    def mark_sent(self, key: str) -> bool:
        """Record that the request of a key may reach a target from now on.

        Args:
            key: Key that has begun.

        Returns:
            False if the request must not be sent, because the key has not
            begun or the request may already have reached a target.
        """
        entry = self._find_entry(key)
        if entry is None:
            return False
        if entry.is_sent or entry.state is not _State.IN_PROGRESS:
            self._report_violation('attempt to send a request twice', key)
            return False
        entry.is_sent = True
        return True

    def is_sent(self, key: str) -> bool:
        """Tell whether the request of a key may have reached a target.

        Args:
            key: Key that has begun.
        """
        entry = self._find_entry(key)
        return entry is not None and entry.is_sent

    def mark_not_run(self, key: str) -> None:
        """Record that the request certainly did not run.

        Args:
            key: Key that has begun.
        """
        entry = self._find_entry(key)
        if entry is not None and entry.state is _State.IN_PROGRESS:
            entry.is_sent = False

    def finish(self, key: str, stored: StoredResponse | None) -> None:
        """End the request of a key that may have run.

        Args:
            key: Key that has begun.
            stored: Response to replay; None if it is not stored.
        """
        entry = self._find_entry(key)
        if entry is None or entry.state is _State.FINISHED:
            return
        entry.state = _State.FINISHED
        if stored is None or stored.size_bytes > (
            2 * MAX_STORED_RESPONSE_BYTES
        ):
            return
        entry.response = stored
        key_parts = parse_key(key)
        assert key_parts is not None
        self._stored_serials.append(key_parts.serial)
        self._stored_bytes += stored.size_bytes
        while self._stored_bytes > self._max_total_bytes:
            self._evict_response(self._stored_serials.popleft())

    def remove(self, key: str) -> None:
        """Remove a key whose request certainly did not run.

        Args:
            key: Key that has begun.
        """
        key_parts = parse_key(key)
        entry = self._find_entry(key)
        if key_parts is None or entry is None:
            return
        if entry.is_sent or entry.state is _State.FINISHED:
            self._report_violation(
                'attempt to remove the key of a sent request', key
            )
            entry.state = _State.FINISHED
            return
        del self._entry_by_serial[key_parts.serial]

    def _answer_repeat(
        self, entry: _Entry, digest: bytes
    ) -> Replay | outcome.Failure:
        if entry.digest != digest:
            return outcome.Failure(
                codes.ResultCode.BAD_REQUEST,
                'the idempotency key belongs to another request',
            )
        if entry.state is _State.IN_PROGRESS:
            return outcome.Failure(codes.ResultCode.IN_PROGRESS)
        if entry.response is not None:
            return Replay(entry.response)
        return outcome.Failure(codes.ResultCode.ALREADY_RAN)

    def _check(self, key: str) -> KeyParts | outcome.Failure:
        key_parts = parse_key(key)
        if key_parts is None:
            return outcome.Failure(codes.ResultCode.KEY_MALFORMED)
        if (key_parts.host, key_parts.incarnation) != (
            self._host,
            self._incarnation,
        ):
            return outcome.Failure(
                codes.ResultCode.KEY_HOST_UNREACHABLE,
                f'host {key_parts.host} has restarted since it issued the key',
            )
        if not hmac.compare_digest(self._mac(key_parts.signed), key_parts.mac):
            return outcome.Failure(
                codes.ResultCode.KEY_MALFORMED, 'the MAC does not match'
            )
        if self._clock.now_ms - key_parts.issued_ms >= KEY_LIFETIME_MS:
            return outcome.Failure(codes.ResultCode.KEY_EXPIRED)
        return key_parts

    def _find_entry(self, key: str) -> _Entry | None:
        key_parts = parse_key(key)
        if key_parts is None or key_parts.incarnation != self._incarnation:
            return None
        return self._entry_by_serial.get(key_parts.serial)

    def _mac(self, signed: str) -> str:
        return hashlib.blake2b(
            signed.encode(), key=self._secret, digest_size=_MAC_BYTES
        ).hexdigest()

    def _remove_expired(self) -> None:
        # A key is issued before it begins, so that the key of an entry that
        # began one lifetime ago has expired.
        expired_ms = self._clock.now_ms - KEY_LIFETIME_MS
        while self._entry_by_serial:
            serial = next(iter(self._entry_by_serial))
            if self._entry_by_serial[serial].begun_ms > expired_ms:
                return
            self._evict_response(serial)
            del self._entry_by_serial[serial]

    def _evict_response(self, serial: int) -> None:
        entry = self._entry_by_serial.get(serial)
        if entry is not None and entry.response is not None:
            self._stored_bytes -= entry.response.size_bytes
            entry.response = None

    def _report_violation(self, description: str, key: str) -> None:
        self.violations += 1
        LOG.error(
            'INVARIANT_VIOLATED: %s: key %s',
            description,
            key.rpartition('.')[0],
            extra={'code': int(codes.ResultCode.INVARIANT_VIOLATED)},
        )
