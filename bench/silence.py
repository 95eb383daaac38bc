"""Compare builds on streams whose engines fall silent for a second or so and go on.

`python -m bench silence --picture NAME --seed N --seconds S`. Control VMs and entries are processes
of their own; engines are threads of this process that stand still, so that they read requests late
and do not see closed connections. `bench.silence_plan` has the pictures.

`--source FOLDER` runs the nodes of another build, for instance `../old/src` of a clone at an older
commit; clients and engines stay those of this tree, and streams, silences and changes are those of
the seed. `--keep FOLDER` keeps the logs of the nodes. The last line of output is one JSON object:

- `lost`: streams that began and ended without their end; `lost_in_time` of them before the deadline
- `failures`: other streams without a success, by status; 0 is none within the deadline
- `order`: violations of the order of events: ids that do not rise by one from 1, or a missing last
- `first_ms` and `gap_ms`: time to the first event, and longest time between two events of a stream
- `runs`: runs at engines; `retries`: runs beyond the first of each request
- `events_in_vain`: events that engines sent and no client received, or that were made twice
- `lag_ms`: how late the clients sent their requests; if it is long, the machine was too busy
"""

import argparse
import asyncio
import collections
import dataclasses
import json
import pathlib
import shutil
import tempfile

import h11

from bench import measure, silence_fleet, silence_plan, soak_nodes
from merlinthread import errors
from merlinthread.protocol import event_stream
from merlinthread.transport import http_messages, stream_client

SOURCE = soak_nodes.ROOT / "src"
START_TIMEOUT_S = 30.0
DEADLINE_S = 5.0
# How long after the deadline of a request its client waits for the end of the response.
CLIENT_MARGIN_S = 1.0


@dataclasses.dataclass(slots=True)
class Stream:
    """A stream as received by its client; times are those of the event loop."""

    request_id: str
    sent_at: float
    deadline_s: float
    status: int = 0
    event_ids: list[str] = dataclasses.field(default_factory=list)
    arrivals: list[float] = dataclasses.field(default_factory=list)
    is_complete: bool = False
    ended_at: float = 0.0

    @property
    def is_lost(self) -> bool:
        """Return whether the stream began and has no end."""
        return self.status == 200 and not self.is_complete

    @property
    def is_served(self) -> bool:
        """Return whether the stream was received whole."""
        return self.status == 200 and self.is_complete

    def elapsed_s(self) -> float:
        """Return the time from the request to the end."""
        return self.ended_at - self.sent_at

    def longest_gap_s(self) -> float:
        """Return the longest time between two events."""
        pairs = zip(self.arrivals, self.arrivals[1:], strict=False)
        return max((later - earlier for earlier, later in pairs), default=0.0)

    def order_violation(self) -> str:
        """Describe a gap, a repeated event or a missing last event; empty if there is none."""
        expected = [str(number) for number in range(1, len(self.event_ids) + 1)]
        is_short = self.is_served and len(self.event_ids) != silence_fleet.EVENT_COUNT
        if self.event_ids == expected and not is_short:
            return ""
        return f"{self.request_id} has events {self.event_ids}, complete: {self.is_complete}"


def build_request(stream: Stream) -> http_messages.Request:
    """Return the request of a stream."""
    headers = [
        (b"Host", b"h.example"),
        (b"X-Merlinthread-Request-Id", stream.request_id.encode()),
        (b"X-Merlinthread-Deadline-Ms", b"%d" % (1000 * stream.deadline_s)),
        (b"X-Merlinthread-Model", b"m"),
        (b"X-Merlinthread-Token-Usage", b"100,20"),
        (b"Api-Key", b"key-1"),
        (b"content-length", b"0"),
    ]
    return http_messages.Request(b"POST", b"/model/", headers)


