"""The back ends of an entry: what is known of each, and who waits for a place."""

import asyncio
import contextlib
import dataclasses
import itertools
import random
from collections.abc import Callable

from merlinthread.coordination import (
    backend_availability,
    backend_record,
    dispatch,
    fleet,
    incarnations,
    load_feed,
    reload_schedule,
    retry_budget,
    retry_delays,
    wait_queue,
)
from merlinthread.nodes import (
    backend_connections,
    crash_watch,
    limit_teller,
    load_prober,
    news_watcher,
    node_settings,
    permits,
    signal_taker,
)
from merlinthread.protocol import node_messages

WAKE_AT_ONCE = 4
# How many agents a decision asks, and how long it waits for their answers.
PROBED = 2
PROBE_WAIT_S = 0.015
# Of the whole budget, what entries use; the rest is a margin for those that leave and come.
BUDGET_SHARE = 0.75
FREE_REPEATS = 3
# An attempt on the old version that has not begun this long before the bound is given up.
BEGIN_MARGIN_S = 0.2
# A node that has just started knows the configuration within half a second, and each back end by
# its next heartbeat; half a beat more for those that load weights again.
RESTART_BEATS = 1.5
# From this long before the bound, the old version is used only where requests arrive promptly.
VERSION_SOON_S = 2.5


@dataclasses.dataclass(slots=True)
class Place:
    """An attempt on a back end, with the tokens of its prompt and whether they were read.

    `agent` is where it is noted, if an agent stands beside the back end.
    """

    backend: backend_record.Backend
    tokens: float
    started: float
    number: int = 0
    agent: str = ""
    is_read: bool = False


