"""Worker process of the rollout benchmark: the weight managers of many agents.

Reads commands as JSON lines from standard input and replies on standard output. The agents use the
product's `WeightManager`, chunk store and bus, but no engines or HTTP. They send no heartbeats: the
benchmark passes each agent its peers.
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

RPC_WORKERS = 6
UNREACHABLE = "127.0.0.1:1"


class CorruptingChunkServer(chunk_server.ChunkServer):
    """A chunk server that corrupts a random share of its chunks."""

    corrupt_share = 0.0

    def handle_message(self, message: object) -> object:
        """Handle a message of another agent, and corrupt the reply by chance."""
        reply = super().handle_message(message)
        if isinstance(reply, messages.ChunkReply) and reply.data:
            if random.random() < self.corrupt_share:
                reply.data = bytes([reply.data[0] ^ 1]) + reply.data[1:]
        return reply


class SwarmAgent:
    """An agent: its weight manager and chunk server."""

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
        self.chunk_server = CorruptingChunkServer(self.weights)
        self.chunk_server.corrupt_share = config.get("corrupt_share", 0.0)
        self.rpc_server = bus.RpcServer(
            checked.bus, context.codec, self.chunk_server.handle_message, workers=RPC_WORKERS
        )
        self.rpc_server.start()
        self.weights.start()
        self.completed_at: dict[str, float] = {}
        self.is_killed = False

    def kill(self) -> None:
        """Stop responding and downloading at once."""
        self.is_killed = True
        self.rpc_server.socket.close()
        with self.weights.lock:
            self.weights.stopping = True


class Worker:
    """Executes commands; `on_NAME` handles the command with `NAME` in its field `do`."""

    def __init__(self) -> None:
        self.agents: dict[str, SwarmAgent] = {}

    def on_start(self, command: dict) -> dict:
        """Start agents."""
        for config in command["agents"]:
            self.agents[config["settings"]["name"]] = SwarmAgent(config)
        return {"started": len(self.agents)}

    def on_want(self, command: dict) -> dict:
        """Start to fetch a manifest, or change the peers.

        Peers across the border of the zone `partitioned_zone` get an unreachable address.
        """
        partitioned_zone = command.get("cut", "")
        for agent in self.agents.values():
            if agent.is_killed:
                continue
            zone = agent.weights.context.settings.availability_zone
            peers = []
            for name, peer_zone, _, address in command["peers"]:
                if name == agent.weights.name:
                    continue
                is_reachable = (peer_zone == partitioned_zone) == (zone == partitioned_zone)
                distance = fetch.SAME_ZONE if peer_zone == zone else fetch.SAME_REGION
                peers.append(fetch.Peer(name, address if is_reachable else UNREACHABLE, distance))
            agent.weights.set_wanted({command["manifest"]: peers})
        return {}

    def on_kill(self, command: dict) -> dict:
        """Kill agents."""
        for name in command["names"]:
            if name in self.agents:
                self.agents[name].kill()
        return {}

    def on_poll(self, command: dict) -> dict:
        """Return the monotonic times at which agents completed manifests, and resource usage."""
        for agent in self.agents.values():
            for digest in agent.weights.complete_manifests():
                agent.completed_at.setdefault(digest, time.monotonic())
        return {
            "done": {name: agent.completed_at for name, agent in self.agents.items()},
            "cpu_s": time.process_time(),
            "tally": self.fetch_stats(),
            "rss_mb": rss_mb(),
        }

    def fetch_stats(self) -> dict[str, int]:
        """Return the fetch statistics, summed over all agents and downloads."""
        total: collections.Counter[str] = collections.Counter()
        for agent in self.agents.values():
            for download in agent.weights.downloads.values():
                if download.plan is not None:
                    total.update(dataclasses.asdict(download.plan.stats))
        return dict(total)

    def run(self) -> None:
        """Execute commands until the end of input."""
        for line in sys.stdin:
            command = json.loads(line)
            reply = getattr(self, f"on_{command['do']}")(command)
            print(json.dumps(reply), flush=True)


def rss_mb() -> float:
    """Return this process's resident memory in MB."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096 / 1e6


if __name__ == "__main__":
    logs.configure("swarm", "error")
    Worker().run()
    import os

    os._exit(0)
