"""The platform's calls and headers, as `nodes.dialect.Dialect` asks for them."""

import urllib.parse

import msgspec

from merlinthread import errors
from merlinthread.coordination import fleet, incarnations, route_table
from merlinthread.nodes import dialect as dialects
from merlinthread.platform import bodies, names
from merlinthread.protocol import rate_limit, retry_after
from merlinthread.transport import http_messages

JSON_TYPE = (b"content-type", b"application/json")
KNOWN_IN_ANSWERS = (
    names.READ_IN_ANSWERS | names.UNUSED_IN_ANSWERS | names.OF_HTTP | {retry_after.HEADER}
)


class PlatformDialect:
    """The translations of the platform's wire."""

    def configuration(self, body: bytes) -> fleet.Configuration:
        """Read a configuration; raise ConfigurationError."""
        return bodies.configuration(body)

    # Operators and workers

    def control_call(self, request: http_messages.Request) -> dialects.ControlCall:
        """Read a call of an operator or worker; raise MerlinthreadError."""
        path = request.target.split(b"?")[0]
        if path == names.CONFIGURATION_PATH and request.method == b"GET":
            return dialects.GetConfiguration()
        if path == names.CONFIGURATION_PATH and request.method == b"PUT":
            found = bodies.configuration(request.body)
            route_table.validate(found)
            return dialects.PutConfiguration(found, request.body)
        if path == names.VERSION_PATH and request.method == b"POST":
            named = bodies.decode(bodies.VERSION, request.body)
            return dialects.NameVersion(named.model, named.version)
        if path.startswith(names.INSTANCES_PATH):
            instance = path[len(names.INSTANCES_PATH) :].decode("ascii", "replace")
            if request.method == b"PUT":
                return dialects.ReceiveHeartbeat(bodies.heartbeat(instance, request.body))
            if request.method == b"DELETE":
                return dialects.Leave(instance)
        raise errors.RequestError(
            f"no such call: {request.method.decode()} {path.decode('ascii', 'replace')}",
            kind=errors.ErrorKind.UNKNOWN_ROUTE,
        )

    def is_readiness_check(self, request: http_messages.Request) -> bool:
        """Return whether a request asks if the node is ready."""
        return request.target.split(b"?")[0] == names.READY_PATH

    # Clients

    def client_call(self, request: http_messages.Request) -> fleet.RequestHead:
        """Read the head of a client's request; raise RequestError."""
        found = {key.lower(): value for key, value in request.headers}
        host = found.get(b"host", b"").decode("latin-1").lower().split(":")[0]
        prompt, answer = token_usage(found.get(names.TOKEN_USAGE, b""))
        return fleet.RequestHead(
            found.get(names.REQUEST_ID, b"").decode("latin-1"),
            request.method,
            request.target,
            host,
            found.get(names.API_KEY, b"").decode("latin-1"),
            deadline_s(found.get(names.DEADLINE)),
            found.get(names.MODEL, b"").decode("latin-1"),
            prompt,
            answer,
            found.get(names.PROMPT_PREFIX, b"").decode("latin-1"),
            found.get(names.LAST_EVENT_ID, b"").decode("latin-1"),
        )

    def error_headers(self, call: fleet.RequestHead | None) -> http_messages.Headers:
        """Return the headers of an answer of the node's own."""
        if call is None or not call.request_id:
            return []
        return [(names.REQUEST_ID, call.request_id.encode("latin-1"))]

    # Workers' answers

    def target_request(
        self, request: http_messages.Request, target: fleet.Target
    ) -> http_messages.Request:
        """Return the request as a worker gets it."""
        kept = http_messages.end_to_end_headers(request.headers)
        headers = [
            (key, value)
            for key, value in kept
            if key.lower() not in names.SET_BY_SYSTEM and key.lower() != b"content-length"
        ]
        if target.last_event_id:
            headers = [item for item in headers if item[0].lower() != names.LAST_EVENT_ID]
            headers.append((names.LAST_EVENT_ID, target.last_event_id.encode("latin-1")))
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"content-length", b"%d" % len(request.body)))
        headers.append((names.EXPECT_INSTANCE, incarnations.parse(target.instance).id.encode()))
        if target.is_account_known:
            headers.append((names.TENANT, target.account.encode("latin-1")))
        if target.remaining_s is not None:
            remaining_ms = max(1, int(target.remaining_s * 1000))
            headers.append((names.DEADLINE, b"%d" % remaining_ms))
        if target.weights_version is not None:
            headers.append((names.EXPECT_VERSION, b"%d" % target.weights_version))
        if target.urgency is not None:
            headers.append((names.REQUEST_PRIORITY, b"%d" % target.urgency))
        return http_messages.Request(request.method, request.target, headers, request.body)

    def response_head(self, status: int, headers: http_messages.Headers) -> fleet.ResponseHead:
        """Read the head of a worker's answer."""
        request_id = http_messages.get_header(headers, names.REQUEST_ID)
        not_run = http_messages.get_header(headers, names.NOT_RUN) is not None
        instance = http_messages.get_header(headers, names.INSTANCE) or b""
        rest = rest_asked_for(status, headers)
        limit = rate_limit.parse(http_messages.get_header(headers, names.LIMIT))
        return fleet.ResponseHead(
            request_id.decode("latin-1") if request_id is not None else None,
            not_run or status == names.STATUS_MISDIRECTED,
            http_messages.get_header(headers, names.STAMP) is not None,
            http_messages.get_header(headers, names.CONTENT_ENCODING) is not None,
            instance.decode("latin-1"),
            (http_messages.get_header(headers, names.LEAVING) or b"").strip()
            == names.LEAVING_VALUE,
            rest.seconds,
            rest.problem,
            status == names.STATUS_MISDIRECTED,
            limit.per_s,
            limit.problem,
            unread_names(headers),
        )

    # Engines and the origin

    def report_request(self, address: str) -> http_messages.Request:
        """Return the request for an engine's report."""
        return http_messages.Request(b"GET", names.REPORT_PATH, host(address))

    def report(self, body: bytes) -> fleet.EngineReport:
        """Read an engine's report; raise ProtocolError."""
        return bodies.report(body)

    def manifest_request(self, address: str, model: str, version: int) -> http_messages.Request:
        """Return the request for a version's manifest; version 0 is the newest."""
        query = {"version": version} if version else {}
        return http_messages.Request(
            b"GET", target(names.MANIFEST_PATH, model, query), host(address)
        )

    def manifest(self, body: bytes) -> fleet.Manifest:
        """Read a manifest; raise ProtocolError."""
        return bodies.manifest(body)

    def piece_request(
        self, address: str, model: str, version: int, index: int
    ) -> http_messages.Request:
        """Return the request for a piece from the origin."""
        query = {"sample_count": index, "version": version}
        return http_messages.Request(b"GET", target(names.PIECE_PATH, model, query), host(address))

    def stage_request(
        self, address: str, model: str, index: int, data: bytes
    ) -> http_messages.Request:
        """Return the request that lays a piece at an engine."""
        path = target(names.STAGE_PUT_PATH, model, {"sample_count": index})
        return http_messages.Request(b"PUT", path, with_body(address, data), data)

    def staged_request(self, address: str, model: str, index: int) -> http_messages.Request:
        """Return the request for a piece that lies at an engine."""
        path = target(names.STAGE_GET_PATH, model, {"sample_count": index})
        return http_messages.Request(b"GET", path, host(address))

    def load_request(
        self, address: str, model: str, version: int, cuts_streams: bool
    ) -> http_messages.Request:
        """Return the order that makes an engine take the staged weights."""
        order = {
            "operation": "start",
            "model": model,
            "version": version,
            "manner": "truncate" if cuts_streams else "queue",
        }
        body = msgspec.json.encode(order)
        headers = [*with_body(address, body), JSON_TYPE]
        return http_messages.Request(b"POST", names.ORDER_PATH, headers, body)


