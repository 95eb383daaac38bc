"""Calls to the control VMs: finds the leader, and sends again what may be sent again."""

import os
import time
import uuid
from typing import Any

import msgspec

from merlinthread import errors
from merlinthread.protocol import error_responses
from merlinthread.transport import http_client

CONTROLS_VARIABLE = "MERLINTHREAD_CONTROLS"
ROUND_WAIT_S = 0.3
TRY_TIMEOUT_S = 1.5
RETRIED = (
    errors.ErrorKind.NOT_LEADER,
    errors.ErrorKind.NO_MAJORITY,
    errors.ErrorKind.OUTCOME_UNKNOWN,
    errors.ErrorKind.UNREACHABLE,
    errors.ErrorKind.OVERLOADED,
    errors.ErrorKind.DISK_FULL,
)


class ControlClient:
    """Talks to whichever control VM leads.

    Commands carry a request id and calls only read, so each may be sent again; that is done until
    `timeout_s` has passed.
    """

    def __init__(self, controls: list[str], timeout_s: float) -> None:
        self.controls = controls
        self.timeout_s = timeout_s
        self.http = http_client.Client()

    def call(self, method: str, path: str, body: Any = None) -> bytes:
        """Return the leader's answer; raise its refusal, or the last failure."""
        data = b"" if body is None else msgspec.json.encode(body)
        stop_at = time.monotonic() + self.timeout_s
        while True:
            failure = self.try_all(method, path, data, stop_at)
            if isinstance(failure, bytes):
                return failure
            if time.monotonic() + ROUND_WAIT_S >= stop_at:
                raise failure
            time.sleep(ROUND_WAIT_S)

    def try_all(
        self, method: str, path: str, data: bytes, stop_at: float
    ) -> bytes | errors.MerlinthreadError:
        """Try each control VM once; return the answer or the last failure that may pass."""
        failure: errors.MerlinthreadError = errors.ControlError("no control VM was tried")
        for address in list(self.controls):
            left = max(0.2, min(TRY_TIMEOUT_S, stop_at - time.monotonic()))
            try:
                return self.http.request_ok(
                    method,
                    f"http://{address}{path}",
                    data,
                    {"Content-Type": "application/json"},
                    left,
                ).body
            except errors.MerlinthreadError as error:
                if error.kind not in RETRIED:
                    raise
                failure = error
                if error_responses.RESPONSES[error.kind].ran != error_responses.UNKNOWN:
                    continue
                self.controls.remove(address)
                self.controls.append(address)
        return failure


def new_request_id(given: str | None) -> str:
    """Return the request id to use."""
    return given or uuid.uuid4().hex


def controls_from(given: str | None) -> list[str]:
    """Return the control VMs' HTTP addresses; raise SettingsError without any."""
    text = given or os.environ.get(CONTROLS_VARIABLE, "")
    found = [part.strip() for part in text.split(",") if part.strip()]
    if not found:
        raise errors.SettingsError(
            f"--controls: no control VM is named; pass IP:port,IP:port or set {CONTROLS_VARIABLE}",
            field="--controls",
        )
    return found
