"""One version of a model's weights on its way to an agent.

Pieces come from the origin or from peers, are checked against the manifest and kept in memory.
Those of the newest version are also staged at the engine as they come: they outlast this process.
Nothing is staged while an order is under way: an engine takes what lies there when it is free.
"""

from collections.abc import Callable

from merlinthread import errors, logs, metrics
from merlinthread.coordination import fetch, fetch_policies, fleet, pacing, rollout
from merlinthread.nodes import engine_client, staging_area
from merlinthread.protocol import node_messages
from merlinthread.state import pieces
from merlinthread.transport import node_bus

# Questions to peers under way at a time, over all versions: of an engine that serves nothing yet,
# and of one that does. Pieces wait in the link, and requests to the engine behind them: 4 pieces
# of 32 KB are 0.28 s of a 3.8 Mbit/s link (svppa-windwatch scale-1: p50 of first events 130 to 290
# ms).
PARALLEL = 4
PARALLEL_SERVING = 2
ASKS_PER_PEER = 2
# Two, so that the origin's link is busy while a piece is on its way: with one, 10 agents had not
# all pieces out of the origin after 2.5 s (1.7 s at its full rate; `bench transfer`).
ORIGIN_SLOTS = 2
# Of the connections that the origin bears, what all readers together may hold.
ORIGIN_CONNECTIONS_SHARE = 0.5
# How old a peer's word may get, by distance: the model of `bench transfer` has the last of 10
# agents whole at 1.25 of the bound with these and at 1.37 with the product's longer ones.
STALE_AFTER_S = (0.1, 0.2, 0.2)
# Share of the link that incoming pieces may take, at least and at most: the engine's requests share
# it, so an engine that serves takes no more than its version needs to be here in time.
IN_SHARE_MIN = 0.5
IN_SHARE = 0.93
AHEAD_S = 0.03
ORIGIN_WAIT_S = 0.3
ORIGIN_GRACE_S = 0.8
# Three reads in a row that failed, one each ORIGIN_WAIT_S.
STALLED_AFTER_S = 0.9
PEER_TIMEOUT_S = 1.5
# A piece that took longer tells of a narrow link: for a while only one is under way at a time, so
# that requests to the engine do not wait behind several (svppa-windwatch fresh-0432: one was held
# up for 1.5 s and began after the bound of its version).
SLOW_PIECE_S = 0.7
SLOW_FOR_S = 2.0
IDLE_WAIT_S = 0.02
PROGRESS_EVERY_S = 1.0
# The rate of late is taken over this long.
RATE_WINDOW_S = 1.0


def set_up(plan: fetch.FetchPlan) -> None:
    """Set the bounds of a plan that are an agent's."""
    plan.origin_grace_s = ORIGIN_GRACE_S
    plan.asks_per_peer = ASKS_PER_PEER
    plan.stale_after_s = STALE_AFTER_S


def origin_slots(connections_max: int, readers: int) -> int:
    """Return how many connections to the origin one of its readers may hold."""
    share = int(connections_max * ORIGIN_CONNECTIONS_SHARE) // max(1, readers)
    return max(1, min(ORIGIN_SLOTS, share))


