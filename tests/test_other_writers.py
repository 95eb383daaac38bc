"""What other writers send is refused with field and remedy, or can be told and used anywhere.

Guards against a heartbeat that ends each entry, since its address has no port, and against numbers
that nodes can't encode for other nodes.
"""

import asyncio
import contextlib
import json

import hypothesis
import hypothesis.strategies as st
import pytest

from merlinthread import errors
from merlinthread.coordination import fleet, instances
from merlinthread.nodes import node_settings
from merlinthread.platform import bodies, dialect
from merlinthread.protocol import node_messages, piece_messages
from merlinthread.transport import http_messages
from tests import fleet_nodes

BODY = {
    "service": "s",
    "address": "10.128.0.9:8080",
    "zone": "z",
    "slots": 4,
    "state": "ready",
    "sequence": 1,
    "models": [{"name": "m", "version": 1}],
    "layers": {"from": 0, "target_version": 16, "version": 1},
}
REPORT = {
    "models": [{"name": "m", "version": 1}],
    "layers": {"from": 0, "target_version": 16, "version": 1},
    "busy": False,
    "sequence": 1,
    "queued": 0,
    "running": 0,
    "kv_used": 0,
    "kv_total": 10,
    "pace": 1.0,
    "born": 1767000000000,
}
MANIFEST = {"model": "m", "version": 1, "digests": ["a" * 64], "layers": 16}
HUGE = [2**63, 2**64, 10**30, -1]


def parse(**changes) -> fleet.Heartbeat:
    return bodies.parse_heartbeat("i", json.dumps(BODY | changes).encode())


@pytest.mark.parametrize(
    "address",
    [
        "10.128.0.9",
        "",
        "unknown",
        "10.128.0.9:http",
        ":8080",
        "10.128.0.9:",
        "10.128.0.9:0",
        "10.128.0.9:65536",
        "10.128.0.9:-1",
        "10.128.0.9:8_0",
        "10.128.0.9:\u00b2",
        "10.128.0.9:" + "9" * 5000,
        "10.128.0.999:8080",
        "host:8080",
    ],
)
def test_heartbeat_without_ip_address_and_port_is_refused(address):
    with pytest.raises(errors.ProtocolError, match="address") as raised:
        parse(address=address)
    assert raised.value.field == "address"


VALUES = ["2026-12-04T16:45:00Z", 1.5, True, [], {"a": 1}]
VALID_VALUES = {
    "service": VALUES[:1],
    "zone": VALUES[:1],
    "cold_remaining_ms": [1.5],
    "models": [[]],
    "layers": [{"a": 1}],
}
WRONG_TYPES = [
    (field, value)
    for field in [*BODY, "born", "cold_remaining_ms"]
    for value in VALUES
    if value not in VALID_VALUES.get(field, [])
]


# Guards against a field of another type that counts as missing, so that the heartbeat is taken for
# that of another incarnation.
@pytest.mark.parametrize(("field", "value"), WRONG_TYPES)
def test_heartbeat_with_a_field_of_another_type_is_refused_with_field_and_remedy(field, value):
    with pytest.raises(errors.ProtocolError, match="; (correct|send)") as raised:
        parse(**{field: value})
    assert raised.value.field == field


# Guards against an error that asks for valid JSON where a field is missing.
@pytest.mark.parametrize("field", ["service", "address", "zone", "slots", "state", "sequence"])
def test_heartbeat_without_a_field_is_refused_with_field_and_remedy(field):
    body = {key: value for key, value in BODY.items() if key != field}
    with pytest.raises(errors.ProtocolError, match=f"add {field}") as raised:
        bodies.parse_heartbeat("i", json.dumps(body).encode())
    assert raised.value.field == field


# Guards against errors without a remedy.
@pytest.mark.parametrize("body", [b"", b"{", b"[]", b'"x"', b"\xff", b"7", b"null"])
@pytest.mark.parametrize(
    ("method", "path"),
    [(b"PUT", b"/instances/i"), (b"PUT", b"/config"), (b"POST", b"/version-put")],
)
def test_control_call_with_an_unreadable_body_is_refused_with_a_remedy(method, path, body):
    request = http_messages.Request(method, path, [], body)
    with pytest.raises(errors.MerlinthreadError, match="send valid JSON, an object, in UTF-8"):
        dialect.PlatformDialect().parse_control_call(request)


# Guards against errors that do not name the field.
@pytest.mark.parametrize(
    ("changes", "field"),
    [({"model": 5}, "model"), ({"version": "2"}, "version"), ({"version": None}, "version")],
)
def test_named_version_with_a_field_of_another_type_is_refused(changes, field):
    body = json.dumps({"model": "m", "version": 1} | changes).encode()
    request = http_messages.Request(b"POST", b"/version-put", [], body)
    with pytest.raises(errors.ProtocolError, match=f"correct {field}") as raised:
        dialect.PlatformDialect().parse_control_call(request)
    assert raised.value.field == field


# Guards against an id that is taken for the name of another back end's incarnation.
@pytest.mark.parametrize("method", [b"PUT", b"DELETE"])
@pytest.mark.parametrize("instance", [b"", b"i@1767000000000", b"i@7", b"i-\xff"])
def test_call_with_an_id_that_names_an_incarnation_or_nothing_is_refused(method, instance):
    body = json.dumps(BODY).encode()
    request = http_messages.Request(method, b"/instances/" + instance, [], body)
    with pytest.raises(errors.ProtocolError, match="is not an id; use") as raised:
        dialect.PlatformDialect().parse_control_call(request)
    assert raised.value.field == "instance"


