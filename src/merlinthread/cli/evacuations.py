"""The commands `evacuations` and `evacuate`, for the control VMs of platform nodes."""

import urllib.parse

import msgspec
from cleo.helpers import argument, option

from merlinthread import errors
from merlinthread.cli import base
from merlinthread.protocol import operator_calls


class EvacuationCommand(base.OperatorCommand):
    """A command that calls the evacuations of a control VM."""

    def call(self, method: str, path: str) -> bytes:
        """Call a control VM and return the response body; raise MerlinthreadError if it fails."""
        try:
            return self.control_client().call(method, path)
        except errors.MerlinthreadError as error:
            if error.kind is not errors.ErrorKind.UNKNOWN_ROUTE:
                raise
            raise errors.RequestError(
                "a control VM runs a build without evacuations; run the command again once all "
                "control VMs are upgraded",
                kind=error.kind,
            )


class Evacuations(EvacuationCommand):
    """Show the evacuated zones."""

    name = "evacuations"
    description = "Show the availability zones whose back ends get no requests."
    options = base.READ_OPTIONS

    def run_command(self) -> int:
        """Fetch the evacuated zones and print them."""
        found = msgspec.json.decode(
            self.call("GET", operator_calls.EVACUATIONS_PATH), type=operator_calls.EvacuatedZones
        )
        rows = [("evacuated", zone) for zone in found.zones]
        self.print_result(found, rows or [("evacuated", "none")])
        return 0


class Evacuate(EvacuationCommand):
    """Evacuate a zone, or withdraw its evacuation."""

    name = "evacuate"
    description = "Send no more requests to the back ends of an availability zone."
    arguments = [argument("zone", "Name of the zone, as in the settings of the control VMs.")]
    options = [
        option("withdraw", None, "Allow requests to the back ends of the zone again."),
        *base.READ_OPTIONS,
    ]

    def run_command(self) -> int:
        """Send the change, and print the state of the zone once it is committed."""
        zone = self.argument("zone")
        is_evacuated = not self.option("withdraw")
        method = "POST" if is_evacuated else "DELETE"
        # Bytes of the argument that are not UTF-8 are sent as they are, and refused there.
        encoded = urllib.parse.quote(zone, safe="", errors="surrogateescape")
        path = f"{operator_calls.EVACUATIONS_PATH}/{encoded}"
        self.call(method, path)
        state = "evacuated" if is_evacuated else "in use"
        self.print_result(
            {"zone": zone, "evacuated": is_evacuated}, [("zone", zone), ("is", state)]
        )
        return 0
