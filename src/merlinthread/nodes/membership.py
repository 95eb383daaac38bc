"""Who a control VM is in the replicated log, kept in a file beside its journal.

A member's name holds its address. A machine that comes back with an empty disk is another member:
it has lost what the first one promised.
"""

import dataclasses
import pathlib

import msgspec

from merlinthread.coordination import levels
from merlinthread.nodes import node_settings
from merlinthread.state import records

FILE = "member.json"


@dataclasses.dataclass(slots=True)
class Membership:
    """A member's name, and the voters of the log's first start if it was there.

    `first_level` is the level of the build that made that first start, 0 if it was not there or if
    an older build wrote the file.
    """

    name: str
    first_voters: list[str]
    first_level: int = 0


def load(
    folder: pathlib.Path,
    settings: node_settings.NodeSettings,
    address: str,
    identity: str,
    is_first_start: bool,
) -> Membership:
    """Return who the member at `address` is; decided at its first start and kept.

    `identity` is that of the journal in `folder`.
    """
    path = folder / FILE
    if path.exists():
        return msgspec.json.decode(records.read_single(path), type=Membership)
    seeds = settings.control_rpc_addresses()
    if is_first_start:
        voters = seeds if address in seeds else []
        found = Membership(address, voters, levels.NEWEST)
    else:
        found = Membership(f"{address}#{identity[:12]}", [])
    records.write_atomic(path, msgspec.json.encode(found))
    return found
