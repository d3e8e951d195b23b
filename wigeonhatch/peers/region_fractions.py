"""Exchange of the distributions that the hosts of each region use."""

from __future__ import annotations

import collections.abc

from wigeonhatch.peers import state_link

_SCALE = 10_000
"""Fractions are sent as integers, which take less space."""
_MAX_ENTRIES = 12
"""Maximum regions in a distribution that is sent: those served most."""
_OTHER_REGIONS = 2
"""Other regions per datagram, in turn, so that it fits into one packet."""


class RegionFractions:
    """Newest distribution of each region over the regions of its targets.

    Hosts also tell the distributions of other regions, so that the only host
    of a region goes on from the last one after a restart.

    Args:
        region: Region of this host.
        peers: States of the peers.
    """

    def __init__(self, region: str, peers: state_link.PeerTable) -> None:
        self.report: dict[str, dict[str, int]] = {}
        self._region = region
        self._peers = peers
        self._newest_by_region: dict[str, dict[str, int]] = {}
        self._turn = 0

    def refresh(
        self, fraction_by_region: collections.abc.Mapping[str, float]
    ) -> None:
        """Rebuild the report for the peers.

        Args:
            fraction_by_region: Distribution that this host uses; empty if it
                has not sent any request.
        """
        told: dict[str, dict[str, int]] = {}
        for state in self._peers.live_states():
            for region, fractions in state.report.fractions_by_region.items():
                if region == state.region:
                    self._newest_by_region[region] = fractions
                else:
                    told[region] = fractions
        for region, fractions in told.items():
            self._newest_by_region.setdefault(region, fractions)
        others = sorted(self._newest_by_region.keys() - {self._region})
        self._turn += 1
        self.report = {
            region: self._newest_by_region[region]
            for region in (
                others[(self._turn * _OTHER_REGIONS + number) % len(others)]
                for number in range(min(_OTHER_REGIONS, len(others)))
            )
        }
        if fraction_by_region:
            largest = sorted(
                fraction_by_region.items(), key=lambda item: -item[1]
            )
            self.report[self._region] = {
                region: round(fraction * _SCALE)
                for region, fraction in largest[:_MAX_ENTRIES]
                if round(fraction * _SCALE) > 0
            }

    def find_peers(self) -> list[dict[str, float]]:
        """Find the distributions that the live peers of the region use.

        Returns:
            Their distributions. If none of them has sent requests, what the
            peers in other regions tell.
        """
        own: list[dict[str, float]] = []
        told: list[dict[str, float]] = []
        for state in self._peers.live_states():
            fractions = state.report.fractions_by_region.get(self._region, {})
            total = sum(value for value in fractions.values() if value > 0)
            if total:
                (own if state.region == self._region else told).append(
                    {
                        region: value / total
                        for region, value in fractions.items()
                        if value > 0
                    }
                )
        return own or told
