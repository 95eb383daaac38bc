"""The platform package: encapsulation of its names, and validation of bodies and settings."""

import json
import pathlib

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from merlinthread import errors
from merlinthread.coordination import route_table
from merlinthread.nodes import dialect as dialects
from merlinthread.platform import bodies, dialect, names, settings_file
from merlinthread.transport import http_messages
from tests import fleet_nodes

SOURCES = pathlib.Path(names.__file__).parent.parent
PLATFORM_NAMES = (
    [value for value in vars(names).values() if isinstance(value, bytes) and len(value) > 8]
    + [b"path_prefix", b"api_keys", b"traffic_split", b"target_latency_ms", b"sample_count"]
    + [b"cold_remaining_ms", b"heartbeat_url", b"MERLINTHREAD_CONFIG", b"port_range"]
)
# Names that other packages use with the same spelling, independently of the platform.
SHARED_NAMES = {b"last-event-id", b"content-encoding", b"/instances/"}


def test_platform_names_are_used_only_in_the_platform_package():
    for path in SOURCES.rglob("*.py"):
        if "platform" in path.parts[len(SOURCES.parts) :]:
            continue
        text = path.read_bytes()
        # Header names are case-insensitive; other names are not.
        for name in PLATFORM_NAMES:
            found = name in (text.lower() if name.startswith(b"x-") else text)
            assert name in SHARED_NAMES or not found, f"{path} contains {name!r}"


def test_platform_package_is_not_imported_by_other_packages():
    for path in SOURCES.rglob("*.py"):
        if "platform" in path.parts[len(SOURCES.parts) :]:
            continue
        assert "merlinthread.platform" not in path.read_text().replace(
            "`merlinthread.platform`", ""
        )


SETTINGS = {
    "node_name": "n",
    "ip": "10.1.0.1",
    "zone": "z",
    "region": "r",
    "zones": {"z": "r"},
    "port_range": [7700, 7715],
    "seeds": ["10.1.0.2:8000", "10.2.0.2:8000"],
    "listen": {"front": "10.1.0.1:80", "ready": "10.1.0.1:81"},
    "limits": {"memory_mb": 100, "link_mbps": 8},
    "bounds": {"drain_ms": 1500, "version_ms": 9000, "grace_s": 6},
    "a_field_of_tomorrow": 1,
}


def test_settings_are_translated_and_unknown_fields_ignored():
    settings = settings_file.translate(
        msgspec.json.decode(json.dumps(SETTINGS), type=settings_file.SettingsBody)
    )
    assert settings.control_rpc_addresses() == ["10.1.0.2:7700", "10.2.0.2:7700"]
    assert (settings.bounds.drain_s, settings.bounds.version_s, settings.bounds.grace_s) == (
        1.5,
        9.0,
        6.0,
    )
    assert settings.link_bytes_per_s == 1e6


def test_every_bound_may_be_a_fraction():
    names = [field.name for field in msgspec.structs.fields(settings_file.BoundsBody)]
    bounds = {name: 2.5 for name in names}
    body = msgspec.json.encode(SETTINGS | {"bounds": bounds})
    settings = settings_file.translate(msgspec.json.decode(body, type=settings_file.SettingsBody))
    assert (settings.bounds.retry_slack, settings.bounds.catch_up_s) == (2.5, 2.5)


@pytest.mark.parametrize("change", [{"ip": None}, {"seeds": "x"}, {"port_range": [1]}])
def test_invalid_settings_are_refused_with_their_field(tmp_path, change):
    path = tmp_path / "node.json"
    path.write_text(json.dumps(SETTINGS | change))
    with pytest.raises(errors.SettingsError) as raised:
        settings_file.load(path)
    assert next(iter(change)) in raised.value.message


def test_configuration_fields_are_parsed():
    body = fleet_nodes.configuration(7, ["safe"], "model", "10.0.0.1:90")
    configuration = bodies.parse_configuration(json.dumps(body).encode())
    route = configuration.routes[-1]
    assert (configuration.version, route.is_resumable, route.gap_s) == (7, True, 0.2)
    assert configuration.services[1].engine.chunks == 24
    assert configuration.accounts[0].keys == ["key-1"]


# Guards against a bound that is in force where a deployment sets none.
def test_bound_of_cold_back_ends_is_optional():
    def bounds(changes):
        body = msgspec.json.encode(SETTINGS | {"bounds": changes})
        decoded = msgspec.json.decode(body, type=settings_file.SettingsBody)
        return settings_file.translate(decoded).bounds

    assert (bounds({}).cold_overage, bounds({"cold_overage": None}).cold_overage) == (None, None)
    found = bounds({"cold_overage": 1.5, "cold_slack": 5})
    assert (found.cold_overage, found.cold_slack) == (1.5, 5.0)


