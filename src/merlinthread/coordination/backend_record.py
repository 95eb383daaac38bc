"""What an entry knows of one back end: its own attempts there, and what agents and answers told.

Which back end an attempt goes to is decided over these records in `coordination.dispatch`.
"""

import dataclasses

from merlinthread.coordination import backend_signals, fleet, load_ledger

# How long what an agent told of its engine's load holds.
REPORT_FRESH_S = 1.0
# What a request is taken to need where no back end of the service has answered one yet.
USUAL_WORK_S = 0.1
# Weight of one answer in what a plain back end is taken to need; the first ones weigh more.
WORK_SMOOTHING = 0.1
# What the whole service needs counts as so many answers of a back end that has started: a first one
# that took long says little.
GUESS_ANSWERS = 4
# An engine with up to this share of its slots in use has room: one more request costs the others a
# longer step of some hundredths, and its own prompt's reading.
ROOM_SHARE = 0.5
# A first byte later than this after sending tells that requests reach the back end late.
SLOW_FIRST_S = 0.6
SLOW_FOR_S = 3.0
# An agent that answered this long ago shows that requests reach its VM now.
PROMPT_ANSWER_S = 0.05


@dataclasses.dataclass(slots=True)
class ResponseTime:
    """How long answers took, in the mean of the last ones, in seconds."""

    mean_s: float = USUAL_WORK_S
    answers: int = 0

    def note(self, work_s: float) -> None:
        """Take an answer in."""
        self.answers += 1
        self.mean_s += max(WORK_SMOOTHING, 1.0 / self.answers) * (work_s - self.mean_s)


@dataclasses.dataclass(slots=True)
class Backend:
    """One back end as an entry sees it; times are those of the entry's clock.

    `unread` counts this entry's attempts whose prompt is still to be read, `unread_tokens` their
    tokens. `others` is the load that is not this entry's own, as of the last report, and
    `others_queued` the part of it that waited for a slot; `others_unread_tokens` are the tokens of
    others' prompts that were still to be read, None if its agent does not know. `is_silent` is set
    while its agent has not answered the last question. `ready_at` is when it will hold weights that
    may be used, None if it does or if its agent can't tell. `standing` is what it said of itself,
    which outlives this record. `work` is how long its own answers took, `usual` how long those of
    all back ends of its service did.
    """

    instance: str
    service: str
    address: str
    zone: str
    distance: int
    slots: int
    is_draining: bool = False
    cold_until: float = 0.0
    weights: list[fleet.Weights] = dataclasses.field(default_factory=list)
    in_flight: int = 0
    unread: int = 0
    unread_tokens: float = 0.0
    others: int = 0
    others_queued: int = 0
    others_unread_tokens: float | None = None
    pace: float = 1.0
    probe_unanswered: bool = False
    answered_at: float = float("-inf")
    is_busy: bool = False
    reported_at: float = float("-inf")
    failures: int = 0
    ejected_until: float = float("-inf")
    full_until: float = float("-inf")
    slow_until: float = float("-inf")
    service_response_time: ResponseTime = dataclasses.field(default_factory=ResponseTime)
    response_time: ResponseTime = dataclasses.field(default_factory=ResponseTime)
    ready_at: float | None = None
    missing_since: float | None = None
    availability: backend_signals.Availability = dataclasses.field(
        default_factory=backend_signals.Availability
    )

    def expected_response_s(self) -> float:
        """Return how long a request is taken to need there.

        Of one that has answered little that is what the others of its service need: with a guess
        that is too long it would look slower than they are, idle as it is, and get nothing by which
        to learn better.
        """
        weight = self.response_time.answers / (GUESS_ANSWERS + self.response_time.answers)
        return self.service_response_time.mean_s + weight * (
            self.response_time.mean_s - self.service_response_time.mean_s
        )

    def load(self, now: float) -> int:
        """Return how many requests run or wait there."""
        return self.in_flight + (self.others if self.has_fresh_load(now) else 0)

    def has_room(self, now: float) -> bool:
        """Return whether it surely has places to spare and no prompt waits to be read there."""
        if not self.has_fresh_load(now) or self.load(now) > ROOM_SHARE * self.slots:
            return False
        unread = self.unread_tokens + (self.others_unread_tokens or 0.0)
        return unread == 0 and not self.others_queued

    def has_fresh_load(self, now: float) -> bool:
        """Return whether a fresh report tells of the requests of other entries."""
        return now - self.load_updated_at() <= REPORT_FRESH_S

    def load_updated_at(self) -> float:
        """Return when its agent last told its load, in a report or an answer."""
        return max(self.reported_at, self.answered_at)

    def has_stale_reports(self, now: float) -> bool:
        """Return whether reports came once and come no more: its machine may stand still."""
        return self.reported_at > float("-inf") and not self.has_fresh_load(now)

    def is_changing(self, now: float) -> bool:
        """Return whether it is changing its weights, as far as known.

        Of an engine that is only asked now and then that is known for as long as its answer is
        fresh; it would never be asked again otherwise.
        """
        is_heard = self.reported_at > float("-inf")
        return self.is_busy and (is_heard or self.has_fresh_load(now))

    def is_ejected(self, now: float) -> bool:
        """Return whether it has just failed, so that others are tried before it."""
        return now < self.ejected_until

    def is_responsive(self, now: float) -> bool:
        """Return whether a request sent now surely reaches it soon: its agent has just answered."""
        return now >= self.slow_until and now - self.answered_at <= PROMPT_ANSWER_S

    def record_first_byte_delay(self, took_s: float, now: float) -> None:
        """Note how long an attempt waited for its first byte, or for its end without one."""
        if took_s > SLOW_FIRST_S:
            self.slow_until = now + SLOW_FOR_S

    def apply_report(
        self,
        report: fleet.EngineReport,
        now: float,
        others: load_ledger.Outstanding | None = None,
    ) -> None:
        """Take a fresh report of its load and weights, and its agent's account of the others."""
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
        self.ready_at = None if report.ready_in_s is None else now + report.ready_in_s
        self.reported_at = now

    def apply_probe_answer(self, answer: load_ledger.EngineLoad | None, now: float) -> None:
        """Take its agent's answer to a question, or note that there was none."""
        self.probe_unanswered = answer is None
        if answer is not None:
            self.others = answer.others.attempts
            self.others_unread_tokens = answer.others.unread_tokens
            self.is_busy = answer.is_busy
            self.pace = max(1.0, answer.pace)
            self.answered_at = now

    def stop_reports(self) -> None:
        """Note that its agent is no longer asked to tell its load: silence means nothing then."""
        self.reported_at = float("-inf")
        self.ready_at = None

    def version_of(self, model: str, layers: int) -> int:
        """Return the version of a model's weights that it holds whole, or 0."""
        whole = [
            held.version for held in self.weights if held.model == model and held.is_whole(layers)
        ]
        return max(whole, default=0)
