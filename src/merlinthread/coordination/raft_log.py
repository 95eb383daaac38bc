"""The in-memory log of a Raft member: entries after the latest snapshot, and the membership."""

import msgspec

from merlinthread.coordination import raft_messages
from merlinthread.state import journal


class RaftLog:
    """A snapshot and the entries that follow it; `saved_index` is the last durable index."""

    def __init__(self, saved: journal.Journal | None, first_voters: list[str]) -> None:
        self.snapshot = saved.snapshot if saved else journal.Snapshot()
        self.entries: list[journal.Entry] = list(saved.entries) if saved else []
        self.saved_index = self.last_index()
        self.first_voters = raft_messages.Voters(voters=list(first_voters))
        self.membership = self.latest_membership()

    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.snapshot.index + len(self.entries)

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`, or None if it is compacted or missing."""
        if index == self.snapshot.index:
            return self.snapshot.term
        position = index - self.snapshot.index - 1
        if 0 <= position < len(self.entries):
            return self.entries[position].term
        return None

    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def entries_from(self, first: int, limits: raft_messages.Limits) -> list[journal.Entry]:
        """Return entries from `first` on, up to the limits of one AppendEntries message."""
        batch: list[journal.Entry] = []
        size_bytes = 0
        for entry in self.entries[first - self.snapshot.index - 1 :]:
            size_bytes += len(entry.data)
            if batch and size_bytes > limits.bytes_per_append:
                break
            batch.append(entry)
            if len(batch) == limits.entries_per_append:
                break
        return batch

    def latest_membership(self) -> raft_messages.Voters:
        """Return the latest membership in the log, whether committed or not."""
        for entry in reversed(self.entries):
            if entry.kind == "voters":
                return msgspec.msgpack.decode(entry.data, type=raft_messages.Voters)
        if self.snapshot.voters:
            return msgspec.msgpack.decode(self.snapshot.voters, type=raft_messages.Voters)
        return self.first_voters

    def membership_at(self, index: int) -> raft_messages.Voters:
        """Return the membership as of `index`, for a snapshot."""
        for entry in reversed(self.entries[: index - self.snapshot.index]):
            if entry.kind == "voters":
                return msgspec.msgpack.decode(entry.data, type=raft_messages.Voters)
        if self.snapshot.voters:
            return msgspec.msgpack.decode(self.snapshot.voters, type=raft_messages.Voters)
        return self.first_voters

    def store(self, entry: journal.Entry) -> None:
        """Store an entry from the leader; truncate the log first if an entry conflicts with it."""
        if entry.index <= self.snapshot.index:
            return
        local_term = self.term_at(entry.index)
        if local_term == entry.term:
            return
        if local_term is not None:
            del self.entries[entry.index - self.snapshot.index - 1 :]
            self.saved_index = min(self.saved_index, entry.index - 1)
            self.membership = self.latest_membership()
        self.entries.append(entry)
        if entry.kind == "voters":
            self.membership = self.latest_membership()

    def append(self, term: int, kind: str, data: bytes) -> journal.Entry:
        """Append a new entry and return it."""
        entry = journal.Entry(self.last_index() + 1, term, kind, data)
        self.entries.append(entry)
        if kind == "voters":
            self.membership = self.latest_membership()
        return entry

    def has_membership_change_after(self, index: int) -> bool:
        """Return whether an entry after `index` changes the membership."""
        later = self.entries[max(0, index - self.snapshot.index) :]
        return any(entry.kind == "voters" for entry in later)

    def entries_between(self, after: int, last: int) -> list[journal.Entry]:
        """Return the entries after index `after`, up to and including `last`."""
        return self.entries[after - self.snapshot.index : max(0, last - self.snapshot.index)]

    def unsaved_entries(self) -> list[journal.Entry]:
        """Return the entries that are not durable yet."""
        return self.entries[max(0, self.saved_index - self.snapshot.index) :]

    def saved_entries(self) -> list[journal.Entry]:
        """Return the durable entries after the snapshot."""
        return self.entries[: max(0, self.saved_index - self.snapshot.index)]

    def discard_unsaved(self) -> None:
        """Discard the entries that are not durable."""
        del self.entries[max(0, self.saved_index - self.snapshot.index) :]
        self.membership = self.latest_membership()

    def install(self, snapshot: journal.Snapshot) -> None:
        """Replace the snapshot by a leader's; keep the later entries if they follow from it."""
        if self.term_at(snapshot.index) == snapshot.term:
            self.entries = self.entries[snapshot.index - self.snapshot.index :]
        else:
            self.entries = []
        self.snapshot = snapshot
        self.saved_index = max(snapshot.index, min(self.saved_index, self.last_index()))
        self.membership = self.latest_membership()

    def compact(self, index: int, state: bytes) -> journal.Snapshot:
        """Replace the entries up to `index` by a snapshot with `state`, and return it.

        Raises ValueError if the entry at `index` is compacted or missing.
        """
        snapshot = self.make_snapshot(index, state)
        self.entries = self.entries[index - self.snapshot.index :]
        self.snapshot = snapshot
        return snapshot

    def make_snapshot(self, index: int, state: bytes) -> journal.Snapshot:
        """Return a snapshot of `state` at `index`.

        Raises ValueError if the entry at `index` is compacted or missing.
        """
        term = self.term_at(index)
        if term is None:
            raise ValueError(f"index {index} is not in the log")
        voters = msgspec.msgpack.encode(self.membership_at(index))
        return journal.Snapshot(index, term, voters, state)
