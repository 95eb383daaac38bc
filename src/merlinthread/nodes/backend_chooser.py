"""The choice of a back end among those of a service, after probes of engines' agents."""

from merlinthread.coordination import admission, backend_record, dispatch
from merlinthread.nodes import backend_pool

# Agents probed for one choice, and the timeout for their replies.
PROBE_AGENTS = 2
PROBE_TIMEOUT_S = 0.015


class BackendChooser:
    """Chooses among the back ends of `pool`, by what each request requires."""

    def __init__(self, pool: backend_pool.BackendPool) -> None:
        self.pool = pool
        self.clock = pool.clock

    async def choose(
        self, requirements: dispatch.Requirements, wait_s_max: float
    ) -> dispatch.Choice | None:
        """Choose a back end, if possible with an expected wait of at most `wait_s_max` seconds.

        For engines, probe the best few first, since other entries may have sent requests since the
        last load reports. If none of the subscribed engines is good enough, probe some others.
        """
        engine = self.pool.engine_of(requirements.service)
        backends = self.pool.backends_by_service.get(requirements.service, [])
        if engine is None or not self.pool.settings.agent_port:
            return dispatch.choose(
                backends, requirements, engine, self.clock(), self.pool.rng, wait_s_max
            )
        subscribed = self.pool.subscribed.get(requirements.service, [])
        probed = dispatch.shortlist(
            subscribed, requirements, engine, self.clock(), self.pool.rng, PROBE_AGENTS
        )
        await self.probe(probed, requirements)
        choice = dispatch.choose_best(probed, requirements, engine, self.clock())
        if choice is not None and choice.wait_s <= admission.wait_limit_s(
            wait_s_max, choice.is_over_share
        ):
            return choice
        others = self.unsubscribed(backends, subscribed)
        probed = dispatch.shortlist(
            others, requirements, engine, self.clock(), self.pool.rng, PROBE_AGENTS
        )
        await self.probe(probed, requirements)
        known = [*subscribed, *(backend for backend in probed if not backend.probe_unanswered)]
        # Unsubscribed engines that did not reply to the probe are the last resort.
        choice = dispatch.choose_best(known, requirements, engine, self.clock(), wait_s_max)
        return choice or dispatch.choose_best(probed, requirements, engine, self.clock())

    def evaluate(
        self, backend: backend_record.Backend, requirements: dispatch.Requirements
    ) -> dispatch.Choice:
        """Return the choice of a given back end, with its expected wait."""
        engine = self.pool.engine_of(requirements.service)
        return dispatch.evaluate(backend, requirements, engine, self.clock())

    def unsubscribed(
        self, backends: list[backend_record.Backend], subscribed: list[backend_record.Backend]
    ) -> list[backend_record.Backend]:
        """Return the engines whose load reports this entry does not subscribe to."""
        if len(subscribed) == len(backends):
            return []
        known = {backend.instance for backend in subscribed}
        return [backend for backend in backends if backend.instance not in known]

    async def probe(
        self, probed: list[backend_record.Backend], requirements: dispatch.Requirements
    ) -> None:
        """Probe engines for their load, and the shares of the account, through their agents."""
        agents = list({self.pool.agent_of(backend): None for backend in probed})
        asked_tokens = requirements.asked_tokens if agents else 0.0
        requirements.asked_tokens -= asked_tokens
        replies = await self.pool.prober.query(
            agents, PROBE_TIMEOUT_S, requirements.account, asked_tokens, requirements.urgency
        )
        # Engines on one VM share an agent. Its timeout must count against all of them; otherwise
        # an engine without the penalty would get all requests.
        for backend in probed:
            reply = replies[self.pool.agent_of(backend)]
            self.pool.apply_probe_reply(backend, reply)
            if reply is not None:
                requirements.over_share[backend.instance] = reply.is_over_share

    def permit_candidates(
        self, requirements: dispatch.Requirements
    ) -> list[backend_record.Backend]:
        """Return the back ends that could take an attempt with a permit, best first.

        The list is empty if a back end could take it without a permit.
        """
        engine = self.pool.engine_of(requirements.service)
        backends = self.pool.backends_by_service.get(requirements.service, [])
        return dispatch.permit_candidates(backends, requirements, engine, self.clock())

    def cold_candidates(self, requirements: dispatch.Requirements) -> list[dispatch.Choice]:
        """Return the cold back ends that lack only a permit of their agent, the soonest first."""
        engine = self.pool.engine_of(requirements.service)
        backends = self.pool.backends_by_service.get(requirements.service, [])
        return dispatch.cold_candidates(backends, requirements, engine, self.clock())
