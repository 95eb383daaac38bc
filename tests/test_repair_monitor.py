"""What a leader reports while its group tolerates too few failures."""

from merlinthread import logs
from merlinthread.coordination import levels, membership_repair, raft_messages
from merlinthread.nodes import log_sender, repair_monitor
from tests import raft_cluster


# Guards against a repair without progress of which the log tells nothing.
def test_reduced_tolerance_is_logged_until_it_is_restored(monkeypatch):
    events = []
    record = lambda name, /, **fields: events.append((name, fields))  # noqa: E731
    monkeypatch.setattr(logs, "warning", record)
    monkeypatch.setattr(logs, "event", record)
    cluster = raft_cluster.Cluster(3)
    cluster.run(3.0)
    leader = cluster.leader().raft
    sender = log_sender.LogSender(None, None, levels.MemberLevels())
    monitor = repair_monitor.RepairMonitor(lambda: leader, sender, fault_tolerance=1)
    voters = raft_messages.Voters(list(cluster.names))
    others = [name for name in cluster.names if name != leader.name]

    def group(silent_s: float, now: float) -> membership_repair.GroupStatus:
        heard_at = {others[0]: now, others[1]: now - silent_s}
        return membership_repair.GroupStatus(voters, leader.name, 9, {}, heard_at, {}, [])

    monitor.update(group(0.1, 200.0), 200.0)
    assert not events
    for now in (201.0, 201.5, 202.0):
        monitor.update(group(5.0, now), now)
    name, fields = events.pop()
    assert name == "tolerance_reduced" and not events
    assert fields["losses_bearable"] == 0 and fields["lost"] == [others[1]]
    assert fields["members"][others[1]]["failed_sends"] == 0
    monitor.update(group(0.1, 202.5), 202.5)
    assert events == [("tolerance_restored", {"after_s": 1.5, "losses_bearable": 1})]
