"""Shares of accounts in engines that get more requests than they can serve.

Arrivals are random with a fixed seed, at the rates of a table. An engine is a queue of tokens, and
a request is admitted if the queue is short enough for it, as at an entry.
"""

import collections
import heapq
import random

import pytest

from merlinthread.coordination import account_shares, admission, expected_wait

ENGINES = 6
REQUEST_TOKENS = 100.0
ENGINE_REQUESTS_PER_S = 12.0
ENGINE_TOKENS_PER_S = ENGINE_REQUESTS_PER_S * REQUEST_TOKENS
# The rate at which each of 24 accounts uses an equal part of all engines.
EQUAL_PER_S = ENGINES * ENGINE_REQUESTS_PER_S / 24
WAIT_LIMIT_S = 0.28
WARM_UP_S = 20.0
RUN_S = 120.0
REPEAT_DELAY_S = 0.05


class Engine:
    def __init__(self):
        self.queued = 0.0
        self.updated_at = 0.0
        self.shares = account_shares.AccountShares()

    def advance(self, now):
        self.queued = max(0.0, self.queued - ENGINE_TOKENS_PER_S * (now - self.updated_at))
        self.updated_at = now


class Run:
    """The outcome of a table of accounts and their rates, as multiples of EQUAL_PER_S.

    `repeats` is how often the clients of an account repeat a refused request at once.
    """

    def __init__(self, table, repeats=None, seed=1, is_shared=True):
        self.rng = random.Random(seed)
        self.engines = [Engine() for _ in range(ENGINES)]
        self.is_shared = is_shared
        self.offered, self.served, self.tokens = (collections.Counter() for _ in range(3))
        self.asked, self.marked = collections.Counter(), collections.Counter()
        arrivals = []
        for account, rate in table.items():
            at = 0.0
            while (at := at + self.rng.expovariate(rate * EQUAL_PER_S)) < RUN_S:
                # Sizes vary as much as their mean.
                tokens = self.rng.expovariate(1 / REQUEST_TOKENS)
                arrivals.append((at, account, tokens, (repeats or {}).get(account, 0)))
                self.offered[account] += at > WARM_UP_S
        heapq.heapify(arrivals)
        while arrivals:
            at, account, tokens, left = heapq.heappop(arrivals)
            if not self.offer(at, account, tokens) and left:
                heapq.heappush(arrivals, (at + REPEAT_DELAY_S, account, tokens, left - 1))

    def offer(self, now, account, tokens):
        sample = self.rng.sample(self.engines, 4)
        for engine in sample:
            engine.advance(now)
        asked = sorted(sample, key=lambda engine: engine.queued)[:2]
        for engine in asked:
            engine.shares.record_asked(account, tokens / len(asked), now)
        best = asked[0]
        is_over = best.shares.is_over_share(account, best.queued == 0, now)
        assert not (is_over and best.queued == 0)
        self.asked[account] += 1
        self.marked[account] += is_over
        limit_s = admission.wait_limit_s(
            WAIT_LIMIT_S + expected_wait.BASE_LATENCY_S, is_over and self.is_shared
        )
        if best.queued / ENGINE_TOKENS_PER_S + expected_wait.BASE_LATENCY_S > limit_s:
            return False
        best.queued += tokens
        best.shares.record_served(account, tokens, now)
        if now > WARM_UP_S:
            self.served[account] += 1
            self.tokens[account] += tokens
        return True

    def served_share(self, accounts):
        return sum(self.served[name] for name in accounts) / sum(
            self.offered[name] for name in accounts
        )

    def marked_share(self, accounts):
        return sum(self.marked[name] for name in accounts) / sum(
            self.asked[name] for name in accounts
        )


def small_accounts(count, rate):
    return {f"small-{number}": rate for number in range(count)}


# Guards against one account that displaces the requests of all others.
@pytest.mark.parametrize("seed", [1, 2])
def test_account_at_ten_times_its_rate_costs_others_at_most_one_in_a_hundred(seed):
    others = small_accounts(23, 0.85)
    alone = Run(others, seed=seed).served_share(others)
    beside = Run(others | {"large": 8.5}, seed=seed)
    unshared = Run(others | {"large": 8.5}, seed=seed, is_shared=False)
    assert alone > 0.99 and unshared.served_share(others) < 0.9
    assert beside.served_share(others) >= alone - 0.01
    assert beside.marked_share(others) < 0.001
    # The large account gets what the others leave, and at least the share of one of them.
    assert beside.tokens["large"] > 3 * EQUAL_PER_S * REQUEST_TOKENS * (RUN_S - WARM_UP_S)
    capacity = ENGINES * ENGINE_TOKENS_PER_S * (RUN_S - WARM_UP_S)
    assert sum(beside.tokens.values()) > 0.95 * capacity, "capacity was left unused"


