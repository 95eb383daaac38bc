"""Decision logic: fair queue, placement, reconciliation, membership, claims, bundles, routing."""

import random

import hypothesis
import pytest
from hypothesis import given, stateful
from hypothesis import strategies as st

from merlinthread import errors
from merlinthread.coordination import (
    agents,
    bundles,
    commands,
    control_state,
    fair_queue,
    placement,
    reconciliation,
    routing,
    sessions,
    summaries,
)

A, B, C = "a" * 64, "b" * 64, "c" * 64


def report(name: str, zone: str = "z1", **more: object) -> agents.AgentReport:
    base = {"incarnation": 1, "counter": 1, "region": "r", "bus": f"{name}:1", "http": ""}
    return agents.AgentReport(
        name=name, availability_zone=zone, kind="generate", **{**base, **more}
    )


# Fair queue


def ticket(
    number: int, account: str, tokens: int = 10, priority: int = 1
) -> fair_queue.QueuedRequest:
    return fair_queue.QueuedRequest(f"t{number}", account, priority, tokens, 0, 0.0)


def serve(queue: fair_queue.FairQueue, rounds: int) -> dict[str, float]:
    """Run an engine with one slot; return the tokens served to each account."""
    got: dict[str, float] = {}
    for _ in range(rounds):
        chosen = queue.start_next()
        if chosen is None:
            break
        got[chosen.account] = got.get(chosen.account, 0) + chosen.tokens()
        queue.finish(chosen.id)
    return got


