"""Which way each decision of a node is made: names out of the registries, checked at the start.

The file is plain JSON and not JSON with comments: each node reads it at its start, and the parser
of the other takes 20 ms to import (on a busy machine).
"""

import dataclasses
import pathlib

import msgspec

from merlinthread import errors, registry
from merlinthread.coordination import fetch, fetch_claimed, fetch_policies, return_times

# The modules whose decorators fill the registries.
WAYS_IN = (fetch_claimed, fetch_policies, return_times)

POLICY_REGISTRIES: dict[str, registry.Registry] = {
    "fetch": fetch.POLICIES,
    "returns": return_times.POLICIES,
}


@dataclasses.dataclass(slots=True)
class NodePolicy:
    """The name of the way in force, by decision.

    `fetch`: where an agent gets the pieces of weights from; `claimed` spares the origin, `zoned`
    takes more of it. `returns`: when a client that is refused is told to come back.
    """

    fetch: str = "zoned"
    returns: str = "forecast"


class PolicyBody(msgspec.Struct, forbid_unknown_fields=True):
    """The policy file; what it leaves out stays as it is by default."""

    fetch: str = NodePolicy().fetch
    returns: str = NodePolicy().returns


def load(path: pathlib.Path) -> NodePolicy:
    """Read a policy file; raise SettingsError naming the field, its value and what there is."""
    try:
        body = msgspec.json.decode(path.read_bytes(), type=PolicyBody)
    except OSError as error:
        raise errors.SettingsError(f"{path}: {error.strerror}; name a file that can be read")
    except msgspec.DecodeError as error:
        known = ", ".join(POLICY_REGISTRIES)
        raise errors.SettingsError(f"{path}: {error}; the decisions are {known}")
    for decision, ways in POLICY_REGISTRIES.items():
        name = getattr(body, decision)
        if name not in ways.entries:
            raise errors.SettingsError(
                f"{path}: {decision}: there is no {name!r}; there is {', '.join(ways)}",
                field=decision,
            )
    return NodePolicy(**{decision: getattr(body, decision) for decision in POLICY_REGISTRIES})
