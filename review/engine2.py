"""Stand-ins for model workers and for the origin of weights, as PROTOCOL.md describes them."""

import asyncio
import hashlib
import json
import random
import urllib.parse

import harness2 as kit

LAYERS, CHUNKS, CHUNK_BYTES = 16, 48, 4096
MODEL = "daka510000"
WARM_S = 0.3
STEP_S = 0.03
# What a worker at its usual pace takes for an order and for a piece.
ORDER_S, STAGE_S = 0.6, 0.002
REASONS = {
    200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict", 410: "Gone",
    421: "Misdirected Request", 503: "Service Unavailable",
}  # fmt: skip


def pieces_of(version):
    """Return the right pieces of a version."""
    rng = random.Random(f"pieces {version}")
    return [rng.randbytes(CHUNK_BYTES) for _ in range(CHUNKS)]


def needed_by(layer):
    """Return the pieces that a layer needs."""
    return range(layer * CHUNKS // LAYERS, -((layer + 1) * CHUNKS // -LAYERS))


def answer(status, headers=None, body=b""):
    return kit.encode(f"HTTP/1.1 {status} {REASONS[status]}", headers or {}, body)


class HttpServer:
    """A server that answers each request with the bytes that `respond` returns."""

    def __init__(self, record, address):
        self.record, self.address = record, address
        self.server = None
        self.writers = set()

    async def listen(self):
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    def close(self):
        """End as a crash does: the address refuses connections, open ones are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await kit.read_message(reader)
                method, target, _ = request.first.split(" ")
                data = await self.respond(method, target, request, writer)
                if data:
                    writer.write(data)
                    await writer.drain()
        except (EOFError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Origin(HttpServer):
    """The origin; `spoil_manifest` changes the bytes of its next manifest, once."""

    def __init__(self, record, address):
        super().__init__(record, address)
        self.newest = 1
        self.spoil_manifest = None
        self.manifests, self.pieces_sent = [], {}

    async def respond(self, method, target, request, writer):
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        version = int(fields.get("version", self.newest))
        if version > self.newest:
            return answer(404)
        if version < self.newest - 1:
            return answer(410)
        pieces = pieces_of(version)
        if path == f"/manifest/{MODEL}":
            digests = [hashlib.sha256(piece).hexdigest() for piece in pieces]
            body = json.dumps({"model": MODEL, "version": version, "chunk_bytes": CHUNK_BYTES,
                               "layers": LAYERS, "digests": digests}).encode()  # fmt: skip
            spoil, self.spoil_manifest = self.spoil_manifest, None
            if spoil is not None:
                body = spoil(body)
            self.manifests.append((self.record.now(), version, spoil is not None))
            self.record.write(
                f"origin: manifest of version {version} to {writer.get_extra_info('peername')[0]}"
                f"{', spoilt' if spoil is not None else ''}"
            )
            return answer(200, {"Content-Type": "application/json"}, body)
        if path == f"/piece/{MODEL}":
            index = int(fields["sample_count"])
            self.pieces_sent[version, index] = self.pieces_sent.get((version, index), 0) + 1
            return answer(200, {}, pieces[index])
        return answer(404)


class Engine(HttpServer):
    """A model worker. `layers` has the version and the pieces that each layer took."""

    def __init__(self, record, address, service, zone, instance):
        super().__init__(record, address)
        self.service, self.zone, self.instance = service, zone, instance
        self.staged, self.layers = {}, {}
        self.sequence = self.beat_sequence = 0
        self.busy = False
        self.running = set()
        self.runs, self.rejected, self.bad_tokens, self.orders = [], [], [], []
        # How many times as long all work takes.
        self.slow_x = 1.0

    def hold_from_start(self, version):
        """Hold a version, staged too, as workers of the start may."""
        self.staged = dict(enumerate(pieces_of(version)))
        self.take(version, range(LAYERS))

    def version(self):
        return max((version for version, _ in self.layers.values()), default=0)

    def is_whole(self):
        return len(self.layers) == LAYERS

    def take(self, version, layers):
        """Take the staged pieces of layers that are not held in this version."""
        kept = {layer: held for layer, held in self.layers.items() if held[0] == version}
        self.layers = {
            layer: kept.get(layer)
            or (version, {index: self.staged.get(index) for index in needed_by(layer)})
            for layer in layers
        }

    def bad_layers(self):
        """Return the layers that took a missing, spoilt or foreign piece."""
        right = {version: pieces_of(version) for version, _ in self.layers.values()}
        return [layer for layer, (version, taken) in self.layers.items()
                if any(taken[index] != right[version][index] for index in taken)]  # fmt: skip

    async def respond(self, method, target, request, writer):
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        if path == "/report":
            return answer(
                200, {"Content-Type": "application/json"}, json.dumps(self.report()).encode()
            )
        if path.startswith("/stage-"):
            await asyncio.sleep(STAGE_S * self.slow_x)
        if path == f"/stage-put/{MODEL}":
            self.staged[int(fields["sample_count"])] = request.body
            return answer(200)
        if path == f"/stage-get/{MODEL}":
            piece = self.staged.get(int(fields["sample_count"]))
            return answer(404) if piece is None else answer(200, {}, piece)
        if path == "/order":
            return await self.order(json.loads(request.body))
        return await self.run(request, writer)

    def report(self):
        held = sorted(self.layers)
        first, end = (held[0], held[-1] + 1) if held else (0, 0)
        return {
            "stage": "both", "models": [{"name": MODEL, "version": self.version(), "adapters": []}],
            "layers": {"from": first, "target_version": end, "version": self.version()},
            "busy": self.busy, "sequence": self.sequence, "queued": 0, "running": len(self.running),
            "kv_used": 0, "kv_total": 317000, "handles": 0, "pace": 1.0,
        }  # fmt: skip

    async def order(self, order):
        version = order["version"]
        layers = range(order.get("from", 0), order.get("target_version", LAYERS))
        self.orders.append(order)
        self.record.write(f"{self.instance} gets an order for version {version}")
        await asyncio.sleep(ORDER_S * self.slow_x)
        expected = order.get("expected_revision", self.sequence)
        if self.busy or expected != self.sequence:
            self.record.write(f"{self.instance} refuses the order for version {version} (409)")
            return answer(409)
        if self.version() == version and sorted(self.layers) == list(layers):
            return answer(200)
        self.sequence += 1
        self.busy = True
        lying = dict(self.staged)
        self.record.write(f"{self.instance} takes the order for version {version}, layers {layers}")
        asyncio.create_task(self.load(version, layers, lying))
        return answer(202)

    async def load(self, version, layers, lying):
        """Load what lay there when the order was taken, after what runs."""
        while self.running:
            await asyncio.sleep(0.01)
        await asyncio.sleep(WARM_S * self.slow_x)
        staged, self.staged = self.staged, lying
        self.take(version, layers)
        self.staged = staged
        self.busy = False
        self.record.write(
            f"{self.instance} holds version {version}, bad layers {self.bad_layers()}"
        )

    async def run(self, request, writer):
        headers = request.headers
        id_ = headers.get("x-merlinthread-request-id", "")
        common = {"X-Merlinthread-Request-Id": id_}
        status, reason = 421, ""
        expected = headers.get("x-merlinthread-expect-version")
        if headers.get("x-merlinthread-expect-instance", self.instance) != self.instance:
            reason = "another instance is expected"
        elif self.busy:
            status, reason = 503, "it takes nothing new while it loads"
        elif not self.is_whole():
            reason = "it holds no whole model"
        elif expected is not None and expected != str(self.version()):
            reason = f"version {expected} is expected"
        if reason:
            self.rejected.append(id_)
            self.record.write(f"{self.instance} rejects {id_}: {reason} ({status})")
            return answer(status, common | {"X-Merlinthread-Not-Run": "1"})
        self.running.add(id_)
        bad = self.bad_layers()
        self.runs.append((self.record.now(), id_, self.version(), bad))
        self.record.write(f"{self.instance} runs {id_} with version {self.version()}")
        if bad:
            self.bad_tokens.append(id_)
            self.record.write(
                f"{self.instance} makes tokens of {id_} with version {self.version()}, "
                f"whose layers {bad} took wrong pieces"
            )
        try:
            head = {**common, "X-Merlinthread-Response-Stamp": f"{self.instance}.{id_}",
                    "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}  # fmt: skip
            lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in head.items())]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            for number in range(int(headers.get("last-event-id", 0)) + 1, 9):
                await asyncio.sleep(STEP_S * self.slow_x)
                event = f"id: {number}\ndata: token {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running.discard(id_)

    async def beat_forever(self, addresses):
        """Send heartbeats, to one control node after the other until one acknowledges."""
        while True:
            for address in addresses:
                self.beat_sequence += 1
                report = self.report()
                body = {"service": self.service, "address": self.address, "zone": self.zone,
                        "version": "v1", "slots": 16, "state": "ready", "cold_remaining_ms": 0,
                        "stage": "both", "models": report["models"], "layers": report["layers"],
                        "sequence": self.beat_sequence}  # fmt: skip
                try:
                    if (
                        await kit.call(address, "PUT", f"/instances/{self.instance}", body)
                    ).status == 200:
                        break
                except (OSError, EOFError, TimeoutError):
                    continue
            await asyncio.sleep(kit.BEAT_S)


def engine_service(name):
    """Return the entry of a model service in a configuration."""
    return {
        "name": name, "health_check_path": "/healthz", "max_connections": 264, "protocol": "h1",
        "tls": False,
        "engine": {
            "slots": 16, "kv_capacity_tokens": 317000, "kv_token_bytes": 262144,
            "link_mbps": 400000.0, "stride": 5,
            "models": [{"name": MODEL, "pace": 1.0, "load_s": 4.0, "warm_s": WARM_S}],
            "size_mb": 149000.0, "adapter_slots": 8, "loads_per_s": 0.0, "step_ms": 9.27,
            "per_seq_ms": 0.0232, "context_per_k": 0.0322, "read_per_s": 20700.0,
            "pairs_per_m": 1.18, "chunk": 2048, "report_lag_ms": 200.0, "loads_at_once": 8,
            "delays": [], "usual": {"prompt": 979, "answer": 92}, "layers": LAYERS,
            "layer_mb": 4090.0, "act_bytes": 16384, "pipe_mbps": 0.0, "chunks": CHUNKS,
            "chunk_bytes": CHUNK_BYTES,
        },
    }  # fmt: skip


def origin_service(name, address, zone):
    """Return the entry of the origin in a configuration."""
    return {"name": name, "origin": address, "zone": zone, "link_mbps": 7.3, "max_connections": 48}


def streaming_route(name, service):
    """Return a route of resumable streams to a model service."""
    return {
        "name": f"r-{name}", "hostname": "hulo84.example", "path_prefix": f"/{name}/",
        "route_type": "streaming", "timeout_ms": 6000, "target_latency_ms": 405, "priority": 1,
        "service": service, "max_attempts": 2, "public": False, "sticky_sessions": True,
        "resumable": True, "target_gap_ms": 400,
    }  # fmt: skip
