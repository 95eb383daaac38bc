"""Case: an engine loads weights with a piece that turned bad long before the load was ordered."""

import dataclasses
import hashlib
import json
import os
import pathlib
import random
import signal
import sys
import threading
import time
import urllib.parse
from http import server

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import support  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "jnbanfqasnmgkcuyj8pj"
MODEL = "daka510000"
SERVICE = "huvo11a"
HEARTBEAT_S = 1.2
LAYERS = 16


@dataclasses.dataclass(frozen=True)
class Site:
    """The figures of a deployment: bounds, weights and links. `freeze_s`: see claim.txt."""

    bounds: dict
    chunks: int
    chunk_bytes: int
    side_mbps: float
    origin_mbps: float
    freeze_s: float


SITES = {
    "ingoma-live": Site(support.BOUNDS, 96, 24576, 3.65, 7.3, 3.5),
    "malarvik-meter-grown": Site(
        support.BOUNDS
        | {
            "contact_ms": 4000,
            "ack_ms": 5000,
            "catch_up_s": 6,
            "drain_ms": 2500,
            "config_apply_ms": 2500,
            "outer_ms": 6000,
            "budget_slack": 398,
            "recover_s": 15,
            "version_ms": 9700,
        },
        48,
        49152,
        4.7,
        9.0,
        0.0,
    ),
}
SITE = SITES[os.environ.get("SITE", "ingoma-live")]
CHUNKS, CHUNK_BYTES = SITE.chunks, SITE.chunk_bytes
SIDE_LIMITS = {"memory_mb": 168, "max_fds": 1124, "link_mbps": SITE.side_mbps}
ORIGIN_MBPS = SITE.origin_mbps
WARM_S = 0.3
# The rule: a piece that turned bad within this time before the load is excused.
EXCUSED_S = 3.0
# The piece of which one engine's copy turns bad, some time after the agent has verified it.
BAD_PIECE = 10
TURNS_BAD_AFTER_S = 0.2


def make_pieces(version: int) -> list[bytes]:
    """Return the pieces of a version; they can't be compressed."""
    rng = random.Random(version)
    return [rng.randbytes(CHUNK_BYTES) for _ in range(CHUNKS)]


PIECES = {version: make_pieces(version) for version in (1, 2)}


