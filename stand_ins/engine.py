"""A model engine's stand-in: batches continuously, streams, takes fenced orders, records each run.

Its tokens follow from the weights' bytes, the prompt and the index alone, so that a test can tell
a whole answer, a resumed one, and one from the wrong weights.
"""

import collections
import dataclasses
import queue
import threading
import time
from collections.abc import Iterator

import blake3
import msgspec

from merlinthread import errors
from merlinthread.protocol import attempts, engine_calls, events
from merlinthread.state import manifests
from merlinthread.transport import http_client, http_server
from stand_ins import common

STEP_S = 0.009
PREFILL_TOKENS_PER_STEP = 512
CACHE_EVENT_GAP = 17


def token_text(digest: str, prompt: str, index: int) -> str:
    """Return the token at `index` of the answer that weights `digest` give to `prompt`."""
    return " " + blake3.blake3(f"{digest}\n{prompt}\n{index}".encode()).hexdigest()[:6]


def whole_text(digest: str, prompt: str, tokens: int) -> str:
    """Return the whole answer."""
    return "".join(token_text(digest, prompt, index) for index in range(tokens))


@dataclasses.dataclass(slots=True)
class Call:
    """The JSON body of a completion."""

    model: str
    prompt: str
    max_tokens: int = 16
    stream: bool = True
    adapter: str = ""
    request_id: str = ""
    resume_from: int = 0


@dataclasses.dataclass(slots=True)
class Loaded:
    """Weights in the engine; `content` is the digest of the bytes that were really read."""

    name: str
    digest: str
    content: str


@dataclasses.dataclass(slots=True)
class Job:
    """One request in the batch or before it."""

    id: str
    call: Call
    priority: int
    weights: Loaded
    digest: str
    prefill_left: int
    next_index: int
    out: queue.SimpleQueue
    is_cancelled: bool = False


@dataclasses.dataclass(slots=True)
class Run:
    """What the engine records of one request."""

    attempt: str
    request_id: str
    model: str
    digest: str
    content: str
    tokens: int = 0
    outcome: str = "running"


