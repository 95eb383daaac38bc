"""A worker of the rollout bench: many agents' weights in one process, without engines or HTTP.

Reads its orders as JSON lines from standard input and answers on standard output. The agents are
the product's own `Weights`, chunk store and bus; only heartbeats are replaced by the bench, which
tells each agent its peers.
"""

import collections
import dataclasses
import json
import pathlib
import random
import sys
import time

from merlinthread import logs, settings
from merlinthread.coordination import fetch
from merlinthread.protocol import messages
from merlinthread.roles import base, chunk_server, weights
from merlinthread.state import chunks
from merlinthread.transport import bus, http_server

RESPONDERS = 6
NOWHERE = "127.0.0.1:1"


class CorruptingGiver(chunk_server.ChunkServer):
    """A giver whose chunks are damaged now and then."""

    corrupt_share = 0.0

    def handle_message(self, message: object) -> object:
        """Answer another agent, sometimes with a damaged chunk."""
        answer = super().handle_message(message)
        if isinstance(answer, messages.ChunkReply) and answer.data:
            if random.random() < self.corrupt_share:
                answer.data = bytes([answer.data[0] ^ 1]) + answer.data[1:]
        return answer


class SwarmAgent:
    """One agent of the swarm."""

    def __init__(self, config: dict) -> None:
        checked = settings.parse(json.dumps(config["settings"]), "bench")
        context = base.RoleContext(
            checked,
            messages.make_codec([]),
            http_server.Server("127.0.0.1", 1, 2),
            http_server.InFlightRequests(),
        )
        assert checked.agent is not None
        folder = pathlib.Path(config["folder"]) if config.get("folder") else None
        store = chunks.ChunkStore(folder, 1 << 34)
        self.weights = weights.WeightManager(context, checked.agent, store)
        self.giver = CorruptingGiver(self.weights)
        self.giver.corrupt_share = config.get("corrupt_share", 0.0)
        self.responder = bus.RpcServer(
            checked.bus, context.codec, self.giver.handle_message, workers=RESPONDERS
        )
        self.responder.start()
        self.weights.start()
        self.done_at: dict[str, float] = {}
        self.is_dead = False

    def kill(self) -> None:
        """Fall silent at once."""
        self.is_dead = True
        self.responder.socket.close()
        with self.weights.lock:
            self.weights.stopping = True


class Worker:
    """Carries out the bench's orders."""

    def __init__(self) -> None:
        self.agents: dict[str, SwarmAgent] = {}

    def on_start(self, order: dict) -> dict:
        """Start agents."""
        for config in order["agents"]:
            self.agents[config["settings"]["name"]] = SwarmAgent(config)
        return {"started": len(self.agents)}

    def on_want(self, order: dict) -> dict:
        """Begin to fetch, or change with whom; across a cut zone's border nobody is reached."""
        cut = order.get("cut", "")
        for agent in self.agents.values():
            if agent.is_dead:
                continue
            zone = agent.weights.context.settings.availability_zone
            peers = []
            for name, other, _, address in order["peers"]:
                if name == agent.weights.name:
                    continue
                is_reached = (other == cut) == (zone == cut)
                distance = fetch.SAME_ZONE if other == zone else fetch.SAME_REGION
                peers.append(fetch.Peer(name, address if is_reached else NOWHERE, distance))
            agent.weights.set_wanted({order["manifest"]: peers})
        return {}

    def on_kill(self, order: dict) -> dict:
        """Kill agents."""
        for name in order["names"]:
            if name in self.agents:
                self.agents[name].kill()
        return {}

    def on_poll(self, order: dict) -> dict:
        """Return when each agent was complete, on the machine's monotonic clock."""
        for agent in self.agents.values():
            for digest in agent.weights.complete_manifests():
                agent.done_at.setdefault(digest, time.monotonic())
        return {
            "done": {name: agent.done_at for name, agent in self.agents.items()},
            "cpu_s": time.process_time(),
            "tally": self.tally(),
            "rss_mb": rss_mb(),
        }

    def tally(self) -> dict[str, int]:
        """Return what all fetches have cost so far, in chunks and questions."""
        total: collections.Counter[str] = collections.Counter()
        for agent in self.agents.values():
            for download in agent.weights.downloads.values():
                if download.plan is not None:
                    total.update(dataclasses.asdict(download.plan.stats))
        return dict(total)

    def run(self) -> None:
        """Carry out orders until the input ends."""
        for line in sys.stdin:
            order = json.loads(line)
            answer = getattr(self, f"on_{order['do']}")(order)
            print(json.dumps(answer), flush=True)


def rss_mb() -> float:
    """Return this process's resident memory in MB."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096 / 1e6


if __name__ == "__main__":
    logs.configure("swarm", "error")
    Worker().run()
    import os

    os._exit(0)
