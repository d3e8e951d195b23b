"""Bounds that the soak test checks, as agreed with the users."""

from __future__ import annotations

CONVERGENCE_MS = 4_000
"""Undisturbed time after which a host must keep the time bounds."""
DRAIN_MS = 2_500
"""Time after which a leaving target must get no more requests."""
EVACUATE_MS = 5_000
"""Time after which targets of an evacuated domain must get no requests."""
CONFIG_MS = 2_500
"""Maximum time until a written configuration is in force."""
REVERT_MS = 250
"""Time after which a host that served new routes must not serve old ones."""
STOP_GRACE_MS = 6_000
"""Time from SIGTERM to SIGKILL."""
RECOVERY_MS = 15_000
"""Maximum time from the last fault until requests are served again."""
ADDRESS_REUSE_MS = 2_000
"""Minimum time until an address may serve another service."""
RETRY_WINDOW_MS = 10_000
RETRY_RATIO = 0.2
RETRY_SLACK = 64
"""Maximum repeated arrivals per window: ratio * requests + slack."""
WARMUP_MS = 3_000
WARMUP_PER_S = 4.0
WARMUP_FACTOR = 1.5
WARMUP_SLACK = 5
"""Maximum requests per second to a cold target: rate * factor + slack."""
RATE_WINDOW_MS = 4_000
RATE_FACTOR = 1.5
RATE_SLACK = 5
"""Maximum requests per window to a target that states a rate limit, from all
informed hosts: rate * factor * window + slack."""
RATE_NOTICE_MS = 500
"""Time from the response that informs a host until its requests count."""
PAUSE_NOTICE_MS = 500
"""Time from the response that asks for a pause until requests count."""
MAX_PAUSED = 2
"""Maximum requests of a host in the rest of the pause."""
FREE_CRASHES = 3
MAX_LATE_SENDS = 3
"""Maximum sends of a request, later than the convergence time after it has
crashed `FREE_CRASHES` targets."""
MIN_SERVED_RATIO = 2 / 3
"""Minimum served fraction at hosts without links to targets, relative to the
others; it applies if more requests fail than the two values below allow."""
UNSERVED_AT_CUT = 10
UNSERVED_AT_CUT_RATIO = 0.02
LOOKUP_LAG_MS = 3_000
"""Time beyond convergence after which lookups must omit a killed host."""
MAX_LOST = 3
"""Requests that converged hosts may lose during faults elsewhere."""
UNSERVED_SLACK = 5
UNSERVED_RATIO = 0.002
"""Maximum unserved requests after recovery: slack + ratio * requests."""
LOOP_STALL_MS = 250
"""Delay of the soak's event loop beyond which its measurements are void."""
