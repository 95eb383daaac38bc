"""Raft under message loss, delay and duplication, crashes, compaction and membership changes."""

import functools
import random

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from merlinthread import errors
from merlinthread.coordination import raft, raft_members, raft_messages, raft_progress
from merlinthread.state import journal
from tests import raft_cluster

COUNT = 3
NAMES = st.sampled_from([f"c{number}" for number in range(COUNT)])


class RaftMachine(stateful.RuleBasedStateMachine):
    """Rules are faults and inputs; the cluster checks the invariants after each."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = raft_cluster.Cluster(COUNT)
        self.acknowledged: list[bytes] = []
        self.joined = 0

    @stateful.initialize(seed=st.integers(0, 1000))
    def elect(self, seed: int) -> None:
        self.cluster = raft_cluster.Cluster(COUNT, seed)
        self.cluster.run(2.0)
        assert self.cluster.leader() is not None

    @stateful.rule(seconds=st.sampled_from([0.01, 0.1, 0.4, 1.5]))
    def time_passes(self, seconds: float) -> None:
        self.cluster.advance(seconds)
        for member in self.cluster.up():
            self.cluster.tick(member.name)

    @stateful.rule(name=NAMES)
    def one_ticks(self, name: str) -> None:
        self.cluster.tick(name)

    @stateful.rule(seconds=st.sampled_from([0.3, 2.0]))
    def all_runs_well(self, seconds: float) -> None:
        self.cluster.run(seconds)

    @stateful.precondition(lambda self: self.cluster.network)
    @stateful.rule(position=st.integers(0, 50), count=st.integers(1, 8))
    def messages_come_in_any_order(self, position: int, count: int) -> None:
        for _ in range(min(count, len(self.cluster.network))):
            self.cluster.deliver(position)

    @stateful.precondition(lambda self: self.cluster.network)
    @stateful.rule(position=st.integers(0, 50))
    def a_message_is_lost(self, position: int) -> None:
        self.cluster.network.pop(position % len(self.cluster.network))

    @stateful.precondition(lambda self: self.cluster.network)
    @stateful.rule(position=st.integers(0, 50))
    def a_message_comes_twice(self, position: int) -> None:
        self.cluster.network.append(self.cluster.network[position % len(self.cluster.network)])

    @stateful.rule(seed=st.integers(0, 2**32), loss=st.sampled_from([0.0, 0.1, 0.4]))
    def a_rough_while(self, seed: int, loss: float) -> None:
        """Run many random steps at once, to reach states far from the initial one."""
        rng = random.Random(seed)
        for _ in range(rng.choice((30, 120))):
            raft_cluster.random_step(self.cluster, rng, loss)

    @stateful.rule(name=NAMES)
    def a_command_is_proposed(self, name: str) -> None:
        self.cluster.propose(name)

    @stateful.rule(name=NAMES, during_save=st.booleans())
    def a_member_crashes(self, name: str, during_save: bool) -> None:
        member = self.cluster.members[name]
        if during_save and member.is_up:
            member.raft.tick(self.cluster.now)
            self.cluster.process_ready(member, crash_before_save=True)
        self.cluster.crash(name)

    @stateful.rule(name=NAMES)
    def a_member_restarts(self, name: str) -> None:
        self.cluster.restart(name)

    @stateful.rule(name=NAMES)
    def a_member_is_cut_off(self, name: str) -> None:
        self.cluster.partitioned ^= {name}

    @stateful.rule(name=NAMES)
    def a_disk_fills(self, name: str) -> None:
        self.cluster.members[name].is_full = not self.cluster.members[name].is_full

    @stateful.rule(name=NAMES)
    def a_member_compacts(self, name: str) -> None:
        self.cluster.compact(name)

    @stateful.precondition(lambda self: self.joined < 2)
    @stateful.rule()
    def a_learner_is_added(self) -> None:
        name = f"n{self.joined}"
        change = raft_members.MembershipChange(add=name, identity=f"disk-{name}")
        if self.cluster.change(change):
            self.joined += 1
            self.cluster.add_member(name)

    @stateful.rule(which=st.integers(0, 3))
    def a_learner_is_promoted(self, which: int) -> None:
        leader = self.cluster.leader()
        if leader and leader.raft.log.membership.learners:
            learners = leader.raft.log.membership.learners
            self.cluster.change(
                raft_members.MembershipChange(promote=learners[which % len(learners)])
            )

    @stateful.rule(name=NAMES)
    def a_voter_is_removed(self, name: str) -> None:
        leader = self.cluster.leader()
        if leader and len(leader.raft.log.membership.voters) > COUNT:
            self.cluster.change(raft_members.MembershipChange(remove=name))

    @stateful.invariant()
    def what_was_committed_stands(self) -> None:
        """The commands applied by each member are a prefix of the committed ones."""
        order = [
            data
            for _, (_, kind, data) in sorted(self.cluster.committed.items())
            if kind == "command"
        ]
        for member in self.cluster.members.values():
            assert member.applied == order[: len(member.applied)]

    def teardown(self) -> None:
        """After recovery from all faults, a command is committed by every voter within seconds."""
        self.cluster.recover()
        self.cluster.run(6.0)
        data = self.cluster.propose()
        assert data is not None, "no leader after recovery"
        self.cluster.run(2.0)
        leader = self.cluster.leader()
        for name in leader.raft.log.membership.voters:
            assert data in self.cluster.members[name].applied, f"{name} lacks the last command"


RaftMachine.TestCase.settings = hypothesis.settings(
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    phases=[hypothesis.Phase.generate],
)
TestRaftMachine = RaftMachine.TestCase


@pytest.mark.parametrize("seed", range(8))
def test_random_faults_lose_no_committed_entry(seed):
    rng = random.Random(seed)
    for _ in range(25):
        cluster = raft_cluster.Cluster(rng.choice((3, 3, 5)), rng.randrange(1000))
        loss = rng.choice((0.0, 0.05, 0.3))
        for _ in range(800):
            raft_cluster.random_step(cluster, rng, loss)
        cluster.recover()
        cluster.run(6.0)
        data = cluster.propose()
        assert data is not None, "no leader after recovery"
        cluster.run(2.0)
        for member in cluster.members.values():
            assert data in member.applied, f"{member.name} lacks the last command"


def test_a_log_that_does_not_sync_loses_committed_entries():
    """Guards the checks themselves: without durable storage, crashes lose a committed command."""
    cluster = raft_cluster.Cluster(3, is_durable=False)
    cluster.run(2.0)
    data = cluster.propose()
    cluster.run(1.0)
    for name in cluster.names:
        cluster.crash(name)
        cluster.restart(name)
    assert all(data not in member.applied for member in cluster.members.values())
    with pytest.raises(AssertionError):
        cluster.run(3.0)
        cluster.propose()
        cluster.run(1.0)
        assert data in cluster.members["c0"].applied


def test_partitioned_member_does_not_depose_the_leader():
    cluster = raft_cluster.Cluster(3)
    cluster.run(2.0)
    leader = cluster.leader()
    other = next(name for name in cluster.names if name != leader.name)
    term = leader.raft.hard_state.term
    cluster.partitioned = {other}
    cluster.run(10.0)
    cluster.partitioned = set()
    cluster.run(2.0)
    assert cluster.leader() is leader
    assert leader.raft.hard_state.term == term


def test_lease_of_a_partitioned_leader_ends_before_it_steps_down():
    cluster = raft_cluster.Cluster(3)
    cluster.run(2.0)
    leader = cluster.leader()
    assert leader.raft.holds_lease(cluster.now)
    cluster.partitioned = {leader.name}
    cluster.advance(0.7)
    assert leader.raft.is_leader() and not leader.raft.holds_lease(cluster.now)
    cluster.run(2.0)
    assert not leader.raft.is_leader()
    assert cluster.leader() is not None


def test_member_with_a_lost_disk_is_refused_under_its_old_name():
    cluster = raft_cluster.Cluster(3)
    cluster.run(2.0)
    leader = cluster.leader()
    identities = {name: f"disk-{name}" for name in cluster.names}
    assert cluster.change(raft_members.MembershipChange(identities=identities))
    cluster.run(1.0)
    lost = next(name for name in cluster.names if name != leader.name)
    cluster.crash(lost)
    cluster.members[lost].disk = raft_cluster.Disk("a new disk")
    cluster.restart(lost)
    cluster.run(2.0)
    assert cluster.members[lost].raft.replaced_by == f"disk-{lost}"


def test_a_repair_adds_and_promotes_before_it_removes():
    cluster = raft_cluster.Cluster(3)
    cluster.run(2.0)
    data = cluster.propose()
    cluster.run(1.0)
    leader = cluster.leader()
    lost = next(name for name in cluster.names if name != leader.name)
    cluster.crash(lost)
    cluster.add_member("n0")
    joiner = raft_members.JoiningMember("n0", "disk-n0", None, lost)
    steps = []
    for _ in range(200):
        cluster.run(0.1)
        leader = cluster.leader()
        status = leader.raft.replication_status(cluster.now)
        change = raft_members.next_change(leader.raft.log.membership, joiner, status, True)
        if change and cluster.change(change):
            steps.append("add" if change.add else "promote" if change.promote else "remove")
    assert steps == ["add", "promote", "remove"]
    second = next(n for n in cluster.names if n not in (lost, leader.name))
    cluster.crash(second)
    cluster.run(4.0)
    assert data in cluster.members["n0"].applied
    second_data = cluster.propose()
    cluster.run(1.0)
    assert second_data in cluster.members["n0"].applied


def run_with_distant_member(
    cluster: raft_cluster.Cluster, name: str, delay_s: float, seconds: float
) -> int:
    """Propose a command in each step; messages from and to one member take `delay_s`.

    Return the number of entries that were sent to that member.
    """
    delayed: list[tuple[float, tuple]] = []
    sent = 0
    stop_at = cluster.now + seconds
    while cluster.now < stop_at:
        cluster.advance(raft_cluster.STEP_S)
        for member in cluster.up():
            cluster.tick(member.name)
        cluster.propose()
        arrived = [item for due, item in delayed if due <= cluster.now]
        delayed = [(due, item) for due, item in delayed if due > cluster.now]
        for item in arrived:
            cluster.network.append(item)
            cluster.deliver(len(cluster.network) - 1)
        while cluster.network:
            receiver, message = cluster.network[0]
            if name in (receiver, message.sender):
                delayed.append((cluster.now + delay_s, cluster.network.pop(0)))
                sent += len(getattr(message, "entries", []))
            else:
                cluster.deliver(0)
    return sent


# Guards against a joiner that is never promoted while changes come faster than its replies.
def test_learner_is_promoted_while_entries_are_committed_all_the_time():
    cluster = raft_cluster.Cluster(3)
    cluster.run(2.0)
    cluster.add_member("n0")
    assert cluster.change(raft_members.MembershipChange(add="n0"))
    run_with_distant_member(cluster, "n0", delay_s=0.15, seconds=3.0)
    leader = cluster.leader()
    assert leader.raft.progress["n0"].match < leader.raft.commit
    assert cluster.change(raft_members.MembershipChange(promote="n0"))


# Guards against a new voter that lacks entries of former leaders, or much of the log.
def test_learner_that_is_far_behind_is_not_promoted():
    cluster = raft_cluster.Cluster(3)
    cluster.run(2.0)
    cluster.add_member("n0")
    assert cluster.change(raft_members.MembershipChange(add="n0"))
    run_with_distant_member(cluster, "n0", delay_s=2.5, seconds=6.0)
    assert not cluster.change(raft_members.MembershipChange(promote="n0"))


# Guards against entries that are sent again for each message that was on its way when one was lost.
def test_entries_are_sent_again_once_after_a_gap():
    cluster = raft_cluster.Cluster(3)
    cluster.run(2.0)
    leader = cluster.leader()
    follower = next(name for name in cluster.names if name != leader.name)
    before = leader.raft.log.last_index()
    sent = run_with_distant_member(cluster, follower, delay_s=0.4, seconds=1.0)
    sent += run_with_distant_member(cluster, follower, delay_s=0.4, seconds=3.0)
    assert leader.raft.progress[follower].rejected > 1
    # Those that were lost, and those of the round trip after them, are sent twice.
    assert sent <= leader.raft.log.last_index() - before + 4 * 0.4 / raft_cluster.STEP_S


# Guards against a log that takes longer to send than until it is sent again.
def test_long_message_is_neither_repeated_nor_overtaken_while_it_is_on_its_way():
    cluster = raft_cluster.Cluster(3)
    cluster.run(2.0)
    leader = cluster.leader().raft
    follower = next(name for name in cluster.names if name != leader.name)
    leader.propose(bytes(leader.limits.long_bytes + 1), cluster.now)
    leader.flush(cluster.now)
    leader.propose(b"y", cluster.now)
    for _ in range(5):
        cluster.advance(leader.timing.heartbeat_s)
        leader.progress[next(n for n in cluster.names if n not in (follower, leader.name))] = (
            raft_progress.Progress(heard_at=cluster.now, next=leader.log.last_index() + 1)
        )
        leader.tick(cluster.now)
        leader.flush(cluster.now)
    appends = [m for receiver, m in leader.outbox if receiver == follower]
    assert [len(append.entries) for append in appends] == [1, 0, 0, 0, 0, 0]
    match = leader.progress[follower].match
    assert {append.previous_index for append in appends[1:]} == {match}
    # It is sent again if it was lost, and once its time is over.
    leader.on_long_message_sent(follower, appends[0].sent_at, False, cluster.now)
    cluster.advance(leader.timing.heartbeat_s)
    leader.flush(cluster.now)
    assert [len(m.entries) for r, m in leader.outbox if r == follower][6:] == [2]


# Guards against a log that waits for a timeout whenever one message of many is lost.
def test_lost_long_message_is_sent_again_after_one_round_trip():
    cluster = raft_cluster.Cluster(3)
    cluster.run(2.0)
    leader = cluster.leader().raft
    follower = next(name for name in cluster.names if name != leader.name)
    for _ in range(leader.limits.long_messages + 1):
        leader.propose(bytes(leader.limits.long_bytes + 1), cluster.now)
        leader.flush(cluster.now)
        cluster.advance(0.01)
    sent = [message for receiver, message in leader.outbox if receiver == follower]
    assert len(sent) == leader.limits.long_messages
    first = sent[0].entries[0].index
    for append in sent[1:]:
        cluster.advance(0.01)
        cluster.members[follower].raft.step(append, cluster.now)
        for _, reply in cluster.members[follower].raft.ready().messages:
            leader.step(reply, cluster.now)
    again = [m for r, m in leader.outbox if r == follower][len(sent) :]
    assert [append.entries[0].index for append in again if append.entries] == [first]


# Guards against an election that takes one more round trip, as what former leaders sent counts.
def test_new_leader_sends_its_first_entry_at_once():
    cluster = raft_cluster.Cluster(3)
    cluster.run(2.0)
    for _ in range(4):
        cluster.leader().raft.propose(bytes(20_000), cluster.now)
        cluster.run(0.5)
    cluster.crash(cluster.leader().name)
    while cluster.leader() is None:
        cluster.advance(raft_cluster.STEP_S)
        for member in cluster.up():
            cluster.tick(member.name)
        sent = list(cluster.network)
        cluster.deliver_all(rounds=1)
    leader = cluster.leader().raft
    sent += cluster.network
    appends = [message for _, message in sent if getattr(message, "entries", None) is not None]
    assert {len(append.entries) for append in appends if append.term == leader.hard_state.term} == {
        1
    }


# Guards against candidates on a slow link that begin anew while votes for them are on their way.
def test_votes_may_take_as_long_as_pre_votes():
    cluster = raft_cluster.Cluster(3)
    candidate = cluster.members["c0"].raft
    cluster.now = candidate.election_at
    candidate.tick(cluster.now)
    for _ in ("pre-vote", "vote"):
        requests = candidate.ready()
        candidate.mark_saved(requests)
        cluster.advance(0.9 * candidate.timing.election_min_s)
        candidate.tick(cluster.now)
        for receiver, request in requests.messages:
            reply = raft_messages.VoteReply(receiver, request.term, True, request.is_trial)
            candidate.step(reply, cluster.now)
    assert candidate.is_leader()


# Guards against two candidates on a slow link that deny each other's votes again and again.
@pytest.mark.parametrize("seed", range(10))
def test_two_voters_on_a_slow_link_elect_a_leader_in_time(seed):
    cluster = raft_cluster.Cluster(3, seed)
    cluster.run(2.0)
    lost = cluster.leader()
    survivor = next(name for name in cluster.names if name != lost.name)
    cluster.crash(lost.name)
    timing = lost.raft.timing
    round_trip_s = 0.4
    # The timeout, two round trips, and a step of this test for each message.
    seconds = timing.election_max_s + 2 * round_trip_s + 4 * raft_cluster.STEP_S
    # One of them may have deferred its election for the other one once.
    seconds += timing.election_max_s
    run_with_distant_member(cluster, survivor, delay_s=round_trip_s / 2, seconds=seconds)
    assert cluster.leader() is not None


# Guards against a voter that receives nothing and keeps the others from electing a leader.
def test_election_is_deferred_once_for_a_candidate_that_does_not_hear_the_replies():
    cluster = raft_cluster.Cluster(3)
    deaf = cluster.members[cluster.names[-1]].raft
    election_max_s = deaf.timing.election_max_s
    deaf.step = lambda message, now: None
    deaf.timing = raft_messages.Timing(election_min_s=0.3, election_max_s=0.35)
    deaf.reset_election(cluster.now)
    # Each of the others defers its election once to the deaf one and once to the other one.
    cluster.run(3 * election_max_s)
    assert cluster.leader() is not None


# Guards against a follower that calls itself up to date by a message that took long.
def test_late_message_does_not_make_a_follower_look_up_to_date():
    cluster = raft_cluster.Cluster(3)
    cluster.run(2.0)
    leader = cluster.leader().raft
    follower = cluster.members[next(n for n in cluster.names if n != leader.name)].raft
    commit = follower.leader_commit
    term = leader.hard_state.term

    def append(of_commit: int) -> raft_messages.AppendEntries:
        return raft_messages.AppendEntries(leader.name, term, 0, 0, of_commit, cluster.now, [])

    follower.step(append(commit + 2), cluster.now)
    known_at = cluster.now
    cluster.advance(0.3)
    follower.step(append(commit), cluster.now)
    assert (follower.leader_commit, follower.leader_commit_at) == (commit + 2, known_at)


def test_too_many_uncommitted_commands_are_refused():
    cluster = raft_cluster.Cluster(3)
    cluster.run(2.0)
    leader = cluster.leader()
    leader.raft.limits.uncommitted_max = 5
    cluster.partitioned = {leader.name}
    for _ in range(5):
        leader.raft.propose(b"x", cluster.now)
    with pytest.raises(errors.ControlError) as caught:
        leader.raft.propose(b"x", cluster.now)
    assert caught.value.kind == errors.ErrorKind.OVERLOADED


def test_entries_of_an_earlier_term_are_not_committed_by_counting():
    """Figure 8 of the Raft paper: replicated entries of an earlier term may be overwritten."""
    cluster = raft_cluster.Cluster(3)
    disk = cluster.members["c0"].disk
    disk.hard_state = journal.HardState(2, "")
    disk.entries = [journal.Entry(1, 1, "empty"), journal.Entry(2, 2, "command", b"old")]
    cluster.crash("c0")
    cluster.restart("c0")
    cluster.partitioned = {"c1", "c2"}
    member = cluster.members["c0"].raft
    member.campaign(cluster.now, is_pre_vote=False)
    member.step(raft_messages.VoteReply("c1", 3, True, False), cluster.now)
    cluster.process_ready(cluster.members["c0"])
    assert member.is_leader() and member.log.last_index() == 3
    member.step(raft_messages.AppendReply("c1", 3, True, 2, cluster.now), cluster.now)
    assert member.commit == 0
    member.step(raft_messages.AppendReply("c1", 3, True, 3, cluster.now), cluster.now)
    assert member.commit == 3


def test_restarted_follower_does_not_break_the_lease_it_granted():
    cluster = raft_cluster.Cluster(3)
    cluster.run(2.0)
    leader = cluster.leader()
    lease_voter, other = (name for name in cluster.names if name != leader.name)
    cluster.partitioned = {other}
    cluster.run(3.0)
    assert leader.raft.holds_lease(cluster.now)
    cluster.crash(lease_voter)
    cluster.restart(lease_voter)
    cluster.partitioned = {leader.name}
    cluster.members[other].raft.election_at = cluster.now
    cluster.tick(other)
    cluster.deliver_all()
    assert leader.raft.holds_lease(cluster.now)
    assert not cluster.members[other].raft.is_leader()


def test_former_leader_is_silent_since_it_was_last_heard():
    cluster = raft_cluster.Cluster(3)
    cluster.run(2.0)
    lost = cluster.leader().name
    lost_at = cluster.now
    cluster.crash(lost)
    cluster.run(3.0)
    # Silence counted from the election would delay the removal of a lost member.
    progress = cluster.leader().raft.progress
    assert progress[lost].heard_at <= lost_at


def test_resigned_member_neither_leads_nor_starts_an_election():
    cluster = raft_cluster.Cluster(3)
    cluster.run(2.0)
    resigned = cluster.leader()
    resigned.raft.resign(cluster.now)
    assert not resigned.raft.is_leader()
    for _ in range(5):
        # Its election timer expires before that of any other member.
        cluster.advance(0.05)
        resigned.raft.election_at = cluster.now
        cluster.tick(resigned.name)
        assert resigned.raft.role == raft.FOLLOWER
    cluster.run(4.0)
    assert cluster.leader() not in (None, resigned)


# Guards against an election without end between two voters, one of them the former leader.
def test_former_leader_that_votes_is_not_silent():
    cluster = raft_cluster.Cluster(2)
    cluster.run(2.0)
    former = cluster.leader()
    successor = next(member for member in cluster.up() if member is not former)
    cluster.partitioned = {former.name}
    cluster.run(2.0)
    assert cluster.leader() is None
    cluster.partitioned = set()
    successor.raft.election_at = cluster.now
    cluster.tick(successor.name)
    cluster.deliver_all()
    assert cluster.leader() is successor
    progress = successor.raft.progress[former.name]
    assert cluster.now - progress.heard_at < raft_cluster.STEP_S


def start_after_lost_candidate() -> raft_cluster.Cluster:
    """Return a cluster without c2: c0 has the longer log, c1 the higher term."""
    cluster = raft_cluster.Cluster(3)
    entries = [journal.Entry(1, 1, "empty"), journal.Entry(2, 1, "command", b"unsent")]
    cluster.members["c0"].disk.hard_state = journal.HardState(1, "c0")
    cluster.members["c0"].disk.entries = entries
    cluster.members["c1"].disk.hard_state = journal.HardState(2, "c2")
    cluster.members["c1"].disk.entries = entries[:1]
    for name in cluster.names:
        cluster.crash(name)
    cluster.restart("c0")
    cluster.restart("c1")
    return cluster


# Guards against pre-votes that a voter with a higher term denies without end.
def test_longer_log_is_elected_after_a_candidate_is_lost():
    cluster = start_after_lost_candidate()
    cluster.run(6.0)
    assert cluster.leader() is cluster.members["c0"]


# Guards against a change of the pre-vote that helps only if both members know it.
@pytest.mark.parametrize("former", ["c0", "c1"])
def test_longer_log_is_elected_beside_a_member_of_the_former_build(former):
    cluster = start_after_lost_candidate()
    member = cluster.members[former]
    member.raft.on_vote_request = functools.partial(former_on_vote_request, member.raft)
    cluster.run(6.0)
    assert cluster.leader() is cluster.members["c0"]


# Guards against a member that loses its term or its vote to a pre-vote request.
def test_pre_vote_request_changes_neither_a_higher_term_nor_a_vote():
    cluster = start_after_lost_candidate()
    member = cluster.members["c1"].raft
    cluster.advance(2.0)
    for term in (1, 2, 3):
        member.step(raft_messages.VoteRequest("c0", term, 9, 9, True), cluster.now)
        assert member.hard_state == journal.HardState(2, "c2")


def former_on_vote_request(member, request, now):
    """Handle a vote request as the build b3a75c2 does."""
    if member.rejects_identity(request.sender, request.identity):
        return
    hears_leader = now - member.heard_leader_at < member.timing.election_min_s
    if member.role == raft.LEADER or hears_leader:
        if request.term > member.hard_state.term or request.is_trial:
            return
    is_up_to_date = (request.last_term, request.last_index) >= (
        member.log.last_term(),
        member.log.last_index(),
    )
    if request.is_trial:
        is_granted = is_up_to_date and request.term > member.hard_state.term
        reply = raft_messages.VoteReply(
            member.name, request.term, is_granted, True, member.identity
        )
        member.outbox.append((request.sender, reply))
        return
    if request.term > member.hard_state.term:
        member.become_follower(request.term, "", now)
    may_vote = member.hard_state.voted_for in ("", request.sender)
    is_granted = is_up_to_date and may_vote and request.term == member.hard_state.term
    if is_granted:
        member.role = raft.FOLLOWER
        member.set_hard_state(request.term, request.sender)
        member.reset_election(now)
    reply = raft_messages.VoteReply(
        member.name, member.hard_state.term, is_granted, False, member.identity
    )
    member.outbox.append((request.sender, reply))
