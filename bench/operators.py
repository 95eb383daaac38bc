"""An operator's client in this process: the calls of the command line without its start-up time."""

import uuid
from typing import Any

import msgspec

from bench import fleet as fleets
from merlinthread.cli import client
from merlinthread.coordination import bundles
from merlinthread.protocol import bundle_file, operator_calls, signatures


class Operator:
    """Proposes, signs and rolls bundles over HTTP."""

    def __init__(self, fleet: fleets.Fleet, name: str = "ana", timeout_s: float = 20.0) -> None:
        self.fleet = fleet
        self.name = name
        self.private_key = (fleet.folder / "keys" / f"{name}.key").read_text()
        addresses = [vm.http for vm in fleet.controls()]
        self.controls = client.ControlClient(addresses, timeout_s)

    def call(self, path: str, call: Any) -> operator_calls.CommandResult:
        """Send a command and return its result."""
        data = self.controls.call("POST", path, call)
        return msgspec.json.decode(data, type=operator_calls.CommandResult)

    def propose(self, bundle: dict, request_id: str = "") -> operator_calls.CommandResult:
        """Propose a bundle."""
        call = operator_calls.ProposeRequest(request_id or uuid.uuid4().hex, self.name, bundle)
        return self.call("/v1/bundles", call)

    def sign(self, bundle: dict) -> operator_calls.CommandResult:
        """Sign a bundle."""
        version = bundle["version"]
        digest = bundles.digest(bundle_file.from_data(bundle, "bundle"))
        signature = signatures.sign(self.private_key, version, digest)
        return self.call(
            "/v1/signatures",
            operator_calls.SignRequest(uuid.uuid4().hex, self.name, version, digest, signature),
        )

    def roll(
        self, version: int, is_back: bool = False, request_id: str = ""
    ) -> operator_calls.CommandResult:
        """Roll out a signed version; with `is_back`, one that was in force before."""
        return self.call(
            "/v1/rolls",
            operator_calls.RollRequest(request_id or uuid.uuid4().hex, self.name, version, is_back),
        )

    def propose_and_roll(self, bundle: dict) -> operator_calls.CommandResult:
        """Propose, sign and roll a bundle."""
        self.propose(bundle)
        self.sign(bundle)
        return self.roll(bundle["version"])

    def history(self) -> operator_calls.History:
        """Return all bundles and rolls."""
        data = self.controls.call("GET", "/v1/history")
        return msgspec.json.decode(data, type=operator_calls.History)

    def status(self) -> operator_calls.Status:
        """Return the leader's status."""
        return msgspec.json.decode(
            self.controls.call("GET", "/v1/status"), type=operator_calls.Status
        )
