"""The services of the newest configuration that a control VM has applied."""

import zlib

from merlinthread.coordination import fleet
from merlinthread.nodes import dialect as dialects
from merlinthread.nodes import log_member


class ConfiguredServices:
    """Finds services by name; the configuration is parsed once for each version, when needed."""

    def __init__(self, dialect: dialects.Dialect, member: log_member.LogMember) -> None:
        self.dialect = dialect
        self.member = member
        self.version = 0
        self.by_name: dict[str, fleet.Service] = {}

    def find(self, name: str) -> fleet.Service | None:
        """Return a service, or None if it is not configured."""
        state = self.member.state
        if state.version != self.version:
            configuration = self.dialect.parse_configuration(zlib.decompress(state.body))
            self.by_name = {service.name: service for service in configuration.services}
            self.version = state.version
        return self.by_name.get(name)
