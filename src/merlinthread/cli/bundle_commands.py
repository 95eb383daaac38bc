"""The `bundle` commands, which validate, sign, roll out and show bundles."""

import datetime
import json
import pathlib
import time
from typing import Any

import msgspec
from cleo.helpers import argument, option

from merlinthread import errors
from merlinthread.cli import base
from merlinthread.coordination import bundles
from merlinthread.protocol import bundle_file, operator_calls, signatures

POLL_INTERVAL_S = 0.25
VERSION_ARGUMENT = argument("version", "Version number of the bundle.")
WAIT_OPTIONS = [
    option("wait", "w", "Wait until the bundle is rolled out to all VMs."),
    option("wait-s", None, "Time limit for --wait, in seconds.", flag=False, default="600"),
]


def read_bundle_file(name: str) -> bundles.Bundle:
    """Read and validate a bundle file; raise BundleError if it is unreadable or invalid."""
    path = pathlib.Path(name)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.BundleError(f"{path}: can't be read: {error}")
    return bundle_file.parse(text, name)


def format_time(seconds: float) -> str:
    """Format seconds since the epoch as an ISO 8601 time in UTC."""
    return datetime.datetime.fromtimestamp(seconds, datetime.UTC).isoformat(timespec="seconds")


class Check(base.OperatorCommand):
    """Validate a bundle file locally."""

    name = "bundle check"
    description = "Validate a bundle file and print its digest."
    arguments = [argument("file", "Path of the bundle file.")]
    options = [base.JSON_OPTION]

    def run_command(self) -> int:
        """Validate the file and print the bundle's digest."""
        bundle = read_bundle_file(self.argument("file"))
        digest = bundles.digest(bundle)
        self.print_result(
            {"version": bundle.version, "digest": digest},
            [("version", bundle.version), ("digest", digest), ("models", len(bundle.models))],
        )
        return 0


class Propose(base.OperatorCommand):
    """Propose a bundle to the control VMs."""

    name = "bundle propose"
    description = "Send a bundle to the control VMs for signing."
    arguments = [argument("file", "Path of the bundle file.")]
    options = base.WRITE_OPTIONS

    def run_command(self) -> int:
        """Propose the bundle."""
        bundle = read_bundle_file(self.argument("file"))
        call = operator_calls.ProposeRequest(
            self.request_id(), self.operator_name(), msgspec.to_builtins(bundle)
        )
        return self.send_command("/v1/bundles", call)

    def send_command(self, path: str, call: Any) -> int:
        """Send a command to the leader and print its result."""
        result = msgspec.json.decode(
            self.control_client().call("POST", path, call), type=operator_calls.CommandResult
        )
        rows = [("status", result.status), ("version", result.version), ("digest", result.digest)]
        if result.generation:
            rows.append(("generation", result.generation))
        rows.append(("request id", call.request_id))
        self.print_result(dict(msgspec.to_builtins(result), request_id=call.request_id), rows)
        return 0


class Sign(Propose):
    """Sign a proposed bundle."""

    name = "bundle sign"
    description = "Sign a proposed bundle with your private key."
    arguments = [VERSION_ARGUMENT]
    options = [
        *base.WRITE_OPTIONS,
        option("key", "k", "Path of the file with your private key.", flag=False),
        option(
            "digest", None, "Expected digest; a bundle with another one is not signed.", flag=False
        ),
    ]

    def run_command(self) -> int:
        """Fetch the proposed bundle, sign its digest and send the signature."""
        version = self.bundle_version()
        if not self.option("key"):
            raise errors.RequestError("--key: missing; pass the file with your private key")
        private_key = pathlib.Path(self.option("key")).read_text(encoding="utf-8")
        details = msgspec.json.decode(
            self.control_client().call("GET", f"/v1/bundles/{version}"),
            type=operator_calls.BundleDetails,
        )
        bundle = bundle_file.from_data(details.bundle, "the proposed bundle")
        digest = bundles.digest(bundle)
        expected_digest = self.option("digest")
        if expected_digest and expected_digest != digest:
            raise errors.BundleError(
                f"--digest: version {version} has digest {digest}, not {expected_digest}",
                kind=errors.ErrorKind.VERSION_CONFLICT,
            )
        return self.send_command(
            "/v1/signatures",
            operator_calls.SignRequest(
                self.request_id(),
                self.operator_name(),
                version,
                digest,
                signatures.sign(private_key, version, digest),
            ),
        )


