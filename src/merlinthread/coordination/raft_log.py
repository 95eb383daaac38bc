"""The entries that a member holds in memory, from its snapshot on, and the members they name."""

import msgspec

from merlinthread.coordination import raft_messages
from merlinthread.state import journal


class RaftLog:
    """Entries after a snapshot; `stable` is the last index that is durable."""

    def __init__(self, saved: journal.Journal | None, first_voters: list[str]) -> None:
        self.snapshot = saved.snapshot if saved else journal.Snapshot()
        self.entries: list[journal.Entry] = list(saved.entries) if saved else []
        self.saved_index = self.last_index()
        self.first_voters = raft_messages.Voters(voters=list(first_voters))
        self.voters = self.effective_voters()

    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.snapshot.index + len(self.entries)

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`, or None if it is not known here."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.snapshot.index - 1
        if 0 <= position < len(self.entries):
            return self.entries[position].term
        return None

    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def slice(self, first: int, limits: raft_messages.Limits) -> list[journal.Entry]:
        """Return entries from `first` on, as many as one append may carry."""
        chosen: list[journal.Entry] = []
        size = 0
        for entry in self.entries[first - self.snapshot.index - 1 :]:
            size += len(entry.data)
            if chosen and size > limits.bytes_per_append:
                break
            chosen.append(entry)
            if len(chosen) == limits.entries_per_append:
                break
        return chosen

    def effective_voters(self) -> raft_messages.Voters:
        """Return the newest members in the log, committed or not."""
        for entry in reversed(self.entries):
            if entry.kind == "voters":
                return msgspec.msgpack.decode(entry.data, type=raft_messages.Voters)
        if self.snapshot.voters:
            return msgspec.msgpack.decode(self.snapshot.voters, type=raft_messages.Voters)
        return self.first_voters

    def voters_at(self, index: int) -> raft_messages.Voters:
        """Return the members in force at `index`, for a snapshot there."""
        for entry in reversed(self.entries[: index - self.snapshot.index]):
            if entry.kind == "voters":
                return msgspec.msgpack.decode(entry.data, type=raft_messages.Voters)
        if self.snapshot.voters:
            return msgspec.msgpack.decode(self.snapshot.voters, type=raft_messages.Voters)
        return self.first_voters

    def take(self, entry: journal.Entry) -> None:
        """Put one entry of the leader in its place; drop a conflicting rest."""
        if entry.index <= self.snapshot.index:
            return
        known = self.term_at(entry.index)
        if known == entry.term:
            return
        if known is not None:
            del self.entries[entry.index - self.snapshot.index - 1 :]
            self.saved_index = min(self.saved_index, entry.index - 1)
            self.voters = self.effective_voters()
        self.entries.append(entry)
        if entry.kind == "voters":
            self.voters = self.effective_voters()

    def append(self, term: int, kind: str, data: bytes) -> journal.Entry:
        """Add an entry at the end."""
        entry = journal.Entry(self.last_index() + 1, term, kind, data)
        self.entries.append(entry)
        if kind == "voters":
            self.voters = self.effective_voters()
        return entry

    def has_membership_change_after(self, index: int) -> bool:
        """Return whether an entry after `index` changes the members."""
        rest = self.entries[max(0, index - self.snapshot.index) :]
        return any(entry.kind == "voters" for entry in rest)

    def between(self, after: int, last: int) -> list[journal.Entry]:
        """Return the entries after `after` up to and including `last`."""
        return self.entries[after - self.snapshot.index : max(0, last - self.snapshot.index)]

    def unsaved_entries(self) -> list[journal.Entry]:
        """Return the entries that are not durable yet."""
        return self.entries[max(0, self.saved_index - self.snapshot.index) :]

    def saved_entries(self) -> list[journal.Entry]:
        """Return the durable entries after the snapshot."""
        return self.entries[: max(0, self.saved_index - self.snapshot.index)]

    def discard_unsaved(self) -> None:
        """Forget the entries that are not durable."""
        del self.entries[max(0, self.saved_index - self.snapshot.index) :]
        self.voters = self.effective_voters()

    def install(self, snapshot: journal.Snapshot) -> None:
        """Take over a leader's snapshot; keep what follows it if it fits."""
        if self.term_at(snapshot.index) == snapshot.term:
            self.entries = self.entries[snapshot.index - self.snapshot.index :]
        else:
            self.entries = []
        self.snapshot = snapshot
        self.saved_index = max(snapshot.index, min(self.saved_index, self.last_index()))
        self.voters = self.effective_voters()

    def compact(self, index: int, state: bytes) -> journal.Snapshot:
        """Replace entries up to `index` by `state`; return the snapshot."""
        term = self.term_at(index)
        if term is None:
            raise ValueError(f"index {index} is not in the log")
        members = msgspec.msgpack.encode(self.voters_at(index))
        snapshot = journal.Snapshot(index, term, members, state)
        self.entries = self.entries[index - self.snapshot.index :]
        self.snapshot = snapshot
        return snapshot
