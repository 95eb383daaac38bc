"""Property tests: input from outside is parsed or rejected with a MerlinthreadError."""

import json
import math
import pathlib
import sys
import tempfile
import urllib.parse
import zlib

import h11
import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from merlinthread import errors
from merlinthread.coordination import cold_limits, expected_cost, fleet, route_table
from merlinthread.platform import bodies, dialect, settings_file
from merlinthread.protocol import event_stream, node_messages, piece_messages
from merlinthread.transport import http_messages
from tests import fleet_nodes

JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False)
    | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=6,
)
CODEC = fleet_nodes.make_codec()
MESSAGES = [
    *node_messages.MESSAGES.entries,
    *piece_messages.MESSAGES.entries,
    "node.of_tomorrow",
]


def refused_or_read(read, *arguments) -> None:
    """Call `read`; any exception but a MerlinthreadError fails the test."""
    try:
        read(*arguments)
    except errors.MerlinthreadError:
        pass


@hypothesis.given(st.sampled_from(["routes", "services", "tenants", "limits", "version"]), JSON)
@hypothesis.settings(max_examples=400)
def test_a_configuration(field, value):
    whole = fleet_nodes.configuration(1, ["safe"], "model", "1.1.1.1:1")
    refused_or_read(bodies.parse_configuration, json.dumps(whole | {field: value}).encode())
    bent = whole | {field: [*whole[field], value]} if isinstance(whole.get(field), list) else whole
    refused_or_read(bodies.parse_configuration, json.dumps(bent).encode())


@hypothesis.given(
    st.sampled_from([b"PUT", b"DELETE", b"POST", b"GET", b"BREW"]),
    st.sampled_from([b"/config", b"/instances/", b"/instances/\xff", b"/version-put", b"/x"]),
    st.binary(max_size=30) | JSON.map(lambda value: json.dumps(value).encode()),
)
@hypothesis.settings(max_examples=400)
def test_a_call_of_an_operator_or_a_worker(method, path, body):
    request = http_messages.Request(method, path, [], body)
    refused_or_read(dialect.PlatformDialect().parse_control_call, request)


# Guards against a name of a zone that ends the process or is read as another zone.
@hypothesis.given(st.sampled_from([b"POST", b"DELETE"]), st.binary(max_size=40) | st.text())
@hypothesis.settings(max_examples=400)
def test_an_evacuation_of_any_zone(method, zone):
    raw = zone if isinstance(zone, bytes) else urllib.parse.quote(zone, safe="").encode()
    request = http_messages.Request(method, b"/evacuations/" + raw, [])
    if isinstance(zone, str):
        assert dialect.PlatformDialect().parse_control_call(request).zone == zone
    else:
        refused_or_read(dialect.PlatformDialect().parse_control_call, request)


LONG_NUMBER = st.integers(1, 5000).map(lambda digits: b"9" * digits)


@hypothesis.given(
    st.lists(
        st.tuples(
            st.sampled_from(
                [
                    b"X-Merlinthread-Token-Usage",
                    b"X-Merlinthread-Length-Hint",
                    b"X-Merlinthread-Deadline-Ms",
                    b"X-Merlinthread-Model",
                    b"Host",
                    b"Api-Key",
                    b"Last-Event-Id",
                ]
            ),
            st.binary(max_size=12) | LONG_NUMBER,
        ),
        max_size=6,
    )
)
@hypothesis.settings(max_examples=300)
def test_the_head_of_a_clients_request(headers):
    request = http_messages.Request(b"POST", b"/a", headers, b"")
    refused_or_read(dialect.PlatformDialect().parse_request_head, request)


@hypothesis.given(st.sampled_from(MESSAGES), JSON, st.binary(max_size=40), st.booleans())
@hypothesis.settings(max_examples=500)
def test_a_message_between_nodes(name, value, noise, is_noise):
    body = b"\0" + (noise if is_noise else msgspec.msgpack.encode((name, value)))
    refused_or_read(CODEC.decode, bytes(24) + body)


