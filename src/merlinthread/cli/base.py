"""What the commands share: options, error answers, JSON or a table."""

import json
import sys
from typing import Any

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from merlinthread import errors
from merlinthread.cli import client
from merlinthread.protocol import error_responses

JSON_OPTION = option("json", None, "Print one JSON object instead of a table.")
CONTROLS_OPTION = option(
    "controls", "c", "Control VMs as IP:port,IP:port (or MERLINTHREAD_CONTROLS).", flag=False
)
TIMEOUT_OPTION = option("timeout-s", None, "How long to try, in seconds.", flag=False, default="15")
REQUEST_ID_OPTION = option(
    "request-id",
    None,
    "Send a command again under its first id to get its first answer.",
    flag=False,
)
OPERATOR_OPTION = option("operator", "o", "Your name as in control.operators.", flag=False)
READ_OPTIONS: list[Option] = [JSON_OPTION, CONTROLS_OPTION, TIMEOUT_OPTION]
WRITE_OPTIONS: list[Option] = [*READ_OPTIONS, REQUEST_ID_OPTION, OPERATOR_OPTION]


class OperatorCommand(Command):
    """A command whose errors become one line and a documented exit code."""

    def handle(self) -> int:
        """Run the command; return its exit code."""
        try:
            return self.act()
        except errors.MerlinthreadError as error:
            return self.report(error)
        except OSError as error:
            return self.report(errors.RequestError(str(error)))

    def act(self) -> int:
        """Do the command's work; raise MerlinthreadError."""
        raise NotImplementedError

    def report(self, error: errors.MerlinthreadError) -> int:
        """Tell an error; return its exit code."""
        body = error_responses.error_body(error)
        if self.option("json"):
            print(msgspec.json.encode(body).decode())
        else:
            print(f"{error.kind}: {error.message}", file=sys.stderr)
            if body.retry_after_s is not None:
                print(f"try again in {body.retry_after_s:g} s", file=sys.stderr)
        return error_responses.RESPONSES[error.kind].exit_code

    def controls(self) -> client.ControlClient:
        """Return the client for the control VMs."""
        try:
            timeout_s = float(self.option("timeout-s"))
        except ValueError:
            raise errors.RequestError(
                f"--timeout-s: {self.option('timeout-s')!r} is no number of seconds"
            )
        return client.ControlClient(client.controls_from(self.option("controls")), timeout_s)

    def request_id(self) -> str:
        """Return the request id, a new one unless it was given."""
        return client.new_request_id(self.option("request-id"))

    def operator(self) -> str:
        """Return the operator's name; raise RequestError without it."""
        name = self.option("operator")
        if not name:
            raise errors.RequestError("--operator: give your name as in control.operators")
        return name

    def version_argument(self) -> int:
        """Return the bundle version that was given; raise RequestError if it is no number."""
        text = self.argument("version")
        if not text.isdigit():
            raise errors.RequestError(f"version: {text!r} is no bundle version; give its number")
        return int(text)

    def show(self, data: Any, rows: list[tuple[str, Any]]) -> None:
        """Print `data` as JSON, or `rows` as a table of two columns."""
        if self.option("json"):
            print(json.dumps(msgspec.to_builtins(data), ensure_ascii=False))
            return
        width = max((len(name) for name, _ in rows), default=0)
        for name, value in rows:
            print(f"{name:<{width}}  {value}")

    def show_table(self, headers: list[str], rows: list[list[Any]]) -> None:
        """Print a table."""
        table = self.table(headers, [[str(cell) for cell in row] for row in rows])
        table.set_style("compact")
        table.render()
