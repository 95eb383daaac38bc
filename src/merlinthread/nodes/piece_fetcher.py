"""Download of the pieces of one version of weights, from the origin and from peers.

A `fetch.FetchPlan` schedules the transfers. Each piece is verified against the manifest and then
staged at the engine.
"""

import asyncio
import math
from collections.abc import Callable

from merlinthread import errors, logs, metrics
from merlinthread.coordination import fetch, fetch_policies, fleet, pacing, reload_schedule
from merlinthread.nodes import engine_client, manifest_checker, piece_store, weights_view
from merlinthread.protocol import piece_messages
from merlinthread.transport import node_bus

TRANSFERS_MAX = 8
# A transfer that takes longer than its time on the link and in the sender's queue indicates a link
# that is slower than configured. A piece of 24 KB takes 0.06 s of 3.65 Mbit/s, and up to 0.15 s in
# the queue.
TRANSFER_TARGET_S = 0.4
REQUESTS_PER_PEER = 2
ORIGIN_SLOTS = 1
# Share of the link for incoming pieces; requests to the engine use the rest.
DOWNLOAD_SHARE = 0.93
# The same while the engine serves no requests.
IDLE_DOWNLOAD_SHARE = 1.0
# About one piece of 24 KB at 3.65 Mbit/s. A longer burst speeds up the download and delays requests
# to the engine.
PACER_BURST_S = 0.06
ORIGIN_RETRY_DELAY_S = 0.3
ORIGIN_GRACE_S = 0.8
# A sender that is suspended must not occupy a transfer slot for longer.
PEER_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.02
PROGRESS_LOG_INTERVAL_S = 1.0
# Warm-up and window of the rate from which the end of a download is estimated.
RATE_WARMUP_S = 2.0
RATE_WINDOW_S = 1.0

SendNotice = Callable[[str, piece_messages.PieceNotice | piece_messages.PieceClaim], None]


