"""Relaying of responses from back ends to a client."""

from collections.abc import Callable

from merlinthread import metrics
from merlinthread.protocol import event_stream
from merlinthread.transport import http_messages, stream_server


def ignore_status(status: int) -> None:
    """Take the place of the callback of a relay whose request has ended."""


class ResponseRelay:
    """Relays responses of back ends to one client.

    `on_response` is called with the status of each complete response.
    """

    def __init__(
        self,
        exchange: stream_server.Exchange,
        clock: Callable[[], float],
        arrived_at: float,
        on_response: Callable[[int], None],
    ) -> None:
        self.exchange = exchange
        self.clock = clock
        self.arrived_at = arrived_at
        self.on_response = on_response
        self.last_event_id = ""
        self.first_event_at: float | None = None

    def disconnect(self) -> None:
        """Drop the callback, which refers to the owner of the relay."""
        self.on_response = ignore_status

    async def send_response(self, response: http_messages.Response) -> None:
        """Send a complete response."""
        headers = without_length(http_messages.end_to_end_headers(response.headers))
        self.on_response(response.status)
        await self.exchange.respond(http_messages.Response(response.status, headers, response.body))

    async def send_event(self, item: event_stream.RawEvent, head: http_messages.Response) -> None:
        """Send one event of a stream."""
        self.start_stream(head)
        # Set before the wait: if that is cancelled, the client gets the event all the same.
        self.last_event_id = item.event_id or self.last_event_id
        await self.exchange.send(item.data)

    def is_new(self, item: event_stream.RawEvent) -> bool:
        """Return whether the client does not have an event yet."""
        return not item.event_id or event_stream.is_after(item.event_id, self.last_event_id)

    def start_stream(self, head: http_messages.Response) -> None:
        """Send the response head, unless an earlier attempt has already sent one."""
        if self.exchange.is_started:
            return
        headers = without_length(http_messages.end_to_end_headers(head.headers))
        self.first_event_at = self.clock()
        metrics.first_token_seconds.observe(self.first_event_at - self.arrived_at)
        self.exchange.start_response(head.status, headers)

    async def finish(self, head: http_messages.Response) -> None:
        """End a complete stream."""
        self.start_stream(head)
        self.on_response(head.status)
        await self.exchange.finish()


def without_length(headers: http_messages.Headers) -> http_messages.Headers:
    """Return the headers without Content-Length, which is computed again when sending."""
    return [(key, value) for key, value in headers if key.lower() != b"content-length"]
