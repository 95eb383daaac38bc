"""Announcements of fetched chunks among 60 VMs in 5 zones, without a network.

Guards against VMs that stay idle because they learn late which peers hold new chunks.
"""

import random

from merlinthread.coordination import fetch, fetch_policies

ZONES = 5
VMS = 60
CHUNKS = 96


def vm_name(number: int) -> str:
    return f"10.{number % ZONES}.0.{number}:7000"


def make_plan(number: int, vms: int = VMS) -> fetch_policies.Zoned:
    """Build the plan of a VM whose peers are all the others."""
    zone = number % ZONES
    peers = [
        fetch.Peer(
            vm_name(n), vm_name(n), fetch.OTHER_REGION * (n % ZONES != zone), f"z{n % ZONES}"
        )
        for n in range(vms)
        if n != number
    ]
    plan = fetch_policies.Zoned(vm_name(number), "m@2", CHUNKS, 0, 1, 0.0, random.Random(number))
    plan.set_peers(peers)
    return plan


def zone_of(vm: str) -> int:
    return int(vm.split(".")[1])


def test_origin_chunk_is_announced_to_own_zone_and_one_vm_per_other_zone():
    plan = make_plan(7)
    recipients = plan.announcement_recipients(fetch.OriginRead(11))
    own = {vm for vm in recipients if zone_of(vm) == 2}
    others = [vm for vm in recipients if zone_of(vm) != 2]
    assert own == {vm_name(n) for n in range(VMS) if n % ZONES == 2 and n != 7}
    assert sorted(zone_of(vm) for vm in others) == [0, 1, 3, 4]
    for vm in others:
        number = int(vm.split(".")[3].split(":")[0])
        assert make_plan(number).rank(11) == 0, "not the first in rendezvous order of its zone"


def test_announced_chunk_is_requested_at_once():
    reader = make_plan(7)
    for vm in reader.announcement_recipients(fetch.OriginRead(11)):
        plan = make_plan(int(vm.split(".")[3].split(":")[0]))
        plan.on_announcement(vm_name(7), 11)
        action = plan.next_action(0.01)
        if isinstance(action, fetch.OriginRead):
            plan.on_action_started(action)
            action = plan.next_action(0.01)
        assert action == fetch.PeerRequest(vm_name(7), 1 << 11)


def test_chunk_from_another_zone_is_announced_within_the_own_zone():
    importer = make_plan(8)
    importer.on_announcement(vm_name(7), 11)
    far = fetch.PeerRequest(vm_name(7), 1 << 11)
    assert {zone_of(vm) for vm in importer.announcement_recipients(far)} == {3}
    # A chunk from the own zone has already been announced there.
    assert importer.announcement_recipients(fetch.PeerRequest(vm_name(13), 1 << 11)) == []


def test_announcing_vm_stays_a_peer_in_a_large_group():
    plan = make_plan(0, 300)
    non_peers = [vm for vm in plan.participants if vm not in plan.peers and vm != plan.own_name]
    plan.on_announcement(non_peers[0], 5)
    peers = [
        fetch.Peer(vm_name(n), vm_name(n), fetch.OTHER_REGION * (n % ZONES != 0), f"z{n % ZONES}")
        for n in range(1, 300)
    ]
    plan.set_peers(peers)
    assert plan.peers[non_peers[0]].held >> 5 & 1
    assert len(plan.peers) == fetch.NEIGHBOURS_MAX + 1


def test_announcement_by_an_unknown_vm_or_of_an_unknown_chunk_is_ignored():
    plan = make_plan(0)
    plan.on_announcement("10.9.9.9:7000", 5)
    plan.on_announcement(vm_name(7), CHUNKS)
    assert "10.9.9.9:7000" not in plan.peers
    assert not any(peer.held for peer in plan.peers.values())


def test_origin_reader_count_follows_the_origin_link_within_bounds():
    assert fetch.origin_reader_count(7.3e6 / 8, 3.65e6 / 8) == 16
    assert fetch.origin_reader_count(0.0, 3.65e6 / 8) == fetch.READERS_MAX
    assert fetch.origin_reader_count(1e12, 3.65e6 / 8) == fetch.READERS_MAX
    assert fetch.origin_reader_count(1.0, 3.65e6 / 8) == fetch.READERS_MIN


def test_each_chunk_has_one_reader_and_no_other_vm_reads_when_late():
    plans = [make_plan(number) for number in range(VMS)]
    for plan in plans:
        plan.readers_max = 8
        plan.on_participants_changed()
        plan.is_late = True
        plan.extra_read_interval_s = 0.1
    assert sum(plan.is_reader for plan in plans) == 8
    owned = 0
    for plan in plans:
        assert not owned & plan.owned
        owned |= plan.owned
    assert owned == (1 << CHUNKS) - 1
    idle = next(plan for plan in plans if not plan.is_reader)
    assert not isinstance(idle.next_action(0.01), fetch.OriginRead)


def test_busy_peer_is_available_again_after_free_in_s():
    plan = make_plan(0)
    plan.on_peer_report(vm_name(5), plan.all_chunks, 0.0)
    assert plan.peers[vm_name(5)] in plan.available_peers(0.01)
    plan.on_peer_busy(vm_name(5), 0.01, free_in_s=0.2)
    assert plan.peers[vm_name(5)] not in plan.available_peers(0.2)
    assert plan.peers[vm_name(5)] in plan.available_peers(0.42)


def test_peer_of_the_own_zone_is_asked_before_staler_distant_ones():
    # The VM may not request its last chunk from another zone.
    plan = next(plan for plan in map(make_plan, range(VMS)) if plan.rank(40) > 3)
    plan.held = plan.all_chunks & ~(1 << 40)
    for peer in plan.peers.values():
        plan.on_peer_report(peer.name, 0, 9.0 if peer.distance == fetch.SAME_ZONE else 1.0)
    plan.last_progress_at = 10.0
    action = plan.next_action(10.5)
    assert isinstance(action, fetch.PeerRequest)
    assert plan.peers[action.peer].distance == fetch.SAME_ZONE


def test_older_reply_does_not_undo_an_announcement():
    plan = make_plan(0)
    plan.on_announcement(vm_name(5), 7)
    plan.on_peer_report(vm_name(5), 0b1, 0.1)
    assert plan.peers[vm_name(5)].held == 1 << 7 | 0b1
    # A reply without a chunk overrides earlier announcements.
    plan.on_peer_empty(vm_name(5), 0.1)
    assert plan.peers[vm_name(5)].held == 0b1
