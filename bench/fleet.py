"""A fleet of daemons and stand-ins on loopback, each a process of its own.

Used by the demo, the benchmarks and the tests.
"""

import dataclasses
import json
import os
import pathlib
import random
import secrets
import shutil
import signal
import subprocess
import sys
import time
from typing import Any

import msgspec

from bench import processes
from merlinthread import errors
from merlinthread.protocol import signatures
from merlinthread.state import manifests
from merlinthread.transport import http_client
from stand_ins import proxy as proxies

START_TIMEOUT_S = 30.0


@dataclasses.dataclass(slots=True)
class Vm:
    """A VM of the fleet: its daemon process, settings and addresses."""

    name: str
    process: processes.Process
    settings: dict
    http: str
    bus: str


@dataclasses.dataclass(slots=True)
class Shape:
    """Size of a fleet and settings of its processes.

    `entry`, `agent` and `control` are merged into the settings of the daemons with that role.
    """

    zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c")
    regions: tuple[str, ...] = ("region-1", "region-1", "region-2")
    controls: int = 3
    entries_per_zone: int = 1
    engines_per_zone: int = 2
    services: int = 1
    engine_arguments: tuple[str, ...] = ()
    origin_bytes_per_s: float = 1e9
    link_bytes_per_s: int = 1 << 30
    agent: dict = dataclasses.field(default_factory=dict)
    entry: dict = dataclasses.field(default_factory=dict)
    control: dict = dataclasses.field(default_factory=dict)
    log_level: str = "info"
    with_store_folder: bool = False
    through_proxy: bool = False


