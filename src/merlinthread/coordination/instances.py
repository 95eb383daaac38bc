"""The registry of back ends, fed by their own heartbeats.

Readiness and load are soft: any control VM may take a heartbeat, and passes it on. What must
survive is that an instance leaves or has left (`coordination.fleet_state`): it is acknowledged only
once the replicated log holds it.
"""

import collections
import dataclasses

from merlinthread.coordination import conflict_index, fleet, incarnations

GONE_KEPT = 4096
# How many of those that left last are told with everything: who turns to another control VM may
# have missed them. Names of 30 bytes: 8 KB at most, seldom more than a few.
GONE_TOLD_IN_FULL = 256
# An instance with a sequence up to this has just begun: its first calls may have been lost.
FIRST_SEQUENCES = 3
# An instance that was heard of within so many heartbeats lives; one beat may come late.
LIVE_BEATS = 1.5


@dataclasses.dataclass(slots=True)
class Instance:
    """One back end as it is told to nodes; `age_s` is how old its last heartbeat is."""

    heartbeat: fleet.Heartbeat
    age_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Known:
    """One instance and when it was last heard of; `position` is that of its last change."""

    heartbeat: fleet.Heartbeat
    heard_at: float
    position: int


class InstanceRegistry:
    """The back ends that one control VM knows.

    Each change gets a `position`, so that whoever knows what was true at one position can be told
    what has changed since. Heartbeats come about every `heartbeat_s`.
    """

    def __init__(self, heartbeat_s: float) -> None:
        self.heartbeat_s = heartbeat_s
        self.known: dict[str, Known] = {}
        self.index = conflict_index.ConflictIndex()
        self.gone: collections.OrderedDict[str, int] = collections.OrderedDict()
        self.forgotten_position = 0
        self.position = 0

    def record_heartbeat(self, heartbeat: fleet.Heartbeat, now: float) -> bool:
        """Take a heartbeat in; return whether anything but its age has changed.

        A late one (a lower `sequence`) and one of an incarnation that has left are ignored. An
        incarnation that is leaving never becomes ready again.
        """
        if heartbeat.instance in self.gone:
            return False
        known = self.known.get(heartbeat.instance)
        if known is None:
            return self.take_new(heartbeat, now)
        if heartbeat.sequence <= known.heartbeat.sequence:
            return False
        if known.heartbeat.state == fleet.DRAINING:
            heartbeat = dataclasses.replace(heartbeat, state=fleet.DRAINING)
        is_changed = differs(known.heartbeat, heartbeat)
        known.heartbeat = heartbeat
        known.heard_at = now
        self.index.put(heartbeat)
        if is_changed:
            known.position = self.advance()
        return is_changed

    def take_new(self, heartbeat: fleet.Heartbeat, now: float) -> bool:
        """Take a heartbeat of an unknown incarnation in, unless it is late."""
        if self.is_late(heartbeat, now):
            return False
        for rival in self.conflicts(heartbeat):
            if is_surely_over(rival.heartbeat, heartbeat):
                self.mark_gone(rival.heartbeat.instance)
            else:
                # It may have been misjudged by a word that was held up: it may be heard again.
                self.drop(rival.heartbeat.instance)
                self.forgotten_position = self.advance()
        self.known[heartbeat.instance] = Known(heartbeat, now, self.advance())
        self.index.put(heartbeat)
        return True

    def drop(self, instance: str) -> None:
        """Forget an instance, if it is known."""
        self.known.pop(instance, None)
        self.index.discard(instance)

    def conflicts(self, heartbeat: fleet.Heartbeat) -> list[Known]:
        """Return the incarnations that can't be there beside this one."""
        return [self.known[name] for name in self.index.conflicts(heartbeat)]

    def is_late(self, heartbeat: fleet.Heartbeat, now: float) -> bool:
        """Return whether a heartbeat of an unknown incarnation may be from before its end.

        A cut can hold it up until another one is in its place. One that has just begun is not late,
        nor is a later life of the same back end; any other one waits until the incarnation that is
        heard of there falls silent. That goes for an earlier life, too: either it is the former
        one, or the clock that told its start has stepped back.
        """
        live_s = LIVE_BEATS * self.heartbeat_s
        is_past_first = heartbeat.sequence > FIRST_SEQUENCES
        for known in self.conflicts(heartbeat):
            if is_newer(heartbeat, known.heartbeat):
                continue
            may_be_former = is_past_first or is_newer(known.heartbeat, heartbeat)
            is_heard = known.heartbeat.state == fleet.READY and now - known.heard_at <= live_s
            if may_be_former and is_heard:
                return True
        id_ = incarnations.parse(heartbeat.instance).id
        # Of one that left before its start was told only the first words show another life.
        return is_past_first and id_ != heartbeat.instance and id_ in self.gone

    def incarnations_of(self, name: str) -> list[str]:
        """Return what a departure is about: an incarnation, or those known of an id alone."""
        return [name, *(known for known in self.index.with_id(name) if known != name)]

    def latest(self, id_: str) -> str:
        """Return the name of the incarnation of a back end that is known here, else its id."""
        found = self.index.with_id(id_)
        return max(found, key=lambda name: self.known[name].heard_at, default=id_)

    def mark_draining(self, instance: str) -> None:
        """Note that an instance takes no new work."""
        known = self.known.get(instance)
        if known is None or known.heartbeat.state == fleet.DRAINING:
            return
        known.heartbeat = dataclasses.replace(known.heartbeat, state=fleet.DRAINING)
        known.position = self.advance()

    def mark_gone(self, instance: str) -> None:
        """Note that an instance has left for good."""
        self.drop(instance)
        if instance in self.gone:
            return
        self.gone[instance] = self.advance()
        while len(self.gone) > GONE_KEPT:
            _, self.forgotten_position = self.gone.popitem(last=False)

    def expire(self, now: float, silent_s: float) -> list[str]:
        """Drop instances that were silent for `silent_s`; return their ids.

        They are not noted as gone: one that was only cut off may come back.
        """
        silent = [
            instance for instance, known in self.known.items() if now - known.heard_at > silent_s
        ]
        for instance in silent:
            self.drop(instance)
        if silent:
            # Who holds an older position can't learn of this by changes: it is told all.
            self.forgotten_position = self.advance()
        return silent

    def advance(self) -> int:
        """Return the next position."""
        self.position += 1
        return self.position

    def changes_since(self, position: int, now: float) -> tuple[bool, list[Instance], list[str]]:
        """Return whether all is told, the instances changed since `position`, and those gone.

        Whoever is told all hears of departures too: an instance that is only absent may be one that
        has yet to be heard here after a restart, and is used on for some heartbeats.
        """
        is_full = position < self.forgotten_position or position > self.position or position == 0
        after = 0 if is_full else position
        changed = [
            Instance(known.heartbeat, round(now - known.heard_at, 3))
            for known in self.known.values()
            if known.position > after
        ]
        gone = [name for name, at in self.gone.items() if at > after]
        if is_full:
            gone = gone[-GONE_TOLD_IN_FULL:]
        return is_full, changed, gone


def differs(old: fleet.Heartbeat, new: fleet.Heartbeat) -> bool:
    """Return whether anything differs that decides where requests go."""
    same_sequence = dataclasses.replace(new, sequence=old.sequence, cold_s=old.cold_s)
    return same_sequence != old or (new.cold_s > 0) != (old.cold_s > 0)


def is_newer(one: fleet.Heartbeat, other: fleet.Heartbeat) -> bool:
    """Return whether `one` surely is from a later life of the same back end."""
    return incarnations.parse(one.instance).is_newer(incarnations.parse(other.instance))


def is_surely_over(former: fleet.Heartbeat, heartbeat: fleet.Heartbeat) -> bool:
    """Return whether a heartbeat shows that a rival has ended, not only that it is not heard."""
    return not is_newer(former, heartbeat)
