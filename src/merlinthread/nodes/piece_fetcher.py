"""Fetches the pieces of a version of weights, as a plan says, and stages them at the engine.

Each piece is checked against the manifest before it is staged.
"""

import asyncio
import math
from collections.abc import Callable

from merlinthread import errors, logs, metrics
from merlinthread.coordination import change_over, fetch, fetch_policies, fleet, pacing
from merlinthread.nodes import engine_client, piece_store, weights_facts
from merlinthread.protocol import node_messages
from merlinthread.transport import node_bus

PARALLEL = 8
# A transfer that takes longer shows a link that carries less than it should: one piece takes 0.06 s
# of a link of 3.65 Mbit/s and waits up to 0.15 s at its sender.
TRANSFER_TARGET_S = 0.4
ASKS_PER_PEER = 2
ORIGIN_SLOTS = 1
# Share of the link that pieces may take on their way in: the engine's requests share it.
IN_SHARE = 0.93
# An engine that serves nothing has no requests that pieces could hold up.
IN_SHARE_ALONE = 1.0
# How far a transfer may begin ahead of the pace: about one piece of 24 KB at 3.65 Mbit/s. In the
# model (50 agents) 0.03, 0.06, 0.12 s give half of the engines at 1.33, 1.31, 1.29 of the bound,
# and p95 of the waits of requests of 56, 61, 86 ms.
AHEAD_S = 0.06
ORIGIN_WAIT_S = 0.3
ORIGIN_GRACE_S = 0.8
# A piece that took longer will not come: its sender stands still, and holds one of the places.
PEER_TIMEOUT_S = 1.0
IDLE_WAIT_S = 0.02
PROGRESS_EVERY_S = 1.0
# Whether a fetch will be late is judged by its rate of late, once it has got going.
RATE_AFTER_S = 2.0
RATE_WINDOW_S = 1.0

Send = Callable[[str, node_messages.PieceNotice | node_messages.PieceClaim], None]


