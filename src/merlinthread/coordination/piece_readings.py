"""When the staged pieces of one version of weights were last read back and found right.

A staged piece may turn bad at any time, so that a reading says less the older it is. A bad piece
stays bad until it is staged again, so that a piece that is right now has been right since then.
"""


class PieceReadings:
    """The time at which the last reading of each piece began, if it found the piece right."""

    def __init__(self, count: int) -> None:
        self.began_at = [float("-inf")] * count

    def record(self, index: int, began_at: float, is_right: bool) -> None:
        """Record a reading that began at `began_at`."""
        self.began_at[index] = began_at if is_right else float("-inf")

    def forget(self) -> None:
        """Discard all readings, for example because the engine may have lost its pieces."""
        self.began_at = [float("-inf")] * len(self.began_at)

    def older_than(self, age_s: float, now: float) -> list[int]:
        """Return the pieces that were not found right in the last `age_s` seconds."""
        return [index for index, began_at in enumerate(self.began_at) if now - began_at > age_s]
