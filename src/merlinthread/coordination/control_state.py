"""The control VMs' state machine: bundles, signatures, rolls, placement and claimed request keys.

Every replica applies the same commands in the same order, so nothing here may look at a clock, a
random number or a setting: what varies comes inside the command.
"""

import dataclasses
from collections.abc import Callable

from merlinthread import errors
from merlinthread.coordination import bundles, commands

ANSWERS_KEPT = 1024
SIGNED = "signed"
PROPOSED = "proposed"
IN_FORCE = "in force"
SUPERSEDED = "superseded"


@dataclasses.dataclass(slots=True)
class BundleRecord:
    """A proposed bundle and what became of it."""

    bundle: bundles.Bundle
    digest: str
    proposed_by: str
    proposed_at: float
    signatures: dict[str, str] = dataclasses.field(default_factory=dict)
    was_rolled: bool = False


@dataclasses.dataclass(slots=True)
class RollRecord:
    """One roll: a generation that names a version."""

    generation: int
    version: int
    operator: str
    at: float
    is_back: bool


@dataclasses.dataclass(slots=True)
class ClaimRecord:
    """A claimed key; `http_status` stays 0 until its answer is known."""

    body_digest: str
    attempt: str
    issued_at: float
    http_status: int = 0
    body: bytes = b""


