"""Messages about pieces of weights and their manifests, between agents."""

import dataclasses

from merlinthread import registry
from merlinthread.coordination import fleet

MESSAGES: registry.Registry[type] = registry.Registry("piece message")


@MESSAGES.add("node.piece_note")
@dataclasses.dataclass(slots=True)
class PieceNotice:
    """Notify another agent, by datagram, that `sender` has received a piece."""

    model: str
    version: int
    sender: str
    index: int


@MESSAGES.add("node.piece_claim")
@dataclasses.dataclass(slots=True)
class PieceClaim:
    """Notify another agent, by datagram, that `sender` is fetching a piece from the origin."""

    model: str
    version: int
    sender: str
    index: int


@MESSAGES.add("node.manifest_request")
@dataclasses.dataclass(slots=True)
class ManifestRequest:
    """Request the manifest of a model's weights from an agent; version 0 is any version."""

    model: str
    version: int


@MESSAGES.add("node.manifest_reply")
@dataclasses.dataclass(slots=True)
class ManifestReply:
    """The manifest, or None if the agent does not have the requested one.

    `is_reading` is set while the agent reads it from the origin.
    """

    manifest: fleet.Manifest | None
    is_reading: bool = False


@MESSAGES.add("node.piece_request")
@dataclasses.dataclass(slots=True)
class PieceRequest:
    """Request any one piece of `wanted` from an agent.

    `wanted` and `held`, the pieces that the sender has, are bit sets, lowest bit first. `took_s` is
    the time that the previous piece from the agent took, or 0 if there was none.
    """

    model: str
    version: int
    wanted: bytes
    sender: str = ""
    held: bytes = b""
    took_s: float = 0.0


@MESSAGES.add("node.piece_reply")
@dataclasses.dataclass(slots=True)
class PieceReply:
    """A piece, or `index` -1 if the sender has none of the wanted ones or is busy.

    `held` is the bit set of the pieces that the sender has. With `is_busy`, `free_in_s` is the time
    until it has sent the pieces it has promised to others.
    """

    index: int
    data: bytes
    held: bytes
    is_busy: bool = False
    free_in_s: float = 0.0
