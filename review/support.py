"""Starts the project's programs with the commands of the deploy file, on loopback addresses.

The cases in this folder share this module. It needs only the standard library.
"""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
ROLES = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
CONTROL_PORT, FRONT_PORT, READY_PORT = 8000, 8005, 8002
METRICS_PORT = 9464
PORT_RANGE = [7700, 7715]
USED_PORTS = (CONTROL_PORT, FRONT_PORT, READY_PORT, METRICS_PORT, *range(7700, 7704))
# The platform starts an ended process again after a short delay.
RESTART_DELAY_S = 0.5
ZONES = {"kgl-a": "rw-central", "dub-b": "eu-west", "nbo-c": "af-east"}
# The bounds of the deployment ingoma-live.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "outer_ms": 5000,
    "revoke_fail_closed": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 102,
    "recover_s": 12,
    "pass_ms": 120,
    "retry_after_s": 0,
    "version_ms": 8000,
    "version_all_ms": 0,
}
# Class, served interface, and the limits of that class, by role.
CLASSES = {
    "entry": ("front", ["front"], {"memory_mb": 300, "max_fds": 4100, "link_mbps": 1000.0}),
    "control": ("core", ["control"], {"memory_mb": 296, "max_fds": 4096, "link_mbps": 170.0}),
    "agent": ("side", ["side"], {"memory_mb": 168, "max_fds": 1124, "link_mbps": 3.65}),
}


class CannotRunError(Exception):
    """The case can't run here; the script exits with 2."""


def free_network() -> str:
    """Return the first three parts of loopback addresses whose ports are free."""
    for _ in range(50):
        network = f"127.{random.randrange(64, 250)}.{random.randrange(1, 250)}"
        if all(is_free(f"{network}.1", port) for port in USED_PORTS):
            return network
    raise CannotRunError("no free loopback network was found")


def is_free(ip: str, port: int) -> bool:
    """Return whether a TCP socket can be bound to an address."""
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


class Record:
    """Writes `record.txt`: what was done, sent and answered, with seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.began:8.3f} s  {text}\n")
        self.file.flush()


class Node:
    """A process of one role on a machine of its own address."""

    def __init__(self, fleet: "Fleet", name: str, role: str, ip: str, zone: str, **extra) -> None:
        self.fleet = fleet
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.extra = extra
        self.is_first_start = True
        self.process: subprocess.Popen | None = None
        # How the process ended by itself, when that was noticed, and how long it had run then.
        self.ends: list[str] = []
        self.ended_at: list[float] = []
        self.ran_s: list[float] = []
        self.started_at = 0.0
        self.log = fleet.folder / f"{name}.log"
        self.data = fleet.folder / f"{name}-data"

    def settings(self) -> dict:
        """Return the settings file as the page DEPLOY.md shows it."""
        machine, serves, limits = CLASSES[self.role]
        listen = {
            "entry": {"front": f"{self.ip}:{FRONT_PORT}", "ready": f"{self.ip}:{READY_PORT}"},
            "control": {"control": f"{self.ip}:{CONTROL_PORT}"},
            "agent": {},
        }[self.role]
        return {
            "node_name": self.name,
            "role": self.role,
            "machine_class": machine,
            "serves": serves,
            "ip": self.ip,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "zones": ZONES,
            "listen": listen,
            "port_range": PORT_RANGE,
            "seeds": self.fleet.seeds,
            "bootstrap": self.is_first_start,
            "loss_counts": self.role == "control",
            "limits": {"cpu_share": 0.645, "cores": 1, "disk_mb": 128, **limits},
            "data_dir": str(self.data) if self.role == "control" else None,
            "discovery": "registry",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine"]
            + ["stream", "tenants", "chunks"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": self.fleet.bounds,
            "config_mode": "highest",
            **self.extra,
        }

    def start(self) -> None:
        """Start the process with the settings of this moment."""
        path = self.fleet.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        if self.role == "control":
            self.data.mkdir(exist_ok=True)
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["MERLINTHREAD_CONFIG"] = str(path)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                ROLES[self.role]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.is_first_start = False
        self.started_at = time.monotonic()

    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to this process, if it runs."""
        if self.is_running():
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(10)

    def lose_disk(self) -> None:
        """Empty the data folder of an ended process."""
        shutil.rmtree(self.data, ignore_errors=True)

    def disk_bytes(self) -> int:
        """Return the size of the files in the data folder."""
        return sum(path.stat().st_size for path in self.data.glob("log-*.bin"))

    def events(self, name: str) -> list[dict]:
        """Return the events of a name in the log of this process."""
        found = []
        if not self.log.exists():
            return found
        for line in self.log.read_text(encoding="utf-8", errors="replace").splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if isinstance(event, dict) and event.get("event") == name:
                found.append(event)
        return found

    def last_error(self) -> str:
        """Return the last line of the log that is no event, the end of a traceback."""
        for line in reversed(self.log.read_text(errors="replace").splitlines()):
            if line and not line.startswith("{"):
                return line
        return ""