@hypothesis.given(JSON)
@hypothesis.settings(max_examples=300)
def test_a_message_of_a_newer_version_of_ours_is_read_without_what_is_new(value):
    suspicion = {"fingerprint": "f", "label": "l", "ends": [], "of_tomorrow": value}
    report = {"sender": "s", "suspicions": [suspicion], "of_tomorrow": value}
    frame = bytes(24) + b"\0" + msgspec.msgpack.encode(("node.crash_report", report))
    (found,) = CODEC.decode(frame).suspicions
    assert (found.fingerprint, found.ends) == ("f", [])


@hypothesis.given(st.binary(max_size=40), st.booleans())
@hypothesis.settings(max_examples=200)
def test_news_with_a_configuration_that_can_not_be_read_keeps_the_one_held(noise, is_compressed):
    watcher = fleet_nodes.make_watcher(fleet_nodes.make_settings("entry"))
    good = zlib.compress(json.dumps(fleet_nodes.configuration(1, ["safe"])).encode())
    watcher.apply(node_messages.WatchReply("f", 1, True, [], [], [], 1, good, [], 0.0))
    bad = zlib.compress(noise) if is_compressed else noise
    watcher.apply(node_messages.WatchReply("f", 2, True, [], [], [], 2, bad, [], 0.0))
    assert watcher.version == 1 and watcher.table is not None


REGION = st.text(max_size=6) | st.sampled_from(["\0", "eu", "x" * 100_000, "\U0010ffff"])
NAMES = st.lists(REGION, max_size=4) | st.integers(0, 5000).map(
    lambda count: [f"region-{number}" for number in range(count)]
)


def parse_valid(body: dict) -> fleet.Configuration | errors.ConfigurationError:
    """Return the configuration, or the error, which must name a field and say what to do."""
    try:
        configuration = bodies.parse_configuration(json.dumps(body).encode())
        route_table.validate(configuration)
    except errors.ConfigurationError as error:
        assert error.field and error.field in error.message
        assert "correct" in error.message or "must be" in error.message
        return error
    return configuration


# Guards against a list of regions that is read as another one, or as no restriction.
@hypothesis.given(
    st.sampled_from(["routes", "tenants"]),
    NAMES
    | (JSON | st.integers())
    | st.lists(JSON | st.integers(), max_size=3)
    | st.tuples(NAMES, JSON).map(lambda pair: [*pair[0], pair[1]]),
)
@hypothesis.settings(max_examples=400)
def test_lists_of_regions(part, value):
    body = fleet_nodes.configuration(1, ["safe"])
    body[part][0]["allowed_regions"] = value
    is_list = isinstance(value, list) and all(isinstance(name, str) for name in value)
    found = parse_valid(body)
    if value is None or is_list:
        owner = (found.routes if part == "routes" else found.accounts)[0]
        assert owner.allowed_regions == frozenset(value or ())
    else:
        assert found.field.startswith(f"{part}[0].allowed_regions")
        assert f"correct {found.field}" in found.message


NUMBER = (
    st.floats(allow_nan=False, allow_infinity=False)
    | st.sampled_from([5e-324, 1e-9, 0, 18, 1e6, 1e308, 1.7976931348623157e308, 2**64, 10**400])
    | st.integers()
)


def check_cold_limit(limit: cold_limits.ColdLimit) -> None:
    """Check that the permits of a second are within the bound, as far as there is one."""
    now = 1000.0
    limiter = cold_limits.ColdLimiter(limit, now)
    assert 0 < limit.per_s() <= cold_limits.COLD_PER_S_MAX and limit.paced_per_s() > 0
    assert 1 <= limit.burst() < math.inf and math.isfinite(limiter.free_at())
    now = max(now, limiter.free_at()) + 10.0
    granted = 0
    while granted < 100 and limiter.decide("i", 0.0, now).instance:
        granted += 1
    assert 1 <= granted <= max(1.0, limit.bound)
    refused = limiter.decide("i", -1e308, now)
    assert refused.instance or 0 < refused.back_in_s < math.inf


