"""An agent's weights: it brings its engine to the versions named.

One task fetches what is wanted of each version, newest first. Another lays a version that is whole
at the engine, checks it there once more and orders the engine to take it. What to fetch and when to
order is decided in `coordination.rollout`.
"""

import asyncio
import contextlib
import math
import random
from collections.abc import Callable

from merlinthread import errors, logs
from merlinthread.coordination import fetch, fetch_policies, fleet, pacing, rollout
from merlinthread.nodes import (
    engine_client,
    news_watcher,
    node_settings,
    staging_area,
    weights_copy,
    weights_giver,
)
from merlinthread.protocol import node_messages
from merlinthread.transport import node_bus

LOOK_EVERY_S = 0.05
# How many peers are asked for a manifest that the origin does not give.
MANIFEST_PEERS = 3
MANIFEST_TIMEOUT_S = 0.3
# An engine that tells for this long that it is not busy is not at an order any more.
ORDER_WAIT_S = 0.4
# A fetch is late if it would end less than this share of the bound before it: engines need a while
# to end what runs, and not all may change over at once.
LATE_SHARE = 0.25


class WeightsTask:
    """The weights of one engine."""

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        watcher: news_watcher.NewsWatcher,
        engine: engine_client.EngineClient,
        caller: node_bus.Caller,
        clock: Callable[[], float],
        rng: random.Random,
        on_change: Callable[[fleet.EngineReport], None],
    ) -> None:
        self.settings = settings
        self.on_change = on_change
        self.watcher = watcher
        self.engine = engine
        self.caller = caller
        self.clock = clock
        self.rng = rng
        self.me = f"{settings.ip}:{settings.agent_port}"
        self.copies: dict[int, weights_copy.WeightsCopy] = {}
        self.report: fleet.EngineReport | None = None
        self.staging = staging_area.StagingArea()
        self.link_rate = settings.link_bytes_per_s
        self.incoming = pacing.Pacer(weights_copy.IN_SHARE * self.link_rate, weights_copy.AHEAD_S)
        self.giver = weights_giver.WeightsGiver(self.copies, settings.link_bytes_per_s, clock, rng)

    async def run(self) -> None:
        """Bring the engine to the versions named, for ever."""
        await asyncio.gather(
            self.repeat(self.look), self.repeat(self.fetch), self.repeat(self.change_over)
        )

    async def repeat(self, step: Callable) -> None:
        """Take one step after the other, whatever fails."""
        while True:
            try:
                await step()
            except errors.MerlinthreadError as error:
                logs.event("weights_delayed", reason=error.message)
                await asyncio.sleep(weights_copy.ORIGIN_WAIT_S)
            await asyncio.sleep(LOOK_EVERY_S)

    # What is wanted

    def service(self) -> fleet.Service | None:
        """Return the service of the engine beside this agent."""
        table = self.watcher.table
        return table.services.get(self.settings.engine_service) if table else None

    def engine_figures(self) -> fleet.Engine | None:
        """Return the figures of the engine beside this agent."""
        service = self.service()
        return service.engine if service is not None else None

    def origin(self) -> fleet.Service | None:
        """Return the origin of weights."""
        table = self.watcher.table
        return table.origin() if table else None

    def model(self) -> str:
        """Return the model that this engine runs, or nothing."""
        figures = self.engine_figures()
        if figures is None or not figures.chunks:
            return ""
        return figures.models[0] if figures.models else ""

    def held_version(self) -> int:
        """Return the version that the engine holds whole, or 0."""
        figures = self.engine_figures()
        if self.report is None or figures is None:
            return 0
        model = self.model()
        return max(
            (
                held.version
                for held in self.report.weights
                if held.model == model and held.is_whole(figures.layers)
            ),
            default=0,
        )

    def is_engine_known(self) -> bool:
        """Return whether the engine answers and its model and origin are known."""
        return bool(self.model()) and self.report is not None and self.origin() is not None

    async def look(self) -> None:
        """Begin a version that is named and not here yet, and forget those of no more use."""
        if not self.is_engine_known():
            return
        model = self.model()
        named = self.watcher.named.get(model, 0)
        newest = max(self.copies, default=0)
        if not self.copies or named > newest:
            await self.begin(model, named)
        kept = rollout.versions_kept(self.standings(), self.held_version(), self.clock())
        for version in set(self.copies) - kept:
            del self.copies[version]

    async def begin(self, model: str, version: int) -> None:
        """Read a version's manifest and find out which of its pieces lie here."""
        manifest = await self.find_manifest(model, version)
        plan = fetch_policies.Zoned(
            self.me,
            f"{model}@{manifest.version}",
            len(manifest.digests),
            0,
            weights_copy.ORIGIN_SLOTS,
            self.clock(),
            self.rng,
        )
        weights_copy.set_up(plan)
        copy = weights_copy.WeightsCopy(
            manifest,
            plan,
            self.engine,
            self.caller,
            self.incoming,
            self.clock,
            self.piece_bytes(),
            self.staging,
        )
        if not self.copies:
            # What lies there after a restart may be of this version; later it is of the one before.
            copy.take_staged(await self.find_staged(manifest))
        for older in self.copies.values():
            older.is_newest = False
        self.copies[manifest.version] = copy
        logs.event(
            "weights_wanted",
            model=model,
            version=manifest.version,
            pieces=len(manifest.digests),
            held=plan.held.bit_count(),
        )

    async def find_manifest(self, model: str, version: int) -> fleet.Manifest:
        """Return a version's manifest, from the origin or else from a peer that has it.

        Raises the origin's error if none of the peers asked has it.
        """
        origin = self.origin()
        try:
            return await self.engine.manifest(origin.origin if origin else "", model, version)
        except errors.MerlinthreadError:
            peers = self.peers()
            request = node_messages.ManifestRequest(model, version)
            for peer in self.rng.sample(peers, min(MANIFEST_PEERS, len(peers))):
                with contextlib.suppress(errors.MerlinthreadError):
                    reply = await self.caller.call(peer.bus, request, MANIFEST_TIMEOUT_S)
                    if reply.manifest is not None:
                        logs.event("manifest_from_peer", version=version, peer=peer.bus)
                        return reply.manifest
            raise

    async def find_staged(self, manifest: fleet.Manifest) -> dict[int, bytes]:
        """Return the pieces that lie sound at the engine."""
        found = {}
        for index in range(len(manifest.digests)):
            data = await self.engine.staged(manifest, index)
            if data is not None:
                found[index] = data
        return found

    # Bounds

    def due_at(self, version: int) -> float:
        """Return from when on only this version or a newer one may serve; `inf` if never named."""
        named_at = self.watcher.named_at.get(self.model(), {}).get(version)
        return math.inf if named_at is None else named_at + self.settings.bounds.version_s

    def usable_until(self, version: int) -> float:
        """Return the bound after which nothing may begin on a version."""
        return self.watcher.usable_until(self.model(), version, self.settings.bounds.version_s)

    def link_pieces_per_s(self) -> float:
        """Return how many pieces a second the agent's link carries."""
        return weights_copy.IN_SHARE * self.link_rate / max(1, self.piece_bytes())

    def standings(self) -> list[rollout.Standing]:
        """Return how far each version is."""
        return [self.standing(copy) for copy in self.copies.values()]

    def standing(self, copy: weights_copy.WeightsCopy) -> rollout.Standing:
        """Return how far one version is."""
        version = copy.manifest.version
        return copy.standing(
            self.due_at(version), self.usable_until(version), self.link_pieces_per_s()
        )

    # Fetching

    def peers(self) -> list[fetch.Peer]:
        """Return the other agents whose engines run the same service."""
        found = []
        for heartbeat in self.watcher.instances.values():
            if heartbeat.service != self.settings.engine_service:
                continue
            host, _ = node_settings.split_address(heartbeat.address)
            bus = f"{host}:{self.settings.agent_port}"
            if bus != self.me:
                found.append(fetch.Peer(bus, bus, self.settings.distance(heartbeat.zone)))
        return found

    def origin_readers(self) -> list[str]:
        """Return the agents that share the reading of the origin."""
        origin = self.origin()
        everyone = [self.me]
        near = []
        for heartbeat in self.watcher.instances.values():
            if heartbeat.service != self.settings.engine_service:
                continue
            host, _ = node_settings.split_address(heartbeat.address)
            name = f"{host}:{self.settings.agent_port}"
            everyone.append(name)
            if origin is not None and self.settings.is_same_region(heartbeat.zone, origin.zone):
                near.append(name)
        return fetch_policies.origin_readers(
            sorted(set(near)),
            sorted(set(everyone)),
            self.settings.link_bytes_per_s,
            origin.link_bytes_per_s if origin is not None else 0.0,
        )

    def piece_bytes(self) -> int:
        """Return the size of a piece."""
        figures = self.engine_figures()
        return figures.chunk_bytes if figures is not None else 0

    async def fetch(self) -> None:
        """Fetch what is missing, some pieces at a time, until nothing is."""
        running: set[asyncio.Task] = set()
        try:
            while wanted := self.wanted():
                self.prepare(wanted)
                self.start_actions(wanted, running)
                if not running:
                    await asyncio.sleep(weights_copy.IDLE_WAIT_S)
                    continue
                done, running = await asyncio.wait(
                    running,
                    timeout=weights_copy.IDLE_WAIT_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    task.result()
        finally:
            for task in running:
                task.cancel()
            origin = self.origin()
            if origin is not None:
                self.engine.leave_origin(origin.origin)

    def wanted(self) -> list[weights_copy.WeightsCopy]:
        """Return the copies to fetch, the most wanted first."""
        for copy in self.copies.values():
            copy.note_progress()
        if not self.copies or not self.is_engine_known():
            return []
        order = rollout.fetch_order(self.standings(), self.held_version(), self.clock())
        return [self.copies[version] for version in order]

    def prepare(self, wanted: list[weights_copy.WeightsCopy]) -> None:
        """Tell the plans who the others are and whether time presses."""
        peers = self.peers()
        readers = self.origin_readers()
        origin = self.origin()
        connections = origin.connections_max if origin is not None else 0
        for copy in wanted:
            slots = weights_copy.origin_slots(connections, len(readers))
            # What the origin gives belongs to the newest version.
            copy.plan.origin_slots = slots if copy.is_newest else 0
            copy.plan.set_readers(readers)
            copy.plan.set_peers(peers)
            copy.plan.origin_span_s = self.origin_span_s(copy)
            copy.plan.is_late = self.is_late(copy)
            copy.plan.preferred = self.preferred(copy)

    def preferred(self, copy: weights_copy.WeightsCopy) -> int:
        """Return the pieces of one layer if the bound comes near and no layer is here yet."""
        figures = self.engine_figures()
        held_until = self.usable_until(self.held_version())
        near_s = (1.0 - rollout.LAYER_FIRST_SHARE) * self.settings.bounds.version_s
        if figures is None or self.clock() < held_until - near_s:
            return 0
        return rollout.nearest_layer(copy.plan.held, copy.plan.chunk_count, figures.layers)

    def start_actions(
        self, wanted: list[weights_copy.WeightsCopy], running: set[asyncio.Task]
    ) -> None:
        """Start as many actions as the pace allows, of the most wanted version that has some."""
        origin = self.origin()
        address = origin.origin if origin is not None else ""
        loop = asyncio.get_running_loop()
        serves = self.held_version() > 0
        parallel = weights_copy.PARALLEL_SERVING if serves else weights_copy.PARALLEL
        self.incoming.bytes_per_s = self.share_of_link(wanted, serves) * self.link_rate
        is_slow = serves and any(self.clock() < copy.slow_until for copy in wanted)
        for copy in wanted:
            while not self.incoming.wait_s(self.clock()) and not (is_slow and running):
                copy.plan.may_ask = self.asking() < parallel
                action = copy.plan.next_action(self.clock())
                if action is None:
                    break
                copy.plan.began(action)
                running.add(loop.create_task(copy.carry_out(address, action)))

    def share_of_link(self, wanted: list[weights_copy.WeightsCopy], serves: bool) -> float:
        """Return the share of the link that pieces may take now.

        An engine that serves leaves requests what its versions do not need to come in time.
        """
        if not serves:
            return weights_copy.IN_SHARE
        needed = max(
            rollout.share_needed(
                self.standing(copy), self.target_at(copy.manifest.version), self.clock()
            )
            for copy in wanted
        )
        share = weights_copy.IN_SHARE * needed
        return min(weights_copy.IN_SHARE, max(weights_copy.IN_SHARE_MIN, share))

    def asking(self) -> int:
        """Return how many questions to peers are under way."""
        return sum(copy.plan.asking.total() for copy in self.copies.values())

    def origin_span_s(self, copy: weights_copy.WeightsCopy) -> float:
        """Return how long the origin's link takes for one whole copy."""
        origin = self.origin()
        if origin is None or not origin.link_bytes_per_s:
            return math.inf
        return copy.plan.chunk_count * copy.piece_bytes / origin.link_bytes_per_s

    def is_late(self, copy: weights_copy.WeightsCopy) -> bool:
        """Return whether the pieces would come too late at the rate seen so far."""
        version = copy.manifest.version
        now = self.clock()
        if not copy.is_newest or version not in self.watcher.named_at.get(self.model(), {}):
            return False
        if now - copy.began_at < rollout.RATE_AFTER_S:
            return False
        return self.standing(copy).whole_at(now) > self.target_at(version)

    def target_at(self, version: int) -> float:
        """Return when a version should be here, so that engines change over before the bound."""
        return self.due_at(version) - LATE_SHARE * self.settings.bounds.version_s

    # Ordering

    async def change_over(self) -> None:
        """Give the engine the order that is due, if any."""
        figures = self.engine_figures()
        if not self.copies or figures is None or self.report is None or self.report.is_busy:
            return
        held = self.held_version()
        newest = self.copies[max(self.copies)]
        order = rollout.next_order(
            self.standings(),
            held,
            self.usable_until(held),
            self.is_second(),
            rollout.whole_layers(newest.plan.held, newest.plan.chunk_count, figures.layers),
            self.clock(),
        )
        if order is None or (order.end is not None and self.holds_part(order.version)):
            return
        # An engine that ends what runs first takes what lies there only then.
        async with self.staging.reserve(weights_copy.IDLE_WAIT_S):
            await self.carry_out(order, self.copies[order.version], figures)

    async def carry_out(
        self, order: rollout.Order, copy: weights_copy.WeightsCopy, figures: fleet.Engine
    ) -> None:
        """Lay the pieces that an order needs at the engine, check them, and give the order."""
        first, end = order.first, figures.layers if order.end is None else order.end
        wanted = 0
        for layer in range(first, end):
            wanted |= rollout.needs(layer, copy.plan.chunk_count, figures.layers)
        await self.lay_out(copy, wanted)
        layers = None if order.end is None else (order.first, order.end)
        status = await self.engine.load(copy.manifest.model, order.version, layers)
        logs.event(
            "engine_ordered",
            version=order.version,
            layers=layers,
            held=self.held_version(),
            due_in_s=finite(self.due_at(order.version) - self.clock()),
            status=status,
        )
        if self.report is not None and status == engine_client.STATUS_ACCEPTED:
            self.report.is_busy = True
            self.on_change(self.report)
        await self.await_carried_out(order)

    async def await_carried_out(self, order: rollout.Order) -> None:
        """Wait until the engine holds what was ordered, or is not at it any more."""
        deadline = self.clock() + ORDER_WAIT_S
        while self.clock() < deadline:
            if self.report is not None and self.report.is_busy:
                deadline = self.clock() + ORDER_WAIT_S
            elif self.held_version() == order.version or (
                order.end is not None and self.holds_part(order.version)
            ):
                return
            await asyncio.sleep(weights_copy.IDLE_WAIT_S)

    async def lay_out(self, copy: weights_copy.WeightsCopy, wanted: int) -> None:
        """Stage the pieces of `wanted` that do not lie sound at the engine."""
        restaged = 0
        for index in fetch.bits(wanted):
            if await self.engine.staged(copy.manifest, index) is not None:
                continue
            data = copy.store.get(index)
            assert data is not None, "an order names only layers whose pieces are here"
            await self.engine.stage(copy.manifest.model, index, data)
            if await self.engine.staged(copy.manifest, index) is None:
                raise errors.WeightsError(f"piece {index} does not lie sound at the engine")
            restaged += 1
        if restaged:
            logs.event("pieces_staged_again", version=copy.manifest.version, count=restaged)

    def holds_part(self, version: int) -> bool:
        """Return whether the engine has been taken off its old version already."""
        if self.report is None:
            return False
        return any(
            held.version == version and held.model == self.model() for held in self.report.weights
        )

    def is_second(self) -> bool:
        """Return whether this engine changes over in the second half."""
        names = sorted([peer.name for peer in self.peers()] + [self.me])
        return names.index(self.me) % 2 == 1


def finite(seconds: float) -> float | None:
    """Return seconds for a log line, None if there is no end."""
    return round(seconds, 3) if math.isfinite(seconds) else None
