"""Requests that end every worker that runs them.

What was seen: within minutes a few dozen model workers ended, one after the other, and were back
after seconds; meanwhile a fifth to a third of all other requests failed or were refused. How it
came about: one request ended each worker that began to run it. Its entry sent it to a second
worker, which ended too; its client, and others, sent the same request again under other ids, at any
entry, where it was a new request with attempts of its own. Cause: what came of a request was known
only to the one attempt; no node remembered that a request was there when a worker ended. What
proved it: the fingerprints (method, host, path, client account, body) of the requests at each
worker whose address refused connections afterwards: one was at every end, all others varied.
"""

import asyncio

import pytest

from tests import crashing_fleet

LATE_MAX = 3


def run(tmp_path, scenario, service="safe", model="", entries=2, workers=8, **behaviour):
    async def whole():
        fleet = crashing_fleet.CrashingFleet(tmp_path, service, model)
        try:
            await fleet.start(entries, workers, **behaviour)
            await scenario(fleet)
        finally:
            await fleet.stop()

    asyncio.run(whole())


@pytest.mark.parametrize(
    ("service", "model", "keeps_id"),
    [("safe", "", False), ("model", "m", False), ("model", "m", True)],
)
def test_a_request_that_ended_three_workers_goes_to_no_more_of_them_from_any_entry(
    tmp_path, service, model, keeps_id
):
    async def scenario(fleet):
        await fleet.send_until_late(crashing_fleet.CONTACT_S, comings=16)
        late = fleet.late_arrivals()
        assert late <= LATE_MAX, f"{late} later ones; {len(fleet.ends())} workers ended"

    run(tmp_path, scenario, service, model, keeps_id=keeps_id)
