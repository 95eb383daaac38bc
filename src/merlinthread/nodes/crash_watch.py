"""What was running at a back end when its process ended, as one entry sees it.

A connection that breaks is not yet a process that ended: connections are reset, answers cut short,
links go silent. What proves an end is that nothing listens at the address any more.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from merlinthread import errors, logs, metrics
from merlinthread.coordination import dispatch
from merlinthread.transport import stream_client

# A dead port answers within the way there and back (1 to 6 ms between regions); a VM that is dark
# or cut off does not answer, and then proves nothing.
PROOF_CONNECT_S = 0.3
USER_TIMEOUT_S = 1.0
# Attempts that broke this long ago, or less, were there when the process ended.
BREAK_KEPT_S = 1.0


@dataclasses.dataclass(slots=True)
class Break:
    """An attempt that left for a back end and got no whole answer."""

    fingerprint: str
    request_id: str
    at: float


class CrashWatch:
    """Finds out which back ends ended under which requests."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.breaks: dict[str, list[Break]] = {}
        self.proofs: dict[str, asyncio.Task[None]] = {}

    def note_break(self, backend: dispatch.Backend, fingerprint: str, request_id: str) -> None:
        """Note that the connection of an attempt broke, and ask whether the process has ended."""
        now = self.clock()
        found = self.breaks.setdefault(backend.instance, [])
        found[:] = [known for known in found if now - known.at <= BREAK_KEPT_S]
        found.append(Break(fingerprint, request_id, now))
        if backend.instance not in self.proofs:
            task = asyncio.get_running_loop().create_task(self.prove(backend))
            self.proofs[backend.instance] = task

    async def prove(self, backend: dispatch.Backend) -> None:
        """Connect once more: a refusal proves that the process has ended."""
        try:
            connection = await stream_client.connect(
                backend.address, PROOF_CONNECT_S, USER_TIMEOUT_S
            )
            connection.close()
            self.judge(backend, False, "it takes connections")
        except errors.RefusedError as error:
            self.judge(backend, True, error.message)
        except errors.UnreachableError as error:
            self.judge(backend, False, error.message)
        finally:
            del self.proofs[backend.instance]

    def judge(self, backend: dispatch.Backend, has_ended: bool, proof: str) -> None:
        """Log what ran where connections broke, and whether the process has ended."""
        found = self.breaks.pop(backend.instance, [])
        metrics.breaks_total.labels("ended" if has_ended else "unproven").inc(len(found))
        logs.event(
            "connections_broke",
            instance=backend.instance,
            service=backend.service,
            address=backend.address,
            has_ended=has_ended,
            proof=proof,
            requests=[[known.request_id, known.fingerprint] for known in found],
        )
