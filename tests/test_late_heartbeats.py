"""Heartbeats that arrive after their sender has ended and another incarnation has taken its place.

Guards against ending the live incarnation, or using the ended one, because of a single heartbeat.
"""

import asyncio
import itertools

import hypothesis
import hypothesis.strategies as st
import pytest

from merlinthread.coordination import fleet, incarnation_claims, incarnations, instances
from merlinthread.nodes import instance_table
from merlinthread.protocol import node_messages
from tests import fleet_nodes

INTERVAL_S = 1.2
ADDRESS = "10.0.0.9:1"
STARTED_MS = 1_767_000_000_000
ENDED, LIVE = "i-1", "i-2"


def make_heartbeat(
    instance, sequence, service="s", address=ADDRESS, state=fleet.READY
) -> fleet.Heartbeat:
    return fleet.Heartbeat(instance, service, address, "z", 4, state, sequence)


def named(id_, born_ms) -> str:
    return incarnations.Incarnation(id_, born_ms).name()


class Feed:
    """A control VM's registry and an entry's table that is sent its changes."""

    def __init__(self) -> None:
        self.registry = instances.InstanceRegistry(INTERVAL_S)
        self.table = instance_table.InstanceTable(INTERVAL_S, lambda name: None)
        self.position = 0

    def receive(self, at: float, instance: str, sequence: int, **fields) -> bool:
        """Receive one heartbeat; return whether the registry has changed."""
        heartbeat = make_heartbeat(instance, sequence, **fields)
        is_changed = self.registry.record_heartbeat(heartbeat, at)
        self.update_entry(at)
        return is_changed

    def confirm(self, at: float, instance: str, sequence: int, **fields) -> bool:
        """Record that the process at the address of a claimant says that it is the sender."""
        heartbeat = make_heartbeat(instance, sequence, **fields)
        assert heartbeat in self.registry.pop_contested()
        is_changed = self.registry.record_heartbeat(heartbeat, at, is_confirmed=True)
        self.update_entry(at)
        return is_changed

    def update_entry(self, at: float) -> None:
        is_full, changed, gone = self.registry.changes_since(self.position, at)
        self.position = self.registry.position
        reply = node_messages.WatchReply(
            "f", self.position, is_full, changed, gone, [], 0, b"", [], 0.0
        )
        self.table.apply(reply, at)
        self.table.remove_missing(at)

    def used(self) -> list[str]:
        """Return the known incarnations, which must be the same at the entry."""
        assert sorted(self.table.instances) == sorted(self.registry.known)
        return sorted(self.registry.known)


# Guards against a heartbeat held by a partition that ends the live incarnation for good.
@pytest.mark.parametrize("service", ["s", "another"])
@pytest.mark.parametrize("sequence", [1, 2, 3])
def test_late_first_heartbeat_does_not_end_the_incarnation_that_has_just_started(sequence, service):
    feed = Feed()
    feed.receive(0.0, LIVE, 1)
    assert not feed.receive(0.4, ENDED, sequence, service=service)
    assert feed.used() == [LIVE]
    for number in range(1, 5):
        feed.receive(number * INTERVAL_S, LIVE, 1 + number)
        assert feed.used() == [LIVE]


# Guards against a live incarnation that stays unused since a late heartbeat counted as a new one.
@pytest.mark.parametrize(("sequence", "late_s"), [(1, 1.1), (7, 0.1), (7, 1.1), (60, 0.6)])
def test_live_incarnation_returns_if_a_late_heartbeat_has_taken_its_place(sequence, late_s):
    feed = Feed()
    feed.receive(0.0, LIVE, sequence)
    feed.receive(late_s, ENDED, 1)
    for number in range(1, 4):
        feed.receive(number * INTERVAL_S, LIVE, sequence + number)
    assert feed.used() == [LIVE]
    assert not feed.registry.gone and not feed.table.gone


# Guards against the same at a control VM that knows no instance yet, since it has just started.
def test_live_incarnation_returns_if_a_late_heartbeat_came_first():
    feed = Feed()
    feed.receive(0.0, ENDED, 2)
    for number in range(3):
        feed.receive(0.5 + number * INTERVAL_S, LIVE, 20 + number)
    assert feed.used() == [LIVE]


# Guards against using an ended incarnation again because several of its heartbeats arrive late.
def test_late_heartbeats_do_not_bring_back_an_ended_incarnation():
    feed = Feed()
    feed.receive(0.0, ENDED, 40)
    feed.receive(5.0, LIVE, 1)
    for number in range(3):
        assert not feed.receive(5.4 + number * 0.2, ENDED, 41 + number)
    feed.receive(5.0 + INTERVAL_S, LIVE, 2)
    assert not feed.receive(6.9, ENDED, 44)
    assert feed.used() == [LIVE]


