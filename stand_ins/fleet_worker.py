"""A stand-in for a worker of the users' platform, written from its published protocol.

It answers plain requests and event streams, says what it did not run, and misbehaves on demand. It
runs on the event loop of whoever starts it; ports are chosen by the system.
"""

import asyncio
import dataclasses
import hashlib
import json

from merlinthread.transport import http_messages, stream_server

EVENTS_DEFAULT = 5
LAYERS = 16


@dataclasses.dataclass
class Behaviour:
    """What a worker does; every field may be changed at any time."""

    work_s: float = 0.0
    gap_s: float = 0.0
    events: int = EVENTS_DEFAULT
    status: int = 200
    is_full: bool = False
    cut_after_events: int | None = None
    closes_without_answer: bool = False
    wrong_request_id: bool = False
    is_unsigned: bool = False
    ignores_last_event_id: bool = False
    is_mute: bool = False
    order_status: int = 202
    order_delay_s: float = 0.0
    # Says in all answers that it leaves; `rest` is what it says of when to be asked again.
    is_leaving: bool = False
    rest: str | None = None
    # How many requests a second it says in all answers that it takes.
    limit: str | None = None
    # Other headers of all its answers.
    more_headers: http_messages.Headers = dataclasses.field(default_factory=list)
    repeats_id: bool = True


@dataclasses.dataclass
class Run:
    """One request that the worker ran, begun at `at`."""

    request_id: str
    headers: dict[str, str]
    body: bytes
    target: str
    instance: str = ""
    at: float = 0.0


@dataclasses.dataclass
class TurnedAway:
    """One request that the worker turned away at `at`, asking for `rest_s` (0: no rest)."""

    request_id: str
    at: float
    rest_s: float


class Worker:
    """One worker with its own address."""

    def __init__(self, instance: str, model: str = "", version: int = 1) -> None:
        self.instance = instance
        self.model = model
        self.version = version
        self.layers = (0, LAYERS if version else 0)
        self.behaviour = Behaviour()
        self.runs: list[Run] = []
        self.cancelled: list[str] = []
        self.staged: dict[int, bytes] = {}
        self.orders: list[dict] = []
        # The pieces as they lay there when an order was carried out, and whether one is under way.
        self.taken: dict[int, bytes] = {}
        self.is_busy = False
        self.server = stream_server.Server(self.serve)
        self.address = ""
        self.running = 0
        self.turned_away: list[TurnedAway] = []

    @property
    def refusals(self) -> int:
        """Return how many requests it turned away for being full."""
        return len(self.turned_away)

    async def start(self, ip: str = "127.0.0.1") -> str:
        """Listen on a free port; return the address."""
        await self.server.listen(ip, 0)
        assert self.server.listener is not None
        port = self.server.listener.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"
        return self.address

    def stop(self) -> None:
        """End as a crashed process does: connections are reset."""
        if self.server.listener is not None:
            self.server.listener.close()
        for connection in list(self.server.connections):
            connection.abort()

    async def serve(self, exchange: stream_server.Exchange) -> None:
        """Answer one request."""
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
        """Run a request, or say that it was not run."""
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
            self.turned_away.append(TurnedAway(request_id, now, told_s(self.behaviour.rest)))
            await self.refuse(exchange, 503)
            return
        target = exchange.request.target.decode()
        now = asyncio.get_running_loop().time()
        run = Run(request_id, headers, exchange.request.body, target, self.instance, now)
        self.runs.append(run)
        self.running += 1
        try:
            await self.answer(exchange, headers, request_id)
        except asyncio.CancelledError:
            self.cancelled.append(request_id)
            raise
        finally:
            self.running -= 1

    async def answer(
        self, exchange: stream_server.Exchange, headers: dict[str, str], request_id: str
    ) -> None:
        """Give the answer, as the behaviour says."""
        if self.behaviour.is_mute:
            await asyncio.Event().wait()
        await asyncio.sleep(self.behaviour.work_s)
        if self.behaviour.closes_without_answer:
            exchange.abort()
            return
        shown = "0000" if self.behaviour.wrong_request_id else request_id
        answer_headers = [*self.told(), (b"X-Merlinthread-Request-Id", shown.encode())]
        if not self.behaviour.is_unsigned:
            stamp = f"{self.instance}.{request_id}".encode()
            answer_headers.append((b"X-Merlinthread-Response-Stamp", stamp))
        if "x-merlinthread-model" in headers and self.behaviour.status == 200:
            await self.stream(exchange, answer_headers, headers)
            return
        body = f"answer of {self.instance} to {request_id}".encode()
        await exchange.respond(http_messages.Response(self.behaviour.status, answer_headers, body))

    async def stream(
        self,
        exchange: stream_server.Exchange,
        answer_headers: http_messages.Headers,
        headers: dict[str, str],
    ) -> None:
        """Give events with rising ids, from after the last one that the client has."""
        first = int(headers.get("last-event-id", "0")) + 1
        if self.behaviour.ignores_last_event_id:
            first = 1
        exchange.start_response(200, [*answer_headers, (b"Content-Type", b"text/event-stream")])
        for given, number in enumerate(range(first, self.behaviour.events + 1)):
            if given == self.behaviour.cut_after_events:
                exchange.connection.write_raw(b"10\r\nid: 9")
                exchange.abort()
                return
            await exchange.send(f"id: {number}\ndata: {number}\n\n".encode())
            await asyncio.sleep(self.behaviour.gap_s)
        await exchange.finish()

    def told(self) -> http_messages.Headers:
        """Return what the worker says of itself in every answer."""
        headers = [(b"Server-Leaving", b"1")] if self.behaviour.is_leaving else []
        if self.behaviour.limit is not None:
            headers.append((b"Server-Limit", self.behaviour.limit.encode()))
        return [*headers, *self.behaviour.more_headers]

    async def refuse(self, exchange: stream_server.Exchange, status: int) -> None:
        """Say that a request was not run."""
        headers = [(b"X-Merlinthread-Not-Run", b"1"), *self.told()]
        if self.behaviour.repeats_id:
            request_id = http_messages.get_header(
                exchange.request.headers, b"x-merlinthread-request-id"
            )
            headers.append((b"X-Merlinthread-Request-Id", request_id or b""))
        if self.behaviour.rest is not None and status == 503:
            headers.append((b"Retry-After", self.behaviour.rest.encode()))
        await exchange.respond(http_messages.Response(status, headers))

    async def report(self, exchange: stream_server.Exchange) -> None:
        """Tell the load and the weights."""
        body = {
            "models": [{"name": self.model, "version": self.version, "adapters": []}],
            "layers": {
                "from": self.layers[0],
                "target_version": self.layers[1],
                "version": self.version,
            },
            "busy": self.is_busy,
            "sequence": len(self.orders),
            "queued": 0,
            "running": self.running,
        }
        await exchange.respond(http_messages.Response(200, [], json.dumps(body).encode()))

    async def stage(self, exchange: stream_server.Exchange, path: str) -> None:
        """Take or give a staged piece."""
        index = int(exchange.request.target.split(b"sample_count=")[1].split(b"&")[0])
        if path.startswith("/stage-put/"):
            self.staged[index] = exchange.request.body
            await exchange.respond(http_messages.Response(200, []))
        elif index in self.staged:
            await exchange.respond(http_messages.Response(200, [], self.staged[index]))
        else:
            await exchange.respond(http_messages.Response(404, []))

    async def order(self, exchange: stream_server.Exchange) -> None:
        """Take an order; it is carried out at once or, if the behaviour says so, later."""
        order = json.loads(exchange.request.body)
        self.orders.append(order)
        if self.behaviour.order_status == 202:
            self.is_busy = True
            delay_s = self.behaviour.order_delay_s
            asyncio.get_running_loop().call_later(delay_s, self.carry_out, order)
        await exchange.respond(http_messages.Response(self.behaviour.order_status, []))

    def carry_out(self, order: dict) -> None:
        """Hold what lies there now."""
        self.is_busy = False
        self.taken = dict(self.staged)
        self.version = order["version"]
        self.layers = (order.get("from", 0), order.get("target_version", LAYERS))


