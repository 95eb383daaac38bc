"""Ed25519 keys of operators and their signatures of bundles."""

from cryptography import exceptions
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519

from merlinthread import errors

SIGNED_PREFIX = b"merlinthread bundle "


def generate_private_key() -> str:
    """Generate a private key; return it in hex."""
    key = ed25519.Ed25519PrivateKey.generate()
    raw = key.private_bytes(
        serialization.Encoding.Raw,
        serialization.PrivateFormat.Raw,
        serialization.NoEncryption(),
    )
    return raw.hex()


def parse_private_key(text: str) -> ed25519.Ed25519PrivateKey:
    """Parse a private key in hex; raise BundleError (bad_signature) if it is malformed."""
    try:
        return ed25519.Ed25519PrivateKey.from_private_bytes(bytes.fromhex(text.strip()))
    except ValueError as error:
        raise errors.BundleError(
            f"malformed private key: {error}; create one with `merlinthread keys new`",
            kind=errors.ErrorKind.BAD_SIGNATURE,
        )


def derive_public_key(private: str) -> str:
    """Return the public key for a private key, both in hex."""
    key = parse_private_key(private).public_key()
    return key.public_bytes(serialization.Encoding.Raw, serialization.PublicFormat.Raw).hex()


def signed_message(version: int, digest: str) -> bytes:
    """Return the bytes to sign for a bundle version and its digest."""
    return SIGNED_PREFIX + f"{version} {digest}".encode()


def sign(private: str, version: int, digest: str) -> str:
    """Sign a bundle version and its digest; return the signature in hex."""
    return parse_private_key(private).sign(signed_message(version, digest)).hex()


def is_valid(public: str, signature: str, version: int, digest: str) -> bool:
    """Return whether `signature` is valid for `public`, this version and this digest.

    Malformed keys and signatures are not valid.
    """
    try:
        key = ed25519.Ed25519PublicKey.from_public_bytes(bytes.fromhex(public))
        key.verify(bytes.fromhex(signature), signed_message(version, digest))
    except (ValueError, exceptions.InvalidSignature):
        return False
    return True


def count_valid_signatures(
    operators: dict[str, str], signed: dict[str, str], version: int, digest: str
) -> int:
    """Return the number of valid signatures by `operators`, a map of names to public keys."""
    return sum(
        is_valid(operators[name], signature, version, digest)
        for name, signature in signed.items()
        if name in operators
    )