async def read_stream(ip: str, stream: Stream) -> None:
    """Send the request of a stream and receive it up to its end or the client's time limit."""
    loop = asyncio.get_running_loop()
    limit_s = stream.deadline_s + CLIENT_MARGIN_S
    connection: stream_client.ClientConnection | None = None
    try:
        async with asyncio.timeout(limit_s):
            address = f"{ip}:{soak_nodes.FRONT_PORT}"
            connection = await stream_client.connect(address, limit_s, limit_s)
            connection.send(build_request(stream))
            await receive(connection, stream)
    except (TimeoutError, errors.MerlinthreadError):
        pass
    finally:
        stream.ended_at = loop.time()
        if connection is not None:
            connection.close()


async def receive(connection: stream_client.ClientConnection, stream: Stream) -> None:
    """Receive a response."""
    loop = asyncio.get_running_loop()
    splitter = event_stream.EventSplitter()
    while not isinstance(event := await connection.next_event(), h11.EndOfMessage):
        if isinstance(event, h11.Response):
            stream.status = event.status_code
        elif isinstance(event, h11.Data):
            for item in splitter.feed(bytes(event.data)):
                stream.event_ids.append(item.event_id)
                stream.arrivals.append(loop.time())
    stream.is_complete = True


class Experiment:
    """A run of one plan with the nodes of the build in `source`."""

    def __init__(
        self,
        plan: silence_plan.Plan,
        folder: pathlib.Path,
        source: pathlib.Path,
        deadline_s: float = DEADLINE_S,
    ) -> None:
        self.plan = plan
        self.deadline_s = deadline_s
        self.fleet = silence_fleet.SilenceFleet(folder, source, deadline_s)
        self.streams: list[Stream] = []
        # How much later than planned each stream was requested.
        self.lags_s: list[float] = []
        self.work_before = silence_fleet.Work()

    async def run(self) -> dict:
        """Start the fleet, run the plan, and return the figures."""
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                await self.fleet.start()
                await self.wait_until_served()
            self.work_before = self.fleet.measure_work()
            await self.run_plan()
            return self.evaluate()
        finally:
            self.fleet.close()

    async def wait_until_served(self) -> None:
        """Wait until each entry serves as many streams at once as there are engines."""
        for ip in soak_nodes.ENTRY_IPS:
            is_ready = False
            while not is_ready:
                streams = [
                    self.make_stream(f"start-{number}")
                    for number in range(silence_plan.ENGINE_COUNT)
                ]
                await asyncio.gather(*(read_stream(ip, stream) for stream in streams))
                is_ready = all(stream.is_served for stream in streams)

    def make_stream(self, request_id: str) -> Stream:
        """Return a stream that is requested now."""
        return Stream(request_id, asyncio.get_running_loop().time(), self.deadline_s)

    async def run_plan(self) -> None:
        """Do everything that is planned, each at its time, and wait for the last end."""
        start = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as group:
            for number, arrival in enumerate(self.plan.arrivals):
                group.create_task(self.send(start, number, arrival))
            for silence in self.plan.silences:
                group.create_task(self.silence(start, silence))
            for crash in self.plan.crashes:
                group.create_task(self.crash(start, crash))
            group.create_task(self.change(start))

    async def send(self, start: float, number: int, arrival: silence_plan.Arrival) -> None:
        """Request and receive a stream."""
        await sleep_until(start + arrival.at_s)
        stream = self.make_stream(f"s{number}")
        self.streams.append(stream)
        self.lags_s.append(stream.sent_at - start - arrival.at_s)
        await read_stream(soak_nodes.ENTRY_IPS[arrival.entry], stream)

    async def silence(self, start: float, silence: silence_plan.Disturbance) -> None:
        """Let an engine stand still."""
        await sleep_until(start + silence.at_s)
        self.fleet.engines[silence.engine].current.fall_silent(silence.duration_s)

    async def crash(self, start: float, crash: silence_plan.Disturbance) -> None:
        """End an engine and start it again."""
        await sleep_until(start + crash.at_s)
        await self.fleet.engines[crash.engine].crash(crash.duration_s)

    async def change(self, start: float) -> None:
        """Change the configuration at the planned times."""
        for at_s in self.plan.changes:
            await sleep_until(start + at_s)
            await self.fleet.change_configuration()

    def evaluate(self) -> dict:
        """Print the log line of each stream that was not served; return the figures."""
        log = self.fleet.read_request_log()
        for stream in self.streams:
            if not stream.is_served:
                line = json.dumps(log.get(stream.request_id, {}))
                print(f"{stream.request_id}: {stream.status}, {stream.elapsed_s():.2f} s, {line}")
        work = self.fleet.measure_work()
        work.runs.subtract(self.work_before.runs)
        runs = {key: count for key, count in work.runs.items() if count > 0}
        received = sum(len(set(stream.event_ids)) for stream in self.streams)
        events = work.events - self.work_before.events
        lost = [stream for stream in self.streams if stream.is_lost]
        return {
            "streams": len(self.streams),
            "served": sum(stream.is_served for stream in self.streams),
            "lost": len(lost),
            "lost_in_time": sum(is_in_time(stream) for stream in lost),
            "failures": count_failures(self.streams),
            "order": [text for stream in self.streams if (text := stream.order_violation())],
            "first_ms": percentiles_ms(
                [s.arrivals[0] - s.sent_at for s in self.streams if s.arrivals]
            ),
            "gap_ms": percentiles_ms([s.longest_gap_s() for s in self.streams if s.is_served]),
            "runs": sum(runs.values()),
            "retries": sum(count - 1 for count in runs.values()),
            "events_in_vain": events - received,
            "lag_ms": percentiles_ms(self.lags_s),
        }


