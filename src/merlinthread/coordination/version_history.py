"""Since when the latest versions of models' weights are published, as a control VM knows it.

A node that starts between the publications of two versions needs the times of both: the earlier one
is required before the later one is.
"""


class VersionHistory:
    """The times of publications, by model and version.

    A version is required `validity_s` seconds after its publication. Earlier versions than the
    newest required one are of no use, and are dropped.
    """

    def __init__(self, validity_s: float) -> None:
        self.validity_s = validity_s
        self.published_at: dict[str, dict[int, float]] = {}

    def record(self, model: str, version: int, at: float) -> None:
        """Record that a version was published at a time, or not long after it.

        An earlier version that seems to have been published later is dropped: this one is required
        first, and more than the earlier one. A version that is not newer than all known ones is
        published again, since a call was repeated, and keeps its first time.
        """
        known = self.published_at.get(model, {})
        if version <= max(known, default=0):
            return
        self.published_at[model] = {other: time for other, time in known.items() if time < at} | {
            version: at
        }

    def restore(self, model: str, version: int, at: float) -> None:
        """Record a version that was learned without its time, published at or after `at`.

        It is taken for as old as the newest version that is known, if any.
        """
        known = self.published_at.get(model, {})
        if version not in known:
            self.record(model, version, max(known.values(), default=at))

    def ages(self, model: str, newest: int, now: float) -> list[tuple[int, float]]:
        """Return the versions to tell to nodes up to `newest`, with their ages in seconds.

        They are in ascending order and always include `newest`.
        """
        known = self.published_at.get(model, {})
        required = max((v for v, at in known.items() if now - at >= self.validity_s), default=0)
        known = {version: at for version, at in known.items() if version >= required}
        self.published_at[model] = known
        told = {version: at for version, at in known.items() if version < newest}
        told[newest] = known.get(newest, now)
        return [(version, now - at) for version, at in sorted(told.items())]