# Guards against values that divide by 0, overflow, or grant without a bound.
@hypothesis.given(
    st.sampled_from(["cold_per_s", "cold_start_s"]),
    NUMBER | JSON,
    st.floats(0, 1e308) | st.sampled_from([0.0, 1.5]),
    st.floats(0, 1e308) | st.sampled_from([0.0, 5.0]),
)
@hypothesis.settings(max_examples=300)
def test_cold_values_of_a_service(name, value, overage, slack):
    body = fleet_nodes.configuration(1, ["safe"])
    body["services"][0][name] = value
    found = parse_valid(body)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    is_valid = value is None or (is_number and 0 <= value <= sys.float_info.max)
    if isinstance(found, errors.ConfigurationError):
        assert not is_valid and name in found.field
        return
    assert is_valid
    service = found.services[0]
    # Integers above 2**53 have no float of their own.
    assert getattr(service, name) == float(value or 0)
    limit = cold_limits.make_limit(service.cold_per_s, overage, slack)
    assert (limit is None) == (service.cold_per_s <= 0)
    if limit is not None:
        check_cold_limit(limit)
    state = cold_limits.ColdState()
    state.record(1000.0 + service.cold_start_s, 1000.0, 1000.0)
    assert state.until <= 1000.0 + cold_limits.COLD_MAX_S


BOUND_NAMES = ["evacuate_ms", "cold_overage", "cold_slack"]
SETTINGS = {"node_name": "n", "ip": "127.0.0.1", "zone": "z", "port_range": [1, 9], "seeds": []}


def load_settings(content: bytes):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.json"
        path.write_bytes(content)
        return settings_file.load(path)


# Guards against a start with a bound below 0 or without a number, and against a traceback.
@hypothesis.given(st.sampled_from(BOUND_NAMES), NUMBER | JSON)
@hypothesis.settings(max_examples=300)
def test_bounds_in_the_settings(name, value):
    content = json.dumps(SETTINGS | {"bounds": {name: value}}).encode()
    try:
        bounds = load_settings(content).bounds
    except errors.SettingsError as error:
        assert error.field == f"bounds.{name}" and f"correct {error.field}" in error.message
        return
    if name == "cold_overage" and value is None:
        assert bounds.cold_overage is None
        return
    found = getattr(bounds, "evacuate_s" if name == "evacuate_ms" else name)
    assert isinstance(value, int | float) and 0 <= found < math.inf
    limit = cold_limits.make_limit(18.0, bounds.cold_overage, bounds.cold_slack)
    assert limit is None or name != "evacuate_ms"
    if limit is not None:
        check_cold_limit(limit)


# Guards against RecursionError and UnicodeDecodeError, which are no MerlinthreadError.
@pytest.mark.parametrize("value", [b"[" * 100_000, b'{"a":' * 100_000, b'"\xff"', b'"\\ud800"'])
def test_values_that_are_nested_too_deeply_or_are_no_text(value):
    unknown = b'{"of_tomorrow": ' + value
    with pytest.raises(errors.ConfigurationError, match="correct|send valid JSON"):
        bodies.parse_configuration(unknown)
    with pytest.raises(errors.SettingsError, match="correct the file"):
        load_settings(unknown)
    for field in (b"born", b"models"):
        with pytest.raises(errors.ProtocolError):
            bodies.parse_heartbeat("i", b'{"' + field + b'": ' + value)
        with pytest.raises(errors.ProtocolError):
            bodies.parse_report(b'{"' + field + b'": ' + value)
        with pytest.raises(errors.ProtocolError):
            bodies.parse_manifest(b'{"' + field + b'": ' + value)


