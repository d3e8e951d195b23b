"""Comparison of the configuration in force with those of the peers."""

from __future__ import annotations

from wigeonhatch import clock as clocks


class ConfigLag:
    """Tell how far this host is behind the newest configuration it heard of.

    Args:
        clock: Source of monotonic time.

    Attributes:
        version: Version of the configuration in force; 0 for none.
        newest_version: Newest version in force at this host or, as far as it
            has heard, at a peer.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self.version = 0
        self.newest_version = 0
        self._clock = clock
        self._in_force_since_ms = clock.now_ms
        self._behind_since_ms: int | None = None

    @property
    def is_behind(self) -> bool:
        """Whether a peer has announced a newer configuration."""
        return self.newest_version > self.version

    @property
    def behind_ms(self) -> int:
        """Time in ms since the first newer configuration was announced."""
        since_ms = self._behind_since_ms
        return 0 if since_ms is None else self._clock.now_ms - since_ms

    @property
    def age_ms(self) -> int:
        """Time in ms for which the configuration has been in force."""
        return self._clock.now_ms - self._in_force_since_ms

    def on_peer_version(self, version: int) -> None:
        """Compare the version that a peer has in force.

        Args:
            version: Version of the peer's configuration; 0 for none.
        """
        self.newest_version = max(self.newest_version, version)
        if self.is_behind and self._behind_since_ms is None:
            self._behind_since_ms = self._clock.now_ms

    def on_config(self, version: int) -> int:
        """Record that a newer configuration is in force.

        Args:
            version: Its version.

        Returns:
            Time in ms for which this host was behind its peers; 0 if it was
            among the first.
        """
        behind_ms = self.behind_ms
        self.version = version
        self.newest_version = max(self.newest_version, version)
        self._in_force_since_ms = self._clock.now_ms
        # Of a newer one only its existence is known, not since when.
        self._behind_since_ms = self._clock.now_ms if self.is_behind else None
        return behind_ms
