"""Downloads of weights from peers and the origin into a local chunk store."""

import dataclasses
import random
import threading
import time
import urllib.parse

from merlinthread import errors, logs, metrics
from merlinthread import settings as settings_
from merlinthread.coordination import fetch, fetch_baselines, fetch_policies, pacing
from merlinthread.protocol import messages
from merlinthread.roles import base
from merlinthread.state import chunks, manifests
from merlinthread.transport import bus, http_client

# Importing these modules registers their policies.
BUILT_IN_POLICIES = (fetch_baselines, fetch_policies)
IDLE_POLL_S = 0.1
MANIFEST_RETRY_S = 0.5
PEER_TIMEOUT_S = 1.0
ORIGIN_TIMEOUT_S = 20.0
MANIFEST_BYTES_MAX = 16 * 1024 * 1024
ORIGIN_RETRY_S = 0.5
ORIGIN_MISMATCH_LIMIT = 2


@dataclasses.dataclass(slots=True)
class Download:
    """The download of one manifest's chunks.

    `plan` is None until the manifest is available, and `trouble` is the reason why the download has
    stopped, or empty. `wrong_digests` has the digests of wrong data from the origin, by chunk.
    """

    digest: str
    plan: fetch.FetchPlan | None
    retry_at: float
    started_at: float
    wrong_digests: dict[int, list[str]] = dataclasses.field(default_factory=dict)
    trouble: str = ""

    def manifest_and_plan(
        self, known: dict[str, manifests.Manifest]
    ) -> tuple[manifests.Manifest, fetch.FetchPlan]:
        """Return the manifest and the plan; `plan` must be set."""
        assert self.plan is not None
        return known[self.digest], self.plan


