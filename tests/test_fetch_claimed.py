"""Origin reads under the policy `claimed`, in a simulation without a network.

Guards against duplicate reads from the origin, and against slow recovery after its outage.
"""

import random

import pytest

from bench import transfer
from merlinthread.coordination import fetch, fetch_claimed

VMS = 9
ZONES = 3
CHUNKS = 30


def vm_name(number: int) -> str:
    return f"10.{number % ZONES}.0.{number}:7000"


def make_plan(number: int) -> fetch_claimed.Claimed:
    zone = number % ZONES
    peers = [
        fetch.Peer(
            vm_name(n), vm_name(n), fetch.OTHER_REGION * (n % ZONES != zone), f"z{n % ZONES}"
        )
        for n in range(VMS)
        if n != number
    ]
    plan = fetch_claimed.Claimed(vm_name(number), "m@2", CHUNKS, 0, 1, 0.0, random.Random(number))
    plan.readers_max = 6
    plan.set_peers(peers)
    return plan


def make_reader() -> fetch_claimed.Claimed:
    return next(plan for plan in map(make_plan, range(VMS)) if plan.owned)


def simulate(policy: str, agents: int, seed: int, fault: transfer.Fault) -> dict[str, float]:
    shape = transfer.Shape(
        agents=agents, zones=3, origin_rate=547_500.0, seed=seed, policy=policy, due_s=6.0
    )
    return transfer.Simulation(shape, fault).run().figures()


@pytest.mark.parametrize("seed", [1, 2])
def test_claimed_recovers_faster_and_reads_less_after_an_origin_outage(seed):
    outage = transfer.Fault(2.5, 8.5)
    claimed = simulate("claimed", 24, seed, outage)
    zoned = simulate("zoned", 24, seed, outage)
    assert claimed["half_s"] <= zoned["half_s"] - 0.15
    assert claimed["origin_copies"] <= 1.35


def test_claimed_reads_less_without_faults_and_is_not_slower():
    claimed = simulate("claimed", 24, 1, transfer.Fault())
    zoned = simulate("zoned", 24, 1, transfer.Fault())
    assert claimed["origin_copies"] <= zoned["origin_copies"] - 0.05
    assert claimed["half_s"] <= zoned["half_s"] + 0.1


def test_claimed_chunk_is_not_read_until_the_claim_expires():
    plan = make_reader()
    own = fetch.bit_positions(plan.owned)
    for index in range(CHUNKS):
        plan.on_claim(index, 0.0)
    assert not isinstance(plan.next_action(0.1), fetch.OriginRead)
    action = plan.next_action(fetch_claimed.CLAIM_LIFETIME_S)
    assert isinstance(action, fetch.OriginRead) and action.index in own


def test_owner_does_not_read_chunks_held_in_another_zone():
    plan = make_reader()
    far = next(peer.name for peer in plan.peers.values() if peer.distance == fetch.OTHER_REGION)
    for index in fetch.bit_positions(plan.owned):
        plan.on_announcement(far, index)
    assert not isinstance(plan.next_action(0.1), fetch.OriginRead)


def test_chunks_held_only_by_a_lost_vm_are_read_again():
    plan = make_reader()
    far = next(peer.name for peer in plan.peers.values() if peer.distance == fetch.OTHER_REGION)
    for index in fetch.bit_positions(plan.owned):
        plan.on_announcement(far, index)
    plan.on_peer_failed(far, 0.1)
    assert isinstance(plan.next_action(0.2), fetch.OriginRead)


def test_origin_reads_and_claims_are_announced_to_all_readers():
    plan = make_reader()
    recipients = plan.announcement_recipients(fetch.OriginRead(0))
    assert len(recipients) == len(set(recipients))
    assert set(plan.readers) - {plan.own_name} <= set(recipients)
    assert set(plan.claim_recipients()) == set(plan.readers) - {plan.own_name}


def test_failed_origin_read_is_retried_sooner_by_the_owner():
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


def test_claim_of_an_unknown_chunk_is_ignored():
    plan = make_reader()
    plan.on_claim(CHUNKS, 1.0)
    assert not plan.claims
