"""Back ends that fall silent for a second and go on.

Guards against taking silence for a failure: streams broken off although their back end would have
finished them, and requests refused or run on expired weights.
"""

import asyncio

import pytest

from merlinthread import logs
from merlinthread.coordination import (
    backend_health,
    crash_tracker,
    dispatch,
    load_tracker,
    reload_schedule,
)
from merlinthread.coordination import fleet as fleets
from merlinthread.nodes import request_context
from merlinthread.protocol import event_stream
from merlinthread.transport import stream_client, stream_server
from stand_ins import fleet_worker, silent_worker
from tests import fleet_nodes

STREAM = {
    "X_Merlinthread_Model": "m",
    "X_Merlinthread_Token_Usage": "100,20",
    "X_Merlinthread_Deadline_Ms": "3000",
}
EVENTS = 8
# Longer than the timeouts for the first event and between events together.
SILENCE_S = 1.6
# A silence that the users call sound ("a second or so").
SOUND_SILENCE_S = 1.4


class SilentFleet:
    """An entry and workers that can stand still; the service "model" streams its responses."""

    def __init__(self, count: int) -> None:
        self.entry = fleet_nodes.Entry()
        self.silent = [silent_worker.SilentWorker(f"i-{number}", "m") for number in range(count)]
        self.workers = [silent.worker for silent in self.silent]
        for worker in self.workers:
            worker.behaviour.events = EVENTS
            worker.behaviour.gap_s = 0.05
        self.request_count = 0

    async def start(self) -> None:
        """Start the entry and the workers, and announce all workers to the entry."""
        await self.entry.start()
        for silent in self.silent:
            await silent.start()
        self.announce(self.workers)

    def announce(self, workers: list[fleet_worker.Worker], gone=(), draining=()) -> None:
        """Announce some workers to the entry, and those that are gone or draining."""
        body = fleet_nodes.configuration(1, [], "model")
        self.entry.apply_update(body, dict.fromkeys(workers, "model"), gone, draining=draining)

    def stop(self) -> None:
        """Stop the workers."""
        for silent in self.silent:
            silent.stop()

    def fall_silent(self, seconds: float = SILENCE_S) -> None:
        """Let all workers stand still at once."""
        for silent in self.silent:
            silent.fall_silent(seconds)

    def use_up_retry_budget(self) -> None:
        """Allow no attempt beyond the first of each request."""
        budget = self.entry.node.pool.budget("model")
        budget.ratio, budget.free_retries = 0.0, 0

    async def stream(self, body: bytes = b"") -> "Stream":
        """Send a request; return its stream."""
        self.request_count += 1
        request_id = f"id-{self.request_count}"
        return Stream(await self.entry.send("/model/", request_id, body, **STREAM), request_id)

    def worker_of(self, stream: "Stream") -> silent_worker.SilentWorker:
        """Return the worker that runs a request."""
        return next(
            silent
            for silent in self.silent
            if any(item.request_id == stream.request_id for item in silent.worker.runs)
        )

    def use_responsive_agents(self) -> None:
        """Let each load probe be answered at once, as by an idle engine's agent."""
        self.entry.node.settings.agent_port = 1

        async def reply_at_once(agents, wait_s, *_):
            idle = load_tracker.EngineLoad(load_tracker.Outstanding())
            return dict.fromkeys(agents, idle)

        self.entry.node.prober.query = reply_at_once


class Stream:
    """A stream as read by a client."""

    def __init__(self, connection: stream_client.ClientConnection, request_id: str) -> None:
        self.connection = connection
        self.request_id = request_id
        self.splitter = event_stream.EventSplitter()
        self.event_ids: list[int] = []
        self.status = 0
        self.is_complete = False

    async def read(self, event_count: int = EVENTS + 1) -> None:
        """Read until the end, or until `event_count` events have arrived."""
        while len(self.event_ids) < event_count:
            event = await self.connection.next_event()
            if hasattr(event, "status_code"):
                self.status = event.status_code
            elif hasattr(event, "data"):
                items = self.splitter.feed(bytes(event.data))
                self.event_ids.extend(int(item.event_id) for item in items)
            else:
                self.is_complete = True
                return

    async def read_whole(self) -> None:
        """Read to the end, and check that each event arrives once and in order."""
        await self.read()
        assert self.status == 200
        assert self.is_complete
        assert self.event_ids == list(range(1, EVENTS + 1))


