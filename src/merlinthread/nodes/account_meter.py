"""An agent's record of client accounts on its engine, with the log and the metrics of it."""

from collections.abc import Callable

from merlinthread import logs, metrics
from merlinthread.coordination import account_shares, expected_cost
from merlinthread.protocol import node_messages


class AccountMeter:
    """Records what accounts ask for and get, and decides which are over their share.

    If the agent restarts, the record begins anew and no account is over its share at first.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.shares = account_shares.AccountShares()
        # When an account, by name, was last over its share.
        self.over_at: dict[str, float] = {}

    def record_query(self, query: node_messages.LoadQuery, has_room: bool) -> bool:
        """Record a query of an entry; return whether its account is over its share."""
        if not query.account:
            return False
        now = self.clock()
        urgency = query.urgency or 0
        if is_valid(query.asked_tokens):
            self.shares.record_asked(query.account, query.asked_tokens, now, urgency)
        is_over = self.shares.is_over_share(query.account, has_room, now, urgency)
        metrics.share_queries_total.labels("over" if is_over else "within").inc()
        if is_over:
            self.record_over(query.account, now, urgency)
        return is_over

    def record_sent(self, notice: node_messages.AttemptNotice) -> None:
        """Record that an entry sent an attempt."""
        if notice.account and is_valid(notice.cost_tokens):
            self.shares.record_served(
                notice.account, notice.cost_tokens, self.clock(), notice.urgency or 0
            )

    def record_over(self, account: str, now: float, urgency: int) -> None:
        """Record that an account is over its share, and log it if it was not lately."""
        if account not in self.over_at:
            share = self.shares.share(now, urgency)
            logs.event(
                "account_over_share",
                account=account,
                urgency=urgency,
                share_tokens=round(share.tokens),
                margin_tokens=round(share.margin),
            )
        self.over_at[account] = now
        metrics.accounts_over_share.set(len(self.over_at))

    def update(self) -> None:
        """Log the accounts that have not been over their share for a window.

        Until then, a large account that hovers about its share would be logged again and again.
        """
        now = self.clock()
        for account, over_at in list(self.over_at.items()):
            if now - over_at > account_shares.WINDOW_S:
                del self.over_at[account]
                logs.event("account_within_share", account=account)
        metrics.accounts_over_share.set(len(self.over_at))


def is_valid(tokens: float) -> bool:
    """Return whether a number of tokens in a message is valid, which NaN is not."""
    return 0 < tokens <= expected_cost.COST_TOKENS_MAX