class Fleet:
    """All processes of a demo, benchmark or test; a context manager that stops them."""

    def __init__(self, folder: pathlib.Path, shape: Shape | None = None) -> None:
        self.folder = folder
        self.shape = shape or Shape()
        self.ports = processes.Ports()
        self.processes: dict[str, processes.Process] = {}
        self.vms: dict[str, Vm] = {}
        self.proxy = proxies.Proxy()
        self.http = http_client.Client()
        self.mesh_key = secrets.token_hex(32)
        self.operators: dict[str, str] = {}
        self.origin_url = ""
        self.platform_url = ""
        self.target_urls: dict[str, str] = {}
        self.control_peers: list[dict] = []
        self.entry_buses: dict[str, list[str]] = {}
        for part in ("logs", "settings", "data", "origin/objects", "origin/manifests", "keys"):
            (folder / part).mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def start_process(self, name: str, arguments: list[str]) -> processes.Process:
        """Start a process and register it under its name."""
        process = processes.Process(name, arguments, self.folder / "logs" / f"{name}.log")
        process.start()
        self.processes[name] = process
        return process

    def add_stand_in(self, module: str, name: str, *arguments: str) -> str:
        """Start a stand-in and return its URL."""
        port = self.ports.allocate()
        self.start_process(name, ["-m", f"stand_ins.{module}", "--port", str(port), *arguments])
        return f"http://127.0.0.1:{port}"

    def add_operator(self, name: str) -> pathlib.Path:
        """Generate an operator's key pair and return the path of the private key."""
        path = self.folder / "keys" / f"{name}.key"
        path.write_text(signatures.generate_private_key())
        self.operators[name] = signatures.derive_public_key(path.read_text())
        return path

    def proxied_address(self, name: str, upstream: str) -> str:
        """Return the address of a new proxy link to `upstream`, or `upstream` without proxies."""
        if not self.shape.through_proxy:
            return upstream
        port = self.ports.allocate()
        self.proxy.add(name, port, int(upstream.rpartition(":")[2]))
        return f"127.0.0.1:{port}"

    def free_address(self) -> str:
        """Return an unused loopback address."""
        return f"127.0.0.1:{self.ports.allocate()}"

    def start(self) -> None:
        """Start all processes and wait until they are ready; stop them if that fails."""
        try:
            self.start_all()
        except BaseException:
            self.close()
            raise

    def start_all(self) -> None:
        """Start all processes and wait until all control VMs, entries and agents take part."""
        if not self.operators:
            self.add_operator("ana")
        self.start_stand_ins()
        self.assign_control_addresses()
        for number in range(self.shape.controls):
            self.add_control(number)
        for zone in self.shape.zones:
            self.entry_buses[zone] = [
                self.free_address() for _ in range(self.shape.entries_per_zone)
            ]
        for zone in self.shape.zones:
            for number in range(self.shape.entries_per_zone):
                self.add_entry(zone, number)
        for zone in self.shape.zones:
            for number in range(self.shape.engines_per_zone):
                self.add_engine(zone, number)
        for number in range(self.shape.services):
            self.add_service(number)
        processes.wait_for(
            "all control VMs to follow a leader", self.is_replicated, START_TIMEOUT_S
        )
        processes.wait_for("all entries to listen", self.are_entries_listening, START_TIMEOUT_S)
        expected = len(self.shape.zones) * self.shape.engines_per_zone + self.shape.services
        processes.wait_for(
            f"{expected} agents",
            lambda: len(self.status().get("agents", [])) >= expected,
            START_TIMEOUT_S,
        )

    def start_stand_ins(self) -> None:
        """Start the stand-ins for the origin, the weight store and the platform."""
        self.origin_url = self.add_stand_in(
            "origin",
            "origin",
            "--folder",
            str(self.folder / "origin"),
            "--bytes-per-s",
            str(self.shape.origin_bytes_per_s),
        )
        self.platform_url = self.add_stand_in("platform", "platform")

    def region_of(self, zone: str) -> str:
        """Return the region of a zone."""
        return self.shape.regions[self.shape.zones.index(zone) % len(self.shape.regions)]

    def assign_control_addresses(self) -> None:
        """Assign names and addresses to the control VMs."""
        self.control_peers = [
            {
                "name": f"control-{number}",
                "log_bus": self.free_address(),
                "bus": self.free_address(),
            }
            for number in range(self.shape.controls)
        ]

    def common_settings(self, name: str, zone: str, role: str) -> dict:
        """Return the settings that all roles share."""
        return {
            "name": name,
            "availability_zone": zone,
            "region": self.region_of(zone),
            "roles": [role],
            "http": {"address": "127.0.0.1", "port": self.ports.allocate()},
            "bus": self.free_address(),
            "mesh_keys": [self.mesh_key],
            "log": {"level": self.shape.log_level},
        }

    def add_daemon(self, settings: dict, process_name: str = "") -> Vm:
        """Write the settings of a daemon to a file and start it."""
        name = process_name or settings["name"]
        path = self.folder / "settings" / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        process = self.start_process(name, ["-m", "merlinthread.daemon", "--config", str(path)])
        http = f"127.0.0.1:{settings['http']['port']}"
        self.vms[name] = Vm(name, process, settings, http, settings["bus"])
        return self.vms[name]

    def add_control(self, number: int, **changed: Any) -> Vm:
        """Start a control VM; `changed` overrides settings of its role."""
        peer = self.control_peers[number]
        zone = self.shape.zones[number % len(self.shape.zones)]
        settings = self.common_settings(peer["name"], zone, "control")
        settings["bus"] = peer["bus"]
        settings["control"] = {
            "data_folder": str(self.folder / "data" / peer["name"]),
            "members": [
                (
                    dict(
                        other,
                        log_bus=self.proxied_address(
                            f"{peer['name']}>{other['name']}", other["log_bus"]
                        ),
                    )
                    if other is not peer
                    else peer
                )
                for other in self.control_peers
            ],
            "operators": [
                {"name": name, "public_key": key} for name, key in self.operators.items()
            ],
            **self.shape.control,
            **changed,
        }
        return self.add_daemon(settings)

    def replace_control(self, lost: str) -> Vm:
        """Start a new control VM under a new name as the replacement for a lost one."""
        number = len(self.control_peers)
        self.control_peers.append(
            {
                "name": f"control-{number}",
                "log_bus": self.free_address(),
                "bus": self.free_address(),
            }
        )
        return self.add_control(number, replaces=lost)

    def remove_data_folder(self, name: str) -> None:
        """Delete a control VM's data folder, as if its disk had been lost."""
        shutil.rmtree(self.folder / "data" / name)

    def add_entry(self, zone: str, number: int) -> Vm:
        """Start an entry VM."""
        name = f"entry-{zone}-{number}"
        settings = self.common_settings(name, zone, "entry")
        settings["bus"] = self.entry_buses[zone][number]
        others = [
            self.proxied_address(f"{name}>{bus}", bus)
            for buses in self.entry_buses.values()
            for bus in buses
            if bus != settings["bus"]
        ]
        settings["entry"] = {
            "controls": [
                self.proxied_address(f"{name}>{peer['name']}", peer["bus"])
                for peer in self.control_peers
            ],
            "entries": others,
            "platform_url": self.platform_url,
            **self.shape.entry,
        }
        return self.add_daemon(settings)

    def add_agent(self, name: str, zone: str, agent: dict) -> Vm:
        """Start an agent."""
        settings = self.common_settings(name, zone, "agent")
        settings["agent"] = {
            "entries": [
                self.proxied_address(f"{name}>{bus}", bus) for bus in self.entry_buses[zone]
            ],
            **agent,
            **self.shape.agent,
        }
        return self.add_daemon(settings)

    def add_engine(self, zone: str, number: int) -> Vm:
        """Start an engine stand-in and its agent."""
        name = f"engine-{zone}-{number}"
        url = self.add_stand_in("engine", f"{name}-target", *self.shape.engine_arguments)
        self.target_urls[name] = url
        origin = self.proxied_address(f"{name}>origin", self.origin_url.removeprefix("http://"))
        agent = {
            "target_url": url,
            "target_kind": "generate",
            "origin_url": f"http://{origin}",
            "weight_store_url": self.origin_url,
            "link_bytes_per_s": self.shape.link_bytes_per_s,
        }
        if self.shape.with_store_folder:
            agent["store_folder"] = str(self.folder / "data" / name)
        return self.add_agent(name, zone, agent)

    def add_service(self, number: int) -> Vm:
        """Start a service stand-in and its agent."""
        name = f"tickets-{number}"
        zone = self.shape.zones[number % len(self.shape.zones)]
        self.target_urls[name] = self.add_stand_in("service", f"{name}-target")
        return self.add_agent(
            name,
            zone,
            {
                "target_url": self.target_urls[name],
                "target_kind": "service",
                "service": "tickets",
            },
        )

    def restart(self, name: str) -> None:
        """Start a process that has exited."""
        self.processes[name].start()

    def get(self, address: str, path: str, timeout_s: float = 5.0) -> Any:
        """Return the JSON body of a GET request, or None if the request fails."""
        url = address if address.startswith("http") else f"http://{address}"
        try:
            reply = self.http.request_ok("GET", url + path, timeout_s=timeout_s)
        except errors.MerlinthreadError:
            return None
        return msgspec.json.decode(reply.body)

    def controls(self) -> list[Vm]:
        """Return the control VMs."""
        return [vm for vm in self.vms.values() if "control" in vm.settings["roles"]]

    def entries(self) -> list[Vm]:
        """Return the entry VMs."""
        return [vm for vm in self.vms.values() if "entry" in vm.settings["roles"]]

    def agents(self) -> list[Vm]:
        """Return the agent VMs."""
        return [vm for vm in self.vms.values() if "agent" in vm.settings["roles"]]

    def status(self) -> dict:
        """Return the leader's status, or an empty dict if no control VM has it."""
        for vm in self.controls():
            if vm.process.is_running() and not vm.process.is_suspended:
                found = self.get(vm.http, "/v1/status", 2.0)
                if found:
                    return found
        return {}

    def leader(self) -> Vm | None:
        """Return the control VM that leads, or None."""
        name = self.status().get("leader")
        return self.vms.get(name) if name else None

    def is_replicated(self) -> bool:
        """Return whether every control VM has the whole log of the leader."""
        members = self.status().get("members", [])
        return len(members) == len(self.controls()) and not any(
            member["entries_behind"] for member in members
        )

    def are_entries_listening(self) -> bool:
        """Return whether every entry accepts connections."""
        try:
            return all(
                self.http.request("GET", f"http://{vm.http}/metrics").status == 200
                for vm in self.entries()
            )
        except errors.MerlinthreadError:
            return False

    def serving_counts(self, model: str) -> dict[str, int]:
        """Return the number of running engines that serve each manifest of a model."""
        counts: dict[str, int] = {}
        for name, url in self.target_urls.items():
            if name.startswith("engine") and self.processes[f"{name}-target"].is_running():
                found = (self.get(url, "/v1/status") or {}).get("models", {})
                if model in found:
                    counts[found[model]] = counts.get(found[model], 0) + 1
        return counts

    def publish(self, name: str, size_bytes: int, chunk_bytes: int, seed: int = 0) -> str:
        """Store an object of random bytes at the origin and return its manifest's digest."""
        path = self.folder / "origin" / "objects" / name
        path.write_bytes(random.Random(f"{name} {seed}").randbytes(size_bytes))
        manifest = manifests.from_file(path, name, chunk_bytes)
        digest = manifests.digest_of(manifest)
        (self.folder / "origin" / "manifests" / digest).write_bytes(manifests.encode(manifest))
        return digest

    def write_bundle(self, bundle: dict) -> pathlib.Path:
        """Write a bundle to a file and return its path."""
        path = self.folder / f"bundle-{bundle['version']}.json"
        path.write_text(json.dumps(bundle, indent=2))
        return path

    def run_command(
        self, *arguments: str, timeout_s: float = 120.0, shows_output: bool = False
    ) -> subprocess.CompletedProcess:
        """Run the operators' command line and return the completed process.

        With `shows_output`, its output goes to this process's output instead of being captured.
        """
        controls = ",".join(vm.http for vm in self.controls())
        return subprocess.run(
            [sys.executable, "-m", "merlinthread.cli.main", *arguments],
            capture_output=not shows_output,
            text=True,
            timeout=timeout_s,
            env=dict(os.environ, MERLINTHREAD_CONTROLS=controls),
        )

    def run_json_command(self, *arguments: str, timeout_s: float = 120.0) -> dict:
        """Run the operators' command line with --json and return the object that it prints.

        Raises RuntimeError if the command fails.
        """
        completed = self.run_command(*arguments, "--json", timeout_s=timeout_s)
        if completed.returncode:
            raise RuntimeError(
                f"merlinthread {' '.join(arguments)}: {completed.stdout}{completed.stderr}"
            )
        return json.loads(completed.stdout.splitlines()[0])

    def roll(self, bundle: dict, wait: bool = True) -> dict:
        """Propose, sign and roll a bundle as operator ana, with the command line."""
        version = str(bundle["version"])
        key = str(self.folder / "keys" / "ana.key")
        self.run_json_command("bundle", "propose", str(self.write_bundle(bundle)), "-o", "ana")
        self.run_json_command("bundle", "sign", version, "-o", "ana", "-k", key)
        options = ["--wait"] if wait else []
        return self.run_json_command("bundle", "roll", version, "-o", "ana", *options)

    def kill(self) -> None:
        """Kill all processes."""
        for process in self.processes.values():
            process.signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait(5)
        self.proxy.close()

    def close(self) -> None:
        """Terminate all processes; kill those that have not exited after 6 s."""
        for process in self.processes.values():
            process.stop()
        deadline = time.monotonic() + 6
        for process in self.processes.values():
            if process.wait(max(0.1, deadline - time.monotonic())) is None:
                process.signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait(5)
        self.proxy.close()


def simple_bundle(version: int, models: dict[str, tuple[str, int]], **fields: Any) -> dict:
    """Return a bundle with two groups and the given models.

    `models` maps a name to the digest of its manifest and its share in percent. `fields` are added
    to the bundle.
    """
    return {
        "version": version,
        "models": [
            {"name": name, "version": f"v{version}", "manifest": digest, "share_percent": share}
            for name, (digest, share) in models.items()
        ],
        "groups": [
            {"name": "solvers", "share_percent": 60, "accounts": ["a1", "a2"], "priority": 0},
            {"name": "crews", "share_percent": 40, "accounts": ["b1"]},
        ],
        "services": [{"name": "tickets", "repeatable": ["/lookup"]}],
        **fields,
    }