@given(
    weights=st.lists(st.integers(1, 5), min_size=2, max_size=4),
    sizes=st.lists(st.integers(1, 50), min_size=4, max_size=4),
)
def test_backlogged_accounts_share_by_weight_whatever_their_requests_sizes(weights, sizes):
    queue = fair_queue.FairQueue(1, 100_000)
    names = [f"a{i}" for i in range(len(weights))]
    queue.set_weights(dict(zip(names, map(float, weights), strict=True)))
    number = 0
    for name, size in zip(names, sizes, strict=False):
        for _ in range(3000 // size):
            queue.add(ticket(number, name, size))
            number += 1
    got = {name: 0.0 for name in names}
    while sum(got.values()) < 2000:
        for name, tokens in serve(queue, 1).items():
            got[name] += tokens
    total = sum(weights)
    for name, weight in zip(names, weights, strict=True):
        fair = 2000 * weight / total
        assert abs(got[name] - fair) <= 50 * total, f"{name}: {got[name]} of {fair}"


def test_a_burst_does_not_delay_another_account():
    queue = fair_queue.FairQueue(1, 1000)
    for number in range(500):
        queue.add(ticket(number, "burst"))
    serve(queue, 100)
    queue.add(ticket(1000, "quiet"))
    assert "quiet" in serve(queue, 2)


def test_idle_account_gets_no_credit_for_past_time():
    queue = fair_queue.FairQueue(1, 1000)
    for number in range(300):
        queue.add(ticket(number, "busy"))
    serve(queue, 200)
    for number in range(300, 400):
        queue.add(ticket(number, "late"))
    got = serve(queue, 40)
    assert abs(got["busy"] - got["late"]) <= 10


def test_all_slots_are_used_and_priority_0_starts_first():
    queue = fair_queue.FairQueue(2, 1000)
    for number in range(3):
        queue.add(ticket(number, "only"))
    assert queue.start_next() and queue.start_next() and queue.start_next() is None
    queue.add(ticket(10, "night", priority=0))
    queue.finish("t0")
    assert queue.start_next().account == "night"


def test_full_queue_refuses_with_retry_after_s():
    queue = fair_queue.FairQueue(1, 5)
    queue.record_throughput(100, 1.0)
    for number in range(5):
        queue.add(ticket(number, "a", 200))
    with pytest.raises(errors.RequestError) as caught:
        queue.add(ticket(9, "a"))
    assert caught.value.kind == errors.ErrorKind.OVERLOADED
    assert caught.value.retry_after_s == pytest.approx(10.0)


# Placement


def models(*shares: int) -> list[bundles.Model]:
    return [bundles.Model(f"m{i}", "v", A, share) for i, share in enumerate(shares)]


@given(
    shares=st.lists(st.integers(1, 50), min_size=1, max_size=2),
    engines=st.integers(0, 30),
    lost=st.sets(st.integers(0, 29)),
)
def test_placement_follows_shares_and_moves_nothing_needlessly(shares, engines, lost):
    bundle = bundles.Bundle(1, models(*shares), [])
    live = [report(f"vm-{i}") for i in range(engines)]
    first = placement.plan(bundle, live, {})
    assert placement.plan(bundle, live, first.changes).changes == {}
    held = [placed.models[0] for placed in first.changes.values()]
    if engines >= len(shares):
        assert set(held) == {f"m{i}" for i in range(len(shares))}
    left = [r for i, r in enumerate(live) if i not in lost]
    second = placement.plan(bundle, left, first.changes)
    wanted = placement.engines_per_model(bundle.models, len(left))
    kept = sum(1 for r in left if r.name in first.changes and r.name not in second.changes)
    assert kept >= sum(
        min(
            count,
            sum(first.changes[r.name].models == [name] for r in left if r.name in first.changes),
        )
        for name, count in wanted.items()
    )


def test_partitioned_zone_keeps_its_placement():
    bundle = bundles.Bundle(1, models(50, 50), [])
    live = [report(f"vm-{i}", f"z{i % 2}") for i in range(8)]
    first = placement.plan(bundle, live, {})
    outside = [r for r in live if r.availability_zone == "z0"]
    assert placement.plan(bundle, outside, first.changes).changes == {}


# Reconciliation


def test_next_step_loads_complete_weights_base_first_and_unloads_last():
    item, adapter = reconciliation.WantedModel("m", "v2", B), reconciliation.WantedModel(
        "x", "v1", C, base="m"
    )
    wanted = [item, adapter]
    assert reconciliation.next_step(wanted, {"m": A, "old": A}, set(), False) is None
    assert reconciliation.next_step(wanted, {"m": A}, {C}, False) is None
    assert reconciliation.next_step(
        wanted, {"m": A, "old": A}, {B, C}, False
    ) == reconciliation.Load(item)
    assert reconciliation.next_step(
        wanted, {"m": B, "old": A}, {B, C}, False
    ) == reconciliation.Load(adapter)
    assert reconciliation.next_step(
        wanted, {"m": B, "x": C, "old": A}, {B, C}, False
    ) == reconciliation.Unload("old")
    assert reconciliation.next_step(wanted, {"m": B, "x": C}, {B, C}, False) is None
    assert reconciliation.next_step(wanted, {"m": A}, {B, C}, True) is None


# Membership


class ReportsMachine(stateful.RuleBasedStateMachine):
    """Delayed, duplicated and reordered reports never restore an older state."""

    def __init__(self) -> None:
        super().__init__()
        self.view = agents.AgentView(lost_after_s=2.0)
        self.now = 0.0
        self.sent: list[agents.AgentReport] = []
        self.newest: tuple[int, int] | None = None
        self.order = (1, 0)

    @stateful.rule(restarts=st.booleans())
    def the_agent_reports(self, restarts: bool) -> None:
        incarnation, counter = self.order
        self.order = (incarnation + 1, 1) if restarts else (incarnation, counter + 1)
        self.sent.append(report("vm", incarnation=self.order[0], counter=self.order[1]))

    @stateful.precondition(lambda self: self.sent)
    @stateful.rule(which=st.integers(0, 99))
    def a_report_arrives(self, which: int) -> None:
        found = self.sent[which % len(self.sent)]
        was_news = self.view.update(found, self.now)
        assert was_news == (self.newest is None or found.sort_key() > self.newest)
        self.newest = max(self.newest or found.sort_key(), found.sort_key())

    @stateful.rule(seconds=st.sampled_from([0.5, 1.9, 2.5]))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds

    @stateful.invariant()
    def the_newest_stands(self) -> None:
        live = self.view.live(self.now)
        if live:
            assert live[0].sort_key() == self.newest


ReportsMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, deadline=None, derandomize=True, database=None
)
TestReportsMachine = ReportsMachine.TestCase


def test_load_update_needs_a_full_report_of_its_incarnation():
    view = agents.AgentView(2.0)
    assert view.update_load("vm", (1, 2), (3, 4, 5), 0.0) is None
    view.update(report("vm", incarnation=1, counter=1, serving={"m": A}), 0.0)
    merged = view.update_load("vm", (1, 2), (3, 4, 5), 0.0)
    assert merged.serving == {"m": A} and (merged.running, merged.queued) == (3, 4)
    assert view.live(0.0) == [merged]
    assert view.update_load("vm", (2, 1), (0, 0, 0), 0.0) is None
    with pytest.raises(errors.MerlinthreadError, match="replaced"):
        view.update(report("vm", incarnation=2), 0.0)
        view.check_incarnation("vm", 1)


