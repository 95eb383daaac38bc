"""Shared parts of the scripts of the second review: nodes as processes, stand-ins, a record.

The nodes are started with the commands of deploy/system.toml. The stand-ins (workers, clients, the
operator, links that can be cut) use the standard library only and run in the script's process.
"""

import asyncio
import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
NETWORK = f"127.{200 + os.getpid() // 250 % 50}.{os.getpid() % 250 + 1}"
CONTROL_PORT, FRONT_PORT, READY_PORT = 8000, 8005, 8002
BEAT_S = 1.2
IS_DISTURBED = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "outer_ms": 5000, "revoke_fail_closed": False, "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 102, "recover_s": 12,
    "pass_ms": 120, "retry_after_s": 0, "version_ms": 8000, "version_all_ms": 0,
}  # fmt: skip
ZONES = {"kgl-a": "rw-central", "dub-b": "eu-west", "nbo-c": "af-east"}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
             "chunks"]  # fmt: skip


class CannotRunError(Exception):
    """The case could not be set up; the script exits with 2."""


class Record:
    """The lines of record.txt, each with the time since the start."""

    def __init__(self, folder):
        self.started_at = time.monotonic()
        self.file = open(folder / "record.txt", "w")

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, text):
        self.file.write(f"{self.now():8.3f} s  {text}\n")
        self.file.flush()


