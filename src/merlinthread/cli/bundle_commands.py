"""The `bundle` commands: check, propose, sign, roll, rollback, show, history."""

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

PROGRESS_EVERY_S = 0.25
VERSION_ARGUMENT = argument("version", "The bundle's version number.")
WAIT_OPTIONS = [
    option("wait", "w", "Wait until every VM serves what it should."),
    option("wait-s", None, "How long to wait, in seconds.", flag=False, default="600"),
]


def read_bundle(name: str) -> bundles.Bundle:
    """Return the bundle in a file; raise BundleError."""
    path = pathlib.Path(name)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.BundleError(f"{path}: can't be read: {error}")
    return bundle_file.parse(text, name)


def as_time(seconds: float) -> str:
    """Return seconds since 1970 as UTC."""
    return datetime.datetime.fromtimestamp(seconds, datetime.UTC).isoformat(timespec="seconds")


class Check(base.OperatorCommand):
    """Validate a bundle file without sending it."""

    name = "bundle check"
    description = "Validate a bundle file and print its digest."
    arguments = [argument("file", "The bundle file.")]
    options = [base.JSON_OPTION]

    def act(self) -> int:
        """Check the file."""
        bundle = read_bundle(self.argument("file"))
        digest = bundles.digest(bundle)
        self.show(
            {"version": bundle.version, "digest": digest},
            [("version", bundle.version), ("digest", digest), ("models", len(bundle.models))],
        )
        return 0


class Propose(base.OperatorCommand):
    """Put a bundle forward for signing."""

    name = "bundle propose"
    description = "Send a bundle to the control VMs for signing."
    arguments = [argument("file", "The bundle file.")]
    options = base.WRITE_OPTIONS

    def act(self) -> int:
        """Propose the bundle."""
        bundle = read_bundle(self.argument("file"))
        call = operator_calls.ProposeRequest(
            self.request_id(), self.operator(), msgspec.to_builtins(bundle)
        )
        return self.send("/v1/bundles", call)

    def send(self, path: str, call: Any) -> int:
        """Send a command and show its result."""
        result = msgspec.json.decode(
            self.controls().call("POST", path, call), type=operator_calls.CommandResult
        )
        rows = [("status", result.status), ("version", result.version), ("digest", result.digest)]
        if result.generation:
            rows.append(("generation", result.generation))
        rows.append(("request id", call.request_id))
        self.show(dict(msgspec.to_builtins(result), request_id=call.request_id), rows)
        return 0


class Sign(Propose):
    """Sign a proposed bundle."""

    name = "bundle sign"
    description = "Sign a proposed bundle with your private key."
    arguments = [VERSION_ARGUMENT]
    options = [
        *base.WRITE_OPTIONS,
        option("key", "k", "The file with your private key.", flag=False),
        option("digest", None, "Sign only if the bundle has this digest.", flag=False),
    ]

    def act(self) -> int:
        """Read what is proposed, sign it, send the signature."""
        version = self.version_argument()
        if not self.option("key"):
            raise errors.RequestError("--key: give the file with your private key")
        private = pathlib.Path(self.option("key")).read_text(encoding="utf-8")
        shown = msgspec.json.decode(
            self.controls().call("GET", f"/v1/bundles/{version}"), type=operator_calls.BundleDetails
        )
        bundle = bundle_file.from_data(shown.bundle, "the proposed bundle")
        digest = bundles.digest(bundle)
        wanted = self.option("digest")
        if wanted and wanted != digest:
            raise errors.BundleError(
                f"--digest: version {version} has digest {digest}, not {wanted}",
                kind=errors.ErrorKind.VERSION_CONFLICT,
            )
        return self.send(
            "/v1/signatures",
            operator_calls.SignRequest(
                self.request_id(),
                self.operator(),
                version,
                digest,
                signatures.sign(private, version, digest),
            ),
        )


class Roll(Propose):
    """Put a signed bundle in force."""

    name = "bundle roll"
    description = "Put a signed bundle in force on the whole fleet."
    arguments = [VERSION_ARGUMENT]
    options = [*base.WRITE_OPTIONS, *WAIT_OPTIONS]
    is_back = False

    def act(self) -> int:
        """Roll, and with --wait follow it."""
        call = operator_calls.RollRequest(
            self.request_id(), self.operator(), self.version_argument(), self.is_back
        )
        code = self.send("/v1/rolls", call)
        return self.follow() if self.option("wait") else code

    def follow(self) -> int:
        """Show progress until every live VM serves what it should.

        Raises ControlError if the roll pauses or the time is over.
        """
        stop_at = time.monotonic() + float(self.option("wait-s"))
        controls = self.controls()
        bar = None if self.option("json") else self.progress_bar(100)
        if bar is not None:
            bar.set_format(" rolling [%bar%] %percent%% %message%")
            bar.set_message("")
            bar.start()
        while True:
            status = msgspec.json.decode(
                controls.call("GET", "/v1/status"), type=operator_calls.Status
            )
            done, total = count_done(status)
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
            if time.monotonic() >= stop_at:
                raise errors.ControlError(
                    f"{done} of {total} VMs after {self.option('wait-s')} s",
                    kind=errors.ErrorKind.DEADLINE_EXCEEDED,
                )
            time.sleep(PROGRESS_EVERY_S)


def count_done(status: operator_calls.Status) -> tuple[int, int]:
    """Return how many of the assigned live VMs enforce the generation and serve their models."""
    assigned = [agent for agent in status.agents if agent.kind == bundles.GENERATE]
    done = [agent for agent in assigned if agent.is_done and agent.generation == status.generation]
    return len(done), len(assigned)


class Rollback(Roll):
    """Put an earlier signed version back in force."""

    name = "bundle rollback"
    description = "Put a version that was in force before back in force."
    is_back = True


class Show(base.OperatorCommand):
    """Show one bundle."""

    name = "bundle show"
    description = "Show a bundle and its state."
    arguments = [VERSION_ARGUMENT]
    options = base.READ_OPTIONS

    def act(self) -> int:
        """Show the bundle."""
        data = self.controls().call("GET", f"/v1/bundles/{self.version_argument()}")
        shown = msgspec.json.decode(data, type=operator_calls.BundleDetails)
        line = shown.line
        rows = [
            ("version", line.version),
            ("digest", line.digest),
            ("status", line.status),
            ("proposed", f"{as_time(line.proposed_at)} by {line.proposed_by}"),
            ("signed by", ", ".join(line.signed_by) or "nobody yet"),
            ("bundle", json.dumps(shown.bundle, indent=2, ensure_ascii=False)),
        ]
        self.show(shown, rows)
        return 0


class History(base.OperatorCommand):
    """Show all bundles and rolls."""

    name = "bundle history"
    description = "Show all bundles and the last rolls, newest first."
    options = base.READ_OPTIONS

    def act(self) -> int:
        """Show the history."""
        data = self.controls().call("GET", "/v1/history")
        history = msgspec.json.decode(data, type=operator_calls.History)
        if self.option("json"):
            self.show(history, [])
            return 0
        self.show_table(
            ["version", "status", "digest", "proposed by", "signed by"],
            [
                [b.version, b.status, b.digest[:12], b.proposed_by, ", ".join(b.signed_by)]
                for b in history.bundles
            ],
        )
        self.show_table(
            ["generation", "version", "kind", "operator", "at"],
            [
                [r.generation, r.version, kind_of(r), r.operator, as_time(r.at)]
                for r in history.rolls
            ],
        )
        return 0


def kind_of(roll: operator_calls.RollSummary) -> str:
    """Return the name of a roll's kind."""
    return "rollback" if roll.is_back else "roll"
