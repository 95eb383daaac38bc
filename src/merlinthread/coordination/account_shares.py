"""Shares of client accounts in one engine's capacity, in tokens.

While an engine has less capacity than it is asked for, accounts that have had more than their share
lately yield to the others of the same urgency. The share is the max-min fair one (Bertsekas and
Gallager 1992): accounts that ask for less than the others get all of it, and the rest is divided
equally. As with the virtual token counters of Sheng et al. (OSDI 2024), an account is charged the
tokens of its requests, and the ones with the lowest charge go first. Unlike there, charges fade, so
that only the last seconds count and an account that was idle has no credit.

An engine serves few requests of each account in that time, so accounts that ask for the same amount
differ by chance. An account yields only if

- it asked for more than its share by a margin that chance rarely exceeds, and
- it was served more than its share.

By the first, accounts of the usual size are not held back at a load close to the capacity. By the
second, an account that asks for more than its share still gets it.
"""

import dataclasses
import math
from collections.abc import Iterable

# Time constant of the exponential decay. An engine serves about five requests of each of 24
# accounts in it. An account at ten times its rate exceeds the margin after one to two seconds.
WINDOW_S = 10.0
# Accounts of all urgencies together; those that asked for nothing for longest are dropped first.
ACCOUNTS_MAX = 256
# Probability with which an account whose mean is its share asks for more than the margin.
CHANCE = 0.01
# The decayed sums are kept relative to a landmark in time (forward decay, Cormode et al. 2009),
# which is moved before their weights become too large for a float.
LANDMARK_AGE_MAX_S = 20 * WINDOW_S
# Relative difference up to which sums count as equal.
ROUNDING = 1e-9


@dataclasses.dataclass(slots=True)
class Use:
    """The tokens that an account asked for and was served, and the sum of the latter's squares."""

    asked: float = 0.0
    served: float = 0.0
    squares: float = 0.0

    def demand(self) -> float:
        """Return the tokens that the account wanted.

        Queries may be lost or sent to other engines, so what was served may exceed what was asked.
        """
        return max(self.asked, self.served)

    def scale(self, factor: float) -> None:
        """Multiply all sums by `factor`."""
        self.asked *= factor
        self.served *= factor
        self.squares *= factor


@dataclasses.dataclass(slots=True)
class Share:
    """The max-min fair share of each account, in tokens, and the margin for chance above it.

    Both are infinite if all accounts were served what they wanted.
    """

    tokens: float = math.inf
    margin: float = math.inf


class AccountShares:
    """The use of one engine by accounts, separately for each urgency."""

    def __init__(self) -> None:
        self.uses: dict[tuple[int, str], Use] = {}
        self.landmark = -math.inf

    def record_asked(self, account: str, tokens: float, now: float, urgency: int = 0) -> None:
        """Record that a request of `account` was offered to the engine.

        An entry that offers it to several engines divides its tokens among them. Requests that a
        client repeats count each time, so an account gains no share by repeating them.
        """
        weight = self.weight(now)
        self.use_of(account, urgency).asked += weight * tokens

    def record_served(self, account: str, tokens: float, now: float, urgency: int = 0) -> None:
        """Record that a request of `account` was sent to the engine."""
        weight = self.weight(now)
        use = self.use_of(account, urgency)
        use.served += weight * tokens
        use.squares += weight * tokens**2

    def is_over_share(self, account: str, has_room: bool, now: float, urgency: int = 0) -> bool:
        """Return whether other requests of the same urgency go before those of `account`.

        No account is over its share while the engine `has_room`, since nobody has to wait then.
        """
        use = self.uses.get((urgency, account))
        if has_room or use is None:
            return False
        share = self.share(now, urgency)
        weight = self.weight(now)
        return use.served > weight * share.tokens and use.demand() > weight * (
            share.tokens + share.margin
        )

    def share(self, now: float, urgency: int = 0) -> Share:
        """Return the share of each account of an urgency."""
        uses = [use for (found, _), use in self.uses.items() if found == urgency]
        served = sum(use.served for use in uses)
        tokens = fair_share((use.demand() for use in uses), served)
        if not served or math.isinf(tokens):
            return Share()
        tokens /= self.weight(now)
        # Mean size of the request that a token belongs to.
        request_tokens = sum(use.squares for use in uses) / served
        return Share(tokens, chance_margin(tokens, request_tokens))

    def use_of(self, account: str, urgency: int) -> Use:
        """Return the use of an account, which becomes the most recent one."""
        use = self.uses.pop((urgency, account), None) or Use()
        self.uses[urgency, account] = use
        if len(self.uses) > ACCOUNTS_MAX:
            del self.uses[next(iter(self.uses))]
        return use

    def weight(self, now: float) -> float:
        """Return the weight of tokens that are recorded now, and move the landmark if needed."""
        if now - self.landmark > LANDMARK_AGE_MAX_S:
            factor = math.exp((self.landmark - now) / WINDOW_S)
            for use in self.uses.values():
                use.scale(factor)
            self.landmark = now
        return math.exp((now - self.landmark) / WINDOW_S)


def fair_share(demands: Iterable[float], capacity: float) -> float:
    """Return the max-min fair share of `capacity`, or infinity if it covers all demands."""
    ascending = sorted(demands)
    for index, demand in enumerate(ascending):
        share = capacity / (len(ascending) - index)
        if demand > share * (1 + ROUNDING):
            return share
        capacity -= demand
    return math.inf


def chance_margin(tokens: float, request_tokens: float) -> float:
    """Return by how much a decayed sum of requests exceeds its mean with probability CHANCE.

    This is Bernstein's inequality for requests that arrive at random. `tokens` is the mean, and
    `request_tokens` the mean size of a request, weighted by size. The decay halves the variance.
    """
    deviations = -math.log(CHANCE)
    variance = tokens * request_tokens / 2
    return math.sqrt(2 * variance * deviations) + request_tokens * deviations / 3
