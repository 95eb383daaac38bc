"""What an agent knows of its engine's weights from the control VMs: what is named, whom to ask."""

from collections.abc import Callable

from merlinthread.coordination import change_over, fetch, fleet
from merlinthread.nodes import fleet_watcher, node_settings


class WeightsFacts:
    """The facts, read from the watcher's news at each call; `me` is the agent's own "IP:port"."""

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        watcher: fleet_watcher.FleetWatcher,
        clock: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.watcher = watcher
        self.clock = clock
        self.me = f"{settings.ip}:{settings.agent_port}"

    def service(self) -> fleet.Service | None:
        """Return the service of the engine beside this agent."""
        table = self.watcher.table
        return table.services.get(self.settings.engine_service) if table else None

    def model(self) -> str:
        """Return the model that this engine runs, or nothing."""
        service = self.service()
        if service is None or service.engine is None or not service.engine.chunks:
            return ""
        return service.engine.models[0] if service.engine.models else ""

    def layers(self) -> int:
        """Return how many layers the model has, 0 if that is not known."""
        service = self.service()
        return service.engine.layers if service is not None and service.engine else 0

    def piece_bytes(self) -> int:
        """Return the size of a piece."""
        service = self.service()
        return service.engine.chunk_bytes if service is not None and service.engine else 0

    # The origin and the peers

    def origin(self) -> str:
        """Return the origin's address, or nothing."""
        service = self.origin_service()
        return service.origin if service else ""

    def origin_bytes_per_s(self) -> float:
        """Return what the origin's link carries, 0 if that is not told."""
        service = self.origin_service()
        return service.link_bytes_per_s if service is not None else 0.0

    def origin_service(self) -> fleet.Service | None:
        """Return the service that is the origin of weights."""
        table = self.watcher.table
        return table.origin() if table else None

    def peers(self) -> list[fetch.Peer]:
        """Return the other agents whose engines run the same service."""
        found = []
        for heartbeat in self.watcher.instances.values():
            if heartbeat.service != self.settings.engine_service:
                continue
            host, _ = node_settings.split_address(heartbeat.address)
            bus = f"{host}:{self.settings.agent_port}"
            if bus != self.me:
                distance = self.settings.distance(heartbeat.zone)
                found.append(fetch.Peer(bus, bus, distance, heartbeat.zone))
        return found

    def group(self) -> int:
        """Return the group in which this engine changes over."""
        engines = [(peer.zone, peer.name) for peer in self.peers()]
        return change_over.group_of(self.me, [*engines, (self.settings.zone, self.me)])

    # Versions

    def named(self, model: str) -> int:
        """Return the newest version named of a model, or 0."""
        return self.watcher.named.get(model, 0)

    def is_overtaken(self, manifest: fleet.Manifest) -> bool:
        """Return whether a newer version than the manifest's was named meanwhile."""
        return self.named(manifest.model) > manifest.version

    def is_usable(self, model: str, version: int) -> bool:
        """Return whether entries still send requests to engines that hold a version."""
        bound_s = self.settings.bounds.version_s - change_over.EXPIRY_MARGIN_S
        return self.clock() < self.watcher.usable_until(model, version, bound_s)

    def bound_at(self, manifest: fleet.Manifest) -> float:
        """Return until when older versions than the manifest's may be used."""
        named_at = self.watcher.named_at.get(manifest.model, {})
        return named_at.get(manifest.version, self.clock()) + self.settings.bounds.version_s
