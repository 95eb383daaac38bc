"""The policies that a node uses, chosen by name in a policy file and validated at start.

The file is plain JSON rather than JSON with comments, whose parser is slow to import.
"""

import dataclasses
import pathlib

import msgspec

from merlinthread import errors, registry
from merlinthread.coordination import fetch, fetch_claimed, fetch_policies, retry_delays

# Imported for their decorators, which register the policies.
POLICY_MODULES = (fetch_claimed, fetch_policies, retry_delays)

POLICY_REGISTRIES: dict[str, registry.Registry] = {
    "fetch": fetch.POLICIES,
    "returns": retry_delays.POLICIES,
}


@dataclasses.dataclass(slots=True)
class NodePolicy:
    """The names of the policies in use.

    `fetch` selects the sources from which an agent fetches pieces of weights: `claimed` loads the
    origin less than `zoned`. `returns` computes the retry delay of a refused client.
    """

    fetch: str = "zoned"
    returns: str = "forecast"


class PolicyBody(msgspec.Struct, forbid_unknown_fields=True):
    """The contents of a policy file; missing fields have the defaults of `NodePolicy`."""

    fetch: str = NodePolicy().fetch
    returns: str = NodePolicy().returns


def load(path: pathlib.Path) -> NodePolicy:
    """Read a policy file; raise SettingsError if it is unreadable or names an unknown policy."""
    try:
        body = msgspec.json.decode(path.read_bytes(), type=PolicyBody)
    except OSError as error:
        raise errors.SettingsError(f"{path}: {error.strerror}; pass the path of a readable file")
    except msgspec.DecodeError as error:
        known = ", ".join(POLICY_REGISTRIES)
        raise errors.SettingsError(f"{path}: {error}; the fields are {known}")
    for field, policies in POLICY_REGISTRIES.items():
        name = getattr(body, field)
        if name not in policies.entries:
            raise errors.SettingsError(
                f"{path}: {field}: unknown policy {name!r}; the policies are {', '.join(policies)}",
                field=field,
            )
    return NodePolicy(**{field: getattr(body, field) for field in POLICY_REGISTRIES})