def rest_asked_for(status: int, headers: http_messages.Headers) -> retry_after.RetryAfter:
    """Return what a worker that turns a request away says of when to ask it again."""
    if status not in names.STATUS_TURNED_AWAY:
        return retry_after.RetryAfter()
    value = http_messages.get_header(headers, retry_after.HEADER)
    return retry_after.parse(value, http_messages.get_header(headers, retry_after.DATE_HEADER))


def unread_names(headers: http_messages.Headers) -> frozenset[str]:
    """Return the names of an answer's headers that nobody here reads."""
    unread = {name.lower() for name, _ in headers} - KNOWN_IN_ANSWERS
    return frozenset(name.decode("latin-1") for name in unread)


def host(address: str) -> http_messages.Headers:
    """Return the header that names the server."""
    return [(b"host", address.encode("ascii"))]


def with_body(address: str, body: bytes) -> http_messages.Headers:
    """Return the headers of a request with a body."""
    return [*host(address), (b"content-length", b"%d" % len(body))]


def target(path: str, model: str, query: dict[str, int]) -> bytes:
    """Return a path with its query."""
    text = path.format(model=urllib.parse.quote(model, safe=""))
    if query:
        text += "?" + urllib.parse.urlencode(query)
    return text.encode("ascii")


def token_usage(value: bytes) -> tuple[int, int]:
    """Return the prompt's and the answer's tokens in a header, or zeros."""
    prompt, _, answer = value.partition(b",")
    if not prompt.isdigit():
        return 0, 0
    return int(prompt), int(answer) if answer.isdigit() else 0


def deadline_s(value: bytes | None) -> float | None:
    """Return the seconds in a deadline header, or None."""
    if value is None or not value.strip().isdigit():
        return None
    return int(value) / 1000