DIGITS = st.integers(0, 5000).map(lambda count: b"7" * count) | st.sampled_from(
    [b"0", b"-1", b"+5", b"1e9", b" 12 ", b"1_000", "²".encode("latin-1"), "٣".encode(), b"9" * 12]
)


# Guards against a header that makes a back end cold for ever, or a request cost without a bound.
@hypothesis.given(DIGITS | st.binary(max_size=30))
@hypothesis.example(b" 2500 ")
@hypothesis.example(b"9" * 30)
@hypothesis.settings(max_examples=400)
def test_headers_of_cold_back_ends_and_of_expected_lengths(value):
    headers = [(b"X-Merlinthread-Cold-Ms", value)]
    head = dialect.PlatformDialect().parse_response_head(200, headers)
    assert (head.cold_s is None) == bool(head.cold_problem)
    assert value != b" 2500 " or head.cold_s == 2.5
    state = cold_limits.ColdState()
    if head.cold_s is not None:
        state.record(1000.0 + head.cold_s, 999.0, 1000.0)
        assert head.cold_s >= 0 and state.until <= 1000.0 + cold_limits.COLD_MAX_S
    request = http_messages.Request(b"POST", b"/", [(b"X-Merlinthread-Length-Hint", value)], b"")
    call = dialect.PlatformDialect().parse_request_head(request)
    means = expected_cost.ResponseMeans()
    for _ in range(2):
        assert 0 <= means.cost_tokens(call, "r", None) <= expected_cost.COST_TOKENS_MAX
    assert 0 <= means.mean("r", None) <= expected_cost.COST_TOKENS_MAX


EVENT_ID = (
    st.integers(0, 10**30).map(lambda number: b"%d" % number)
    | st.tuples(st.integers(1, 9), st.integers(0, 9000)).map(lambda x: b"%d" % x[0] + b"0" * x[1])
    | st.sampled_from(["²".encode("latin-1"), "²".encode(), "٣".encode(), b"007", b"5\r6", b"\0"])
    | st.binary(max_size=8)
)


# Guards against an event id that ends the request, or that the back end gets changed on a resume:
# both lose or repeat events.
@hypothesis.given(EVENT_ID)
@hypothesis.settings(max_examples=400)
def test_the_id_of_an_event_is_sent_back_unchanged_or_is_an_error(event_id):
    try:
        found = event_stream.EventSplitter().feed(b"id: " + event_id + b"\ndata: x\n\n")
    except errors.ProtocolError as error:
        assert error.field == "id"
        assert (
            len(event_id) > event_stream.EVENT_ID_BYTES_MAX
            or min(event_id) < 32
            or (127 in event_id)
        )
        return
    target = fleet.Target("i", "", None, False, None, found[0].event_id)
    request = http_messages.Request(b"POST", b"/", [(b"host", b"h")], b"")
    sent = h11.Request(
        method="POST",
        target="/",
        headers=dialect.PlatformDialect().target_request(request, target).headers,
    )
    returned = http_messages.get_header(list(sent.headers), b"last-event-id") or b""
    assert returned == event_id.split(b"\n")[0].strip()


# Guards against a numbered event that the client gets twice or never.
@hypothesis.given(st.integers(0, 10**30), st.integers(0, 10**30), st.integers(0, 3))
def test_numbered_events_are_in_the_order_of_their_numbers(first, second, zeros):
    text = "0" * zeros + str(first)
    assert event_stream.is_after(text, str(second)) == (first > second)
    long = "1" + "0" * 5000
    assert event_stream.is_after(long, text) and not event_stream.is_after(text, long)


@pytest.mark.parametrize("event_id", ["²", "٣", "", "a", "-1", "+1", "1.5", "1" * 5000 + "²"])
def test_events_without_a_number_are_always_new(event_id):
    for other in ("", "1", "²", "9" * 5000):
        assert event_stream.is_after(event_id, other) and event_stream.is_after(other, event_id)
