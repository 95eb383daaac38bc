"""Fetch policies under any order of replies, failures and corrupt chunks, and in a fleet."""

import random

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from merlinthread.coordination import fetch, fetch_baselines, fetch_policies, pacing, uploads

CHUNKS = 12
BASELINES = fetch_baselines
PEERS = ["vm-a", "vm-b", "vm-c"]


class FetchMachine(stateful.RuleBasedStateMachine):
    """One plan whose peers reply, fail, send corrupt chunks, leave and return."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 10.0
        self.plan = fetch_policies.Spread("me", "m", CHUNKS, 0, 2, self.now, random.Random(1))
        self.plan.set_peers([fetch.Peer(name, "127.0.0.1:1", 0) for name in PEERS])
        self.in_flight: list[fetch.Action] = []

    @stateful.rule()
    def act(self) -> None:
        action = self.plan.next_action(self.now)
        if action is None:
            return
        if isinstance(action, fetch.PeerRequest):
            assert action.wanted and not action.wanted & (self.plan.held | self.plan.in_flight)
            assert all(
                other.peer != action.peer
                for other in self.in_flight
                if isinstance(other, fetch.PeerRequest)
            )
        else:
            assert not (self.plan.held | self.plan.in_flight) >> action.index & 1
        self.plan.on_action_started(action)
        self.in_flight.append(action)

    @stateful.precondition(lambda self: self.in_flight)
    @stateful.rule(which=st.integers(0, 9), outcome=st.sampled_from("got empty fail lie".split()))
    def finish(self, which: int, outcome: str) -> None:
        action = self.in_flight.pop(which % len(self.in_flight))
        if isinstance(action, fetch.OriginRead):
            if outcome == "got":
                self.plan.on_chunk_received(action.index, True, self.now)
            else:
                self.plan.on_origin_failed(self.now, 0.5)
        elif outcome == "got":
            index = fetch.bit_positions(action.wanted)[0]
            self.plan.on_peer_report(action.peer, action.wanted, self.now)
            self.plan.on_chunk_received(index, False, self.now)
        elif outcome == "empty":
            self.plan.on_peer_report(action.peer, 0, self.now)
            self.plan.on_peer_empty(action.peer, self.now)
        elif outcome == "fail":
            self.plan.on_peer_failed(action.peer, self.now)
        else:
            self.plan.on_corrupt_chunk(action.peer, self.now)
            following = self.plan.next_action(self.now)
            assert not isinstance(following, fetch.PeerRequest) or following.peer != action.peer
        self.plan.on_action_finished(action)

    @stateful.rule(seconds=st.sampled_from([0.05, 1.0, 5.0]))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds

    @stateful.rule(names=st.sets(st.sampled_from(PEERS)))
    def peers_change(self, names: set[str]) -> None:
        self.plan.set_peers([fetch.Peer(name, "127.0.0.1:1", 0) for name in names])

    @stateful.invariant()
    def nothing_is_counted_twice(self) -> None:
        stats = self.plan.stats
        assert stats.from_origin + stats.from_peers == self.plan.held.bit_count()
        assert self.plan.origin_reads >= 0

    def teardown(self) -> None:
        """Without any peers, all chunks must be read from the origin."""
        for action in self.in_flight:
            self.plan.on_action_finished(action)
        self.plan.set_peers([])
        for _ in range(10_000):
            if self.plan.is_complete():
                return
            self.now += 0.5
            action = self.plan.next_action(self.now)
            if action is not None:
                self.plan.on_action_started(action)
                assert isinstance(action, fetch.OriginRead)
                self.plan.on_chunk_received(action.index, True, self.now)
                self.plan.on_action_finished(action)
        raise AssertionError(f"stuck with {self.plan.held:b}")


FetchMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=50, deadline=None, derandomize=True, database=None
)
TestFetchMachine = FetchMachine.TestCase


def simulate_fleet(count: int, policy: str, partition_after: int = 0) -> list[fetch.FetchPlan]:
    """Simulate a fleet in rounds of one upload and one download per VM; return the plans."""
    rng = random.Random(3)
    names = [f"vm-{number:03d}" for number in range(count)]
    peers = [fetch.Peer(n, "", 0 if i % 2 else 1) for i, n in enumerate(names)]
    plans = {
        name: fetch.POLICIES.get(policy)(name, "m", 40, 0, 2, 0.0, random.Random(number))
        for number, name in enumerate(names)
    }
    upload_slots = {name: uploads.UploadSlots(1) for name in names}
    for name, plan in plans.items():
        zone = names.index(name) % 2
        plan.set_peers(
            [
                fetch.Peer(p.name, "", (names.index(p.name) % 2) ^ zone)
                for p in peers
                if p.name != name
            ]
        )
    now = 0.0
    for number in range(4000):
        now += 0.1
        busy: set[str] = set()
        order = list(names)
        rng.shuffle(order)
        for name in order:
            run_action(
                plans,
                upload_slots,
                name,
                busy,
                now,
                is_partitioned=0 < partition_after <= number,
                names=names,
            )
        if all(plan.is_complete() for plan in plans.values()):
            break
    return list(plans.values())


def run_action(plans, upload_slots, name, busy, now, is_partitioned, names) -> None:
    """Run one action of one VM."""
    plan = plans[name]
    action = plan.next_action(now)
    if action is None:
        return
    plan.on_action_started(action)
    if isinstance(action, fetch.OriginRead):
        plan.on_chunk_received(action.index, True, now)
    else:
        other = plans[action.peer]
        crosses_zones = (names.index(name) + names.index(action.peer)) % 2
        if is_partitioned and crosses_zones:
            plan.on_peer_failed(action.peer, now)
        else:
            plan.on_peer_report(action.peer, other.held, now)
            offered = other.held & action.wanted
            if action.peer in busy or not offered:
                plan.on_peer_empty(action.peer, now)
            else:
                busy.add(action.peer)
                plan.on_chunk_received(
                    upload_slots[action.peer].choose_chunk("m", offered), False, now
                )
    plan.on_action_finished(action)


@pytest.mark.parametrize("policy", ["spread", "tree"])
def test_a_fleet_reads_one_copy_from_the_origin(policy):
    plans = simulate_fleet(30, policy)
    assert all(plan.is_complete() for plan in plans)
    assert sum(plan.stats.from_origin for plan in plans) == 40


def test_origin_only_policy_reads_a_copy_for_each_vm():
    plans = simulate_fleet(5, "origin_only")
    assert sum(plan.stats.from_origin for plan in plans) == 5 * 40


def test_zone_partitioned_at_the_start_reads_about_one_more_copy():
    plans = simulate_fleet(20, "spread", partition_after=1)
    assert all(plan.is_complete() for plan in plans)
    copies = sum(plan.stats.from_origin for plan in plans) / 40
    assert copies <= 2.1, f"{copies} copies for two zones"


def test_rarest_chunks_come_first():
    plan = fetch_policies.Spread("me", "m", 8, 0, 2, 0.0, random.Random(1))
    plan.set_peers([fetch.Peer(name, "", 0) for name in PEERS])
    plan.on_peer_report("vm-a", 0b1111, 0.0)
    plan.on_peer_report("vm-b", 0b0111, 0.0)
    plan.on_peer_report("vm-c", 0b0011, 0.0)
    assert plan.rarest_chunks(0b1111)[:2] == [3, 2]


def test_pacer_keeps_its_rate():
    pacer = pacing.Pacer(1000.0)
    ends = [pacer.reserve_until(100, now=5.0) for _ in range(10)]
    assert ends[-1] == pytest.approx(6.0)
    assert pacer.reserve_until(100, now=20.0) == pytest.approx(20.1)
