"""The part of the fleet state that concerns an engine's weights: versions, origin, peers."""

from collections.abc import Callable

from merlinthread.coordination import fetch, fleet, reload_schedule
from merlinthread.nodes import fleet_watcher, node_settings


class WeightsView:
    """A view of the watcher's current state; `own_address` is the agent's "IP:port"."""

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        watcher: fleet_watcher.FleetWatcher,
        clock: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.watcher = watcher
        self.clock = clock
        self.own_address = f"{settings.ip}:{settings.agent_port}"

    def service(self) -> fleet.Service | None:
        """Return the service of the local engine, or None if it is not configured."""
        return self.watcher.service(self.settings.engine_service)

    def model(self) -> str:
        """Return the model whose weights the local engine needs, or an empty string."""
        service = self.service()
        if service is None or service.engine is None or not service.engine.chunks:
            return ""
        return service.engine.models[0] if service.engine.models else ""

    def layers(self) -> int:
        """Return the number of layers of the model, or 0 if it is not known."""
        service = self.service()
        return service.engine.layers if service is not None and service.engine else 0

    def piece_count(self) -> int:
        """Return the number of pieces of the model's weights, or 0 if it is not known."""
        service = self.service()
        return service.engine.chunks if service is not None and service.engine else 0

    def piece_bytes(self) -> int:
        """Return the size of a piece in bytes, or 0 if it is not known."""
        service = self.service()
        return service.engine.chunk_bytes if service is not None and service.engine else 0

    # Origin and peers

    def origin(self) -> str:
        """Return the address of the origin, or an empty string if there is none."""
        service = self.origin_service()
        return service.origin if service else ""

    def origin_bytes_per_s(self) -> float:
        """Return the bandwidth of the origin's link, or 0 if it is not known."""
        service = self.origin_service()
        return service.link_bytes_per_s if service is not None else 0.0

    def origin_service(self) -> fleet.Service | None:
        """Return the service that is the origin of weights, or None."""
        table = self.watcher.table
        return table.origin() if table else None

    def peers(self) -> list[fetch.Peer]:
        """Return the other agents whose engines belong to the same service."""
        found = []
        for heartbeat in self.watcher.instance_table.instances.values():
            if heartbeat.service != self.settings.engine_service:
                continue
            host, _ = node_settings.split_address(heartbeat.address)
            bus = f"{host}:{self.settings.agent_port}"
            if bus != self.own_address:
                distance = self.settings.distance(heartbeat.zone)
                found.append(fetch.Peer(bus, bus, distance, heartbeat.zone))
        return found

    def reload_group(self) -> int:
        """Return the reload group of the local engine (`reload_schedule.group_of`)."""
        engines = [(peer.zone, peer.name) for peer in self.peers()]
        return reload_schedule.group_of(
            self.own_address, [*engines, (self.settings.zone, self.own_address)]
        )

    # Versions

    def newest_version(self, model: str) -> int:
        """Return the newest published version of a model, or 0 if there is none."""
        return self.watcher.published_versions.named.get(model, 0)

    def is_superseded(self, manifest: fleet.Manifest) -> bool:
        """Return whether a newer version than the manifest's has been published."""
        return self.newest_version(manifest.model) > manifest.version

    def is_usable(self, model: str, version: int) -> bool:
        """Return whether entries still send requests to engines with this version."""
        validity_s = self.settings.bounds.version_s - reload_schedule.EXPIRY_MARGIN_S
        return self.clock() < self.watcher.published_versions.usable_until(
            model, version, validity_s
        )

    def loaded_until(self, model: str, version: int) -> float:
        """Return when a loaded version expires: by the first newer one, which may be superseded.

        If the control VMs have told of none, a newer one is taken for published just now.
        """
        validity_s = self.settings.bounds.version_s
        until = self.watcher.published_versions.usable_until(model, version, validity_s)
        return min(until, self.clock() + validity_s)

    def expires_at(self, manifest: fleet.Manifest) -> float:
        """Return when versions older than the manifest's expire."""
        named_at = self.watcher.published_versions.named_at.get(manifest.model, {})
        return named_at.get(manifest.version, self.clock()) + self.settings.bounds.version_s