class WeightsCopy:
    """The copy of one version at one agent."""

    def __init__(
        self,
        manifest: fleet.Manifest,
        plan: fetch_policies.Zoned,
        engine: engine_client.EngineClient,
        caller: node_bus.Caller,
        incoming: pacing.Pacer,
        clock: Callable[[], float],
        piece_bytes: int,
        staging: staging_area.StagingArea,
    ) -> None:
        self.manifest = manifest
        self.plan = plan
        self.engine = engine
        self.caller = caller
        self.incoming = incoming
        self.clock = clock
        self.piece_bytes = piece_bytes
        self.staging = staging
        self.store = pieces.PieceStore(manifest.digests)
        self.began_at = clock()
        self.told_at = self.began_at
        self.is_told_whole = False
        self.slow_until = float("-inf")
        self.is_newest = True
        self.rate = pacing.RecentRate(RATE_WINDOW_S)

    def take_staged(self, found: dict[int, bytes]) -> None:
        """Take over sound pieces that lay at the engine."""
        for index, data in found.items():
            self.store.put(index, data)
        self.plan.held = self.store.held()

    def standing(self, due_at: float, usable_until: float, link_per_s: float) -> rollout.Standing:
        """Return how far this copy is."""
        return rollout.Standing(
            self.manifest.version,
            due_at,
            usable_until,
            self.plan.chunk_count - self.plan.held.bit_count(),
            self.began_at,
            self.rate.per_s(),
            link_per_s,
            self.is_stalled(),
        )

    def is_stalled(self) -> bool:
        """Return whether the origin has not given pieces that nobody has for some time.

        A read that failed once tells nothing: the origin breaks some off.
        """
        failing_s = self.clock() - self.plan.origin_failing_since
        is_failing = self.plan.is_origin_failing and failing_s >= STALLED_AFTER_S
        return is_failing and self.plan.known() != self.plan.all

    # Fetching

    async def carry_out(self, origin: str, action: fetch.Action) -> None:
        """Get one piece, check it and keep it; tell the plan what came of it."""
        began_at = self.clock()
        self.incoming.reserve(self.piece_bytes, began_at)
        held = self.plan.held
        try:
            if isinstance(action, fetch.FromOrigin):
                await self.from_origin(origin, action)
            else:
                await self.from_peer(action)
        finally:
            self.plan.ended(action)
            if self.plan.held == held:
                self.incoming.give_back(self.piece_bytes)
            elif self.clock() - began_at > SLOW_PIECE_S:
                self.slow_until = self.clock() + SLOW_FOR_S

    async def from_origin(self, origin: str, action: fetch.FromOrigin) -> None:
        """Get a piece from the origin."""
        try:
            data = await self.engine.piece(origin, self.manifest, action.index)
        except errors.MerlinthreadError as error:
            self.plan.origin_failed(self.clock(), ORIGIN_WAIT_S, action.index)
            logs.detail("piece_failed", index=action.index, source="origin", reason=error.message)
            return
        await self.keep(action.index, data, True)

    async def from_peer(self, action: fetch.FromPeer) -> None:
        """Get one of the wanted pieces from a peer."""
        count = self.plan.chunk_count
        request = node_messages.PieceRequest(
            self.manifest.model,
            self.manifest.version,
            fetch.to_bytes(action.wanted, count),
            self.plan.me,
            fetch.to_bytes(self.plan.held, count),
        )
        try:
            reply = await self.caller.call(action.peer, request, PEER_TIMEOUT_S)
        except errors.MerlinthreadError:
            self.plan.peer_failed(action.peer, self.clock())
            return
        now = self.clock()
        self.plan.heard(action.peer, fetch.from_bytes(reply.held, count), now)
        if reply.is_busy:
            self.plan.peer_busy(action.peer, now)
            return
        if reply.index < 0:
            self.plan.peer_empty(action.peer, now)
            return
        if not await self.keep(reply.index, reply.data, False):
            self.plan.peer_corrupt(action.peer, now)

    async def keep(self, index: int, data: bytes, is_from_origin: bool) -> bool:
        """Keep a piece if it is sound, and stage it if this version is the newest."""
        if not self.store.put(index, data):
            return False
        self.plan.got(index, is_from_origin, self.clock())
        metrics.pieces_total.labels("origin" if is_from_origin else "peer").inc()
        if self.is_newest and not self.staging.is_reserved:
            with self.staging.stage():
                await self.stage(index, data)
        return True

    async def stage(self, index: int, data: bytes) -> None:
        """Lay a piece at the engine; what it lacks is laid there before an order."""
        try:
            await self.engine.stage(self.manifest.model, index, data)
        except errors.MerlinthreadError as error:
            logs.detail("stage_failed", index=index, reason=error.message)

    # Logs

    def note_progress(self) -> None:
        """Note how far the fetch is, and log it now and then."""
        now = self.clock()
        self.rate.note(self.plan.held.bit_count(), now)
        if self.plan.is_complete():
            if not self.is_told_whole:
                self.is_told_whole = True
                self.log("weights_fetched")
        elif now >= self.told_at + PROGRESS_EVERY_S:
            self.told_at = now
            self.log("weights_progress")

    def log(self, name: str) -> None:
        """Log how far the fetch is and where its pieces came from."""
        tally = self.plan.tally
        logs.event(
            name,
            version=self.manifest.version,
            held=self.plan.held.bit_count(),
            pieces=self.plan.chunk_count,
            seconds=round(self.clock() - self.began_at, 3),
            origin=tally.from_origin,
            peers=tally.from_peers,
            corrupt=tally.corrupt,
            failed=tally.failed,
            busy=tally.busy,
            empty=tally.empty,
            doubled=tally.doubled,
        )
