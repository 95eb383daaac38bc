"""Benchmark of requests: overhead, latency under open-loop load, fair shares, faults."""

import argparse
import concurrent.futures
import pathlib
import queue
import random
import tempfile
import threading
import time
import uuid

import msgspec
from hdrh.histogram import HdrHistogram

from bench import demo, measure, operators, processes
from bench import fleet as fleets
from merlinthread import errors
from merlinthread.coordination import fair_queue
from merlinthread.protocol import events
from merlinthread.transport import http_client
from stand_ins import engine

SHARED_CLIENT = http_client.Client(connections=256)
BODY_HEADERS = {"Content-Type": "application/json"}


def make_histogram() -> HdrHistogram:
    """Return a histogram of microseconds up to two minutes."""
    return HdrHistogram(1, 120_000_000, 3)


def milliseconds(histogram: HdrHistogram, percent: float) -> float:
    """Return a percentile in milliseconds."""
    return round(histogram.get_value_at_percentile(percent) / 1000, 2)


def completion_body(prompt: str, tokens: int) -> bytes:
    """Return the body of a streamed completion request."""
    return msgspec.json.encode(
        {"model": "hint", "prompt": prompt, "max_tokens": tokens, "stream": True}
    )


class Outcomes:
    """Counts of outcomes and latencies as seen by clients; thread-safe."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.counts: dict[str, int] = {}
        self.first_token = make_histogram()
        self.between_tokens = make_histogram()
        self.whole_response = make_histogram()

    def add(self, name: str) -> None:
        """Count one outcome."""
        with self.lock:
            self.counts[name] = self.counts.get(name, 0) + 1

    def record(self, target: HdrHistogram, seconds: float) -> None:
        """Record a duration."""
        with self.lock:
            target.record_value(max(1, int(seconds * 1e6)))


def request_completion(
    url: str, account: str, tokens: int, due: float, outcomes: Outcomes, deadline_ms: int
) -> None:
    """Request a completion; latencies count from `due`, so they include the delay of sending."""
    prompt = f"clue {uuid.uuid4().hex}"
    headers = BODY_HEADERS | {"X-Account": account, "X-Deadline-Ms": str(deadline_ms)}
    texts: list[str] = []
    try:
        stream = SHARED_CLIENT.open(
            "POST", url, completion_body(prompt, tokens), headers, deadline_ms / 1000 + 5
        )
        if stream.status != 200:
            body = msgspec.json.decode(stream.read(1 << 20))
            stream.release()
            outcomes.add(f"refused_{body.get('error', stream.status)}")
            return
        previous = 0.0
        for event in events.decode(stream.iter_lines()):
            now = time.monotonic()
            if event.kind == events.TOKEN:
                texts.append(msgspec.json.decode(event.data, type=events.Token).text)
                outcomes.record(
                    outcomes.between_tokens if previous else outcomes.first_token,
                    now - (previous or due),
                )
                previous = now
            elif event.kind == events.DONE:
                digest = msgspec.json.decode(event.data, type=events.Done).digest
                is_correct = "".join(texts) == engine.completion_text(digest, prompt, tokens)
                outcomes.add("answered" if is_correct else "crossed_or_wrong")
                outcomes.record(outcomes.whole_response, now - due)
                stream.release()
                return
            else:
                outcomes.add("broken_told")
                return
        outcomes.add("truncated")
    except errors.MerlinthreadError:
        outcomes.add("lost")


def open_loop(
    urls: list[str], rate: float, seconds: float, tokens: int, accounts: list[str], deadline_ms: int
) -> Outcomes:
    """Send requests at a fixed rate, independently of responses."""
    outcomes = Outcomes()
    rng = random.Random(1)
    started = time.monotonic()
    with concurrent.futures.ThreadPoolExecutor(400) as pool:
        for number in range(int(rate * seconds)):
            due = started + number / rate
            time.sleep(max(0.0, due - time.monotonic()))
            url, account = rng.choice(urls), rng.choice(accounts)
            pool.submit(request_completion, url, account, tokens, due, outcomes, deadline_ms)
    return outcomes


def measure_overhead(fleet: fleets.Fleet, rounds: int) -> dict[str, float]:
    """Measure the latency of direct service calls, and the overhead of entry and agent."""
    direct, through = make_histogram(), make_histogram()
    service = fleet.target_urls["tickets-0"]
    agent = fleet.vms["tickets-0"]
    entry = next(
        vm
        for vm in fleet.entries()
        if vm.settings["availability_zone"] == agent.settings["availability_zone"]
    )
    for _ in range(rounds):
        for histogram, url in (
            (direct, f"{service}/lookup"),
            (through, f"http://{entry.http}/v1/services/tickets/lookup"),
        ):
            before = time.perf_counter()
            reply = SHARED_CLIENT.request("POST", url, b"{}", BODY_HEADERS | {"X-Account": "a1"})
            assert reply.status == 200, reply.body
            histogram.record_value(max(1, int((time.perf_counter() - before) * 1e6)))
    return {
        "direct_p50_ms": milliseconds(direct, 50),
        "direct_p99_ms": milliseconds(direct, 99),
        "overhead_p50_ms": round(milliseconds(through, 50) - milliseconds(direct, 50), 2),
        "overhead_p99_ms": round(milliseconds(through, 99) - milliseconds(direct, 99), 2),
    }


def simulate_shares(policy: str, seconds: float) -> dict[str, float]:
    """Simulate one engine under a burst of one account; return the error of shares.

    The engine has 8 slots and makes 100 steps a second, each one token per slot. Account a0 sends
    10 times its share, the others a little more than theirs. Also returns the utilisation.
    """
    weights = {"a0": 1.0, "a1": 2.0, "a2": 3.0, "a3": 4.0}
    queue_model = fair_queue.FairQueue(8, 1_000_000)
    if policy == "fair":
        queue_model.set_weights(weights)
    rng = random.Random(2)
    number = 0
    remaining: dict[str, int] = {}
    received = dict.fromkeys(weights, 0.0)
    busy = 0
    steps = int(seconds * 100)
    for step in range(steps):
        for account, weight in weights.items():
            load = 10.0 if account == "a0" else 1.3
            if rng.random() < load * weight / 10 * 8 / 40:
                tokens = rng.randrange(20, 60)
                queue_account = account if policy == "fair" else "everybody"
                queue_model.add(
                    fair_queue.QueuedRequest(
                        f"{account} {number}", queue_account, 1, 0, tokens, step
                    )
                )
                number += 1
        while (request := queue_model.start_next()) is not None:
            remaining[request.id] = request.output_tokens
        busy += len(remaining)
        for name in list(remaining):
            queue_model.charge(name, 1)
            received[name.split()[0]] += 1
            remaining[name] -= 1
            if not remaining[name]:
                del remaining[name]
                queue_model.finish(name)
    total = sum(received.values())
    error = max(abs(received[a] / total - w / 10) for a, w in weights.items())
    return {"share_error": round(error, 4), "utilisation": round(busy / (steps * 8), 4)}


class FaultInjector:
    """Kills, suspends and restarts processes one at a time until `stopping` is set."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        self.stopping = threading.Event()
        self.injected: list[str] = []
        self.thread = threading.Thread(target=self.run)

    def run(self) -> None:
        """Inject one fault after another; each process recovers before the next fault."""
        rng = random.Random(5)
        while not self.stopping.is_set():
            kind = rng.choice(
                ["kill agent", "kill engine", "freeze agent", "stop agent", "kill control"]
            )
            name = self.pick_target(kind, rng)
            process = self.fleet.processes[name]
            self.injected.append(f"{kind}: {name}")
            if kind.startswith("freeze"):
                process.suspend()
                self.stopping.wait(1.0)
                process.resume()
            elif kind.startswith("stop"):
                process.stop()
                process.wait(60)
                process.start()
            else:
                process.kill()
                process.start()
            self.stopping.wait(5.0)

    def pick_target(self, kind: str, rng: random.Random) -> str:
        """Return the name of the process for a fault."""
        engines = [name for name in self.fleet.target_urls if name.startswith("engine")]
        if kind.endswith("control"):
            return rng.choice([vm.name for vm in self.fleet.controls()])
        name = rng.choice(engines)
        return f"{name}-target" if kind.endswith("engine") else name


