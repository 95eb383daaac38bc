"""Evidence that a manifest is wrong: readings of a piece that agree among themselves, not with it.

Nothing vouches for a manifest, which may be spoilt like any other data from outside. A spoilt piece
differs from the manifest as well, but hardly twice in the same way.
"""

import dataclasses

from merlinthread.coordination import fetch, fleet

READINGS_MIN = 2
CHECK_INTERVAL_S = 1.0
CHECK_INTERVAL_MAX_S = 16.0
# Distinct digests kept for a piece; an origin that spoils each answer yields a new one every time.
DIGESTS_MAX = 8


@dataclasses.dataclass(slots=True)
class Readings:
    """The readings of a piece that had one digest.

    Each read from the origin counts; a peer counts once, since it sends the same copy each time.
    """

    from_origin: int = 0
    peers: set[str] = dataclasses.field(default_factory=set)

    def count(self) -> int:
        """Return the number of independent readings."""
        return self.from_origin + len(self.peers)


class ManifestEvidence:
    """Readings that differ from the manifest of one version, and when to check the manifest.

    The interval between checks doubles with each check that does not correct the manifest. The
    pieces that caused a check are not read from the origin until the next check is allowed.
    """

    def __init__(self) -> None:
        self.readings: dict[int, dict[str, Readings]] = {}
        # Reads from the origin that failed since it does not have the version.
        self.refusals = 0
        self.checked_pieces = 0
        self.check_not_before = float("-inf")
        self.check_interval_s = CHECK_INTERVAL_S

    def record(self, index: int, digest: str, peer: str) -> None:
        """Record the digest of a piece from `peer`, or from the origin if that is empty."""
        digests = self.readings.setdefault(index, {})
        if digest not in digests and len(digests) >= DIGESTS_MAX:
            del digests[next(iter(digests))]
        found = digests.setdefault(digest, Readings())
        if peer:
            found.peers.add(peer)
        else:
            found.from_origin += 1

    def is_version_doubtful(self, held: int) -> bool:
        """Return whether the origin has repeatedly denied the version, and no piece was found."""
        return not held and self.refusals >= READINGS_MIN

    def disputed(self) -> set[tuple[int, str]]:
        """Return each piece with enough readings that agree, and the digest of these."""
        return {
            (index, digest)
            for index, digests in self.readings.items()
            for digest, found in digests.items()
            if found.count() >= READINGS_MIN
        }

    def disputed_pieces(self) -> int:
        """Return the bit set of the disputed pieces."""
        return sum(1 << index for index in {index for index, _ in self.disputed()})

    def suspended_pieces(self, now: float) -> int:
        """Return the bit set of the pieces that are not to be read from the origin now."""
        checked = self.checked_pieces if now < self.check_not_before else 0
        return checked | self.disputed_pieces()

    def is_check_due(self, now: float) -> bool:
        """Return whether to look for another copy of the manifest now."""
        return now >= self.check_not_before and bool(self.disputed())

    def peers(self) -> set[str]:
        """Return the peers that sent pieces that differ from the manifest."""
        return {
            peer
            for digests in self.readings.values()
            for found in digests.values()
            for peer in found.peers
        }

    def peers_agreeing_with(self, copy: fleet.Manifest) -> set[str]:
        """Return the peers that sent such pieces, but in agreement with a copy of the manifest."""
        return {
            peer
            for index, digests in self.readings.items()
            for digest, found in digests.items()
            for peer in found.peers
            if digest == copy.digests[index]
        }

    def is_corrected_by(self, manifest: fleet.Manifest, copy: fleet.Manifest, held: int) -> bool:
        """Return whether a copy agrees with the readings of a disputed piece and all held pieces.

        A held piece vouches for its digest, so that a copy that differs there is spoilt itself.
        """
        if (copy.model, copy.version) != (manifest.model, manifest.version):
            return False
        if len(copy.digests) != len(manifest.digests):
            return False
        if any(
            copy.digests[index] != manifest.digests[index] for index in fetch.bit_positions(held)
        ):
            return False
        return any(copy.digests[index] == digest for index, digest in self.disputed())

    def on_corrected(self) -> None:
        """Discard the readings, which were compared with wrong digests."""
        self.readings.clear()
        self.checked_pieces = 0
        self.check_interval_s = CHECK_INTERVAL_S

    def on_not_corrected(self, now: float) -> None:
        """Discard the readings and postpone the next check."""
        self.checked_pieces = self.disputed_pieces()
        self.readings.clear()
        self.check_not_before = now + self.check_interval_s
        self.check_interval_s = min(CHECK_INTERVAL_MAX_S, 2 * self.check_interval_s)
