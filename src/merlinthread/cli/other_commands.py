"""The commands `status`, `keys new` and `weights manifest`."""

import pathlib
import secrets

import msgspec
from cleo.helpers import argument, option

from merlinthread import errors
from merlinthread.cli import base
from merlinthread.protocol import operator_calls, signatures
from merlinthread.state import manifests


class Status(base.OperatorCommand):
    """Show the state of the deployment."""

    name = "status"
    description = "Show the bundle in force, the control VMs, and the state of each VM."
    options = base.READ_OPTIONS

    def run_command(self) -> int:
        """Fetch the status from the leader and print it."""
        status_json = self.control_client().call("GET", "/v1/status")
        status = msgspec.json.decode(status_json, type=operator_calls.Status)
        if self.option("json"):
            self.print_result(status, [])
            return 0
        self.print_result(
            status,
            [
                ("in force", f"version {status.version}, generation {status.generation}"),
                ("digest", status.digest or "none"),
                ("paused", status.paused or "no"),
                ("leader", f"{status.leader}, term {status.term}"),
                ("data folder", f"{status.data_folder_bytes} bytes"),
            ],
        )
        self.print_table(
            ["control VM", "role", "leads", "entries behind"],
            [
                [member.name, member.role, member.leads, member.entries_behind]
                for member in status.members
            ],
        )
        self.print_table(
            ["VM", "zone", "generation", "assigned", "serving", "remark"],
            [
                [
                    agent.name,
                    agent.availability_zone,
                    agent.generation,
                    ", ".join(agent.assigned),
                    ", ".join(sorted(agent.serving)),
                    agent_remark(agent, status.generation),
                ]
                for agent in status.agents
            ],
        )
        return 0


def agent_remark(agent: operator_calls.AgentStatus, generation: int) -> str:
    """Return a remark on a VM's state, or an empty string if it is up to date."""
    if agent.trouble:
        return agent.trouble
    if agent.is_leaving:
        return "leaving"
    if agent.generation < generation:
        return "lags"
    return "" if agent.is_done else "changing"


class KeysNew(base.OperatorCommand):
    """Generate a key."""

    name = "keys new"
    description = (
        "Generate a key pair for an operator, or with --mesh a key shared by all processes."
    )
    options = [
        base.JSON_OPTION,
        option(
            "out", None, "Path of the private key file to create; it must not exist.", flag=False
        ),
        option("mesh", None, "Generate a key for the setting mesh_keys instead."),
    ]

    def run_command(self) -> int:
        """Generate the key pair, save the private key and print the public key."""
        if self.option("mesh"):
            key = secrets.token_hex(32)
            self.print_result({"mesh_key": key}, [("mesh key", key)])
            return 0
        if not self.option("out"):
            raise errors.RequestError(
                "--out: missing; pass the path of a new file for the private key"
            )
        path = pathlib.Path(self.option("out"))
        private_key = signatures.generate_private_key()
        path.touch(mode=0o600, exist_ok=False)
        path.write_text(private_key + "\n", encoding="utf-8")
        public_key = signatures.derive_public_key(private_key)
        self.print_result(
            {"public_key": public_key}, [("public key", public_key), ("private key in", path)]
        )
        return 0


class WeightsManifest(base.OperatorCommand):
    """Create the manifest of a weights file."""

    name = "weights manifest"
    description = "Create the manifest of a weights file, for the weight store and the bundle."
    arguments = [
        argument("file", "Path of the weights file."),
        argument("folder", "Folder for the manifest; the file is named after its digest."),
    ]
    options = [
        base.JSON_OPTION,
        option(
            "object", None, "Name of the object at the origin (default: the file name).", flag=False
        ),
        option("chunk-bytes", None, "Size of a chunk, in bytes.", flag=False, default="8388608"),
    ]

    def run_command(self) -> int:
        """Create the manifest and write it to the folder."""
        path = pathlib.Path(self.argument("file"))
        chunk_bytes = self.option("chunk-bytes")
        if not chunk_bytes.isdigit() or int(chunk_bytes) < 1:
            raise errors.RequestError(
                f"--chunk-bytes: {chunk_bytes!r} is not a positive number of bytes"
            )
        manifest = manifests.from_file(path, self.option("object") or path.name, int(chunk_bytes))
        digest = manifests.digest_of(manifest)
        folder = pathlib.Path(self.argument("folder"))
        folder.mkdir(parents=True, exist_ok=True)
        (folder / digest).write_bytes(manifests.encode(manifest))
        self.print_result(
            {"manifest": digest, "chunks": len(manifest.chunks)},
            [("manifest", digest), ("chunks", len(manifest.chunks))],
        )
        return 0
