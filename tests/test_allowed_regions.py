"""Requests restricted to regions.

Guards against sending a restricted request's body to a back end in another region, and against
keeping a request waiting that no back end in its regions can take.
"""

import asyncio
import json
import random
import time

import pytest

from merlinthread import logs
from merlinthread.cli import explain, losses
from merlinthread.coordination import (
    allowed_regions,
    backend_availability,
    backend_health,
    backend_record,
    dispatch,
    fleet,
    route_table,
)
from merlinthread.platform import bodies
from merlinthread.transport import http_messages
from tests import fleet_nodes, single_entry_fleet

NONE: frozenset[str] = frozenset()
EU, US = frozenset({"eu"}), frozenset({"us"})


def make_backend(name: str, region: str | None, **changes) -> backend_record.Backend:
    return backend_record.Backend(name, "s", "1.1.1.1:1", "z", 0, 8, region=region, **changes)


def make_route(shares: list[fleet.Share], regions: frozenset[str] = NONE) -> fleet.Route:
    return fleet.Route("r", "h", "/", "safe", 1.0, 0.4, 1, shares, allowed_regions=regions)


@pytest.mark.parametrize(
    ("route_regions", "account_regions", "expected"),
    [
        (NONE, NONE, None),
        (NONE, None, None),
        (EU, NONE, EU),
        (EU, None, EU),
        (NONE, US, US),
        (EU | US, US, US),
        (EU, US, NONE),
    ],
)
def test_lists_of_route_and_account_both_apply(route_regions, account_regions, expected):
    account = None if account_regions is None else fleet.Account("a", [], None, account_regions)
    route = make_route([fleet.Share("s")], route_regions)
    assert allowed_regions.for_request(route, account) == expected


# With more back ends than SAMPLE_MAX, a sample may contain none in the allowed region.
def test_no_choice_includes_a_back_end_outside_the_allowed_regions():
    outside = [make_backend(f"us-{number}", "us") for number in range(200)]
    unknown = [make_backend(f"unknown-{number}", None) for number in range(200)]
    only = make_backend("eu", "eu", in_flight=30)
    backends = [*outside, *unknown, only]
    demand = dispatch.Requirements("s", allowed_regions=EU)
    for seed in range(20):
        rng = random.Random(seed)
        assert dispatch.shortlist(backends, demand, None, 0.0, rng, 2) == [only]
        assert dispatch.choose(backends, demand, None, 0.0, rng, 0.0).backend is only
    assert dispatch.choose_best(backends, demand, None, 0.0).backend is only
    # A failed back end is the last resort if it has nothing in flight.
    only.in_flight = 0
    backend_health.record_failure(only, 0.0)
    assert dispatch.candidates(backends, demand, None, 0.0) == [only]
    nowhere = dispatch.Requirements("s", allowed_regions=NONE)
    assert dispatch.candidates(backends, nowhere, None, 0.0) == []


# A back end without a limit in another region must not hide that a permit is needed in this one.
def test_permits_are_acquired_only_for_back_ends_in_allowed_regions():
    limit = {"limit_per_s": 1.0, "limit_received_at": 0.0}
    eu, us = (
        make_backend(name, name, availability=backend_availability.Availability(**limit))
        for name in ("eu", "us")
    )
    demand = dispatch.Requirements("s", allowed_regions=EU)
    free = make_backend("free", "us")
    assert dispatch.permit_candidates([us, free, eu], demand, None, 0.0) == [eu]


def test_only_usable_services_with_a_weight_are_drawn():
    route = make_route([fleet.Share("a", 90), fleet.Share("b", 5), fleet.Share("c", 0)])
    rng = random.Random(1)
    draw = {route_table.choose_service(route, rng, {"b", "c"}) for _ in range(50)}
    assert draw == {"b"}
    # The request is refused, whichever is drawn.
    assert route_table.choose_service(route, rng, {"c"}) in ("a", "b")
    assert {route_table.choose_service(route, rng) for _ in range(200)} == {"a", "b"}


def configuration(**route_fields) -> dict:
    body = fleet_nodes.configuration(1, ["safe"], "model")
    for route in body["routes"]:
        # The queue time is long, so that a refusal at once differs from one after it.
        route |= {"target_latency_ms": 15000} | route_fields
    return body


@pytest.mark.parametrize(
    ("value", "expected"), [(None, NONE), ([], NONE), (["eu", "eu"], EU), (["empty"], {"empty"})]
)
def test_configuration_lists_regions_of_routes_and_accounts(value, expected):
    body = configuration(allowed_regions=value)
    body["tenants"][1]["allowed_regions"] = value
    parsed = bodies.parse_configuration(json.dumps(body).encode())
    route_table.validate(parsed)
    assert parsed.routes[0].allowed_regions == expected
    assert parsed.accounts[0].allowed_regions == NONE
    assert parsed.accounts[1].allowed_regions == expected


