"""The state that an entry keeps for each back end: its own attempts and the reported load.

`coordination.dispatch` chooses among back ends by these records.
"""

import dataclasses

from merlinthread.coordination import backend_availability, fleet, load_tracker

# How long a sound back end may send nothing before it continues.
SOUND_SILENCE_S = 1.4
# Age up to which a load report counts as current.
REPORT_FRESH_S = 1.0
# A change of an engine's weights is known from its heartbeats within this time: they are 1.2 s
# apart, are forwarded within 0.1 s, and a poll of a control VM ends within 1.1 s.
HEARTBEAT_CHANGE_S = 3.0
# Response time assumed before any back end of the service has responded.
DEFAULT_RESPONSE_S = 0.1
# Weight of one response in the moving average of the response time; the first ones weigh more.
RESPONSE_SMOOTHING = 0.1
# Weight of the service's mean in a back end's estimate, as a number of responses. A slow first
# response alone says little.
PRIOR_RESPONSES = 4
# An engine with up to this share of its slots in use has room for another request: that lengthens
# the steps of the others by some percent, apart from the time to read its prompt.
ROOM_SHARE = 0.5
# An engine with up to this share of its slots in use takes requests that yield to more urgent ones.
FREE_SLOTS_SHARE = 0.75
# A back end whose first byte takes longer than this counts as slow for SLOW_FOR_S.
SLOW_FIRST_S = 0.6
SLOW_FOR_S = 3.0
# Age up to which an agent's reply to a probe shows that its VM is responsive.
RESPONSIVE_WITHIN_S = 0.05
# Weight of one known load in the typical load of a service. With some 50 reports and replies a
# second, the mean follows a change of the load within half a second.
TYPICAL_LOAD_SMOOTHING = 0.05


@dataclasses.dataclass(slots=True)
class ResponseTime:
    """An exponential moving average of response times, in seconds."""

    mean_s: float = DEFAULT_RESPONSE_S
    responses: int = 0

    def record(self, response_s: float) -> None:
        """Add the response time of one response."""
        self.responses += 1
        self.mean_s += max(RESPONSE_SMOOTHING, 1.0 / self.responses) * (response_s - self.mean_s)


@dataclasses.dataclass(slots=True)
class TypicalLoad:
    """The mean load by other entries of the engines of a service whose load is known."""

    attempts: float = 0.0
    unread_tokens: float = 0.0
    samples: int = 0

    def record(self, attempts: float, unread_tokens: float) -> None:
        """Add the known load of one engine."""
        self.samples += 1
        weight = max(TYPICAL_LOAD_SMOOTHING, 1.0 / self.samples)
        self.attempts += weight * (attempts - self.attempts)
        self.unread_tokens += weight * (unread_tokens - self.unread_tokens)