class SessionsMachine(stateful.RuleBasedStateMachine):
    """Incremental updates lead to the same state as full ones despite loss and new leaders."""

    def __init__(self) -> None:
        super().__init__()
        self.outgoing = sessions.ReportSender()
        self.incoming = sessions.ReportReceiver(5.0)
        self.term = 1
        self.listener = ""
        self.live: dict[str, agents.AgentReport] = {}
        self.now = 0.0
        self.counter = 0

    @stateful.rule(name=st.sampled_from("abc"), digest=st.sampled_from([A, B]))
    def an_agent_changes(self, name: str, digest: str) -> None:
        self.counter += 1
        self.live[name] = report(name, counter=self.counter, serving={"m": digest})

    @stateful.rule(name=st.sampled_from("abc"))
    def an_agent_goes(self, name: str) -> None:
        self.live.pop(name, None)

    @stateful.rule()
    def the_leader_changes(self) -> None:
        self.term += 1
        self.incoming.clear()

    @stateful.rule(is_lost=st.booleans(), is_answer_lost=st.booleans())
    def tell(self, is_lost: bool, is_answer_lost: bool) -> None:
        self.now += 0.5
        changed, gone, is_full = self.outgoing.changes(list(self.live.values()), self.listener)
        if is_lost:
            self.outgoing.forget()
            return
        is_taken = self.incoming.apply_update("entry", changed, gone, is_full, self.now)
        if is_answer_lost:
            self.outgoing.forget()
            return
        if not is_taken or self.listener != str(self.term):
            self.outgoing.forget()
            self.listener = str(self.term)
            if not is_full:
                return
        self.outgoing.confirm(changed, gone, self.listener)

    def teardown(self) -> None:
        for _ in range(3):
            self.tell(False, False)
        told = {r.name: sessions.reported_state(r) for r in self.incoming.live(self.now)}
        assert told == {name: sessions.reported_state(r) for name, r in self.live.items()}
        assert self.incoming.live(self.now + 6.0) == []


SessionsMachine.TestCase.settings = hypothesis.settings(
    max_examples=100, deadline=None, derandomize=True, database=None
)
TestSessionsMachine = SessionsMachine.TestCase


def test_summary_adds_up_load_by_model_without_leaving_agents():
    summary = summaries.Summary("e", 1, 1, "z", "r", "http://e")
    reports = [
        report("a", serving={"m": A, "x": C}, slots=4, running=2, queued=1),
        report("b", serving={"m": A}, slots=4, running=1),
        report("c", serving={"m": A}, slots=4, is_leaving=True),
    ]
    summaries.add_reports(summary, reports)
    assert summary.engines["m"] == summaries.Load(8, 4)
    assert summaries.as_target(summary, "generate", "m", "x") is not None
    assert summaries.as_target(summary, "generate", "m", "y") is None


def test_summary_table_is_bounded_and_differs_between_listeners():
    kept = []
    for listener in ("e1", "e2", "e3"):
        table = summaries.SummaryTable(listener, 10.0)
        for number in range(100):
            zone = f"z{number % 2}"
            table.add(summaries.Summary(f"entry-{number}", 1, 1, zone, "r", ""), 0.0)
        assert len(table.live(0.0)) == 2 * summaries.SUMMARIES_PER_ZONE
        assert not table.add(table.live(0.0)[0], 0.0)
        kept.append({summary.entry for summary in table.live(0.0)})
    assert kept[0] != kept[1] != kept[2]


# Claims


class ClaimsMachine(stateful.RuleBasedStateMachine):
    """Of concurrent attempts with one key at most one runs, and all get the same answer."""

    def __init__(self) -> None:
        super().__init__()
        self.state = control_state.ControlState()
        self.index = 0
        self.pending: list[commands.Command] = []
        self.abandoned: set[str] = set()
        self.ran: dict[str, list[str]] = {}
        self.answers: dict[str, set[bytes]] = {}
        self.number = 0

    @stateful.rule(key=st.sampled_from(["k1", "k2"]))
    def an_entry_claims(self, key: str) -> None:
        self.number += 1
        self.pending.append(commands.Claim(key, "body", f"t{self.number}", 100.0))

    @stateful.precondition(lambda self: self.pending)
    @stateful.rule(
        which=st.integers(0, 9),
        hears=st.booleans(),
        ends=st.sampled_from("answer unknown not_run".split()),
    )
    def a_command_is_committed(self, which: int, hears: bool, ends: str) -> None:
        command = self.pending.pop(which % len(self.pending))
        self.index += 1
        answer = self.state.apply(command, self.index)
        if not isinstance(command, commands.Claim):
            return
        if not hears:
            # The entry abandons the attempt: it does not run the request and releases the key.
            self.abandoned.add(command.attempt)
            self.pending.append(
                commands.Complete(command.key, command.attempt, 0, b"", not_run=True)
            )
            return
        if answer.status == "granted":
            self.run(command, ends)
        elif answer.status == "done" and answer.http_status == 200:
            self.answers.setdefault(command.key, set()).add(answer.body)

    def run(self, command: commands.Claim, ends: str) -> None:
        if ends == "not_run":
            done = commands.Complete(command.key, command.attempt, 0, b"", not_run=True)
        else:
            self.ran.setdefault(command.key, []).append(command.attempt)
            body = command.attempt.encode()
            status = 200 if ends == "answer" else 502
            done = commands.Complete(command.key, command.attempt, status, body)
        self.pending.append(done)

    @stateful.precondition(lambda self: self.pending)
    @stateful.rule(which=st.integers(0, 9))
    def a_command_is_committed_twice(self, which: int) -> None:
        command = self.pending[which % len(self.pending)]
        if isinstance(command, commands.Complete):
            self.index += 1
            self.state.apply(command, self.index)

    @stateful.invariant()
    def at_most_one_runs_and_all_learn_the_same(self) -> None:
        for key, attempts in self.ran.items():
            assert len(attempts) <= 1, f"{key} ran as {attempts}"
        for key, seen in self.answers.items():
            assert len(seen) <= 1, f"{key} was answered {seen}"


