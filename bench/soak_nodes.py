"""Node processes of the soak test, on loopback addresses of their own."""

import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

# Derived from the process id, so that several soak tests can run at once.
NETWORK = f"127.{64 + os.getpid() // 250 % 128}.{os.getpid() % 250}"
CONTROL_IPS = tuple(f"{NETWORK}.{number}" for number in (1, 2, 3))
ENTRY_IPS = tuple(f"{NETWORK}.{number}" for number in (11, 12))
# Shortest time between the start of a replacement control VM and the next loss of one.
CATCH_UP_S = 2.0
CONTROL_PORT, FRONT_PORT, READY_PORT = 8000, 8005, 8002
PORT_RANGE = (7700, 7703)
STARTER = "import sys; from merlinthread.platform import main; sys.exit(main.main(sys.argv[1:]))"
ROOT = pathlib.Path(__file__).parent.parent


@dataclasses.dataclass(slots=True)
class Node:
    """A node process, with its settings, log and data in `folder`.

    `control_ips` are the IPs of the control VMs, a list shared by all nodes. `source` is the source
    folder of the build to run, effective from the next start.
    """

    folder: pathlib.Path
    name: str
    role: str
    ip: str
    control_ips: list[str]
    is_first_start: bool = True
    source: pathlib.Path = ROOT / "src"
    # The program that starts the node.
    starter: str = STARTER
    process: subprocess.Popen | None = None
    # Additional settings of this node.
    extra_settings: dict = dataclasses.field(default_factory=dict)
    # Monotonic times of starts and signals.
    interruptions: list[float] = dataclasses.field(default_factory=list)
    # Ids of the processes that were told to end.
    ended_pids: set[int] = dataclasses.field(default_factory=set)

    def start(self) -> None:
        """Start or restart the process."""
        self.interruptions.append(time.monotonic())
        path = self.write_settings()
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-c", self.starter, self.role],
                env=os.environ | {"MERLINTHREAD_CONFIG": str(path), "PYTHONPATH": str(self.source)},
                stdout=log,
                stderr=log,
                cwd=ROOT,
            )
        self.is_first_start = False

    def write_settings(self) -> pathlib.Path:
        """Write the current settings, which a running process reloads by itself."""
        path = self.folder / f"{self.name}.json"
        scratch = path.with_suffix(".new")
        scratch.write_text(json.dumps(self.settings()))
        scratch.replace(path)
        return path

    def settings(self) -> dict:
        """Return the settings in the platform's format."""
        return {
            "node_name": self.name,
            "ip": self.ip,
            "zone": "zone-a",
            "zones": {"zone-a": "region"},
            "port_range": PORT_RANGE,
            "seeds": [f"{ip}:{CONTROL_PORT}" for ip in self.control_ips],
            "listen": {
                "control": f"{self.ip}:{CONTROL_PORT}",
                "front": f"{self.ip}:{FRONT_PORT}",
                "ready": f"{self.ip}:{READY_PORT}",
            },
            "bootstrap": self.is_first_start,
            "data_dir": str(self.folder / self.name),
            "heartbeat_ms": 400,
            "bounds": {"grace_s": 4, "catch_up_s": CATCH_UP_S},
            **self.extra_settings,
        }

    def signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            if number != signal.SIGCONT:
                self.interruptions.append(time.monotonic())
            if number in (signal.SIGKILL, signal.SIGTERM):
                self.ended_pids.add(self.process.pid)
            self.process.send_signal(number)


def make_configuration(version: int, keys: tuple[str, ...] = ("key-1",)) -> dict:
    """Return a configuration; client account N has the Nth of `keys`."""
    routes = [
        {
            "name": f"r-{service}",
            "hostname": "h.example",
            "path_prefix": f"/{service}/",
            "route_type": kind,
            "timeout_ms": 3000,
            "target_latency_ms": 400,
            "priority": 1,
            "service": service,
            "max_attempts": 2,
            "resumable": kind == "streaming",
            "target_gap_ms": 200,
        }
        for service, kind in (("safe", "safe"), ("unsafe", "unsafe"), ("model", "streaming"))
    ]
    engine = {"slots": 8, "models": [{"name": "m"}], "layers": 16, "read_per_s": 100000}
    services = [{"name": "safe"}, {"name": "unsafe"}, {"name": "model", "engine": engine}]
    tenants = [
        {"name": f"account-{number}", "api_keys": [key]} for number, key in enumerate(keys, 1)
    ]
    return {"version": version, "routes": routes, "services": services, "tenants": tenants}
