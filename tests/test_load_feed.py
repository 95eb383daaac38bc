"""Tests for the cost of load reports at fleet sizes from 6 to 1,500 engines; no network is needed.

Guards against load reports that use up an engine VM's link as the fleet grows.
"""

import random

import pytest

from merlinthread.coordination import backend_record, dispatch, fleet, load_feed, load_tracker
from merlinthread.protocol import codec, node_messages

# Link of an engine's VM in bytes per second.
LINK = 3.65e6 / 8
UDP_AND_IP_BYTES = 28


def engines(count: int, zones: int, zone: int) -> list[backend_record.Backend]:
    """Return engines spread evenly over the zones, as seen from `zone`."""
    return [
        backend_record.Backend(
            f"i-{n}", "s", f"10.0.0.{n}:1", f"z{n % zones}", 2 * (n % zones != zone), 8
        )
        for n in range(count)
    ]


def subscriber_counts(entries: int, count: int, zones: int) -> dict[str, int]:
    """Return the number of subscribed entries per engine."""
    found: dict[str, int] = {}
    for entry in range(entries):
        seen = engines(count, zones, entry % zones)
        for engine in load_feed.engines_to_subscribe(f"entry-{entry}", seen):
            found[engine.instance] = found.get(engine.instance, 0) + 1
    return found


@pytest.mark.parametrize(("entries", "count", "zones"), [(7, 6, 3), (98, 60, 5), (330, 1500, 8)])
def test_an_agents_words_about_its_load_take_a_small_share_of_its_link_at_any_size(
    entries, count, zones
):
    told = max(subscriber_counts(entries, count, zones).values())
    bytes_per_s = told * load_feed.LOAD_DATAGRAM_BYTES / load_feed.report_interval_s(told, LINK)
    assert bytes_per_s <= 0.05 * LINK, f"{told} entries, {bytes_per_s / LINK:.3f} of the link"


def test_an_entry_hears_a_bounded_number_of_engines_and_its_own_zone_first():
    heard = load_feed.engines_to_subscribe("entry", engines(60, 5, 2))
    assert len(heard) == load_feed.SUBSCRIPTIONS_MAX
    assert sum(engine.distance == 0 for engine in heard) == 12


def test_a_small_fleet_is_heard_whole():
    assert len(load_feed.engines_to_subscribe("entry", engines(6, 3, 0))) == 6


def test_one_engine_less_changes_one_place():
    everything = engines(1500, 8, 0)
    before = {engine.instance for engine in load_feed.engines_to_subscribe("entry", everything)}
    lost = sorted(before)[0]
    rest = [engine for engine in everything if engine.instance != lost]
    after = {engine.instance for engine in load_feed.engines_to_subscribe("entry", rest)}
    assert len(before - after) == 1


def test_entries_spread_over_the_engines_of_a_zone():
    heard = subscriber_counts(330, 1500, 8)
    mean = 330 * load_feed.SUBSCRIPTIONS_MAX / 1500
    assert max(heard.values()) <= 4 * mean


def test_the_size_of_a_word_is_what_the_limit_reckons_with():
    report = fleet.EngineReport(
        False, 12, 3, 8, 41000.0, 90000.0, 1.25, [fleet.Weights("daka510000", 3, 16)]
    )
    message = node_messages.LoadUpdate(
        "10.128.0.90:8080", 100000, report, load_tracker.Outstanding(11, 4, 4123.0)
    )
    frame = codec.Codec([node_messages.MESSAGES], []).encode(message)
    assert len(frame) + UDP_AND_IP_BYTES <= load_feed.LOAD_DATAGRAM_BYTES


def test_weights_and_their_changes_are_told_at_once():
    old = fleet.EngineReport(weights=[fleet.Weights("m", 1)])
    assert load_feed.is_urgent(old, None)
    assert not load_feed.is_urgent(
        fleet.EngineReport(running=5, weights=[fleet.Weights("m", 1)]), old
    )
    assert load_feed.is_urgent(fleet.EngineReport(weights=[fleet.Weights("m", 2)]), old)
    assert load_feed.is_urgent(fleet.EngineReport(True, weights=[fleet.Weights("m", 1)]), old)


def test_an_engine_that_is_not_heard_is_asked_again_after_it_said_that_it_changes_its_weights():
    engine = engines(1, 1, 0)[0]
    engine.apply_probe_reply(
        load_tracker.EngineLoad(load_tracker.Outstanding(), is_busy=True), 10.0
    )
    demand = dispatch.Requirements("s")
    assert not dispatch.is_eligible(engine, demand, None, 10.5)
    later = 10.1 + backend_record.REPORT_FRESH_S
    assert dispatch.is_eligible(engine, demand, None, later)


def test_silence_of_an_engine_that_is_no_longer_heard_costs_nothing():
    engine = engines(1, 1, 0)[0]
    engine.apply_report(fleet.EngineReport(), 10.0)
    assert engine.has_stale_reports(20.0)
    engine.stop_reports()
    assert not engine.has_stale_reports(20.0)
    choices = dispatch.shortlist(
        [engine], dispatch.Requirements("s"), None, 20.0, random.Random(1), 2
    )
    assert choices == [engine]
