"""The back ends of an entry: what is known of each, its connections, and who waits for a place."""

import asyncio
import contextlib
import dataclasses
import itertools
import random
from collections.abc import Callable

from merlinthread import errors, logs
from merlinthread.coordination import (
    change_over,
    dispatch,
    fleet,
    incarnations,
    load_feed,
    retry_budget,
    return_times,
    route_table,
    waiting_room,
)
from merlinthread.nodes import crash_watch, load_prober, news_watcher, node_settings
from merlinthread.protocol import node_messages
from merlinthread.transport import http_messages, stream_client

KEEP_S = 20.0
CONNECT_TIMEOUT_S = 0.3
# A second opening packet follows when there is no answer for so long: more than ten times the way
# there and back between regions (1 to 6 ms), a fifth of the shortest objective on the sheets known
# (0.2 s). Of 2,428 requests of a busy day about 30 met no connection
# within 0.3 s (its twin, from entries' logs; why was not traced).
CONNECT_AGAIN_S = 0.06
USER_TIMEOUT_S = 2.0
UNSAFE_IDLE_S_MAX = 1.0
SAFE_IDLE_S_MAX = 20.0
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
# When to come back to a node that may not know the newest configuration: it finds another control
# VM within 1.1 s (`news_watcher.WATCH_TIMEOUT_S`); a group without a leader elects one in 1.5 s.
UNSURE_WAIT_S = 1.0
# From this long before the bound, the old version is used only where requests arrive promptly.
VERSION_SOON_S = 2.5


@dataclasses.dataclass(slots=True)
class Place:
    """An attempt on a back end, with the tokens of its prompt and whether they were read.

    `agent` is where it is noted, if an agent stands beside the back end.
    """

    backend: dispatch.Backend
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
    ) -> None:
        self.settings = settings
        self.prober = prober
        self.crashes = crashes
        self.watcher = watcher
        self.clock = clock
        self.rng = rng
        self.return_way = return_times.WAYS.get(settings.policy.returns)
        self.backends: dict[str, dispatch.Backend] = {}
        self.by_service: dict[str, list[dispatch.Backend]] = {}
        self.by_address: dict[str, dispatch.Backend] = {}
        self.heard: dict[str, list[dispatch.Backend]] = {}
        self.rooms: dict[str, waiting_room.WaitingRoom] = {}
        self.budgets: dict[str, retry_budget.RetryBudget] = {}
        self.place_numbers = itertools.count(1)
        self.connections = stream_client.Pool(KEEP_S, CONNECT_TIMEOUT_S, USER_TIMEOUT_S)

    # What is known

    def update(self) -> None:
        """Take over what the control VMs tell of back ends."""
        for instance in set(self.backends) - set(self.watcher.instances):
            self.connections.drop(instance)
            del self.backends[instance]
        for instance, heartbeat in self.watcher.instances.items():
            self.update_one(instance, heartbeat)
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
            service: load_feed.heard_engines(self.settings.name, backends)
            for service, backends in self.by_service.items()
            if self.engine_of(service) is not None
        }
        kept = {backend.instance for heard in self.heard.values() for backend in heard}
        for heard in before.values():
            for backend in heard:
                if backend.instance not in kept:
                    backend.stop_hearing()

    def update_one(self, instance: str, heartbeat: fleet.Heartbeat) -> None:
        """Take over one back end."""
        backend = self.backends.get(instance)
        if backend is None:
            backend = dispatch.Backend(
                instance,
                heartbeat.service,
                heartbeat.address,
                heartbeat.zone,
                self.settings.distance(heartbeat.zone),
                heartbeat.slots,
            )
            self.backends[instance] = backend
        backend.slots = heartbeat.slots
        backend.is_draining = heartbeat.state != fleet.READY
        backend.cold_until = self.watcher.cold_until.get(instance, 0.0)
        if self.clock() - backend.reported_at > dispatch.REPORT_FRESH_S:
            backend.weights = heartbeat.weights

    def take_load(self, load: node_messages.Load) -> None:
        """Take an agent's report of its engine."""
        backend = self.by_address.get(load.address)
        if backend is None or not is_of(load.report, backend):
            return
        backend.take_report(load.report, self.clock(), load.others)
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
        bound_s = self.settings.bounds.version_s - change_over.LEAVE_S
        return self.watcher.version_due(model, now, bound_s)

    def version_soon(self, model: str, now: float) -> int:
        """Return the newest version of a model's weights that is due soon, or 0."""
        return self.watcher.version_due(model, now, self.settings.bounds.version_s - VERSION_SOON_S)

    def held_version(self, backend: dispatch.Backend, model: str) -> int:
        """Return the version of a model's weights that a back end holds whole, or 0."""
        engine = self.engine_of(backend.service)
        return backend.version_of(model, engine.layers) if engine is not None else 0

    def begin_by(self, backend: dispatch.Backend, model: str) -> float:
        """Return by when an attempt on a back end must have begun with the weights it holds."""
        if not model or self.engine_of(backend.service) is None:
            return float("inf")
        held = self.held_version(backend, model)
        bound_s = self.settings.bounds.version_s - BEGIN_MARGIN_S
        return self.watcher.usable_until(model, held, bound_s)

    # Places

    def room(self, service: str) -> waiting_room.WaitingRoom:
        """Return the waiting room of a service."""
        return self.rooms.setdefault(service, waiting_room.WaitingRoom())

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
        choice = dispatch.best_of(asked, demand, engine, self.clock())
        if choice is not None and choice.wait_s <= wait_s_max:
            return choice
        others = self.unheard(backends, heard)
        asked = dispatch.shortlist(others, demand, engine, self.clock(), self.rng, PROBED)
        await self.ask_loads(asked)
        known = [*heard, *(backend for backend in asked if not backend.is_silent)]
        # Of one that is not heard and does not answer nothing is known: it is the last resort.
        choice = dispatch.best_of(known, demand, engine, self.clock())
        return choice or dispatch.best_of(asked, demand, engine, self.clock())

    def unheard(
        self, backends: list[dispatch.Backend], heard: list[dispatch.Backend]
    ) -> list[dispatch.Backend]:
        """Return the engines whose load this entry does not hear unasked."""
        if len(heard) == len(backends):
            return []
        known = {backend.instance for backend in heard}
        return [backend for backend in backends if backend.instance not in known]

    async def ask_loads(self, asked: list[dispatch.Backend]) -> None:
        """Ask the agents beside some engines what other entries have there now."""
        agents = {self.agent_of(backend): backend for backend in asked}
        answers = await self.prober.ask(list(agents), PROBE_WAIT_S)
        for agent, backend in agents.items():
            backend.take_answer(answers[agent], self.clock())

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

    def agent_of(self, backend: dispatch.Backend) -> str:
        """Return the address of the agent beside a back end."""
        host, _ = node_settings.split_address(backend.address)
        return f"{host}:{self.settings.agent_port}"

    def occupy(self, backend: dispatch.Backend, tokens: float) -> Place:
        """Count an attempt on a back end."""
        backend.in_flight += 1
        backend.unread += 1
        backend.unread_tokens += tokens
        place = Place(backend, tokens, self.clock(), next(self.place_numbers))
        if self.engine_of(backend.service) is not None:
            place.agent = self.agent_of(backend)
        self.tell_agent(place, node_messages.Stage.SENT)
        return place

    def tell_agent(self, place: Place, stage: node_messages.Stage) -> None:
        """Tell the agent beside a back end how far an attempt on it is."""
        if place.agent:
            self.prober.note(place.agent, place.number, stage, place.tokens)

    def note_first(self, place: Place) -> None:
        """Note that an attempt's prompt was read."""
        if place.is_read:
            return
        place.is_read = True
        self.tell_agent(place, node_messages.Stage.READ)
        now = self.clock()
        place.backend.note_first(now - place.started, now)
        place.backend.unread -= 1
        place.backend.unread_tokens -= place.tokens

    def release(self, place: Place) -> None:
        """Note that an attempt is over, and let a waiting request look again."""
        self.note_first(place)
        self.tell_agent(place, node_messages.Stage.ENDED)
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

    # Connections

    async def connect(
        self, backend: dispatch.Backend, may_repeat: bool
    ) -> stream_client.ClientConnection:
        """Return a connection to a back end; raise UnreachableError, nothing was sent then.

        A request that may run only once does not use a connection that rested for long: its server
        may be closing it just now.
        """
        idle_s = SAFE_IDLE_S_MAX if may_repeat else UNSAFE_IDLE_S_MAX
        kept = self.connections.take(backend.instance, self.clock(), idle_s)
        if kept is not None:
            return kept
        return await stream_client.connect_twice(
            backend.address, CONNECT_AGAIN_S, CONNECT_TIMEOUT_S, USER_TIMEOUT_S
        )

    def give_back(
        self,
        backend: dispatch.Backend,
        connection: stream_client.ClientConnection,
        headers: http_messages.Headers,
    ) -> None:
        """Keep a connection for the next request."""
        keep_s = stream_client.kept_for(headers, KEEP_S)
        self.connections.give_back(backend.instance, connection, self.clock(), keep_s)

    async def subscribe(self, send: Callable[[str], None], every_s: float) -> None:
        """Ask the agents beside engines for their load, again and again."""
        while True:
            for backends in self.heard.values():
                for backend in backends:
                    with contextlib.suppress(OSError):
                        send(self.agent_of(backend))
            await asyncio.sleep(every_s)


