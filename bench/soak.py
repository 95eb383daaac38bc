"""Randomized soak test: nodes as processes under load and faults, with invariants checked.

`python -m bench soak --seed N --seconds S --seeds COUNT`. Control VMs and entries are processes of
their own; clients, workers and the operator run in this process. The seed determines faults and
requests, but not their timing. The faults are in `bench.soak_faults`; they do not cover links
between nodes, clocks, disks or agents.
"""

import argparse
import asyncio
import collections
import dataclasses
import json
import pathlib
import random
import shutil
import tempfile
from collections.abc import Callable

from bench import measure, soak_faults, soak_fleet, soak_limits, soak_nodes, soak_signals
from merlinthread import errors
from merlinthread.transport import http_messages
from stand_ins import fleet_worker

NOT_RUN_STATUSES = (408, 421, 429, 503)
APPLY_MAX_S = 2.0


@dataclasses.dataclass(slots=True)
class SoakResult:
    """Counts of a run, and the invariants that it violated."""

    sent: int = 0
    answered: int = 0
    refused: int = 0
    failed: int = 0
    acknowledged: int = 0
    reads: int = 0
    faults: dict[str, int] = dataclasses.field(default_factory=dict)
    violations: list[str] = dataclasses.field(default_factory=list)
    # Further counts of a derived run.
    figures: dict[str, float] = dataclasses.field(default_factory=dict)


