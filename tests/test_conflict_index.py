"""The index of incarnations with the same id or address.

Guards against scans of all back ends for each heartbeat or update.
"""

import hypothesis
from hypothesis import strategies as st

from merlinthread.coordination import conflict_index, fleet, incarnations, instances
from tests import fleet_nodes

NAMES = st.sampled_from(["a", "b", "a@1", "a@2", "b@7", "c@x"])
ADDRESSES = st.sampled_from(["10.0.0.9:1", "10.0.0.9:2", "10.0.0.9:3"])
BACKENDS = 600
# A name may be parsed a few times when it is added, regardless of the number of others.
PARSED_MAX = 12


def beat(name: str, address: str, sequence: int = 1) -> fleet.Heartbeat:
    return fleet.Heartbeat(
        instance=name,
        service="s",
        address=address,
        zone="zone-a",
        slots=4,
        state=fleet.READY,
        sequence=sequence,
    )


def are_conflicting(one: fleet.Heartbeat, other: fleet.Heartbeat) -> bool:
    if one.instance == other.instance:
        return False
    ids = incarnations.parse(one.instance).id, incarnations.parse(other.instance).id
    return ids[0] == ids[1] or one.address == other.address


@hypothesis.given(st.lists(st.tuples(st.booleans(), NAMES, ADDRESSES)), NAMES, ADDRESSES)
def test_the_index_finds_just_those_of_the_same_id_or_address(steps, name, address):
    index, present = conflict_index.ConflictIndex(), {}
    for comes, other, at in steps:
        if comes:
            index.put(beat(other, at))
            present[other] = beat(other, at)
        else:
            index.discard(other)
            present.pop(other, None)
    new = beat(name, address)
    assert index.conflicts(new) == sorted(
        o for o, known in present.items() if are_conflicting(known, new)
    )
    same = sorted(o for o in present if incarnations.parse(o).id == name)
    assert index.with_id(name) == same


def count_parsed(monkeypatch) -> list[str]:
    parsed, parse = [], incarnations.parse

    def counting_parse(name):
        parsed.append(name)
        return parse(name)

    monkeypatch.setattr(incarnations, "parse", counting_parse)
    return parsed


def test_registry_does_not_scan_all_back_ends_for_a_heartbeat(monkeypatch):
    registry, parsed = instances.InstanceRegistry(0.5), count_parsed(monkeypatch)
    for number in range(BACKENDS):
        assert registry.record_heartbeat(beat(f"i-{number}@1", f"10.0.0.9:{1 + number}"), 0.0)
    assert len(parsed) <= PARSED_MAX * BACKENDS


def test_watcher_does_not_scan_all_back_ends_for_an_update(monkeypatch):
    watcher = fleet_nodes.make_watcher(fleet_nodes.make_settings("entry"))
    parsed = count_parsed(monkeypatch)
    for number in range(BACKENDS):
        watcher.instance_table.apply_instance(
            instances.Instance(beat(f"i-{number}@1", f"10.0.0.9:{1 + number}")), 0.0
        )
    assert len(watcher.instance_table.instances) == BACKENDS
    assert len(parsed) <= PARSED_MAX * BACKENDS


def test_watcher_ignores_older_heartbeat_except_for_draining():
    watcher = fleet_nodes.make_watcher(fleet_nodes.make_settings("entry"))
    reported = [beat("i-1", "10.0.0.9:2", sequence=5), beat("i-1", "10.0.0.9:1", sequence=4)]
    for heartbeat in reported:
        watcher.instance_table.apply_instance(instances.Instance(heartbeat), 0.0)
    assert watcher.instance_table.instances["i-1"].address == "10.0.0.9:2"
    leaving = beat("i-1", "10.0.0.9:1", sequence=3)
    leaving.state = fleet.DRAINING
    watcher.instance_table.apply_instance(instances.Instance(leaving), 0.0)
    known = watcher.instance_table.instances["i-1"]
    assert (known.address, known.state) == ("10.0.0.9:2", fleet.DRAINING)
