"""One sample of all that builds write for each other: made by one build, read by another.

`python -m bench.release_bytes write FILE` writes, as JSON, the bytes of each message between
control VMs, entries and agents, of each entry of the log, of a snapshot and of a data folder, as
the build on the path makes them. `read FILE` reads them with the build on the path, and prints one
line for each that it can't read. Both run with builds of before: they import nothing but those
modules.
"""

import dataclasses
import enum
import json
import pathlib
import sys
import tempfile
import types
import typing

import msgspec

from merlinthread import errors
from merlinthread.coordination import fleet_state, raft_messages
from merlinthread.protocol import codec as codecs
from merlinthread.protocol import node_messages
from merlinthread.state import journal

CODEC = codecs.Codec([raft_messages.MESSAGES, node_messages.MESSAGES], [])
PLAIN = {str: "s", int: 1, float: 1.5, bool: True, bytes: b"b"}


def sample(kind: typing.Any) -> typing.Any:
    """Return a value of a type, with one element in each list and table."""
    if kind in PLAIN:
        return PLAIN[kind]
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return next(iter(kind))
    if dataclasses.is_dataclass(kind):
        hints = typing.get_type_hints(kind)
        return kind(**{field.name: sample(hints[field.name]) for field in dataclasses.fields(kind)})
    origin, inner = typing.get_origin(kind), typing.get_args(kind)
    if origin is list:
        return [sample(inner[0])]
    if origin is dict:
        return {sample(inner[0]): sample(inner[1])}
    if origin in (types.UnionType, typing.Union):
        return sample(next(one for one in inner if one is not type(None)))
    raise TypeError(f"no sample of {kind}")


def commands() -> dict[str, bytes]:
    """Return a sample of each entry of the log, by its name."""
    return {
        name: msgspec.msgpack.encode((name, sample(kind)))
        for name, kind in fleet_state.COMMANDS.entries.items()
    }


def data_folder(entries: list[bytes]) -> dict[str, str]:
    """Return the files of a member's folder: a snapshot, and a log with these commands."""
    with tempfile.TemporaryDirectory() as name:
        saved = journal.Journal(pathlib.Path(name))
        state = msgspec.msgpack.encode(sample(fleet_state.FleetState))
        snapshot = journal.Snapshot(1, 1, msgspec.msgpack.encode(raft_messages.Voters()), state)
        saved.compact(snapshot, [])
        log = [journal.Entry(2 + n, 1, "command", data) for n, data in enumerate(entries)]
        saved.save(journal.HardState(1, "s"), log, 1)
        saved.close()
        return {path.name: path.read_bytes().hex() for path in pathlib.Path(name).iterdir()}


def write(path: pathlib.Path) -> None:
    """Write the samples of the build on the path."""
    found = commands()
    frames = {name: CODEC.encode(sample(kind)).hex() for name, kind in CODEC.types.items()}
    state = msgspec.msgpack.encode(sample(fleet_state.FleetState)).hex()
    samples = {
        "messages": frames,
        "commands": {name: data.hex() for name, data in found.items()},
        "snapshot": state,
        "folder": data_folder(list(found.values())),
    }
    path.write_text(json.dumps(samples, indent=1, sort_keys=True) + "\n")


def unread(path: pathlib.Path) -> list[str]:
    """Return the names of the samples that the build on the path can't read."""
    samples = json.loads(path.read_text())
    found = [name for name, text in samples["messages"].items() if not is_message(name, text)]
    found += [name for name, text in samples["commands"].items() if not is_command(text)]
    state = msgspec.msgpack.decode(bytes.fromhex(samples["snapshot"]), type=fleet_state.FleetState)
    if not state.named:
        found.append("snapshot")
    if folder_entries(samples["folder"]) != sorted(samples["commands"].values()):
        found.append("folder")
    return found


def is_message(name: str, text: str) -> bool:
    """Return whether a frame is read as the message of that name."""
    try:
        return CODEC.names[type(CODEC.decode(bytes.fromhex(text)))] == name
    except errors.ProtocolError:
        return False


def is_command(text: str) -> bool:
    """Return whether an entry of the log is read."""
    name, raw = msgspec.msgpack.decode(bytes.fromhex(text), type=tuple[str, msgspec.Raw])
    if name not in fleet_state.COMMANDS.entries:
        return False
    msgspec.msgpack.decode(raw, type=fleet_state.COMMANDS.get(name))
    return True


def folder_entries(files: dict[str, str]) -> list[str]:
    """Return the entries that are read from a data folder."""
    with tempfile.TemporaryDirectory() as name:
        for file, text in files.items():
            (pathlib.Path(name) / file).write_bytes(bytes.fromhex(text))
        saved = journal.Journal(pathlib.Path(name))
        saved.close()
        return sorted(entry.data.hex() for entry in saved.entries)


def main(arguments: list[str]) -> int:
    """Write samples, or read some; return 1 if any can't be read."""
    if len(arguments) != 2 or arguments[0] not in ("write", "read"):
        print("usage: python -m bench.release_bytes write|read FILE")
        return 2
    path = pathlib.Path(arguments[1])
    if arguments[0] == "write":
        write(path)
        return 0
    names = unread(path)
    for name in names:
        print(name)
    return 1 if names else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
