"""Embed the replicated log: three members in one process commit commands and lose a leader."""

import pathlib
import tempfile

from merlinthread.coordination import raft
from merlinthread.state import journal

NAMES = ["a", "b", "c"]
STEP_S = 0.05


class Member:
    """A member of the log, with a journal on disk."""

    def __init__(self, name: str, folder: pathlib.Path, now: float) -> None:
        folder.mkdir()
        self.name = name
        self.journal = journal.Journal(folder)
        self.raft = raft.Raft(name, NAMES, self.journal, now, identity=self.journal.identity)
        self.applied: list[bytes] = []

    def process_ready(self) -> list[tuple[str, object]]:
        """Save entries, apply committed ones, and return the messages to send.

        Messages must not be sent before the entries are saved.
        """
        messages: list[tuple[str, object]] = []
        while not (ready := self.raft.ready()).is_empty():
            self.journal.save(ready.hard_state, ready.entries)
            messages.extend(ready.messages)
            self.applied.extend(e.data for e in ready.committed if e.kind == "command")
            self.raft.mark_saved(ready)
        return messages


def run(members: dict[str, Member], now: float, seconds: float) -> float:
    """Advance the time and deliver every message at once; return the new time."""
    end = now + seconds
    while now < end:
        now += STEP_S
        for member in members.values():
            member.raft.tick(now)
            member.raft.flush(now)
        messages = [m for member in members.values() for m in member.process_ready()]
        while messages:
            receiver, message = messages.pop(0)
            if receiver in members:
                members[receiver].raft.step(message, now)
                members[receiver].raft.flush(now)
                messages.extend(members[receiver].process_ready())
    return now


def main() -> None:
    """Run the example."""
    now = 0.0
    with tempfile.TemporaryDirectory() as root:
        members = {name: Member(name, pathlib.Path(root) / name, now) for name in NAMES}
        now = run(members, now, 3.0)
        leader = next(m for m in members.values() if m.raft.holds_lease(now))
        leader.raft.propose(b"first", now)
        now = run(members, now, 0.5)
        print(f"{leader.name} leads; all applied: {[m.applied for m in members.values()]}")
        del members[leader.name]
        now = run(members, now, 4.0)
        new_leader = next(m for m in members.values() if m.raft.holds_lease(now))
        new_leader.raft.propose(b"second", now)
        now = run(members, now, 0.5)
        print(f"{new_leader.name} leads now; applied: {new_leader.applied}")
        assert new_leader.applied == [b"first", b"second"]


if __name__ == "__main__":
    main()