class TwoRegions(single_entry_fleet.SingleEntryFleet):
    """An entry in region "us" and one worker in each of "us", "eu" and a zone without a region."""

    def __init__(self, service: str = "safe", **route_fields) -> None:
        super().__init__(service, 3)
        regions = {"zone-us": "us", "zone-eu": "eu"}
        self.entry = fleet_nodes.Entry(
            fleet_nodes.make_settings("entry", zone="zone-us", region="us", regions=regions)
        )
        self.us, self.eu, self.unknown = self.workers
        self.zones = {self.us: "zone-us", self.eu: "zone-eu", self.unknown: "zone-x"}
        self.services = dict.fromkeys(self.workers, service)
        self.body = configuration(**({"allowed_regions": ["eu"]} | route_fields))

    def announce(self, workers, draining=(), gone=()) -> None:
        services = {worker: self.services[worker] for worker in workers}
        self.entry.apply_update(self.body, services, gone, draining=draining, zones=self.zones)

    def check_others_unused(self) -> None:
        for worker in (self.us, self.unknown):
            assert not worker.runs and not worker.refusals, worker.instance


FAULTS = [
    ("safe", {}, 200),
    ("safe", {"is_full": True}, 503),
    ("safe", {"is_full": True, "retry_after": "0.05"}, 503),
    ("safe", {"closes_without_response": True}, 502),
    ("safe", {"status": 500}, 500),
    ("model", {}, 200),
    ("model", {"is_full": True}, 503),
    # A silent stream gets no attempt beside it, and a broken one is resumed in its region.
    ("model", {"never_responds": True}, 504),
    ("model", {"cut_after_events": 2, "events": 4}, 200),
    ("safe", {"limit": "0.5"}, None),
]


@pytest.mark.parametrize(("service", "fault", "status"), FAULTS)
async def test_no_attempt_leaves_the_allowed_regions(service, fault, status):
    regions = await TwoRegions(service, target_latency_ms=400).start()
    for name, value in fault.items():
        setattr(regions.eu.behaviour, name, value)
    for _ in range(3):
        response = await regions.request(b"b", X_Merlinthread_Deadline_Ms="1300")
        assert response.status == status or status is None
    assert regions.eu.runs or regions.eu.refusals
    regions.check_others_unused()


@pytest.mark.parametrize("cause", ["leaving", "missing"])
@pytest.mark.parametrize("service", ["safe", "model"])
async def test_request_is_refused_at_once_without_back_end_in_its_regions(
    monkeypatch, service, cause
):
    lines = []
    monkeypatch.setattr(logs, "event", lambda name, **fields: lines.append((name, fields)))
    regions = await TwoRegions(service).start()
    if cause == "leaving":
        regions.announce(regions.workers, draining=[regions.eu])
    else:
        regions.announce([regions.us, regions.unknown], gone=[regions.eu.instance])
    started_at = time.monotonic()
    response = await regions.request(b"b")
    # The queue time is 1.8 s.
    assert time.monotonic() - started_at < 1.0
    assert response.status == 503
    assert float(http_messages.get_header(response.headers, b"retry-after")) > 0
    fields = next(fields for name, fields in lines if name == "request")
    assert (fields["outcome"], fields["sent"]) == ("no_target", 0)
    assert fields["allowed_regions"] == ["eu"]
    assert "(eu)" in fields["attempts"][-1]
    line = explain.LogLine(0.0, {"event": "request", **fields})
    assert losses.classify_request(line, 400) == "refused: none in an allowed region"
    regions.check_others_unused()


async def test_route_with_several_services_uses_the_one_in_the_allowed_region():
    regions = TwoRegions()
    regions.body["services"].append({"name": "other", "health_check_path": "/healthz"})
    split = {"other": 95, "safe": 5}
    regions.body["routes"][0]["traffic_split"] = [
        {"service": service, "weight": weight} for service, weight in split.items()
    ]
    regions.services |= {regions.us: "other", regions.unknown: "other"}
    await regions.start()
    assert [(await regions.request(b"b")).status for _ in range(20)] == [200] * 20
    regions.check_others_unused()


async def test_request_without_list_uses_all_regions():
    regions = await TwoRegions(allowed_regions=None).start()
    regions.set_behaviour(work_s=0.02)
    responses = await asyncio.gather(*(regions.request(b"b") for _ in range(12)))
    assert {response.status for response in responses} == {200}
    assert regions.us.runs
