"""Client requests for tests: completions and calls of a plain service."""

import dataclasses
import uuid

import msgspec

from bench import demo
from merlinthread.transport import http_client
from stand_ins import engine

CLIENT = http_client.Client()


@dataclasses.dataclass
class Response:
    """A response; for completions, also the text received and the expected one."""

    status: int
    headers: dict[str, str]
    body: bytes
    text: str = ""
    digest: str = ""
    expected: str = ""

    def error(self) -> dict:
        return msgspec.json.decode(self.body)

    def is_complete(self) -> bool:
        return bool(self.digest) and self.text == self.expected


def request_completion(
    address: str,
    model: str = "hint",
    account: str = "a1",
    tokens: int = 8,
    is_streamed: bool = True,
    prompt: str = "",
    **headers: str,
) -> Response:
    """Request a completion and return the response with the expected text."""
    prompt = prompt or f"explain {uuid.uuid4().hex}"
    body = msgspec.json.encode(
        {"model": model, "prompt": prompt, "max_tokens": tokens, "stream": is_streamed}
    )
    all_headers = {"X-Account": account, "Content-Type": "application/json", **headers}
    stream = CLIENT.open("POST", f"http://{address}/v1/completions", body, all_headers, 30)
    data = stream.read(1 << 24)
    response = Response(stream.status, stream.headers, data)
    if stream.status == 200:
        read = demo.parse_stream if is_streamed else demo.parse_completion
        response.text, response.digest = read(data)
        response.expected = engine.completion_text(response.digest, prompt, tokens)
    return response


def call_service(
    address: str, path: str, body: bytes = b"{}", method: str = "POST", **headers: str
) -> Response:
    """Call a plain service."""
    all_headers = {"X-Account": "a1", "Content-Type": "application/json"}
    all_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
    response = CLIENT.request(
        method, f"http://{address}/v1/services/tickets{path}", body, all_headers, 30
    )
    return Response(response.status, response.headers, response.body)


def new_key() -> str:
    """Return a new idempotency key."""
    return str(demo.new_idempotency_key())