def run(scenario, count: int = 2) -> None:
    async def run_scenario():
        fleet = SilentFleet(count)
        try:
            await fleet.start()
            await scenario(fleet)
        finally:
            fleet.stop()

    asyncio.run(run_scenario())


@pytest.mark.parametrize("has_budget", [True, False], ids=["attempts used up", "no retry budget"])
def test_stream_goes_on_after_silence_if_no_other_attempt_is_allowed(has_budget):
    async def scenario(fleet):
        if not has_budget:
            fleet.use_up_retry_budget()
        stream = await fleet.stream()
        await stream.read(2)
        fleet.fall_silent()
        await stream.read_whole()

    run(scenario)


@pytest.mark.parametrize("has_budget", [True, False], ids=["attempts used up", "no retry budget"])
def test_stream_begins_after_silence_if_no_other_attempt_is_allowed(has_budget):
    async def scenario(fleet):
        if not has_budget:
            fleet.use_up_retry_budget()
        fleet.fall_silent(SILENCE_S + 0.4)
        stream = await fleet.stream()
        await stream.read_whole()

    run(scenario)


# Guards against waiting for a silent back end while another one is free.
def test_stream_is_resumed_at_another_back_end_during_silence():
    async def scenario(fleet):
        stream = await fleet.stream()
        await stream.read(2)
        silent = fleet.worker_of(stream)
        silent.fall_silent(2.4)
        started_at = fleet.entry.node.clock()
        await stream.read_whole()
        assert fleet.entry.node.clock() - started_at < 2.0
        assert [len(worker.runs) for worker in fleet.workers] == [1, 1]

    run(scenario)


# Guards against ending a stream because the other back end refuses or ends its attempt.
@pytest.mark.parametrize("fault", ["is_full", "closes_without_response"])
def test_stream_goes_on_after_silence_if_the_other_attempt_fails(fault):
    async def scenario(fleet):
        stream = await fleet.stream()
        await stream.read(2)
        silent = fleet.worker_of(stream)
        for worker in fleet.workers:
            if worker is not silent.worker:
                setattr(worker.behaviour, fault, True)
        silent.fall_silent(SILENCE_S)
        await stream.read_whole()

    run(scenario)


# Guards against refusing requests because every back end was silent lately.
def test_requests_are_served_after_silence_of_all_back_ends():
    async def scenario(fleet):
        streams = []
        while not all(worker.runs for worker in fleet.workers):
            streams.append(await fleet.stream())
            await streams[-1].read(2)
        fleet.fall_silent()
        backends = fleet.entry.node.pool.backends.values()
        now = fleet.entry.node.clock
        await fleet_nodes.until(lambda: all(backend.is_ejected(now()) for backend in backends))
        streams.append(await fleet.stream())
        for stream in streams:
            await stream.read_whole()
        assert not any(backend.failures for backend in backends)
        # Nobody sees that a back end continues if its attempts are given up, so that its ejection
        # may last for its second period.
        await fleet_nodes.until(
            lambda: not any(backend.is_ejected(now()) for backend in backends),
            2 * backend_health.EJECTION_S,
        )

    run(scenario)


# Guards against ending a stream that has begun because no back end can be reached for a moment.
@pytest.mark.parametrize("has_begun", [True, False], ids=["begun", "may have run"])
def test_broken_stream_is_resumed_although_no_back_end_can_be_reached_for_a_moment(has_begun):
    async def scenario(fleet):
        if not has_begun:
            for worker in fleet.workers:
                worker.behaviour.never_responds = True
        stream = await fleet.stream()
        if has_begun:
            await stream.read(2)
        await fleet_nodes.until(lambda: any(worker.runs for worker in fleet.workers))
        # The idle back end first, so that it takes no attempt while it crashes.
        running = fleet.worker_of(stream)
        for silent in sorted(fleet.silent, key=lambda silent: silent is running):
            silent.crash()
            await silent.call(asyncio.sleep(0))
        backends = fleet.entry.node.pool.backends.values()
        await fleet_nodes.until(lambda: sum(backend.failures for backend in backends) >= 6, 2.0)
        for silent in fleet.silent:
            silent.worker.behaviour.never_responds = False
            await silent.listen_again()
        await stream.read_whole()

    run(scenario)


