"""The state machine of the control VMs: bundles, signatures, rolls, placement, idempotency keys.

Every replica applies the same commands in the same order and must reach the same state, so nothing
here may use a clock, randomness or settings; commands carry such values.
"""

import dataclasses
from collections.abc import Callable

from merlinthread import errors
from merlinthread.coordination import bundles, commands

ANSWERS_MAX = 1024
SIGNED = "signed"
PROPOSED = "proposed"
IN_FORCE = "in force"
SUPERSEDED = "superseded"


@dataclasses.dataclass(slots=True)
class BundleRecord:
    """A proposed bundle, its signatures, and whether it was ever rolled out."""

    bundle: bundles.Bundle
    digest: str
    proposed_by: str
    proposed_at: float
    signatures: dict[str, str] = dataclasses.field(default_factory=dict)
    was_rolled: bool = False


@dataclasses.dataclass(slots=True)
class RollRecord:
    """One roll: the version that was put in force under a generation."""

    generation: int
    version: int
    operator: str
    at: float
    is_back: bool


@dataclasses.dataclass(slots=True)
class ClaimRecord:
    """A claimed idempotency key; `http_status` is 0 until the response is known."""

    body_digest: str
    attempt: str
    issued_at: float
    http_status: int = 0
    body: bytes = b""


@dataclasses.dataclass(slots=True)
class Directive:
    """The desired state that every VM enforces, as of log index `revision`."""

    revision: int = 0
    generation: int = 0
    paused: str = ""
    bundle: bundles.Bundle | None = None
    digest: str = ""
    signatures: dict[str, str] = dataclasses.field(default_factory=dict)
    placement: dict[str, commands.VmPlacement] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class ControlState:
    """The replicated state of the control VMs.

    `revision` is the log index of the last change to the directive. It never decreases, so a VM
    that ignores lower revisions never returns to an earlier directive.
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
        """Apply a committed command and return its answer, the same on every replica."""
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
            self.store_answer(request_id, answer)
        return answer

    def store_answer(self, request_id: str, answer: commands.Answer) -> None:
        """Store the answer for retries of the command; evict the oldest above `ANSWERS_MAX`."""
        self.answers[request_id] = answer
        while len(self.answers) > ANSWERS_MAX:
            del self.answers[next(iter(self.answers))]

    def active_bundle(self) -> bundles.Bundle | None:
        """Return the bundle in force, or None before the first roll."""
        record = self.records.get(self.version)
        return record.bundle if record else None

    def directive(self) -> Directive:
        """Return the current directive, as a copy that later commands do not change."""
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
        """Return the status of the bundle `version`, which must exist."""
        record = self.records[version]
        if version == self.version:
            return IN_FORCE
        if record.was_rolled:
            return SUPERSEDED
        return SIGNED if len(record.signatures) >= signatures_required else PROPOSED

    # Bundles

    def propose(self, command: commands.Propose, index: int) -> commands.Answer:
        """Record a proposed bundle.

        Repeating it is idempotent; other content under the same version is a conflict.
        """
        version = command.bundle.version
        digest = bundles.digest(command.bundle)
        existing = self.records.get(version)
        if existing and existing.digest != digest:
            return commands.Answer(
                error=errors.ErrorKind.VERSION_CONFLICT,
                message=f"version {version} is taken by {existing.proposed_by} with digest "
                f"{existing.digest}; propose yours under another number",
                version=version,
                digest=existing.digest,
            )
        if not existing:
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
        """Put a version in force under the next generation, if it has enough signatures."""
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
        """Pause or resume the roll if it is still the current one."""
        if command.generation != self.generation or command.reason == self.paused:
            return commands.Answer(generation=self.generation, status=self.paused)
        self.paused = command.reason
        self.revision = index
        return commands.Answer(generation=self.generation, status=self.paused)

    def place(self, command: commands.Place, index: int) -> commands.Answer:
        """Change the placement if the command is for the current generation."""
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
        """Grant the key to the first attempt, and return its state to every later one."""
        existing = self.claims.get(command.key)
        if command.issued_at < self.claims_before:
            return commands.Answer(
                error=errors.ErrorKind.KEY_EXPIRED,
                message=f"key {command.key!r} is older than answers are kept; it may have run",
            )
        if command.attempt in self.abandoned:
            return commands.Answer(status="abandoned")
        if existing is None:
            self.claims[command.key] = ClaimRecord(
                command.body_digest, command.attempt, command.issued_at
            )
            return commands.Answer(status="granted")
        if existing.body_digest != command.body_digest:
            return commands.Answer(
                error=errors.ErrorKind.KEY_CONFLICT,
                message=f"key {command.key!r} was used with another body; use a new key",
            )
        if existing.http_status:
            return commands.Answer(
                status="done", http_status=existing.http_status, body=existing.body
            )
        if existing.attempt == command.attempt:
            return commands.Answer(status="granted")
        return commands.Answer(status="running")

    def complete(self, command: commands.Complete, index: int) -> commands.Answer:
        """Store the response of the attempt that holds the key, or release the key."""
        if command.not_run:
            self.record_abandoned(command.attempt)
        existing = self.claims.get(command.key)
        if existing is None or existing.attempt != command.attempt:
            return commands.Answer(
                error=errors.ErrorKind.OUTCOME_UNKNOWN, message="the key is not yours"
            )
        if command.not_run:
            if not existing.http_status:
                del self.claims[command.key]
            return commands.Answer(status="freed")
        if not existing.http_status:
            existing.http_status = command.status
            existing.body = command.body
        return commands.Answer(status="done", http_status=existing.http_status, body=existing.body)

    def record_abandoned(self, attempt: str) -> None:
        """Record that an attempt was abandoned, so that a claim committed later is not granted."""
        self.abandoned[attempt] = True
        while len(self.abandoned) > ANSWERS_MAX:
            del self.abandoned[next(iter(self.abandoned))]

    def expire(self, command: commands.Expire, index: int) -> commands.Answer:
        """Remove claims issued before `claims_before`; their keys are refused from then on."""
        self.claims_before = max(self.claims_before, command.before)
        self.claims = {
            key: c for key, c in self.claims.items() if c.issued_at >= self.claims_before
        }
        return commands.Answer()


def unknown_version(version: int) -> commands.Answer:
    """Return the error for a version that was not proposed."""
    return commands.Answer(
        error=errors.ErrorKind.UNKNOWN_VERSION,
        message=f"no bundle has version {version}; propose it first",
        version=version,
    )
