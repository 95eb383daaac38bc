"""Who tells whom an engine's load unasked, so that this costs a node the same at any size.

Every agent before every entry is a product: 60 agents that tell 98 entries five times a second are
29,400 datagrams a second, three tenths of each engine VM's link of 3.65 Mbit/s. So an entry hears
unasked from a bounded number of engines, the nearest, and an agent tells at a rate that keeps its
words to a small share of its link. What an entry must know at the moment of a choice it asks for
(`nodes/load_prober.py`).
"""

from collections.abc import Iterable

import blake3

from merlinthread.coordination import backend_record, fleet

# Engines that an entry hears unasked. Two of them are asked before each choice, so it needs enough
# for the two best of them to be nearly the best of all; of 16 drawn by lot, the second best is
# within the best eighth. The zones of the deployments known have 2 to 12 engines, and up to 21 with
# those that join.
SUBSCRIPTIONS_MAX = 16
# Share of an agent's link that its words about the load may take.
LINK_SHARE = 0.02
# An encoded load with the heads of UDP and IP, in bytes.
LOAD_DATAGRAM_BYTES = 292
# How often a load is told at most, and at least: what a node holds of it bears one lost word
# (`backend_record.REPORT_FRESH_S`).
TELL_EVERY_MIN_S = 0.2
TELL_EVERY_MAX_S = 0.45


def engines_to_subscribe(
    entry: str, engines: Iterable[backend_record.Backend], count: int = SUBSCRIPTIONS_MAX
) -> list[backend_record.Backend]:
    """Return the engines that an entry hears unasked: the nearest ones, `count` at most.

    Of those equally far the choice is by rendezvous hashing (Thaler and Ravishankar 1998): entries
    spread over the engines, and one engine more or less changes one place.
    """
    ordered = sorted(
        engines,
        key=lambda engine: (engine.distance, rank(entry, engine.instance)),
    )
    return ordered[:count]


def rank(entry: str, instance: str) -> bytes:
    """Return an engine's place in an entry's rendezvous order; the lowest goes first."""
    return blake3.blake3(f"{entry} {instance}".encode()).digest(8)


def report_interval_s(subscribers: int, link_bytes_per_s: float) -> float:
    """Return how often an agent tells a changed load to `subscribers` entries."""
    needed_s = subscribers * LOAD_DATAGRAM_BYTES / (LINK_SHARE * link_bytes_per_s)
    return min(TELL_EVERY_MAX_S, max(TELL_EVERY_MIN_S, needed_s))


def is_urgent(report: fleet.EngineReport, told: fleet.EngineReport | None) -> bool:
    """Return whether a report differs from what was told in what decides whether work may come.

    Weights and a change of weights under way are told at once; how much runs can wait.
    """
    if told is None:
        return True
    return report.is_busy != told.is_busy or report.weights != told.weights
