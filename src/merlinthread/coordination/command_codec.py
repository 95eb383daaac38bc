"""Encoding of the commands of the replicated log: MessagePack pairs of command name and command."""

import msgspec

from merlinthread import errors
from merlinthread.coordination import fleet_state, levels


class CommandCodec:
    """Encodes and decodes the commands in `fleet_state.COMMANDS`."""

    def __init__(self) -> None:
        self.decoders: dict[str, msgspec.msgpack.Decoder] = {
            name: msgspec.msgpack.Decoder(kind)
            for name, kind in fleet_state.COMMANDS.entries.items()
        }
        self.names = {kind: name for name, kind in fleet_state.COMMANDS.entries.items()}
        self.envelope_decoder = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])

    def encode(self, command: fleet_state.Command) -> bytes:
        """Encode a command for an entry."""
        return msgspec.msgpack.encode((self.names[type(command)], command))

    def decode(self, data: bytes) -> fleet_state.Command:
        """Decode the command of an entry; raise KeyError or msgspec.DecodeError."""
        name, raw = self.envelope_decoder.decode(data)
        return self.decoders[name].decode(raw)

    def is_of(self, data: bytes, kinds: tuple[type, ...]) -> bool:
        """Return whether an encoded command is of one of these kinds."""
        name, _ = self.envelope_decoder.decode(data)
        return name in [self.names[kind] for kind in kinds]

    def level_of(self, command: bytes) -> levels.FormatLevel:
        """Return the format level that an encoded command requires.

        Raises ControlError if this build can't decode it: an entry can't be withdrawn, and builds
        that can't read it stop applying the log there.
        """
        try:
            return levels.level_of(type(self.decode(command)))
        except (KeyError, msgspec.DecodeError) as error:
            raise errors.ControlError(
                f"this build reads up to level {levels.NEWEST} and can't read the command: "
                f"{error!r}; send it to a newer one"
            )