def is_of(report: fleet.EngineReport, backend: dispatch.Backend) -> bool:
    """Return whether a report is from a back end's present life, as far as both tell it."""
    born_ms = incarnations.parse(backend.instance).born_ms
    return not born_ms or not report.born_ms or report.born_ms == born_ms


def find_route(
    table: route_table.RouteTable | None,
    call: fleet.Call,
    is_newest: bool,
    restart_wait_s: float,
) -> tuple[fleet.Route, fleet.Account | None]:
    """Return a call's route and account; raise RequestError with the kind of refusal.

    `restart_wait_s` is when to come back to a node that knows no configuration yet. Unless `table`
    surely is the newest one, a newer one may allow what it does not: the call is refused as not
    run, for now.
    """
    if table is None:
        raise errors.RequestError(
            "no configuration is known here yet",
            kind=errors.ErrorKind.NO_TARGET,
            retry_after_s=restart_wait_s,
        )
    path = call.path.decode("latin-1").split("?")[0]
    route = table.find(call.host, path)
    if route is None:
        raise not_allowed(
            f"no route for {call.host}{path}", errors.ErrorKind.UNKNOWN_ROUTE, is_newest
        )
    account = table.account_of(call.key) if call.key else None
    if table.has_accounts and not route.is_public and account is None:
        logs.detail("key_unknown", request=call.request_id)
        raise not_allowed("the key is unknown", errors.ErrorKind.UNAUTHORISED, is_newest)
    return route, account


def not_allowed(message: str, kind: errors.ErrorKind, is_newest: bool) -> errors.RequestError:
    """Return the refusal of what the configuration held does not allow."""
    if is_newest:
        return errors.RequestError(message, kind=kind)
    return errors.RequestError(
        f"{message} in a configuration that may not be the newest",
        kind=errors.ErrorKind.NO_MAJORITY,
        retry_after_s=UNSURE_WAIT_S,
    )