class Soak:
    """A run with one seed."""

    def __init__(
        self, seed: int, seconds: float, folder: pathlib.Path, kinds: tuple[str, ...] = ()
    ) -> None:
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.fleet = self.make_fleet(folder)
        self.fault_injector = self.make_fault_injector(kinds)
        self.sequences: collections.Counter = collections.Counter()
        self.soak_result = SoakResult()
        self.version = 0
        self.acknowledged: list[tuple[float, int]] = []
        self.refused_unsafe: set[str] = set()
        self.request_count = 0
        self.signal_checker = soak_signals.SignalChecker(self.fleet)
        self.limit_checker = soak_limits.LimitChecker(self.signal_checker)
        self.fault_injector.limit_checker = self.limit_checker

    def make_fleet(self, folder: pathlib.Path) -> soak_fleet.SoakFleet:
        """Return the fleet of the run, which is not started."""
        return soak_fleet.SoakFleet(folder)

    def make_fault_injector(self, kinds: tuple[str, ...]) -> soak_faults.FaultInjector:
        """Return the injector of the run's faults."""
        return soak_faults.FaultInjector(self.fleet, self.rng, kinds)

    async def send_heartbeats(self) -> None:
        """Send heartbeats of all workers until cancelled."""
        while True:
            await asyncio.gather(
                *(self.send_heartbeat(worker) for worker in list(self.fleet.workers))
            )
            await asyncio.sleep(0.3)

    async def send_heartbeat(self, worker: fleet_worker.Worker, ip: str = "") -> bool:
        """Send one worker's heartbeat to a control VM, by default a random one.

        Return whether it was acknowledged.
        """
        self.sequences[worker.instance] += 1
        body = self.heartbeat_body(worker)
        status, _ = await self.call_control("PUT", f"/instances/{worker.instance}", body, ip)
        return status == 200

    def heartbeat_body(self, worker: fleet_worker.Worker) -> dict:
        """Return the body of a worker's next heartbeat."""
        return {
            "service": self.fleet.workers.get(worker, "safe"),
            "address": worker.address,
            "zone": worker.zone,
            "slots": 8,
            "state": "ready",
            "sequence": self.sequences[worker.instance],
            "models": [{"name": "m", "version": worker.version}] if worker.model else [],
        }

    async def call_control(
        self, method: str, path: str, body: dict | None = None, ip: str = ""
    ) -> tuple[int, bytes]:
        """Call a control VM, by default a random one.

        Return its status and body, or status 0 if the call fails.
        """
        data = json.dumps(body).encode() if body is not None else b""
        headers = [(b"host", b"c"), (b"content-length", b"%d" % len(data))]
        request = http_messages.Request(method.encode(), path.encode(), headers, data)
        address = f"{ip or self.rng.choice(self.fleet.control_ips)}:{soak_nodes.CONTROL_PORT}"
        try:
            response = await self.fleet.pool.request(address, request, 1.0)
        except errors.MerlinthreadError:
            return 0, b""
        return response.status, response.body

    async def run_operator(self) -> None:
        """Apply one configuration after another and read it back, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self.version += self.rng.randrange(1, 4)
            body = self.make_configuration(self.version)
            for _ in range(self.rng.randrange(1, 12)):
                status, _ = await self.call_control("PUT", "/config", body)
                if 400 <= status < 500:
                    self.record_violation(
                        f"a valid configuration was rejected with status {status}"
                    )
                if status == 200:
                    self.acknowledged.append((loop.time(), self.version))
                    self.soak_result.acknowledged += 1
                    break
                await asyncio.sleep(0.1)
            await self.read_configuration()
            await asyncio.sleep(self.rng.uniform(0.0, 0.3))

    def make_configuration(self, version: int) -> dict:
        """Return the configuration that the operator sends as `version`."""
        return soak_nodes.make_configuration(version)

    async def read_configuration(self) -> bool:
        """Read and check the configuration; return whether the read succeeded.

        It must be at least as new as any version that was acknowledged APPLY_MAX_S ago.
        """
        due_at = asyncio.get_running_loop().time() - APPLY_MAX_S
        due = max((version for at, version in self.acknowledged if at <= due_at), default=0)
        status, body = await self.call_control("GET", "/config")
        if status != 200:
            return False
        self.soak_result.reads += 1
        found = json.loads(body)
        if found["version"] < due:
            self.record_violation(f"read version {found['version']} after {due} was acknowledged")
        if found != self.make_configuration(found["version"]):
            self.record_violation(f"version {found['version']} differs from what was sent")
        return True

    async def run_clients(self) -> None:
        """Send concurrent client requests until cancelled."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.0, 0.02))
            asyncio.create_task(self.send_request(self.rng.choice(["safe", "unsafe", "model"])))

    def pick_entry(self) -> str:
        """Return the IP of the entry for a client's next request."""
        return self.rng.choice(soak_nodes.ENTRY_IPS)

    async def send_request(self, service: str, key: str = "key-1") -> bool:
        """Send a request and check its response; return whether it was served."""
        self.request_count += 1
        request_id = f"r{self.request_count}"
        self.record_request(request_id, service, key)
        headers = [
            (b"Host", b"h.example"),
            (b"X-Merlinthread-Request-Id", request_id.encode()),
            (b"X-Merlinthread-Deadline-Ms", b"2500"),
            (b"Api-Key", key.encode()),
            (b"content-length", b"0"),
        ]
        if service == "model":
            headers.append((b"X-Merlinthread-Model", b"m"))
            headers.append((b"X-Merlinthread-Token-Usage", b"100,20"))
        request = http_messages.Request(b"POST", f"/{service}/".encode(), headers)
        entry_ip = self.pick_entry()
        address = f"{entry_ip}:{soak_nodes.FRONT_PORT}"
        self.soak_result.sent += 1
        self.signal_checker.record_request(request_id, entry_ip)
        try:
            response = await self.fleet.pool.request(address, request, 4.0)
        except errors.MerlinthreadError:
            self.soak_result.failed += 1
            return False
        self.signal_checker.record_response(entry_ip, response)
        return self.check_response(service, request_id, response)

    def record_request(self, request_id: str, service: str, key: str) -> None:
        """Record what a request may do, for further checks of a derived run."""

    def check_response(
        self, service: str, request_id: str, response: http_messages.Response
    ) -> bool:
        """Record and check a response; return whether it is a success."""
        if response.status in NOT_RUN_STATUSES:
            self.soak_result.refused += 1
            if service == "unsafe":
                self.refused_unsafe.add(request_id)
            return False
        if response.status != 200:
            self.soak_result.failed += 1
            return False
        self.soak_result.answered += 1
        if service == "model":
            ids = [int(x[4:]) for x in response.body.split(b"\n") if x.startswith(b"id: ")]
            if ids != list(range(1, soak_fleet.EVENT_COUNT + 1)):
                self.record_violation(f"the stream of {request_id} has events {ids}")
        elif not response.body.endswith(f"to {request_id}".encode()):
            self.record_violation(f"{request_id} got {response.body!r}")
        return True

    def record_violation(self, text: str) -> None:
        """Record a violation of an invariant."""
        self.soak_result.violations.append(text)

    async def run(self) -> SoakResult:
        """Start the fleet, run the soak, and return its results."""
        await self.fleet.start()
        try:
            await self.run_scenario()
        finally:
            self.fleet.close()
        self.soak_result.faults = dict(self.fault_injector.injected)
        return self.soak_result

    async def run_scenario(self) -> None:
        """Run load and faults for `seconds`, wait for recovery, and check the invariants."""
        load = [
            asyncio.create_task(self.send_heartbeats()),
            asyncio.create_task(self.run_operator()),
        ]
        await self.start_nodes()
        load.append(asyncio.create_task(self.run_clients()))
        faults = asyncio.create_task(self.fault_injector.run())
        await asyncio.sleep(self.seconds)
        faults.cancel()
        await self.fault_injector.wait_until_healed()
        for node in self.fleet.nodes:
            await self.fleet.ensure_running(node)
        await self.wait_until_served("after the last fault")
        for task in load:
            task.cancel()
        self.check_invariants()

    async def start_nodes(self) -> None:
        """Start the other nodes once the control VMs are whole, and wait until they serve.

        Clients of a deployment come only then. A node that starts earlier would be told an
        incomplete list of workers.
        """
        async with asyncio.timeout(soak_fleet.START_TIMEOUT_S):
            for ip in self.fleet.control_ips:
                while (await self.call_control("GET", "/config", ip=ip))[0] != 200:
                    await asyncio.sleep(0.05)
                for worker in list(self.fleet.workers):
                    while not await self.send_heartbeat(worker, ip):
                        await asyncio.sleep(0.05)
        self.fleet.start_others()
        await self.wait_until_served("at the start")

    async def wait_until_served(self, when: str) -> None:
        """Wait until reads and requests succeed; record a violation after RECOVERY_TIMEOUT_S."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + soak_fleet.RECOVERY_TIMEOUT_S
        wanted = {"safe", "unsafe", "model"}
        has_read = False
        while (wanted or not has_read) and loop.time() < deadline:
            has_read = has_read or await self.read_configuration()
            for service in sorted(wanted):
                if await self.send_request(service):
                    wanted.discard(service)
            for node in self.fleet.nodes:
                await self.fleet.ensure_running(node)
            await asyncio.sleep(0.05)
        if wanted or not has_read:
            self.record_violation(
                f"{when}: not served within {soak_fleet.RECOVERY_TIMEOUT_S} s: {sorted(wanted)}"
            )

    def check_invariants(self) -> None:
        """Check that no unsafe request ran twice or after a refusal, and the workers' signals."""
        runs: collections.Counter = collections.Counter()
        for worker, service in self.fleet.workers.items():
            if service == "unsafe":
                runs.update(run.request_id for run in worker.runs)
        for request_id, count in runs.items():
            if count > 1:
                self.record_violation(f"{request_id} ran {count} times")
            if request_id in self.refused_unsafe:
                self.record_violation(f"{request_id} was refused as not run, but ran")
        for text in [*self.signal_checker.violations(), *self.limit_checker.violations()]:
            self.record_violation(text)


