"""Announcements of fetched chunks among 60 VMs in 5 zones, without a network.

Guards against VMs that stay idle because they learn late which peers hold new chunks.
"""

import random

from merlinthread.coordination import fetch, fetch_policies

ZONES = 5
VMS = 60
CHUNKS = 96


def name(number: int) -> str:
    return f"10.{number % ZONES}.0.{number}:7000"


def make_plan(number: int, vms: int = VMS) -> fetch_policies.Zoned:
    """Build the plan of a VM whose peers are all the others."""
    zone = number % ZONES
    peers = [
        fetch.Peer(name(n), name(n), fetch.OTHER_REGION * (n % ZONES != zone), f"z{n % ZONES}")
        for n in range(vms)
        if n != number
    ]
    plan = fetch_policies.Zoned(name(number), "m@2", CHUNKS, 0, 1, 0.0, random.Random(number))
    plan.set_peers(peers)
    return plan


def zone_of(vm: str) -> int:
    return int(vm.split(".")[1])


def test_a_chunk_from_the_origin_is_told_to_the_own_zone_and_to_who_brings_it_into_each_other_one():
    plan = make_plan(7)
    recipients = plan.announcement_recipients(fetch.OriginRead(11))
    own = {vm for vm in recipients if zone_of(vm) == 2}
    others = [vm for vm in recipients if zone_of(vm) != 2]
    assert own == {name(n) for n in range(VMS) if n % ZONES == 2 and n != 7}
    assert sorted(zone_of(vm) for vm in others) == [0, 1, 3, 4]
    for vm in others:
        number = int(vm.split(".")[3].split(":")[0])
        assert make_plan(number).rank(11) == 0, "not the first in rendezvous order of its zone"


def test_whoever_is_told_asks_for_it_at_once_also_if_it_knew_nothing_of_the_teller():
    reader = make_plan(7)
    for vm in reader.announcement_recipients(fetch.OriginRead(11)):
        plan = make_plan(int(vm.split(".")[3].split(":")[0]))
        plan.on_announcement(name(7), 11)
        action = plan.next_action(0.01)
        if isinstance(action, fetch.OriginRead):
            plan.on_action_started(action)
            action = plan.next_action(0.01)
        assert action == fetch.PeerRequest(name(7), 1 << 11)


def test_one_vm_of_a_zone_tells_the_zone():
    importer = make_plan(8)
    importer.on_announcement(name(7), 11)
    far = fetch.PeerRequest(name(7), 1 << 11)
    assert {zone_of(vm) for vm in importer.announcement_recipients(far)} == {3}
    # A chunk from the own zone has already been announced there.
    assert importer.announcement_recipients(fetch.PeerRequest(name(13), 1 << 11)) == []


def test_who_has_announced_stays_among_those_asked_in_a_large_group():
    plan = make_plan(0, 300)
    strangers = [vm for vm in plan.participants if vm not in plan.peers and vm != plan.own_name]
    plan.on_announcement(strangers[0], 5)
    peers = [
        fetch.Peer(name(n), name(n), fetch.OTHER_REGION * (n % ZONES != 0), f"z{n % ZONES}")
        for n in range(1, 300)
    ]
    plan.set_peers(peers)
    assert plan.peers[strangers[0]].held >> 5 & 1
    assert len(plan.peers) == fetch.NEIGHBOURS_MAX + 1


def test_a_word_of_a_stranger_or_of_no_chunk_changes_nothing():
    plan = make_plan(0)
    plan.on_announcement("10.9.9.9:7000", 5)
    plan.on_announcement(name(7), CHUNKS)
    assert "10.9.9.9:7000" not in plan.peers
    assert not any(peer.held for peer in plan.peers.values())


def test_no_more_vms_read_the_origin_than_fill_its_link():
    assert fetch.origin_reader_count(7.3e6 / 8, 3.65e6 / 8) == 16
    assert fetch.origin_reader_count(0.0, 3.65e6 / 8) == fetch.READERS_MAX
    assert fetch.origin_reader_count(1e12, 3.65e6 / 8) == fetch.READERS_MAX
    assert fetch.origin_reader_count(1.0, 3.65e6 / 8) == fetch.READERS_MIN


def test_all_chunks_have_a_reader_and_nobody_else_reads_while_time_presses():
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


def test_a_busy_peer_is_asked_again_once_it_has_sent_what_it_promised():
    plan = make_plan(0)
    plan.on_peer_report(name(5), plan.all_chunks, 0.0)
    assert plan.peers[name(5)] in plan.available_peers(0.01)
    plan.on_peer_busy(name(5), 0.01, free_in_s=0.2)
    assert plan.peers[name(5)] not in plan.available_peers(0.2)
    assert plan.peers[name(5)] in plan.available_peers(0.42)


def test_a_peer_of_the_own_zone_is_asked_though_words_from_far_are_older():
    # The VM may not request its last chunk from another zone.
    plan = next(plan for plan in map(make_plan, range(VMS)) if plan.rank(40) > 3)
    plan.held = plan.all_chunks & ~(1 << 40)
    for peer in plan.peers.values():
        plan.on_peer_report(peer.name, 0, 9.0 if peer.distance == fetch.SAME_ZONE else 1.0)
    plan.last_progress_at = 10.0
    action = plan.next_action(10.5)
    assert isinstance(action, fetch.PeerRequest)
    assert plan.peers[action.peer].distance == fetch.SAME_ZONE


def test_an_answer_from_before_does_not_undo_an_announcement():
    plan = make_plan(0)
    plan.on_announcement(name(5), 7)
    plan.on_peer_report(name(5), 0b1, 0.1)
    assert plan.peers[name(5)].held == 1 << 7 | 0b1
    # A reply without a chunk overrides earlier announcements.
    plan.on_peer_empty(name(5), 0.1)
    assert plan.peers[name(5)].held == 0b1
