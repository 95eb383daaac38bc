"""The control VMs' state machine: bundles, signatures, rolls, placement and claimed request keys.

Every replica applies the same commands in the same order, so nothing here may look at a clock, a
random number or a setting: what varies comes inside the command.
"""

import dataclasses
from collections.abc import Callable

from merlinthread import errors, registry
from merlinthread.coordination import bundles

COMMANDS: registry.Registry[type] = registry.Registry("control command")

ANSWERS_KEPT = 1024
SIGNED = "signed"
PROPOSED = "proposed"
IN_FORCE = "in force"
SUPERSEDED = "superseded"


@COMMANDS.add("propose")
@dataclasses.dataclass(slots=True)
class Propose:
    """Put a bundle forward for signing."""

    request_id: str
    operator: str
    at: float
    bundle: bundles.Bundle


@COMMANDS.add("sign")
@dataclasses.dataclass(slots=True)
class Sign:
    """Add an operator's signature, which the leader has verified."""

    request_id: str
    operator: str
    at: float
    version: int
    digest: str
    signature: str


@COMMANDS.add("roll")
@dataclasses.dataclass(slots=True)
class Roll:
    """Put a signed version in force under a new generation; `is_back` only names an earlier one."""

    request_id: str
    operator: str
    at: float
    version: int
    signatures_required: int
    is_back: bool = False


@COMMANDS.add("pause")
@dataclasses.dataclass(slots=True)
class Pause:
    """Stop a roll from going further, or with an empty reason let it go on."""

    generation: int
    reason: str


@dataclasses.dataclass(slots=True)
class Placed:
    """What one VM should hold, and where its agent is reached by others ("IP:port")."""

    models: list[str]
    availability_zone: str
    region: str
    bus: str


@COMMANDS.add("place")
@dataclasses.dataclass(slots=True)
class Place:
    """Change which models some VMs hold; an empty list of models takes a VM out."""

    generation: int
    changes: dict[str, Placed]
    reason: str


@COMMANDS.add("claim")
@dataclasses.dataclass(slots=True)
class Claim:
    """Claim an idempotency key for one attempt.

    `issued_at` is the time in the key (a UUIDv7, RFC 9562), in seconds since 1970.
    """

    key: str
    body_digest: str
    attempt: str
    issued_at: float


@COMMANDS.add("complete")
@dataclasses.dataclass(slots=True)
class Complete:
    """Keep the answer of a claimed request, or with `not_run` free its key."""

    key: str
    attempt: str
    status: int
    body: bytes
    not_run: bool = False


@COMMANDS.add("expire")
@dataclasses.dataclass(slots=True)
class Expire:
    """Drop claims whose keys were issued before `before`; such keys are refused from then on."""

    before: float


Command = Propose | Sign | Roll | Pause | Place | Claim | Complete | Expire


