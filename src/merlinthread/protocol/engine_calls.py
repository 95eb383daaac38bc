"""Messages of the part of the engines' HTTP API that the agent uses."""

import dataclasses
from typing import Any

LOAD = "load"
UNLOAD = "unload"


@dataclasses.dataclass(slots=True)
class FencingToken:
    """The highest generation and epoch that an engine accepted; it rejects orders below either."""

    generation: int = 0
    epoch: int = 0


@dataclasses.dataclass(slots=True)
class Order:
    """An order to load a model version from `weights_url`, or to unload one.

    `action` is LOAD or UNLOAD.
    """

    action: str
    name: str
    generation: int
    epoch: int
    version: str = ""
    manifest: str = ""
    base: str = ""
    weights_url: str = ""
    layout: Any = None


@dataclasses.dataclass(slots=True)
class OrderReply:
    """What the engine has loaded as `name`; `digest` is that of the manifest it verified."""

    name: str
    digest: str


@dataclasses.dataclass(slots=True)
class EngineStatus:
    """The state of an engine; `models` maps model and adapter names to manifest digests.

    `running` and `waiting` are numbers of requests.
    """

    models: dict[str, str]
    running: int
    waiting: int
    fence: FencingToken
    is_leaving: bool = False
