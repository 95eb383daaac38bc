"""The registry of backend instances that a control VM keeps from their heartbeats.

Heartbeats are not persisted: any control VM accepts one and forwards it to the others. Departures
are acknowledged only once they are in the replicated log (`coordination.fleet_state`).

Only a departure ends an incarnation for good. A heartbeat says nothing final about another one,
since it may be late: an incarnation that has lost its place to another one gets it back if it
continues to send (`coordination.incarnation_claims`). One that is heard from keeps its place until
it falls silent, or until the process at its address says that it is another one.
"""

import collections
import dataclasses

from merlinthread.coordination import conflict_index, fleet, incarnation_claims, incarnations

GONE_MAX = 4096
# The number of latest departures in a full update, for a node that may have missed them while it
# switched to another control VM. They take 8 KB with names of 30 bytes.
GONE_IN_FULL_UPDATE_MAX = 256
# An instance with a sequence up to this counts as just started, since its first calls may be lost.
INITIAL_SEQUENCE_MAX = 3
# The end of a cold start that a heartbeat moves by more than this is sent to the nodes. Heartbeats
# may be late by less.
COLD_END_TOLERANCE_S = 1.0
# An instance is alive if it was heard from within this many heartbeat intervals.
ALIVE_HEARTBEATS = 1.5


@dataclasses.dataclass(slots=True)
class Instance:
    """One back end as reported to nodes; `age_s` is the age of its last heartbeat."""

    heartbeat: fleet.Heartbeat
    age_s: float = 0.0


@dataclasses.dataclass(slots=True)
class InstanceRecord:
    """One instance, when it was last heard from, and the position of its last change.

    `has_displaced` is set until its next heartbeat if it has taken the place of another one.
    """

    heartbeat: fleet.Heartbeat
    heard_at: float
    position: int
    has_displaced: bool = False


