"""The load that an entry's open attempts add to back ends, also as their agents count it."""

import dataclasses
import itertools
from collections.abc import Callable

from merlinthread.coordination import backend_record
from merlinthread.nodes import load_prober
from merlinthread.protocol import node_messages


@dataclasses.dataclass(slots=True)
class Reservation:
    """The load that an attempt adds to a back end.

    `tokens` is the length of its prompt, and `is_read` whether the prompt has been read. `agent` is
    the address of the agent that counts the attempt, or empty if the back end has none. `is_trial`
    is set if the back end was doubtful when the attempt began. `urgency` is None if the requests of
    the service do not differ in it. `account` and `cost_tokens` are the client account and the
    expected tokens of prompt and response. `has_permit` is set if the agent granted a permit for
    it.
    """

    backend: backend_record.Backend
    tokens: float
    started_at: float
    number: int = 0
    agent: str = ""
    is_read: bool = False
    is_trial: bool = False
    urgency: int | None = None
    account: str = ""
    cost_tokens: float = 0.0
    has_permit: bool = False


class Reservations:
    """Adds reservations to back ends, and notifies their agents of each stage."""

    def __init__(self, prober: load_prober.LoadProber, clock: Callable[[], float]) -> None:
        self.prober = prober
        self.clock = clock
        self.numbers = itertools.count(1)

    def add(self, reservation: Reservation) -> None:
        """Number a reservation and add it to its back end's load."""
        backend = reservation.backend
        reservation.number = next(self.numbers)
        backend.in_flight += 1
        backend.unread += 1
        backend.unread_tokens += reservation.tokens
        if reservation.urgency is not None:
            backend.count_own_unread(reservation.urgency, 1, reservation.tokens)
        if backend.is_doubtful():
            reservation.is_trial = True
            backend.trials += 1
        self.notify_agent(reservation, node_messages.AttemptStage.SENT)

    def record_prompt_read(self, reservation: Reservation) -> None:
        """Record that an attempt's prompt has been read; repeated calls have no effect."""
        if reservation.is_read:
            return
        reservation.is_read = True
        self.notify_agent(reservation, node_messages.AttemptStage.READ)
        backend, now = reservation.backend, self.clock()
        backend.record_first_byte_delay(now - reservation.started_at, now)
        backend.unread -= 1
        backend.unread_tokens -= reservation.tokens
        if reservation.urgency is not None:
            backend.count_own_unread(reservation.urgency, -1, -reservation.tokens)

    def remove(self, reservation: Reservation) -> None:
        """Remove an ended attempt from its back end's load."""
        self.record_prompt_read(reservation)
        self.notify_agent(reservation, node_messages.AttemptStage.ENDED)
        reservation.backend.in_flight -= 1
        if reservation.is_trial:
            reservation.backend.trials -= 1

    def notify_agent(self, reservation: Reservation, stage: node_messages.AttemptStage) -> None:
        """Notify the back end's agent, if any, of the stage that an attempt has reached."""
        if reservation.agent:
            self.prober.send_notice(
                reservation.agent,
                reservation.number,
                stage,
                reservation.tokens,
                reservation.urgency,
                reservation.account,
                reservation.cost_tokens,
                reservation.has_permit,
            )
