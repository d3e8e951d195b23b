"""Choice of the hosts that follow the platform's store.

One host of each failure domain does; the others learn from it and from the
readers of other domains. The calls to the store then grow with the domains
and not with the hosts.
"""

from __future__ import annotations

import collections.abc

from wigeonhatch.steering import rendezvous

_SUBJECT = 'store'


def choose_reader(
    reaches_store_by_host: collections.abc.Mapping[str, bool],
) -> str:
    """Choose the host of a failure domain that follows the store.

    Hosts that see different peers may choose different readers, which costs
    calls and nothing else.

    Args:
        reaches_store_by_host: Whether the last call of each live host of the
            domain was answered.

    Returns:
        A host that reaches the store, or any if none does.
    """
    able = [host for host, reaches in reaches_store_by_host.items() if reaches]
    return rendezvous.rank(able or reaches_store_by_host, _SUBJECT)[0]