# Guards against ending a stream that has begun because no back end is free for a moment.
@pytest.mark.parametrize("has_begun", [True, False], ids=["begun", "may have run"])
def test_broken_stream_is_resumed_although_no_back_end_is_free_for_a_moment(has_begun):
    async def scenario(fleet):
        for worker in fleet.workers:
            worker.behaviour.never_responds = not has_begun
        stream = await fleet.stream()
        if has_begun:
            await stream.read(2)
        await fleet_nodes.until(lambda: any(worker.runs for worker in fleet.workers))
        now = fleet.entry.node.clock()
        for backend in fleet.entry.node.pool.backends.values():
            backend.full_until = now + SOUND_SILENCE_S
        for silent in fleet.silent:
            silent.worker.behaviour.never_responds = False
            silent.cut_connections()
        await stream.read_whole()
        assert sum(len(worker.runs) for worker in fleet.workers) == 2

    run(scenario)


# Guards against holding a request that no back end has run until its deadline.
def test_request_that_has_not_run_is_refused_at_once_if_no_back_end_can_be_reached():
    async def scenario(fleet):
        for silent in fleet.silent:
            silent.crash()
            await silent.call(asyncio.sleep(0))
        started_at = fleet.entry.node.clock()
        stream = await fleet.stream()
        await stream.read()
        assert stream.status == 503
        assert fleet.entry.node.clock() - started_at < 0.5

    run(scenario)


async def give_up_silent_attempt(fleet: SilentFleet) -> silent_worker.SilentWorker:
    """Let a back end be silent until another one has taken over its stream; return it."""
    stream = await fleet.stream()
    await stream.read(2)
    silent = fleet.worker_of(stream)
    silent.fall_silent(SOUND_SILENCE_S)
    await stream.read_whole()
    assert [broken.backend.instance for broken in fleet.entry.node.crashes.unconfirmed] == [
        silent.worker.instance
    ]
    return silent


def replace(fleet: SilentFleet, silent: silent_worker.SilentWorker) -> None:
    """Announce another instance at the address of a back end."""
    heir = fleet_worker.Worker("i-heir", "m")
    heir.address = silent.worker.address
    others = [worker for worker in fleet.workers if worker is not silent.worker]
    fleet.announce([*others, heir])


# Guards against counting a crash of a back end that was only silent and is replaced later.
def test_response_after_silence_shows_that_the_process_did_not_end():
    async def scenario(fleet):
        silent = await give_up_silent_attempt(fleet)
        crashes, pool = fleet.entry.node.crashes, fleet.entry.node.pool
        other = next(worker for worker in fleet.workers if worker is not silent.worker)
        await silent.call(asyncio.sleep(0))
        pool.backends[other.instance].is_draining = True
        await (await fleet.stream()).read_whole()
        assert not crashes.unconfirmed
        replace(fleet, silent)
        assert not crashes.tracker.records

    run(scenario)


# Guards against missing the crash of a back end whose address another instance has taken.
def test_response_of_another_instance_does_not_show_that_the_process_goes_on():
    async def scenario(fleet):
        silent = await give_up_silent_attempt(fleet)
        crashes = fleet.entry.node.crashes
        await silent.call(asyncio.sleep(0))
        for worker in fleet.workers:
            worker.behaviour.is_full = worker is not silent.worker
        silent.worker.instance = "i-heir"
        stream = await fleet.stream()
        await stream.read()
        assert stream.status == 503
        assert crashes.unconfirmed
        replace(fleet, silent)
        assert crashes.tracker.records

    run(scenario)


# Guards against counting a crash of a back end that announced its end after a silence.
@pytest.mark.parametrize("sign", ["draining", "gone"])
def test_announced_end_after_silence_is_no_crash(sign):
    async def scenario(fleet):
        silent = await give_up_silent_attempt(fleet)
        crashes = fleet.entry.node.crashes
        if sign == "draining":
            fleet.announce(fleet.workers, draining=[silent.worker])
        else:
            fleet.announce([], gone=[silent.worker.instance])
        replace(fleet, silent)
        assert not crashes.tracker.records

    run(scenario)


