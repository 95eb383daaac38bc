"""The back ends that a node knows from the control VMs' replies.

An instance that is gone never returns. One that a full reply lacks stays in use for several
heartbeats, since the control VM that sent it may have just started.
"""

from collections.abc import Callable

from merlinthread import logs
from merlinthread.coordination import conflict_index, fleet, instances
from merlinthread.nodes import node_settings
from merlinthread.protocol import node_messages

MISSING_GRACE_HEARTBEATS = 4


class InstanceTable:
    """The last heartbeat of each back end, by instance, and until when each one is cold.

    `missing` has the time since which a full reply lacks each of the back ends that are still used.

    Heartbeats arrive about every `heartbeat_s`. `find_service` returns a service of the
    configuration by its name, or None if it is not configured.
    """

    def __init__(
        self, heartbeat_s: float, find_service: Callable[[str], fleet.Service | None]
    ) -> None:
        self.heartbeat_s = heartbeat_s
        self.find_service = find_service
        self.instances: dict[str, fleet.Heartbeat] = {}
        self.index = conflict_index.ConflictIndex()
        self.cold_until: dict[str, float] = {}
        self.heard_at: dict[str, float] = {}
        self.gone: set[str] = set()
        self.missing: dict[str, float] = {}

    def apply(self, reply: node_messages.WatchReply, now: float) -> list[str]:
        """Apply changes of back ends; return the known ones that a full reply does not have."""
        for instance in reply.gone:
            self.mark_gone(instance)
        for record in reply.instances:
            self.apply_instance(record, now, reply.is_full)
        if not reply.is_full:
            return []
        present = {record.heartbeat.instance for record in reply.instances}
        absent = sorted(set(self.instances) - present)
        logs.event("news_in_full", told=len(present), gone=len(reply.gone), absent=absent[:8])
        for instance in absent:
            self.missing.setdefault(instance, now)
        return absent

    def apply_instance(self, record: instances.Instance, now: float, is_full: bool = True) -> None:
        """Apply the state of one back end; draining and gone are final.

        Without `is_full`, a back end that is not known yet has just appeared.
        """
        heartbeat = record.heartbeat
        if heartbeat.instance in self.gone:
            return
        if not node_settings.is_address(heartbeat.address):
            # Control VMs of former builds accept and tell it.
            logs.debug("address_unusable", instance=heartbeat.instance, address=heartbeat.address)
            return
        self.missing.pop(heartbeat.instance, None)
        known = self.instances.get(heartbeat.instance)
        if known is not None and known.sequence > heartbeat.sequence:
            if heartbeat.state == fleet.DRAINING:
                known.state = fleet.DRAINING
            return
        if known is not None and known.state == fleet.DRAINING:
            heartbeat.state = fleet.DRAINING
        if known is None or known.state != heartbeat.state:
            logs.event(
                "instance",
                instance=heartbeat.instance,
                service=heartbeat.service,
                address=heartbeat.address,
                state=heartbeat.state,
                age_s=record.age_s,
            )
        is_new = heartbeat.instance not in self.heard_at
        self.heard_at[heartbeat.instance] = now - record.age_s
        for name in self.index.conflicts(heartbeat):
            # Of instances with the same address or id, the one with the latest heartbeat wins.
            if self.heard_at[name] > now - record.age_s:
                return
            # Not marked as gone, since a late heartbeat may have caused the conflict.
            self.remove(name)
            logs.event("instance", instance=name, state="replaced", by=heartbeat.instance)
        self.instances[heartbeat.instance] = heartbeat
        self.index.put(heartbeat)
        self.apply_cold_start(heartbeat, now - record.age_s, is_new, is_full)

    def apply_cold_start(
        self, heartbeat: fleet.Heartbeat, heard_at: float, is_new: bool, is_full: bool
    ) -> None:
        """Record until when a back end is cold.

        One that has just started and does not say is assumed to be cold for the usual time.
        """
        if heartbeat.reports_cold or heartbeat.cold_s > 0:
            self.cold_until[heartbeat.instance] = heard_at + heartbeat.cold_s
            return
        has_started = not is_full or heartbeat.sequence <= instances.INITIAL_SEQUENCE_MAX
        service = self.find_service(heartbeat.service)
        if is_new and has_started and service is not None:
            self.cold_until[heartbeat.instance] = heard_at + service.cold_start_s

    def remove(self, instance: str) -> bool:
        """Remove a back end; return whether it was present."""
        self.index.discard(instance)
        return self.instances.pop(instance, None) is not None

    def mark_gone(self, instance: str) -> None:
        """Remove a back end permanently."""
        self.gone.add(instance)
        self.missing.pop(instance, None)
        self.cold_until.pop(instance, None)
        if self.remove(instance):
            logs.event("instance", instance=instance, state=fleet.GONE)

    def remove_missing(self, now: float) -> bool:
        """Remove back ends that have been missing for several heartbeats; they may return.

        Return whether there were any.
        """
        grace_s = MISSING_GRACE_HEARTBEATS * self.heartbeat_s
        is_any_removed = False
        for instance, since in list(self.missing.items()):
            if now - since > grace_s:
                del self.missing[instance]
                self.remove(instance)
                logs.event("instance", instance=instance, state="missing", since_s=now - since)
                is_any_removed = True
        return is_any_removed
