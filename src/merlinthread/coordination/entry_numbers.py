"""The numbers of the entries that ask an agent for permits of its cold engine.

Entries use the time slots of these numbers while the agent is lost (`coordination.permit_slots`).
An entry keeps its number while the agent runs, so no two entries have the same one, whatever other
entries the agent hears of later. Positions in a sorted list would shift with each new entry, and
entries told before and after that would share slots.

An agent that has just started tells no numbers, so that entries keep those of its last run. Numbers
of several short runs would all be low ones.
"""

import heapq
import math

# Entries renew their subscriptions to an agent every second, and those that send requests query it
# every few seconds; 10 s leave room for lost datagrams.
LEARNING_S = 10.0
# Entries not heard from for this long lose their number: the longest time that a back end counts as
# cold, in which an entry may use it.
NUMBER_EXPIRY_S = 600.0
PRUNE_INTERVAL_S = 5.0
# Bounds the memory; a datagram may name any address.
ENTRIES_MAX = 4096
INVERSE_GOLDEN_RATIO = (math.sqrt(5.0) - 1.0) / 2.0


class EntryNumbers:
    """The numbers that an agent started at `now` gives to entries, from 0."""

    def __init__(self, now: float) -> None:
        self.learned_at = now + LEARNING_S
        self.heard_at: dict[str, float] = {}
        self.numbers: dict[str, int] = {}
        # Numbers below the highest one that no entry has, as a heap.
        self.free: list[int] = []
        self.pruned_at = now

    def record(self, address: str, now: float) -> None:
        """Record that an entry was heard from; drop those not heard from for NUMBER_EXPIRY_S."""
        self.prune(now)
        if address in self.heard_at or len(self.heard_at) < ENTRIES_MAX:
            self.heard_at[address] = now

    def number_of(self, address: str, now: float) -> int | None:
        """Return the number of a recorded entry, or None while the agent is learning them.

        The first numbers are in the order of addresses: the next run of the agent, which hears of
        the same entries, gives them the same numbers.
        """
        if now < self.learned_at:
            return None
        if len(self.numbers) < len(self.heard_at):
            for entry in sorted(self.heard_at.keys() - self.numbers.keys()):
                self.numbers[entry] = heapq.heappop(self.free) if self.free else len(self.numbers)
        return self.numbers.get(address)

    def count(self) -> int:
        """Return how many numbers are in use or free below the highest one."""
        return len(self.numbers) + len(self.free)

    def prune(self, now: float) -> None:
        """Drop the entries not heard from for NUMBER_EXPIRY_S."""
        if now - self.pruned_at <= PRUNE_INTERVAL_S:
            return
        self.pruned_at = now
        expired = [entry for entry, at in self.heard_at.items() if now - at > NUMBER_EXPIRY_S]
        for entry in expired:
            del self.heard_at[entry]
            self.numbers.pop(entry, None)
        if expired:
            used = set(self.numbers.values())
            # A sorted list is a heap.
            self.free = sorted(set(range(max(used, default=-1) + 1)) - used)


def slot_of(number: int, slots: int) -> int:
    """Return the slot of an entry's number, one to one for the numbers below `slots`.

    The numbers from 0 to any other one are spread evenly over the slots (golden ratio sequence).
    Entries with consecutive slots could use the whole rate for a while, and those with a number of
    another run, or with none, would exceed the bound beside them.
    """
    step = max(1, round(slots * INVERSE_GOLDEN_RATIO))
    while math.gcd(step, slots) != 1:
        step += 1
    return number * step % slots