# Guards against replacing a crashed incarnation late, whose requests would be refused until then.
@pytest.mark.parametrize("sequence", [6, 40])
@pytest.mark.parametrize("silent_s", [0.1, 1.0, 3.0])
def test_new_incarnation_replaces_the_crashed_one_at_once(sequence, silent_s):
    feed = Feed()
    feed.receive(0.0, "crashed", sequence)
    is_silent = silent_s > instances.ALIVE_HEARTBEATS * INTERVAL_S
    assert feed.receive(silent_s, "new", 1) is is_silent
    assert is_silent or feed.confirm(silent_s, "new", 1)
    assert feed.used() == ["new"]


# Guards against the same where the process at the address does not say which one it is.
@pytest.mark.parametrize("silent_s", [0.1, 0.4, 1.0, 1.7])
def test_new_incarnation_replaces_the_crashed_one_once_that_is_silent(silent_s):
    feed = Feed()
    feed.receive(0.0, "crashed", 40)
    for sequence in (1, 2, 3):
        feed.receive(silent_s + (sequence - 1) * INTERVAL_S, "new", sequence)
        silent = (silent_s + (sequence - 1) * INTERVAL_S) / INTERVAL_S
        is_due = silent >= incarnation_claims.HOLDER_SILENCE_HEARTBEATS and sequence > 1
        assert feed.used() == (["new"] if is_due else ["crashed"])


# Guards against requests to an ended incarnation until two further heartbeats of the live one.
@pytest.mark.parametrize("sequence", [1, 2, 3, 7])
@pytest.mark.parametrize("gap_s", [0.1, 0.7, 1.1])
@pytest.mark.parametrize("count", [1, 3, 8])
def test_late_heartbeats_do_not_displace_an_incarnation_that_is_heard_from(sequence, gap_s, count):
    feed = Feed()
    beats = [(number * INTERVAL_S, LIVE, 1 + number) for number in range(22)]
    late = [(12.5 + number * gap_s, ENDED, sequence + number) for number in range(count)]
    for arrival in sorted(beats + late):
        feed.receive(*arrival)
        assert feed.used() == [LIVE]


# Guards against a proof by heartbeats of which the process at the address knows nothing.
def test_refuted_claim_is_proven_anew():
    feed = Feed()
    feed.receive(0.0, LIVE, 40)
    for number in range(1, 4):
        assert not feed.receive(number * 0.5, ENDED, number)
        feed.registry.refute(ENDED)
    assert feed.used() == [LIVE]


# Guards against keeping a process that crashed as soon as it had registered.
def test_new_incarnation_replaces_one_that_had_just_started_by_its_second_heartbeat():
    feed = Feed()
    feed.receive(0.0, "crashed", 1)
    assert not feed.receive(0.4, "new", 1)
    assert feed.receive(0.4 + INTERVAL_S, "new", 2)
    assert feed.used() == ["new"]
    feed = Feed()
    feed.receive(0.0, "crashed", 1)
    assert not feed.receive(1.0, "new", 1)
    assert feed.confirm(1.0, "new", 1)
    assert feed.used() == ["new"]


# Guards against a clock that was ahead when the ended incarnation started and has been set back.
def test_late_heartbeat_with_a_later_start_time_does_not_end_the_live_incarnation():
    ended, live = named("i", STARTED_MS + 50_000), named("i", STARTED_MS)
    feed = Feed()
    for number in range(20):
        feed.receive(number * INTERVAL_S, live, 1 + number)
        if number == 12:
            feed.receive(number * INTERVAL_S + 0.3, ended, 31)
    assert feed.used() == [live]
    assert not feed.registry.gone


# Guards against using a clock to tell that the live incarnation is the earlier one at an address.
def test_first_heartbeat_with_an_earlier_start_time_does_not_displace_the_live_incarnation():
    feed = Feed()
    live, ended = named("i-2", STARTED_MS + 9000), named("i-1", STARTED_MS)
    feed.receive(0.0, live, 40)
    assert not feed.receive(0.4, ended, 1)
    assert feed.used() == [live]


# Guards against a heartbeat of another writer that says nothing about the start.
def test_heartbeat_without_start_time_does_not_displace_the_incarnation_with_one():
    feed = Feed()
    live = named("i", STARTED_MS)
    for number in range(4):
        feed.receive(number * INTERVAL_S, live, 40 + number)
        assert not feed.receive(number * INTERVAL_S + 0.4, "i", 1)
    assert feed.used() == [live]


