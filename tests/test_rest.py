"""Back ends that turn requests away and ask for a rest.

What was seen: two engines of six had each asked an entry for 3 s of rest and got 10 to 16 requests
from it within the next second; a third of the requests of those seconds were refused or late,
though the other engines had room. How it came about: the two turned everything away, so they ran
nothing and looked best of all; each refusal left one alone for 80 ms, and a second attempt went to
the other one. Cause: the time that a refusal asks for was not read, and there was no place to keep
it. What proved it: the entries' logs show attempts on an engine with nothing to do, "503 not run",
again and again, 0.08 s apart at the least whatever was asked for.
"""

import asyncio

from merlinthread.transport import http_messages
from stand_ins import fleet_worker
from tests import fleet_nodes

STREAM = {"X_Merlinthread_Model": "m", "X_Merlinthread_Token_Usage": "100,20"}
REST_S = 0.6
# The platform allows two requests between half a second after a refusal and the end of the rest.
ALLOWED = 2


class Fleet:
    """One entry that is fed by hand, before workers that may turn requests away."""

    def __init__(self, service: str, count: int) -> None:
        self.service = service
        self.model = "m" if service == "model" else ""
        self.entry = fleet_nodes.Entry()
        self.workers = [fleet_worker.Worker(f"i-{number}", self.model) for number in range(count)]
        self.asked = 0

    async def start(self) -> "Fleet":
        await self.entry.start()
        for worker in self.workers:
            worker.behaviour.work_s = 0.05
            await worker.start()
        self.feed()
        return self

    def feed(self) -> None:
        services = [] if self.model else [self.service]
        body = fleet_nodes.configuration(1, services, self.service if self.model else "")
        self.entry.feed(body, {worker: self.service for worker in self.workers})

    async def ask(self) -> http_messages.Answer:
        self.asked += 1
        headers = STREAM if self.model else {}
        return await self.entry.ask(f"/{self.service}/x", f"id-{self.asked}", **headers)

    def let_rest(self, workers: list[fleet_worker.Worker], rest: str = f"{REST_S}") -> None:
        for worker in workers:
            worker.behaviour.is_full = True
            worker.behaviour.rest = rest

    def now(self) -> float:
        return self.entry.node.clock()

    async def until_refused(self, workers: list[fleet_worker.Worker]) -> float:
        """Ask until each of some workers has turned a request away; return when the first did."""
        first = 0.0
        async with asyncio.timeout(5.0):
            while not all(worker.refusals for worker in workers):
                await self.ask()
                if not first and any(worker.refusals for worker in workers):
                    first = self.now()
        return first


def refused(workers) -> int:
    return sum(worker.refusals for worker in workers)


def test_back_ends_that_ask_for_a_rest_get_nothing_until_it_is_over():
    async def scenario(service):
        fleet = await Fleet(service, 6).start()
        resting = fleet.workers[:2]
        fleet.let_rest(resting)
        first = await fleet.until_refused(resting)
        so_far = refused(resting)
        tasks = []
        while fleet.now() < first + 0.8 * REST_S:
            tasks.append(asyncio.create_task(fleet.ask()))
            await asyncio.sleep(0.01)
        # The others have room: whoever comes during the rest is served.
        answers = await asyncio.gather(*tasks)
        assert {answer.status for answer in answers} == {200}, service
        assert refused(resting) - so_far <= ALLOWED, service

    for service in ("safe", "unsafe", "model"):
        asyncio.run(scenario(service))
