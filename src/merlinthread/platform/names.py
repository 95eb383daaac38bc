"""Header names, paths and statuses of the platform's HTTP interface.

Header names are in lower case, so that received names can be compared after lowering.
"""

REQUEST_ID = b"x-merlinthread-request-id"
DEADLINE = b"x-merlinthread-deadline-ms"
API_KEY = b"api-key"
TENANT = b"x-merlinthread-tenant"
MODEL = b"x-merlinthread-model"
TOKEN_USAGE = b"x-merlinthread-token-usage"
PROMPT_PREFIX = b"x-merlinthread-prompt-prefix"
LENGTH_HINT = b"x-merlinthread-length-hint"
LAST_EVENT_ID = b"last-event-id"
EXPECT_INSTANCE = b"x-merlinthread-expect-instance"
EXPECT_VERSION = b"x-merlinthread-expect-version"
REQUEST_PRIORITY = b"x-merlinthread-request-priority"
INSTANCE = b"x-merlinthread-instance-id"
STAMP = b"x-merlinthread-response-stamp"
NOT_RUN = b"x-merlinthread-not-run"
LEAVING = b"server-leaving"
LIMIT = b"server-limit"
COLD = b"x-merlinthread-cold-ms"
CONTENT_ENCODING = b"content-encoding"

# Response headers of back ends that are read, and those that are known but ignored.
READ_RESPONSE_HEADERS = frozenset(
    {REQUEST_ID, INSTANCE, STAMP, NOT_RUN, LEAVING, LIMIT, COLD, CONTENT_ENCODING}
)
IGNORED_RESPONSE_HEADERS = frozenset({b"x-merlinthread-weight-versions", b"at-server"})
# Standard HTTP response headers, which are known as well.
HTTP_RESPONSE_HEADERS = frozenset(
    {
        b"accept-ranges",
        b"age",
        b"allow",
        b"cache-control",
        b"connection",
        b"content-length",
        b"content-type",
        b"date",
        b"etag",
        b"expires",
        b"keep-alive",
        b"last-modified",
        b"location",
        b"server",
        b"set-cookie",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"vary",
        b"via",
        b"www-authenticate",
    }
)

READY_PATH = b"/readyz"
CONFIGURATION_PATH = b"/config"
INSTANCES_PATH = b"/instances/"
VERSION_PATH = b"/version-put"
REPORT_PATH = b"/report"
ORDER_PATH = b"/order"
MANIFEST_PATH = "/manifest/{model}"
PIECE_PATH = "/piece/{model}"
STAGE_PUT_PATH = "/stage-put/{model}"
STAGE_GET_PATH = "/stage-get/{model}"

# Request headers of clients that are removed or replaced before a request is forwarded.
RESERVED_REQUEST_HEADERS = frozenset(
    {API_KEY, TENANT, EXPECT_INSTANCE, EXPECT_VERSION, REQUEST_PRIORITY, DEADLINE}
)
SETTINGS_VARIABLE = "MERLINTHREAD_CONFIG"
STATUS_MISDIRECTED = 421
# Statuses with which a back end refuses a request; the response may have a Retry-After header.
REFUSAL_STATUSES = frozenset({429, 503})
LEAVING_VALUE = b"1"
