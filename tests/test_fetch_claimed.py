"""Origin reads under the policy `claimed`, in a simulation without a network.

Guards against duplicate reads from an origin whose link is the bottleneck, and against slow
recovery after an outage of the origin.
"""

import random

import pytest

from bench import transfer
from merlinthread.coordination import fetch, fetch_claimed

VMS = 9
ZONES = 3
CHUNKS = 30


def name(number: int) -> str:
    return f"10.{number % ZONES}.0.{number}:7000"


def make_plan(number: int) -> fetch_claimed.Claimed:
    zone = number % ZONES
    peers = [
        fetch.Peer(name(n), name(n), fetch.OTHER_REGION * (n % ZONES != zone), f"z{n % ZONES}")
        for n in range(VMS)
        if n != number
    ]
    plan = fetch_claimed.Claimed(name(number), "m@2", CHUNKS, 0, 1, 0.0, random.Random(number))
    plan.readers_max = 6
    plan.set_peers(peers)
    return plan


def make_reader() -> fetch_claimed.Claimed:
    return next(plan for plan in map(make_plan, range(VMS)) if plan.owned)


def simulate(policy: str, agents: int, seed: int, fault: transfer.Fault) -> dict[str, float]:
    shape = transfer.Shape(
        agents=agents, zones=3, origin_rate=547_500.0, seed=seed, policy=policy, due_s=6.0
    )
    return transfer.Rollout(shape, fault).run().figures()


@pytest.mark.parametrize("seed", [1, 2])
def test_after_the_origin_was_away_all_are_whole_sooner_and_it_sends_less(seed):
    outage = transfer.Fault(2.5, 8.5)
    claimed = simulate("claimed", 24, seed, outage)
    zoned = simulate("zoned", 24, seed, outage)
    assert claimed["half_s"] <= zoned["half_s"] - 0.15
    assert claimed["origin_copies"] <= 1.35


def test_on_a_calm_rollout_the_origin_sends_less_and_nobody_waits_longer():
    claimed = simulate("claimed", 24, 1, transfer.Fault())
    zoned = simulate("zoned", 24, 1, transfer.Fault())
    assert claimed["origin_copies"] <= zoned["origin_copies"] - 0.05
    assert claimed["half_s"] <= zoned["half_s"] + 0.1


def test_a_chunk_that_another_vm_reads_is_not_read_until_the_claim_is_old():
    plan = make_reader()
    own = fetch.bit_positions(plan.owned)
    for index in range(CHUNKS):
        plan.on_claim(index, 0.0)
    assert not isinstance(plan.next_action(0.1), fetch.OriginRead)
    action = plan.next_action(fetch_claimed.CLAIM_LIFETIME_S)
    assert isinstance(action, fetch.OriginRead) and action.index in own


def test_an_owner_does_not_read_what_another_zone_has():
    plan = make_reader()
    far = next(peer.name for peer in plan.peers.values() if peer.distance == fetch.OTHER_REGION)
    for index in fetch.bit_positions(plan.owned):
        plan.on_announcement(far, index)
    assert not isinstance(plan.next_action(0.1), fetch.OriginRead)


def test_what_only_a_lost_vm_had_is_read_again():
    plan = make_reader()
    far = next(peer.name for peer in plan.peers.values() if peer.distance == fetch.OTHER_REGION)
    for index in fetch.bit_positions(plan.owned):
        plan.on_announcement(far, index)
    plan.on_peer_failed(far, 0.1)
    assert isinstance(plan.next_action(0.2), fetch.OriginRead)


def test_all_readers_hear_what_the_origin_gave_and_who_reads_what():
    plan = make_reader()
    recipients = plan.announcement_recipients(fetch.OriginRead(0))
    assert len(recipients) == len(set(recipients))
    assert set(plan.readers) - {plan.own_name} <= set(recipients)
    assert set(plan.claim_recipients()) == set(plan.readers) - {plan.own_name}


def test_an_origin_that_was_away_is_tried_by_owners_at_once_and_by_others_much_later():
    plan = make_reader()
    own = fetch.bit_positions(plan.owned)[0]
    plan.on_origin_failed(5.0, 0.3, own)
    assert isinstance(plan.next_action(5.0 + fetch_claimed.OWNED_CHUNK_RETRY_S), fetch.OriginRead)
    plan.held = plan.owned
    plan.is_late = True
    assert isinstance(
        plan.next_action(6.0), fetch.OriginRead
    ), "a late reader must take over unread chunks"
    other = fetch.bit_positions(plan.needed())[0]
    plan.on_origin_failed(6.0, 0.3, other)
    assert not isinstance(
        plan.next_action(6.0 + fetch_claimed.FALLBACK_RETRY_S - 0.01), fetch.OriginRead
    )
    assert isinstance(plan.next_action(6.0 + 2 * fetch_claimed.FALLBACK_RETRY_S), fetch.OriginRead)


def test_a_claim_of_a_chunk_that_there_is_not_changes_nothing():
    plan = make_reader()
    plan.on_claim(CHUNKS, 1.0)
    assert not plan.claims