class InstanceRegistry:
    """The back ends known to one control VM.

    Each change increments `position`, so that a node that is current up to a position can be sent
    only the later changes. Heartbeats arrive about every `heartbeat_s`.
    """

    def __init__(self, heartbeat_s: float) -> None:
        self.heartbeat_s = heartbeat_s
        self.known: dict[str, InstanceRecord] = {}
        self.claims = incarnation_claims.ClaimTable(heartbeat_s)
        self.index = conflict_index.ConflictIndex()
        self.gone: collections.OrderedDict[str, int] = collections.OrderedDict()
        # The last heartbeats of claimants to the place of an incarnation that is heard from.
        self.contested: list[fleet.Heartbeat] = []
        self.compacted_position = 0
        self.position = 0

    def record_heartbeat(
        self, heartbeat: fleet.Heartbeat, now: float, is_confirmed: bool = False
    ) -> bool:
        """Record a heartbeat; return whether anything but its age has changed.

        Heartbeats with an older `sequence` and those of departed incarnations are ignored. A
        draining incarnation never becomes ready again. `is_confirmed` is set if the process at the
        address has said that it is the sender.
        """
        if heartbeat.instance in self.gone:
            return False
        known = self.known.get(heartbeat.instance)
        if known is None:
            return self.record_new(heartbeat, now, is_confirmed)
        if heartbeat.sequence <= known.heartbeat.sequence:
            return False
        has_moved = heartbeat.address != known.heartbeat.address
        if has_moved and not self.take_place(heartbeat, now, is_confirmed):
            return False
        if known.heartbeat.state == fleet.DRAINING:
            heartbeat = dataclasses.replace(heartbeat, state=fleet.DRAINING)
        # A node may have received the last heartbeat of the displaced instance after the first one
        # of this instance, and kept that one.
        is_changed = (
            known.has_displaced
            or affects_routing(known.heartbeat, heartbeat)
            or moves_cold_end(known, heartbeat, now)
        )
        known.heartbeat = heartbeat
        known.heard_at = now
        known.has_displaced = has_moved
        self.index.put(heartbeat)
        if is_changed:
            known.position = self.advance()
        return is_changed

    def record_new(self, heartbeat: fleet.Heartbeat, now: float, is_confirmed: bool) -> bool:
        """Record the heartbeat of an unknown incarnation, unless it may have ended."""
        has_displaced = bool(self.conflicts(heartbeat))
        if not self.take_place(heartbeat, now, is_confirmed):
            return False
        record = InstanceRecord(heartbeat, now, self.advance(), has_displaced)
        self.known[heartbeat.instance] = record
        self.index.put(heartbeat)
        return True

    def take_place(self, heartbeat: fleet.Heartbeat, now: float, is_confirmed: bool) -> bool:
        """Give the sender of a heartbeat the place of the incarnations that conflict with it.

        Return whether it has it; if it may have ended, its heartbeat only adds to its claim.
        """
        if self.is_of_departed(heartbeat):
            return False
        holders = self.conflicts(heartbeat)
        if not is_confirmed and self.is_in_doubt(heartbeat, holders, now):
            heard_at = max((one.heard_at for one in holders), default=float("-inf"))
            if not self.claims.record(heartbeat, heard_at, now):
                if holders:
                    self.contested.append(heartbeat)
                return False
        self.claims.withdraw(heartbeat.instance)
        for holder in holders:
            self.discard(holder.heartbeat.instance)
            self.claims.displace(holder.heartbeat)
            if not is_successor(heartbeat, holder.heartbeat):
                self.compacted_position = self.advance()
        return True

    def pop_contested(self) -> list[fleet.Heartbeat]:
        """Return and forget the last heartbeats of claimants, whose addresses may be asked."""
        contested, self.contested = self.contested, []
        return contested

    def refute(self, instance: str) -> None:
        """Record that another process is at the address of a claimant."""
        self.claims.refute(instance)

    def discard(self, instance: str) -> None:
        """Remove an instance if it is known, without marking it as gone."""
        self.known.pop(instance, None)
        self.index.discard(instance)

    def conflicts(self, heartbeat: fleet.Heartbeat) -> list[InstanceRecord]:
        """Return the known incarnations with the same id or address."""
        return [self.known[name] for name in self.index.conflicts(heartbeat)]

    def is_of_departed(self, heartbeat: fleet.Heartbeat) -> bool:
        """Return whether a heartbeat may be of an incarnation that departed by its id alone.

        Only the first heartbeats show that their sender is another one.
        """
        id_ = incarnations.parse(heartbeat.instance).id
        is_past_start = heartbeat.sequence > INITIAL_SEQUENCE_MAX
        return is_past_start and id_ != heartbeat.instance and id_ in self.gone

    def is_in_doubt(
        self, heartbeat: fleet.Heartbeat, holders: list[InstanceRecord], now: float
    ) -> bool:
        """Return whether one of the conflicting `holders` may be running, not the sender.

        A network partition can delay a heartbeat until another incarnation has taken the place of
        its sender. An incarnation that has lost its place is in doubt without a holder too.
        """
        if not holders:
            return self.claims.is_displaced(heartbeat.instance)
        return any(self.may_have_ended(heartbeat, holder, now) for holder in holders)

    def may_have_ended(
        self, heartbeat: fleet.Heartbeat, holder: InstanceRecord, now: float
    ) -> bool:
        """Return whether a heartbeat may have been sent before `holder` took its sender's place."""
        is_displaced = self.claims.is_displaced(heartbeat.instance)
        silent = (now - holder.heard_at) / self.heartbeat_s
        if holder.heartbeat.state == fleet.READY and silent <= ALIVE_HEARTBEATS:
            return is_displaced or may_precede(heartbeat, holder.heartbeat)
        return is_displaced and not is_newer(heartbeat, holder.heartbeat)

    def incarnations_of(self, name: str) -> list[str]:
        """Return the incarnations that a departure refers to; `name` may be an id alone."""
        return [name, *(known for known in self.index.with_id(name) if known != name)]

    def latest(self, id_: str) -> str:
        """Return the incarnation of a back end that was heard from last, or its id if none is."""
        found = self.index.with_id(id_)
        return max(found, key=lambda name: self.known[name].heard_at, default=id_)

    def mark_draining(self, instance: str) -> None:
        """Mark an instance as draining: it accepts no new requests."""
        known = self.known.get(instance)
        if known is None or known.heartbeat.state == fleet.DRAINING:
            return
        known.heartbeat = dataclasses.replace(known.heartbeat, state=fleet.DRAINING)
        known.position = self.advance()

    def resend_zone(self, zone: str) -> None:
        """Send the instances of a zone to nodes again, since their reported state has changed."""
        position = self.advance()
        for known in self.known.values():
            if known.heartbeat.zone == zone:
                known.position = position

    def mark_gone(self, instance: str) -> None:
        """Mark an instance as permanently gone."""
        self.discard(instance)
        self.claims.withdraw(instance)
        if instance in self.gone:
            return
        self.gone[instance] = self.advance()
        while len(self.gone) > GONE_MAX:
            _, self.compacted_position = self.gone.popitem(last=False)

    def expire(self, now: float, silent_s: float) -> list[str]:
        """Remove instances not heard from for `silent_s`; return their names.

        They are not marked as gone, since a partitioned instance may come back.
        """
        silent = [
            instance for instance, known in self.known.items() if now - known.heard_at > silent_s
        ]
        for instance in silent:
            self.discard(instance)
        if silent:
            # Changes do not show this removal, so nodes at older positions need a full update.
            self.compacted_position = self.advance()
        return silent

    def advance(self) -> int:
        """Increment the position and return it."""
        self.position += 1
        return self.position

    def changes_since(self, position: int, now: float) -> tuple[bool, list[Instance], list[str]]:
        """Return whether the update is full, the instances that changed, and those gone.

        An update that is not full has the changes after `position` only. A full one includes the
        latest departures: nodes keep using an instance that is only missing for some heartbeats,
        since it may not have been heard from here after a restart.
        """
        is_full = position < self.compacted_position or position > self.position or position == 0
        after = 0 if is_full else position
        changed = [
            Instance(known.heartbeat, round(now - known.heard_at, 3))
            for known in self.known.values()
            if known.position > after
        ]
        gone = [name for name, at in self.gone.items() if at > after]
        if is_full:
            gone = gone[-GONE_IN_FULL_UPDATE_MAX:]
        return is_full, changed, gone


