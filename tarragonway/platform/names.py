"""Header names and paths of the platform, header names in lower case."""

ATTEMPT = b"tarragonway-attempt-id"
DEADLINE = b"tarragonway-deadline-ms"
PROMPT_PARTS = b"tarragonway-prefix-hash"
PROMPT_TOKENS = b"tarragonway-token-usage"
LAST_EVENT = b"last-event-id"
SIGNATURE = b"tarragonway-server-signature"
ACCOUNT = b"tarragonway-tenant"
EXPECTED_INSTANCE = b"tarragonway-expected-instance"
LOAD = b"tarragonway-server-load"
NOT_RUN = b"tarragonway-not-executed"
HOLDER = b"tarragonway-duty-holder"
FENCE = b"tarragonway-fencing-token"
PRIORITY = b"tarragonway-request-priority"
EXPECTED_VERSION = b"tarragonway-expected-version"
PIN = b"tarragonway-pin-ms"
HOLD = b"tarragonway-kv-hold"
BACKUP = b"tarragonway-kv-backup"
MOVE_FROM = b"kv-from"
FETCH_FROM = b"kv-fetch"

# Headers that only the system sets; a caller's own are dropped.
SYSTEM_ONLY = frozenset(
    {
        ACCOUNT,
        EXPECTED_INSTANCE,
        PRIORITY,
        EXPECTED_VERSION,
        PIN,
        HOLD,
        BACKUP,
        MOVE_FROM,
        FETCH_FROM,
        HOLDER,
        FENCE,
        DEADLINE,
    }
)
# Headers that concern one connection only (RFC 9110, section 7.6.1).
ONE_CONNECTION = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)

READY_PATH = "/v1/readyz"
PUT_CONFIGURATION = "/v1/Config.Replace"
GET_CONFIGURATION = "/v1/Config.Read"
LIST_PATH = "/replicas"
USAGE_PATH = "/usage"
SCALE_PATH = "/scale"