# Guards against ending a request whose body a silent back end does not read at once.
def test_long_body_is_taken_after_silence():
    async def scenario(fleet):
        fleet.use_up_retry_budget()
        fleet.fall_silent(SOUND_SILENCE_S)
        body = bytes(3 * 2**20)
        stream = await fleet.stream(body)
        await stream.read_whole()
        (run,) = [run for worker in fleet.workers for run in worker.runs]
        assert run.body == body

    run(scenario)


# Guards against ending a stream whose back end is removed because of a late heartbeat or none.
@pytest.mark.parametrize("is_replaced", [True, False], ids=["replaced", "missing"])
def test_stream_goes_on_after_its_silent_back_end_was_removed(is_replaced):
    async def scenario(fleet):
        stream = await fleet.stream()
        await stream.read(2)
        silent = fleet.worker_of(stream)
        fleet.use_up_retry_budget()
        silent.fall_silent(SOUND_SILENCE_S)
        if is_replaced:
            replace(fleet, silent)
        else:
            fleet.entry.node.watcher.instance_table.remove(silent.worker.instance)
            fleet.entry.node.pool.update()
        assert silent.worker.instance not in fleet.entry.node.pool.backends
        await stream.read_whole()
        assert sum(len(worker.runs) for worker in fleet.workers) == 1

    run(scenario)


# Guards against a run on expired weights by an engine that reads its request after a silence.
def test_request_read_after_silence_does_not_begin_on_expired_weights():
    async def scenario(fleet):
        old, new = fleet.workers
        new.version = 2
        pool, watcher = fleet.entry.node.pool, fleet.entry.node.watcher
        fleet.use_responsive_agents()
        now = pool.clock()
        for backend in pool.backends.values():
            version = 2 if backend.instance == new.instance else 1
            backend.apply_report(
                fleets.EngineReport(weights=[fleets.Weights("m", version, 16)]), now
            )
        pool.backends[new.instance].is_draining = True
        bounds = fleet.entry.node.settings.bounds
        bounds.version_s = reload_schedule.EXPIRY_MARGIN_S + 0.4
        versions = watcher.published_versions
        versions.named, versions.named_at = {"m": 2}, {"m": {2: now}}
        expires_at = asyncio.get_running_loop().time() + bounds.version_s
        # Sent at the last moment at which the old weights may be used, to an engine that is silent.
        await asyncio.sleep(0.2)
        fleet.silent[0].fall_silent(SOUND_SILENCE_S)
        stream = await fleet.stream()
        await fleet_nodes.until(lambda: pool.backends[old.instance].in_flight)
        pool.backends[new.instance].is_draining = False
        await stream.read_whole()
        await fleet.silent[0].call(asyncio.sleep(0.1))
        late_s = [run.at - expires_at for run in old.runs if run.at > expires_at]
        assert not late_s, f"a run began on expired weights {late_s[0]:.2f} s too late"

    run(scenario)


# Guards against load that stays recorded for an attempt that is given up before it has begun.
def test_attempt_given_up_before_it_begins_leaves_no_load():
    async def scenario(fleet):
        pool, chooser = fleet.entry.node.pool, fleet.entry.node.chooser
        connections = []
        connect, choose = pool.connections.connect, chooser.choose

        async def record_connection(backend, is_idempotent):
            connections.append(await connect(backend, is_idempotent))
            return connections[-1]

        async def choose_as_data_arrives(requirements, wait_s_max):
            choice = await choose(requirements, wait_s_max)
            if connections:
                connections[0].data_received(b"f\r\nid: 3\ndata: 3\n\n\r\n")
            return choice

        pool.connections.connect, chooser.choose = record_connection, choose_as_data_arrives
        for worker in fleet.workers:
            worker.behaviour.gap_s = 0.15
        stream = await fleet.stream()
        await stream.read(2)
        fleet.worker_of(stream).fall_silent(1.0)
        await stream.read_whole()
        backends = list(pool.backends.values())
        await fleet_nodes.until(lambda: not any(backend.in_flight for backend in backends), 2.0)
        assert not any(backend.unread or backend.unread_tokens for backend in backends)

    run(scenario)