# Guards against an error that loses what is known: the refused heartbeat changes nothing.
def test_refused_heartbeat_does_not_end_the_live_incarnation(tmp_path):
    async def scenario():
        async with fleet_nodes.running_controls(tmp_path) as controls:
            live = BODY | {"born": 1767000000000}
            await controls.until_acknowledged("PUT", "/instances/i", live | {"sequence": 40})
            nodes = controls.nodes.values()
            await fleet_nodes.until(lambda: all(node.registry.known for node in nodes))
            for changes in ({"born": "2026-12-04T16:45:00Z"}, {"state": 5}, {"slots": None}):
                body = live | {"sequence": 1, "state": "draining"} | changes
                response = await controls.call(controls.ips[0], "PUT", "/instances/i", body)
                assert response.status == 400
                assert json.loads(response.body)["field"] == next(iter(changes))
            last = live | {"sequence": 41, "slots": 5}
            await controls.until_acknowledged("PUT", "/instances/i", last)
            for node in nodes:
                await fleet_nodes.until(
                    lambda known=node.registry.known: known["i@1767000000000"].heartbeat.slots == 5
                )
                (known,) = node.registry.known.values()
                assert known.heartbeat.state == fleet.READY
                assert not node.registry.gone

    asyncio.run(scenario())


# Guards against a heartbeat without a start time that makes another incarnation drain for good.
def test_draining_heartbeat_without_start_time_does_not_drain_the_incarnation_with_one(tmp_path):
    async def scenario():
        async with fleet_nodes.running_controls(tmp_path) as controls:
            live = BODY | {"born": 1767000000000}
            await controls.until_acknowledged("PUT", "/instances/i", live | {"sequence": 40})
            nodes = controls.nodes.values()
            await fleet_nodes.until(lambda: all(node.registry.known for node in nodes))
            draining = BODY | {"state": "draining"}
            await controls.until_acknowledged("PUT", "/instances/i", draining)
            for node in nodes:
                await fleet_nodes.until(lambda node=node: node.member.state.departed)
                (known,) = node.registry.known.values()
                assert (known.heartbeat.instance, known.heartbeat.state) == (
                    "i@1767000000000",
                    fleet.READY,
                )

    asyncio.run(scenario())


@pytest.mark.parametrize("number", HUGE)
@pytest.mark.parametrize("field", ["sequence", "slots"])
def test_heartbeat_with_number_beyond_64_bits_is_refused(field, number):
    with pytest.raises(errors.ProtocolError, match=field):
        parse(**{field: number})
    with pytest.raises(errors.ProtocolError, match="layers"):
        parse(layers={"from": 0, "target_version": number, "version": 1})
    assert parse(models=[{"name": "m", "version": number}], layers=None).weights == []


@pytest.mark.parametrize("number", HUGE)
def test_other_numbers_beyond_64_bits_are_refused(number):
    for field in ("sequence", "queued", "running"):
        with pytest.raises(errors.ProtocolError, match=field):
            bodies.parse_report(json.dumps({field: number}).encode())
    manifest = {"model": "m", "version": number, "digests": []}
    with pytest.raises(errors.ProtocolError, match="version"):
        bodies.parse_manifest(json.dumps(manifest).encode())
    body = json.dumps({"model": "m", "version": number}).encode()
    request = http_messages.Request(b"POST", b"/version-put", [], body)
    with pytest.raises(errors.ProtocolError, match="version"):
        dialect.PlatformDialect().parse_control_call(request)


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from(HUGE)
    | st.floats(allow_nan=False)
    | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=6), inner),
    max_leaves=6,
)
ADDRESSES = st.from_regex(r"[0-9.]{0,12}:?[0-9]{0,6}", fullmatch=True)


@hypothesis.given(
    st.dictionaries(st.sampled_from([*BODY, "born", "cold_remaining_ms"]), JSON), ADDRESSES
)
@hypothesis.settings(max_examples=300, deadline=None)
def test_accepted_heartbeat_can_be_told_and_used_anywhere(changes, address):
    codec = fleet_nodes.make_codec()
    for body in (BODY | changes, BODY | changes | {"address": address}):
        try:
            heartbeat = bodies.parse_heartbeat("i", json.dumps(body).encode())
        except errors.MerlinthreadError:
            continue
        host, port = node_settings.split_address(heartbeat.address)
        assert host and 0 < port <= node_settings.PORT_MAX
        codec.encode(node_messages.HeartbeatBatch("c", [heartbeat]))


@hypothesis.given(
    st.dictionaries(st.sampled_from([*REPORT]), JSON),
    st.dictionaries(st.sampled_from([*MANIFEST]), JSON),
)
@hypothesis.settings(max_examples=300, deadline=None)
def test_accepted_reports_and_manifests_can_be_told(report_changes, manifest_changes):
    codec = fleet_nodes.make_codec()
    with contextlib.suppress(errors.MerlinthreadError):
        report = bodies.parse_report(json.dumps(REPORT | report_changes).encode())
        codec.encode(node_messages.LoadUpdate("10.0.0.1:1", 1, report))
    with contextlib.suppress(errors.MerlinthreadError):
        manifest = bodies.parse_manifest(json.dumps(MANIFEST | manifest_changes).encode())
        codec.encode(piece_messages.ManifestReply(manifest))


# Control VMs of a former build accept and tell such a heartbeat.
@pytest.mark.parametrize("address", ["10.128.0.9", "", "unknown"])
def test_entry_ignores_an_unusable_address_told_by_a_control_vm(address):
    entry = fleet_nodes.Entry()
    heartbeat = parse()
    heartbeat.address = address
    entry.node.watcher.instance_table.apply_instance(instances.Instance(heartbeat), 0.0)
    assert not entry.node.watcher.instance_table.instances
    entry.node.watcher.instance_table.apply_instance(instances.Instance(parse()), 0.0)
    assert list(entry.node.watcher.instance_table.instances) == ["i"]