def told_s(rest: str | None) -> float:
    """Return the rest that a text asks for, 0 if it is no number."""
    try:
        return float(rest or 0)
    except ValueError:
        return 0.0


class WeightOrigin:
    """A stand-in for the origin of weights."""

    def __init__(self, pieces: dict[int, list[bytes]]) -> None:
        self.pieces = pieces
        self.given: list[tuple[int, int]] = []
        self.manifests_given = 0
        self.corrupt: set[int] = set()
        # Pieces that are not given, by version and index.
        self.withheld: set[tuple[int, int]] = set()
        # What it asks for while it turns all away, and when it did so, on the loop's clock.
        self.rest: str | None = None
        self.turned_away: list[float] = []
        self.server = stream_server.Server(self.serve)
        self.address = ""

    async def start(self) -> str:
        """Listen on a free port; return the address."""
        await self.server.listen("127.0.0.1", 0)
        assert self.server.listener is not None
        port = self.server.listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self.address

    def stop(self) -> None:
        """Refuse all connections from now on."""
        assert self.server.listener is not None
        self.server.listener.close()
        for connection in list(self.server.connections):
            connection.abort()

    async def serve(self, exchange: stream_server.Exchange) -> None:
        """Give a manifest or a piece."""
        if self.rest is not None:
            self.turned_away.append(asyncio.get_running_loop().time())
            headers = [(b"Retry-After", self.rest.encode())]
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
            self.manifests_given += 1
            body = {
                "model": path.split("/")[-1],
                "version": version,
                "layers": LAYERS,
                "digests": [hashlib.sha256(piece).hexdigest() for piece in pieces],
            }
            await exchange.respond(http_messages.Response(200, [], json.dumps(body).encode()))
            return
        index = int(fields["sample_count"])
        if (version, index) in self.withheld:
            await exchange.respond(http_messages.Response(503, []))
            return
        self.given.append((version, index))
        data = b"x" * len(pieces[index]) if index in self.corrupt else pieces[index]
        await exchange.respond(http_messages.Response(200, [], data))
