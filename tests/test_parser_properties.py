"""Property tests: input from outside is parsed or rejected with a MerlinthreadError."""

import json
import urllib.parse
import zlib

import hypothesis
import msgspec
from hypothesis import strategies as st

from merlinthread import errors
from merlinthread.platform import bodies, dialect
from merlinthread.protocol import node_messages
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
MESSAGES = [*node_messages.MESSAGES.entries, "node.of_tomorrow"]


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
