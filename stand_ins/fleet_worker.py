"""A stand-in for a worker of the user's platform, implementing its published protocol.

It serves plain requests and event streams, marks requests that it did not run, and injects faults
on demand. It runs on the caller's event loop and listens on a port chosen by the system.
"""

import asyncio
import dataclasses
import hashlib
import json

from merlinthread.transport import http_messages, sockets, stream_server

DEFAULT_EVENT_COUNT = 5
LAYERS = 16
FLOOD_BLOCK_BYTES = 16 * 1024
# Ends a flood that its reader does not end, so that a failed test does not fill the memory.
FLOOD_BYTES_MAX = 128 * 1024 * 1024


@dataclasses.dataclass
class Behaviour:
    """Settings of a worker's responses and faults; they may be changed at any time."""

    work_s: float = 0.0
    gap_s: float = 0.0
    events: int = DEFAULT_EVENT_COUNT
    # Bytes that each event has beyond its number.
    event_padding: int = 0
    status: int = 200
    # Bytes that the body of a plain response has beyond its text.
    body_padding: int = 0
    is_full: bool = False
    cut_after_events: int | None = None
    closes_without_response: bool = False
    wrong_request_id: bool = False
    is_unsigned: bool = False
    ignores_last_event_id: bool = False
    never_responds: bool = False
    # Sends responses with neither a length nor chunks, which end with their connection.
    lacks_length: bool = False
    # Resets that connection instead of closing it.
    resets_connection: bool = False
    order_status: int = 202
    # How long an order takes from when it is taken, and how long it waits until then.
    order_delay_s: float = 0.0
    order_wait_s: float = 0.0
    # Time that reading back a staged piece takes.
    staged_read_s: float = 0.0
    # Answers an order for the version that it holds with 200, whatever the layers.
    keeps_all_layers: bool = False
    # Adds a Server-Leaving header to every response.
    is_leaving: bool = False
    # The Retry-After value of 503 responses.
    retry_after: str | None = None
    # The Server-Limit value of every response, in requests per second.
    limit: str | None = None
    # Sends a response without end: bytes after its headers, and bytes that are then repeated.
    flood: tuple[bytes, bytes] | None = None
    # Further headers of every response.
    extra_headers: http_messages.Headers = dataclasses.field(default_factory=list)
    # Further headers of status reports.
    report_headers: http_messages.Headers = dataclasses.field(default_factory=list)
    echoes_request_id: bool = True


@dataclasses.dataclass
class Run:
    """One request that the worker ran; `at` is its start in event loop time."""

    request_id: str
    headers: dict[str, str]
    body: bytes
    target: str
    instance: str = ""
    at: float = 0.0


@dataclasses.dataclass
class Refusal:
    """One request refused for overload at `at` in event loop time.

    `rest_s` is the Retry-After delay that was sent, 0 if none.
    """

    request_id: str
    at: float
    rest_s: float


