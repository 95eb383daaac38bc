"""An agent's record of accounts: replies to entries, logs and invalid messages."""

import math

import pytest

from merlinthread import logs
from merlinthread.coordination import account_shares
from merlinthread.nodes import account_meter
from merlinthread.protocol import node_messages
from tests import fleet_nodes, test_weights_task


class Meter:
    """A meter with a clock that the test sets, and the logged events."""

    def __init__(self, monkeypatch):
        self.now = 0.0
        self.events = []
        self.meter = account_meter.AccountMeter(lambda: self.now)
        monkeypatch.setattr(logs, "event", lambda name, **fields: self.events.append(name))

    def offer(self, account, is_sent=True, has_room=False, tokens=100.0):
        query = node_messages.LoadQuery("e", 1, account=account, asked_tokens=tokens)
        is_over = self.meter.record_query(query, has_room)
        if is_sent:
            sent = node_messages.AttemptStage.SENT
            notice = node_messages.AttemptNotice(
                "e", 1, sent, 1.0, account=account, cost_tokens=tokens
            )
            self.meter.record_sent(notice)
        return is_over

    def overload(self):
        """Offer as many requests of `large` as of nine others; refuse a half and a quarter."""
        for number in range(200):
            self.now += 0.05
            self.offer("large", is_sent=number % 2 == 0)
            self.offer(f"small-{number % 9}", is_sent=number % 4 != 3)


# Guards against a log line for each query of an account that hovers about its share.
def test_change_of_an_account_is_logged_once(monkeypatch):
    meter = Meter(monkeypatch)
    meter.overload()
    assert meter.offer("large") and not meter.offer("small-1")
    assert meter.events == ["account_over_share"]
    meter.meter.update()
    assert meter.events == ["account_over_share"]
    meter.now += account_shares.WINDOW_S + 1
    meter.meter.update()
    assert meter.events == ["account_over_share", "account_within_share"]
    assert not meter.meter.over_at


# Guards against an account that is held back by an engine with free slots.
def test_no_account_is_over_its_share_while_the_engine_has_room(monkeypatch):
    meter = Meter(monkeypatch)
    meter.overload()
    assert not meter.offer("large", has_room=True)


# Guards against messages of old entries, and against numbers that would spoil all later sums.
@pytest.mark.parametrize("tokens", [math.nan, math.inf, -1.0, 0.0, 1e300])
def test_messages_without_account_or_with_invalid_tokens_are_not_recorded(monkeypatch, tokens):
    meter = Meter(monkeypatch)
    meter.offer("a", tokens=tokens)
    meter.offer("")
    assert not meter.meter.shares.uses


def test_agent_replies_whether_account_is_over_its_share():
    async def scenario(fleet):
        agent = fleet.agents[0]
        await fleet_nodes.until(lambda: agent.last_report is not None)
        assert agent.has_room() and agent.weights.view.service().engine.slots == 4
        agent.account_meter.clock = lambda: now
        sent = []
        agent.datagrams.send = lambda address, message: sent.append(message)
        now, stage = 0.0, node_messages.AttemptStage

        def offer(account, number, is_sent=True):
            agent.dispatch_datagram(
                node_messages.LoadQuery("e", number, account=account, asked_tokens=100.0)
            )
            if is_sent:
                agent.dispatch_datagram(
                    node_messages.AttemptNotice(
                        "e", number, stage.SENT, 1.0, account=account, cost_tokens=100.0
                    )
                )
            return sent[-1].is_over_share

        for number in range(400):
            now += 0.025
            account = "large" if number % 2 else f"small-{number % 9}"
            offer(account, number, is_sent=number % 8 not in (0, 1, 5))
        assert not agent.has_room() and offer("large", 1000) and not offer("small-1", 1001)
        # An entry of an old build names no account.
        agent.dispatch_datagram(node_messages.LoadQuery("e", 1002))
        assert not sent[-1].is_over_share
        for number in range(2000):
            agent.dispatch_datagram(node_messages.AttemptNotice("e", number, stage.ENDED))
        assert agent.has_room() and not offer("large", 3000, is_sent=False)
        # A restarted agent knows no account, and holds none back.
        agent.account_meter = account_meter.AccountMeter(lambda: now)
        agent.load_tracker.unattributed = 100
        assert not agent.has_room() and not offer("large", 3001)

    test_weights_task.run(1, scenario)
