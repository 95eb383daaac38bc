"""Weight distribution in the simulation of `bench/transfer.py`, without a network.

Guards against slow rollouts, and against requests that are delayed by transfers on a slow link.
"""

import pytest

from bench import transfer
from merlinthread.coordination import pacing
from merlinthread.nodes import piece_fetcher


def simulate(agents: int, fault: str, seed: int = 1) -> dict[str, float]:
    shape = transfer.Shape(agents=agents, seed=seed)
    return transfer.Simulation(shape, transfer.FAULTS[fault]).run().figures()


def test_rollout_time_and_origin_reads_are_bounded():
    found = simulate(40, "none")
    assert found["half"] <= 1.4
    assert found["last"] <= 1.6
    assert found["origin_copies"] <= 2.0


def test_rollout_without_announcements_takes_longer():
    shape = transfer.Shape(agents=20)
    announced = transfer.Simulation(shape, transfer.Fault()).run().figures()
    unannounced = transfer.Simulation(shape, transfer.Fault(), announces=False).run().figures()
    assert announced["half"] < unannounced["half"] - 0.1


def test_transfer_window_limits_request_delay_on_a_slow_link(monkeypatch):
    found = simulate(20, "a slow agent")
    assert found["request_wait_ms_worst_link"] <= 300.0
    monkeypatch.setattr(piece_fetcher, "TRANSFER_TARGET_S", 1e9)
    found = simulate(20, "a slow agent")
    assert found["request_wait_ms_worst_link"] >= 800.0, "the window has no effect"


def test_receiver_feedback_limits_request_delay_on_a_slow_link(monkeypatch):
    # 24 engines hold all pieces, one of them has a slow link; 16 others fetch.
    shape = transfer.Shape(agents=40, holders=24)
    found = transfer.Simulation(shape, transfer.FAULTS["a slow agent"]).run().figures()
    assert found["request_wait_ms_worst_link"] <= 300.0
    monkeypatch.setattr(pacing.FeedbackPacer, "record", lambda self, receiver, took_s: None)
    found = transfer.Simulation(shape, transfer.FAULTS["a slow agent"]).run().figures()
    assert found["request_wait_ms_worst_link"] >= 450.0, "the receivers' feedback has no effect"


def test_slow_origin_readers_do_not_delay_the_other_agents():
    rollout = transfer.Simulation(transfer.Shape(agents=40), transfer.Fault())
    readers = [agent for agent in rollout.agents.values() if agent.plan.is_reader]
    slow = readers[: len(readers) // 4]
    for agent in slow:
        agent.link_in.rate = agent.link_out.rate = 119_000.0
    rollout.run()
    others = [agent.completed_at for agent in rollout.agents.values() if agent not in slow]
    assert max(others) / rollout.bound_s() <= 2.0


@pytest.mark.parametrize("fault", ["a lost agent", "a zone cut off for 3 s"])
def test_reachable_agents_complete_under_a_fault(fault):
    found = simulate(20, fault)
    assert found["last"] <= 3.0


def test_window_halves_once_for_transfers_in_flight_and_recovers():
    window = pacing.TransferWindow(8, 0.4)
    for took_s in (1.0, 1.1, 1.2):
        window.record(took_s, 10.0 + took_s)
    assert window.size == 4.0, "all three started before the first decrease"
    window.record(1.0, 12.5)
    assert window.size == 2.0
    assert window.has_room(1) and not window.has_room(2)
    for number in range(40):
        window.record(0.1, 13.0 + number)
    assert window.size == 8.0


def test_transfers_that_time_out_are_slow_unless_others_were_quick():
    """Guards against a link that is taken for quick because nothing arrives over it."""
    window = pacing.TransferWindow(8, 0.4)
    window.record(0.2, 10.0)
    window.record_failure(0.1, 10.5)
    assert window.last_duration_s == 0.2, "a peer refused at once"
    window.record_failure(1.0, 10.6)
    assert window.last_duration_s == 0.2, "one of two peers is slow"
    window.record_failure(1.0, 11.6)
    assert window.last_duration_s == 1.0 and window.size == 8.0


def test_window_always_has_room_for_one_transfer():
    window = pacing.TransferWindow(8, 0.4)
    for number in range(20):
        window.record(5.0, 10.0 * number)
    assert window.has_room(0)


def test_sender_slows_down_on_feedback_of_most_receivers_and_recovers():
    pacer = pacing.FeedbackPacer(1000.0, 0.0, 0.4)
    for receiver in ("a", "b", "a"):
        pacer.record(receiver, 1.0)
    assert pacer.bytes_per_s == 500.0
    for _ in range(20):
        pacer.record("a", 0.1)
    assert pacer.bytes_per_s == 1000.0


def test_one_slow_receiver_does_not_slow_down_a_sender():
    pacer = pacing.FeedbackPacer(1000.0, 0.0, 0.4)
    for _ in range(20):
        pacer.record("a", 1.0)
    assert pacer.bytes_per_s == 1000.0
