"""Encode messages between nodes as MessagePack frames authenticated with a keyed hash.

A frame consists of an 8-byte key id, a 16-byte BLAKE3 keyed hash of the rest, one byte that tells
whether the payload is compressed with zlib, and the payload: a MessagePack pair of message name and
message. Without keys, the key id and the hash are zeros and are not checked.
"""

import dataclasses
import hmac
import zlib
from typing import Any

import blake3
import msgspec

from merlinthread import errors, registry

KEY_ID_BYTES = 8
TAG_BYTES = 16
KEY_BYTES = 32
UNCOMPRESSED = b"\0"
COMPRESSED = b"\1"
COMPRESS_MIN_BYTES = 160
# Messages that carry model weights, which hardly compress.
INCOMPRESSIBLE_MESSAGES = frozenset({"chunk", "node.piece_reply"})
COMPRESS_MAX_BYTES = 4 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class Key:
    """A shared secret of 32 bytes, identified by a hash of itself."""

    secret: bytes

    def key_id(self) -> bytes:
        """Return the id that frames carry to tell which key authenticates them."""
        return blake3.blake3(self.secret).digest(KEY_ID_BYTES)

    def tag(self, body: bytes) -> bytes:
        """Return the authentication tag of `body`, a keyed hash."""
        return blake3.blake3(body, key=self.secret).digest(TAG_BYTES)


class Codec:
    """Encode and decode the messages of the given registries.

    The first key authenticates outgoing frames; any key is accepted in incoming ones. To rotate
    keys, append the new key on all nodes, then move it to the front on all nodes, then remove the
    old key.
    """

    def __init__(self, registries: list[registry.Registry[type]], keys: list[Key]) -> None:
        self.types: dict[str, type] = {}
        for message_registry in registries:
            self.types.update(message_registry.entries)
        self.names = {kind: name for name, kind in self.types.items()}
        self.decoders = {name: msgspec.msgpack.Decoder(kind) for name, kind in self.types.items()}
        self.envelope_decoder = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
        self.set_keys(keys)

    def set_keys(self, keys: list[Key]) -> None:
        """Replace the keys; may be called at any time."""
        self.keys = {key.key_id(): key for key in keys}
        self.signing_key = keys[0] if keys else None

    def encode(self, message: Any) -> bytes:
        """Return the frame for `message`; raise KeyError if its type is not registered."""
        name = self.names[type(message)]
        body = msgspec.msgpack.encode((name, message))
        body = UNCOMPRESSED + body if name in INCOMPRESSIBLE_MESSAGES else self.compress(body)
        if self.signing_key is None:
            return bytes(KEY_ID_BYTES + TAG_BYTES) + body
        return self.signing_key.key_id() + self.signing_key.tag(body) + body

    def compress(self, body: bytes) -> bytes:
        """Return `body` behind its compression flag, compressed unless too short or too long."""
        if COMPRESS_MIN_BYTES <= len(body) <= COMPRESS_MAX_BYTES:
            return COMPRESSED + zlib.compress(body, 1)
        return UNCOMPRESSED + body

    def decompress(self, body: bytes) -> bytes:
        """Return the body that `compress` was given; raise ValueError if `body` is malformed."""
        if body[:1] == UNCOMPRESSED:
            return body[1:]
        if body[:1] != COMPRESSED:
            raise ValueError(f"unknown compression flag {body[:1]!r}")
        inflater = zlib.decompressobj()
        inflated = inflater.decompress(body[1:], COMPRESS_MAX_BYTES)
        if not inflater.eof:
            raise ValueError("the compressed payload is truncated or too long")
        return inflated

    def decode(self, frame: bytes) -> Any:
        """Return the message in `frame`; raise ProtocolError if malformed or not authentic."""
        body = frame[KEY_ID_BYTES + TAG_BYTES :]
        if self.keys:
            self.verify(frame, body)
        try:
            name, raw = self.envelope_decoder.decode(self.decompress(body))
            return self.decoders[name].decode(raw)
        except (msgspec.DecodeError, KeyError, ValueError, RecursionError, zlib.error) as error:
            raise errors.ProtocolError(f"cannot decode a message of {len(frame)} bytes: {error}")

    def verify(self, frame: bytes, body: bytes) -> None:
        """Raise ProtocolError unless the tag in `frame` authenticates `body` with a known key."""
        key = self.keys.get(frame[:KEY_ID_BYTES])
        if key is None:
            raise errors.ProtocolError(
                "a message is authenticated with a key that is not in mesh_keys",
                kind=errors.ErrorKind.UNAUTHORISED,
            )
        tag = frame[KEY_ID_BYTES : KEY_ID_BYTES + TAG_BYTES]
        if not hmac.compare_digest(tag, key.tag(body)):
            raise errors.ProtocolError(
                "a message has a wrong checksum; it was modified in transit",
                kind=errors.ErrorKind.UNAUTHORISED,
            )


def parse_key(text: str) -> Key:
    """Return the key written as 64 hex digits; raise ValueError if malformed."""
    secret = bytes.fromhex(text)
    if len(secret) != KEY_BYTES:
        raise ValueError(f"a mesh key must have {KEY_BYTES} bytes, not {len(secret)}")
    return Key(secret)
