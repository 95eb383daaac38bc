"""Compatibility check: samples of encoded data, written by one build and read by another.

`python -m bench.release_bytes write FILE` writes a JSON file with the encoded form of each message
between nodes, each log command, a snapshot and a data folder, produced by the build on the path.
`read FILE` decodes them with the build on the path and prints the name of each sample that it can't
read. Both must also run with earlier builds, so this module requires only modules that those have.
"""

import contextlib
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

REGISTRIES = [raft_messages.MESSAGES, node_messages.MESSAGES]
# Earlier builds register the messages about pieces of weights in `node_messages`.
with contextlib.suppress(ImportError):
    from merlinthread.protocol import piece_messages

    REGISTRIES.append(piece_messages.MESSAGES)
CODEC = codecs.Codec(REGISTRIES, [])
PRIMITIVES = {str: "s", int: 1, float: 1.5, bool: True, bytes: b"b"}


def sample(kind: typing.Any) -> typing.Any:
    """Return a value of a type, with one element in each list and dict."""
    if kind in PRIMITIVES:
        return PRIMITIVES[kind]
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


def command_samples() -> dict[str, bytes]:
    """Return an encoded sample of each log command, by name."""
    return {
        name: msgspec.msgpack.encode((name, sample(kind)))
        for name, kind in fleet_state.COMMANDS.entries.items()
    }


def data_folder(entries: list[bytes]) -> dict[str, str]:
    """Return the files of a data folder with a snapshot and a log of these commands, as hex."""
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
    """Write samples of all encoded data to a file."""
    found = command_samples()
    frames = {name: CODEC.encode(sample(kind)).hex() for name, kind in CODEC.types.items()}
    state = msgspec.msgpack.encode(sample(fleet_state.FleetState)).hex()
    samples = {
        "messages": frames,
        "commands": {name: data.hex() for name, data in found.items()},
        "snapshot": state,
        "folder": data_folder(list(found.values())),
    }
    path.write_text(json.dumps(samples, indent=1, sort_keys=True) + "\n")


def find_unreadable(path: pathlib.Path) -> list[str]:
    """Return the names of the samples in a file that this build can't read."""
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
    """Return whether a frame decodes to the message called `name`."""
    try:
        return CODEC.names[type(CODEC.decode(bytes.fromhex(text)))] == name
    except errors.ProtocolError:
        return False


def is_command(text: str) -> bool:
    """Return whether a log command is known and decodes."""
    name, raw = msgspec.msgpack.decode(bytes.fromhex(text), type=tuple[str, msgspec.Raw])
    if name not in fleet_state.COMMANDS.entries:
        return False
    msgspec.msgpack.decode(raw, type=fleet_state.COMMANDS.get(name))
    return True


def folder_entries(files: dict[str, str]) -> list[str]:
    """Return the log commands read from a data folder, sorted, as hex."""
    with tempfile.TemporaryDirectory() as name:
        for file, text in files.items():
            (pathlib.Path(name) / file).write_bytes(bytes.fromhex(text))
        saved = journal.Journal(pathlib.Path(name))
        saved.close()
        return sorted(entry.data.hex() for entry in saved.entries)


def main(arguments: list[str]) -> int:
    """Write or read samples; return 1 if any can't be read, 2 for wrong usage."""
    if len(arguments) != 2 or arguments[0] not in ("write", "read"):
        print("usage: python -m bench.release_bytes write|read FILE")
        return 2
    path = pathlib.Path(arguments[1])
    if arguments[0] == "write":
        write(path)
        return 0
    names = find_unreadable(path)
    for name in names:
        print(name)
    return 1 if names else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