class PieceFetcher:
    """Carries out the fetches of one agent, one version after the other."""

    def __init__(
        self,
        facts: weights_facts.WeightsFacts,
        engine: engine_client.EngineClient,
        store: piece_store.PieceStore,
        caller: node_bus.RpcClient,
        clock: Callable[[], float],
        send: Send,
    ) -> None:
        self.facts = facts
        self.engine = engine
        self.store = store
        self.caller = caller
        self.clock = clock
        self.send = send
        self.rate = pacing.RecentRate(RATE_WINDOW_S)
        # How long the last piece from each peer took, until the peer is told.
        self.took_s: dict[str, float] = {}
        self.window = pacing.TransferWindow(PARALLEL, TRANSFER_TARGET_S)
        self.link_bytes_per_s = facts.settings.link_bytes_per_s
        self.incoming = pacing.Pacer(IN_SHARE * self.link_bytes_per_s, AHEAD_S)

    async def run(
        self,
        plan: fetch_policies.Zoned,
        manifest: fleet.Manifest,
        is_serving: Callable[[], bool],
    ) -> None:
        """Fetch what is missing, some pieces at a time, until all are here or others are named.

        `is_serving` tells whether the engine serves an older version meanwhile.
        """
        started = self.clock()
        told_at = started
        self.rate = pacing.RecentRate(RATE_WINDOW_S)
        running: set[asyncio.Task] = set()
        try:
            while not plan.is_complete() and not self.facts.is_overtaken(manifest):
                self.look_around(plan, manifest, started, is_serving())
                if self.clock() >= told_at + PROGRESS_EVERY_S:
                    told_at = self.clock()
                    self.log_progress("weights_progress", plan, manifest, told_at - started)
                self.begin_transfers(plan, manifest, running)
                if not running:
                    await asyncio.sleep(IDLE_WAIT_S)
                    continue
                done, running = await asyncio.wait(
                    running, timeout=IDLE_WAIT_S, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    task.result()
        finally:
            for task in running:
                task.cancel()
            self.engine.close_idle_origin_connections(self.facts.origin())
        self.log_progress("weights_fetched", plan, manifest, self.clock() - started)

    def look_around(
        self, plan: fetch_policies.Zoned, manifest: fleet.Manifest, started: float, serves: bool
    ) -> None:
        """Tell the plan who is there and how fast it may go."""
        share = IN_SHARE if serves else IN_SHARE_ALONE
        self.incoming.bytes_per_s = share * self.link_bytes_per_s
        plan.set_peers(self.facts.peers())
        plan.spare_every_s = self.spare_every_s(plan)
        self.rate.record(plan.held.bit_count(), self.clock())
        plan.is_late = self.is_late(plan, manifest, started)

    def begin_transfers(
        self, plan: fetch_policies.Zoned, manifest: fleet.Manifest, running: set[asyncio.Task]
    ) -> None:
        """Begin what the plan says, as long as window and pace allow."""
        loop = asyncio.get_running_loop()
        while self.window.has_room(len(running)) and not self.incoming.wait_s(self.clock()):
            if self.store.is_full():
                return
            action = plan.next_action(self.clock())
            if action is None:
                return
            plan.on_action_started(action)
            if isinstance(action, fetch.OriginRead):
                self.claim(plan, manifest, action)
            self.incoming.reserve(self.facts.piece_bytes(), self.clock())
            running.add(loop.create_task(self.carry_out(plan, manifest, action)))

    def claim(
        self, plan: fetch.FetchPlan, manifest: fleet.Manifest, action: fetch.OriginRead
    ) -> None:
        """Tell other readers of the origin which piece is being read."""
        claim = node_messages.PieceClaim(
            manifest.model, manifest.version, self.facts.me, action.index
        )
        for rival in plan.claim_recipients():
            self.send(rival, claim)

    def spare_every_s(self, plan: fetch_policies.Zoned) -> float:
        """Return how long the origin's link takes for one piece to each VM that reads it."""
        link = self.facts.origin_bytes_per_s()
        readers = min(len(plan.participants), plan.readers_max)
        return readers * self.facts.piece_bytes() / link if link else math.inf

    def is_late(self, plan: fetch.FetchPlan, manifest: fleet.Manifest, started: float) -> bool:
        """Return whether the pieces would come too late at the rate seen so far."""
        now = self.clock()
        if not self.facts.named(manifest.model) or now - started < RATE_AFTER_S:
            return False
        missing = plan.chunk_count - plan.held.bit_count()
        leave_at = self.facts.bound_at(manifest) - change_over.EXPIRY_MARGIN_S
        return now + missing / max(self.rate.per_s(), 1.0) > leave_at

    # One piece

    async def carry_out(
        self, plan: fetch.FetchPlan, manifest: fleet.Manifest, action: fetch.Action
    ) -> None:
        """Get one piece, check it and stage it; tell the plan what came of it."""
        began = self.clock()
        index = -1
        try:
            if isinstance(action, fetch.OriginRead):
                index = await self.from_origin(plan, manifest, action)
            else:
                index = await self.from_peer(plan, manifest, action)
        finally:
            plan.on_action_finished(action)
            if index < 0:
                self.incoming.cancel_reservation(self.facts.piece_bytes())
        if index < 0:
            return
        is_from_origin = isinstance(action, fetch.OriginRead)
        if isinstance(action, fetch.PeerRequest):
            self.took_s[action.peer] = round(self.clock() - began, 3)
            self.window.record(self.clock() - began, self.clock())
        plan.on_chunk_received(index, is_from_origin, self.clock())
        metrics.pieces_total.labels("origin" if is_from_origin else "peer").inc()
        self.announce(plan, manifest, action, index)

    async def from_origin(
        self, plan: fetch.FetchPlan, manifest: fleet.Manifest, action: fetch.OriginRead
    ) -> int:
        """Get a piece from the origin and stage it; return its index, or -1."""
        try:
            data = await self.engine.piece(self.facts.origin(), manifest, action.index)
            await self.store.put(manifest.model, action.index, data)
        except errors.MerlinthreadError as error:
            wait_s = max(ORIGIN_WAIT_S, engine_client.origin_retry_delay_s(error))
            plan.on_origin_failed(self.clock(), wait_s, action.index)
            logs.debug(
                "piece_failed",
                index=action.index,
                source="origin",
                reason=error.message,
                wait_s=wait_s,
            )
            return -1
        return action.index

    async def from_peer(
        self, plan: fetch.FetchPlan, manifest: fleet.Manifest, action: fetch.PeerRequest
    ) -> int:
        """Get one of the wanted pieces from a peer and stage it; return its index, or -1."""
        reply = await self.ask(plan, manifest, action)
        if reply is None:
            return -1
        now = self.clock()
        if reply.is_busy:
            plan.on_peer_busy(action.peer, now, reply.free_in_s)
            return -1
        if reply.index < 0:
            plan.on_peer_empty(action.peer, now)
            return -1
        if engine_client.sha256_hex(reply.data) != manifest.digests[reply.index]:
            plan.on_corrupt_chunk(action.peer, now)
            return -1
        try:
            await self.store.put(manifest.model, reply.index, reply.data)
        except errors.MerlinthreadError as error:
            logs.debug("piece_failed", index=reply.index, source="engine", reason=error.message)
            return -1
        return reply.index

    async def ask(
        self, plan: fetch.FetchPlan, manifest: fleet.Manifest, action: fetch.PeerRequest
    ) -> node_messages.PieceReply | None:
        """Return a peer's answer, or None if it gave none."""
        count = len(manifest.digests)
        request = node_messages.PieceRequest(
            manifest.model,
            manifest.version,
            fetch.bitset_to_bytes(action.wanted, count),
            self.facts.me,
            fetch.bitset_to_bytes(plan.held, count),
            self.took_s.pop(action.peer, 0.0),
        )
        try:
            reply = await self.caller.call(action.peer, request, PEER_TIMEOUT_S)
        except errors.MerlinthreadError as error:
            plan.on_peer_failed(action.peer, self.clock())
            logs.debug("peer_silent", peer=action.peer, reason=error.message)
            return None
        plan.on_peer_report(action.peer, fetch.bitset_from_bytes(reply.held, count), self.clock())
        return reply

    def announce(
        self, plan: fetch.FetchPlan, manifest: fleet.Manifest, action: fetch.Action, index: int
    ) -> None:
        """Tell those whom it concerns that a piece is here."""
        note = node_messages.PieceNotice(manifest.model, manifest.version, self.facts.me, index)
        for peer in plan.announcement_recipients(action):
            self.send(peer, note)

    def log_progress(
        self, name: str, plan: fetch.FetchPlan, manifest: fleet.Manifest, seconds: float
    ) -> None:
        """Log how far a fetch is after `seconds`, and where its pieces came from."""
        logs.event(
            name,
            version=manifest.version,
            held=plan.held.bit_count(),
            pieces=plan.chunk_count,
            seconds=round(seconds, 3),
            origin=plan.stats.from_origin,
            peers=plan.stats.from_peers,
            corrupt=plan.stats.corrupt,
            failed=plan.stats.failed,
            busy=plan.stats.busy,
            empty=plan.stats.empty,
            doubled=plan.stats.doubled,
            window=round(self.window.size, 1),
            asking=plan.open_requests.total(),
            took_ms=round(1000 * self.window.last_duration_s),
        )
