"""Demo: a fleet on loopback rolls out two bundles and rolls back, while it serves requests."""

import pathlib
import subprocess
import tempfile
import time
import uuid

import msgspec

from bench import fleet as fleets
from merlinthread import errors
from merlinthread.protocol import events
from merlinthread.transport import http_client
from stand_ins import engine

OBJECT_BYTES = 4 * 1024 * 1024
CHUNK_BYTES = 128 * 1024
ACCOUNTS = ("a1", "a2", "b1")


class Outcomes:
    """Counts of outcomes as seen by clients."""

    def __init__(self) -> None:
        self.answered = 0
        self.refused = 0
        self.lost = 0
        self.last_refusal = ""


class Demo:
    """The steps of the demo."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        self.http = http_client.Client()
        self.outcomes = Outcomes()
        self.step = "start"
        self.rows: list[tuple[str, str]] = []

    def begin_step(self, step: str) -> None:
        """Start a step and print its title."""
        self.step = step
        print(f"== {step}", flush=True)

    def run(self) -> None:
        """Run all steps; raise an exception at the first that fails."""
        started = time.monotonic()
        self.begin_step("start: 3 availability zones, 3 control VMs, entries, agents, stand-ins")
        key = self.generate_key()
        self.fleet.start()
        self.begin_step("publish weights at the origin")
        digests = {
            name: self.fleet.publish(name, OBJECT_BYTES, CHUNK_BYTES)
            for name in ("hint-1", "assistant-1", "crosswords-1", "hint-2")
        }
        self.begin_step("check, propose, sign and roll version 1")
        self.roll(self.bundle(1, digests["hint-1"], digests), key)
        self.record_replicas("version 1", digests)
        self.begin_step("streamed and plain requests through every entry")
        self.send_requests(rounds=4)
        self.begin_step("kill one target VM and send more requests")
        self.kill_target()
        self.send_requests(rounds=4)
        self.begin_step("roll version 2")
        self.roll(self.bundle(2, digests["hint-2"], digests), key)
        self.record_replicas("version 2", digests)
        self.send_requests(rounds=2)
        self.begin_step("roll back to version 1")
        self.run_command("bundle", "rollback", "1", "-o", "ana", "--wait")
        self.record_replicas("after rollback", digests)
        self.send_requests(rounds=2)
        self.report(started)

    def generate_key(self) -> pathlib.Path:
        """Generate the operator's key pair with the command line."""
        path = self.fleet.folder / "keys" / "ana.key"
        generated = self.fleet.run_json_command("keys", "new", "--out", str(path))
        self.fleet.operators["ana"] = generated["public_key"]
        return path

    def bundle(self, version: int, hint: str, digests: dict[str, str]) -> dict:
        """Return a bundle with two models, one of them with an adapter."""
        bundle = fleets.simple_bundle(
            version, {"hint": (hint, 50), "assistant": (digests["assistant-1"], 50)}
        )
        bundle["models"][0]["adapters"] = [
            {"name": "crosswords", "version": "v1", "manifest": digests["crosswords-1"]}
        ]
        return bundle

    def run_command(self, *arguments: str) -> None:
        """Run a command and show its output; raise RuntimeError if it fails."""
        print("$ merlinthread " + " ".join(arguments), flush=True)
        completed = self.fleet.run_command(*arguments, shows_output=True)
        if completed.returncode:
            raise RuntimeError(
                f"merlinthread {' '.join(arguments)} exited with {completed.returncode}"
            )

    def roll(self, bundle: dict, key: pathlib.Path) -> None:
        """Check, propose, sign and roll a bundle with the command line."""
        path = str(self.fleet.write_bundle(bundle))
        version = str(bundle["version"])
        self.run_command("bundle", "check", path)
        self.run_command("bundle", "propose", path, "-o", "ana")
        self.run_command("bundle", "sign", version, "-o", "ana", "-k", str(key))
        self.run_command("bundle", "roll", version, "-o", "ana", "--wait")

    def record_replicas(self, when: str, digests: dict[str, str]) -> None:
        """Record the number of replicas of each version; raise RuntimeError if a model has none."""
        names = {digest: name for name, digest in digests.items()}
        for model in ("hint", "assistant", "crosswords"):
            counts = self.fleet.serving_counts(model)
            text = ", ".join(f"{names[d]}: {n}" for d, n in sorted(counts.items()))
            self.rows.append((f"replicas, {when}, {model}", text or "none"))
            if not counts:
                raise RuntimeError(f"{when}: no engine serves {model}")

    def kill_target(self) -> None:
        """Kill one target VM: its engine and its agent."""
        name = next(name for name in self.fleet.target_urls if name.startswith("engine"))
        self.fleet.processes[f"{name}-target"].kill()
        self.fleet.processes[name].kill()

    def send_requests(self, rounds: int) -> None:
        """Send streamed and plain completion requests and service calls to every entry."""
        for number in range(rounds):
            for vm in self.fleet.entries():
                account = ACCOUNTS[number % len(ACCOUNTS)]
                self.request_completion(vm.http, account, "hint", "crosswords", is_streamed=True)
                self.request_completion(vm.http, account, "assistant", "", is_streamed=False)
                self.draft_ticket(vm.http, account)

    def request_completion(
        self, address: str, account: str, model: str, adapter: str, is_streamed: bool
    ) -> None:
        """Request a completion and check that the response is complete and belongs to it."""
        prompt = f"explain clue {uuid.uuid4().hex}"
        body = msgspec.json.encode(
            {
                "model": model,
                "adapter": adapter,
                "prompt": prompt,
                "max_tokens": 8,
                "stream": is_streamed,
            }
        )
        try:
            stream = self.http.open(
                "POST", f"http://{address}/v1/completions", body, self.headers(account)
            )
            data = stream.read(1 << 20)
        except errors.MerlinthreadError as error:
            self.record_loss(error.message)
            return
        if stream.status != 200:
            self.outcomes.refused += 1
            self.outcomes.last_refusal = data.decode()
            return
        text, digest = parse_stream(data) if is_streamed else parse_completion(data)
        if text != engine.completion_text(digest, prompt, 8):
            self.record_loss(f"{model}: incomplete or wrong response: {text!r}")
            return
        self.outcomes.answered += 1

    def draft_ticket(self, address: str, account: str) -> None:
        """Send a non-repeatable call twice with one idempotency key; it must run once."""
        body = msgspec.json.encode({"lamp": uuid.uuid4().hex})
        headers = self.headers(account) | {"Idempotency-Key": str(new_idempotency_key())}
        url = f"http://{address}/v1/services/tickets/draft"
        tickets = []
        for _ in range(2):
            try:
                reply = self.http.request("POST", url, body, headers)
            except errors.MerlinthreadError as error:
                self.record_loss(error.message)
                return
            if reply.status != 200:
                self.outcomes.refused += 1
                self.outcomes.last_refusal = reply.body.decode()
                return
            tickets.append(msgspec.json.decode(reply.body)["ticket"])
        if tickets[0] != tickets[1]:
            self.record_loss(f"two tickets for one idempotency key: {tickets}")
            return
        self.outcomes.answered += 1

    def headers(self, account: str) -> dict[str, str]:
        """Return the headers of a client's request."""
        return {"X-Account": account, "Content-Type": "application/json"}

    def record_loss(self, reason: str) -> None:
        """Count and print a lost or wrong response."""
        self.outcomes.lost += 1
        print(f"lost: {reason}", flush=True)

    def report(self, started: float) -> None:
        """Print the results; raise RuntimeError if a request was lost or refused."""
        self.begin_step("report")
        stats = self.fleet.get(self.fleet.origin_url, "/stats")
        for name, sent in sorted(stats["by_object"].items()):
            self.rows.append((f"origin copies read, {name}", f"{sent / OBJECT_BYTES:.2f}"))
        self.rows += [
            ("requests answered", str(self.outcomes.answered)),
            ("requests refused", f"{self.outcomes.refused} {self.outcomes.last_refusal}"),
            ("requests lost", str(self.outcomes.lost)),
            ("seconds", f"{time.monotonic() - started:.1f}"),
        ]
        width = max(len(name) for name, _ in self.rows)
        for name, value in self.rows:
            print(f"{name:<{width}}  {value}")
        if self.outcomes.lost or self.outcomes.refused:
            raise RuntimeError(f"{self.outcomes.lost} lost, {self.outcomes.refused} refused")


