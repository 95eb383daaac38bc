"""Subscriptions to load reports, with a bounded cost per node at any fleet size.

Reports from every agent to every entry would grow with the product of their numbers. An entry
therefore subscribes to a bounded number of the nearest engines, and an agent limits its reports to
a small share of its link. Entries probe other engines when they choose one
(`nodes/load_prober.py`).
"""

from collections.abc import Iterable

import blake3

from merlinthread.coordination import backend_record, fleet

# Engines that an entry subscribes to. Two are probed before each choice; of 16 random engines, the
# second best is within the best eighth of all. Zones have 2 to 12 engines, 21 with added ones.
SUBSCRIPTIONS_MAX = 16
# Share of an agent's link that load reports may use.
LINK_SHARE = 0.02
# Size of an encoded load report with its UDP and IP headers.
LOAD_DATAGRAM_BYTES = 292
# Bounds of the report interval; one lost report must not exceed `backend_record.REPORT_FRESH_S`.
REPORT_INTERVAL_MIN_S = 0.2
REPORT_INTERVAL_MAX_S = 0.45


def engines_to_subscribe(
    entry: str, engines: Iterable[backend_record.Backend], count: int = SUBSCRIPTIONS_MAX
) -> list[backend_record.Backend]:
    """Return the engines that an entry subscribes to: the `count` nearest.

    Those in evacuated zones come last, so that the entry knows the load of engines that it can use.

    Rendezvous hashing (Thaler and Ravishankar 1998) orders those at the same distance. It spreads
    entries over engines, and adding or removing an engine changes at most one subscription.
    """
    ordered = sorted(
        engines,
        key=lambda engine: (
            engine.is_evacuated,
            engine.distance,
            rendezvous_key(entry, engine.instance),
        ),
    )
    return ordered[:count]


def rendezvous_key(entry: str, instance: str) -> bytes:
    """Return an engine's sort key in an entry's rendezvous order."""
    return blake3.blake3(f"{entry} {instance}".encode()).digest(8)


def report_interval_s(subscribers: int, link_bytes_per_s: float) -> float:
    """Return the interval of an agent's load reports to `subscribers` entries, in seconds."""
    needed_s = subscribers * LOAD_DATAGRAM_BYTES / (LINK_SHARE * link_bytes_per_s)
    return min(REPORT_INTERVAL_MAX_S, max(REPORT_INTERVAL_MIN_S, needed_s))


def is_urgent(report: fleet.EngineReport, last_sent: fleet.EngineReport | None) -> bool:
    """Return whether a report must be sent at once instead of after the interval.

    It must if the engine's weights, or whether it is changing them, differ from `last_sent`, the
    last report, since that decides whether the engine is usable.
    """
    if last_sent is None:
        return True
    return report.is_busy != last_sent.is_busy or report.weights != last_sent.weights
