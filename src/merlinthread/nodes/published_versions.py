"""The published versions of models' weights, as a node has learned them from the control VMs."""

import math

from merlinthread import logs
from merlinthread.protocol import node_messages

# Smaller differences between reported ages may be due to latency, up to
# `fleet_watcher.WATCH_TIMEOUT_S`.
AGE_TOLERANCE_S = 2.0


class PublishedVersions:
    """The newest published version of each model, and since when each version is published.

    `named_at` has the times by model and version. Versions only increase.
    """

    def __init__(self) -> None:
        self.named: dict[str, int] = {}
        self.named_at: dict[str, dict[int, float]] = {}

    def apply(self, reported: list[node_messages.NamedVersion], now: float) -> None:
        """Apply reported versions, with the earliest possible time of their publication.

        A control VM that was disconnected may report too high an age, which is corrected by a lower
        one from another control VM.
        """
        for named in reported:
            named_at = self.named_at.setdefault(named.model, {})
            known_at = named_at.get(named.version, -math.inf)
            if now - named.age_s <= known_at + AGE_TOLERANCE_S:
                continue
            named_at[named.version] = now - named.age_s
            if named.version > self.named.get(named.model, 0):
                self.named[named.model] = named.version
                logs.event(
                    "weights_named", model=named.model, version=named.version, age_s=named.age_s
                )

    def newest_version_with_age(self, model: str, now: float, min_age_s: float) -> int:
        """Return the newest version of a model published at least `min_age_s` seconds ago, or 0.

        A later publication does not postpone the time at which an earlier version is required.
        """
        named_at = self.named_at.get(model, {})
        return max(
            (version for version, at in named_at.items() if now - at >= min_age_s), default=0
        )

    def usable_until(self, model: str, version: int, validity_s: float) -> float:
        """Return until when a request may begin on a version of a model's weights.

        This is `validity_s` seconds after the first newer version was published.
        """
        named_at = self.named_at.get(model, {})
        newer = [at for named, at in named_at.items() if named > version]
        return min(newer, default=float("inf")) + validity_s
