"""The durable half of one member of a replicated log: its vote, its entries and its snapshot.

One snapshot file and one record file are live at a time; compaction writes the next pair and then
removes the last, so the folder's size follows the state, not the history.
"""

import dataclasses
import pathlib
import secrets

import msgspec

from merlinthread import errors
from merlinthread.state import records


@dataclasses.dataclass(slots=True)
class HardState:
    """What a member must remember about elections: its term and whom it voted for in it."""

    term: int = 0
    voted_for: str = ""


@dataclasses.dataclass(slots=True)
class Entry:
    """One entry of the log; `kind` is "command", "voters" or "empty"."""

    index: int
    term: int
    kind: str
    data: bytes = b""


@dataclasses.dataclass(slots=True)
class Snapshot:
    """The applied state up to and including `index`, with the voters in force there."""

    index: int = 0
    term: int = 0
    voters: bytes = b""
    state: bytes = b""


@dataclasses.dataclass(slots=True)
class SnapshotFile:
    """All that a snapshot file holds: the snapshot, the vote, and the entries that follow it.

    `commit` is an index known to be committed; the entries up to it may be applied at a restart.
    """

    snapshot: Snapshot
    hard_state: HardState
    entries: list[Entry]
    commit: int = 0


@dataclasses.dataclass(slots=True)
class Append:
    """What one append makes durable: a changed vote, new entries, or both.

    `commit` is an index that was known to be committed when it was written.
    """

    hard_state: HardState | None
    entries: list[Entry]
    commit: int = 0


class Journal:
    """Entries, votes and snapshots under `folder`; every method returns only after a sync."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.identity = self.load_identity()
        self.hard_state = HardState()
        self.snapshot = Snapshot()
        self.entries: list[Entry] = []
        self.commit = 0
        self.sequence = self.latest_sequence()
        self.load_image()
        self.file = records.RecordFile(self.log_path(self.sequence))
        for payload in self.file.payloads:
            self.replay(payload)
        self.file.payloads = []
        self.remove_others()

    def load_identity(self) -> str:
        """Return the folder's identity: random, made at the first start, kept ever after."""
        path = self.folder / "identity"
        if path.exists():
            return records.read_single(path).decode("ascii")
        identity = secrets.token_hex(16)
        records.write_atomic(path, identity.encode("ascii"))
        return identity

    def snapshot_path(self, sequence: int) -> pathlib.Path:
        """Return the snapshot file's path for `sequence`."""
        return self.folder / f"snapshot-{sequence:08d}.bin"

    def log_path(self, sequence: int) -> pathlib.Path:
        """Return the record file's path for `sequence`."""
        return self.folder / f"log-{sequence:08d}.bin"

    def latest_sequence(self) -> int:
        """Return the number of the newest snapshot file, or 0 if there is none."""
        numbers = [int(path.stem.split("-")[1]) for path in self.folder.glob("snapshot-*.bin")]
        return max(numbers, default=0)

    def load_image(self) -> None:
        """Read the newest snapshot file, if there is one."""
        path = self.snapshot_path(self.sequence)
        if not path.exists():
            return
        image = msgspec.msgpack.decode(records.read_single(path), type=SnapshotFile)
        self.snapshot = image.snapshot
        self.hard_state = image.hard_state
        self.entries = image.entries
        self.commit = image.commit

    def replay(self, payload: bytes) -> None:
        """Apply one record that was read back."""
        try:
            append = msgspec.msgpack.decode(payload, type=Append)
        except msgspec.DecodeError as error:
            raise errors.LogDamagedError(f"{self.file.path}: a record does not decode: {error}")
        if append.hard_state is not None:
            self.hard_state = append.hard_state
        for entry in append.entries:
            self.place(entry)
        self.commit = max(self.commit, append.commit)

    def place(self, entry: Entry) -> None:
        """Put `entry` at its index and drop what a former leader had put there and after it."""
        keep = entry.index - self.snapshot.index - 1
        if keep < 0 or keep > len(self.entries):
            raise errors.LogDamagedError(
                f"{self.folder}: entry {entry.index} leaves a gap after "
                f"{self.snapshot.index + len(self.entries)}"
            )
        del self.entries[keep:]
        self.entries.append(entry)

    def save(self, hard_state: HardState | None, entries: list[Entry], commit: int = 0) -> None:
        """Append a changed vote and new entries with one sync; raise DiskFullError.

        `commit` is what is known to be committed now, or 0.
        """
        commit = max(commit, self.commit)
        self.file.append(msgspec.msgpack.encode(Append(hard_state, entries, commit)))
        self.commit = commit
        if hard_state is not None:
            self.hard_state = dataclasses.replace(hard_state)
        for entry in entries:
            self.place(entry)

    def compact(self, snapshot: Snapshot, follows: list[Entry]) -> None:
        """Replace the log by `snapshot` and the entries that follow it; raise DiskFullError."""
        commit = max(self.commit, snapshot.index)
        image = SnapshotFile(snapshot, self.hard_state, follows, commit)
        following = self.sequence + 1
        records.write_atomic(self.snapshot_path(following), msgspec.msgpack.encode(image))
        self.file.close()
        self.file = records.RecordFile(self.log_path(following))
        self.sequence = following
        self.snapshot = snapshot
        self.commit = commit
        self.entries = list(follows)
        self.remove_others()

    def remove_others(self) -> None:
        """Remove files of other sequences than the present one.

        A snapshot file is durable before its record file is made. So later record files are left
        over from a folder that was emptied and came back in part after a loss of power.
        """
        for path in self.folder.glob("*-*.bin"):
            if int(path.stem.split("-")[1]) != self.sequence:
                path.unlink()

    def size_bytes(self) -> int:
        """Return the bytes of the live files."""
        return sum(path.stat().st_size for path in self.folder.glob("*-*.bin"))

    def close(self) -> None:
        """Close the record file."""
        self.file.close()