class Fleet:
    """The nodes of a small deployment."""

    def __init__(self, record: Record, bounds: dict | None = None) -> None:
        if not (ROOT / "target" / "app").is_dir() or not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("target/ is missing; run deploy/build.sh first")
        self.record = record
        self.bounds = BOUNDS | (bounds or {})
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="merlinthread-review-"))
        self.network = free_network()
        self.nodes: dict[str, Node] = {}
        self.seeds = [f"{self.network}.{number}:{CONTROL_PORT}" for number in (1, 2, 3)]
        self.restart_at: dict[str, float] = {}

    def add(self, name: str, role: str, number: int, zone: str, **extra) -> Node:
        """Add a node at the address `number` of the network; it isn't started."""
        node = Node(self, name, role, f"{self.network}.{number}", zone, **extra)
        self.nodes[name] = node
        return node

    def add_controls(self) -> list[Node]:
        """Add one control VM in each zone."""
        return [
            self.add(f"core-{zone}-1", "control", number, zone)
            for number, zone in enumerate(ZONES, 1)
        ]

    def close(self) -> None:
        """End all processes of the fleet, by their ids, and remove the temporary folder."""
        for node in self.nodes.values():
            node.signal(signal.SIGCONT)
            node.kill()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)

    def restart_ended(self) -> None:
        """Do what the platform does: start again, after a short delay, what ended by itself."""
        now = time.monotonic()
        for node in self.nodes.values():
            if node.process is None or node.is_running():
                continue
            if node.name not in self.restart_at:
                code = node.process.returncode
                node.ends.append(f"code {code}: {node.last_error()[:160]}")
                node.ended_at.append(now)
                node.ran_s.append(now - node.started_at)
                self.record.write(f"{node.name} ended by itself, {node.ends[-1]}")
                self.restart_at[node.name] = now + RESTART_DELAY_S
            elif now >= self.restart_at[node.name]:
                del self.restart_at[node.name]
                node.start()
                self.record.write(f"{node.name} is started again by the platform")


def run_case(folder: pathlib.Path, run, bounds: dict | None = None) -> int:
    """Run a case on a new fleet; return 0 if the rule held, 1 if it was broken, 2 otherwise.

    `run(fleet)` returns whether the rule held. The processes of the fleet are ended in any case.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(folder / "record.txt")
    fleet = None
    try:
        fleet = Fleet(record, bounds)
        has_held = run(fleet)
    except CannotRunError as error:
        record.write(f"could not run: {error}")
        return 2
    except Exception as error:
        record.write(f"could not run: {error!r}")
        traceback.print_exc()
        return 2
    finally:
        if fleet is not None:
            fleet.close()
    record.write("the rule held" if has_held else "the rule was broken")
    return 0 if has_held else 1


def call(
    address: str,
    method: str,
    path: str,
    body: dict | bytes | None = None,
    headers: dict | None = None,
    timeout_s: float = 1.5,
) -> tuple[int, bytes]:
    """Send one HTTP request on a connection of its own; return status 0 if it got no answer."""
    data = json.dumps(body).encode() if isinstance(body, dict) else body
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        fields = {"Content-Type": "application/json"} if data is not None else {}
        connection.request(method, path, data, fields | (headers or {}))
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, repr(error).encode()
    finally:
        connection.close()


def wait_for(what: str, check, timeout_s: float, poll_s: float = 0.05):
    """Return the first true result of `check`; raise CannotRunError after `timeout_s`."""
    deadline = time.monotonic() + timeout_s
    while True:
        result = check()
        if result:
            return result
        if time.monotonic() >= deadline:
            raise CannotRunError(f"waited {timeout_s:.0f} s in vain for {what}")
        time.sleep(poll_s)


def route(name: str, kind: str, service: str, **extra) -> dict:
    """Return a route in the form of the page PROTOCOL.md; its prefix is the service's name."""
    return {
        "name": name,
        "hostname": "hulo84.example",
        "path_prefix": f"/{service}/",
        "route_type": kind,
        "timeout_ms": 6000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
        **extra,
    }