@dataclasses.dataclass(slots=True)
class Directive:
    """What every VM must enforce, as of log index `revision`; it only ever goes up."""

    revision: int = 0
    generation: int = 0
    paused: str = ""
    bundle: bundles.Bundle | None = None
    digest: str = ""
    signatures: dict[str, str] = dataclasses.field(default_factory=dict)
    placement: dict[str, commands.VmPlacement] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class ControlState:
    """Everything that the control VMs agree on.

    `revision` is the log index of the last change that VMs must learn of; it only grows, so a VM
    that adopts nothing lower never goes back.
    """

    revision: int = 0
    generation: int = 0
    version: int = 0
    paused: str = ""
    records: dict[int, BundleRecord] = dataclasses.field(default_factory=dict)
    rolls: list[RollRecord] = dataclasses.field(default_factory=list)
    placement: dict[str, commands.VmPlacement] = dataclasses.field(default_factory=dict)
    answers: dict[str, commands.Answer] = dataclasses.field(default_factory=dict)
    claims: dict[str, ClaimRecord] = dataclasses.field(default_factory=dict)
    claims_before: float = 0.0
    abandoned: dict[str, bool] = dataclasses.field(default_factory=dict)

    def apply(self, command: commands.Command, index: int) -> commands.Answer:
        """Take one committed command in; the answer is the same on every replica."""
        request_id = getattr(command, "request_id", "")
        if request_id and request_id in self.answers:
            return self.answers[request_id]
        handlers: dict[type, Callable[..., commands.Answer]] = {
            commands.Propose: self.propose,
            commands.Sign: self.sign,
            commands.Roll: self.roll,
            commands.Pause: self.pause,
            commands.Place: self.place,
            commands.Claim: self.claim,
            commands.Complete: self.complete,
            commands.Expire: self.expire,
        }
        answer = handlers[type(command)](command, index)
        if request_id:
            self.keep_answer(request_id, answer)
        return answer

    def keep_answer(self, request_id: str, answer: commands.Answer) -> None:
        """Remember the answer for a resent command; bounded, oldest out first."""
        self.answers[request_id] = answer
        while len(self.answers) > ANSWERS_KEPT:
            del self.answers[next(iter(self.answers))]

    def active_bundle(self) -> bundles.Bundle | None:
        """Return the bundle in force."""
        record = self.records.get(self.version)
        return record.bundle if record else None

    def directive(self) -> Directive:
        """Return what VMs must enforce; it shares nothing that later commands change."""
        record = self.records.get(self.version)
        if record is None:
            return Directive()
        return Directive(
            self.revision,
            self.generation,
            self.paused,
            record.bundle,
            record.digest,
            dict(record.signatures),
            dict(self.placement),
        )

    def status_of(self, version: int, signatures_required: int) -> str:
        """Return where in its life the bundle `version` is."""
        record = self.records[version]
        if version == self.version:
            return IN_FORCE
        if record.was_rolled:
            return SUPERSEDED
        return SIGNED if len(record.signatures) >= signatures_required else PROPOSED

    # Bundles

    def propose(self, command: commands.Propose, index: int) -> commands.Answer:
        """File a bundle; equal content is the same answer again, other content a conflict."""
        version = command.bundle.version
        digest = bundles.digest(command.bundle)
        known = self.records.get(version)
        if known and known.digest != digest:
            return commands.Answer(
                error=errors.ErrorKind.VERSION_CONFLICT,
                message=f"version {version} is taken by {known.proposed_by} with digest "
                f"{known.digest}; propose yours under another number",
                version=version,
                digest=known.digest,
            )
        if not known:
            self.records[version] = BundleRecord(
                command.bundle, digest, command.operator, command.at
            )
        return commands.Answer(version=version, digest=digest, status=PROPOSED)

    def sign(self, command: commands.Sign, index: int) -> commands.Answer:
        """Add a signature to a proposed bundle."""
        record = self.records.get(command.version)
        if record is None:
            return unknown_version(command.version)
        if record.digest != command.digest:
            return commands.Answer(
                error=errors.ErrorKind.VERSION_CONFLICT,
                message=f"version {command.version} has digest {record.digest}, "
                f"the signature is for {command.digest}",
                version=command.version,
                digest=record.digest,
            )
        record.signatures[command.operator] = command.signature
        return commands.Answer(version=command.version, digest=record.digest, status=SIGNED)

    def roll(self, command: commands.Roll, index: int) -> commands.Answer:
        """Put a version in force under the next generation."""
        record = self.records.get(command.version)
        if record is None:
            return unknown_version(command.version)
        if len(record.signatures) < command.signatures_required:
            return commands.Answer(
                error=errors.ErrorKind.NOT_SIGNED,
                message=f"version {command.version} has {len(record.signatures)} of "
                f"{command.signatures_required} signatures; sign it first",
                version=command.version,
            )
        if command.is_back and not record.was_rolled:
            return commands.Answer(
                error=errors.ErrorKind.UNKNOWN_VERSION,
                message=f"version {command.version} never was in force; use roll",
                version=command.version,
            )
        self.generation += 1
        self.version = command.version
        self.paused = ""
        self.revision = index
        record.was_rolled = True
        self.rolls.append(
            RollRecord(
                self.generation, command.version, command.operator, command.at, command.is_back
            )
        )
        del self.rolls[:-1000]
        return commands.Answer(
            version=command.version,
            digest=record.digest,
            generation=self.generation,
            status=IN_FORCE,
        )

    def pause(self, command: commands.Pause, index: int) -> commands.Answer:
        """Pause or resume the roll, if it is still the present one."""
        if command.generation != self.generation or command.reason == self.paused:
            return commands.Answer(generation=self.generation, status=self.paused)
        self.paused = command.reason
        self.revision = index
        return commands.Answer(generation=self.generation, status=self.paused)

    def place(self, command: commands.Place, index: int) -> commands.Answer:
        """Change the placement, if it was made for the present generation."""
        if command.generation != self.generation:
            return commands.Answer(generation=self.generation, status="stale")
        for agent, placed in command.changes.items():
            if placed.models:
                self.placement[agent] = placed
            else:
                self.placement.pop(agent, None)
        self.revision = index
        return commands.Answer(generation=self.generation)

    # Claims

    def claim(self, command: commands.Claim, index: int) -> commands.Answer:
        """Give the key to the first attempt; tell every later one what became of it."""
        known = self.claims.get(command.key)
        if command.issued_at < self.claims_before:
            return commands.Answer(
                error=errors.ErrorKind.KEY_EXPIRED,
                message=f"key {command.key!r} is older than answers are kept; it may have run",
            )
        if command.attempt in self.abandoned:
            return commands.Answer(status="abandoned")
        if known is None:
            self.claims[command.key] = ClaimRecord(
                command.body_digest, command.attempt, command.issued_at
            )
            return commands.Answer(status="granted")
        if known.body_digest != command.body_digest:
            return commands.Answer(
                error=errors.ErrorKind.KEY_CONFLICT,
                message=f"key {command.key!r} was used with another body; use a new key",
            )
        if known.http_status:
            return commands.Answer(status="done", http_status=known.http_status, body=known.body)
        if known.attempt == command.attempt:
            return commands.Answer(status="granted")
        return commands.Answer(status="running")

    def complete(self, command: commands.Complete, index: int) -> commands.Answer:
        """Keep the answer of the attempt that holds the key."""
        if command.not_run:
            self.abandon(command.attempt)
        known = self.claims.get(command.key)
        if known is None or known.attempt != command.attempt:
            return commands.Answer(
                error=errors.ErrorKind.OUTCOME_UNKNOWN, message="the key is not yours"
            )
        if command.not_run:
            if not known.http_status:
                del self.claims[command.key]
            return commands.Answer(status="freed")
        if not known.http_status:
            known.http_status = command.status
            known.body = command.body
        return commands.Answer(status="done", http_status=known.http_status, body=known.body)

    def abandon(self, attempt: str) -> None:
        """Remember that an attempt gave up, in case its claim is committed only now."""
        self.abandoned[attempt] = True
        while len(self.abandoned) > ANSWERS_KEPT:
            del self.abandoned[next(iter(self.abandoned))]

    def expire(self, command: commands.Expire, index: int) -> commands.Answer:
        """Forget old claims; `claims_before` is how their keys are known to be refused."""
        self.claims_before = max(self.claims_before, command.before)
        self.claims = {
            key: c for key, c in self.claims.items() if c.issued_at >= self.claims_before
        }
        return commands.Answer()


def unknown_version(version: int) -> commands.Answer:
    """Return the answer for a version that nobody proposed."""
    return commands.Answer(
        error=errors.ErrorKind.UNKNOWN_VERSION,
        message=f"no bundle has version {version}; propose it first",
        version=version,
    )
