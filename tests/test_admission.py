"""Admission of requests to engines with too little room, and the load that it depends on.

Guards against engines that answer everybody late, against less urgent requests that keep out more
urgent ones, and against requests that gather at an engine of which nothing is heard.
"""

import dataclasses
import math
import random

import pytest

from merlinthread.coordination import (
    admission,
    backend_record,
    dispatch,
    fleet,
    load_tracker,
    route_table,
)

pytestmark = pytest.mark.quick

ENGINE = fleet.Engine(12, ["m"], 16, 96, 24576, 0.00673, 7, 30_600.0, 942.0, 125.0)
NOW = 100.0
PROMPT_TOKENS = 900.0
URGENT_OBJECTIVE_S = 0.406


def make_engine(name: str = "i-0", typical: backend_record.TypicalLoad | None = None):
    response_time = backend_record.ResponseTime(1.0, 100)
    return backend_record.Backend(
        name,
        "s",
        "10.0.0.1:1",
        "z",
        0,
        ENGINE.slots,
        weights=[fleet.Weights("m", 1)],
        service_response_time=response_time,
        response_time=response_time,
        typical_load=typical or backend_record.TypicalLoad(),
    )


def reply(tracker: load_tracker.LoadTracker, now: float = NOW) -> load_tracker.EngineLoad:
    return load_tracker.EngineLoad(
        tracker.outstanding("asking", now),
        unread_by_urgency=tracker.unread_by_urgency("asking", now),
    )


def expected_wait_s(engine: backend_record.Backend, urgency: int | None) -> float:
    requirements = dispatch.Requirements("s", "m", prompt_tokens=PROMPT_TOKENS, urgency=urgency)
    return dispatch.evaluate(engine, requirements, ENGINE, NOW).wait_s


@dataclasses.dataclass
class FullEngine:
    """An engine whose slots are all in use by requests that were read, and its agent's record."""

    engine: backend_record.Backend
    tracker: load_tracker.LoadTracker

    def offer(self, number: int, urgency: int) -> bool:
        """Offer a request of another entry; return whether it is admitted."""
        self.engine.apply_probe_reply(reply(self.tracker), NOW)
        terms = admission.Terms(NOW, URGENT_OBJECTIVE_S)
        if expected_wait_s(self.engine, urgency) > terms.wait_max_s(NOW):
            return False
        self.tracker.record_start("other", number, PROMPT_TOKENS, NOW, urgency)
        return True


def make_full_engine() -> FullEngine:
    tracker = load_tracker.LoadTracker()
    for number in range(ENGINE.slots):
        tracker.record_start("busy", number, PROMPT_TOKENS, NOW - 1.0, 2)
        tracker.record_first_byte("busy", number)
    return FullEngine(make_engine(), tracker)


def test_burst_of_least_urgent_class_takes_no_place_from_urgent_requests():
    alone, beside_burst = make_full_engine(), make_full_engine()
    for number in range(40):
        beside_burst.offer(1000 + number, 2)
    admitted_alone = sum(alone.offer(n, 0) for n in range(20))
    admitted = sum(beside_burst.offer(n, 0) for n in range(20))
    assert admitted_alone >= 1
    assert admitted == admitted_alone, f"{admitted} urgent requests for {admitted_alone}"


def test_lasting_overload_of_urgent_class_leaves_no_place_for_less_urgent_ones():
    full = make_full_engine()
    while full.offer(len(full.tracker.open), 0):
        pass
    assert not full.offer(1000, 1)
    assert not full.offer(1001, 2)


def test_engine_queue_stays_short_enough_to_answer_in_time():
    full = make_full_engine()
    for number in range(100):
        full.offer(number, 1)
    queued = len(full.tracker.open) - ENGINE.slots
    # A slot becomes free every 1/12 s, so that the fourth in the queue would be late.
    assert 1 <= queued <= 3, f"{queued} requests queued"


