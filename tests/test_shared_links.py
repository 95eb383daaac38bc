"""The model of shared links that the soak of shared links uses, without processes."""

import random

import pytest

from bench import shared_links

pytestmark = pytest.mark.quick

PROFILE = shared_links.LinkProfile(1_000_000.0, 0.01, 0.5, 100_000)


# Guards against a link that carries more than its bandwidth for several connections together.
def test_traffic_waits_for_all_traffic_before_it():
    link = shared_links.SharedLink(PROFILE, 0.0)
    size = shared_links.BURST_BYTES
    assert link.transmit(size, 0.0) == pytest.approx(0.01)
    assert link.transmit(100_000, 0.0) == pytest.approx(0.11)
    assert link.transmit(60, 0.0) == pytest.approx(0.11006)
    assert link.transmit(size, 9.0) == pytest.approx(9.01)


# Guards against cross traffic that takes another share than asked for, or fills a full queue.
def test_cross_traffic_takes_its_share_and_spares_a_full_queue():
    link = shared_links.SharedLink(PROFILE, 0.0)
    traffic = shared_links.CrossTraffic(link, random.Random(1))
    bursts = [traffic.next_delay_s() for _ in range(2000)]
    mean_bytes = sum(shared_links.CROSS_TRAFFIC_BYTES) / 2
    assert len(bursts) * mean_bytes / sum(bursts) == pytest.approx(500_000, rel=0.1)
    for _ in range(10):
        traffic.send_burst(0.0)
    assert 100_000 <= link.queued_bytes(0.0) < 100_000 + shared_links.CROSS_TRAFFIC_BYTES[1]
