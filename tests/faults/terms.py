"""Terms that the soak holds the daemons to, as agreed with their users."""

from __future__ import annotations

CONTACT_MS = 4_000
"""Time without disturbance after which a host is held to the bounds."""
DRAIN_MS = 2_500
"""A target that leaves gets no request later than this."""
EVACUATE_MS = 5_000
"""Targets of an evacuated domain get no request later than this."""
CONFIG_MS = 2_500
"""A configuration is in force later than this."""
REVERT_MS = 250
"""A host whose new routes were seen serves no older ones after this."""
GRACE_MS = 6_000
"""Time from SIGTERM to SIGKILL."""
RECOVERY_MS = 15_000
"""Requests are served again this long after the last fault."""
ADDRESS_REUSE_MS = 2_000
"""An address may belong to a target of another service after this."""
RETRY_WINDOW_MS = 10_000
RETRY_RATIO = 0.2
RETRY_SLACK = 64
"""Repeated arrivals per window: the ratio of the requests, and the slack."""
WARMUP_MS = 3_000
WARMUP_PER_S = 4.0
WARMUP_FACTOR = 1.5
WARMUP_MARGIN = 5
"""Requests per second to a cold target: rate by factor, and the margin."""
LOOKUP_LAG_MS = 3_000
"""Beyond the contact time, lookups do not name a host that was killed."""
MAX_CUT = 3
"""Requests that a host may cut although nothing disturbs it."""
UNSERVED_MIN = 5
UNSERVED_RATIO = 0.002
"""Requests that may stay unserved once the fleet has recovered."""
STALL_MS = 250
"""Delay of the soak's own loop from which its readings prove nothing."""
