"""Bytes of the messages between our own processes: MessagePack behind a keyed checksum.

A frame is an 8-byte key name, a 16-byte BLAKE3 keyed hash of the rest, one byte that says whether
the rest is compressed (zlib), and the MessagePack pair (message name, message). Without keys the
two first parts are zeros and are not looked at.
"""

import dataclasses
import hmac
import zlib
from typing import Any

import blake3
import msgspec

from merlinthread import errors, registry

KEY_NAME_BYTES = 8
TAG_BYTES = 16
KEY_BYTES = 32
PLAIN = b"\0"
COMPRESSED = b"\1"
COMPRESS_MIN_BYTES = 160
# Weights do not get shorter, and there are many of them.
INCOMPRESSIBLE = frozenset({"chunk", "node.piece_reply"})
COMPRESS_MAX_BYTES = 4 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class Key:
    """A shared secret of 32 bytes; its name is derived from it."""

    secret: bytes

    def name(self) -> bytes:
        """Return the name that frames carry."""
        return blake3.blake3(self.secret).digest(KEY_NAME_BYTES)

    def tag(self, body: bytes) -> bytes:
        """Return the keyed hash of `body`."""
        return blake3.blake3(body, key=self.secret).digest(TAG_BYTES)


class Codec:
    """Encode and decode messages of the given registries.

    The first key signs, every key verifies: to rotate, add the new key last everywhere, then put it
    first everywhere, then take the old one out.
    """

    def __init__(self, registries: list[registry.Registry[type]], keys: list[Key]) -> None:
        self.types: dict[str, type] = {}
        for entries in registries:
            self.types.update(entries.entries)
        self.names_by_type = {kind: name for name, kind in self.types.items()}
        self.decoders = {name: msgspec.msgpack.Decoder(kind) for name, kind in self.types.items()}
        self.envelope_decoder = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
        self.set_keys(keys)

    def set_keys(self, keys: list[Key]) -> None:
        """Replace the keys; may be called at any time."""
        self.keys = {key.name(): key for key in keys}
        self.signer = keys[0] if keys else None

    def encode(self, message: Any) -> bytes:
        """Return the frame of `message`."""
        name = self.names_by_type[type(message)]
        body = msgspec.msgpack.encode((name, message))
        body = PLAIN + body if name in INCOMPRESSIBLE else self.pack(body)
        if self.signer is None:
            return bytes(KEY_NAME_BYTES + TAG_BYTES) + body
        return self.signer.name() + self.signer.tag(body) + body

    def pack(self, body: bytes) -> bytes:
        """Return `body` compressed if it is neither too short nor too long for that."""
        if COMPRESS_MIN_BYTES <= len(body) <= COMPRESS_MAX_BYTES:
            return COMPRESSED + zlib.compress(body, 1)
        return PLAIN + body

    def unpack(self, body: bytes) -> bytes:
        """Return what `pack` was given; raise ValueError for what it never makes."""
        if body[:1] == PLAIN:
            return body[1:]
        if body[:1] != COMPRESSED:
            raise ValueError(f"no frame starts with {body[:1]!r}")
        inflater = zlib.decompressobj()
        found = inflater.decompress(body[1:], COMPRESS_MAX_BYTES)
        if not inflater.eof:
            raise ValueError("the compressed part is cut off or too long")
        return found

    def decode(self, frame: bytes) -> Any:
        """Return the message in `frame`; raise ProtocolError if it is forged or malformed."""
        body = frame[KEY_NAME_BYTES + TAG_BYTES :]
        if self.keys:
            self.verify(frame, body)
        try:
            name, raw = self.envelope_decoder.decode(self.unpack(body))
            return self.decoders[name].decode(raw)
        except (msgspec.DecodeError, KeyError, ValueError, RecursionError, zlib.error) as error:
            raise errors.ProtocolError(f"a message of {len(frame)} bytes does not decode: {error}")

    def verify(self, frame: bytes, body: bytes) -> None:
        """Raise ProtocolError unless the frame's tag was made with one of the keys."""
        key = self.keys.get(frame[:KEY_NAME_BYTES])
        if key is None:
            raise errors.ProtocolError(
                "a message is signed with a key that is not in mesh_keys",
                kind=errors.ErrorKind.UNAUTHORISED,
            )
        tag = frame[KEY_NAME_BYTES : KEY_NAME_BYTES + TAG_BYTES]
        if not hmac.compare_digest(tag, key.tag(body)):
            raise errors.ProtocolError(
                "a message's checksum is wrong: it was changed on its way",
                kind=errors.ErrorKind.UNAUTHORISED,
            )


def parse_key(text: str) -> Key:
    """Return the key written as 64 hex digits; raise ValueError otherwise."""
    secret = bytes.fromhex(text)
    if len(secret) != KEY_BYTES:
        raise ValueError(f"a mesh key has {KEY_BYTES} bytes, not {len(secret)}")
    return Key(secret)