def is_in_time(stream: Stream) -> bool:
    """Return whether a stream ended clearly before its deadline."""
    return stream.elapsed_s() < 0.95 * stream.deadline_s


def count_failures(streams: list[Stream]) -> dict[str, int]:
    """Return the number of streams that failed from the start, by status."""
    failed = (str(stream.status) for stream in streams if stream.status != 200)
    return dict(sorted(collections.Counter(failed).items()))


def percentiles_ms(values_s: list[float]) -> dict[str, int]:
    """Return the median and the 99th percentile of times in seconds, in milliseconds."""
    if not values_s:
        return {}
    return {
        f"p{round(100 * share)}": round(1000 * measure.percentile(values_s, share))
        for share in (0.5, 0.99)
    }


async def sleep_until(at: float) -> None:
    """Sleep until a time of the event loop."""
    await asyncio.sleep(max(0.0, at - asyncio.get_running_loop().time()))


def run_picture(
    name: str,
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    source: pathlib.Path = SOURCE,
    deadline_s: float = DEADLINE_S,
) -> dict:
    """Run one picture with one seed; return the figures."""
    picture = silence_plan.PICTURES[name]
    plan = silence_plan.make_plan(picture, seed, seconds, len(soak_nodes.ENTRY_IPS))
    return asyncio.run(Experiment(plan, folder, source, deadline_s).run())


def main(arguments: list[str]) -> int:
    """Run one picture; return 1 if the order of events was violated."""
    parser = argparse.ArgumentParser(prog="python -m bench silence")
    parser.add_argument("--picture", choices=list(silence_plan.PICTURES), default="silences")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--source", type=pathlib.Path, default=SOURCE)
    parser.add_argument("--keep", type=pathlib.Path, help="folder for the logs of the nodes")
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        source = options.source.resolve()
        figures = run_picture(options.picture, options.seed, options.seconds, folder, source)
        if options.keep is not None:
            shutil.copytree(folder, options.keep, dirs_exist_ok=True)
    header = {"picture": options.picture, "seed": options.seed, "source": str(source)}
    measure.print_results("silence", header | measure.describe_machine() | figures)
    return 1 if figures["order"] else 0
