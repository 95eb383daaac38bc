"""The identity of a control VM in the replicated log, stored in a file next to its journal.

A member's name contains its address. A VM that returns with an empty disk gets a new name, since it
has lost the votes and entries of its former member.
"""

import dataclasses
import pathlib

import msgspec

from merlinthread.coordination import levels
from merlinthread.nodes import node_settings
from merlinthread.state import records

FILE_NAME = "member.json"


@dataclasses.dataclass(slots=True)
class Membership:
    """The stored identity of a member.

    `first_voters` are the initial voters of the group, or empty if this member is not one of them.
    `first_level` is the format level of the build that created the group, or 0 if this member
    joined later or an older build wrote the file.
    """

    name: str
    first_voters: list[str]
    first_level: int = 0


def load_or_create(
    folder: pathlib.Path,
    settings: node_settings.NodeSettings,
    address: str,
    identity: str,
    is_first_start: bool,
) -> Membership:
    """Load the identity of the member at `address`, or create and store it at the first start.

    `identity` is that of the journal in `folder`. `is_first_start` is true if the group is created.
    """
    path = folder / FILE_NAME
    if path.exists():
        return msgspec.json.decode(records.read_single(path), type=Membership)
    seeds = settings.control_rpc_addresses()
    if is_first_start:
        voters = seeds if address in seeds else []
        created = Membership(address, voters, levels.NEWEST)
    else:
        created = Membership(f"{address}#{identity[:12]}", [])
    records.write_atomic(path, msgspec.json.encode(created))
    return created