@dataclasses.dataclass(slots=True)
class Backend:
    """One back end as seen by an entry; times are on the entry's clock, in seconds.

    `unread` counts this entry's attempts whose prompt has not been read yet, `unread_tokens` their
    tokens. `others` is the number of requests of other entries in the last report, `others_queued`
    how many of them were queued, and `others_unread_tokens` the tokens of their unread prompts, or
    None if unknown. `probe_unanswered` is set while the agent has not replied to the last load
    probe. `ready_at` is when usable weights are expected, or None if they are loaded or no time is
    known. `availability` outlives this record. `response_time` is the mean of this back end,
    `service_response_time` that of all back ends of its service, and `typical_load` the mean load
    of the service's engines. `accepted_at` is when the last request that it accepted was sent,
    `rejected_at` when it last refused or failed one. `silent_at` is when it was last found silent
    and has not continued since. `trials` counts the attempts in flight that were sent while it was
    doubtful. `others_unread_by_urgency` is of the last reply to a probe, and empty if requests do
    not differ in urgency. `region` is None if the settings name no region of its zone.
    `is_evacuated` is set while its zone is evacuated. `weights_at` is when the state of `weights`
    was received, from its agent or by a control VM.
    """

    instance: str
    service: str
    address: str
    zone: str
    distance: int
    slots: int
    is_draining: bool = False
    is_evacuated: bool = False
    cold_until: float = 0.0
    weights: list[fleet.Weights] = dataclasses.field(default_factory=list)
    weights_at: float = float("-inf")
    in_flight: int = 0
    unread: int = 0
    unread_tokens: float = 0.0
    others: int = 0
    others_queued: int = 0
    others_unread_tokens: float | None = None
    others_unread_by_urgency: list[load_tracker.UnreadPrompts] = dataclasses.field(
        default_factory=list
    )
    own_unread_by_urgency: dict[int, load_tracker.UnreadPrompts] = dataclasses.field(
        default_factory=dict
    )
    pace: float = 1.0
    probe_unanswered: bool = False
    probe_replied_at: float = float("-inf")
    is_busy: bool = False
    reported_at: float = float("-inf")
    failures: int = 0
    ejected_until: float = float("-inf")
    silences: int = 0
    silent_at: float = float("-inf")
    silent_until: float = float("-inf")
    full_until: float = float("-inf")
    slow_until: float = float("-inf")
    accepted_at: float = float("-inf")
    rejected_at: float = float("-inf")
    trials: int = 0
    service_response_time: ResponseTime = dataclasses.field(default_factory=ResponseTime)
    response_time: ResponseTime = dataclasses.field(default_factory=ResponseTime)
    typical_load: TypicalLoad = dataclasses.field(default_factory=TypicalLoad)
    ready_at: float | None = None
    missing_since: float | None = None
    region: str | None = None
    availability: backend_availability.Availability = dataclasses.field(
        default_factory=backend_availability.Availability
    )

    def is_out_of_use(self) -> bool:
        """Return whether it gets no requests, for a time that this entry does not know."""
        return self.is_draining or self.is_evacuated

    def expected_response_s(self) -> float:
        """Return the expected response time of a request, in seconds.

        Blend the back end's own mean with that of its service until it has responded to enough
        requests. Otherwise a slow first response could keep it from getting further requests.
        """
        weight = self.response_time.responses / (PRIOR_RESPONSES + self.response_time.responses)
        return self.service_response_time.mean_s + weight * (
            self.response_time.mean_s - self.service_response_time.mean_s
        )

    def load(self, now: float) -> float:
        """Return the number of requests known or expected to be running or queued."""
        return self.in_flight + self.others_load(now)

    def is_load_known(self, now: float) -> bool:
        """Return whether the load of other entries is current and its agent replies to probes."""
        return self.has_fresh_load(now) and not self.probe_unanswered

    def others_load(self, now: float) -> float:
        """Return the number of other entries' requests.

        An engine of which nothing is heard is not idle: all entries would send to it at once. Its
        load is expected to be that of the other engines, or the last known one if that is higher.
        """
        known = self.others if self.has_fresh_load(now) else 0
        if self.is_load_known(now):
            return known
        return max(known, self.typical_load.attempts)

    def count_own_unread(self, urgency: int, attempts: int, tokens: float) -> None:
        """Add unread prompts of this entry, or remove them with negative numbers."""
        unread = self.own_unread_by_urgency.setdefault(urgency, load_tracker.UnreadPrompts(urgency))
        unread.attempts += attempts
        unread.tokens += tokens
        if unread.attempts <= 0:
            del self.own_unread_by_urgency[urgency]

    def less_urgent_unread(self, urgency: int, now: float) -> load_tracker.UnreadPrompts:
        """Return the known unread prompts that are less urgent than `urgency`, as one sum.

        The engine admits a request of `urgency` before those that still wait for a slot.
        """
        found = load_tracker.UnreadPrompts(urgency)
        others = self.others_unread_by_urgency if self.has_fresh_load(now) else []
        for unread in [*self.own_unread_by_urgency.values(), *others]:
            if unread.urgency > urgency:
                found.attempts += unread.attempts
                found.tokens += unread.tokens
        return found

    def has_room(self, now: float) -> bool:
        """Return whether slots are known to be free and no prompt is unread."""
        if not self.has_fresh_load(now) or self.load(now) > ROOM_SHARE * self.slots:
            return False
        unread = self.unread_tokens + (self.others_unread_tokens or 0.0)
        return unread == 0 and not self.others_queued

    def has_free_slots(self, now: float) -> bool:
        """Return whether so many slots are known to be free that urgent requests find one too."""
        return self.is_load_known(now) and self.load(now) <= FREE_SLOTS_SHARE * self.slots

    def has_slots_for(self, count: int, now: float) -> bool:
        """Return whether slots are known to be free for that many requests."""
        return self.is_load_known(now) and self.load(now) + count <= self.slots

    def has_fresh_load(self, now: float) -> bool:
        """Return whether the load of other entries is known from a current report."""
        return now - self.load_updated_at() <= REPORT_FRESH_S

    def load_updated_at(self) -> float:
        """Return when the load was last updated by a report or a probe."""
        return max(self.reported_at, self.probe_replied_at)

    def has_stale_reports(self, now: float) -> bool:
        """Return whether reports have stopped arriving; the VM may be hung."""
        return self.reported_at > float("-inf") and not self.has_fresh_load(now)

    def is_changing(self, now: float) -> bool:
        """Return whether the engine is known to be changing its weights.

        Without reports, a probe's reply counts only while it is current: otherwise the engine
        would never be probed again.
        """
        has_reports = self.reported_at > float("-inf")
        return self.is_busy and (has_reports or self.has_fresh_load(now))

    def is_ejected(self, now: float) -> bool:
        """Return whether the back end failed or was silent lately and is only a last resort."""
        return self.has_failed(now) or now < self.silent_until

    def has_failed(self, now: float) -> bool:
        """Return whether the back end is ejected after a failure."""
        return now < self.ejected_until

    def is_accepting(self) -> bool:
        """Return whether it accepted a request sent after its last refusal, failure or silence."""
        return self.accepted_at > max(self.rejected_at, self.silent_at)

    def is_doubtful(self) -> bool:
        """Return whether it has refused or failed a request and accepted none since."""
        has_rejected = max(self.rejected_at, self.silent_at) > float("-inf")
        return has_rejected and not self.is_accepting()

    def has_trial(self) -> bool:
        """Return whether it is doubtful and an attempt in flight will tell whether it accepts."""
        return self.is_doubtful() and self.trials > 0

    def is_responsive(self, now: float) -> bool:
        """Return whether a request sent now is expected to arrive without delay."""
        return now >= self.slow_until and now - self.probe_replied_at <= RESPONSIVE_WITHIN_S

    def record_first_byte_delay(self, took_s: float, now: float) -> None:
        """Record how long an attempt waited for its first byte, or ended without one."""
        if took_s > SLOW_FIRST_S:
            self.slow_until = now + SLOW_FOR_S

    def apply_report(
        self,
        report: fleet.EngineReport,
        now: float,
        others: load_tracker.Outstanding | None = None,
    ) -> None:
        """Apply a report of load and weights, and the agent's count of other entries' attempts."""
        total = report.running + report.queued
        self.others = max(0, total - self.in_flight)
        self.others_queued = max(0, report.queued - self.unread)
        self.others_unread_tokens = None
        if others is not None:
            self.others = others.attempts
            self.others_unread_tokens = others.unread_tokens
        self.pace = max(1.0, report.pace)
        self.probe_unanswered = False
        self.is_busy = report.is_busy
        self.weights = report.weights
        self.weights_at = now
        self.ready_at = None if report.ready_in_s is None else now + report.ready_in_s
        self.reported_at = now
        if others is not None:
            self.typical_load.record(others.attempts, others.unread_tokens)

    def apply_heartbeat_weights(
        self, weights: list[fleet.Weights], heard_at: float, now: float
    ) -> None:
        """Apply the weights in a heartbeat that a control VM received at `heard_at`.

        An agent's report is newer than the heartbeats before it, also once it is no longer fresh.
        Control VMs do not tell an unchanged heartbeat again, so that its weights count again after
        HEARTBEAT_CHANGE_S.
        """
        if now - self.reported_at <= REPORT_FRESH_S:
            return
        if heard_at < self.weights_at and now - self.weights_at <= HEARTBEAT_CHANGE_S:
            return
        self.weights = weights
        self.weights_at = heard_at

    def apply_probe_reply(self, reply: load_tracker.EngineLoad | None, now: float) -> None:
        """Apply the reply to a load probe; None means that the probe timed out."""
        self.probe_unanswered = reply is None
        if reply is not None:
            self.others = reply.others.attempts
            self.others_unread_tokens = reply.others.unread_tokens
            self.others_unread_by_urgency = reply.unread_by_urgency
            self.is_busy = reply.is_busy
            self.pace = max(1.0, reply.pace)
            self.probe_replied_at = now
            self.typical_load.record(reply.others.attempts, reply.others.unread_tokens)

    def stop_reports(self) -> None:
        """Discard the report state after unsubscribing, so that missing reports cost nothing."""
        self.reported_at = float("-inf")
        self.ready_at = None

    def version_of(self, model: str, layers: int) -> int:
        """Return the highest fully loaded version of a model's weights, or 0."""
        versions = [
            loaded.version
            for loaded in self.weights
            if loaded.model == model and loaded.is_whole(layers)
        ]
        return max(versions, default=0)
