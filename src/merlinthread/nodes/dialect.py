"""What a deployment's platform must translate for the nodes; `merlinthread.platform` holds one.

Nodes know only these calls and the types of `protocol.fleet`. A dialect has no state and decides
nothing.
"""

import dataclasses
from typing import Protocol

from merlinthread.coordination import fleet
from merlinthread.transport import http_messages


@dataclasses.dataclass(slots=True)
class PutConfiguration:
    """An operator puts a configuration in force; `body` is kept as it was sent."""

    configuration: fleet.Configuration
    body: bytes


@dataclasses.dataclass(slots=True)
class GetConfiguration:
    """An operator reads the newest configuration back."""


@dataclasses.dataclass(slots=True)
class NameVersion:
    """An operator names new weights."""

    model: str
    version: int


@dataclasses.dataclass(slots=True)
class ReceiveHeartbeat:
    """A back end tells that it lives, or that it drains."""

    heartbeat: fleet.Heartbeat


@dataclasses.dataclass(slots=True)
class Leave:
    """A back end ends."""

    instance: str


ControlCall = PutConfiguration | GetConfiguration | NameVersion | ReceiveHeartbeat | Leave


class Dialect(Protocol):
    """The translations that the nodes ask for."""

    def configuration(self, body: bytes) -> fleet.Configuration:
        """Read a configuration; raise ConfigurationError."""

    def control_call(self, request: http_messages.Request) -> ControlCall:
        """Read a call of an operator or back end; raise MerlinthreadError."""

    def client_call(self, request: http_messages.Request) -> fleet.RequestHead:
        """Read the head of a client's request; raise RequestError."""

    def is_readiness_check(self, request: http_messages.Request) -> bool:
        """Return whether a request asks if the node is ready."""

    def target_request(
        self, request: http_messages.Request, target: fleet.Target
    ) -> http_messages.Request:
        """Return the request as a back end gets it."""

    def response_head(self, status: int, headers: http_messages.Headers) -> fleet.ResponseHead:
        """Read the head of a back end's answer."""

    def error_headers(self, call: fleet.RequestHead | None) -> http_messages.Headers:
        """Return the headers of an answer of the node's own."""

    def report_request(self, address: str) -> http_messages.Request:
        """Return the request for an engine's report."""

    def report(self, body: bytes) -> fleet.EngineReport:
        """Read an engine's report; raise ProtocolError."""

    def manifest_request(self, address: str, model: str, version: int) -> http_messages.Request:
        """Return the request for a version's manifest."""

    def manifest(self, body: bytes) -> fleet.Manifest:
        """Read a manifest; raise ProtocolError."""

    def piece_request(
        self, address: str, model: str, version: int, index: int
    ) -> http_messages.Request:
        """Return the request for a piece from the origin."""

    def stage_request(
        self, address: str, model: str, index: int, data: bytes
    ) -> http_messages.Request:
        """Return the request that lays a piece at an engine."""

    def staged_request(self, address: str, model: str, index: int) -> http_messages.Request:
        """Return the request for a piece that lies at an engine."""

    def load_request(
        self, address: str, model: str, version: int, cuts_streams: bool
    ) -> http_messages.Request:
        """Return the order that makes an engine take the staged weights."""
