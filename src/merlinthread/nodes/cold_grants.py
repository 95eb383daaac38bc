"""Grants permits for requests to an agent's engine while that is cold.

The agent is the only one that all entries ask before they choose its engine, and it fails only
together with it. It grants a permit to every entry that asks for one, since only entries that take
the engine for cold do.
"""

from collections.abc import Callable

from merlinthread import logs, metrics
from merlinthread.coordination import cold_limits, entry_numbers
from merlinthread.nodes import fleet_watcher, node_settings
from merlinthread.protocol import node_messages

# Permits that follow a longer pause are logged as a new cold start.
PAUSE_S = 10.0


class ColdGrants:
    """The permits of one agent, with the entries that ask for them."""

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        watcher: fleet_watcher.FleetWatcher,
        clock: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.watcher = watcher
        self.clock = clock
        self.entries = entry_numbers.EntryNumbers(clock())
        self.limiter: cold_limits.ColdLimiter | None = None
        self.asked_at = float("-inf")

    def limit(self) -> cold_limits.ColdLimit | None:
        """Return the limit of the engine while it is cold, or None if there is none."""
        service = self.watcher.service(self.settings.engine_service)
        if service is None:
            return None
        bounds = self.settings.bounds
        return cold_limits.make_limit(service.cold_per_s, bounds.cold_overage, bounds.cold_slack)

    def update(self) -> None:
        """Begin with a limit as soon as the configuration has one.

        The first permits are withheld for some time from then on, which should have passed before
        one is requested.
        """
        self.current_limiter()

    def current_limiter(self) -> cold_limits.ColdLimiter | None:
        """Return the limiter with the limit of the current configuration, or None without one.

        One that has begun stays until the agent ends, so that what it has granted is not forgotten
        when a limit is removed for a moment.
        """
        limit = self.limit()
        if limit is None:
            return None
        if self.limiter is None:
            self.limiter = cold_limits.ColdLimiter(limit, self.clock())
        self.limiter.apply_limit(limit)
        return self.limiter

    def reply_to(self, query: node_messages.LoadQuery) -> node_messages.PermitReply | None:
        """Return the decision on a query's request for a permit.

        Return None if it requests none, or if the limit is not known here. The entry then uses its
        time slots.
        """
        now = self.clock()
        self.entries.record(query.address, now)
        limiter = self.current_limiter()
        if limiter is None or query.permit is None or not query.permit.limits:
            return None
        instance = query.permit.limits[0].instance
        decision = limiter.decide(instance, query.permit.patience_s, now)
        metrics.cold_permits_total.labels("given" if decision.instance else "denied").inc()
        if now - self.asked_at > PAUSE_S:
            logs.event(
                "cold_permits_granted_here",
                instance=instance,
                entry=query.address,
                per_s=limiter.limit.per_s(),
                burst=limiter.limit.burst(),
            )
        self.asked_at = now
        number = self.entries.number_of(query.address, now)
        if number is None:
            return node_messages.PermitReply(decision, at=now)
        return node_messages.PermitReply(decision, "", self.entries.count(), number, now)

    def record_attempt(self, notice: node_messages.AttemptNotice) -> None:
        """Count an attempt that an entry began without a permit of this agent."""
        limiter = self.current_limiter()
        if limiter is not None and not notice.has_permit:
            limiter.record_unpermitted(self.clock())