# Guards against an entry that keeps the former incarnation, since it received its last heartbeat
# after the first one of the new incarnation.
def test_entry_is_told_again_of_an_incarnation_that_has_displaced_another():
    feed = Feed()
    feed.receive(0.0, "crashed", 40)
    feed.table.heard_at["crashed"] = 1.0
    feed.receive(0.9, "new", 1)
    assert list(feed.table.instances) == ["crashed"]
    feed.receive(0.9 + INTERVAL_S, "new", 2)
    assert feed.used() == ["new"]


# Guards against two back ends at one address, of which entries use whichever they heard of last.
def test_back_end_that_moves_to_the_address_of_a_live_one_must_prove_its_claim():
    feed = Feed()
    feed.receive(0.0, "moving", 20, address="10.0.0.8:1")
    feed.receive(0.1, LIVE, 30)
    assert not feed.receive(INTERVAL_S, "moving", 21)
    feed.receive(0.1 + INTERVAL_S, LIVE, 31)
    assert not feed.receive(2 * INTERVAL_S, "moving", 22)
    assert feed.used() == [LIVE, "moving"]
    assert feed.registry.known["moving"].heartbeat.address == "10.0.0.8:1"
    # The other one has ended.
    feed.receive(3 * INTERVAL_S, "moving", 23)
    assert feed.used() == ["moving"]


# Guards against claims that use memory without bound.
def test_number_of_claims_is_bounded():
    table = incarnation_claims.ClaimTable(INTERVAL_S)
    for number in range(incarnation_claims.CLAIMS_MAX + 10):
        assert not table.record(make_heartbeat(f"i-{number}", 5), 0.0, 1.0)
    assert len(table.claims) == incarnation_claims.CLAIMS_MAX
    assert "i-9" not in table.claims and "i-10" in table.claims


LATE = st.lists(
    st.tuples(st.floats(0.0, 6.0), st.integers(1, 9), st.sampled_from([ADDRESS, "10.0.0.8:1"])),
    max_size=8,
)


# Guards against an order of arrival, at one of the control VMs, that leaves the ended incarnation.
@hypothesis.given(LATE, st.integers(1, 40), st.floats(0.0, 2.0), st.booleans())
@hypothesis.settings(max_examples=400, deadline=None)
def test_live_incarnation_is_the_one_in_use_after_any_late_heartbeats(
    late, first_sequence, starts_at, is_former_known
):
    feed = Feed()
    arrivals = [(at, "ended", number, address) for at, number, address in late]
    if is_former_known:
        arrivals.append((0.0, "ended", 4, ADDRESS))
    beats = [starts_at + number * INTERVAL_S for number in range(9)]
    arrivals += [(at, "live", first_sequence + n, ADDRESS) for n, at in enumerate(beats)]
    for at, instance, sequence, address in sorted(arrivals):
        feed.receive(at, instance, sequence, address=address)
    assert "live" in feed.registry.known and "live" in feed.table.instances
    used = [known.heartbeat for known in feed.registry.known.values()]
    assert all(one.instance == "live" for one in used if one.address == ADDRESS)
    assert not feed.registry.gone


# Guards against control VMs that disagree for good, since each forwards heartbeats to the others.
@pytest.mark.parametrize("order", list(itertools.permutations(range(3))))
def test_control_vms_agree_on_the_live_incarnation_in_any_order_of_arrival(order):
    feed = Feed()
    first = [(LIVE, 1), (ENDED, 1), (ENDED, 2)]
    for number, index in enumerate(order):
        feed.receive(number * 0.1, *first[index])
    for number in range(1, 5):
        feed.receive(number * INTERVAL_S, LIVE, 1 + number)
    assert feed.used() == [LIVE]


# Guards against control VMs that end the live incarnation for good, each in its own registry.
def test_all_control_vms_use_the_live_incarnation_after_a_late_heartbeat(tmp_path):
    async def scenario():
        async with fleet_nodes.running_controls(tmp_path) as controls:
            nodes = controls.nodes.values()

            async def send(instance: str, sequence: int) -> None:
                body = {
                    "service": "s",
                    "address": ADDRESS,
                    "zone": "z",
                    "slots": 4,
                    "state": "ready",
                    "sequence": sequence,
                }
                await controls.until_acknowledged("PUT", f"/instances/{instance}", body)

            await send(LIVE, 1)
            await fleet_nodes.until(lambda: all(node.registry.known for node in nodes))
            await send(ENDED, 1)
            for sequence in itertools.count(2):
                await send(LIVE, sequence)
                await asyncio.sleep(0.3)
                heard = [node.registry.known.get(LIVE) for node in nodes]
                if all(one and one.heartbeat.sequence == sequence for one in heard):
                    break
                assert sequence < 40
            assert all(list(node.registry.known) == [LIVE] for node in nodes)
            assert not any(node.registry.gone for node in nodes)

    asyncio.run(scenario())