# Guards against an equal split, which would leave the capacity that small accounts don't need.
def test_two_large_accounts_get_equal_parts_of_what_small_ones_leave():
    others = small_accounts(22, 0.6)
    run = Run(others | {"large-1": 12, "large-2": 18})
    assert run.served_share(others) > 0.99
    assert run.tokens["large-1"] == pytest.approx(run.tokens["large-2"], rel=0.25)
    unshared = Run(others | {"large-1": 12, "large-2": 18}, is_shared=False)
    assert unshared.served_share(others) < 0.6


# Guards against an account that gets more by repeating refused requests at once and often.
@pytest.mark.parametrize("load", [1.5, 2.0])
def test_repeated_requests_win_little_and_count_against_their_account(load):
    others = small_accounts(23, load)
    table, repeats = others | {"repeating": load}, {"repeating": 30}
    run = Run(table, repeats)
    unshared = Run(table, repeats, is_shared=False)
    mean, unshared_mean = (sum(r.tokens[name] for name in others) / 23 for r in (run, unshared))
    assert unshared.tokens["repeating"] > 1.5 * unshared_mean
    assert run.tokens["repeating"] < 1.25 * mean
    assert run.marked_share(["repeating"]) > 0.5 > 10 * run.marked_share(others)


# Guards against holding back accounts of the usual size, of which chance favoured some lately.
@pytest.mark.parametrize("load", [0.9, 1.0, 1.1, 1.3])
def test_accounts_alike_are_seldom_over_their_share(load):
    accounts = small_accounts(24, load)
    run = Run(accounts)
    assert run.marked_share(accounts) < 0.01
    assert max(run.marked_share([name]) for name in accounts) < 0.05


# Guards against holding back an account although the engines have room for all (also asserted in
# `Run.offer`): five accounts use a quarter of the capacity, one of them most of that.
def test_no_account_is_over_its_share_while_engines_have_room():
    run = Run(small_accounts(4, 0.5) | {"large": 4.0})
    assert run.served_share(["large"]) > 0.999


# Guards against one urgency's requests being counted against another's.
def test_shares_are_separate_for_each_urgency():
    shares = account_shares.AccountShares()
    for number in range(200):
        now = number / 20
        account = "a" if number % 10 else f"b-{number % 3}"
        shares.record_asked(account, 200.0, now, urgency=0)
        shares.record_served(account, 100.0, now, urgency=0)
    assert shares.is_over_share("a", False, 10.0, urgency=0)
    assert not shares.is_over_share("a", False, 10.0, urgency=1)
    assert not shares.is_over_share("unknown", False, 10.0, urgency=0)


# Guards against growth with the number of accounts, and against floats that overflow in time.
def test_state_is_bounded_and_independent_of_the_time():
    shares, late = account_shares.AccountShares(), account_shares.AccountShares()
    for number in range(2000):
        shares.record_asked(f"a-{number}", 10.0, number * 3.0)
    assert len(shares.uses) == account_shares.ACCOUNTS_MAX
    for offset, tracked in ((0.0, shares), (1e9, late)):
        for number in range(60):
            tracked.record_asked(f"c-{number % 5}", 200.0, offset + 7000.0 + number)
            tracked.record_served(f"c-{number % 5}", 100.0, offset + 7000.0 + number)
    share, late_share = shares.share(7060.0), late.share(1e9 + 7060.0)
    assert share.tokens == pytest.approx(late_share.tokens, rel=1e-3)
    assert share.margin == pytest.approx(late_share.margin, rel=1e-3)
    # Without any requests, the share fades.
    assert shares.share(7160.0).tokens < share.tokens / 1000


@pytest.mark.parametrize(
    ("demands", "capacity", "share"),
    [
        ([1, 1, 1], 3, float("inf")),
        ([2, 2, 2], 3, 1),
        ([1, 2, 10], 6, 3),
        ([0.5, 0.5, 8, 9], 5, 2),
        ([], 0, float("inf")),
    ],
)
def test_fair_share_gives_the_rest_of_small_demands_to_large_ones(demands, capacity, share):
    assert account_shares.fair_share(demands, capacity) == share


def test_wait_limit_is_reduced_over_the_share_only():
    base_s = expected_wait.BASE_LATENCY_S
    assert admission.wait_limit_s(0.4, False) == 0.4
    assert base_s < admission.wait_limit_s(0.4, True) < 0.2
    # Less time than the latency of an idle engine is left as it is.
    assert admission.wait_limit_s(base_s / 2, True) == base_s / 2
    assert admission.wait_limit_s(-1.0, True) == -1.0
