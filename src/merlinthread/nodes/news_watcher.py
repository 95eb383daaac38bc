"""What an entry or agent knows from the control VMs: configuration, back ends, named weights.

It keeps one question open at one control VM and goes to another when that one is silent or is cut
off from the majority. What it holds never goes back: versions only grow, and an instance that left
stays so. When no control VM answers it goes on with what it holds.
"""

import asyncio
import dataclasses
import math
import zlib
from collections.abc import Callable

from merlinthread import errors, logs, metrics
from merlinthread.coordination import (
    backend_availability,
    conflict_index,
    crash_tracker,
    fleet,
    instances,
    route_table,
)
from merlinthread.nodes import dialect as dialects
from merlinthread.nodes import node_settings
from merlinthread.protocol import node_messages
from merlinthread.transport import node_bus

WATCH_WAIT_S = 0.6
WATCH_TIMEOUT_S = 1.1
# The same while the control VM asked is not joined to a majority: it tells soon that it is again.
STALE_WAIT_S = 0.2
FIRST_TIMEOUT_S = 0.4
PAUSE_S = 0.1
# How often another control VM is looked for while none is known to be joined to a majority.
SEARCH_EVERY_S = 0.4
STALE_S = 1.6
MISSING_BEATS = 4
# An age that differs by less is no better known: news are up to WATCH_TIMEOUT_S on their way.
AGE_DOUBT_S = 2.0


@dataclasses.dataclass(slots=True)
class Told:
    """How far a control VM has told its news: its feed and the positions in it."""

    feed: str = ""
    position: int = 0
    suspicions: int = 0
    limits: int = 0