# Guards against a retry budget used up by attempts that no back end has received.
def test_unsent_attempts_during_silence_use_no_retry_budget():
    async def scenario(fleet):
        stream = await fleet.stream()
        await stream.read(2)
        silent = fleet.worker_of(stream)
        for other in fleet.silent:
            if other is not silent:
                await other.call(asyncio.sleep(0))
                other.crash()
        silent.fall_silent(SILENCE_S)
        await stream.read_whole()
        budget = fleet.entry.node.pool.budget("model")
        assert len(budget.retries) <= 1
        assert sum(len(worker.runs) for worker in fleet.workers) == 1

    run(scenario, 4)


# Guards against a run on weights that expired because a newer version was named meanwhile.
def test_attempt_is_closed_before_weights_expire_that_were_current_when_it_was_sent():
    async def scenario(fleet):
        (old,) = fleet.workers
        old.behaviour.never_responds = True
        pool, watcher = fleet.entry.node.pool, fleet.entry.node.watcher
        fleet.use_up_retry_budget()
        await fleet.stream()
        await fleet_nodes.until(lambda: old.runs)
        bounds = fleet.entry.node.settings.bounds
        bounds.version_s = 1.6
        now = pool.clock()
        versions = watcher.published_versions
        versions.named, versions.named_at = {"m": 2}, {"m": {2: now}}
        await fleet_nodes.until(lambda: old.cancelled)
        assert pool.clock() - now < bounds.version_s

    run(scenario, 1)


# Guards against a third crash during one request, which the check of the second would prevent.
def test_no_attempt_is_made_before_the_check_of_a_decisive_crash(monkeypatch):
    async def scenario(fleet):
        pool = fleet.entry.node.pool
        body = fleet_nodes.configuration(2, [], "model")
        body["routes"][0]["max_attempts"] = 3
        fleet.entry.apply_update(body, dict.fromkeys(fleet.workers, "model"))
        monkeypatch.setattr(request_context.RequestContext, "fingerprint", lambda _: "f")
        now = pool.clock()
        for number in (1, 2):
            crash = crash_tracker.Crash(now - 10 * number, f"gone-{number}", now - 10 * number - 1)
            pool.crashes.tracker.record_crash("f", "label", crash)
        for worker in fleet.workers:
            worker.behaviour.never_responds = True
        stream = await fleet.stream()
        await fleet_nodes.until(lambda: any(worker.runs for worker in fleet.workers))
        first = fleet.worker_of(stream)
        backends = pool.backends.values()
        third = next(backend for backend in backends if not backend.in_flight)
        third.is_draining = True
        await fleet_nodes.until(lambda: sum(backend.silences for backend in backends) == 2)
        check_process = pool.crashes.check_process

        async def check_with_free_back_end(backend):
            third.is_draining = False
            await check_process(backend)

        pool.crashes.check_process = check_with_free_back_end
        first.crash()
        await stream.read()
        assert pool.crashes.tracker.is_held("f")
        assert sum(len(worker.runs) for worker in fleet.workers) == 2

    run(scenario, 3)


# Guards against a held request that waits until its deadline because no back end is free.
def test_request_that_is_held_while_it_waits_for_a_back_end_is_answered_at_once(monkeypatch):
    async def scenario(fleet):
        (worker,) = fleet.workers
        pool = fleet.entry.node.pool
        monkeypatch.setattr(request_context.RequestContext, "fingerprint", lambda _: "f")
        worker.behaviour.never_responds = True
        stream = await fleet.stream()
        await fleet_nodes.until(lambda: worker.runs)
        (backend,) = pool.backends.values()
        backend.is_draining = True
        fleet.silent[0].crash()
        await fleet_nodes.until(lambda: not backend.in_flight)
        hold = crash_tracker.Hold(1, crash_tracker.HoldState.HELD)
        held_at = pool.clock()
        pool.crashes.tracker.set_hold("f", "label", hold, held_at)
        await stream.read()
        assert stream.status == 502
        assert pool.clock() - held_at < 1.0

    run(scenario, 1)


# Guards against sending all requests to one engine while all of them count as silent.
def test_requests_are_spread_over_engines_that_are_all_silent():
    async def scenario(fleet):
        pool = fleet.entry.node.pool
        fleet.use_responsive_agents()
        now = pool.clock()
        for backend in pool.backends.values():
            backend.apply_report(fleets.EngineReport(weights=[fleets.Weights("m", 1, 16)]), now)
            backend_health.record_silence(backend, now)
        pool.update_subscriptions()
        requirements = dispatch.Requirements("model", "m")
        for _ in range(8):
            choice = await fleet.entry.node.chooser.choose(requirements, 1.0)
            pool.reserve(choice.backend, 100)
        assert [backend.in_flight for backend in pool.backends.values()] == [2, 2, 2, 2]

    run(scenario, 4)


