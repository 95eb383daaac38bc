"""Soak test with allowed regions, evacuations of zones, and cold back ends.

`python -m bench soak_placement --seed N --seconds S --seeds COUNT`. Two regions have four zones.
Engines run beside an agent, which is a process as the other nodes are. Workers have no proxy links,
whose threads would delay arrivals.
"""

import asyncio
import functools
import math
import pathlib

from bench import (
    soak,
    soak_cold,
    soak_evacuations,
    soak_faults,
    soak_fleet,
    soak_floods,
    soak_nodes,
)
from merlinthread.transport import http_messages
from stand_ins import fleet_worker

REGIONS = {"zone-a": "home", "zone-b": "home", "zone-c": "away", "zone-d": "home"}
# Zones that are evacuated for a while, and one that stays so once it is.
CHANGING_ZONES = ("zone-b", "zone-c")
LASTING_ZONE = "zone-d"
PLACES = [
    *(("safe", zone) for zone in REGIONS),
    *(("unsafe", zone) for zone in ("zone-a", "zone-b", "zone-c")),
    *(("model", zone) for zone in ("zone-a", "zone-b")),
]
# The regions allowed by a route and by an account; none is a restriction to no region.
ROUTE_REGIONS = {"away-only": ["away"]}
ACCOUNT_REGIONS = {"key-2": ["home"]}
ENGINE_IPS = tuple(f"{soak_nodes.NETWORK}.{number}" for number in (21, 22))
REQUEST_INTERVAL_S = 0.012
# How long operators repeat a call.
CALL_S = 5.0
HOLD_S = (soak_evacuations.EVACUATE_S + 1.0, soak_evacuations.EVACUATE_S + 3.0)
COLD_S = (soak_cold.KNOWN_S + 3.0, soak_cold.KNOWN_S + 5.0)
# Events of the log with an exception that no code handles, and the header of Python's own output.
UNEXPECTED_EVENTS = ("handler_failed", "task_ended", "Traceback (most recent call last)")
KINDS = (
    "evacuate",
    "become_cold",
    "return_cold",
    "kill",
    "freeze",
    "stop",
    "stop_control",
    "kill_controls",
    "replace_control",
    "misbehave",
    "flood",
    "slow_readers",
)


class PlacementFleet(soak_fleet.SoakFleet):
    """The fleet of the soak test in several zones, with an agent beside each engine."""

    def __init__(self, folder: pathlib.Path) -> None:
        super().__init__(folder)
        self.workers = {}
        engine_ips = iter(ENGINE_IPS)
        self.engine_ips: dict[fleet_worker.Worker, str] = {}
        for service, zone in PLACES:
            worker = soak_floods.Worker(f"{service}-{zone}", "m" if service == "model" else "")
            worker.zone = zone
            self.workers[worker] = service
            if service == "model":
                self.engine_ips[worker] = ip = next(engine_ips)
                self.nodes.append(self.make_node("agent", ip))

    def make_node(self, role: str, ip: str) -> soak_nodes.Node:
        """Return a new node that is not started."""
        node = super().make_node(role, ip)
        node.extra_settings = {
            "zones": REGIONS,
            "region": REGIONS["zone-a"],
            "bounds": {
                "grace_s": 4,
                "catch_up_s": soak_nodes.CATCH_UP_S,
                "evacuate_ms": 1000 * soak_evacuations.EVACUATE_S,
                "cold_overage": soak_cold.OVERAGE,
                "cold_slack": soak_cold.SLACK,
            },
        }
        return node

    async def start_worker(self, worker: fleet_worker.Worker) -> None:
        """Start a worker; an engine gets its agent's IP and is added to the agent's settings."""
        worker.behaviour.events = soak_fleet.EVENT_COUNT
        await worker.start(self.engine_ips.get(worker, "127.0.0.1"))
        for node in self.nodes:
            if node.ip == self.engine_ips.get(worker):
                node.extra_settings |= {
                    "zone": worker.zone,
                    "app": worker.address,
                    "service": "model",
                }


