"""Base class and common options of the commands."""

import json
import math
import sys
from typing import Any

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from merlinthread import errors
from merlinthread.cli import client
from merlinthread.protocol import error_responses

JSON_OPTION = option("json", None, "Print JSON instead of a table.")
CONTROLS_OPTION = option(
    "controls", "c", "Control VMs as IP:port,IP:port (default: MERLINTHREAD_CONTROLS).", flag=False
)
TIMEOUT_OPTION = option(
    "timeout-s", None, "Time limit for all attempts, in seconds.", flag=False, default="15"
)
REQUEST_ID_OPTION = option(
    "request-id",
    None,
    "Request ID of an earlier command, to repeat it and get the same result.",
    flag=False,
)
OPERATOR_OPTION = option("operator", "o", "Your name in control.operators.", flag=False)
READ_OPTIONS: list[Option] = [JSON_OPTION, CONTROLS_OPTION, TIMEOUT_OPTION]
WRITE_OPTIONS: list[Option] = [*READ_OPTIONS, REQUEST_ID_OPTION, OPERATOR_OPTION]


class OperatorCommand(Command):
    """A command that reports errors in one line and with a documented exit code."""

    def handle(self) -> int:
        """Run the command and handle its errors; return the exit code."""
        try:
            return self.run_command()
        except errors.MerlinthreadError as error:
            return self.report_error(error)
        except OSError as error:
            return self.report_error(errors.RequestError(str(error)))

    def run_command(self) -> int:
        """Run the command and return its exit code; raise MerlinthreadError if it fails."""
        raise NotImplementedError

    def report_error(self, error: errors.MerlinthreadError) -> int:
        """Print an error and return its exit code."""
        body = error_responses.error_body(error)
        if self.option("json"):
            print(msgspec.json.encode(body).decode())
        else:
            print(f"{error.kind}: {error.message}", file=sys.stderr)
            if body.retry_after_s is not None:
                print(f"try again in {body.retry_after_s:g} s", file=sys.stderr)
        return error_responses.RESPONSES[error.kind].exit_code

    def control_client(self) -> client.ControlClient:
        """Return a client for the control VMs; raise MerlinthreadError for invalid options."""
        try:
            timeout_s = float(self.option("timeout-s"))
        except ValueError:
            timeout_s = math.nan
        if not 0 < timeout_s < math.inf:
            raise errors.RequestError(
                f"--timeout-s: {self.option('timeout-s')!r} is not a number of seconds above 0"
            )
        return client.ControlClient(client.parse_addresses(self.option("controls")), timeout_s)

    def request_id(self) -> str:
        """Return the request ID from the options, or a new one."""
        return client.new_request_id(self.option("request-id"))

    def operator_name(self) -> str:
        """Return the operator's name; raise RequestError if it is missing."""
        name = self.option("operator")
        if not name:
            raise errors.RequestError("--operator: missing; pass your name in control.operators")
        return name

    def bundle_version(self) -> int:
        """Return the `version` argument; raise RequestError unless it is a number."""
        text = self.argument("version")
        if not text.isdigit():
            raise errors.RequestError(f"version: {text!r} is not a bundle version; pass a number")
        return int(text)

    def print_result(self, data: Any, rows: list[tuple[str, Any]]) -> None:
        """Print `data` as JSON if `--json` is set, else `rows` as two columns."""
        if self.option("json"):
            print(json.dumps(msgspec.to_builtins(data), ensure_ascii=False))
            return
        width = max((len(name) for name, _ in rows), default=0)
        for name, value in rows:
            print(f"{name:<{width}}  {value}")

    def print_table(self, headers: list[str], rows: list[list[Any]]) -> None:
        """Print a table with a header row."""
        table = self.table(headers, [[str(cell) for cell in row] for row in rows])
        table.set_style("compact")
        table.render()
