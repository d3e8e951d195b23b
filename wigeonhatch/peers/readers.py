"""Selection of the hosts that follow the platform's store (readers).

Each failure domain has one reader. The other hosts fetch rows from it and
from the readers of other domains, so that the calls to the store grow with
the number of domains and not with the number of hosts.
"""

from __future__ import annotations

import collections.abc

from wigeonhatch.steering import rendezvous

_SUBJECT = 'store'


def choose_reader(
    reaches_store_by_host: collections.abc.Mapping[str, bool],
) -> str:
    """Choose the reader of a failure domain by rendezvous hashing.

    Hosts that see different peers may choose different readers. This only
    causes additional calls to the store.

    Args:
        reaches_store_by_host: Whether the last store call of each live host
            of the domain was answered.

    Returns:
        A host that reaches the store, or any host if none does.
    """
    capable = [
        host for host, reaches in reaches_store_by_host.items() if reaches
    ]
    return rendezvous.rank(capable or reaches_store_by_host, _SUBJECT)[0]