class NewsWatcher:
    """The state and the task of watching.

    `suspects` takes what is told of requests, `signals` what is told of back ends' limits.
    """

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        dialect: dialects.Dialect,
        caller: node_bus.RpcClient,
        clock: Callable[[], float],
        on_news: Callable[[], None],
        suspects: crash_tracker.CrashTracker | None = None,
        signals: backend_availability.AvailabilityTable | None = None,
    ) -> None:
        self.settings = settings
        self.dialect = dialect
        self.caller = caller
        self.clock = clock
        self.on_news = on_news
        self.suspects = suspects
        self.signals = signals
        self.table: route_table.RouteTable | None = None
        self.version = 0
        self.instances: dict[str, fleet.Heartbeat] = {}
        self.index = conflict_index.ConflictIndex()
        self.cold_until: dict[str, float] = {}
        self.heard_at: dict[str, float] = {}
        self.gone: set[str] = set()
        self.missing: dict[str, float] = {}
        self.named: dict[str, int] = {}
        self.named_at: dict[str, dict[int, float]] = {}
        self.controls: list[str] = settings.control_rpc_addresses()
        self.current = ""
        self.told: dict[str, Told] = {}
        self.search_at = float("-inf")
        self.fresh_at = float("-inf")
        self.is_fresh = False

    async def run(self) -> None:
        """Watch for ever."""
        while True:
            if not self.current or (not self.is_fresh and self.clock() >= self.search_at):
                await self.search()
            if not self.current:
                await asyncio.sleep(PAUSE_S)
                continue
            await self.watch_once()

    async def search(self) -> None:
        """Turn to a control VM that is joined to a majority, or to any if there is none such."""
        answered = await self.find_control()
        self.search_at = self.clock() + SEARCH_EVERY_S
        if self.is_fresh:
            self.current = answered
            # The others tell all anew, should one of them be turned to later.
            self.told = {answered: self.told.get(answered, Told())}
        self.current = self.current or answered

    async def find_control(self) -> str:
        """Return the control VM that answers first and is joined to a majority.

        If none is joined, return any that answers, else an empty string. All are asked at once, so
        that it is a near one: news then cross no region (what that saves was not told apart).
        """
        asked = {
            asyncio.get_running_loop().create_task(self.ask(address, 0.0, FIRST_TIMEOUT_S)): address
            for address in self.others()
        }
        second = ""
        pending = set(asked)
        while pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                news = task.result()
                if news is None:
                    continue
                self.take(news, asked[task])
                if news.leader_age_s < STALE_S:
                    for other in pending:
                        other.cancel()
                    return asked[task]
                second = second or asked[task]
        return second

    def others(self) -> list[str]:
        """Return the control VMs but the present one."""
        known = dict.fromkeys([*self.controls, *self.settings.control_rpc_addresses()])
        return [address for address in known if address != self.current]

    async def ask(
        self, address: str, wait_s: float, timeout_s: float
    ) -> node_messages.WatchReply | None:
        """Return a control VM's news, or None if it does not answer."""
        told = self.told.get(address, Told())
        suspicions = told.suspicions if self.suspects is not None else -1
        limits = told.limits if self.signals is not None else -1
        watch = node_messages.WatchRequest(
            self.settings.name, told.feed, told.position, self.version, wait_s, suspicions, limits
        )
        try:
            return await self.caller.call(address, watch, timeout_s)
        except errors.MerlinthreadError as error:
            logs.debug("control_silent", control=address, reason=error.message)
            return None

    async def watch_once(self) -> None:
        """Ask the present control VM and take what it tells."""
        wait_s = WATCH_WAIT_S if self.is_fresh else STALE_WAIT_S
        news = await self.ask(self.current, wait_s, WATCH_TIMEOUT_S)
        if news is None:
            self.lose("no answer")
            return
        self.take(news, self.current)
        if news.leader_age_s > STALE_S:
            self.note_stale("cut off from the majority")
            await asyncio.sleep(PAUSE_S)

    def is_sure(self) -> bool:
        """Return whether what this node holds is surely what a majority held just now.

        The age counts as well as the last answer: a VM that was suspended wakes up with the last
        answer good and old.
        """
        return self.is_fresh and self.clock() - self.fresh_at <= STALE_S

    def note_stale(self, reason: str) -> None:
        """Note that the present control VM does not surely hold what a majority holds.

        It is still asked for what is new while no other one does better: after a loss of all there
        is none that does for a second, and to be told all anew ten times a second would keep them
        from finding a leader.
        """
        if self.is_fresh:
            logs.event("control_lost", control=self.current, reason=reason)
            self.search_at = self.clock()
        self.is_fresh = False

    def lose(self, reason: str) -> None:
        """Leave the present control VM."""
        self.note_stale(reason)
        self.current = ""
        self.told = {}

    def feed(self) -> str:
        """Return the feed of the present control VM, or an empty string."""
        return self.told.get(self.current, Told()).feed

    # Taking news

    def take(self, news: node_messages.WatchReply, address: str = "") -> None:
        """Take news of the control VM at `address` in; older ones change nothing."""
        now = self.clock()
        if news.leader_age_s <= STALE_S:
            self.fresh_at = now
            if not self.is_fresh:
                self.is_fresh = True
                version = news.configuration_version
                logs.event("control_found", leader_age_s=news.leader_age_s, version=version)
        if news.controls:
            self.controls = news.controls
        # Before what is told is taken, which may ask for all anew.
        self.told[address] = Told(
            news.feed, news.position, news.suspicion_revision, news.limit_revision
        )
        self.take_configuration(news)
        self.take_versions(news, now)
        self.take_instances(news, address, now)
        if self.suspects is not None:
            for suspicion in news.suspicions:
                self.suspects.merge(suspicion, now)
        if self.signals is not None:
            for limit in news.limits:
                self.signals.merge_reported_limit(limit, now)
        self.count()
        self.on_news()

    def count(self) -> None:
        """Set the figures that operators see."""
        metrics.configuration_version.set(self.version)
        metrics.control_age_seconds.set(self.clock() - self.fresh_at)
        for state in (fleet.READY, fleet.DRAINING):
            number = sum(1 for known in self.instances.values() if known.state == state)
            metrics.backends.labels(state).set(number)

    def take_configuration(self, news: node_messages.WatchReply) -> None:
        """Take a newer configuration over."""
        if news.configuration_version <= self.version or not news.configuration:
            return
        try:
            body = zlib.decompress(news.configuration)
            self.table = route_table.RouteTable(self.dialect.configuration(body))
        except (errors.MerlinthreadError, zlib.error) as error:
            logs.warning("configuration_unreadable", reason=str(error))
            return
        old, self.version = self.version, news.configuration_version
        logs.event(
            "configuration", version=self.version, before=old, leader_age_s=news.leader_age_s
        )

    def take_versions(self, news: node_messages.WatchReply, now: float) -> None:
        """Take named weights over, with the earliest time at which they may have been acknowledged.

        A control VM that was away tells too great an age; one that was not puts it right.
        """
        for named in news.named:
            named_at = self.named_at.setdefault(named.model, {})
            if now - named.age_s > named_at.get(named.version, math.inf) + AGE_DOUBT_S:
                named_at[named.version] = now - named.age_s
            if named.version <= self.named.get(named.model, 0):
                continue
            self.named[named.model] = named.version
            named_at[named.version] = now - named.age_s
            logs.event("weights_named", model=named.model, version=named.version, age_s=named.age_s)

    def version_due(self, model: str, now: float, bound_s: float) -> int:
        """Return the newest version of a model's weights named `bound_s` ago or earlier, or 0.

        Each version has its own bound: a newer one does not put off the one before it.
        """
        named_at = self.named_at.get(model, {})
        return max((version for version, at in named_at.items() if now - at >= bound_s), default=0)

    def usable_until(self, model: str, version: int, bound_s: float) -> float:
        """Return until when a request may begin on `version` of a model's weights.

        That is `bound_s` after the first newer version was named.
        """
        named_at = self.named_at.get(model, {})
        newer = [at for named, at in named_at.items() if named > version]
        return min(newer, default=float("inf")) + bound_s

    def take_instances(self, news: node_messages.WatchReply, address: str, now: float) -> None:
        """Take changes of back ends over."""
        for instance in news.gone:
            self.forget(instance)
        for told in news.instances:
            self.take_instance(told, now)
        if news.is_full:
            present = {told.heartbeat.instance for told in news.instances}
            absent = sorted(set(self.instances) - present)
            logs.event("news_in_full", told=len(present), gone=len(news.gone), absent=absent[:8])
            for instance in absent:
                self.missing.setdefault(instance, now)
            if absent:
                # One that has just started may not have heard them; the others have told them and
                # would tell nothing more.
                self.told = {address: self.told[address]}
        self.drop_missing(now)

    def take_instance(self, told: instances.Instance, now: float) -> None:
        """Take one back end over."""
        heartbeat = told.heartbeat
        if heartbeat.instance in self.gone:
            return
        self.missing.pop(heartbeat.instance, None)
        known = self.instances.get(heartbeat.instance)
        if known is not None and known.sequence > heartbeat.sequence:
            if heartbeat.state == fleet.DRAINING:
                known.state = fleet.DRAINING
            return
        if known is not None and known.state == fleet.DRAINING:
            heartbeat.state = fleet.DRAINING
        if known is None or known.state != heartbeat.state:
            logs.event(
                "instance",
                instance=heartbeat.instance,
                service=heartbeat.service,
                address=heartbeat.address,
                state=heartbeat.state,
                age_s=told.age_s,
            )
        self.heard_at[heartbeat.instance] = now - told.age_s
        for name in self.index.conflicts(heartbeat):
            # Two at one address, or of one id: the one heard of last is there.
            if self.heard_at[name] > now - told.age_s:
                return
            # Not for good: a late heartbeat may have misled the control VM for a moment.
            self.drop(name)
            logs.event("instance", instance=name, state="replaced", by=heartbeat.instance)
        self.instances[heartbeat.instance] = heartbeat
        self.index.put(heartbeat)
        self.cold_until[heartbeat.instance] = now + heartbeat.cold_s - told.age_s

    def drop(self, instance: str) -> bool:
        """Hold a back end for absent; return whether it was there."""
        self.index.discard(instance)
        return self.instances.pop(instance, None) is not None

    def forget(self, instance: str) -> None:
        """Note that a back end has left for good."""
        self.gone.add(instance)
        self.missing.pop(instance, None)
        self.cold_until.pop(instance, None)
        if self.drop(instance):
            logs.event("instance", instance=instance, state=fleet.GONE)

    def drop_missing(self, now: float) -> None:
        """Drop back ends that no control VM has told of for long; they may come back."""
        grace_s = MISSING_BEATS * self.settings.heartbeat_s
        for instance, since in list(self.missing.items()):
            if now - since > grace_s:
                del self.missing[instance]
                self.told = {}
                self.drop(instance)
                logs.event("instance", instance=instance, state="missing", since_s=now - since)