ClaimsMachine.TestCase.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True, database=None
)
TestClaimsMachine = ClaimsMachine.TestCase


@pytest.mark.parametrize("releases_first", [True, False])
def test_abandoned_claim_frees_its_key_in_either_order(releases_first):
    state = control_state.ControlState()
    claim = commands.Claim("k", "body", "t1", 100.0)
    release = commands.Complete("k", "t1", 0, b"", not_run=True)
    for index, command in enumerate([release, claim] if releases_first else [claim, release]):
        state.apply(command, index)
    again = state.apply(commands.Claim("k", "body", "t2", 100.0), 9)
    assert again.status == "granted"


def test_key_past_its_retention_is_refused_as_expired():
    state = control_state.ControlState()
    state.apply(commands.Claim("k", "body", "t1", 100.0), 1)
    state.apply(commands.Complete("k", "t1", 200, b"x"), 2)
    state.apply(commands.Expire(200.0), 3)
    assert state.claims == {}
    again = state.apply(commands.Claim("k", "body", "t2", 100.0), 4)
    assert again.error == errors.ErrorKind.KEY_EXPIRED


# Bundles


def test_generations_only_grow_and_a_rollback_needs_an_earlier_roll():
    state = control_state.ControlState()
    for version in (1, 2):
        bundle = bundles.Bundle(version, models(100), [])
        state.apply(commands.Propose("", "ana", 0.0, bundle), version)
        state.apply(commands.Sign("", "ana", 0.0, version, bundles.digest(bundle), "s"), version)
    assert state.apply(commands.Roll("r1", "ana", 0.0, 1, 1), 10).generation == 1
    refused = state.apply(commands.Roll("", "ana", 0.0, 2, 1, is_back=True), 11)
    assert refused.error == errors.ErrorKind.UNKNOWN_VERSION
    assert state.apply(commands.Roll("", "ana", 0.0, 2, 1), 12).generation == 2
    assert state.apply(commands.Roll("", "ana", 0.0, 1, 1, is_back=True), 13).generation == 3
    assert state.apply(commands.Roll("r1", "ana", 0.0, 1, 1), 14).generation == 1
    assert (state.generation, state.version, state.revision) == (3, 1, 13)


# Routing


@pytest.mark.parametrize("name", list(routing.POLICIES))
@given(seed=st.integers(0, 1000))
def test_every_policy_chooses_a_target_that_can_serve(name, seed):
    rng = random.Random(seed)
    reports = [
        report(f"vm-{i}", f"z{i % 3}", serving={"m": A}, slots=4, running=rng.randrange(9))
        for i in range(6)
    ]
    candidates = [routing.Candidate(r, rng.randrange(3)) for r in reports]
    choice = routing.POLICIES.get(name)(
        candidates, routing.Requirements("generate", "m"), routing.Location("z0", "r"), rng
    )
    assert choice.report in reports and choice.reason


def test_own_zone_is_preferred_unless_heavily_loaded():
    near, far = report("near", "z0", slots=1), report("far", "z1", slots=1)
    location, requirements = routing.Location("z0", "r"), routing.Requirements("generate", "m")
    chosen = routing.least_loaded(
        [routing.Candidate(near, 1), routing.Candidate(far, 0)],
        requirements,
        location,
        random.Random(1),
    )
    assert chosen.report is near
    chosen = routing.least_loaded(
        [routing.Candidate(near, 9), routing.Candidate(far, 0)],
        requirements,
        location,
        random.Random(1),
    )
    assert chosen.report is far


def test_leaving_and_excluded_targets_cannot_serve():
    requirements = routing.Requirements("generate", "m", excluded=frozenset({"x"}))
    assert routing.can_serve(report("a", serving={"m": A}), requirements)
    assert not routing.can_serve(report("a", serving={"m": A}, is_leaving=True), requirements)
    assert not routing.can_serve(report("x", serving={"m": A}), requirements)
    assert not routing.can_serve(report("a", serving={"n": A}), requirements)
