"""Load reports and their subscriptions in fleets of 6 to 1,500 engines.

Guards against load reports that use up an engine VM's link as the fleet grows.
"""

import random

import pytest

from merlinthread.coordination import backend_record, dispatch, fleet, load_feed, load_tracker
from merlinthread.protocol import codec, node_messages, piece_messages

# Link of an engine's VM in bytes per second.
LINK_BYTES_PER_S = 3.65e6 / 8
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
    counts: dict[str, int] = {}
    for entry in range(entries):
        seen = engines(count, zones, entry % zones)
        for engine in load_feed.engines_to_subscribe(f"entry-{entry}", seen):
            counts[engine.instance] = counts.get(engine.instance, 0) + 1
    return counts


@pytest.mark.parametrize(("entries", "count", "zones"), [(7, 6, 3), (98, 60, 5), (330, 1500, 8)])
def test_load_reports_use_small_share_of_link_at_any_fleet_size(entries, count, zones):
    subscribers = max(subscriber_counts(entries, count, zones).values())
    bytes_per_s = (
        subscribers
        * load_feed.LOAD_DATAGRAM_BYTES
        / load_feed.report_interval_s(subscribers, LINK_BYTES_PER_S)
    )
    assert (
        bytes_per_s <= 0.05 * LINK_BYTES_PER_S
    ), f"{subscribers} entries, {bytes_per_s / LINK_BYTES_PER_S:.3f} of the link"


def test_entry_subscribes_to_bounded_number_with_own_zone_first():
    subscribed = load_feed.engines_to_subscribe("entry", engines(60, 5, 2))
    assert len(subscribed) == load_feed.SUBSCRIPTIONS_MAX
    assert sum(engine.distance == 0 for engine in subscribed) == 12


def test_entry_subscribes_to_all_engines_of_small_fleet():
    assert len(load_feed.engines_to_subscribe("entry", engines(6, 3, 0))) == 6


def test_loss_of_engine_changes_one_subscription():
    all_engines = engines(1500, 8, 0)
    before = {engine.instance for engine in load_feed.engines_to_subscribe("entry", all_engines)}
    lost = sorted(before)[0]
    rest = [engine for engine in all_engines if engine.instance != lost]
    after = {engine.instance for engine in load_feed.engines_to_subscribe("entry", rest)}
    assert len(before - after) == 1


def test_subscriptions_are_spread_over_engines():
    counts = subscriber_counts(330, 1500, 8)
    mean = 330 * load_feed.SUBSCRIPTIONS_MAX / 1500
    assert max(counts.values()) <= 4 * mean


def test_load_update_fits_assumed_datagram_size():
    report = fleet.EngineReport(
        False, 12, 3, 8, 41000.0, 90000.0, 1.25, [fleet.Weights("daka510000", 3, 16)]
    )
    message = node_messages.LoadUpdate(
        "10.128.0.90:8080", 100000, report, load_tracker.Outstanding(11, 4, 4123.0)
    )
    frame = codec.Codec([node_messages.MESSAGES, piece_messages.MESSAGES], []).encode(message)
    assert len(frame) + UDP_AND_IP_BYTES <= load_feed.LOAD_DATAGRAM_BYTES


def test_changed_weights_are_urgent():
    old = fleet.EngineReport(weights=[fleet.Weights("m", 1)])
    assert load_feed.is_urgent(old, None)
    assert not load_feed.is_urgent(
        fleet.EngineReport(running=5, weights=[fleet.Weights("m", 1)]), old
    )
    assert load_feed.is_urgent(fleet.EngineReport(weights=[fleet.Weights("m", 2)]), old)
    assert load_feed.is_urgent(fleet.EngineReport(True, weights=[fleet.Weights("m", 1)]), old)


def test_busy_probe_reply_excludes_engine_only_while_fresh():
    engine = engines(1, 1, 0)[0]
    engine.apply_probe_reply(
        load_tracker.EngineLoad(load_tracker.Outstanding(), is_busy=True), 10.0
    )
    requirements = dispatch.Requirements("s")
    assert not dispatch.is_eligible(engine, requirements, None, 10.5)
    later = 10.1 + backend_record.REPORT_FRESH_S
    assert dispatch.is_eligible(engine, requirements, None, later)


def test_unsubscribed_engine_is_not_excluded_for_stale_reports():
    engine = engines(1, 1, 0)[0]
    engine.apply_report(fleet.EngineReport(), 10.0)
    assert engine.has_stale_reports(20.0)
    engine.stop_reports()
    assert not engine.has_stale_reports(20.0)
    choices = dispatch.shortlist(
        [engine], dispatch.Requirements("s"), None, 20.0, random.Random(1), 2
    )
    assert choices == [engine]


def test_heartbeat_from_before_a_report_does_not_replace_its_weights():
    """Guards against an engine without requests because its old weights are taken for current."""
    old, new = ([fleet.Weights("m", version)] for version in (1, 2))
    engine = engines(1, 1, 0)[0]
    engine.apply_heartbeat_weights(old, 9.0, 9.5)
    assert engine.weights == old
    engine.apply_report(fleet.EngineReport(weights=new), 10.0)
    stale_at = 10.0 + 2 * backend_record.REPORT_FRESH_S
    engine.apply_heartbeat_weights(old, 9.9, stale_at)
    assert engine.weights == new
    # Neither once the entry has unsubscribed from its reports.
    engine.stop_reports()
    engine.apply_heartbeat_weights(old, 9.9, stale_at)
    assert engine.weights == new
    # A later heartbeat counts, but not while reports arrive.
    engine.apply_heartbeat_weights(old, stale_at, stale_at)
    assert engine.weights == old
    engine.apply_report(fleet.EngineReport(weights=new), 20.0)
    engine.apply_heartbeat_weights(old, 20.5, 20.6)
    assert engine.weights == new


def test_unchanged_heartbeat_replaces_the_weights_of_a_report_once_it_must_have_changed():
    """Guards against an engine without requests whose last report was behind its heartbeat.

    Control VMs do not tell heartbeats again that differ in nothing but their time.
    """
    old, new = ([fleet.Weights("m", version)] for version in (1, 2))
    engine = engines(1, 1, 0)[0]
    # The agent had polled its engine before the load; no report has arrived since.
    engine.apply_report(fleet.EngineReport(weights=old), 10.0)
    changed_by = 10.0 + backend_record.HEARTBEAT_CHANGE_S
    engine.apply_heartbeat_weights(new, 9.9, changed_by - 0.1)
    assert engine.weights == old
    engine.apply_heartbeat_weights(new, 9.9, changed_by + 0.1)
    assert engine.weights == new
