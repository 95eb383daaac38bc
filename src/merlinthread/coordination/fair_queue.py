"""A fair queue for one engine: each account gets its weight's part of the tokens, no more is idle.

Virtual token counters after "Fairness in Serving Large Language Models" (Sheng et al., 2024): the
account with the least service for its weight goes next; one that comes back after idling starts at
the least counter among the waiting, so it can't claim the past. Service is charged when known: the
prompt at the start, each generated token as it comes.
"""

import collections
import dataclasses

from merlinthread import errors


@dataclasses.dataclass(slots=True)
class QueuedRequest:
    """One waiting or running request; tokens are estimates until it runs."""

    id: str
    account: str
    priority: int
    prompt_tokens: int
    output_tokens: int
    arrived_at: float
    charged: float = 0.0

    def tokens(self) -> int:
        """Return what the whole request is expected to cost."""
        return self.prompt_tokens + self.output_tokens


class FairQueue:
    """Decides which waiting request an engine with `slots` places runs next.

    `priority` 0 goes before 1 and so on, but each account's service counts whatever its priority.
    """

    def __init__(self, slots: int, waiting_max: int) -> None:
        self.slots = slots
        self.waiting_max = waiting_max
        self.weights: dict[str, float] = {}
        self.service: dict[str, float] = {}
        self.waiting: dict[str, collections.deque[QueuedRequest]] = {}
        self.running: dict[str, QueuedRequest] = {}
        self.waiting_tokens = 0
        self.tokens_per_s = 0.0

    def set_weights(self, weights: dict[str, float]) -> None:
        """Set the weight of each account; others weigh 1."""
        self.weights = dict(weights)

    def count_waiting(self) -> int:
        """Return how many requests wait."""
        return sum(len(line) for line in self.waiting.values())

    def add(self, ticket: QueuedRequest) -> None:
        """Put a request in line; raise RequestError (overloaded) if it is full."""
        if self.count_waiting() >= self.waiting_max:
            raise errors.RequestError(
                f"{self.waiting_max} requests wait at this engine already",
                kind=errors.ErrorKind.OVERLOADED,
                retry_after_s=self.wait_estimate_s(),
            )
        if ticket.account not in self.waiting and not self.is_running(ticket.account):
            self.catch_up(ticket.account)
        self.waiting.setdefault(ticket.account, collections.deque()).append(ticket)
        self.waiting_tokens += ticket.tokens()

    def is_running(self, account: str) -> bool:
        """Return whether the account has a request on the engine."""
        return any(ticket.account == account for ticket in self.running.values())

    def catch_up(self, account: str) -> None:
        """Let an account that was idle start at the least counter of the active ones."""
        active = [self.service[name] for name in self.waiting if name in self.service]
        active += [self.service[ticket.account] for ticket in self.running.values()]
        floor = min(active, default=0.0)
        self.service[account] = max(self.service.get(account, 0.0), floor)

    def wait_estimate_s(self) -> float:
        """Return how long what waits now will take, in seconds, by the measured speed."""
        if self.tokens_per_s <= 0:
            return 1.0
        return max(0.1, self.waiting_tokens / self.tokens_per_s)

    def start_next(self) -> QueuedRequest | None:
        """Move the request that is due onto the engine and return it, or None."""
        if len(self.running) >= self.slots or not self.waiting:
            return None
        account = min(
            self.waiting,
            key=lambda name: (self.waiting[name][0].priority, self.service[name], name),
        )
        line = self.waiting[account]
        ticket = line.popleft()
        if not line:
            del self.waiting[account]
        self.waiting_tokens -= ticket.tokens()
        self.running[ticket.id] = ticket
        self.charge(ticket.id, ticket.prompt_tokens)
        return ticket

    def charge(self, ticket_id: str, tokens: float) -> None:
        """Charge tokens that a running request used."""
        ticket = self.running.get(ticket_id)
        if ticket is None:
            return
        ticket.charged += tokens
        self.service[ticket.account] += tokens / self.weights.get(ticket.account, 1.0)

    def finish(self, ticket_id: str) -> None:
        """Take a request off the engine; charging stands."""
        ticket = self.running.pop(ticket_id, None)
        if ticket is not None:
            self.trim(ticket.account)

    def cancel(self, ticket_id: str) -> bool:
        """Take a waiting request out of line; return whether it was still waiting."""
        for account, line in self.waiting.items():
            for ticket in line:
                if ticket.id == ticket_id:
                    line.remove(ticket)
                    self.waiting_tokens -= ticket.tokens()
                    if not line:
                        del self.waiting[account]
                    return True
        return False

    def record_throughput(self, tokens: float, seconds: float) -> None:
        """Note how many tokens the engine made in `seconds`, for the estimate of waiting."""
        if seconds <= 0:
            return
        speed = tokens / seconds
        self.tokens_per_s = (
            speed if not self.tokens_per_s else 0.8 * self.tokens_per_s + 0.2 * speed
        )

    def trim(self, account: str) -> None:
        """Forget the counters once nobody waits or runs, so that they don't grow for ever."""
        if not self.waiting and not self.running:
            self.service.clear()