class Roll(Propose):
    """Roll out a signed bundle."""

    name = "bundle roll"
    description = "Roll out a signed bundle to the whole fleet."
    arguments = [VERSION_ARGUMENT]
    options = [*base.WRITE_OPTIONS, *WAIT_OPTIONS]
    is_rollback = False

    def run_command(self) -> int:
        """Start the roll and, with --wait, wait until it is complete."""
        call = operator_calls.RollRequest(
            self.request_id(), self.operator_name(), self.bundle_version(), self.is_rollback
        )
        exit_code = self.send_command("/v1/rolls", call)
        return self.wait_for_roll() if self.option("wait") else exit_code

    def wait_for_roll(self) -> int:
        """Show the progress of the roll until it is complete on all live VMs.

        Raises ControlError if the roll is paused or takes longer than `--wait-s`.
        """
        deadline = time.monotonic() + float(self.option("wait-s"))
        client = self.control_client()
        bar = None if self.option("json") else self.progress_bar(100)
        if bar is not None:
            bar.set_format(" rolling [%bar%] %percent%% %message%")
            bar.set_message("")
            bar.start()
        while True:
            status = msgspec.json.decode(
                client.call("GET", "/v1/status"), type=operator_calls.Status
            )
            done, total = count_updated_vms(status)
            if bar is not None:
                bar.set_message(f"{done} of {total} VMs")
                bar.set_progress(100 * done // max(1, total))
            if status.paused:
                raise errors.ControlError(
                    f"generation {status.generation} is paused: {status.paused}",
                    kind=errors.ErrorKind.NOT_RUN,
                )
            if total and done == total:
                if bar is not None:
                    bar.finish()
                    print()
                return 0
            if time.monotonic() >= deadline:
                raise errors.ControlError(
                    f"{done} of {total} VMs are up to date after {self.option('wait-s')} s",
                    kind=errors.ErrorKind.DEADLINE_EXCEEDED,
                )
            time.sleep(POLL_INTERVAL_S)


def count_updated_vms(status: operator_calls.Status) -> tuple[int, int]:
    """Return how many live engine VMs are up to date, and how many there are.

    A VM is up to date if it enforces the current generation and serves the models assigned to it.
    """
    engine_agents = [agent for agent in status.agents if agent.kind == bundles.GENERATE]
    updated_agents = [
        agent for agent in engine_agents if agent.is_done and agent.generation == status.generation
    ]
    return len(updated_agents), len(engine_agents)


class Rollback(Roll):
    """Roll back to a version that was in force before."""

    name = "bundle rollback"
    description = "Roll back to a bundle version that was in force before."
    is_rollback = True


class Show(base.OperatorCommand):
    """Show a bundle."""

    name = "bundle show"
    description = "Show a bundle with its status and signatures."
    arguments = [VERSION_ARGUMENT]
    options = base.READ_OPTIONS

    def run_command(self) -> int:
        """Fetch the bundle and print it."""
        data = self.control_client().call("GET", f"/v1/bundles/{self.bundle_version()}")
        details = msgspec.json.decode(data, type=operator_calls.BundleDetails)
        summary = details.line
        rows = [
            ("version", summary.version),
            ("digest", summary.digest),
            ("status", summary.status),
            ("proposed", f"{format_time(summary.proposed_at)} by {summary.proposed_by}"),
            ("signed by", ", ".join(summary.signed_by) or "nobody yet"),
            ("bundle", json.dumps(details.bundle, indent=2, ensure_ascii=False)),
        ]
        self.print_result(details, rows)
        return 0


class History(base.OperatorCommand):
    """Show all bundles and the most recent rolls."""

    name = "bundle history"
    description = "Show all bundles and the most recent rolls, newest first."
    options = base.READ_OPTIONS

    def run_command(self) -> int:
        """Fetch the history and print it."""
        data = self.control_client().call("GET", "/v1/history")
        history = msgspec.json.decode(data, type=operator_calls.History)
        if self.option("json"):
            self.print_result(history, [])
            return 0
        self.print_table(
            ["version", "status", "digest", "proposed by", "signed by"],
            [
                [b.version, b.status, b.digest[:12], b.proposed_by, ", ".join(b.signed_by)]
                for b in history.bundles
            ],
        )
        self.print_table(
            ["generation", "version", "kind", "operator", "at"],
            [
                [r.generation, r.version, roll_kind(r), r.operator, format_time(r.at)]
                for r in history.rolls
            ],
        )
        return 0


def roll_kind(roll: operator_calls.RollSummary) -> str:
    """Return "rollback" or "roll"."""
    return "rollback" if roll.is_back else "roll"
