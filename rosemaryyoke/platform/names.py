"""Names of the platform's wire, once; nothing outside this package knows them."""

SETTINGS_VARIABLE = "ROSEMARYYOKE_NODE_FILE"

# Kinds of the store. "servers" are upstreams, "config" holds the one configuration.
CONFIGURATION_KIND = "config"
UPSTREAMS_KIND = "servers"
WEIGHTS_KIND = "versions"

# Headers of requests.
REQUEST_ID = b"Request-Id"
DEADLINE = b"Deadline-Ms"
MODEL = b"Model"
TOKEN_COUNT = b"Token-Count"
PROMPT_PARTS = b"Prompt-Prefix"
LAST_EVENT = b"Last-Event-Id"
KEY = b"Authorization"
KEY_SCHEME = b"bearer "
ACCOUNT = b"Tenant"
INSTANCE = b"Expect-Instance"
WEIGHTS = b"Expect-Version"
PRIORITY = b"Request-Priority"
SALT = b"Cache-Salt"
FETCH_FROM = b"Kv-Fetch"
SAVE_TO = b"Kv-Save"

# Headers of answers. The seal is what the engine signs its answer with.
SEAL = b"Response-Seal"
NOT_RUN = b"Not-Executed"
WEIGHTS_SERVED = b"Weight-Versions"

# Set by the router alone: what a caller sends under these names is dropped.
ROUTER_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        KEY,
        ACCOUNT,
        INSTANCE,
        WEIGHTS,
        PRIORITY,
        SALT,
        FETCH_FROM,
        SAVE_TO,
        LAST_EVENT,
        b"Hold",
        b"Pin-Ms",
        b"Kv-Backup",
        b"Kv-From",
    )
)

# Names that a test looks for outside this package.
WIRE_NAMES = (
    "Response-Seal",
    "Not-Executed",
    "Expect-Instance",
    "Expect-Version",
    "Deadline-Ms",
    "Prompt-Prefix",
    "Token-Count",
    "Request-Priority",
    "Cache-Salt",
    "Kv-Fetch",
    "Kv-Save",
    "Weight-Versions",
    "Instance-Id",
    "pathPrefix",
    "storeRevision",
    "trafficSplit",
    "apiKeys",
    "maxAttempts",
    "targetLatencyMs",
    "fencingToken",
    "swapMode",
    "kvStoreAddr",
    "coldRemainingMs",
    "nodeName",
    "internalPorts",
    "retryBudgetRatio",
    "ROSEMARYYOKE_NODE_FILE",
)
