"""Membership changes by the leader of the control daemons."""

import types

from merlinthread.protocol import messages
from merlinthread.roles import leader_duties
from tests import raft_cluster


def test_replaced_member_is_removed_before_a_second_failure():
    """Guards against a group of four that loses its majority with a second failure."""
    cluster = raft_cluster.Cluster(3)
    cluster.run(2.0)
    leader = cluster.leader()
    lost, second = (name for name in cluster.names if name != leader.name)
    cluster.crash(lost)
    cluster.add_member("n0")
    task = types.SimpleNamespace(raft=leader.raft, name=leader.name)
    duties = leader_duties.LeaderDuties(task)
    for _ in range(30):
        cluster.run(0.1)
        join = messages.JoinRequest("n0", "disk-n0", "", "", lost)
        duties.join_requests["n0"] = (join, cluster.now)
        duties.update_membership(cluster.now)
        cluster.process_ready(leader)
    assert lost not in leader.raft.log.membership.voters, "still a voter after 3 s"
    cluster.crash(second)
    cluster.run(3.0)
    data = cluster.propose()
    cluster.run(1.0)
    assert data in cluster.members["n0"].applied