class PieceFetcher:
    """Downloads versions of weights for one agent, one at a time."""

    def __init__(
        self,
        view: weights_view.WeightsView,
        engine: engine_client.EngineClient,
        store: piece_store.PieceStore,
        checker: manifest_checker.ManifestChecker,
        rpc_client: node_bus.RpcClient,
        clock: Callable[[], float],
        send: SendNotice,
    ) -> None:
        self.view = view
        self.engine = engine
        self.store = store
        self.checker = checker
        self.rpc_client = rpc_client
        self.clock = clock
        self.send = send
        self.rate = pacing.RecentRate(RATE_WINDOW_S)
        # Duration of the last transfer from each peer, until it is reported to the peer.
        self.last_transfer_s: dict[str, float] = {}
        self.window = pacing.TransferWindow(TRANSFERS_MAX, TRANSFER_TARGET_S)
        self.link_bytes_per_s = view.settings.link_bytes_per_s
        self.download_pacer = pacing.Pacer(DOWNLOAD_SHARE * self.link_bytes_per_s, PACER_BURST_S)

    async def run(
        self,
        plan: fetch_policies.Zoned,
        manifest: fleet.Manifest,
        is_serving: Callable[[], bool],
    ) -> None:
        """Fetch the missing pieces, until the plan is complete or another version is wanted.

        `is_serving` returns whether the engine serves requests, with an older version.
        """
        started = self.clock()
        logged_at = started
        self.rate = pacing.RecentRate(RATE_WINDOW_S)
        self.engine.piece_bytes = self.view.piece_bytes()
        running: set[asyncio.Task] = set()
        try:
            while not self.is_over(plan, manifest):
                self.update_plan(plan, manifest, started, is_serving())
                self.checker.update(plan, manifest)
                if self.clock() >= logged_at + PROGRESS_LOG_INTERVAL_S:
                    logged_at = self.clock()
                    self.log_progress("weights_progress", plan, manifest, logged_at - started)
                self.start_transfers(plan, manifest, running)
                if not running:
                    await asyncio.sleep(POLL_INTERVAL_S)
                    continue
                done, running = await asyncio.wait(
                    running, timeout=POLL_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    task.result()
        finally:
            for task in running:
                task.cancel()
            self.checker.cancel()
            self.engine.close_idle_origin_connections(self.view.origin())
        self.log_progress("weights_fetched", plan, manifest, self.clock() - started)

    def is_over(self, plan: fetch_policies.Zoned, manifest: fleet.Manifest) -> bool:
        """Return whether no further pieces of this version are to be fetched."""
        return (
            plan.is_complete()
            or self.view.is_superseded(manifest)
            or self.checker.is_version_doubtful(plan, manifest)
        )

    def update_plan(
        self, plan: fetch_policies.Zoned, manifest: fleet.Manifest, started: float, is_serving: bool
    ) -> None:
        """Update the plan's peers and limits, and the rate of the download pacer."""
        share = DOWNLOAD_SHARE if is_serving else IDLE_DOWNLOAD_SHARE
        self.download_pacer.bytes_per_s = share * self.link_bytes_per_s
        plan.set_peers(self.view.peers())
        plan.extra_read_interval_s = self.extra_read_interval_s(plan)
        self.rate.record(plan.held.bit_count(), self.clock())
        plan.is_late = self.is_late(plan, manifest, started)

    def start_transfers(
        self, plan: fetch_policies.Zoned, manifest: fleet.Manifest, running: set[asyncio.Task]
    ) -> None:
        """Start the transfers that the plan schedules and that the window and pacer allow."""
        loop = asyncio.get_running_loop()
        while self.window.has_room(len(running)) and not self.download_pacer.wait_s(self.clock()):
            if self.store.is_full():
                return
            action = plan.next_action(self.clock())
            if action is None:
                return
            plan.on_action_started(action)
            if isinstance(action, fetch.OriginRead):
                self.send_claims(plan, manifest, action)
            self.download_pacer.reserve(self.view.piece_bytes(), self.clock())
            running.add(loop.create_task(self.run_transfer(plan, manifest, action)))

    def send_claims(
        self, plan: fetch.FetchPlan, manifest: fleet.Manifest, action: fetch.OriginRead
    ) -> None:
        """Notify other readers of the origin that this agent reads a piece."""
        claim = piece_messages.PieceClaim(
            manifest.model, manifest.version, self.view.own_address, action.index
        )
        for recipient in plan.claim_recipients():
            self.send(recipient, claim)

    def extra_read_interval_s(self, plan: fetch_policies.Zoned) -> float:
        """Return the time the origin's link takes to send one piece to each reader, in seconds.

        Infinite if the link's bandwidth is not known.
        """
        link = self.view.origin_bytes_per_s()
        readers = min(len(plan.participants), plan.readers_max)
        return readers * self.view.piece_bytes() / link if link else math.inf

    def is_late(self, plan: fetch.FetchPlan, manifest: fleet.Manifest, started: float) -> bool:
        """Return whether the older weights are estimated to expire before the download ends."""
        now = self.clock()
        if not self.view.newest_version(manifest.model) or now - started < RATE_WARMUP_S:
            return False
        missing = plan.chunk_count - plan.held.bit_count()
        expires_at = self.view.expires_at(manifest) - reload_schedule.EXPIRY_MARGIN_S
        return now + missing / max(self.rate.per_s(), 1.0) > expires_at

    # Transfer of one piece

    async def run_transfer(
        self, plan: fetch.FetchPlan, manifest: fleet.Manifest, action: fetch.Action
    ) -> None:
        """Fetch, verify and stage one piece, and report the outcome to the plan."""
        began = self.clock()
        index = -1
        try:
            if isinstance(action, fetch.OriginRead):
                index = await self.fetch_from_origin(plan, manifest, action)
            else:
                index = await self.fetch_from_peer(plan, manifest, action)
        finally:
            plan.on_action_finished(action)
            if index < 0:
                self.download_pacer.cancel_reservation(self.view.piece_bytes())
        if index < 0:
            return
        is_from_origin = isinstance(action, fetch.OriginRead)
        if isinstance(action, fetch.PeerRequest):
            self.last_transfer_s[action.peer] = round(self.clock() - began, 3)
            self.window.record(self.clock() - began, self.clock())
        plan.on_chunk_received(index, is_from_origin, self.clock())
        metrics.pieces_total.labels("origin" if is_from_origin else "peer").inc()
        self.announce_piece(plan, manifest, action, index)

    async def fetch_from_origin(
        self, plan: fetch.FetchPlan, manifest: fleet.Manifest, action: fetch.OriginRead
    ) -> int:
        """Fetch a piece from the origin and stage it; return its index, or -1 on failure."""
        try:
            data = await self.engine.fetch_piece(self.view.origin(), manifest, action.index)
            await self.store.put(manifest.model, action.index, data)
        except errors.MerlinthreadError as error:
            self.checker.record_failure(action.index, error)
            wait_s = max(ORIGIN_RETRY_DELAY_S, engine_client.origin_retry_delay_s(error))
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

    async def fetch_from_peer(
        self, plan: fetch.FetchPlan, manifest: fleet.Manifest, action: fetch.PeerRequest
    ) -> int:
        """Fetch any wanted piece from a peer and stage it; return its index, or -1 on failure."""
        reply = await self.request_piece(plan, manifest, action)
        if reply is None:
            return -1
        now = self.clock()
        if reply.is_busy:
            plan.on_peer_busy(action.peer, now, reply.free_in_s)
            return -1
        if reply.index < 0:
            plan.on_peer_empty(action.peer, now)
            return -1
        digest = engine_client.sha256_hex(reply.data)
        if digest != manifest.digests[reply.index]:
            self.checker.evidence.record(reply.index, digest, action.peer)
            plan.on_corrupt_chunk(action.peer, now)
            return -1
        try:
            await self.store.put(manifest.model, reply.index, reply.data)
        except errors.MerlinthreadError as error:
            logs.debug("piece_failed", index=reply.index, source="engine", reason=error.message)
            return -1
        return reply.index

    async def request_piece(
        self, plan: fetch.FetchPlan, manifest: fleet.Manifest, action: fetch.PeerRequest
    ) -> piece_messages.PieceReply | None:
        """Request a piece from a peer; return its reply, or None if the call failed."""
        count = len(manifest.digests)
        request = piece_messages.PieceRequest(
            manifest.model,
            manifest.version,
            fetch.bitset_to_bytes(action.wanted, count),
            self.view.own_address,
            fetch.bitset_to_bytes(plan.held, count),
            self.last_transfer_s.pop(action.peer, 0.0),
        )
        began = self.clock()
        try:
            reply = await self.rpc_client.call(action.peer, request, PEER_TIMEOUT_S)
        except errors.MerlinthreadError as error:
            plan.on_peer_failed(action.peer, self.clock())
            self.window.record_failure(self.clock() - began, self.clock())
            logs.debug("peer_silent", peer=action.peer, reason=error.message)
            return None
        plan.on_peer_report(action.peer, fetch.bitset_from_bytes(reply.held, count), self.clock())
        return reply

    def announce_piece(
        self, plan: fetch.FetchPlan, manifest: fleet.Manifest, action: fetch.Action, index: int
    ) -> None:
        """Notify the peers that the plan selects that this agent holds a piece."""
        notice = piece_messages.PieceNotice(
            manifest.model, manifest.version, self.view.own_address, index
        )
        for peer in plan.announcement_recipients(action):
            self.send(peer, notice)

    def log_progress(
        self, name: str, plan: fetch.FetchPlan, manifest: fleet.Manifest, seconds: float
    ) -> None:
        """Log the progress of a download and its statistics, under the event `name`."""
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