class WeightManager:
    """The chunk store and the downloads of one agent.

    Download threads share the state under `lock`, which is not held during transfers.
    """

    def __init__(
        self, context: base.RoleContext, config: settings_.Agent, store: chunks.ChunkStore
    ) -> None:
        self.context = context
        self.config = config
        self.name = context.settings.name
        self.store = store
        self.lock = threading.Condition()
        self.downloads: dict[str, Download] = {}
        self.manifests: dict[str, manifests.Manifest] = {}
        self.peers: dict[str, dict[str, fetch.Peer]] = {}
        self.download_pacer = pacing.Pacer(config.link_bytes_per_s)
        self.origin_pacer = pacing.Pacer(config.origin_bytes_per_s)
        self.client = http_client.Client()
        self.rng = random.Random()
        self.stopping = False
        self.idle_until = 0.0
        self.threads = [
            threading.Thread(target=self.run_downloads, name=f"download-{number}", daemon=True)
            for number in range(config.download_slots)
        ]

    def start(self) -> None:
        """Start the download threads."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Stop the download threads; one that is blocked in a call ends with the process."""
        with self.lock:
            self.stopping = True
            self.lock.notify_all()
        for thread in self.threads:
            thread.join(timeout=1)

    # Wanted manifests

    def set_wanted(self, wanted: dict[str, list[fetch.Peer]]) -> None:
        """Set the manifests to download, each with the peers that should hold its chunks."""
        now = self.context.clock()
        with self.lock:
            self.peers = {
                digest: {peer.name: peer for peer in peers} for digest, peers in wanted.items()
            }
            for digest in wanted:
                if digest not in self.downloads:
                    self.downloads[digest] = Download(digest, None, now, now)
            for digest in set(self.downloads) - set(wanted):
                del self.downloads[digest]
            for download in self.downloads.values():
                if download.plan is not None:
                    download.plan.set_peers(wanted[download.digest])
            self.update_pinned()
            self.idle_until = 0.0
            self.lock.notify_all()

    def update_pinned(self) -> None:
        """Pin the chunks of wanted manifests; others may be evicted."""
        pinned: list[str] = []
        for digest in self.downloads:
            if digest in self.manifests:
                pinned.extend(self.manifests[digest].chunks)
        self.store.pin(pinned)

    def complete_manifests(self) -> set[str]:
        """Return the wanted manifests whose chunks are all stored and verified."""
        with self.lock:
            return {
                digest
                for digest, download in self.downloads.items()
                if download.plan is not None and download.plan.is_complete()
            }

    def progress(self) -> dict[str, int]:
        """Return the number of stored chunks of each wanted manifest."""
        with self.lock:
            return {
                digest: 0 if download.plan is None else download.plan.held.bit_count()
                for digest, download in self.downloads.items()
            }

    def trouble(self) -> str:
        """Return why a wanted manifest can't be downloaded, or an empty string."""
        with self.lock:
            return next((d.trouble for d in self.downloads.values() if d.trouble), "")

    def clear_trouble(self) -> None:
        """Resume downloads that have stopped."""
        with self.lock:
            for download in self.downloads.values():
                download.trouble = ""
                download.wrong_digests.clear()

    # Downloads

    def run_downloads(self) -> None:
        """Run jobs until stopped."""
        rpc_clients = bus.RpcClients(self.context.codec)
        while True:
            with self.lock:
                if self.stopping:
                    break
                job = self.next_job()
                if job is None:
                    self.lock.wait(IDLE_POLL_S if self.has_incomplete_downloads() else 1.0)
                    continue
            try:
                self.run_job(job, rpc_clients)
            except Exception:
                logs.exception("download_failed")
                time.sleep(IDLE_POLL_S)
        rpc_clients.close()

    def has_incomplete_downloads(self) -> bool:
        """Return whether a download is incomplete; the caller holds the lock."""
        return any(d.plan is None or not d.plan.is_complete() for d in self.downloads.values())

    def next_job(self) -> tuple[Download, fetch.Action | None] | None:
        """Return the next job, or None if there is none now; the caller holds the lock.

        An action of None means that the manifest is to be fetched.
        """
        now = self.context.clock()
        if now < self.idle_until:
            return None
        for download in self.downloads.values():
            if download.trouble or now < download.retry_at:
                continue
            if download.plan is None:
                download.retry_at = now + MANIFEST_RETRY_S
                return download, None
            action = download.plan.next_action(now)
            if action is not None:
                download.plan.on_action_started(action)
                return download, action
        # Reset when a download changes, so that new jobs start at once.
        self.idle_until = now + IDLE_POLL_S
        return None

    def run_job(
        self, job: tuple[Download, fetch.Action | None], rpc_clients: bus.RpcClients
    ) -> None:
        """Run one job and report the end of its action to the plan."""
        download, action = job
        if action is None:
            self.start_fetch(download, rpc_clients)
            return
        try:
            if isinstance(action, fetch.OriginRead):
                self.download_from_origin(download, action)
            else:
                self.request_chunk(download, action, rpc_clients)
        finally:
            with self.lock:
                assert download.plan is not None
                download.plan.on_action_finished(action)
                self.idle_until = 0.0
                self.lock.notify()

    def start_fetch(self, download: Download, rpc_clients: bus.RpcClients) -> None:
        """Get the manifest and create the plan, with the chunks that are already stored."""
        manifest = self.manifests.get(download.digest) or self.load_manifest(download, rpc_clients)
        if manifest is None:
            return
        held = 0
        for index, digest in enumerate(manifest.chunks):
            if self.store.has(digest):
                held |= 1 << index
        with self.lock:
            self.manifests[download.digest] = manifest
            now = self.context.clock()
            download.plan = fetch.POLICIES.get(self.config.fetch_policy)(
                self.name, download.digest, len(manifest.chunks), held, 2, now, self.rng
            )
            chunk_s = manifest.chunk_bytes / self.config.link_bytes_per_s
            download.plan.busy_retry_delay_s = max(fetch.BUSY_RETRY_DELAY_S, 0.5 * chunk_s)
            download.plan.set_peers(list(self.peers.get(download.digest, {}).values()))
            self.update_pinned()
            self.idle_until = 0.0
            self.lock.notify_all()
        logs.event(
            "fetch_started",
            manifest=download.digest,
            chunks=len(manifest.chunks),
            here=held.bit_count(),
            policy=self.config.fetch_policy,
        )

    def load_manifest(
        self, download: Download, rpc_clients: bus.RpcClients
    ) -> manifests.Manifest | None:
        """Return the manifest from the local store or by download; None if that fails."""
        stored = self.store.read(download.digest)
        if stored is not None:
            return manifests.decode(stored, download.digest)
        try:
            data = self.download_manifest(download.digest, rpc_clients)
            manifest = manifests.decode(data, download.digest)
        except errors.MerlinthreadError as error:
            logs.warning("manifest_failed", manifest=download.digest, reason=error.message)
            return None
        self.store.add(download.digest, data)
        return manifest

    def download_manifest(self, digest: str, rpc_clients: bus.RpcClients) -> bytes:
        """Return the manifest's bytes from one of the two nearest peers or the weight store.

        Raises WeightsError if there is no weight store, and errors of the request to it.
        """
        with self.lock:
            peers = list(self.peers.get(digest, {}).values())
        self.rng.shuffle(peers)
        peers.sort(key=lambda peer: peer.distance)
        for peer in peers[:2]:
            try:
                reply = rpc_clients.call(peer.bus, messages.ManifestRequest(digest), 1.0)
            except errors.MerlinthreadError as error:
                logs.debug("peer_failed", peer=peer.name, reason=error.message)
                continue
            if reply.data:
                return reply.data
        if self.config.weight_store_url is None:
            raise errors.WeightsError(
                f"no peer has manifest {digest} and agent.weight_store_url is not set"
            )
        url = f"{self.config.weight_store_url}/manifests/{digest}"
        return self.client.request_ok(
            "GET", url, timeout_s=ORIGIN_TIMEOUT_S, limit_bytes=MANIFEST_BYTES_MAX
        ).body

    def download_from_origin(self, download: Download, action: fetch.OriginRead) -> None:
        """Download one chunk from the origin."""
        manifest, plan = download.manifest_and_plan(self.manifests)
        size = manifest.chunk_size(action.index)
        offset = manifest.chunk_offset(action.index)
        name = urllib.parse.quote(manifest.object)
        try:
            if self.config.origin_url is None:
                raise errors.WeightsError("agent.origin_url is not set")
            response = self.client.request_ok(
                "GET",
                f"{self.config.origin_url}/objects/{name}",
                headers={"Range": f"bytes={offset}-{offset + size - 1}"},
                timeout_s=ORIGIN_TIMEOUT_S,
                limit_bytes=size,
            )
            data = response.body
        except errors.MerlinthreadError as error:
            metrics.chunk_failures_total.labels("origin").inc()
            logs.warning("origin_failed", manifest=download.digest, reason=error.message)
            wait = error.retry_after_s or ORIGIN_RETRY_S
            with self.lock:
                plan.on_origin_failed(self.context.clock(), wait)
            return
        metrics.chunk_bytes_total.labels("origin").inc(len(data))
        now = self.context.clock()
        self.sleep_until(
            max(
                self.origin_pacer.record_arrival(size, now),
                self.download_pacer.record_arrival(size, now),
            )
        )
        if not self.store_chunk(download, action.index, data, from_origin=True):
            self.record_origin_mismatch(download, action.index, data)

    def record_origin_mismatch(self, download: Download, index: int, data: bytes) -> None:
        """Stop the download if the origin returned the same wrong data repeatedly.

        Data that was corrupted in transfer differs between attempts; equal data means that the
        object was changed.
        """
        digest = chunks.digest_of(data)
        with self.lock:
            seen = download.wrong_digests.setdefault(index, [])
            seen.append(digest)
            if seen.count(digest) >= ORIGIN_MISMATCH_LIMIT:
                download.trouble = (
                    f"origin_changed: chunk {index} of manifest {download.digest} differs from the "
                    "signed one; restore the object or roll back"
                )
        if download.trouble:
            logs.warning("origin_changed", manifest=download.digest, index=index)

    def request_chunk(
        self, download: Download, action: fetch.PeerRequest, rpc_clients: bus.RpcClients
    ) -> None:
        """Request a chunk from another agent."""
        manifest, plan = download.manifest_and_plan(self.manifests)
        count = len(manifest.chunks)
        with self.lock:
            peer = self.peers.get(download.digest, {}).get(action.peer)
            held = plan.held
        if peer is None:
            return
        request = messages.ChunkRequest(
            self.name,
            download.digest,
            fetch.bitset_to_bytes(action.wanted, count),
            fetch.bitset_to_bytes(held, count),
        )
        try:
            reply = rpc_clients.call(peer.bus, request, self.peer_timeout_s(manifest))
        except errors.MerlinthreadError as error:
            metrics.chunk_failures_total.labels("peer").inc()
            logs.debug("peer_failed", peer=peer.name, reason=error.message)
            with self.lock:
                plan.on_peer_failed(peer.name, self.context.clock())
            return
        self.handle_chunk_reply(download, plan, peer, reply, count)

    def peer_timeout_s(self, manifest: manifests.Manifest) -> float:
        """Return the timeout of a chunk request, with allowance for the peer's other uploads."""
        chunk_s = manifest.chunk_bytes / self.config.link_bytes_per_s
        return PEER_TIMEOUT_S + 2 * self.config.upload_slots * chunk_s

    def handle_chunk_reply(
        self,
        download: Download,
        plan: fetch.FetchPlan,
        peer: fetch.Peer,
        reply: messages.ChunkReply,
        count: int,
    ) -> None:
        """Report a peer's reply to the plan and store its chunk."""
        now = self.context.clock()
        with self.lock:
            plan.on_peer_report(peer.name, fetch.bitset_from_bytes(reply.held, count), now)
            if reply.index == messages.NO_UPLOAD_SLOT:
                plan.on_peer_busy(peer.name, now)
            elif reply.index == messages.NO_CHUNK:
                plan.on_peer_empty(peer.name, now)
        if reply.index < 0 or reply.index >= count:
            return
        self.sleep_until(self.download_pacer.record_arrival(len(reply.data), now))
        metrics.chunk_bytes_total.labels("peer").inc(len(reply.data))
        if not self.store_chunk(download, reply.index, reply.data, from_origin=False):
            logs.warning("chunk_corrupt", peer=peer.name, manifest=download.digest)
            with self.lock:
                plan.on_corrupt_chunk(peer.name, self.context.clock())

    def store_chunk(self, download: Download, index: int, data: bytes, from_origin: bool) -> bool:
        """Store a chunk; return False if its digest is wrong.

        If the disk is full, the download stops.
        """
        manifest, plan = download.manifest_and_plan(self.manifests)
        try:
            self.store.add(manifest.chunks[index], data)
        except errors.WeightsError:
            metrics.chunk_failures_total.labels("corrupt").inc()
            return False
        except errors.DiskFullError as error:
            with self.lock:
                download.trouble = f"disk_full: {error.message}"
            logs.warning("disk_full", message=error.message)
            return True
        now = self.context.clock()
        with self.lock:
            plan.on_chunk_received(index, from_origin, now)
            is_complete = plan.is_complete()
        if is_complete:
            logs.event(
                "fetch_complete",
                manifest=download.digest,
                seconds=round(now - download.started_at, 3),
                **dataclasses.asdict(plan.stats),
            )
        return True

    def sleep_until(self, when: float) -> None:
        """Sleep until the time `when` on the clock of the role context."""
        wait = when - self.context.clock()
        if wait > 0:
            time.sleep(wait)