class PlacementFaults(soak_faults.FaultInjector):
    """The faults of a run, with evacuations and cold back ends among them."""

    def __init__(self, run: "PlacementSoak", kinds: tuple[str, ...]) -> None:
        super().__init__(run.fleet, run.rng, kinds or KINDS)
        self.run_of_faults = run
        self.busy_zones: set[str] = set()
        self.round: list[str] = []

    def next_kind(self) -> str:
        """Return the kind of the next fault; each kind comes once in a round of random order.

        A short run on a busy machine has few faults, and independent draws would leave out kinds.
        """
        if not self.round:
            self.round = self.rng.sample(self.kinds, len(self.kinds))
        return self.round.pop()

    async def inject(self, kind: str) -> None:
        """Inject one fault; those of placement and floods are healed in the background."""
        own = {
            "evacuate": self.evacuate,
            "become_cold": self.become_cold,
            "return_cold": self.return_cold,
            "flood": functools.partial(soak_floods.flood, self.run_of_faults),
            "slow_readers": functools.partial(soak_floods.send_without_reading, self.run_of_faults),
        }
        if kind not in own:
            await super().inject(kind)
            return
        # In the background, so that other faults happen meanwhile.
        task = asyncio.create_task(own[kind]())
        self.open_faults.add(task)
        task.add_done_callback(self.open_faults.discard)

    async def evacuate(self, is_cold: bool = False) -> None:
        """Evacuate a zone and withdraw that; with `is_cold`, its workers are cold after it."""
        free = [zone for zone in CHANGING_ZONES if zone not in self.busy_zones]
        if not free:
            return
        zone = self.rng.choice(free)
        self.busy_zones.add(zone)
        run, now = self.run_of_faults, asyncio.get_running_loop().time
        evacuation = await run.zone_operator.evacuate(zone, CALL_S)
        await asyncio.sleep(self.rng.uniform(*HOLD_S))
        if is_cold:
            duration_s = self.rng.uniform(*COLD_S)
            for worker in run.fleet.workers:
                if worker.zone == zone:
                    run.cold_checker.begin(worker, now(), duration_s)
            # The zone's back ends are known to be cold when they return.
            await asyncio.sleep(soak_cold.KNOWN_S)
        await run.zone_operator.withdraw(evacuation)
        self.busy_zones.discard(zone)

    async def return_cold(self) -> None:
        """Let all back ends of a zone be cold when its evacuation is withdrawn."""
        await self.evacuate(is_cold=True)

    async def become_cold(self) -> None:
        """Let one or all back ends of a service become cold while they serve requests."""
        run, now = self.run_of_faults, asyncio.get_running_loop().time
        service = self.rng.choice(("safe", "model"))
        workers = [worker for worker, of in run.fleet.workers.items() if of == service]
        if self.rng.random() < 0.5:
            workers = [self.rng.choice(workers)]
        duration_s = self.rng.uniform(*COLD_S)
        for worker in workers:
            if not run.cold_checker.remaining_ms(worker, now()):
                run.cold_checker.begin(worker, now(), duration_s)
        await asyncio.sleep(duration_s)