def make_route(p: int, objective_s: float = 0.4, **options) -> fleet.Route:
    """Return a route of priority `p`."""
    return fleet.Route(
        f"r{p}", "h", f"/{p}/", fleet.STREAMING, 6.0, objective_s, p, [fleet.Share("s")], **options
    )


def make_table(account_priorities, routes) -> tuple[list[fleet.Account], route_table.RouteTable]:
    accounts = [
        fleet.Account(f"a{number}", [f"k{number}"], priority)
        for number, priority in enumerate(account_priorities)
    ]
    services = [fleet.Service("s", engine=ENGINE)]
    return accounts, route_table.RouteTable(fleet.Configuration(1, routes, services, accounts))


def test_less_urgent_class_with_long_objective_is_not_admitted_where_urgent_one_is_refused():
    routes = [make_route(p, objective_s) for p, objective_s in ((0, 0.406), (1, 0.406), (2, 0.805))]
    _, table = make_table([], routes)
    assert table.has_several_urgencies("s")
    assert table.strictest_objective_s("s", 2) == 0.406


def test_account_priority_goes_before_route_priority_and_does_not_hide_it():
    routes = [make_route(p) for p in range(3)]
    accounts, table = make_table([1, 0], routes)
    order = [(account, route) for account in reversed(accounts) for route in routes]
    urgencies = [table.urgency_of("s", route, account) for account, route in order]
    assert urgencies == [0, 1, 2, 3, 4, 5]
    assert table.urgencies_of("s") == urgencies


def test_many_priorities_share_the_urgencies_that_engines_know():
    routes = [make_route(p) for p in range(6)]
    accounts, table = make_table([0, 1, 2, 3, None], routes)
    urgencies = {table.urgency_of("s", route, account) for route in routes for account in accounts}
    assert urgencies == set(range(10))


def test_only_priority_of_a_service_is_sent_as_it_is():
    route = make_route(2)
    accounts, table = make_table([1, 1], [route])
    assert not table.has_several_urgencies("s")
    assert table.urgency_of("s", route, accounts[0]) == 1


@pytest.mark.parametrize(
    ("account_priorities", "is_public", "expected"),
    [
        ([None], False, False),
        ([None, 3], False, True),
        ([3, 3], False, False),
        ([3, 3], True, True),
    ],
)
def test_urgency_is_used_only_where_routes_or_accounts_differ(
    account_priorities, is_public, expected
):
    _, table = make_table(account_priorities, [make_route(1, is_public=is_public)])
    assert table.has_several_urgencies("s") == expected


def test_engine_without_replies_is_expected_to_be_as_busy_as_the_others():
    typical = backend_record.TypicalLoad()
    known = [make_engine(f"i-{number}", typical) for number in range(4)]
    for engine in known:
        load = load_tracker.Outstanding(ENGINE.slots, 1, PROMPT_TOKENS)
        engine.apply_probe_reply(load_tracker.EngineLoad(load), NOW)
    silent = make_engine("i-silent", typical)
    requirements = dispatch.Requirements("s", "m", prompt_tokens=PROMPT_TOKENS)
    rng = random.Random(1)
    choices = [dispatch.choose([*known, silent], requirements, ENGINE, NOW, rng) for _ in range(50)]
    assert all(choice.backend is not silent for choice in choices)


def test_idle_service_still_uses_an_engine_without_replies():
    typical = backend_record.TypicalLoad()
    idle = make_engine("i-0", typical)
    idle.apply_probe_reply(load_tracker.EngineLoad(load_tracker.Outstanding()), NOW)
    silent = make_engine("i-silent", typical)
    assert expected_wait_s(silent, None) <= 0.7 * URGENT_OBJECTIVE_S


