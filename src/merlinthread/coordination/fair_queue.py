"""Weighted fair queueing for one engine, in tokens per account.

Uses virtual token counters after "Fairness in Serving Large Language Models" (Sheng et al., 2024).
The account with the lowest counter goes next. An account that was idle starts at the lowest active
counter, so that it accumulates no credit. The prompt is charged when a request starts, and output
tokens as they are generated.
"""

import collections
import dataclasses

from merlinthread import errors


@dataclasses.dataclass(slots=True)
class QueuedRequest:
    """One waiting or running request; its token counts are estimates."""

    id: str
    account: str
    priority: int
    prompt_tokens: int
    output_tokens: int
    arrived_at: float
    charged: float = 0.0

    def tokens(self) -> int:
        """Return the expected total tokens of the request."""
        return self.prompt_tokens + self.output_tokens


class FairQueue:
    """Decides which waiting request an engine with `slots` slots runs next.

    Lower `priority` values go first; tokens are charged to the account regardless of priority.
    """

    def __init__(self, slots: int, waiting_max: int) -> None:
        self.slots = slots
        self.waiting_max = waiting_max
        self.weights: dict[str, float] = {}
        self.counters: dict[str, float] = {}
        self.waiting: dict[str, collections.deque[QueuedRequest]] = {}
        self.running: dict[str, QueuedRequest] = {}
        self.waiting_tokens = 0
        self.tokens_per_s = 0.0

    def set_weights(self, weights: dict[str, float]) -> None:
        """Set the weights of accounts; all others have weight 1."""
        self.weights = dict(weights)

    def count_waiting(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(account_queue) for account_queue in self.waiting.values())

    def add(self, request: QueuedRequest) -> None:
        """Enqueue a request; raise RequestError (overloaded) if the queue is full."""
        if self.count_waiting() >= self.waiting_max:
            raise errors.RequestError(
                f"the engine's queue is full with {self.waiting_max} waiting requests",
                kind=errors.ErrorKind.OVERLOADED,
                retry_after_s=self.expected_wait_s(),
            )
        if request.account not in self.waiting and not self.has_running(request.account):
            self.raise_counter(request.account)
        self.waiting.setdefault(request.account, collections.deque()).append(request)
        self.waiting_tokens += request.tokens()

    def has_running(self, account: str) -> bool:
        """Return whether the account has a running request."""
        return any(request.account == account for request in self.running.values())

    def raise_counter(self, account: str) -> None:
        """Raise an idle account's counter to the lowest counter of the active accounts."""
        active = [self.counters[name] for name in self.waiting if name in self.counters]
        active += [self.counters[request.account] for request in self.running.values()]
        floor = min(active, default=0.0)
        self.counters[account] = max(self.counters.get(account, 0.0), floor)

    def expected_wait_s(self) -> float:
        """Return the expected time to process the queue at the measured throughput, in seconds."""
        if self.tokens_per_s <= 0:
            return 1.0
        return max(0.1, self.waiting_tokens / self.tokens_per_s)

    def start_next(self) -> QueuedRequest | None:
        """Mark the next request as running and return it, or None if none can start."""
        if len(self.running) >= self.slots or not self.waiting:
            return None
        account = min(
            self.waiting,
            key=lambda name: (self.waiting[name][0].priority, self.counters[name], name),
        )
        account_queue = self.waiting[account]
        request = account_queue.popleft()
        if not account_queue:
            del self.waiting[account]
        self.waiting_tokens -= request.tokens()
        self.running[request.id] = request
        self.charge(request.id, request.prompt_tokens)
        return request

    def charge(self, request_id: str, tokens: float) -> None:
        """Charge the account of a running request for tokens."""
        request = self.running.get(request_id)
        if request is None:
            return
        request.charged += tokens
        self.counters[request.account] += tokens / self.weights.get(request.account, 1.0)

    def finish(self, request_id: str) -> None:
        """Remove a running request; its charges remain."""
        request = self.running.pop(request_id, None)
        if request is not None:
            self.reset_if_idle(request.account)

    def cancel(self, request_id: str) -> bool:
        """Remove a waiting request; return whether it was still waiting."""
        for account, account_queue in self.waiting.items():
            for request in account_queue:
                if request.id == request_id:
                    account_queue.remove(request)
                    self.waiting_tokens -= request.tokens()
                    if not account_queue:
                        del self.waiting[account]
                    return True
        return False

    def record_throughput(self, tokens: float, seconds: float) -> None:
        """Record that the engine generated `tokens` in `seconds`."""
        if seconds <= 0:
            return
        throughput = tokens / seconds
        self.tokens_per_s = (
            throughput if not self.tokens_per_s else 0.8 * self.tokens_per_s + 0.2 * throughput
        )

    def reset_if_idle(self, account: str) -> None:
        """Reset all counters when no request waits or runs, so that they don't grow forever."""
        if not self.waiting and not self.running:
            self.counters.clear()
