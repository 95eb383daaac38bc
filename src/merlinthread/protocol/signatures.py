"""Operators' Ed25519 keys and signatures of bundles."""

from cryptography import exceptions
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519

from merlinthread import errors

PREFIX = b"merlinthread bundle "


def generate_private_key() -> str:
    """Return a new private key as hex."""
    key = ed25519.Ed25519PrivateKey.generate()
    raw = key.private_bytes(
        serialization.Encoding.Raw,
        serialization.PrivateFormat.Raw,
        serialization.NoEncryption(),
    )
    return raw.hex()


def load_private(text: str) -> ed25519.Ed25519PrivateKey:
    """Return the private key written as hex; raise BundleError (bad_signature) otherwise."""
    try:
        return ed25519.Ed25519PrivateKey.from_private_bytes(bytes.fromhex(text.strip()))
    except ValueError as error:
        raise errors.BundleError(
            f"the private key can't be read: {error}; make one with `merlinthread keys new`",
            kind=errors.ErrorKind.BAD_SIGNATURE,
        )


def derive_public_key(private: str) -> str:
    """Return the public key of a private one, both as hex."""
    raw = load_private(private).public_key()
    return raw.public_bytes(serialization.Encoding.Raw, serialization.PublicFormat.Raw).hex()


def message_of(version: int, digest: str) -> bytes:
    """Return the bytes that are signed."""
    return PREFIX + f"{version} {digest}".encode()


def sign(private: str, version: int, digest: str) -> str:
    """Return the signature as hex."""
    return load_private(private).sign(message_of(version, digest)).hex()


def is_valid(public: str, signature: str, version: int, digest: str) -> bool:
    """Return whether `signature` is by the holder of `public` over this version and digest."""
    try:
        key = ed25519.Ed25519PublicKey.from_public_bytes(bytes.fromhex(public))
        key.verify(bytes.fromhex(signature), message_of(version, digest))
    except (ValueError, exceptions.InvalidSignature):
        return False
    return True


def count_valid(
    operators: dict[str, str], signed: dict[str, str], version: int, digest: str
) -> int:
    """Return how many of `operators` (name to public key) validly signed."""
    return sum(
        is_valid(operators[name], signature, version, digest)
        for name, signature in signed.items()
        if name in operators
    )
