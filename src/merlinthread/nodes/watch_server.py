"""Replies to the watch requests of nodes, with what has changed since the position in each."""

import asyncio
import contextlib
import secrets
from collections.abc import Callable

from merlinthread.coordination import instances, version_history
from merlinthread.nodes import crash_registry, limit_registry, log_member
from merlinthread.protocol import node_messages

WATCH_WAIT_MAX_S = 1.0


class WatchServer:
    """Replies to watch requests from the state of a control VM.

    `feed` identifies this process; nodes discard the positions that an earlier one has sent.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        member: log_member.LogMember,
        registry: instances.InstanceRegistry,
        versions: version_history.VersionHistory,
        crashes: crash_registry.CrashRegistry,
        limits: limit_registry.LimitRegistry,
    ) -> None:
        self.clock = clock
        self.member = member
        self.registry = registry
        self.versions = versions
        self.crashes = crashes
        self.limits = limits
        self.feed = secrets.token_hex(8)
        self.changed = asyncio.Event()

    def notify(self) -> None:
        """Wake the pending requests."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def reply_to(self, watch: node_messages.WatchRequest) -> node_messages.WatchReply:
        """Reply with the changes that the node lacks; wait for some until the request times out."""
        received_at = self.clock()
        deadline = received_at + min(watch.wait_s, WATCH_WAIT_MAX_S)
        while not self.has_changes_for(watch):
            remaining_s = deadline - self.clock()
            if remaining_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await self.changed.wait()
        return self.changes_for(watch, received_at)

    def has_changes_for(self, watch: node_messages.WatchRequest) -> bool:
        """Return whether anything changed since the positions in a watch request."""
        if watch.feed != self.feed or watch.position < self.registry.position:
            return True
        if 0 <= watch.suspicions < self.crashes.tracker.reported_revision:
            return True
        if 0 <= watch.limits < self.limits.table.revision:
            return True
        if 0 <= watch.evacuations < self.member.state.evacuation_revision:
            return True
        return watch.configuration < self.member.state.version

    def changes_for(
        self, watch: node_messages.WatchRequest, received_at: float | None = None
    ) -> node_messages.WatchReply:
        """Return the changes since the positions in a watch request that came at `received_at`.

        That is now if it is None.
        """
        now = self.clock()
        position = watch.position if watch.feed == self.feed else 0
        is_full, changed, gone = self.registry.changes_since(position, now)
        state = self.member.state
        is_newer = state.version > watch.configuration
        suspicions_from = watch.suspicions if watch.feed == self.feed else min(0, watch.suspicions)
        suspicions = (
            self.crashes.tracker.changes_since(suspicions_from, now) if suspicions_from >= 0 else []
        )
        evacuations = None
        if watch.evacuations < 0 and state.evacuated:
            # Draining is final there, so after the withdrawal an entry of an older build uses these
            # back ends again only once it is restarted, as its upgrade does.
            changed = instances.with_zones_draining(changed, set(state.evacuated))
        if 0 <= watch.evacuations < state.evacuation_revision:
            evacuations = node_messages.Evacuations(
                state.evacuation_revision, list(state.evacuated)
            )
        limits_from = watch.limits if watch.feed == self.feed else min(0, watch.limits)
        return node_messages.WatchReply(
            self.feed,
            self.registry.position,
            is_full,
            changed,
            gone,
            [
                node_messages.NamedVersion(model, version, age_s)
                for model, newest in state.named.items()
                for version, age_s in self.versions.ages(model, newest, now)
            ],
            state.version,
            state.body if is_newer else b"",
            self.member.member_addresses(),
            self.member.leader_tracker.staleness_s(now),
            suspicions,
            self.crashes.tracker.reported_revision,
            self.limits.changes_since(limits_from),
            self.limits.table.revision,
            evacuations,
            0.0 if received_at is None else now - received_at,
        )
