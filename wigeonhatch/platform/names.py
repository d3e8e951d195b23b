"""Names of tables, keys, header fields and paths defined by the platform."""

from __future__ import annotations

# Tables of the store. Only the platform writes to the first two.
OPERATOR_TABLE = 'op'
TARGET_TABLE = 'servers'
HOST_TABLE = 'wigeonhatch_hosts'
QUARANTINE_TABLE = 'wigeonhatch_quarantine'

CONFIG_KEY = 'config'
EVACUATE_PREFIX = 'evacuate/'

# Header fields, in lower case.
REQUEST_ID = b'request-id'
AFFINITY_KEY = b'affinity-key'
DEADLINE_MS = b'deadline-ms'
RETRY_AFTER = b'retry-after'
TARGET_NAME = b'target-instance'
NOT_RUN = b'not-executed'
SIGNATURE = b'response-signature'
LOAD_REPORT = b'server-load'
RATE_LIMIT = b'server-limit'
WARMUP_LEFT_MS = b'warmup-ms'
LEAVING = b'server-leaving'
DATE = b'date'
STORE_ERA = b'store-era'

READINESS_PATH = '/readiness'
DIRECTORY_PATH = '/resolve'