def draft_tickets(fleet: fleets.Fleet, count: int, outcomes: Outcomes) -> list[bytes]:
    """Send non-repeatable calls, each to two entries with one key; return their bodies."""
    bodies: list[bytes] = []
    pending: queue.SimpleQueue = queue.SimpleQueue()
    for number in range(count):
        pending.put(number)

    def send_drafts() -> None:
        while True:
            try:
                number = pending.get_nowait()
            except queue.Empty:
                return
            body = msgspec.json.encode({"lamp": f"bench {number}"})
            bodies.append(body)
            headers = BODY_HEADERS | {
                "X-Account": "a1",
                "Idempotency-Key": str(demo.new_idempotency_key()),
            }
            responses = [
                draft_ticket(vm.http, body, headers, outcomes) for vm in fleet.entries()[:2]
            ]
            tickets = {response for response in responses if response}
            if len(tickets) > 1:
                outcomes.add("two_answers_for_one_key")

    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        for _ in range(6):
            pool.submit(send_drafts)
    return bodies


def draft_ticket(address: str, body: bytes, headers: dict[str, str], outcomes: Outcomes) -> bytes:
    """Send one call; return the response body, b"not_run", or b"" if it failed or was refused."""
    url = f"http://{address}/v1/services/tickets/draft"
    try:
        reply = SHARED_CLIENT.request("POST", url, body, headers, 30)
    except errors.MerlinthreadError:
        outcomes.add("draft_lost")
        return b""
    if reply.status == 200:
        outcomes.add("draft_answered")
        return reply.body
    kind = msgspec.json.decode(reply.body)["error"]
    outcomes.add(f"draft_{kind}")
    return b"not_run" if kind == "not_run" else b""


