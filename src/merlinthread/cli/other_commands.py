"""`status`, `keys new` and `weights manifest`."""

import pathlib
import secrets

import msgspec
from cleo.helpers import argument, option

from merlinthread import errors
from merlinthread.cli import base
from merlinthread.protocol import operator_calls, signatures
from merlinthread.state import manifests


class Status(base.OperatorCommand):
    """Show what is in force and who lags."""

    name = "status"
    description = "Show what is in force, the control VMs, and which VMs lag."
    options = base.READ_OPTIONS

    def act(self) -> int:
        """Show the status."""
        data = self.controls().call("GET", "/v1/status")
        status = msgspec.json.decode(data, type=operator_calls.Status)
        if self.option("json"):
            self.show(status, [])
            return 0
        self.show(
            status,
            [
                ("in force", f"version {status.version}, generation {status.generation}"),
                ("digest", status.digest or "none"),
                ("paused", status.paused or "no"),
                ("leader", f"{status.leader}, term {status.term}"),
                ("data folder", f"{status.data_folder_bytes} bytes"),
            ],
        )
        self.show_table(
            ["control VM", "role", "leads", "entries behind"],
            [[m.name, m.role, m.leads, m.entries_behind] for m in status.members],
        )
        self.show_table(
            ["VM", "zone", "generation", "assigned", "serving", "remark"],
            [
                [
                    agent.name,
                    agent.availability_zone,
                    agent.generation,
                    ", ".join(agent.assigned),
                    ", ".join(sorted(agent.serving)),
                    remark_on(agent, status.generation),
                ]
                for agent in status.agents
            ],
        )
        return 0


def remark_on(agent: operator_calls.AgentStatus, generation: int) -> str:
    """Return what is noteworthy about a VM."""
    if agent.trouble:
        return agent.trouble
    if agent.is_leaving:
        return "leaving"
    if agent.generation < generation:
        return "lags"
    return "" if agent.is_done else "changing"


class KeysNew(base.OperatorCommand):
    """Make a key."""

    name = "keys new"
    description = "Make an operator's key pair, or with --mesh a key for the processes."
    options = [
        base.JSON_OPTION,
        option("out", None, "Write the private key to this new file.", flag=False),
        option("mesh", None, "Make a key for settings.mesh_keys instead."),
    ]

    def act(self) -> int:
        """Make the key and show the public half."""
        if self.option("mesh"):
            key = secrets.token_hex(32)
            self.show({"mesh_key": key}, [("mesh key", key)])
            return 0
        if not self.option("out"):
            raise errors.RequestError("--out: name a new file for the private key")
        path = pathlib.Path(self.option("out"))
        private = signatures.generate_private_key()
        path.touch(mode=0o600, exist_ok=False)
        path.write_text(private + "\n", encoding="utf-8")
        public = signatures.derive_public_key(private)
        self.show({"public_key": public}, [("public key", public), ("private key in", path)])
        return 0


class WeightsManifest(base.OperatorCommand):
    """Make a manifest from a file of weights."""

    name = "weights manifest"
    description = "Write the manifest of a weights file, for the weight store and the bundle."
    arguments = [
        argument("file", "The weights file."),
        argument("folder", "Where to write the manifest; its file name is its digest."),
    ]
    options = [
        base.JSON_OPTION,
        option("object", None, "The object's name at the origin.", flag=False),
        option("chunk-bytes", None, "Size of a chunk.", flag=False, default="8388608"),
    ]

    def act(self) -> int:
        """Make the manifest."""
        path = pathlib.Path(self.argument("file"))
        text = self.option("chunk-bytes")
        if not text.isdigit() or int(text) < 1:
            raise errors.RequestError(f"--chunk-bytes: {text!r} is no positive number of bytes")
        manifest = manifests.from_file(path, self.option("object") or path.name, int(text))
        digest = manifests.digest_of(manifest)
        folder = pathlib.Path(self.argument("folder"))
        folder.mkdir(parents=True, exist_ok=True)
        (folder / digest).write_bytes(manifests.encode(manifest))
        self.show(
            {"manifest": digest, "chunks": len(manifest.chunks)},
            [("manifest", digest), ("chunks", len(manifest.chunks))],
        )
        return 0
