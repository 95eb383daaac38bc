"""Orders to an engine to load staged weights, and what is known of their fate.

An order without a response may be taken at any later time, with the pieces that are staged then.
It names the revision of the engine, which is the number of orders that it has taken, and the engine
takes no order that names another one. So at most one copy of an order is taken however often it is
sent, and none once the revision has changed.
"""

import dataclasses
import enum

from merlinthread.coordination import fleet

STATUS_ACCEPTED = 202
STATUS_HELD = 200


class Fate(enum.Enum):
    """What is known of an order; no copy of it is taken any more unless it is open."""

    OPEN = "open"
    TAKEN = "taken"
    REFUSED = "refused"


@dataclasses.dataclass(slots=True)
class LoadOrder:
    """An order to hold `layers` of a version, or all, which names the engine's `revision`.

    `unanswered` is the number of copies that got no response. `is_answered` is set if a response
    says that the engine has taken this order, just before the response.
    """

    manifest: fleet.Manifest
    revision: int
    layers: range | None = None
    unanswered: int = 0
    is_answered: bool = False
    fate: Fate = Fate.OPEN

    def is_open(self) -> bool:
        """Return whether a copy of the order may still be taken."""
        return self.fate is Fate.OPEN

    def record_status(self, status: int) -> None:
        """Record the status of a response to one copy.

        A refusal of one copy leaves the fate of others open: the engine may have been unable to
        take it at that moment only.
        """
        if status == STATUS_ACCEPTED:
            self.fate = Fate.TAKEN
            self.is_answered = True
        elif status == STATUS_HELD:
            # The engine took another copy, or held the weights before.
            self.fate = Fate.TAKEN if self.unanswered else Fate.REFUSED
        elif not self.unanswered:
            self.fate = Fate.REFUSED

    def record_revision(self, revision: int) -> None:
        """Record the revision in a report that was requested after the order."""
        if self.is_open() and revision != self.revision:
            self.fate = Fate.TAKEN if revision > self.revision else Fate.REFUSED

    def record_engine_end(self) -> None:
        """Record that the engine's process has ended, and with it all copies."""
        if self.is_open():
            self.fate = Fate.REFUSED