class StandIn(server.ThreadingHTTPServer):
    """An HTTP server whose handler passes each request to `serve`."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, ip: str, port: int) -> None:
        super().__init__((ip, port), Handler)
        self.address = f"{ip}:{port}"
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, *arguments: object) -> None:
        """Ignore callers that have closed their connection."""

    def serve(self, handler: "Handler", path: str, query: dict[str, int], body: bytes) -> None:
        """Answer one request."""
        raise NotImplementedError


class Handler(server.BaseHTTPRequestHandler):
    """Reads requests and sends answers."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    # Buffers the answer, so that head and body are sent at once.
    wbufsize = -1
    server: StandIn

    def handle_request(self) -> None:
        """Read the body and let the server answer."""
        body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
        path, _, text = self.path.partition("?")
        query = {key: int(value) for key, value in urllib.parse.parse_qsl(text)}
        self.server.serve(self, path, query, body)

    do_GET = do_PUT = do_POST = handle_request  # noqa: N815

    def reply(self, status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> None:
        """Send a whole answer."""
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def log_message(self, *arguments: object) -> None:
        """Write no log."""


class Origin(StandIn):
    """The origin of weights; its link is shared by all readers."""

    newest = 1

    def __init__(self, ip: str, port: int) -> None:
        self.link = threading.Lock()
        self.pieces_sent = 0
        super().__init__(ip, port)

    def serve(self, handler: Handler, path: str, query: dict[str, int], body: bytes) -> None:
        """Send the manifest or a piece."""
        version = query.get("version", self.newest)
        if path.startswith("/manifest/"):
            digests = [hashlib.sha256(piece).hexdigest() for piece in PIECES[version]]
            manifest = {
                "model": MODEL,
                "version": version,
                "chunk_bytes": CHUNK_BYTES,
                "layers": LAYERS,
                "digests": digests,
            }
            handler.reply(200, json.dumps(manifest).encode())
            return
        with self.link:
            time.sleep(CHUNK_BYTES * 8 / (ORIGIN_MBPS * 1e6))
        self.pieces_sent += 1
        handler.reply(200, PIECES[version][query["sample_count"]])


class Engine(StandIn):
    """A model worker as the page PROTOCOL.md describes it. It starts with version 1, staged too."""

    def __init__(self, fleet: support.Fleet, instance: str, number: int) -> None:
        self.fleet = fleet
        self.instance = instance
        self.lock = threading.Lock()
        self.staged = dict(enumerate(PIECES[1]))
        self.version = 1
        self.is_busy = False
        self.orders = 0
        self.beats = 0
        # How many pieces, from the first on, were read back in order since the last one was staged.
        self.read_back = 0
        self.verified_at: float | None = None
        self.turned_bad_at: dict[int, float] = {}
        # The bad pieces that the last load took, with how long they had been bad.
        self.taken_bad: dict[int, float] = {}
        self.runs: list[tuple[str, int]] = []
        # Cleared while the machine is frozen, with the worker on it.
        self.is_awake = threading.Event()
        self.is_awake.set()
        super().__init__(f"{fleet.network}.{number}", 8740)
        threading.Thread(target=self.beat, daemon=True).start()

    def state(self) -> dict:
        """Return what the worker tells of its weights."""
        return {
            "stage": "both",
            "models": [{"name": MODEL, "version": self.version, "adapters": []}],
            "layers": {"from": 0, "target_version": LAYERS, "version": self.version},
        }

    def beat(self) -> None:
        """Send heartbeats for as long as the case runs."""
        while self.is_awake.wait():
            self.beats += 1
            body = {
                "service": SERVICE,
                "address": self.address,
                "zone": "kgl-a",
                "version": "v1",
                "slots": 12,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": self.beats,
                **self.state(),
            }
            seed = self.fleet.seeds[self.beats % 3]
            support.call(seed, "PUT", f"/instances/{self.instance}", body)
            time.sleep(HEARTBEAT_S)

    def serve(self, handler: Handler, path: str, query: dict[str, int], body: bytes) -> None:
        """Answer a request of the agent or of an entry."""
        self.is_awake.wait()
        if path == "/report":
            load = {"busy": self.is_busy, "sequence": self.orders, "queued": 0, "running": 0}
            load |= {"kv_used": 0, "kv_total": 317000, "handles": 0}
            handler.reply(200, json.dumps(self.state() | load).encode())
        elif path.startswith("/stage-put/"):
            with self.lock:
                self.staged[query["sample_count"]] = body
                self.read_back, self.verified_at = 0, None
            handler.reply(200)
        elif path.startswith("/stage-get/"):
            self.send_staged(handler, query["sample_count"])
        elif path == "/order":
            self.take_order(handler, json.loads(body))
        else:
            self.run(handler)

    def send_staged(self, handler: Handler, index: int) -> None:
        """Send a staged piece, and notice when all of them have been read back."""
        with self.lock:
            piece = self.staged.get(index)
            if index == self.read_back:
                self.read_back += 1
                if self.read_back == CHUNKS and self.staged[0] == PIECES[2][0]:
                    self.verified_at = time.monotonic()
        handler.reply(200 if piece is not None else 404, piece or b"")

    def turn_bad(self, index: int) -> None:
        """Spoil a staged piece."""
        with self.lock:
            self.staged[index] = bytes(CHUNK_BYTES)
            self.turned_bad_at[index] = time.monotonic()

    def take_order(self, handler: Handler, order: dict) -> None:
        """Take what is staged now, and hold it after the time to warm up."""
        with self.lock:
            if self.is_busy:
                handler.reply(409)
                return
            version = order["version"]
            if version == self.version:
                handler.reply(200)
                return
            self.is_busy = True
            self.orders += 1
            now = time.monotonic()
            self.taken_bad = {
                index: now - self.turned_bad_at.get(index, now)
                for index, piece in enumerate(PIECES[version])
                if self.staged.get(index) != piece
            }
        bad = {index: round(age, 2) for index, age in self.taken_bad.items()}
        self.fleet.record.write(
            f"{self.instance}: takes POST /order {json.dumps(order)}; bad pieces, with how many "
            f"seconds ago they turned bad: {bad}"
        )
        handler.reply(202)
        threading.Timer(WARM_S, self.hold, (version,)).start()

    def hold(self, version: int) -> None:
        """Hold the version that was loaded."""
        self.version = version
        self.is_busy = False

    def run(self, handler: Handler) -> None:
        """Run a streaming request, or reject it."""
        headers = handler.headers
        expected = headers.get("X-Merlinthread-Expect-Version", str(self.version))
        is_other = headers.get("X-Merlinthread-Expect-Instance", self.instance) != self.instance
        request_id = headers.get("X-Merlinthread-Request-Id", "")
        if is_other or expected != str(self.version) or self.is_busy:
            status = 503 if self.is_busy else 421
            fields = {"X-Merlinthread-Not-Run": "1", "X-Merlinthread-Request-Id": request_id}
            handler.reply(status, b"", fields)
            return
        self.runs.append((request_id, self.version))
        first = int(headers.get("Last-Event-Id", "0")) + 1
        events = "".join(f"id: {number}\ndata: token\n\n" for number in range(first, 6))
        fields = {
            "Content-Type": "text/event-stream",
            "X-Merlinthread-Request-Id": request_id,
            "X-Merlinthread-Response-Stamp": f"{self.instance}.{request_id}",
            "X-Merlinthread-Weight-Versions": str(self.version),
        }
        handler.reply(200, events.encode(), fields)


def configuration(origin: str) -> dict:
    """Return the configuration of a model service and the origin of its weights."""
    engine = {
        "slots": 12,
        "kv_capacity_tokens": 317000,
        "models": [{"name": MODEL, "pace": 1.0, "load_s": 4.0, "warm_s": WARM_S}],
        "step_ms": 9.27,
        "stride": 5,
        "read_per_s": 20700.0,
        "usual": {"prompt": 979, "answer": 92},
        "layers": LAYERS,
        "chunks": CHUNKS,
        "chunk_bytes": CHUNK_BYTES,
    }
    streaming = {"sticky_sessions": True, "resumable": True, "target_gap_ms": 400}
    return {
        "version": 1,
        "routes": [support.route("r-1", "streaming", SERVICE, **streaming)],
        "services": [
            {"name": SERVICE, "health_check_path": "/healthz", "engine": engine},
            {"name": "kafi81c", "origin": origin, "zone": "kgl-a", "link_mbps": ORIGIN_MBPS},
        ],
        "limits": {},
        "tenants": [{"name": "bozi300", "api_keys": [KEY]}],
    }


class Clients(threading.Thread):
    """Clients that send streaming requests."""

    def __init__(self, entry: support.Node) -> None:
        super().__init__(daemon=True)
        self.entry = entry
        self.statuses: list[int] = []
        self.is_over = False

    def run(self) -> None:
        """Send one request after the other."""
        while not self.is_over:
            self.send(f"9c41{len(self.statuses):012x}")
            time.sleep(0.05)

    def send(self, request_id: str) -> int:
        """Send one request and return its status."""
        headers = {
            "Host": "hulo84.example",
            "X-Merlinthread-Request-Id": request_id,
            "X-Merlinthread-Deadline-Ms": "4000",
            "X-Merlinthread-Model": MODEL,
            "X-Merlinthread-Token-Usage": "640,25",
            "X-Merlinthread-Prompt-Prefix": f"5c1e07a2:40,{request_id}:600",
            "Api-Key": KEY,
        }
        address = f"{self.entry.ip}:{support.FRONT_PORT}"
        status, _ = support.call(address, "POST", f"/{SERVICE}/2f", b"{}", headers, 5.0)
        self.statuses.append(status)
        return status


def start(fleet: support.Fleet) -> tuple[list[Engine], Origin, Clients]:
    """Start the fleet, and return once its entry serves."""
    controls = fleet.add_controls()
    entry = fleet.add("front-kgl-a-1", "entry", 11, "kgl-a")
    engines = [Engine(fleet, f"i-7f3a91c{number}", 30 + number) for number in (1, 2, 3, 4)]
    origin = Origin(f"{fleet.network}.50", 8006)
    agents = [
        fleet.add(
            f"side-kgl-a-{number}",
            "agent",
            30 + number,
            "kgl-a",
            app=engine.address,
            service=SERVICE,
            limits=SIDE_LIMITS,
        )
        for number, engine in enumerate(engines, 1)
    ]
    for node in [*controls, entry, *agents]:
        node.start()
    body = configuration(origin.address)
    support.wait_for(
        "the first configuration",
        lambda: support.call(fleet.seeds[0], "PUT", "/config", body)[0] == 200,
        20.0,
    )
    fleet.record.write("operator: PUT /config version 1: 200")
    clients = Clients(entry)
    support.wait_for("service", lambda: clients.send("0a") == 200, 20.0)
    return engines, origin, clients


def freeze(record: support.Record, engine: Engine, agent: support.Node) -> None:
    """Let the machine of an engine and its agent stand still for some time."""
    engine.is_awake.clear()
    agent.signal(signal.SIGSTOP)
    record.write(f"node_freeze: {agent.name} and {engine.instance} on it stand still")
    time.sleep(SITE.freeze_s)
    engine.is_awake.set()
    agent.signal(signal.SIGCONT)
    record.write(f"{agent.name} wakes")


def find_waiting(engines: list[Engine]) -> Engine | None:
    """Return an engine whose pieces were verified some time ago and that got no order since."""
    now = time.monotonic()
    for engine in engines:
        with engine.lock:
            at = engine.verified_at
            if at is not None and now - at >= TURNS_BAD_AFTER_S and not engine.orders:
                return engine
    return None


def run(fleet: support.Fleet) -> bool:
    """Run the case; return whether the rule held."""
    record = fleet.record
    engines, origin, clients = start(fleet)
    clients.start()
    time.sleep(SITE.bounds["contact_ms"] / 1000 + 1.0)
    origin.newest = 2
    body = {"model": MODEL, "version": 2}
    support.wait_for(
        "the acknowledgement of the weights' version",
        lambda: support.call(fleet.seeds[0], "POST", "/version-put", body)[0] == 200,
        10.0,
    )
    named_at = time.monotonic()
    record.write("operator: POST /version-put version 2: 200")
    spoilt: Engine | None = None
    ends_at = named_at + SITE.bounds["version_ms"] / 1000 + 4.0
    while time.monotonic() < ends_at:
        if TROUBLE and spoilt is None:
            # The last engine in the agents' order is the one that loads last.
            spoilt = find_waiting(engines[-1:])
            if spoilt is not None:
                spoilt.turn_bad(BAD_PIECE)
                record.write(
                    f"garble, rot: piece {BAD_PIECE} that lies at {spoilt.instance} turns bad, "
                    f"{time.monotonic() - spoilt.verified_at:.2f} s after the agent read all back, "
                    f"{time.monotonic() - named_at:.2f} s after the naming"
                )
                if SITE.freeze_s:
                    freeze(record, spoilt, fleet.nodes["side-kgl-a-4"])
        time.sleep(0.02)
    clients.is_over = True
    clients.join()
    record.write(f"the origin sent {origin.pieces_sent} pieces")
    counts = {status: clients.statuses.count(status) for status in sorted(set(clients.statuses))}
    record.write(f"clients: {counts}")
    if TROUBLE and spoilt is None:
        raise support.CannotRunError("no engine waited for its load")
    return judge(record, engines)


def judge(record: support.Record, engines: list[Engine]) -> bool:
    """Return whether the rule WHOLE held."""
    has_held = True
    for engine in engines:
        made = [request_id for request_id, version in engine.runs if version == 2]
        long_bad = {index: age for index, age in engine.taken_bad.items() if age > EXCUSED_S}
        record.write(
            f"{engine.instance}: version {engine.version}, {len(made)} requests run on version 2"
        )
        if made and long_bad:
            record.write(
                f"{engine.instance}: {len(made)} requests, {made[0]} the first, got tokens of "
                f"weights taken with pieces {sorted(long_bad)} bad for more than {EXCUSED_S} s"
            )
            has_held = False
    return has_held


sys.exit(support.run_case(HERE, run, SITE.bounds))
