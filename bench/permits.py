"""Benchmark of permits for rate-limited back ends.

`python -m bench permits --entries N --backends M`. Runs the permit server and the codec without
sending datagrams. Reports the CPU time of a query in microseconds at the leader (decode, grant,
encode) and at the entry, the bytes of query and reply, and the leader's memory.
"""

import argparse
import dataclasses
import json
import random
import time
import tracemalloc

from merlinthread.coordination import rate_limits
from merlinthread.nodes import permit_server
from merlinthread.protocol import codec as codecs
from merlinthread.protocol import node_messages, piece_messages

QUERIES = 5000
# Size of UDP and IP headers.
HEADER_BYTES = 28


class Leader:
    """A log member that is the leader."""

    address = "10.0.0.1:7700"

    def holds_lease(self) -> bool:
        """Return True."""
        return True


@dataclasses.dataclass(slots=True)
class Cost:
    """Cost of one query."""

    entries: int
    backends: int
    leader_us: float
    entry_us: float
    query_bytes: float
    answer_bytes: float
    leader_memory_kb: float


@dataclasses.dataclass(slots=True)
class Totals:
    """Total cost of all queries: CPU time in seconds, bytes on the wire."""

    leader_s: float = 0.0
    entry_s: float = 0.0
    query_bytes: int = 0
    reply_bytes: int = 0


def run_queries(entries: int, backends: int, named: int, rng: random.Random) -> Totals:
    """Send random permit queries; each contains the limits of `named` back ends."""
    codec = codecs.Codec([node_messages.MESSAGES, piece_messages.MESSAGES], [])
    times = [0.0]
    server = permit_server.PermitServer(Leader(), lambda: times[0])  # type: ignore[arg-type]
    names = [f"i-{rng.getrandbits(40):010x}@1767000000000" for _ in range(backends)]
    totals = Totals()
    for number in range(QUERIES):
        times[0] += 0.008
        limits = [rate_limits.AdvertisedLimit(name, 1.5, 0.25) for name in rng.sample(names, named)]
        permit_request = rate_limits.PermitRequest("service", "account", 0.048, limits)
        address = f"10.0.{rng.randrange(entries) // 250}.{rng.randrange(250)}:7702"
        started_at = time.process_time()
        frame = codec.encode(node_messages.LoadQuery(address, number, permit_request))
        encoded_at = time.process_time()
        query = codec.decode(frame)
        reply_message = node_messages.LoadReply(number, 0, 0, 0.0, permit=server.reply_to(query))
        reply = codec.encode(reply_message)
        replied_at = time.process_time()
        codec.decode(reply)
        totals.entry_s += encoded_at - started_at + time.process_time() - replied_at
        totals.leader_s += replied_at - encoded_at
        totals.query_bytes += len(frame) + HEADER_BYTES
        totals.reply_bytes += len(reply) + HEADER_BYTES
    return totals


def measure_cost(entries: int, backends: int, named: int, seed: int = 1) -> Cost:
    """Return the cost of a query.

    Memory is measured in a second run, since tracing it would dominate the CPU time.
    """
    totals = run_queries(entries, backends, named, random.Random(seed))
    tracemalloc.start()
    run_queries(entries, backends, named, random.Random(seed))
    memory_kb = tracemalloc.get_traced_memory()[1] / 1024
    tracemalloc.stop()
    per_query = 1 / QUERIES
    return Cost(
        entries,
        backends,
        round(1e6 * totals.leader_s * per_query, 1),
        round(1e6 * totals.entry_s * per_query, 1),
        round(totals.query_bytes * per_query),
        round(totals.reply_bytes * per_query),
        round(memory_kb),
    )


def main(arguments: list[str]) -> int:
    """Run the command."""
    parser = argparse.ArgumentParser(prog="bench permits", description=__doc__)
    parser.add_argument("--entries", type=int, default=330)
    parser.add_argument("--backends", type=int, default=150, help="number of limited back ends")
    parser.add_argument("--named", type=int, default=1, help="back ends in a query")
    options = parser.parse_args(arguments)
    print(
        json.dumps(
            dataclasses.asdict(measure_cost(options.entries, options.backends, options.named))
        )
    )
    return 0