class Worker:
    """A worker with its own address."""

    def __init__(self, instance: str, model: str = "", version: int = 1) -> None:
        self.instance = instance
        self.model = model
        self.version = version
        self.layers = (0, LAYERS if version else 0)
        self.behaviour = Behaviour()
        self.runs: list[Run] = []
        self.cancelled: list[str] = []
        # The number of stream events that the worker has sent, over all runs.
        self.events_sent = 0
        # The bytes that the worker has sent of its last response without end.
        self.flood_bytes = 0
        self.staged: dict[int, bytes] = {}
        self.orders: list[dict] = []
        # The number of orders that began something.
        self.revision = 0
        # The pieces that each layer took, and whether an order is in progress.
        self.layer_pieces: dict[int, dict[int, bytes]] = {}
        self.is_busy = False
        self.server = stream_server.Server(self.serve)
        self.address = ""
        self.zone = "zone-a"
        self.running = 0
        self.refusals: list[Refusal] = []

    @property
    def loaded_pieces(self) -> dict[int, bytes]:
        """Return the pieces that the loaded layers took."""
        return {
            index: piece for pieces in self.layer_pieces.values() for index, piece in pieces.items()
        }

    @property
    def refusal_count(self) -> int:
        """Return how many requests the worker refused because it was full."""
        return len(self.refusals)

    async def start(self, ip: str = "127.0.0.1") -> str:
        """Listen on a free port of `ip` and return the address as host:port."""
        await self.server.listen(ip, 0)
        assert self.server.listener is not None
        port = self.server.listener.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"
        return self.address

    def stop(self) -> None:
        """Close the listener and reset all connections, as a crash does."""
        if self.server.listener is not None:
            self.server.listener.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections."""
        for connection in list(self.server.connections):
            connection.abort()

    async def serve(self, exchange: stream_server.Exchange) -> None:
        """Dispatch a request by its path."""
        path = exchange.request.target.split(b"?")[0].decode()
        if path == "/report":
            await self.report(exchange)
        elif path.startswith(("/stage-put/", "/stage-get/")):
            await self.stage(exchange, path)
        elif path == "/order":
            await self.order(exchange)
        else:
            await self.run(exchange)

    async def run(self, exchange: stream_server.Exchange) -> None:
        """Run a request, or refuse it if it is for another instance or the worker is full."""
        headers = {k.decode().lower(): v.decode() for k, v in exchange.request.headers}
        request_id = headers.get("x-merlinthread-request-id", "")
        if headers.get("x-merlinthread-expect-instance", self.instance) != self.instance:
            await self.refuse(exchange, 421)
            return
        expected_version = headers.get("x-merlinthread-expect-version", str(self.version))
        if self.model and expected_version != str(self.version):
            await self.refuse(exchange, 421)
            return
        if self.behaviour.is_full:
            now = asyncio.get_running_loop().time()
            self.refusals.append(
                Refusal(request_id, now, parse_retry_after_s(self.behaviour.retry_after))
            )
            await self.refuse(exchange, 503)
            return
        target = exchange.request.target.decode()
        now = asyncio.get_running_loop().time()
        run = Run(request_id, headers, exchange.request.body, target, self.instance, now)
        self.runs.append(run)
        self.running += 1
        try:
            await self.respond(exchange, headers, request_id)
        except asyncio.CancelledError:
            self.cancelled.append(request_id)
            raise
        finally:
            self.running -= 1

    async def respond(
        self, exchange: stream_server.Exchange, headers: dict[str, str], request_id: str
    ) -> None:
        """Send the response, with the faults of the current behaviour."""
        if self.behaviour.never_responds:
            await asyncio.Event().wait()
        await asyncio.sleep(self.behaviour.work_s)
        if self.behaviour.closes_without_response:
            exchange.abort()
            return
        echoed_id = "0000" if self.behaviour.wrong_request_id else request_id
        response_headers = [
            *self.common_headers(),
            (b"X-Merlinthread-Request-Id", echoed_id.encode()),
        ]
        if not self.behaviour.is_unsigned:
            stamp = f"{self.instance}.{request_id}".encode()
            response_headers.append((b"X-Merlinthread-Response-Stamp", stamp))
        if self.behaviour.flood is not None:
            await self.send_flood(exchange, response_headers, *self.behaviour.flood)
            return
        if self.behaviour.lacks_length:
            await self.send_without_length(exchange, response_headers, headers)
            return
        if "x-merlinthread-model" in headers and self.behaviour.status == 200:
            await self.stream(exchange, response_headers, headers)
            return
        body = f"answer of {self.instance} to {request_id}".encode()
        body += bytes(self.behaviour.body_padding)
        await exchange.respond(
            http_messages.Response(self.behaviour.status, response_headers, body)
        )

    async def stream(
        self,
        exchange: stream_server.Exchange,
        response_headers: http_messages.Headers,
        headers: dict[str, str],
    ) -> None:
        """Send numbered events, starting after the client's Last-Event-ID."""
        is_ignored = self.behaviour.ignores_last_event_id
        first = 1 if is_ignored else int(headers.get("last-event-id", "0")) + 1
        exchange.start_response(200, [*response_headers, (b"Content-Type", b"text/event-stream")])
        for sent_count, number in enumerate(range(first, self.behaviour.events + 1)):
            if sent_count == self.behaviour.cut_after_events:
                exchange.connection.write_raw(b"10\r\nid: 9")
                exchange.abort()
                return
            padding = "x" * self.behaviour.event_padding
            await exchange.send(f"id: {number}\ndata: {number}{padding}\n\n".encode())
            self.events_sent += 1
            await asyncio.sleep(self.behaviour.gap_s)
        await exchange.finish()

    async def send_without_length(
        self,
        exchange: stream_server.Exchange,
        response_headers: http_messages.Headers,
        headers: dict[str, str],
    ) -> None:
        """Send a response whose end is that of its connection.

        With `cut_after_events`, a stream ends inside the event after that many.
        """
        parts = [f"answer of {self.instance}".encode()]
        if "x-merlinthread-model" in headers:
            first = int(headers.get("last-event-id", "0")) + 1
            numbers = range(first, self.behaviour.events + 1)
            parts = [f"id: {number}\ndata: {number}\n\n".encode() for number in numbers]
            if self.behaviour.cut_after_events is not None:
                parts = parts[: self.behaviour.cut_after_events + 1]
                parts[-1] = parts[-1].rstrip(b"\n")
        lines = [b"HTTP/1.1 200 OK", *(name + b": " + value for name, value in response_headers)]
        exchange.connection.write_raw(b"\r\n".join(lines) + b"\r\n\r\n")
        for part in parts:
            exchange.connection.write_raw(part)
            await asyncio.sleep(self.behaviour.gap_s)
        if self.behaviour.resets_connection:
            sockets.reset_on_close(exchange.connection.transport)
            exchange.connection.abort()
        else:
            exchange.connection.close()

    async def send_flood(
        self,
        exchange: stream_server.Exchange,
        response_headers: http_messages.Headers,
        first: bytes,
        repeated: bytes,
    ) -> None:
        """Send a response that goes on until the client closes the connection, or FLOOD_BYTES_MAX.

        `first` follows the headers; if it begins with a status line, it replaces them.
        """
        lines = [b"HTTP/1.1 200 OK", *(name + b": " + value for name, value in response_headers)]
        is_whole = first.startswith(b"HTTP/")
        exchange.connection.write_raw(first if is_whole else b"\r\n".join(lines) + first)
        block = repeated * (1 + FLOOD_BLOCK_BYTES // len(repeated))
        self.flood_bytes = 0
        while self.flood_bytes < FLOOD_BYTES_MAX:
            exchange.connection.write_raw(block)
            self.flood_bytes += len(block)
            await exchange.connection.flow.wait_writable()
            await asyncio.sleep(0)
        exchange.abort()

    def common_headers(self) -> http_messages.Headers:
        """Return the headers that every response carries."""
        headers = [(b"Server-Leaving", b"1")] if self.behaviour.is_leaving else []
        if self.behaviour.limit is not None:
            headers.append((b"Server-Limit", self.behaviour.limit.encode()))
        return [*headers, *self.behaviour.extra_headers]

    async def refuse(self, exchange: stream_server.Exchange, status: int) -> None:
        """Refuse a request, marked as not run."""
        headers = [(b"X-Merlinthread-Not-Run", b"1"), *self.common_headers()]
        if self.behaviour.echoes_request_id:
            request_id = http_messages.get_header(
                exchange.request.headers, b"x-merlinthread-request-id"
            )
            headers.append((b"X-Merlinthread-Request-Id", request_id or b""))
        if self.behaviour.retry_after is not None and status == 503:
            headers.append((b"Retry-After", self.behaviour.retry_after.encode()))
        await exchange.respond(http_messages.Response(status, headers))

    async def report(self, exchange: stream_server.Exchange) -> None:
        """Return the load, the models and the layers."""
        body = {
            "models": [{"name": self.model, "version": self.version, "adapters": []}],
            "layers": {
                "from": self.layers[0],
                "target_version": self.layers[1],
                "version": self.version,
            },
            "busy": self.is_busy,
            "sequence": self.revision,
            "queued": 0,
            "running": self.running,
        }
        headers = self.behaviour.report_headers
        await exchange.respond(http_messages.Response(200, headers, json.dumps(body).encode()))

    async def stage(self, exchange: stream_server.Exchange, path: str) -> None:
        """Store or return a staged piece."""
        index = int(exchange.request.target.split(b"sample_count=")[1].split(b"&")[0])
        if path.startswith("/stage-put/"):
            self.staged[index] = exchange.request.body
            await exchange.respond(http_messages.Response(200, []))
            return
        await asyncio.sleep(self.behaviour.staged_read_s)
        if index in self.staged:
            await exchange.respond(http_messages.Response(200, [], self.staged[index]))
        else:
            await exchange.respond(http_messages.Response(404, []))

    async def order(self, exchange: stream_server.Exchange) -> None:
        """Accept an order and execute it after `order_delay_s`, unless set to reject it."""
        await asyncio.sleep(self.behaviour.order_wait_s)
        order = json.loads(exchange.request.body)
        self.orders.append(order)
        status = self.behaviour.order_status
        if status == 202 and order.get("expected_revision", self.revision) != self.revision:
            status = 409
        elif status == 202 and self.holds(order):
            status = 200
        elif status == 202:
            self.revision += 1
            self.is_busy = True
            self.take_pieces(order)
            delay_s = self.behaviour.order_delay_s
            asyncio.get_running_loop().call_later(delay_s, self.execute_order, order)
        await exchange.respond(http_messages.Response(status, []))

    def holds(self, order: dict) -> bool:
        """Return whether the worker holds just what an order asks for."""
        is_same = self.layers == ordered_layers(order) or self.behaviour.keeps_all_layers
        return bool(self.layer_pieces) and order["version"] == self.version and is_same

    def take_pieces(self, order: dict) -> None:
        """Take the staged pieces of the ordered layers; those of the same version are kept."""
        held = self.layer_pieces if order["version"] == self.version else {}
        self.layer_pieces = {
            layer: held.get(layer) or self.staged_of(layer)
            for layer in range(*ordered_layers(order))
        }

    def staged_of(self, layer: int) -> dict[int, bytes]:
        """Return the staged pieces that a layer needs."""
        count = max(self.staged, default=-1) + 1
        needed = range(layer * count // LAYERS, -((layer + 1) * count // -LAYERS))
        return {index: self.staged[index] for index in needed if index in self.staged}

    def execute_order(self, order: dict) -> None:
        """Switch to the version and layers of an order."""
        self.is_busy = False
        self.version = order["version"]
        self.layers = ordered_layers(order)


def ordered_layers(order: dict) -> tuple[int, int]:
    """Return the first layer of an order and the one after its last."""
    return order.get("from", 0), order.get("target_version", LAYERS)


def parse_retry_after_s(value: str | None) -> float:
    """Return the number of seconds in a Retry-After value, 0 if it is not a number."""
    try:
        return float(value or 0)
    except ValueError:
        return 0.0


def spoil_digit(digest: str) -> str:
    """Return a digest with another first digit."""
    return ("1" if digest[0] == "0" else "0") + digest[1:]


class WeightOrigin:
    """A stand-in for the origin of weights."""

    def __init__(self, pieces: dict[int, list[bytes]]) -> None:
        self.pieces = pieces
        self.served_pieces: list[tuple[int, int]] = []
        self.manifests_served = 0
        # Time that the transfer of a manifest takes.
        self.manifest_delay_s = 0.0
        # For each of the next manifests, the piece whose digest has one wrong digit.
        self.spoilt_digests: list[int] = []
        # For each of the next manifests, what else it has in place of the right fields.
        self.spoilt_fields: list[dict] = []
        self.corrupt: set[int] = set()
        # Versions and indices of the pieces that get a 503 response.
        self.unavailable_pieces: set[tuple[int, int]] = set()
        # The Retry-After value with which every request is refused, or None to serve them.
        self.retry_after: str | None = None
        # Event loop times of the refused requests.
        self.refusals: list[float] = []
        self.server = stream_server.Server(self.serve)
        self.address = ""

    async def start(self) -> str:
        """Listen on a free port and return the address as host:port."""
        await self.server.listen("127.0.0.1", 0)
        assert self.server.listener is not None
        port = self.server.listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self.address

    def stop(self) -> None:
        """Close the listener and abort all connections."""
        assert self.server.listener is not None
        self.server.listener.close()
        for connection in list(self.server.connections):
            connection.abort()

    async def serve(self, exchange: stream_server.Exchange) -> None:
        """Serve a manifest or a piece, or refuse the request if `retry_after` is set."""
        if self.retry_after is not None:
            self.refusals.append(asyncio.get_running_loop().time())
            headers = [(b"Retry-After", self.retry_after.encode())]
            await exchange.respond(http_messages.Response(503, headers))
            return
        path, _, query = exchange.request.target.decode().partition("?")
        fields = dict(part.split("=") for part in query.split("&") if part)
        version = int(fields.get("version", max(self.pieces)))
        if version not in self.pieces:
            await exchange.respond(http_messages.Response(410, []))
            return
        pieces = self.pieces[version]
        if path.startswith("/manifest/"):
            self.manifests_served += 1
            await asyncio.sleep(self.manifest_delay_s)
            body = self.manifest_body(path.split("/")[-1], version)
            await exchange.respond(http_messages.Response(200, [], json.dumps(body).encode()))
            return
        index = int(fields["sample_count"])
        if (version, index) in self.unavailable_pieces:
            await exchange.respond(http_messages.Response(503, []))
            return
        self.served_pieces.append((version, index))
        data = b"x" * len(pieces[index]) if index in self.corrupt else pieces[index]
        await exchange.respond(http_messages.Response(200, [], data))

    def manifest_body(self, model: str, version: int) -> dict:
        """Return the manifest of a version, with a wrong digest if that is set."""
        digests = [hashlib.sha256(piece).hexdigest() for piece in self.pieces[version]]
        if self.spoilt_digests:
            index = self.spoilt_digests.pop(0)
            digests[index] = spoil_digit(digests[index])
        body = {"model": model, "version": version, "layers": LAYERS, "digests": digests}
        return body | (self.spoilt_fields.pop(0) if self.spoilt_fields else {})