class Engine:
    """The engine: one thread makes a token for each running request a step."""

    def __init__(self, options: "common.argparse.Namespace") -> None:
        self.options = options
        self.lock = threading.Condition()
        self.models: dict[str, Loaded] = {}
        self.fence = engine_calls.FencingToken()
        self.waiting: list[Job] = []
        self.running: list[Job] = []
        self.runs: dict[str, Run] = {}
        self.cache: collections.OrderedDict[str, bool] = collections.OrderedDict()
        self.cache_events: list[dict] = []
        self.event_number = 0
        self.kv: dict[str, dict] = {}
        self.is_leaving = False
        self.refuse_loads = ""
        self.orders: list[dict] = []
        self.client = http_client.Client()
        self.lagging = (0, 0)
        threading.Thread(target=self.step_for_ever, daemon=True).start()
        threading.Thread(target=self.lag_for_ever, daemon=True).start()

    # Stepping

    def step_for_ever(self) -> None:
        """Make tokens, one a step for each running request."""
        while True:
            with self.lock:
                while not self.running and not self.waiting:
                    self.lock.wait()
            started = time.monotonic()
            time.sleep(max(0.0, self.options.step_s - (time.monotonic() - started)))
            with self.lock:
                self.step()

    def step(self) -> None:
        """Do one step; the caller holds the lock."""
        self.waiting.sort(key=lambda job: job.priority)
        while self.waiting and len(self.running) < self.options.batch:
            self.running.append(self.waiting.pop(0))
        for job in list(self.running):
            if job.is_cancelled:
                self.end(job, "cancelled")
            elif job.prefill_left > 0:
                job.prefill_left -= PREFILL_TOKENS_PER_STEP
            else:
                self.make_token(job)

    def make_token(self, job: Job) -> None:
        """Make one token of a job."""
        run = self.runs[job.id]
        if job.next_index < job.call.max_tokens:
            text = token_text(job.digest, job.call.prompt, job.next_index)
            job.out.put(("token", job.next_index, text))
            job.next_index += 1
            run.tokens += 1
        if job.next_index >= job.call.max_tokens:
            self.end(job, "done")

    def end(self, job: Job, outcome: str) -> None:
        """Take a job out of the batch."""
        self.running.remove(job)
        self.runs[job.id].outcome = outcome
        job.out.put((outcome, job.next_index, ""))

    def lag_for_ever(self) -> None:
        """Report load as it was a moment ago."""
        while True:
            time.sleep(self.options.load_lag_s)
            self.lagging = (len(self.running), len(self.waiting))

    # Requests

    def complete(self, request: http_server.Request) -> http_server.Response:
        """Start a completion and stream its tokens."""
        call = msgspec.json.decode(request.body, type=Call)
        attempt = request.headers.get(attempts.ATTEMPT) or call.request_id
        with self.lock:
            weights = self.models.get(call.model)
            adapter = self.models.get(call.adapter) if call.adapter else None
            if weights is None or (call.adapter and adapter is None) or self.is_leaving:
                raise errors.RequestError(
                    f"{call.model} {call.adapter} is not served", kind=errors.ErrorKind.NOT_RUN
                )
            digest = weights.digest + (adapter.digest if adapter else "")
            wanted = request.headers.get(attempts.DIGEST, "")
            if wanted and wanted != weights.digest:
                raise errors.RequestError(f"{wanted} is not served", kind=errors.ErrorKind.NOT_RUN)
            job = Job(
                attempt,
                call,
                int(request.headers.get(attempts.PRIORITY, "1")),
                weights,
                digest,
                self.prefill_of(call),
                call.resume_from,
                queue.SimpleQueue(),
            )
            self.runs[attempt] = Run(attempt, call.request_id, call.model, digest, weights.content)
            self.waiting.append(job)
            self.lock.notify_all()
        headers = {attempts.ATTEMPT: attempt, attempts.DIGEST: weights.digest}
        return http_server.Response(200, self.stream(job), headers, "text/event-stream")

    def prefill_of(self, call: Call) -> int:
        """Return how many prompt tokens need work, and note the prefix in the cache."""
        words = call.prompt.split()
        prefix = " ".join(words[: len(words) // 2])
        is_cached = prefix in self.cache
        self.cache[prefix] = True
        self.cache.move_to_end(prefix)
        if not is_cached:
            self.note_cache("stored", prefix)
        if len(self.cache) > self.options.cache_prefixes:
            gone, _ = self.cache.popitem(last=False)
            self.note_cache("evicted", gone)
        return len(words) // 2 if is_cached else len(words)

    def note_cache(self, kind: str, prefix: str) -> None:
        """Publish a cache event; every now and then one is lost."""
        self.event_number += 1
        if self.event_number % CACHE_EVENT_GAP:
            key = blake3.blake3(prefix.encode()).hexdigest()[:16]
            event = {"number": self.event_number, "kind": kind, "prefix": key}
            self.cache_events = self.cache_events[-999:] + [event]

    def stream(self, job: Job) -> Iterator[bytes]:
        """Give a job's tokens; cancel it if the caller leaves."""
        try:
            while True:
                kind, index, text = job.out.get()
                if kind == "token":
                    token = events.Token(index, text)
                    yield events.encode(events.TOKEN, msgspec.json.encode(token))
                    continue
                if kind == "done":
                    done = events.Done(index, job.digest)
                    yield events.encode(events.DONE, msgspec.json.encode(done))
                return
        finally:
            job.is_cancelled = True

    def cancel(self, request: http_server.Request) -> http_server.Response:
        """Cancel a request."""
        wanted = msgspec.json.decode(request.body)["request_id"]
        with self.lock:
            found = [job for job in self.running + self.waiting if job.id == wanted]
            for job in found:
                job.is_cancelled = True
        return http_server.json_response({"cancelled": len(found)})

    # Orders

    def order(self, request: http_server.Request) -> http_server.Response:
        """Obey an order, unless a later one was obeyed."""
        order = msgspec.json.decode(request.body, type=engine_calls.Order)
        self.check_fence(order)
        if order.action == engine_calls.UNLOAD:
            return self.unload(order)
        if self.refuse_loads:
            raise errors.WeightsError(self.refuse_loads)
        loaded = self.read_weights(order)
        time.sleep(self.options.load_s)
        self.check_fence(order)
        with self.lock:
            self.models[order.name] = loaded
            self.orders.append({"action": "load", "name": order.name, "digest": loaded.digest})
        return http_server.json_response(engine_calls.OrderReply(order.name, loaded.digest))

    def check_fence(self, order: engine_calls.Order) -> None:
        """Refuse an order that is lower than one obeyed; engines that check none take all."""
        with self.lock:
            is_low = order.generation < self.fence.generation or order.epoch < self.fence.epoch
            if is_low and self.options.check_fences == "yes":
                raise errors.MerlinthreadError(
                    f"order {order.generation}/{order.epoch} is fenced by "
                    f"{self.fence.generation}/{self.fence.epoch}",
                    kind=errors.ErrorKind.FENCED,
                )
            self.fence = engine_calls.FencingToken(order.generation, order.epoch)

    def unload(self, order: engine_calls.Order) -> http_server.Response:
        """Drop a model; running requests keep their weights."""
        with self.lock:
            self.models.pop(order.name, None)
            self.orders.append({"action": "unload", "name": order.name, "digest": ""})
        return http_server.json_response(engine_calls.OrderReply(order.name, ""))

    def read_weights(self, order: engine_calls.Order) -> Loaded:
        """Read the weights and check every chunk."""
        layout = msgspec.convert(order.layout, type=manifests.Manifest, strict=False)
        stream = self.client.open("GET", order.weights_url, timeout_s=60)
        if stream.status != 200:
            raise errors.WeightsError(f"{order.weights_url} answers {stream.status}")
        content = blake3.blake3()
        rest = bytearray()
        index = 0
        for piece in stream.iter_chunks():
            content.update(piece)
            rest += piece
            while index < len(layout.chunks) and len(rest) >= layout.chunk_size(index):
                size = layout.chunk_size(index)
                if blake3.blake3(bytes(rest[:size])).hexdigest() != layout.chunks[index]:
                    raise errors.WeightsError(f"chunk {index} is wrong")
                del rest[:size]
                index += 1
        if index != len(layout.chunks) or rest:
            raise errors.WeightsError(f"{index} of {len(layout.chunks)} chunks came")
        digest = manifests.digest_of(layout)
        return Loaded(order.name, digest, content.hexdigest())

    # Reading and disturbing

    def status(self, request: http_server.Request) -> http_server.Response:
        """Report what is loaded and, with a lag, the load."""
        running, waiting = self.lagging
        models = {name: loaded.digest for name, loaded in self.models.items()}
        return http_server.json_response(
            engine_calls.EngineStatus(models, running, waiting, self.fence, self.is_leaving)
        )

    def show_runs(self, request: http_server.Request) -> http_server.Response:
        """Return every run there was."""
        with self.lock:
            return http_server.json_response(
                {"runs": list(self.runs.values()), "orders": self.orders}
            )

    def show_cache(self, request: http_server.Request) -> http_server.Response:
        """Return the cache events after a number, late by the lag."""
        after = int(request.query.get("after", "0"))
        found = [event for event in self.cache_events if event["number"] > after]
        return http_server.json_response({"events": found})

    def kv_export(self, request: http_server.Request) -> http_server.Response:
        """Export the cache of a prefix; it is only good for the same weights."""
        if request.subpath not in {
            blake3.blake3(prefix.encode()).hexdigest()[:16] for prefix in self.cache
        }:
            raise errors.RequestError("no such prefix", kind=errors.ErrorKind.UNKNOWN_MODEL)
        digests = {name: loaded.digest for name, loaded in self.models.items()}
        return http_server.json_response({"prefix": request.subpath, "digests": digests})

    def kv_import(self, request: http_server.Request) -> http_server.Response:
        """Import an exported cache, if it comes from the weights that are loaded."""
        block = msgspec.json.decode(request.body)
        ours = {name: loaded.digest for name, loaded in self.models.items()}
        if block["digests"] != ours:
            raise errors.MerlinthreadError("other weights", kind=errors.ErrorKind.VERSION_CONFLICT)
        self.kv[block["prefix"]] = block
        return http_server.json_response({"imported": block["prefix"]})

    def disturb(self, request: http_server.Request) -> http_server.Response:
        """Change how the engine behaves, for tests."""
        wanted = msgspec.json.decode(request.body)
        self.refuse_loads = wanted.get("refuse_loads", self.refuse_loads)
        self.is_leaving = wanted.get("leaving", self.is_leaving)
        return http_server.json_response({"ok": True})

    def add_routes(self, routes: http_server.Routes) -> None:
        """Add the engine's paths."""
        routes.add("POST", "/v1/completions", self.complete)
        routes.add("POST", "/v1/cancel", self.cancel)
        routes.add("POST", "/v1/orders", self.order)
        routes.add("GET", "/v1/status", self.status)
        routes.add("GET", "/v1/runs", self.show_runs)
        routes.add("GET", "/v1/cache/events", self.show_cache)
        routes.add("GET", "/v1/kv/", self.kv_export)
        routes.add("POST", "/v1/kv", self.kv_import)
        routes.add("POST", "/disturb", self.disturb)


def main() -> None:
    """Run the stand-in."""
    parser = common.parser(__doc__ or "")
    parser.add_argument("--step-s", type=float, default=STEP_S)
    parser.add_argument("--batch", type=int, default=16)
    parser.add_argument("--load-s", type=float, default=0.1)
    parser.add_argument("--load-lag-s", type=float, default=0.25)
    parser.add_argument("--cache-prefixes", type=int, default=64)
    parser.add_argument("--check-fences", choices=("yes", "no"), default="yes")
    options = parser.parse_args()
    common.serve(options, Engine(options).add_routes)


if __name__ == "__main__":
    main()
