"""What other writers send is refused with field and remedy, or can be told and used anywhere.

Guards against a heartbeat that ends each entry, since its address has no port, and against numbers
that nodes can't encode for other nodes.
"""

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
