"""What permits for limited back ends cost: `python -m bench permits --entries N --backends M`.

The account, the encoding and the leader's answer are the product's; datagrams are not sent. Told as
JSON: microseconds of processor time a question takes at the leader (decode, decide, encode) and at
the entry, bytes of both ways, memory of the leader's account.
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
from merlinthread.protocol import node_messages

QUESTIONS = 5000
# Heads of UDP and IP, in bytes.
HEADS = 28


class Leader:
    """A member of the log that leads."""

    address = "10.0.0.1:7700"

    def holds_lease(self) -> bool:
        """Return True."""
        return True


@dataclasses.dataclass(slots=True)
class Cost:
    """What one question costs."""

    entries: int
    backends: int
    leader_us: float
    entry_us: float
    query_bytes: float
    answer_bytes: float
    leader_memory_kb: float


@dataclasses.dataclass(slots=True)
class Spent:
    """What all questions took together: processor time in seconds, bytes on the wire."""

    leader_s: float = 0.0
    entry_s: float = 0.0
    query_bytes: int = 0
    answer_bytes: int = 0


def ask_all(entries: int, backends: int, named: int, rng: random.Random) -> Spent:
    """Ask for permits by lot; `named` is how many back ends a question names."""
    codec = codecs.Codec([node_messages.MESSAGES], [])
    times = [0.0]
    office = permit_server.PermitServer(Leader(), lambda: times[0])  # type: ignore[arg-type]
    names = [f"i-{rng.getrandbits(40):010x}@1767000000000" for _ in range(backends)]
    spent = Spent()
    for number in range(QUESTIONS):
        times[0] += 0.008
        limits = [rate_limits.AdvertisedLimit(name, 1.5, 0.25) for name in rng.sample(names, named)]
        request = rate_limits.PermitRequest("service", "account", 0.048, limits)
        address = f"10.0.{rng.randrange(entries) // 250}.{rng.randrange(250)}:7702"
        began = time.process_time()
        frame = codec.encode(node_messages.LoadQuery(address, number, request))
        asked = time.process_time()
        query = codec.decode(frame)
        answer = node_messages.LoadReply(number, 0, 0, 0.0, permit=office.reply_to(query))
        reply = codec.encode(answer)
        answered = time.process_time()
        codec.decode(reply)
        spent.entry_s += asked - began + time.process_time() - answered
        spent.leader_s += answered - asked
        spent.query_bytes += len(frame) + HEADS
        spent.answer_bytes += len(reply) + HEADS
    return spent


def measure(entries: int, backends: int, named: int, seed: int = 1) -> Cost:
    """Ask twice: tracing of memory would be most of the processor time."""
    spent = ask_all(entries, backends, named, random.Random(seed))
    tracemalloc.start()
    ask_all(entries, backends, named, random.Random(seed))
    memory_kb = tracemalloc.get_traced_memory()[1] / 1024
    tracemalloc.stop()
    per = 1 / QUESTIONS
    return Cost(
        entries,
        backends,
        round(1e6 * spent.leader_s * per, 1),
        round(1e6 * spent.entry_s * per, 1),
        round(spent.query_bytes * per),
        round(spent.answer_bytes * per),
        round(memory_kb),
    )


def main(arguments: list[str]) -> int:
    """Run the command."""
    parser = argparse.ArgumentParser(prog="bench permits", description=__doc__)
    parser.add_argument("--entries", type=int, default=330)
    parser.add_argument("--backends", type=int, default=150, help="back ends that name limits")
    parser.add_argument("--named", type=int, default=1, help="back ends that a question names")
    options = parser.parse_args(arguments)
    print(json.dumps(dataclasses.asdict(measure(options.entries, options.backends, options.named))))
    return 0
