"""The published HTTP protocol of engines, as far as the agent uses it."""

import dataclasses
from typing import Any

LOAD = "load"
UNLOAD = "unload"


@dataclasses.dataclass(slots=True)
class FencingToken:
    """What an engine last obeyed; an order lower in either number is refused."""

    generation: int = 0
    epoch: int = 0


@dataclasses.dataclass(slots=True)
class Order:
    """An order to load a version from `weights_url`, or to drop one."""

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
    """What the engine holds under `name` now; `digest` is the manifest it verified itself."""

    name: str
    digest: str


@dataclasses.dataclass(slots=True)
class EngineStatus:
    """An engine's report; `models` maps model and adapter names to manifest digests."""

    models: dict[str, str]
    running: int
    waiting: int
    fence: FencingToken
    is_leaving: bool = False
