"""A stand-in for a model engine with continuous batching, streaming and fenced orders.

Each token is a hash of the weights digest, the prompt and the token index, so tests can check
complete and resumed responses and detect ones produced with the wrong weights. Every request is
recorded.
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
CACHE_EVENT_LOSS_INTERVAL = 17


def token_text(digest: str, prompt: str, index: int) -> str:
    """Return the token at `index` of the completion of `prompt` by the weights `digest`."""
    return " " + blake3.blake3(f"{digest}\n{prompt}\n{index}".encode()).hexdigest()[:6]


def completion_text(digest: str, prompt: str, tokens: int) -> str:
    """Return the first `tokens` tokens of the completion of `prompt`, concatenated."""
    return "".join(token_text(digest, prompt, index) for index in range(tokens))


@dataclasses.dataclass(slots=True)
class CompletionRequest:
    """The JSON body of a completion."""

    model: str
    prompt: str
    max_tokens: int = 16
    stream: bool = True
    adapter: str = ""
    request_id: str = ""
    resume_from: int = 0


@dataclasses.dataclass(slots=True)
class LoadedWeights:
    """Weights that the engine holds; `content` is the digest of the bytes downloaded."""

    name: str
    digest: str
    content: str


@dataclasses.dataclass(slots=True)
class Job:
    """One request, queued or in the running batch."""

    id: str
    call: CompletionRequest
    priority: int
    weights: LoadedWeights
    digest: str
    prefill_tokens_remaining: int
    next_index: int
    out: queue.SimpleQueue
    is_cancelled: bool = False


@dataclasses.dataclass(slots=True)
class Run:
    """The record of one request, as returned by `/v1/runs`."""

    attempt: str
    request_id: str
    model: str
    digest: str
    content: str
    tokens: int = 0
    outcome: str = "running"


class Engine:
    """An engine whose step thread generates one token per running request and step."""

    def __init__(self, options: "common.argparse.Namespace") -> None:
        self.options = options
        self.lock = threading.Condition()
        self.models: dict[str, LoadedWeights] = {}
        self.fence = engine_calls.FencingToken()
        self.waiting: list[Job] = []
        self.running: list[Job] = []
        self.runs: dict[str, Run] = {}
        self.cache: collections.OrderedDict[str, bool] = collections.OrderedDict()
        self.cache_events: list[dict] = []
        self.event_number = 0
        self.kv: dict[str, dict] = {}
        self.is_leaving = False
        self.load_error = ""
        self.orders: list[dict] = []
        self.client = http_client.Client()
        self.reported_load = (0, 0)
        threading.Thread(target=self.run_steps, daemon=True).start()
        threading.Thread(target=self.update_reported_load, daemon=True).start()

    # Batching

    def run_steps(self) -> None:
        """Run a step every `step_s` seconds while there are jobs."""
        while True:
            with self.lock:
                while not self.running and not self.waiting:
                    self.lock.wait()
            started = time.monotonic()
            time.sleep(max(0.0, self.options.step_s - (time.monotonic() - started)))
            with self.lock:
                self.step()

    def step(self) -> None:
        """Fill the batch and advance each running job; the caller holds the lock."""
        self.waiting.sort(key=lambda job: job.priority)
        while self.waiting and len(self.running) < self.options.batch:
            self.running.append(self.waiting.pop(0))
        for job in list(self.running):
            if job.is_cancelled:
                self.finish_job(job, "cancelled")
            elif job.prefill_tokens_remaining > 0:
                job.prefill_tokens_remaining -= PREFILL_TOKENS_PER_STEP
            else:
                self.generate_token(job)

    def generate_token(self, job: Job) -> None:
        """Generate the next token of a job, and finish the job after its last one."""
        run = self.runs[job.id]
        if job.next_index < job.call.max_tokens:
            text = token_text(job.digest, job.call.prompt, job.next_index)
            job.out.put(("token", job.next_index, text))
            job.next_index += 1
            run.tokens += 1
        if job.next_index >= job.call.max_tokens:
            self.finish_job(job, "done")

    def finish_job(self, job: Job, outcome: str) -> None:
        """Remove a job from the batch and record its outcome."""
        self.running.remove(job)
        self.runs[job.id].outcome = outcome
        job.out.put((outcome, job.next_index, ""))

    def update_reported_load(self) -> None:
        """Refresh the reported load every `load_lag_s` seconds."""
        while True:
            time.sleep(self.options.load_lag_s)
            self.reported_load = (len(self.running), len(self.waiting))

    # Requests

    def complete(self, request: http_server.Request) -> http_server.Response:
        """Queue a completion and return a streaming response."""
        call = msgspec.json.decode(request.body, type=CompletionRequest)
        attempt = request.headers.get(attempts.ATTEMPT) or call.request_id
        with self.lock:
            weights = self.models.get(call.model)
            adapter = self.models.get(call.adapter) if call.adapter else None
            if weights is None or (call.adapter and adapter is None) or self.is_leaving:
                raise errors.RequestError(
                    f"{call.model} {call.adapter} is not served", kind=errors.ErrorKind.NOT_RUN
                )
            digest = weights.digest + (adapter.digest if adapter else "")
            requested = request.headers.get(attempts.DIGEST, "")
            if requested and requested != weights.digest:
                raise errors.RequestError(
                    f"{requested} is not served", kind=errors.ErrorKind.NOT_RUN
                )
            job = Job(
                attempt,
                call,
                int(request.headers.get(attempts.PRIORITY, "1")),
                weights,
                digest,
                self.count_prefill_tokens(call),
                call.resume_from,
                queue.SimpleQueue(),
            )
            self.runs[attempt] = Run(attempt, call.request_id, call.model, digest, weights.content)
            self.waiting.append(job)
            self.lock.notify_all()
        headers = {attempts.ATTEMPT: attempt, attempts.DIGEST: weights.digest}
        return http_server.Response(200, self.stream(job), headers, "text/event-stream")

    def count_prefill_tokens(self, call: CompletionRequest) -> int:
        """Return how many prompt tokens to prefill, and add the prompt's prefix to the cache."""
        words = call.prompt.split()
        prefix = " ".join(words[: len(words) // 2])
        is_cached = prefix in self.cache
        self.cache[prefix] = True
        self.cache.move_to_end(prefix)
        if not is_cached:
            self.record_cache_event("stored", prefix)
        if len(self.cache) > self.options.cache_prefixes:
            evicted, _ = self.cache.popitem(last=False)
            self.record_cache_event("evicted", evicted)
        return len(words) // 2 if is_cached else len(words)

    def record_cache_event(self, kind: str, prefix: str) -> None:
        """Publish a cache event, dropping every `CACHE_EVENT_LOSS_INTERVAL`-th one."""
        self.event_number += 1
        if self.event_number % CACHE_EVENT_LOSS_INTERVAL:
            key = blake3.blake3(prefix.encode()).hexdigest()[:16]
            event = {"number": self.event_number, "kind": kind, "prefix": key}
            self.cache_events = self.cache_events[-999:] + [event]

    def stream(self, job: Job) -> Iterator[bytes]:
        """Yield a job's tokens as events; cancel the job if the client disconnects."""
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
        """Cancel the queued or running jobs of a request id."""
        requested = msgspec.json.decode(request.body)["request_id"]
        with self.lock:
            matches = [job for job in self.running + self.waiting if job.id == requested]
            for job in matches:
                job.is_cancelled = True
        return http_server.json_response({"cancelled": len(matches)})

    # Orders

    def order(self, request: http_server.Request) -> http_server.Response:
        """Load or unload a model, unless the order's fencing token is stale."""
        order = msgspec.json.decode(request.body, type=engine_calls.Order)
        self.check_fencing_token(order)
        if order.action == engine_calls.UNLOAD:
            return self.unload(order)
        if self.load_error:
            raise errors.WeightsError(self.load_error)
        loaded = self.read_weights(order)
        time.sleep(self.options.load_s)
        self.check_fencing_token(order)
        with self.lock:
            self.models[order.name] = loaded
            self.orders.append({"action": "load", "name": order.name, "digest": loaded.digest})
        return http_server.json_response(engine_calls.OrderReply(order.name, loaded.digest))

    def check_fencing_token(self, order: engine_calls.Order) -> None:
        """Store the fencing token of an order, or reject the order if the token is stale.

        Raises MerlinthreadError (fenced) if the generation or the epoch is too low. With
        `--check-fences no` every order is accepted.
        """
        with self.lock:
            is_stale = order.generation < self.fence.generation or order.epoch < self.fence.epoch
            if is_stale and self.options.check_fences == "yes":
                raise errors.MerlinthreadError(
                    f"order {order.generation}/{order.epoch} is fenced by "
                    f"{self.fence.generation}/{self.fence.epoch}",
                    kind=errors.ErrorKind.FENCED,
                )
            self.fence = engine_calls.FencingToken(order.generation, order.epoch)

    def unload(self, order: engine_calls.Order) -> http_server.Response:
        """Remove a model; running requests keep using its weights."""
        with self.lock:
            self.models.pop(order.name, None)
            self.orders.append({"action": "unload", "name": order.name, "digest": ""})
        return http_server.json_response(engine_calls.OrderReply(order.name, ""))

    def read_weights(self, order: engine_calls.Order) -> LoadedWeights:
        """Download the weights and verify the digest of each chunk."""
        layout = msgspec.convert(order.layout, type=manifests.Manifest, strict=False)
        stream = self.client.open("GET", order.weights_url, timeout_s=60)
        if stream.status != 200:
            raise errors.WeightsError(f"{order.weights_url} returned status {stream.status}")
        content = blake3.blake3()
        buffer = bytearray()
        index = 0
        for piece in stream.iter_chunks():
            content.update(piece)
            buffer += piece
            while index < len(layout.chunks) and len(buffer) >= layout.chunk_size(index):
                size = layout.chunk_size(index)
                if blake3.blake3(bytes(buffer[:size])).hexdigest() != layout.chunks[index]:
                    raise errors.WeightsError(f"chunk {index} does not match its digest")
                del buffer[:size]
                index += 1
        if index != len(layout.chunks) or buffer:
            raise errors.WeightsError(f"received {index} of {len(layout.chunks)} chunks")
        digest = manifests.digest_of(layout)
        return LoadedWeights(order.name, digest, content.hexdigest())

    # Status, cache and fault injection

    def status(self, request: http_server.Request) -> http_server.Response:
        """Return the loaded models and the load, which lags by up to `load_lag_s`."""
        running, waiting = self.reported_load
        models = {name: loaded.digest for name, loaded in self.models.items()}
        return http_server.json_response(
            engine_calls.EngineStatus(models, running, waiting, self.fence, self.is_leaving)
        )

    def list_runs(self, request: http_server.Request) -> http_server.Response:
        """Return all recorded requests and orders."""
        with self.lock:
            return http_server.json_response(
                {"runs": list(self.runs.values()), "orders": self.orders}
            )

    def list_cache_events(self, request: http_server.Request) -> http_server.Response:
        """Return the cache events with numbers above the `after` parameter."""
        after = int(request.query.get("after", "0"))
        matches = [event for event in self.cache_events if event["number"] > after]
        return http_server.json_response({"events": matches})

    def export_kv(self, request: http_server.Request) -> http_server.Response:
        """Export the cache entry of a prefix with the digests of the loaded weights."""
        if request.subpath not in {
            blake3.blake3(prefix.encode()).hexdigest()[:16] for prefix in self.cache
        }:
            raise errors.RequestError("prefix is not cached", kind=errors.ErrorKind.UNKNOWN_MODEL)
        digests = {name: loaded.digest for name, loaded in self.models.items()}
        return http_server.json_response({"prefix": request.subpath, "digests": digests})

    def import_kv(self, request: http_server.Request) -> http_server.Response:
        """Import an exported cache entry, if its digests match the loaded weights."""
        block = msgspec.json.decode(request.body)
        loaded_digests = {name: loaded.digest for name, loaded in self.models.items()}
        if block["digests"] != loaded_digests:
            raise errors.MerlinthreadError(
                "cache entry belongs to different weights", kind=errors.ErrorKind.VERSION_CONFLICT
            )
        self.kv[block["prefix"]] = block
        return http_server.json_response({"imported": block["prefix"]})

    def set_faults(self, request: http_server.Request) -> http_server.Response:
        """Set the faults that tests inject."""
        requested = msgspec.json.decode(request.body)
        self.load_error = requested.get("refuse_loads", self.load_error)
        self.is_leaving = requested.get("leaving", self.is_leaving)
        return http_server.json_response({"ok": True})

    def add_routes(self, routes: http_server.Routes) -> None:
        """Register the engine's routes."""
        routes.add("POST", "/v1/completions", self.complete)
        routes.add("POST", "/v1/cancel", self.cancel)
        routes.add("POST", "/v1/orders", self.order)
        routes.add("GET", "/v1/status", self.status)
        routes.add("GET", "/v1/runs", self.list_runs)
        routes.add("GET", "/v1/cache/events", self.list_cache_events)
        routes.add("GET", "/v1/kv/", self.export_kv)
        routes.add("POST", "/v1/kv", self.import_kv)
        routes.add("POST", "/disturb", self.set_faults)


def main() -> None:
    """Parse the command line and serve."""
    parser = common.make_parser(__doc__ or "")
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