def test_entries_that_query_at_once_do_not_all_see_the_same_room():
    tracker = load_tracker.LoadTracker()
    tracker.record_start("earlier", 1, PROMPT_TOKENS, NOW - 2.0)
    tracker.record_end("earlier", 1)
    admitted = 0
    for number in range(40):
        engine = make_engine()
        engine.apply_probe_reply(
            load_tracker.EngineLoad(tracker.outstanding(f"entry-{number}", NOW)), NOW
        )
        tracker.record_query(f"entry-{number}", NOW)
        terms = admission.Terms(NOW, URGENT_OBJECTIVE_S)
        admitted += expected_wait_s(engine, None) <= terms.wait_max_s(NOW)
    # One in two of them sends its request there; nine prompts are read within the objective.
    assert 4 <= admitted <= 18, f"{admitted} entries would send"


def test_queries_that_no_attempt_follows_count_less_and_expire():
    tracker = load_tracker.LoadTracker()
    for number in range(200):
        now = NOW + 0.01 * number
        tracker.record_query("entry-1", now)
    assert tracker.outstanding("entry-2", now).attempts == 0
    assert tracker.outstanding("entry-2", now + 1.0).attempts == 0


class Overload:
    """An entry, where 100 requests of urgency `without_place` found no place within a second."""

    def __init__(self, without_place: int | None = None) -> None:
        self.level = admission.AdmissionLevel([0, 1, 2])
        self.rng = random.Random(1)
        if without_place is not None:
            for number in range(100):
                self.level.record_no_place(without_place, NOW + number / 100)

    def yielding_share(self, urgency: int, now: float) -> float:
        yields = [self.level.must_yield(urgency, now, self.rng) for _ in range(1000)]
        return sum(yields) / len(yields)


def test_lasting_overload_makes_the_least_urgent_class_yield_first():
    overload = Overload()
    shares = []
    for second in range(4):
        for request in range(3):
            overload.level.record_no_place(0, NOW + second + request / 3)
        shares.append([overload.yielding_share(u, NOW + second + 0.7) for u in (0, 1, 2)])
    assert all(least >= middle >= urgent for urgent, middle, least in shares)
    assert shares[0][2] > 0.9, "the least urgent class yields within a second"
    assert shares[-1][1] > 0.3, "then the next one"
    assert all(urgent == 0 for urgent, _, _ in shares)


def test_least_urgent_requests_without_a_place_make_nobody_yield():
    overload = Overload(2)
    assert [overload.yielding_share(urgency, NOW + 1.0) for urgency in (0, 1, 2)] == [0, 0, 0]


def test_middle_class_without_a_place_makes_only_the_least_urgent_one_yield():
    overload = Overload(1)
    assert overload.yielding_share(1, NOW + 1.0) == 0
    assert overload.yielding_share(2, NOW + 1.0) > 0.9


def test_nobody_yields_soon_after_an_overload():
    assert Overload(0).yielding_share(2, NOW + 8.0) < 0.1


def test_clients_that_come_back_are_admitted_at_a_longer_wait():
    first = admission.Terms(NOW, URGENT_OBJECTIVE_S)
    last = admission.Terms(NOW, URGENT_OBJECTIVE_S, is_last_try=True)
    assert first.queue_deadline() - NOW <= URGENT_OBJECTIVE_S / 8
    assert first.wait_max_s(NOW) < last.wait_max_s(NOW) < URGENT_OBJECTIVE_S
    assert admission.is_last_try(4.0, 6.0) and not admission.is_last_try(5.9, 6.0)
    assert not admission.is_last_try(None, 6.0)


def test_request_that_no_chance_can_help_is_not_queued():
    terms = admission.Terms(NOW, URGENT_OBJECTIVE_S)
    wait_max_s = terms.wait_max_s(NOW)
    assert not admission.is_worth_queueing(2.0, wait_max_s)
    assert admission.is_worth_queueing(1.2 * wait_max_s, wait_max_s)
    # An ejected back end has no expected wait, and others may come back.
    assert admission.is_worth_queueing(math.inf, wait_max_s)