class BackendPool:
    """Chooses back ends and counts what runs on them."""

    def __init__(
        self,
        settings: node_settings.NodeSettings,
        watcher: news_watcher.NewsWatcher,
        clock: Callable[[], float],
        rng: random.Random,
        prober: load_prober.LoadProber,
        crashes: crash_watch.CrashWatch,
        permits: permits.Permits,
        signals: backend_availability.AvailabilityTable,
        teller: limit_teller.LimitTeller,
    ) -> None:
        self.settings = settings
        self.permits = permits
        self.prober = prober
        self.crashes = crashes
        self.watcher = watcher
        self.clock = clock
        self.rng = rng
        self.return_way = retry_delays.POLICIES.get(settings.policy.returns)
        self.backends: dict[str, backend_record.Backend] = {}
        self.by_service: dict[str, list[backend_record.Backend]] = {}
        self.by_address: dict[str, backend_record.Backend] = {}
        self.heard: dict[str, list[backend_record.Backend]] = {}
        self.signals = signals
        self.words = signal_taker.SignalTaker(signals, teller, clock)
        self.usual_work: dict[str, backend_record.ResponseTime] = {}
        self.rooms: dict[str, wait_queue.WaitQueue] = {}
        self.budgets: dict[str, retry_budget.RetryBudget] = {}
        self.place_numbers = itertools.count(1)
        self.connections = backend_connections.BackendConnections(clock)

    # What is known

    def update(self) -> None:
        """Take over what the control VMs tell of back ends."""
        for instance in set(self.backends) - set(self.watcher.instances):
            self.connections.drop(instance)
            del self.backends[instance]
        for instance, heartbeat in self.watcher.instances.items():
            self.update_one(instance, heartbeat)
        self.signals.prune(set(self.backends), self.clock())
        self.words.count()
        self.by_service = {}
        self.by_address = {}
        for backend in self.backends.values():
            self.by_service.setdefault(backend.service, []).append(backend)
            self.by_address[backend.address] = backend
        self.update_heard()
        for room in self.rooms.values():
            room.wake(WAKE_AT_ONCE)

    def update_heard(self) -> None:
        """Choose the engines that this entry hears unasked, by service."""
        before = self.heard
        self.heard = {
            service: load_feed.engines_to_subscribe(self.settings.name, backends)
            for service, backends in self.by_service.items()
            if self.engine_of(service) is not None
        }
        kept = {backend.instance for heard in self.heard.values() for backend in heard}
        for heard in before.values():
            for backend in heard:
                if backend.instance not in kept:
                    backend.stop_reports()

    def update_one(self, instance: str, heartbeat: fleet.Heartbeat) -> None:
        """Take over one back end."""
        backend = self.backends.get(instance)
        if backend is None:
            backend = backend_record.Backend(
                instance,
                heartbeat.service,
                heartbeat.address,
                heartbeat.zone,
                self.settings.distance(heartbeat.zone),
                heartbeat.slots,
                availability=self.signals.availability_of(instance),
                service_response_time=self.usual_work.setdefault(
                    heartbeat.service, backend_record.ResponseTime()
                ),
            )
            self.backends[instance] = backend
        backend.slots = heartbeat.slots
        if heartbeat.state != fleet.READY:
            backend.availability.record_leaving(
                backend_availability.LeavingSource.NEWS, self.clock()
            )
        # A heartbeat that says `ready` does not take back what an answer said.
        backend.is_draining = backend.availability.is_leaving
        backend.cold_until = self.watcher.cold_until.get(instance, 0.0)
        if self.clock() - backend.reported_at > backend_record.REPORT_FRESH_S:
            backend.weights = heartbeat.weights

    def note_leaving(self, backend: backend_record.Backend, request_id: str) -> None:
        """Note that a back end says in an answer that it leaves."""
        backend.is_draining = True
        # The record may be another one by now: the news dropped the back end and told it again.
        known = self.backends.get(backend.instance)
        if known is not None:
            known.is_draining = True
        self.words.note_leaving(backend.instance, request_id)

    def limited(self, demand: dispatch.Demand) -> list[backend_record.Backend]:
        """Return the back ends that could take an attempt with a permit, best first.

        There are none if one could take it without.
        """
        engine = self.engine_of(demand.service)
        backends = self.by_service.get(demand.service, [])
        return dispatch.permit_candidates(backends, demand, engine, self.clock())

    def opens_at(self, service: str) -> float | None:
        """Return when the first back end of a service takes requests again, if all are closed."""
        return dispatch.available_at(self.by_service.get(service, []), self.clock())

    def take_load(self, load: node_messages.LoadUpdate) -> None:
        """Take an agent's report of its engine."""
        backend = self.by_address.get(load.address)
        if backend is None or not is_of(load.report, backend):
            return
        backend.apply_report(load.report, self.clock(), load.others)
        room = self.rooms.get(backend.service)
        if room is not None and len(room):
            room.wake(WAKE_AT_ONCE)

    def restart_wait_s(self) -> float:
        """Return how long after its start a node knows the back ends: by their next heartbeat."""
        return RESTART_BEATS * self.settings.heartbeat_s

    def required_version(self, model: str, now: float) -> int:
        """Return the lowest version of a model's weights that may serve a request sent now.

        The newest one named is required some time before its bound, since a request may wait at the
        back end.
        """
        bound_s = self.settings.bounds.version_s - reload_schedule.EXPIRY_MARGIN_S
        return self.watcher.version_due(model, now, bound_s)

    def version_soon(self, model: str, now: float) -> int:
        """Return the newest version of a model's weights that is due soon, or 0."""
        return self.watcher.version_due(model, now, self.settings.bounds.version_s - VERSION_SOON_S)

    def held_version(self, backend: backend_record.Backend, model: str) -> int:
        """Return the version of a model's weights that a back end holds whole, or 0."""
        engine = self.engine_of(backend.service)
        return backend.version_of(model, engine.layers) if engine is not None else 0

    def begin_by(self, backend: backend_record.Backend, model: str) -> float:
        """Return by when an attempt on a back end must have begun with the weights it holds."""
        if not model or self.engine_of(backend.service) is None:
            return float("inf")
        held = self.held_version(backend, model)
        bound_s = self.settings.bounds.version_s - BEGIN_MARGIN_S
        return self.watcher.usable_until(model, held, bound_s)

    # Places

    def room(self, service: str) -> wait_queue.WaitQueue:
        """Return the waiting room of a service."""
        return self.rooms.setdefault(service, wait_queue.WaitQueue())

    async def choose(self, demand: dispatch.Demand, wait_s_max: float) -> dispatch.Choice | None:
        """Return a good back end now, if possible one with a wait up to `wait_s_max`.

        Of engines the few that look best are asked for their load first: what the other entries
        have sent them since the last report decides when a first byte comes. If none of those that
        this entry hears is good enough, some of the others are asked.
        """
        engine = self.engine_of(demand.service)
        backends = self.by_service.get(demand.service, [])
        if engine is None or not self.settings.agent_port:
            return dispatch.choose(backends, demand, engine, self.clock(), self.rng, wait_s_max)
        heard = self.heard.get(demand.service, [])
        asked = dispatch.shortlist(heard, demand, engine, self.clock(), self.rng, PROBED)
        await self.ask_loads(asked)
        choice = dispatch.choose_best(asked, demand, engine, self.clock())
        if choice is not None and choice.wait_s <= wait_s_max:
            return choice
        others = self.unheard(backends, heard)
        asked = dispatch.shortlist(others, demand, engine, self.clock(), self.rng, PROBED)
        await self.ask_loads(asked)
        known = [*heard, *(backend for backend in asked if not backend.probe_unanswered)]
        # Of one that is not heard and does not answer nothing is known: it is the last resort.
        choice = dispatch.choose_best(known, demand, engine, self.clock())
        return choice or dispatch.choose_best(asked, demand, engine, self.clock())

    def rate(self, backend: backend_record.Backend, demand: dispatch.Demand) -> dispatch.Choice:
        """Return what choosing a back end would mean now."""
        engine = self.engine_of(demand.service)
        return dispatch.evaluate(backend, demand, engine, self.clock())

    def unheard(
        self, backends: list[backend_record.Backend], heard: list[backend_record.Backend]
    ) -> list[backend_record.Backend]:
        """Return the engines whose load this entry does not hear unasked."""
        if len(heard) == len(backends):
            return []
        known = {backend.instance for backend in heard}
        return [backend for backend in backends if backend.instance not in known]

    async def ask_loads(self, asked: list[backend_record.Backend]) -> None:
        """Ask the agents beside some engines what other entries have there now."""
        agents = list({self.agent_of(backend): None for backend in asked})
        answers = await self.prober.ask(agents, PROBE_WAIT_S)
        # Engines of one VM share its agent: its silence counts against each of them, else the one
        # that it does not count against gets all requests.
        for backend in asked:
            backend.apply_probe_reply(answers[self.agent_of(backend)], self.clock())

    def ready_in_s(self, service: str) -> float | None:
        """Return when half of the engines heard of a service will serve again, None if not known.

        Only those that are heard unasked tell it, 16 of 41 where there are so many.
        """
        return dispatch.half_ready_in_s(self.heard.get(service, []), self.clock())

    def engine_of(self, service_name: str) -> fleet.Engine | None:
        """Return the engine that a service's back ends run, or None for a plain service."""
        table = self.watcher.table
        service = table.services.get(service_name) if table else None
        return service.engine if service else None

    def agent_of(self, backend: backend_record.Backend) -> str:
        """Return the address of the agent beside a back end."""
        host, _ = node_settings.split_address(backend.address)
        return f"{host}:{self.settings.agent_port}"

    def occupy(self, backend: backend_record.Backend, tokens: float) -> Place:
        """Count an attempt on a back end."""
        backend.in_flight += 1
        backend.unread += 1
        backend.unread_tokens += tokens
        place = Place(backend, tokens, self.clock(), next(self.place_numbers))
        if self.engine_of(backend.service) is not None:
            place.agent = self.agent_of(backend)
        self.tell_agent(place, node_messages.AttemptStage.SENT)
        return place

    def tell_agent(self, place: Place, stage: node_messages.AttemptStage) -> None:
        """Tell the agent beside a back end how far an attempt on it is."""
        if place.agent:
            self.prober.note(place.agent, place.number, stage, place.tokens)

    def note_first(self, place: Place) -> None:
        """Note that an attempt's prompt was read."""
        if place.is_read:
            return
        place.is_read = True
        self.tell_agent(place, node_messages.AttemptStage.READ)
        now = self.clock()
        place.backend.record_first_byte_delay(now - place.started, now)
        place.backend.unread -= 1
        place.backend.unread_tokens -= place.tokens

    def release(self, place: Place) -> None:
        """Note that an attempt is over, and let a waiting request look again."""
        self.note_first(place)
        self.tell_agent(place, node_messages.AttemptStage.ENDED)
        place.backend.in_flight -= 1
        room = self.rooms.get(place.backend.service)
        if room is not None:
            room.wake()

    # Budget

    def budget(self, service: str) -> retry_budget.RetryBudget:
        """Return the budget of a service."""
        if service not in self.budgets:
            bounds = self.settings.bounds
            self.budgets[service] = retry_budget.RetryBudget(
                bounds.retry_ratio * BUDGET_SHARE, bounds.retry_window_s, FREE_REPEATS
            )
        return self.budgets[service]

    # Load

    async def subscribe(self, send: Callable[[str], None], every_s: float) -> None:
        """Ask the agents beside engines for their load, again and again."""
        while True:
            for backends in self.heard.values():
                for backend in backends:
                    with contextlib.suppress(OSError):
                        send(self.agent_of(backend))
            await asyncio.sleep(every_s)


def is_of(report: fleet.EngineReport, backend: backend_record.Backend) -> bool:
    """Return whether a report is from a back end's present life, as far as both tell it."""
    born_ms = incarnations.parse(backend.instance).born_ms
    return not born_ms or not report.born_ms or report.born_ms == born_ms
