"""HTTP calls and headers of the platform; implements `nodes.dialect.Dialect`."""

import urllib.parse

import msgspec

from merlinthread import errors
from merlinthread.coordination import fleet, incarnations, route_table
from merlinthread.nodes import dialect as dialects
from merlinthread.platform import bodies, names
from merlinthread.protocol import operator_calls, rate_limit, retry_after
from merlinthread.transport import http_messages

# Longer numbers in clients' headers are invalid: they may be too large for a float.
COUNT_DIGITS_MAX = 12
# More digits are no time for which a back end can be cold.
COLD_DIGITS_MAX = 12
JSON_TYPE = (b"content-type", b"application/json")
EVACUATIONS_PATH = operator_calls.EVACUATIONS_PATH.encode()
KNOWN_RESPONSE_HEADERS = (
    names.READ_RESPONSE_HEADERS
    | names.IGNORED_RESPONSE_HEADERS
    | names.HTTP_RESPONSE_HEADERS
    | {retry_after.HEADER}
)


class PlatformDialect:
    """Converts between the platform's HTTP messages and internal types."""

    def parse_configuration(self, body: bytes) -> fleet.Configuration:
        """Parse a configuration; raise ConfigurationError if it is invalid."""
        return bodies.parse_configuration(body)

    # Operators and back ends

    def parse_control_call(self, request: http_messages.Request) -> dialects.ControlCall:
        """Parse a call of an operator or back end; raise MerlinthreadError if it is invalid."""
        path = request.target.split(b"?")[0]
        if path == names.CONFIGURATION_PATH and request.method == b"GET":
            return dialects.GetConfiguration()
        if path == names.CONFIGURATION_PATH and request.method == b"PUT":
            configuration = bodies.parse_configuration(request.body)
            route_table.validate(configuration)
            return dialects.PutConfiguration(configuration, request.body)
        if path == names.VERSION_PATH and request.method == b"POST":
            version_body = bodies.decode(bodies.VERSION_DECODER, request.body)
            return dialects.NameVersion(version_body.model, version_body.version)
        if path.startswith(names.INSTANCES_PATH):
            instance = path[len(names.INSTANCES_PATH) :].decode("ascii", "replace")
            if request.method == b"PUT":
                return dialects.ReceiveHeartbeat(bodies.parse_heartbeat(instance, request.body))
            if request.method == b"DELETE":
                bodies.check_instance_id(instance)
                return dialects.RemoveInstance(instance)
        if path == EVACUATIONS_PATH and request.method == b"GET":
            return dialects.GetEvacuations()
        if path.startswith(EVACUATIONS_PATH + b"/"):
            if request.method == b"POST":
                return dialects.EvacuateZone(parse_zone(path))
            if request.method == b"DELETE":
                return dialects.WithdrawEvacuation(parse_zone(path))
        raise errors.RequestError(
            f"unknown call: {request.method.decode()} {path.decode('ascii', 'replace')}",
            kind=errors.ErrorKind.UNKNOWN_ROUTE,
        )

    def is_readiness_check(self, request: http_messages.Request) -> bool:
        """Return whether a request is a readiness check."""
        return request.target.split(b"?")[0] == names.READY_PATH

    # Clients

    def parse_request_head(self, request: http_messages.Request) -> fleet.RequestHead:
        """Parse the head of a client's request."""
        headers = {key.lower(): value for key, value in request.headers}
        host = headers.get(b"host", b"").decode("latin-1").lower().split(":")[0]
        prompt, answer = parse_token_usage(headers.get(names.TOKEN_USAGE, b""))
        return fleet.RequestHead(
            headers.get(names.REQUEST_ID, b"").decode("latin-1"),
            request.method,
            request.target,
            host,
            headers.get(names.API_KEY, b"").decode("latin-1"),
            parse_deadline_s(headers.get(names.DEADLINE)),
            headers.get(names.MODEL, b"").decode("latin-1"),
            prompt,
            answer,
            parse_shared_parts(headers.get(names.PROMPT_PREFIX, b"")),
            headers.get(names.LAST_EVENT_ID, b"").decode("latin-1"),
            parse_count(headers.get(names.LENGTH_HINT)),
        )

    def error_headers(self, call: fleet.RequestHead | None) -> http_messages.Headers:
        """Return the additional headers of an error response that the node itself sends."""
        if call is None or not call.request_id:
            return []
        return [(names.REQUEST_ID, call.request_id.encode("latin-1"))]

    # Requests to back ends and their responses

    def target_request(
        self, request: http_messages.Request, target: fleet.Target
    ) -> http_messages.Request:
        """Return the request to forward to `target`."""
        forwarded = http_messages.end_to_end_headers(request.headers)
        headers = [
            (key, value)
            for key, value in forwarded
            if key.lower() not in names.RESERVED_REQUEST_HEADERS
            and key.lower() != b"content-length"
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

    def parse_response_head(
        self, status: int, headers: http_messages.Headers
    ) -> fleet.ResponseHead:
        """Parse the head of a back end's response."""
        request_id = http_messages.get_header(headers, names.REQUEST_ID)
        not_run = http_messages.get_header(headers, names.NOT_RUN) is not None
        instance = http_messages.get_header(headers, names.INSTANCE) or b""
        retry = parse_retry_after(status, headers)
        limit = rate_limit.parse(http_messages.get_header(headers, names.LIMIT))
        cold_s, cold_problem = self.parse_cold(headers)
        return fleet.ResponseHead(
            request_id.decode("latin-1") if request_id is not None else None,
            not_run or status == names.STATUS_MISDIRECTED,
            http_messages.get_header(headers, names.STAMP) is not None,
            http_messages.get_header(headers, names.CONTENT_ENCODING) is not None,
            instance.decode("latin-1"),
            (http_messages.get_header(headers, names.LEAVING) or b"").strip()
            == names.LEAVING_VALUE,
            retry.seconds,
            retry.problem,
            status == names.STATUS_MISDIRECTED,
            limit.per_s,
            limit.problem,
            unknown_header_names(headers),
            cold_s,
            cold_problem,
        )

    def parse_cold(self, headers: http_messages.Headers) -> tuple[float | None, str]:
        """Parse how long a back end will still be cold; return seconds and the problem, if any."""
        value = http_messages.get_header(headers, names.COLD)
        if value is None:
            return None, ""
        text = value.strip()
        if not text.isdigit() or len(text) > COLD_DIGITS_MAX:
            return None, "not a whole number of milliseconds"
        return int(text) / bodies.MS_PER_S, ""

    def identity_request(self, address: str, path: str, expected_id: str) -> http_messages.Request:
        """Return the health check of a back end that only the one with `expected_id` accepts."""
        headers = [*host_header(address), (names.EXPECT_INSTANCE, expected_id.encode("latin-1"))]
        return http_messages.Request(b"GET", path.encode("latin-1"), headers)

    # Engine and origin

    def report_request(self, address: str) -> http_messages.Request:
        """Return the request for an engine's status report."""
        return http_messages.Request(b"GET", names.REPORT_PATH, host_header(address))

    def parse_report(self, body: bytes) -> fleet.EngineReport:
        """Parse an engine's status report; raise ProtocolError if it is invalid."""
        return bodies.parse_report(body)

    def manifest_request(self, address: str, model: str, version: int) -> http_messages.Request:
        """Return the request for the manifest of a version, or of the newest one if it is 0."""
        query = {"version": version} if version else {}
        return http_messages.Request(
            b"GET", request_target(names.MANIFEST_PATH, model, query), host_header(address)
        )

    def parse_manifest(self, body: bytes) -> fleet.Manifest:
        """Parse a manifest; raise ProtocolError if it is invalid."""
        return bodies.parse_manifest(body)

    def piece_request(
        self, address: str, model: str, version: int, index: int
    ) -> http_messages.Request:
        """Return the request that reads a piece from the origin."""
        query = {"sample_count": index, "version": version}
        return http_messages.Request(
            b"GET", request_target(names.PIECE_PATH, model, query), host_header(address)
        )

    def stage_request(
        self, address: str, model: str, index: int, data: bytes
    ) -> http_messages.Request:
        """Return the request that stages a piece at an engine."""
        path = request_target(names.STAGE_PUT_PATH, model, {"sample_count": index})
        return http_messages.Request(b"PUT", path, body_headers(address, data), data)

    def staged_request(self, address: str, model: str, index: int) -> http_messages.Request:
        """Return the request that reads a staged piece back from an engine."""
        path = request_target(names.STAGE_GET_PATH, model, {"sample_count": index})
        return http_messages.Request(b"GET", path, host_header(address))

    def load_request(
        self,
        address: str,
        model: str,
        version: int,
        truncates_streams: bool,
        layers: range | None = None,
        revision: int | None = None,
    ) -> http_messages.Request:
        """Return the request that makes an engine load `layers` of the staged weights, or all.

        With `truncates_streams`, the engine truncates running responses; otherwise it queues the
        load. It refuses if it has not taken exactly `revision` orders.
        """
        load_order: dict[str, str | int] = {
            "operation": "start",
            "model": model,
            "version": version,
            "manner": "truncate" if truncates_streams else "queue",
        }
        if layers is not None:
            load_order |= {"from": layers.start, "target_version": layers.stop}
        if revision is not None:
            load_order["expected_revision"] = revision
        body = msgspec.json.encode(load_order)
        headers = [*body_headers(address, body), JSON_TYPE]
        return http_messages.Request(b"POST", names.ORDER_PATH, headers, body)


def parse_zone(path: bytes) -> str:
    """Return the zone in the path of an evacuation; bytes that are not UTF-8 are escaped."""
    encoded = urllib.parse.unquote_to_bytes(path[len(EVACUATIONS_PATH) + 1 :])
    return encoded.decode("utf-8", "backslashreplace")


def parse_retry_after(status: int, headers: http_messages.Headers) -> retry_after.RetryAfter:
    """Parse the Retry-After header of a back end's refusal; other statuses have none."""
    if status not in names.REFUSAL_STATUSES:
        return retry_after.RetryAfter()
    value = http_messages.get_header(headers, retry_after.HEADER)
    return retry_after.parse(value, http_messages.get_header(headers, retry_after.DATE_HEADER))


def unknown_header_names(headers: http_messages.Headers) -> frozenset[str]:
    """Return the names of the response headers that are not known."""
    unknown = {name.lower() for name, _ in headers} - KNOWN_RESPONSE_HEADERS
    return frozenset(name.decode("latin-1") for name in unknown)


def host_header(address: str) -> http_messages.Headers:
    """Return the Host header for an address."""
    return [(b"host", address.encode("ascii"))]


def body_headers(address: str, body: bytes) -> http_messages.Headers:
    """Return the Host and Content-Length headers of a request with a body."""
    return [*host_header(address), (b"content-length", b"%d" % len(body))]


def request_target(path: str, model: str, query: dict[str, int]) -> bytes:
    """Return a request target: `path` with the model filled in, and the query."""
    target = path.format(model=urllib.parse.quote(model, safe=""))
    if query:
        target += "?" + urllib.parse.urlencode(query)
    return target.encode("ascii")


def parse_count(value: bytes | None) -> int | None:
    """Parse a whole number of at most COUNT_DIGITS_MAX digits; None if missing or invalid."""
    digits = (value or b"").strip()
    return int(digits) if digits.isdigit() and len(digits) <= COUNT_DIGITS_MAX else None


def parse_token_usage(value: bytes) -> tuple[int, int]:
    """Parse the numbers of prompt and answer tokens; a missing or invalid one is 0."""
    prompt, _, answer = value.partition(b",")
    prompt_tokens = parse_count(prompt)
    if prompt_tokens is None:
        return 0, 0
    return prompt_tokens, parse_count(answer) or 0


def parse_shared_parts(value: bytes) -> tuple[str, ...]:
    """Parse the parts of a prompt, ID:TOKENS separated by commas; return all ids but the last.

    The last part belongs to the request itself or to its session.
    """
    ids = [part.partition(b":")[0].strip().lower() for part in value.split(b",")]
    return tuple(part_id.decode("latin-1") for part_id in ids[:-1] if part_id)


def parse_deadline_s(value: bytes | None) -> float | None:
    """Parse a deadline in milliseconds; return seconds, or None if missing or invalid."""
    deadline_ms = parse_count(value)
    return None if deadline_ms is None else deadline_ms / 1000