class PlacementSoak(soak.Soak):
    """A run with one seed."""

    def __init__(
        self, seed: int, seconds: float, folder: pathlib.Path, kinds: tuple[str, ...] = ()
    ) -> None:
        super().__init__(seed, seconds, folder, kinds)
        self.cold_checker = soak_cold.ColdChecker()
        self.evacuation_checker = soak_evacuations.EvacuationChecker(self.signal_checker)
        self.flood_checker = soak_floods.FloodChecker(self.fleet)
        self.zone_operator = soak_evacuations.ZoneOperator(self, self.evacuation_checker)
        # The regions in which each restricted request may run.
        self.allowed: dict[str, frozenset[str]] = {}

    def make_fleet(self, folder: pathlib.Path) -> soak_fleet.SoakFleet:
        """Return the fleet of the run, which is not started."""
        return PlacementFleet(folder)

    def make_fault_injector(self, kinds: tuple[str, ...]) -> soak_faults.FaultInjector:
        """Return the injector of the run's faults."""
        return PlacementFaults(self, kinds)

    def make_configuration(self, version: int) -> dict:
        """Return the configuration that the operator sends as `version`."""
        body = soak_nodes.make_configuration(version, ("key-1", "key-2"))
        restricted = body["routes"][0] | {"name": "r-away", "path_prefix": "/away-only/"}
        body["routes"].append(restricted | {"allowed_regions": ROUTE_REGIONS["away-only"]})
        body["tenants"][1]["allowed_regions"] = ACCOUNT_REGIONS["key-2"]
        for service in body["services"]:
            if service["name"] != "unsafe":
                service |= {"cold_per_s": soak_cold.COLD_PER_S, "cold_start_s": 2.0}
        return body

    def heartbeat_body(self, worker: fleet_worker.Worker) -> dict:
        """Return the body of a worker's next heartbeat, which says how long it is cold."""
        now = asyncio.get_running_loop().time()
        # A fault may have replaced the behaviour.
        self.cold_checker.update(worker, now)
        remaining_ms = self.cold_checker.remaining_ms(worker, now)
        return super().heartbeat_body(worker) | {"cold_remaining_ms": remaining_ms}

    def record_request(self, request_id: str, service: str, key: str) -> None:
        """Record the regions in which a request may run."""
        lists = [ROUTE_REGIONS.get(service), ACCOUNT_REGIONS.get(key)]
        sets = [frozenset(regions) for regions in lists if regions is not None]
        if sets:
            self.allowed[request_id] = frozenset.intersection(*sets)

    def check_response(
        self, service: str, request_id: str, response: http_messages.Response
    ) -> bool:
        """Record and check a response; return whether it is a success."""
        self.record_status(service, request_id, response.status)
        return super().check_response(service, request_id, response)

    def record_status(self, service: str, request_id: str, status: int) -> None:
        """Record whether a response says that its request did not run."""
        if status == 503:
            self.flood_checker.unavailable.add(request_id)
        if service == "unsafe" and status in soak.NOT_RUN_STATUSES:
            self.refused_unsafe.add(request_id)

    async def run_clients(self) -> None:
        """Send concurrent client requests until cancelled."""
        services = ("safe", "safe", "unsafe", "model", "model", "away-only")
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / REQUEST_INTERVAL_S))
            key = self.rng.choice(("key-1", "key-1", "key-2"))
            asyncio.create_task(self.send_request(self.rng.choice(services), key))

    async def run_scenario(self) -> None:
        """Run the scenario of the soak test beside the readers of evacuations."""
        tasks = [
            asyncio.create_task(self.zone_operator.run_reads()),
            asyncio.create_task(self.evacuate_lastingly()),
            asyncio.create_task(self.cold_checker.watch_stalls()),
            asyncio.create_task(self.flood_checker.watch()),
        ]
        try:
            await super().run_scenario()
        finally:
            for task in tasks:
                task.cancel()

    async def run(self) -> soak.SoakResult:
        """Start the fleet, run the soak, and return its results."""
        result = await super().run()
        evacuations = self.evacuation_checker.evacuations
        result.figures = {
            "restricted requests": len(self.allowed),
            "evacuations": len(evacuations),
            "acknowledged": sum(e.acknowledged_at < math.inf for e in evacuations),
            "cold windows": self.cold_checker.counted_windows,
            "skipped cold windows": self.cold_checker.skipped_windows,
            "fullest cold window": self.cold_checker.largest,
            "floods": sum(worker.flood_count for worker in self.fleet.workers),
            "responses not read": dict(self.flood_checker.slow_statuses),
            "largest entry in MiB": self.flood_checker.largest_bytes // 2**20,
        }
        return result

    async def evacuate_lastingly(self) -> None:
        """Evacuate a zone amid the faults, until the end of the run."""
        await asyncio.sleep(self.seconds / 4)
        await self.zone_operator.evacuate(LASTING_ZONE, math.inf)

    async def wait_until_served(self, when: str) -> None:
        """Wait until reads and requests succeed, and evacuations can be read."""
        await super().wait_until_served(when)
        await self.zone_operator.wait_until_read(when)

    def check_invariants(self) -> None:
        """Check the requests that reached workers."""
        super().check_invariants()
        workers = list(self.fleet.workers)
        for text in [
            *self.evacuation_checker.violations(workers),
            *self.cold_checker.violations(),
            *self.flood_checker.violations(),
            *self.requests_outside_regions(),
            *self.unexpected_errors(),
        ]:
            self.record_violation(text)
        if not any(e.zone == LASTING_ZONE for e in self.evacuation_checker.evacuations):
            self.record_violation("the lasting evacuation was never called")

    def requests_outside_regions(self) -> list[str]:
        """Describe the requests that reached a worker outside their allowed regions."""
        found = []
        for worker in self.fleet.workers:
            for arrival in [*worker.runs, *worker.refusals]:
                name = arrival.request_id
                allowed = self.allowed.get(name)
                if allowed is not None and REGIONS[worker.zone] not in allowed:
                    found.append(f"{name} reached {worker.instance}, allowed {set(allowed)}")
        return found

    def unexpected_errors(self) -> list[str]:
        """Describe the exceptions in the nodes' logs that no code handles.

        A node that ends by one is restarted by the run, so that nothing else shows it.
        """
        found = []
        for path in sorted(self.fleet.folder.glob("*.log")):
            for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
                if any(name in line for name in UNEXPECTED_EVENTS):
                    found.append(f"{path.name}: {line[:200]}")
        return found


def main(arguments: list[str]) -> int:
    """Run a range of seeds; return 1 if any of them violated an invariant."""
    return soak.main(arguments, "soak_placement", PlacementSoak, KINDS)
