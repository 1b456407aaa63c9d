"""Header names, in lower case, and paths of the platform's interface."""

ATTEMPT = b"tarragonway-attempt-id"
# The time left in milliseconds, not a point in time.
DEADLINE = b"tarragonway-deadline-ms"
# Ids of all parts of a prompt with their numbers of tokens: "id:tokens,id:tokens".
PROMPT_PARTS = b"tarragonway-prefix-hash"
# Input and output tokens that a request needs, not those that it has used: "in,out".
PROMPT_TOKENS = b"tarragonway-token-usage"
LAST_EVENT_ID = b"last-event-id"
# Id of the attempt that brought the first event of the stream that is taken up, which
# need not be the attempt before.
RESUMED_ATTEMPT = b"resumes"
# Marks an answer as the endpoint's own; only its presence is checked.
SIGNATURE = b"tarragonway-server-signature"
# Id of the client account.
ACCOUNT = b"tarragonway-tenant"
EXPECTED_INSTANCE = b"tarragonway-expected-instance"
# Running and waiting requests, and slots: "running,waiting,slots".
LOAD = b"tarragonway-server-load"
# Requests a second that an endpoint takes from all gateways together.
REQUEST_LIMIT = b"server-limit"
LEAVING = b"server-leaving"
NOT_RUN = b"tarragonway-not-executed"
DUTY_HOLDER = b"tarragonway-duty-holder"
FENCING_TOKEN = b"tarragonway-fencing-token"
PRIORITY = b"tarragonway-request-priority"
EXPECTED_VERSION = b"tarragonway-expected-version"
KV_PIN = b"tarragonway-pin-ms"
KV_HOLD = b"tarragonway-kv-hold"
KV_BACKUP = b"tarragonway-kv-backup"
KV_MOVE_FROM = b"kv-from"
KV_FETCH_FROM = b"kv-fetch"

# Headers that only a gateway or the leader sets; a caller's values are removed.
INTERNAL_HEADERS = frozenset(
    {
        ACCOUNT,
        EXPECTED_INSTANCE,
        PRIORITY,
        EXPECTED_VERSION,
        KV_PIN,
        KV_HOLD,
        KV_BACKUP,
        KV_MOVE_FROM,
        KV_FETCH_FROM,
        DUTY_HOLDER,
        FENCING_TOKEN,
        DEADLINE,
    }
)
# Hop-by-hop headers, which are not forwarded (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
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
PUT_CONFIGURATION_PATH = "/v1/Config.Replace"
GET_CONFIGURATION_PATH = "/v1/Config.Read"
BEGIN_ROLLOUT_PATH = "/v1/Rollouts.Begin"
# The percent-encoded name of a service follows.
READ_ROLLOUT_PREFIX = "/v1/Rollouts.Read/"
LIST_PATH = "/replicas"
USAGE_PATH = "/usage"
SCALE_PATH = "/scale"
