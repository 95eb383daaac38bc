"""Test fleet of entries, and of engines with real agents, on loopback and without control VMs."""

import asyncio
import json
import random

from merlinthread.coordination import incarnations, instances
from merlinthread.nodes import agent_node, node_settings
from merlinthread.platform import bodies, dialect
from stand_ins import fleet_worker
from tests import fleet_nodes, single_entry_fleet

COLD_PER_S = 18
BOUNDS = node_settings.Bounds(cold_overage=1.5, cold_slack=5.0)
BOUND = 32
OBJECTIVE_MS = 400


class ColdFleet:
    """Entries and engines of the service "model"; the test says which engines are cold."""

    def __init__(self, entries: int, engines: int) -> None:
        self.agent_port, self.entry_port = fleet_nodes.free_port(), fleet_nodes.free_port()
        self.engines = [fleet_worker.Worker(f"i-{number}", "m") for number in range(engines)]
        self.agents: dict[int, agent_node.AgentNode] = {}
        self.entries = [self.make_entry(number) for number in range(entries)]
        self.rng = random.Random(3)
        self.sequence = 0
        self.cold_s = dict.fromkeys(range(engines), 0.0)
        self.statuses: list[int] = []
        self.durations_s: list[float] = []
        self.pending: set[asyncio.Task] = set()
        self.request_count = 0

    def make_entry(self, number: int) -> fleet_nodes.Entry:
        settings = fleet_nodes.make_settings(
            f"entry-{number}",
            f"{fleet_nodes.NETWORK}.{61 + number}",
            agent_port=self.agent_port,
            entry_port=self.entry_port,
            bounds=BOUNDS,
        )
        return fleet_nodes.Entry(settings)

    async def start(self) -> "ColdFleet":
        for number, engine in enumerate(self.engines):
            engine.behaviour.events = 1
            await engine.start(self.engine_ip(number))
            await self.start_agent(number)
            # It has run for long, so that it tells each entry its number.
            self.agents[number].grants.entries.learned_at = 0.0
        for entry in self.entries:
            await entry.start()
            await entry.node.datagrams.listen(entry.node.settings.ip, self.entry_port)
            entry.apply_update(self.configuration(), {})
        self.announce()
        # Agents reply to queries once they have a report of their engine.
        await fleet_nodes.until(
            lambda: all(agent.last_report is not None for agent in self.agents.values())
        )
        return self

    def engine_ip(self, number: int) -> str:
        return f"{fleet_nodes.NETWORK}.{21 + number}"

    def configuration(self) -> dict:
        body = fleet_nodes.configuration(1, [], "model")
        body["services"][0] |= {"cold_per_s": COLD_PER_S, "cold_start_s": 20}
        body["services"][0]["engine"]["slots"] = 12
        body["routes"][0]["target_latency_ms"] = OBJECTIVE_MS
        return body

    async def start_agent(self, number: int) -> None:
        settings = fleet_nodes.make_settings(
            f"agent-{number}",
            self.engine_ip(number),
            agent_port=self.agent_port,
            engine=self.engines[number].address,
            engine_service="model",
            bounds=BOUNDS,
        )
        agent = agent_node.AgentNode(
            settings,
            dialect.PlatformDialect(),
            fleet_nodes.make_codec(),
            asyncio.get_running_loop().time,
            random.Random(number),
        )
        await agent.start()
        holder = fleet_nodes.Entry()
        holder.node.watcher = agent.watcher
        holder.apply_update(self.configuration(), {})
        self.agents[number] = agent

    def stop_agent(self, number: int) -> None:
        """Stop an agent abruptly, as if its process was killed."""
        agent = self.agents.pop(number)
        for task in agent.tasks:
            task.cancel()
        agent.rpc_server.server.listener.close()
        agent.datagrams.transport.abort()

    def announce(self) -> None:
        """Send the entries heartbeats of all engines, with how long each is still cold."""
        self.sequence += 1
        for entry in self.entries:
            for number, engine in enumerate(self.engines):
                body = {
                    "service": "model",
                    "address": engine.address,
                    "zone": "zone-a",
                    "slots": 12,
                    "state": "ready",
                    "sequence": 10 + self.sequence,
                    "cold_remaining_ms": 1000 * self.cold_s[number],
                    "models": [{"name": "m", "version": 1}],
                }
                incarnation = incarnations.parse(engine.instance)
                if incarnation.born_ms:
                    body["born"] = incarnation.born_ms
                heartbeat = bodies.parse_heartbeat(incarnation.id, json.dumps(body).encode())
                watcher = entry.node.watcher
                watcher.instance_table.apply_instance(
                    instances.Instance(heartbeat), entry.node.clock()
                )
            entry.node.apply_fleet_update()

    async def send_one(self) -> None:
        """Send a request to a random entry; record the status, 0 without a response."""
        self.request_count += 1
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        request_id = f"id-{self.request_count}"
        entry = self.rng.choice(self.entries)
        try:
            headers = single_entry_fleet.STREAM
            status = (await entry.request("/model/x", request_id, **headers)).status
        except Exception:
            status = 0
        self.statuses.append(status)
        self.durations_s.append(loop.time() - started_at)

    async def send_at_rate(self, per_s: float, seconds: float) -> None:
        """Send requests at random times, `per_s` a second in the mean; wait for the responses."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            await asyncio.sleep(self.rng.expovariate(per_s))
            task = asyncio.create_task(self.send_one())
            self.pending.add(task)
            task.add_done_callback(self.pending.discard)
        while self.pending:
            await asyncio.wait(list(self.pending))

    async def until_permits_are_unused(self) -> None:
        """Wait until each agent would grant a burst, some time after its start."""
        limiters = [agent.grants.limiter for agent in self.agents.values()]
        now = asyncio.get_running_loop().time
        await fleet_nodes.until(lambda: all(each.due_at <= now() for each in limiters))

    def max_in_a_second(self, number: int) -> int:
        """Return the most requests that an engine got in any second."""
        times = [run.at for run in self.engines[number].runs]
        return max((sum(at <= t < at + 1.0 for t in times) for at in times), default=0)

    async def stop(self) -> None:
        for number in list(self.agents):
            self.stop_agent(number)
        for entry in self.entries:
            entry.node.server.stop_accepting()
            entry.node.datagrams.transport.abort()
        for engine in self.engines:
            engine.stop()