# Guards against a negative rate, with which no permit would ever be granted.
@pytest.mark.parametrize("name", ["cold_per_s", "cold_start_s"])
def test_negative_value_for_cold_back_ends_is_refused_with_its_field(name):
    body = fleet_nodes.configuration(7, ["safe"])
    body["services"][0][name] = None
    route_table.validate(bodies.parse_configuration(json.dumps(body).encode()))
    body["services"][0][name] = -1
    with pytest.raises(errors.ConfigurationError) as raised:
        route_table.validate(bodies.parse_configuration(json.dumps(body).encode()))
    assert raised.value.field == f"services[safe].{name}"


# Guards against heartbeats without the field that count as "not cold".
def test_heartbeat_says_whether_it_reports_a_cold_start():
    body = {"service": "s", "address": "10.0.0.1:1", "zone": "z", "slots": 1, "state": "ready"}
    body |= {"sequence": 1}
    found = [
        bodies.parse_heartbeat("i", json.dumps(body | more).encode())
        for more in ({}, {"cold_remaining_ms": None}, {"cold_remaining_ms": 0})
    ]
    assert [heartbeat.reports_cold for heartbeat in found] == [False, False, True]
    negative = bodies.parse_heartbeat("i", json.dumps(body | {"cold_remaining_ms": -5}).encode())
    assert negative.cold_s == 0.0


@hypothesis.given(st.binary(max_size=300))
def test_any_body_is_read_or_refused_clearly(data):
    for read in (bodies.parse_configuration, bodies.parse_report, bodies.parse_manifest):
        try:
            read(data)
        except errors.MerlinthreadError:
            pass


@hypothesis.given(st.integers(0, 2000))
def test_a_configuration_cut_short_anywhere_is_refused(cut):
    whole = json.dumps(fleet_nodes.configuration(7, ["safe", "unsafe"], "model")).encode()
    with pytest.raises(errors.ConfigurationError):
        bodies.parse_configuration(whole[: min(cut, len(whole) - 1)])


@pytest.mark.parametrize(
    ("method", "path", "kind"),
    [
        ("GET", "/config", dialects.GetConfiguration),
        ("POST", "/version-put", dialects.NameVersion),
        ("DELETE", "/instances/i-1", dialects.RemoveInstance),
        ("GET", "/evacuations", dialects.GetEvacuations),
        ("POST", "/evacuations/zone-a", dialects.EvacuateZone),
        ("DELETE", "/evacuations/zone-a", dialects.WithdrawEvacuation),
    ],
)
def test_control_calls_are_recognized_by_method_and_path(method, path, kind):
    body = b'{"model":"m","version":2}'
    request = http_messages.Request(method.encode(), path.encode(), [], body)
    assert isinstance(dialect.PlatformDialect().parse_control_call(request), kind)


def test_an_unknown_call_is_refused():
    with pytest.raises(errors.RequestError):
        dialect.PlatformDialect().parse_control_call(http_messages.Request(b"GET", b"/x", [], b""))


# Guards against a part that crashes back ends being taken for a request's own, or the reverse.
@pytest.mark.parametrize(
    ("value", "shared"),
    [
        (b"5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        (b" 5C1E07A2:800 , e4402b7d:250", ("5c1e07a2",)),
        (b"e4402b7d:250", ()),
        (b"", ()),
        (b",,\xff:1,e4402b7d", ("\xff",)),
    ],
)
def test_all_parts_of_a_prompt_but_the_last_are_shared(value, shared):
    headers = [(b"X-Merlinthread-Prompt-Prefix", value)]
    request = http_messages.Request(b"POST", b"/x", headers, b"")
    assert dialect.PlatformDialect().parse_request_head(request).shared_parts == shared


# Guards against a number that ends a request without an answer, as ones too large for a float did.
@pytest.mark.parametrize("digits", [13, 400, 5000])
@pytest.mark.parametrize("name", [b"X-Merlinthread-Token-Usage", b"X-Merlinthread-Deadline-Ms"])
def test_numbers_of_clients_with_too_many_digits_are_ignored(name, digits):
    request = http_messages.Request(b"POST", b"/x", [(name, b"9" * digits)], b"")
    head = dialect.PlatformDialect().parse_request_head(request)
    assert (head.prompt_tokens, head.response_tokens, head.deadline_s) == (0, 0, None)


# Guards against an invalid estimate being taken for a short response.
@pytest.mark.parametrize(
    ("value", "hint"),
    [(b"250", 250), (b" 250 ", 250), (b"0", 0), (b"", None), (b"-3", None), (b"2.5", None)]
    + [(b"9" * 5000, None), (b"\xb2", None), (b"1,2", None)],
)
def test_length_hint_is_a_whole_number(value, hint):
    headers = [(b"X-Merlinthread-Length-Hint", value)]
    request = http_messages.Request(b"POST", b"/x", headers, b"")
    assert dialect.PlatformDialect().parse_request_head(request).length_hint == hint
