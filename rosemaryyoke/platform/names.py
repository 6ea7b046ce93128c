"""Wire names of the platform, which only this package may use."""

SETTINGS_VARIABLE = "ROSEMARYYOKE_NODE_FILE"

# Object kinds of the store: "servers" are upstreams, "config" holds the single
# configuration.
CONFIGURATION_KIND = "config"
UPSTREAMS_KIND = "servers"
WEIGHTS_KIND = "versions"

# Request headers.
REQUEST_ID = b"Request-Id"
DEADLINE = b"Deadline-Ms"
MODEL = b"Model"
TOKEN_COUNT = b"Token-Count"
PROMPT_PARTS = b"Prompt-Prefix"
LAST_EVENT_ID = b"Last-Event-Id"
RESUMES = b"Resumes"  # the id of the request that brought a stream's first event
AUTHORIZATION = b"Authorization"
BEARER_PREFIX = b"bearer "
ACCOUNT = b"Tenant"
EXPECTED_INSTANCE = b"Expect-Instance"
EXPECTED_WEIGHTS = b"Expect-Version"
PRIORITY = b"Request-Priority"
CACHE_SALT = b"Cache-Salt"
KV_FETCH = b"Kv-Fetch"
KV_SAVE = b"Kv-Save"

# Response headers. The seal is the engine's signature of its response.
RESPONSE_SEAL = b"Response-Seal"
NOT_EXECUTED = b"Not-Executed"
SERVED_WEIGHTS = b"Weight-Versions"
LEAVING = b"Server-Leaving"
RETRY_AFTER = b"Retry-After"
RATE_LIMIT = b"Server-Limit"  # requests a second from all hosts together
# How many refusals a second the engine bears before it falls over.
BRITTLE = b"Server-Brittle"

# Header of the store's responses; it rises whenever the store is restored from a copy.
STORE_ERA = b"Store-Era"

# Headers that only the router sets; the ones sent by callers are dropped.
ROUTER_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        AUTHORIZATION,
        ACCOUNT,
        EXPECTED_INSTANCE,
        EXPECTED_WEIGHTS,
        PRIORITY,
        CACHE_SALT,
        KV_FETCH,
        KV_SAVE,
        LAST_EVENT_ID,
        b"Hold",
        b"Pin-Ms",
        b"Kv-Backup",
        b"Kv-From",
    )
)

# Names that a test checks for outside this package.
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
    "Server-Leaving",
    "Server-Limit",
    "Server-Brittle",
    "Resumes",
    "Instance-Id",
    "pathPrefix",
    "storeRevision",
    "Store-Era",
    "trafficSplit",
    "apiKeys",
    "ratePerS",
    "uncachedTokens",
    "quotaWindowS",
    "quotaOverage",
    "quotaSlack",
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