def run_seed(
    seed: int,
    seconds: float,
    keep: pathlib.Path | None = None,
    kinds: tuple[str, ...] = (),
    make_soak: Callable[..., Soak] = Soak,
) -> SoakResult:
    """Run one seed with faults of `kinds`, by default those in `soak_faults.DEFAULT_KINDS`.

    If the run violates an invariant, its logs are copied to `keep`.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        result = asyncio.run(make_soak(seed, seconds, folder, kinds).run())
        if result.violations and keep is not None:
            shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
    return result


def main(
    arguments: list[str],
    name: str = "soak",
    make_soak: Callable[..., Soak] = Soak,
    kinds: tuple[str, ...] = tuple(soak_faults.FAULTS.entries),
) -> int:
    """Run a range of seeds; return 1 if any of them violated an invariant."""
    parser = argparse.ArgumentParser(prog=f"python -m bench {name}")
    parser.add_argument("--seed", type=int, default=random.randrange(10**6))
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--keep", type=pathlib.Path, help="folder for the logs of failed seeds")
    parser.add_argument("--faults", nargs="+", choices=kinds, default=(), metavar="KIND")
    options = parser.parse_args(arguments)
    violations: dict[int, list[str]] = {}
    for seed in range(options.seed, options.seed + options.seeds):
        result = run_seed(seed, options.seconds, options.keep, tuple(options.faults), make_soak)
        print(
            f"seed {seed}: {result.answered} of {result.sent} answered, {result.refused} refused,"
            f" {result.failed} failed, {result.acknowledged} configurations, {result.reads} reads,"
            f" faults {result.faults}, {result.figures or 'no further figures'},"
            f" violations {result.violations}",
            flush=True,
        )
        if result.violations:
            violations[seed] = result.violations
    figures = {"seeds": options.seeds, "first": options.seed, "broken": violations}
    return measure.print_results(name, figures) or (1 if violations else 0)