class Node:
    """One process of the system, with its settings in a temporary folder."""

    def __init__(self, fleet, role, name, ip, zone, **changes):
        self.fleet, self.role, self.name, self.ip, self.zone = fleet, role, name, ip, zone
        self.changes = changes
        self.process = None
        self.is_first_start = True

    def settings(self):
        machine = {"entry": "front", "agent": "side", "control": "core"}[self.role]
        listen = {
            "entry": {"front": f"{self.ip}:{FRONT_PORT}", "ready": f"{self.ip}:{READY_PORT}"},
            "control": {"control": f"{self.ip}:{CONTROL_PORT}"},
            "agent": {"outbound": f"{self.ip}:8010", "inbound": f"{self.ip}:8011",
                      "ready": f"{self.ip}:{READY_PORT}"},
        }[self.role]  # fmt: skip
        data = self.fleet.folder / f"data-{self.name}"
        return {
            "node_name": self.name, "role": self.role, "machine_class": machine,
            "serves": [{"front": "front", "side": "side", "core": "control"}[machine]],
            "ip": self.ip, "zone": self.zone, "region": ZONES[self.zone], "zones": ZONES,
            "listen": listen, "port_range": [7700, 7715], "seeds": self.fleet.seeds,
            "bootstrap": self.is_first_start, "loss_counts": machine == "core",
            "limits": {"cpu_share": 0.645, "cores": 1, "memory_mb": 300, "max_fds": 4096,
                       "link_mbps": 1000.0, "disk_mb": 128 if machine == "core" else 0},
            "data_dir": str(data) if machine == "core" else None,
            "discovery": "registry", "entry": "vip", "heartbeat_ms": 1000 * BEAT_S,
            "contracts": CONTRACTS, "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS, "config_mode": "highest", **self.changes,
        }  # fmt: skip

    def start(self):
        path = self.fleet.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        if self.role == "control":
            (self.fleet.folder / f"data-{self.name}").mkdir(exist_ok=True)
        command = self.fleet.commands[self.role].split()
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment |= {"MERLINTHREAD_CONFIG": str(path), "PYTHONPATH": str(ROOT / "target/deps")}
        with open(self.fleet.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.is_first_start = False
        self.fleet.record.write(f"{self.name} starts, pid {self.process.pid}")

    def signal(self, number):
        self.fleet.record.write(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def log(self):
        return (self.fleet.folder / f"{self.name}.log").read_text(errors="replace")


class Fleet:
    """The nodes of a small deployment; leaving the context ends all of them."""

    def __init__(self, record, entries=2):
        self.record = record
        self.directory = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.directory.name)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.commands = {name: role["run"] for name, role in deploy["roles"].items()}
        if not (ROOT / "target/app").exists():
            raise CannotRunError("target/app is missing; run the build of the deploy file")
        zones = list(ZONES)
        self.seeds = [f"{NETWORK}.{number}:{CONTROL_PORT}" for number in (1, 2, 3)]
        self.controls = [
            Node(self, "control", f"core-{zones[i]}-1", f"{NETWORK}.{i + 1}", zones[i])
            for i in range(3)
        ]
        self.entries = [
            Node(self, "entry", f"front-{zones[i % 3]}-{i}", f"{NETWORK}.{11 + i}", zones[i % 3])
            for i in range(entries)
        ]
        self.agents = []

    def add_agent(self, number, worker_address, service, zone="kgl-a"):
        node = Node(self, "agent", f"side-{zone}-{number}", worker_address.split(":")[0], zone,
                    app=worker_address, service=service)  # fmt: skip
        self.agents.append(node)
        return node

    def nodes(self):
        return [*self.controls, *self.entries, *self.agents]

    def __enter__(self):
        for node in self.nodes():
            node.start()
        return self

    def __exit__(self, *_):
        for node in self.nodes():
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
            if node.process is not None:
                node.process.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            for node in self.nodes():
                pathlib.Path(keep).mkdir(exist_ok=True)
                (pathlib.Path(keep) / f"{node.name}.log").write_text(node.log())
        self.directory.cleanup()


# HTTP


class Message:
    """A request or response that was read."""

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    @property
    def status(self):
        return int(self.first.split()[1])


async def read_head(reader):
    """Return the first line and the headers of a message; raise EOFError at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_message(reader):
    """Read a whole message with a length or in chunks."""
    first, headers = await read_head(reader)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return Message(first, headers, body)
    return Message(first, headers, await reader.readexactly(int(headers.get("content-length", 0))))


def encode(first, headers, body=b""):
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call(address, method, path, body=None, headers=None, timeout_s=1.0):
    """Send one request on a new connection and return the response."""
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    fields = {"Host": address, "Content-Type": "application/json", **(headers or {})}
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(encode(f"{method} {path} HTTP/1.1", fields, data))
            return await read_message(reader)
        finally:
            writer.transport.abort()


class Operator:
    """Sends changes to the control addresses in turn until one acknowledges them."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.turn = itertools.count()

    async def send(self, method, path, body=None, within_s=15.0):
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            address = self.fleet.seeds[next(self.turn) % 3]
            try:
                response = await call(address, method, path, body)
            except (OSError, EOFError, TimeoutError) as error:
                response = None
                reason = repr(error)
            if response is not None:
                reason = str(response.status)
                if response.status == 200:
                    self.fleet.record.write(f"operator: {method} {path} acknowledged by {address}")
                    return response
            self.fleet.record.write(f"operator: {method} {path} to {address}: {reason}")
            await asyncio.sleep(0.3)
        raise CannotRunError(f"{method} {path} was not acknowledged")


async def until_ready(fleet, within_s=20.0):
    """Wait until all entries call themselves ready."""
    until = time.monotonic() + within_s
    for node in fleet.entries:
        while True:
            try:
                response = await call(f"{node.ip}:{READY_PORT}", "GET", "/readyz")
                if response.status == 200:
                    break
            except (OSError, EOFError, TimeoutError):
                pass
            if time.monotonic() > until:
                raise CannotRunError(f"{node.name} is not ready")
            await asyncio.sleep(0.2)


KEY = "jnbanfqasnmgkcuyj8pj"
HOST = "hulo84.example"


def plain_route(name, kind="safe", timeout_ms=4000, attempts=2):
    """Return a route to the plain service of the same name."""
    return {
        "name": f"r-{name}", "hostname": HOST, "path_prefix": f"/{name}/", "route_type": kind,
        "timeout_ms": timeout_ms, "target_latency_ms": 300, "priority": 2, "service": name,
        "max_attempts": attempts, "public": False,
    }  # fmt: skip


def plain_service(name):
    """Return the entry of a plain service in a configuration."""
    return {"name": name, "health_check_path": "/healthz", "max_connections": 100,
            "protocol": "h1", "tls": False}  # fmt: skip


def configuration(version, routes, services):
    """Return a configuration with one tenant."""
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "bozi300", "api_keys": [KEY], "priority": 1}],
    }  # fmt: skip