@dataclasses.dataclass(slots=True)
class Answer:
    """What a command led to; `error` is empty or the name of an error kind."""

    error: str = ""
    message: str = ""
    version: int = 0
    digest: str = ""
    generation: int = 0
    status: str = ""
    body: bytes = b""
    http_status: int = 0


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
    placement: dict[str, Placed] = dataclasses.field(default_factory=dict)


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
    placement: dict[str, Placed] = dataclasses.field(default_factory=dict)
    answers: dict[str, Answer] = dataclasses.field(default_factory=dict)
    claims: dict[str, ClaimRecord] = dataclasses.field(default_factory=dict)
    claims_before: float = 0.0
    abandoned: dict[str, bool] = dataclasses.field(default_factory=dict)

    def apply(self, command: Command, index: int) -> Answer:
        """Take one committed command in; the answer is the same on every replica."""
        request_id = getattr(command, "request_id", "")
        if request_id and request_id in self.answers:
            return self.answers[request_id]
        handlers: dict[type, Callable[..., Answer]] = {
            Propose: self.propose,
            Sign: self.sign,
            Roll: self.roll,
            Pause: self.pause,
            Place: self.place,
            Claim: self.claim,
            Complete: self.complete,
            Expire: self.expire,
        }
        answer = handlers[type(command)](command, index)
        if request_id:
            self.keep_answer(request_id, answer)
        return answer

    def keep_answer(self, request_id: str, answer: Answer) -> None:
        """Remember the answer for a resent command; bounded, oldest out first."""
        self.answers[request_id] = answer
        while len(self.answers) > ANSWERS_KEPT:
            del self.answers[next(iter(self.answers))]

    def in_force(self) -> bundles.Bundle | None:
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

    def propose(self, command: Propose, index: int) -> Answer:
        """File a bundle; equal content is the same answer again, other content a conflict."""
        version = command.bundle.version
        digest = bundles.digest(command.bundle)
        known = self.records.get(version)
        if known and known.digest != digest:
            return Answer(
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
        return Answer(version=version, digest=digest, status=PROPOSED)

    def sign(self, command: Sign, index: int) -> Answer:
        """Add a signature to a proposed bundle."""
        record = self.records.get(command.version)
        if record is None:
            return unknown_version(command.version)
        if record.digest != command.digest:
            return Answer(
                error=errors.ErrorKind.VERSION_CONFLICT,
                message=f"version {command.version} has digest {record.digest}, "
                f"the signature is for {command.digest}",
                version=command.version,
                digest=record.digest,
            )
        record.signatures[command.operator] = command.signature
        return Answer(version=command.version, digest=record.digest, status=SIGNED)

    def roll(self, command: Roll, index: int) -> Answer:
        """Put a version in force under the next generation."""
        record = self.records.get(command.version)
        if record is None:
            return unknown_version(command.version)
        if len(record.signatures) < command.signatures_required:
            return Answer(
                error=errors.ErrorKind.NOT_SIGNED,
                message=f"version {command.version} has {len(record.signatures)} of "
                f"{command.signatures_required} signatures; sign it first",
                version=command.version,
            )
        if command.is_back and not record.was_rolled:
            return Answer(
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
        return Answer(
            version=command.version,
            digest=record.digest,
            generation=self.generation,
            status=IN_FORCE,
        )

    def pause(self, command: Pause, index: int) -> Answer:
        """Pause or resume the roll, if it is still the present one."""
        if command.generation != self.generation or command.reason == self.paused:
            return Answer(generation=self.generation, status=self.paused)
        self.paused = command.reason
        self.revision = index
        return Answer(generation=self.generation, status=self.paused)

    def place(self, command: Place, index: int) -> Answer:
        """Change the placement, if it was made for the present generation."""
        if command.generation != self.generation:
            return Answer(generation=self.generation, status="stale")
        for agent, placed in command.changes.items():
            if placed.models:
                self.placement[agent] = placed
            else:
                self.placement.pop(agent, None)
        self.revision = index
        return Answer(generation=self.generation)

    # Claims

    def claim(self, command: Claim, index: int) -> Answer:
        """Give the key to the first attempt; tell every later one what became of it."""
        known = self.claims.get(command.key)
        if command.issued_at < self.claims_before:
            return Answer(
                error=errors.ErrorKind.KEY_EXPIRED,
                message=f"key {command.key!r} is older than answers are kept; it may have run",
            )
        if command.attempt in self.abandoned:
            return Answer(status="abandoned")
        if known is None:
            self.claims[command.key] = ClaimRecord(
                command.body_digest, command.attempt, command.issued_at
            )
            return Answer(status="granted")
        if known.body_digest != command.body_digest:
            return Answer(
                error=errors.ErrorKind.KEY_CONFLICT,
                message=f"key {command.key!r} was used with another body; use a new key",
            )
        if known.http_status:
            return Answer(status="done", http_status=known.http_status, body=known.body)
        if known.attempt == command.attempt:
            return Answer(status="granted")
        return Answer(status="running")

    def complete(self, command: Complete, index: int) -> Answer:
        """Keep the answer of the attempt that holds the key."""
        if command.not_run:
            self.abandon(command.attempt)
        known = self.claims.get(command.key)
        if known is None or known.attempt != command.attempt:
            return Answer(error=errors.ErrorKind.OUTCOME_UNKNOWN, message="the key is not yours")
        if command.not_run:
            if not known.http_status:
                del self.claims[command.key]
            return Answer(status="freed")
        if not known.http_status:
            known.http_status = command.status
            known.body = command.body
        return Answer(status="done", http_status=known.http_status, body=known.body)

    def abandon(self, attempt: str) -> None:
        """Remember that an attempt gave up, in case its claim is committed only now."""
        self.abandoned[attempt] = True
        while len(self.abandoned) > ANSWERS_KEPT:
            del self.abandoned[next(iter(self.abandoned))]

    def expire(self, command: Expire, index: int) -> Answer:
        """Forget old claims; `claims_before` is how their keys are known to be refused."""
        self.claims_before = max(self.claims_before, command.before)
        self.claims = {
            key: c for key, c in self.claims.items() if c.issued_at >= self.claims_before
        }
        return Answer()


def unknown_version(version: int) -> Answer:
    """Return the answer for a version that nobody proposed."""
    return Answer(
        error=errors.ErrorKind.UNKNOWN_VERSION,
        message=f"no bundle has version {version}; propose it first",
        version=version,
    )