# Guards against taking a back end that refuses requests for one that accepts them.
def test_refusal_is_remembered_after_the_end_of_a_silence():
    async def scenario(fleet):
        (backend,) = fleet.entry.node.pool.backends.values()
        backend_health.record_full(backend, 10.0)
        backend_health.record_silence(backend, 11.0)
        backend_health.record_continued(backend, 12.0)
        assert not backend.is_accepting()

    run(scenario, 1)


# Guards against a stream with the data of two attempts whose back ends continue at the same time.
def test_stream_has_events_of_one_attempt_if_both_continue_at_once():
    async def scenario(fleet):
        pool = fleet.entry.node.pool
        connections = []
        connect = pool.connections.connect

        async def record_connection(backend, is_idempotent):
            connections.append(await connect(backend, is_idempotent))
            return connections[-1]

        pool.connections.connect = record_connection
        for worker in fleet.workers:
            worker.behaviour.never_responds = True
        stream = await fleet.stream()
        backends = list(pool.backends.values())
        await fleet_nodes.until(lambda: all(backend.silences for backend in backends))
        head = (
            b"HTTP/1.1 200 OK\r\nX-Merlinthread-Request-Id: id-1\r\n"
            b"X-Merlinthread-Response-Stamp: stamp\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        events = b"".join(b"f\r\nid: %d\ndata: %d\n\n\r\n" % (n, n) for n in range(1, EVENTS + 1))
        for connection in connections:
            connection.data_received(head + events + b"0\r\n\r\n")
        await stream.read_whole()
        await fleet_nodes.until(lambda: not any(backend.in_flight for backend in backends))
        assert [connection.is_idle for connection in connections].count(True) == 1

    run(scenario)


# Guards against attempts that go on after their client has left.
def test_all_attempts_end_when_the_client_leaves():
    async def scenario(fleet):
        for worker in fleet.workers:
            worker.behaviour.never_responds = True
        stream = await fleet.stream()
        await fleet_nodes.until(lambda: all(worker.runs for worker in fleet.workers))
        stream.connection.close()
        await fleet_nodes.until(lambda: all(worker.cancelled for worker in fleet.workers), 0.5)
        backends = fleet.entry.node.pool.backends.values()
        assert not any(backend.in_flight for backend in backends)

    run(scenario)


# Guards against streams broken off by a crash because attempts beside silent back ends have used up
# the retry budget.
def test_broken_stream_is_resumed_after_many_silences():
    async def scenario(fleet):
        budget = fleet.entry.node.pool.budget("model")
        budget.ratio, budget.free_retries = 0.0, 4
        streams = [await fleet.stream() for _ in range(6)]
        for stream in streams:
            await stream.read(2)
        for silent in fleet.silent[1:]:
            silent.fall_silent(SILENCE_S)
        for stream in streams:
            await stream.read_whole()
        broken = await fleet.stream()
        await broken.read(2)
        fleet.worker_of(broken).cut_connections()
        await broken.read_whole()

    run(scenario, 4)


# Guards against a second log line for a request whose client closes its connection at the end.
def test_request_is_logged_once_if_its_client_closes_at_the_end(monkeypatch):
    outcomes = []
    finish = stream_server.Exchange.finish

    def record(event, **fields):
        if event == "request":
            outcomes.append(fields["outcome"])

    async def finish_and_lose_connection(exchange):
        await finish(exchange)
        if exchange.connection.server is node_server[0]:
            exchange.connection.task.cancel()

    node_server = []

    async def scenario(fleet):
        node_server.append(fleet.entry.node.server)
        stream = await fleet.stream()
        await stream.read_whole()
        await fleet_nodes.until(lambda: not fleet.entry.node.server.connections)
        assert outcomes == ["answered"]

    monkeypatch.setattr(logs, "event", record)
    monkeypatch.setattr(stream_server.Exchange, "finish", finish_and_lose_connection)
    run(scenario)