class PlainWorker:
    """A plain worker of PROTOCOL.md: every start is an incarnation with an id of its own."""

    def __init__(self, record, ip, service, zone):
        self.record, self.ip, self.service, self.zone = record, ip, service, zone
        self.address = f"{ip}:8080"
        self.instance = ""
        self.starts = self.sequence = 0
        self.server = None
        self.writers = set()
        self.runs, self.rejected, self.beats = [], [], 0

    async def start(self):
        self.starts += 1
        self.instance = f"i-{self.service}-{self.ip.split('.')[-1]}-{self.starts}"
        self.sequence = 0
        self.server = await asyncio.start_server(self.serve, self.ip, 8080)
        self.record.write(f"worker {self.instance} starts at {self.address}")

    def crash(self):
        self.record.write(f"worker {self.instance} crashes")
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                writer.write(await self.answer(request))
                await writer.drain()
        except (EOFError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request):
        id_ = request.headers.get("x-merlinthread-request-id", "")
        expected = request.headers.get("x-merlinthread-expect-instance", self.instance)
        if expected != self.instance:
            self.rejected.append(id_)
            self.record.write(f"{self.instance} rejects {id_}: it expects {expected} (421)")
            return encode("HTTP/1.1 421 Misdirected Request", {
                "X-Merlinthread-Request-Id": id_, "X-Merlinthread-Not-Run": "1"})  # fmt: skip
        self.runs.append(id_)
        self.record.write(f"{self.instance} runs {id_}")
        await asyncio.sleep(0.01)
        return encode("HTTP/1.1 200 OK", {
            "X-Merlinthread-Request-Id": id_,
            "X-Merlinthread-Response-Stamp": f"{self.instance}.{id_}"}, b"ok")  # fmt: skip

    def heartbeat(self):
        self.sequence += 1
        body = {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                "sequence": self.sequence}  # fmt: skip
        return f"/instances/{self.instance}", body

    async def beat(self, addresses):
        """Send one heartbeat: to one node after the other until one acknowledges it."""
        for address in addresses:
            path, body = self.heartbeat()
            try:
                response = await call(address, "PUT", path, body)
            except (OSError, EOFError, TimeoutError) as error:
                self.record.write(
                    f"{self.instance}: beat {body['sequence']} to {address}: {error!r}"
                )
                continue
            if response.status == 200:
                self.beats += 1
                return
            self.record.write(f"{self.instance}: beat {body['sequence']}: {response.status}")

    async def beat_forever(self, addresses):
        while True:
            await self.beat(addresses)
            await asyncio.sleep(BEAT_S)


async def request(record, entry, service, id_, method="GET", extra=None):
    record.write(f"client: {id_} for {service} is sent to {entry.name}")
    headers = {"Host": HOST, "X-Merlinthread-Request-Id": id_,
               "X-Merlinthread-Deadline-Ms": "4000", "Api-Key": KEY, **(extra or {})}  # fmt: skip
    try:
        response = await call(f"{entry.ip}:{FRONT_PORT}", method, f"/{service}/x",
                                  headers=headers, timeout_s=5.0)  # fmt: skip
        status = response.status
    except (OSError, EOFError, TimeoutError) as error:
        status = repr(error)
    record.write(f"client: {id_} for {service} by {entry.name}: {status}")
    return status


def run_case(folder, case):
    """Run `case(record)`, which returns what broke the rule or an empty list; exit with the code."""
    record = Record(pathlib.Path(folder))
    record.write("with the disruption" if IS_DISTURBED else "without the disruption (TROUBLE=0)")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record), 115.0))
    except Exception as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    for line in broken:
        record.write(f"BROKEN: {line}")
        print(f"BROKEN: {line}")
    record.write("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
