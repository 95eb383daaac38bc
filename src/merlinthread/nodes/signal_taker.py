"""Takes in what back ends say of themselves in their answers: keeps it, logs it, counts it."""

from collections.abc import Callable, Collection

from merlinthread import logs, metrics
from merlinthread.coordination import backend_availability, limit_table
from merlinthread.nodes import limit_teller

# Names of headers that are remembered; a back end may make up any number of them.
UNREAD_MAX = 64


class SignalTaker:
    """One entry's account; `teller` tells the other entries what concerns them."""

    def __init__(
        self,
        signals: backend_availability.AvailabilityTable,
        teller: limit_teller.LimitTeller,
        clock: Callable[[], float],
    ) -> None:
        self.signals = signals
        self.teller = teller
        self.clock = clock
        self.unread: set[str] = set()

    def note_unread(self, names: Collection[str], instance: str, request_id: str) -> None:
        """Note headers of an answer that nobody here reads, each name once.

        What back ends begin to say may bind all VMs: an operator learns of it here first.
        """
        for name in sorted(set(names) - self.unread):
            if len(self.unread) >= UNREAD_MAX:
                return
            self.unread.add(name)
            metrics.unread_words.set(len(self.unread))
            logs.event("answer_word_unread", header=name, instance=instance, request=request_id)

    def note_leaving(self, instance: str, request_id: str) -> None:
        """Note that a back end says that it leaves: it gets nothing more from here.

        Other VMs are not told. Each hears it with its own first answer, which is still served; a
        word that was wrong would take the back end from all of them for the rest of its life.
        """
        availability = self.signals.availability_of(instance)
        if availability.record_leaving(backend_availability.LeavingSource.ANSWER, self.clock()):
            logs.event("backend_leaves", instance=instance, request=request_id)
            self.count()

    def note_rest(self, instance: str, rest_s: float, request_id: str) -> None:
        """Note that a back end turned a request away and wants nothing for `rest_s`.

        It turns all away, so it has nothing to do and looks best of all: left alone for a moment
        only it drew half of an entry's attempts while four others had room.
        """
        if rest_s > 0 and self.signals.availability_of(instance).record_rest(rest_s, self.clock()):
            logs.event("backend_rests", instance=instance, rest_s=rest_s, request=request_id)
            self.count()

    def note_limit(
        self, instance: str, per_s: float | None, sent_at: float, request_id: str
    ) -> None:
        """Note how many requests a second a back end says that it takes, None if it names no limit.

        `sent_at` is when the request was sent that it answers. What changes is told to the other
        entries, through the control VMs.
        """
        availability = self.signals.availability_of(instance)
        before = availability.limit_per_s
        if not availability.record_limit(per_s, sent_at, self.clock()):
            return
        logs.event(
            "backend_limit", instance=instance, per_s=per_s, before=before, request=request_id
        )
        self.teller.tell(limit_table.LimitReport(instance, per_s, 0.0))
        self.count()

    def count(self) -> None:
        """Set the figures of back ends that take nothing, or only so much, for operators."""
        metrics.backends_closed.labels("resting").set(self.signals.count_resting(self.clock()))
        metrics.backends_closed.labels("leaving").set(self.signals.count_leaving())
        metrics.backends_limited.set(self.signals.count_limited())
