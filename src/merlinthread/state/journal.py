"""Persistent state of one member of a Raft group: term, vote, log entries and snapshot.

A snapshot file and a log file with the same sequence number are in use at a time. Compaction writes
the pair with the next number and removes the previous one.
"""

import dataclasses
import pathlib
import secrets

import msgspec

from merlinthread import errors
from merlinthread.state import records


@dataclasses.dataclass(slots=True)
class HardState:
    """The current term, and the candidate that got this member's vote in it, if any."""

    term: int = 0
    voted_for: str = ""


@dataclasses.dataclass(slots=True)
class Entry:
    """A log entry; `kind` is "command", "voters" or "empty"."""

    index: int
    term: int
    kind: str
    data: bytes = b""


@dataclasses.dataclass(slots=True)
class Snapshot:
    """The state after applying the entry at `index`, and the voters at that point."""

    index: int = 0
    term: int = 0
    voters: bytes = b""
    state: bytes = b""


@dataclasses.dataclass(slots=True)
class SnapshotFile:
    """The contents of a snapshot file: the snapshot, the vote and the entries after the snapshot.

    `commit` is an index known to be committed; entries up to it may be applied after a restart.
    """

    snapshot: Snapshot
    hard_state: HardState
    entries: list[Entry]
    commit: int = 0


@dataclasses.dataclass(slots=True)
class AppendRecord:
    """A record of the log file: a changed term or vote, new entries, or both.

    `commit` is an index known to be committed at the time of the write.
    """

    hard_state: HardState | None
    entries: list[Entry]
    commit: int = 0


class Journal:
    """Log entries, votes and snapshots under `folder`.

    Methods that change the state return after the data has been synced to disk. Raises
    LogDamagedError if a stored record is damaged.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.identity = self.load_identity()
        self.hard_state = HardState()
        self.snapshot = Snapshot()
        self.entries: list[Entry] = []
        self.commit = 0
        self.sequence = self.latest_sequence()
        self.load_snapshot()
        self.file = records.RecordFile(self.log_path(self.sequence))
        for payload in self.file.payloads:
            self.replay(payload)
        self.file.payloads = []
        self.remove_stale_files()

    def load_identity(self) -> str:
        """Return the random identity of the folder, creating it on the first start."""
        path = self.folder / "identity"
        if path.exists():
            return records.read_single(path).decode("ascii")
        identity = secrets.token_hex(16)
        records.write_atomic(path, identity.encode("ascii"))
        return identity

    def snapshot_path(self, sequence: int) -> pathlib.Path:
        """Return the path of the snapshot file with number `sequence`."""
        return self.folder / f"snapshot-{sequence:08d}.bin"

    def log_path(self, sequence: int) -> pathlib.Path:
        """Return the path of the log file with number `sequence`."""
        return self.folder / f"log-{sequence:08d}.bin"

    def latest_sequence(self) -> int:
        """Return the sequence number of the latest snapshot file, or 0 if there is none."""
        numbers = [int(path.stem.split("-")[1]) for path in self.folder.glob("snapshot-*.bin")]
        return max(numbers, default=0)

    def load_snapshot(self) -> None:
        """Load the current snapshot file, if it exists."""
        path = self.snapshot_path(self.sequence)
        if not path.exists():
            return
        contents = msgspec.msgpack.decode(records.read_single(path), type=SnapshotFile)
        self.snapshot = contents.snapshot
        self.hard_state = contents.hard_state
        self.entries = contents.entries
        self.commit = contents.commit

    def replay(self, payload: bytes) -> None:
        """Apply a record of the log file to the state in memory."""
        try:
            append = msgspec.msgpack.decode(payload, type=AppendRecord)
        except msgspec.DecodeError as error:
            raise errors.LogDamagedError(f"{self.file.path}: cannot decode a record: {error}")
        if append.hard_state is not None:
            self.hard_state = append.hard_state
        for entry in append.entries:
            self.put_entry(entry)
        self.commit = max(self.commit, append.commit)

    def put_entry(self, entry: Entry) -> None:
        """Store `entry` at its index, removing any existing entries from that index on."""
        keep_count = entry.index - self.snapshot.index - 1
        if keep_count < 0 or keep_count > len(self.entries):
            raise errors.LogDamagedError(
                f"{self.folder}: entry {entry.index} is out of sequence after entry "
                f"{self.snapshot.index + len(self.entries)}"
            )
        del self.entries[keep_count:]
        self.entries.append(entry)

    def save(self, hard_state: HardState | None, entries: list[Entry], commit: int = 0) -> None:
        """Append a changed vote and new entries in one synced record.

        `commit` is an index known to be committed, or 0. Raises DiskFullError.
        """
        commit = max(commit, self.commit)
        self.file.append(msgspec.msgpack.encode(AppendRecord(hard_state, entries, commit)))
        self.commit = commit
        if hard_state is not None:
            self.hard_state = dataclasses.replace(hard_state)
        for entry in entries:
            self.put_entry(entry)

    def compact(self, snapshot: Snapshot, later_entries: list[Entry]) -> None:
        """Replace the log with `snapshot` and the entries after it; raise DiskFullError."""
        commit = max(self.commit, snapshot.index)
        contents = SnapshotFile(snapshot, self.hard_state, later_entries, commit)
        next_sequence = self.sequence + 1
        records.write_atomic(self.snapshot_path(next_sequence), msgspec.msgpack.encode(contents))
        self.file.close()
        self.file = records.RecordFile(self.log_path(next_sequence))
        self.sequence = next_sequence
        self.snapshot = snapshot
        self.commit = commit
        self.entries = list(later_entries)
        self.remove_stale_files()

    def remove_stale_files(self) -> None:
        """Remove all files with other sequence numbers than the current one.

        A snapshot file is durable before its log file is created. A log file with a higher number
        than the latest snapshot is therefore left over from an earlier use of the folder.
        """
        for path in self.folder.glob("*-*.bin"):
            if int(path.stem.split("-")[1]) != self.sequence:
                path.unlink()

    def size_bytes(self) -> int:
        """Return the total size of the snapshot and log files."""
        return sum(path.stat().st_size for path in self.folder.glob("*-*.bin"))

    def close(self) -> None:
        """Close the log file."""
        self.file.close()
