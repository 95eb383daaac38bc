"""The interface between the nodes and the wire formats of a platform.

Nodes use only these methods and the types of `coordination.fleet`. A dialect is stateless and
makes no decisions. `merlinthread.platform` has an implementation.
"""

import dataclasses
from typing import Protocol

from merlinthread.coordination import fleet
from merlinthread.transport import http_messages


@dataclasses.dataclass(slots=True)
class PutConfiguration:
    """Replace the configuration; `body` is stored as received."""

    configuration: fleet.Configuration
    body: bytes


@dataclasses.dataclass(slots=True)
class GetConfiguration:
    """Return the newest configuration."""


@dataclasses.dataclass(slots=True)
class NameVersion:
    """Publish a new version of a model's weights."""

    model: str
    version: int


@dataclasses.dataclass(slots=True)
class ReceiveHeartbeat:
    """Process a back end's heartbeat, which says whether it is ready or draining."""

    heartbeat: fleet.Heartbeat


@dataclasses.dataclass(slots=True)
class RemoveInstance:
    """Remove a back end that has stopped."""

    instance: str


@dataclasses.dataclass(slots=True)
class GetEvacuations:
    """Return the evacuated zones."""


@dataclasses.dataclass(slots=True)
class EvacuateZone:
    """Send no more requests to the back ends of a zone; the zone may be unknown."""

    zone: str


@dataclasses.dataclass(slots=True)
class WithdrawEvacuation:
    """Allow requests to the back ends of a zone again; the zone may be unknown."""

    zone: str


ControlCall = (
    PutConfiguration
    | GetConfiguration
    | NameVersion
    | ReceiveHeartbeat
    | RemoveInstance
    | GetEvacuations
    | EvacuateZone
    | WithdrawEvacuation
)


class Dialect(Protocol):
    """Conversions between wire formats and the types of the nodes."""

    def parse_configuration(self, body: bytes) -> fleet.Configuration:
        """Parse a configuration; raise ConfigurationError if it is invalid."""

    def parse_control_call(self, request: http_messages.Request) -> ControlCall:
        """Parse a call of an operator or back end; raise MerlinthreadError if it is invalid."""

    def parse_request_head(self, request: http_messages.Request) -> fleet.RequestHead:
        """Parse the head of a client's request; raise RequestError if it is invalid."""

    def is_readiness_check(self, request: http_messages.Request) -> bool:
        """Return whether a request is a readiness check of the node."""

    def target_request(
        self, request: http_messages.Request, target: fleet.Target
    ) -> http_messages.Request:
        """Return the request to send to a back end."""

    def parse_response_head(
        self, status: int, headers: http_messages.Headers
    ) -> fleet.ResponseHead:
        """Parse the head of a back end's response."""

    def parse_cold(self, headers: http_messages.Headers) -> tuple[float | None, str]:
        """Parse how long a back end will still be cold, in seconds, or why that is invalid.

        The time is None if the headers do not say.
        """

    def identity_request(self, address: str, path: str, expected_id: str) -> http_messages.Request:
        """Return the health check of a back end that only the one with `expected_id` accepts."""

    def error_headers(self, call: fleet.RequestHead | None) -> http_messages.Headers:
        """Return the headers of an error response that the node itself sends."""

    def report_request(self, address: str) -> http_messages.Request:
        """Return the request for an engine's status report."""

    def parse_report(self, body: bytes) -> fleet.EngineReport:
        """Parse an engine's status report; raise ProtocolError if it is invalid."""

    def manifest_request(self, address: str, model: str, version: int) -> http_messages.Request:
        """Return the request to the origin for the manifest of a version."""

    def parse_manifest(self, body: bytes) -> fleet.Manifest:
        """Parse a manifest; raise ProtocolError if it is invalid."""

    def piece_request(
        self, address: str, model: str, version: int, index: int
    ) -> http_messages.Request:
        """Return the request to the origin for one piece of the weights."""

    def stage_request(
        self, address: str, model: str, index: int, data: bytes
    ) -> http_messages.Request:
        """Return the request that uploads a piece to an engine's staging area."""

    def staged_request(self, address: str, model: str, index: int) -> http_messages.Request:
        """Return the request for a piece in an engine's staging area."""

    def load_request(
        self,
        address: str,
        model: str,
        version: int,
        truncates_streams: bool,
        layers: range | None = None,
        revision: int | None = None,
    ) -> http_messages.Request:
        """Return the request that makes an engine load `layers` of the staged weights, or all.

        The engine refuses it if it has not taken exactly `revision` orders, unless that is None.
        """