def run_with_faults(fleet: fleets.Fleet, rate: float, seconds: float, drafts: int) -> dict:
    """Run the load with kills, suspensions and graceful stops; return counts of outcomes."""
    urls = [f"http://{vm.http}/v1/completions" for vm in fleet.entries()]
    fault_injector = FaultInjector(fleet)
    fault_injector.thread.start()
    drafted = Outcomes()
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        draft_future = pool.submit(draft_tickets, fleet, drafts, drafted)
        outcomes = open_loop(urls, rate, seconds, 8, ["a1", "a2", "b1"], 20_000)
        bodies = draft_future.result()
    fault_injector.stopping.set()
    fault_injector.thread.join()
    runs: dict[str, int] = {}
    for name, url in fleet.target_urls.items():
        if name.startswith("tickets"):
            for body, count in fleet.get(url, "/runs", 20)["runs"].items():
                runs[body] = runs.get(body, 0) + count
    counts = outcomes.counts
    return {
        "requests": int(rate * seconds) + 2 * drafts,
        "answered": counts.get("answered", 0),
        "lost": counts.get("lost", 0),
        "truncated": counts.get("truncated", 0),
        "crossed": counts.get("crossed_or_wrong", 0),
        "doubled": sum(1 for body in bodies if runs.get(body.decode(), 0) > 1),
        "two_answers_for_one_key": drafted.counts.get("two_answers_for_one_key", 0),
        "outcomes": counts | drafted.counts,
        "disturbances": len(fault_injector.injected),
    }


def main(arguments: list[str]) -> int:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(prog="bench requests")
    parser.add_argument("--rate", type=float, default=40.0)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--fault-seconds", type=float, default=60.0)
    parser.add_argument("--drafts", type=int, default=500)
    parser.add_argument("--save", default="", help="also write the results to this file")
    options = parser.parse_args(arguments)
    folder = pathlib.Path(tempfile.mkdtemp(prefix="merlinthread-requests-"))
    figures: dict = {"machine": measure.describe_machine()}
    shape = fleets.Shape(
        services=3, engine_arguments=("--batch", "16"), agent={"queue_max": 64}, log_level="warning"
    )
    with fleets.Fleet(folder, shape) as fleet:
        fleet.start()
        digest = fleet.publish("hint-1", 1 << 20, 1 << 16)
        operators.Operator(fleet).propose_and_roll(fleets.simple_bundle(1, {"hint": (digest, 100)}))
        processes.wait_for("6 engines", lambda: fleet.serving_counts("hint").get(digest) == 6)
        time.sleep(2)
        figures |= measure_overhead(fleet, 300)
        print(figures, flush=True)
        urls = [f"http://{vm.http}/v1/completions" for vm in fleet.entries()]
        baseline = open_loop(urls, options.rate, options.seconds, 16, ["a1", "a2", "b1"], 20_000)
        figures |= {
            "rate": options.rate,
            "first_token_p95_ms": milliseconds(baseline.first_token, 95),
            "between_tokens_p95_ms": milliseconds(baseline.between_tokens, 95),
            "whole_p50_ms": milliseconds(baseline.whole_response, 50),
            "usual_outcomes": baseline.counts,
        }
        print(figures, flush=True)
        figures["shares_fair"] = simulate_shares("fair", 600.0)
        figures["shares_fifo"] = simulate_shares("fifo", 600.0)
        figures["faults"] = run_with_faults(
            fleet, options.rate, options.fault_seconds, options.drafts
        )
    return measure.print_results("requests", figures, options.save)
