"""Load on a fleet of crashing workers: requests with parts that crash them, beside sound ones."""

import asyncio
import dataclasses
import itertools

from tests import crashing_fleet

FIRST_PART = "aa01"
CRASH_PART = "dead"
OTHER_PART = "bb02"
CRASHING_INTERVAL_S = 0.4
SOUND_PER_S = 60
# The number of crashes after which a part must be held, within the contact time.
CRASHES_MAX = 5
CRASHING_PROMPT = (FIRST_PART, CRASH_PART, OTHER_PART)
SOUND_PROMPTS = ((FIRST_PART,), (FIRST_PART, OTHER_PART))


@dataclasses.dataclass(slots=True)
class Result:
    """What a run showed: `late` are the crashing requests that came to workers too late.

    `sound` and `sound_served` count the sound requests sent from 2 x `CONTACT_S` after the fifth
    crash (the last, if there are fewer), and those of them that were served.
    """

    crashes: int
    late: int
    sound: int
    sound_served: int

    def served_share(self) -> float:
        """Return the share of sound requests that were served."""
        return self.sound_served / max(1, self.sound)


class PartLoad:
    """Sends both kinds of requests to the entries in turn, with the same key and first part."""

    def __init__(
        self,
        fleet: crashing_fleet.CrashingFleet,
        crashing_prompts: tuple[tuple[str, ...], ...] = (CRASHING_PROMPT,),
        sound_prompts: tuple[tuple[str, ...], ...] = SOUND_PROMPTS,
        tries: int = 1,
    ) -> None:
        self.fleet = fleet
        self.crashing_prompts = itertools.cycle(crashing_prompts)
        self.sound_prompts = itertools.cycle(sound_prompts)
        self.tries = tries
        self.tasks: list[asyncio.Task[None]] = []
        # The time at which each sound request was sent, and the status of its response.
        self.sound_results: list[tuple[float, int]] = []

    async def run(self, seconds: float) -> Result:
        """Send requests for `seconds`; return the result once all have ended."""
        senders = [
            asyncio.create_task(self.send_sound(seconds)),
            asyncio.create_task(self.send_crashing(seconds)),
        ]
        await asyncio.gather(*senders)
        await asyncio.gather(*self.tasks)
        return self.result()

    async def send_sound(self, seconds: float) -> None:
        """Send sound requests, `SOUND_PER_S` a second."""
        for number in range(int(seconds * SOUND_PER_S)):
            prompt = next(self.sound_prompts)
            self.tasks.append(asyncio.create_task(self.send_one_sound(number, prompt)))
            await asyncio.sleep(1 / SOUND_PER_S)

    async def send_one_sound(self, number: int, prompt: tuple[str, ...]) -> None:
        """Send one sound request with a body of its own and record the result."""
        at = asyncio.get_running_loop().time()
        entry = number % len(self.fleet.entries)
        response = await self.fleet.request_or_none(entry, b"sound %d" % number, prompt)
        self.sound_results.append((at, response.status if response is not None else 0))

    async def send_crashing(self, seconds: float) -> None:
        """Send crashing requests, one every `CRASHING_INTERVAL_S`, no two alike."""
        for number in range(int(seconds / CRASHING_INTERVAL_S)):
            prompt = next(self.crashing_prompts)
            self.tasks.append(asyncio.create_task(self.send_one_crashing(number, prompt)))
            await asyncio.sleep(CRASHING_INTERVAL_S)

    async def send_one_crashing(self, number: int, prompt: tuple[str, ...]) -> None:
        """Send one crashing request, `tries` times if it is not held, as its client would."""
        for attempt in range(self.tries):
            entry = (number + attempt) % len(self.fleet.entries)
            response = await self.fleet.request_or_none(entry, b"crashing %d" % number, prompt)
            if response is not None and response.status == 503:
                return

    def result(self) -> Result:
        """Return what the run showed."""
        crash_times = self.fleet.crash_times()
        counted_from = crash_times[:CRASHES_MAX][-1]
        late = 0
        if len(crash_times) >= CRASHES_MAX:
            bound = counted_from + crashing_fleet.CONTACT_S
            late = sum(at > bound for at in self.fleet.crash_request_times())
        sound_from = counted_from + 2 * crashing_fleet.CONTACT_S
        statuses = [status for at, status in self.sound_results if at >= sound_from]
        return Result(len(crash_times), late, len(statuses), statuses.count(200))
