"""A client for the HTTP API of the control VMs, which finds the leader and retries calls."""

import os
import time
import uuid
from typing import Any

import msgspec

from merlinthread import errors
from merlinthread.protocol import error_responses
from merlinthread.transport import http_client

CONTROLS_ENV_VARIABLE = "MERLINTHREAD_CONTROLS"
RETRY_DELAY_S = 0.3
ATTEMPT_TIMEOUT_S = 1.5
RETRYABLE_KINDS = (
    errors.ErrorKind.NOT_LEADER,
    errors.ErrorKind.NO_MAJORITY,
    errors.ErrorKind.OUTCOME_UNKNOWN,
    errors.ErrorKind.UNREACHABLE,
    errors.ErrorKind.OVERLOADED,
    errors.ErrorKind.DISK_FULL,
)


class ControlClient:
    """Sends calls to the control VM that is the leader.

    All calls are idempotent: commands carry a request ID, and other calls only read. They are
    retried for up to `timeout_s` seconds after errors of RETRYABLE_KINDS.
    """

    def __init__(self, addresses: list[str], timeout_s: float) -> None:
        self.addresses = addresses
        self.timeout_s = timeout_s
        self.http = http_client.Client()

    def call(self, method: str, path: str, body: Any = None) -> bytes:
        """Call the leader and return the response body.

        Raises MerlinthreadError if the call is rejected, or the last error when the time is up.
        """
        data = b"" if body is None else msgspec.json.encode(body)
        deadline = time.monotonic() + self.timeout_s
        while True:
            result = self.try_addresses(method, path, data, deadline)
            if isinstance(result, bytes):
                return result
            if time.monotonic() + RETRY_DELAY_S >= deadline:
                raise result
            time.sleep(RETRY_DELAY_S)

    def try_addresses(
        self, method: str, path: str, data: bytes, deadline: float
    ) -> bytes | errors.MerlinthreadError:
        """Try each control VM until one accepts the call.

        Returns the response body, or the last error if all fail with retryable errors; raises any
        other error at once. Control VMs that may have received the call are tried last next time.
        """
        last_error: errors.MerlinthreadError = errors.ControlError("no control VM was tried")
        for address in list(self.addresses):
            timeout_s = max(0.2, min(ATTEMPT_TIMEOUT_S, deadline - time.monotonic()))
            try:
                return self.http.request_ok(
                    method,
                    f"http://{address}{path}",
                    data,
                    {"Content-Type": "application/json"},
                    timeout_s,
                ).body
            except errors.MerlinthreadError as error:
                if error.kind not in RETRYABLE_KINDS:
                    raise
                last_error = error
                if error_responses.RESPONSES[error.kind].ran != error_responses.UNKNOWN:
                    continue
                self.addresses.remove(address)
                self.addresses.append(address)
        return last_error


def new_request_id(option_value: str | None) -> str:
    """Return the request ID given as an option, or a new one."""
    return option_value or uuid.uuid4().hex


def parse_addresses(option_value: str | None) -> list[str]:
    """Return the HTTP addresses of the control VMs from the option or the environment.

    Raises SettingsError if there are none.
    """
    text = option_value or os.environ.get(CONTROLS_ENV_VARIABLE, "")
    addresses = [part.strip() for part in text.split(",") if part.strip()]
    if not addresses:
        raise errors.SettingsError(
            f"--controls: no control VM given; pass IP:port,IP:port or set {CONTROLS_ENV_VARIABLE}",
            field="--controls",
        )
    return addresses