def with_zones_draining(reported: list[Instance], zones: set[str]) -> list[Instance]:
    """Return instances with those in `zones` reported as draining."""
    return [
        (
            dataclasses.replace(
                instance, heartbeat=dataclasses.replace(instance.heartbeat, state=fleet.DRAINING)
            )
            if instance.heartbeat.zone in zones
            else instance
        )
        for instance in reported
    ]


def affects_routing(old: fleet.Heartbeat, new: fleet.Heartbeat) -> bool:
    """Return whether two heartbeats differ in anything that routing depends on."""
    same_sequence = dataclasses.replace(new, sequence=old.sequence, cold_s=old.cold_s)
    return same_sequence != old or (new.cold_s > 0) != (old.cold_s > 0)


def moves_cold_end(known: InstanceRecord, heartbeat: fleet.Heartbeat, now: float) -> bool:
    """Return whether a heartbeat shows that an instance has become cold again while it was cold."""
    moved_s = (now + heartbeat.cold_s) - (known.heard_at + known.heartbeat.cold_s)
    return heartbeat.cold_s > 0 and abs(moved_s) > COLD_END_TOLERANCE_S


def is_newer(heartbeat: fleet.Heartbeat, other: fleet.Heartbeat) -> bool:
    """Return whether `heartbeat` is from a later incarnation of `other`'s back end."""
    return incarnations.parse(heartbeat.instance).is_newer(incarnations.parse(other.instance))


def may_precede(heartbeat: fleet.Heartbeat, holder: fleet.Heartbeat) -> bool:
    """Return whether a heartbeat may have been sent before a conflicting instance started.

    Start times show the order of two processes of one id. At one address, they do so only in the
    first heartbeats of the later one.
    """
    incarnation = incarnations.parse(heartbeat.instance)
    other = incarnations.parse(holder.instance)
    if incarnation.id == other.id:
        return not incarnation.is_newer(other)
    is_first = heartbeat.sequence <= INITIAL_SEQUENCE_MAX
    return not (is_first and incarnation.starts_after(other))


def is_successor(heartbeat: fleet.Heartbeat, former: fleet.Heartbeat) -> bool:
    """Return whether a heartbeat is one of the first of the instance that followed `former`.

    Nodes that receive such an instance remove `former`.
    """
    if is_newer(heartbeat, former):
        return True
    return heartbeat.sequence <= INITIAL_SEQUENCE_MAX and not is_newer(former, heartbeat)