def new_idempotency_key() -> uuid.UUID:
    """Return a new UUIDv7 (RFC 9562) with a timestamp in milliseconds."""
    milliseconds = int(time.time() * 1000) & ((1 << 48) - 1)
    rest = uuid.uuid4().int & ((1 << 80) - 1)
    value = (milliseconds << 80) | rest
    value = (value & ~(0xF << 76)) | (7 << 76)
    return uuid.UUID(int=value)


def parse_stream(data: bytes) -> tuple[str, str]:
    """Return text and digest of a streamed response; the digest is empty if it has no end."""
    texts, digest = [], ""
    for event in events.decode(data.split(b"\n")):
        if event.kind == events.TOKEN:
            texts.append(msgspec.json.decode(event.data, type=events.Token).text)
        elif event.kind == events.DONE:
            digest = msgspec.json.decode(event.data, type=events.Done).digest
    return "".join(texts), digest


def parse_completion(data: bytes) -> tuple[str, str]:
    """Return the text and digest of a response that is not streamed."""
    completion = msgspec.json.decode(data)
    return completion["text"], completion["digest"]


def main(arguments: list[str]) -> int:
    """Run the demo in a new folder; if a step fails, print it and where the logs are."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="merlinthread-demo-"))
    with fleets.Fleet(folder) as fleet:
        demo = Demo(fleet)
        try:
            demo.run()
        except KeyboardInterrupt:
            print(f"interrupted in step: {demo.step}")
            return 130
        except (RuntimeError, TimeoutError, subprocess.TimeoutExpired) as error:
            print(f"demo failed in step {demo.step!r}: {error}")
            print(f"the logs are in {folder / 'logs'}")
            return 1
    print("demo: ok")
    return 0
