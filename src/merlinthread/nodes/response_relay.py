"""What goes back to one client of what back ends answer."""

from collections.abc import Callable

from merlinthread import metrics
from merlinthread.protocol import event_stream
from merlinthread.transport import http_messages, stream_server


class Relay:
    """Gives answers of back ends to one client; `on_answered` is told the status of a whole one."""

    def __init__(
        self,
        exchange: stream_server.Exchange,
        clock: Callable[[], float],
        arrived: float,
        on_answered: Callable[[int], None],
    ) -> None:
        self.exchange = exchange
        self.clock = clock
        self.arrived = arrived
        self.on_answered = on_answered
        self.last_event_id = ""
        self.first_at: float | None = None

    async def give(self, answer: http_messages.Response) -> None:
        """Send a back end's whole answer on."""
        headers = without_length(http_messages.end_to_end_headers(answer.headers))
        self.on_answered(answer.status)
        await self.exchange.respond(http_messages.Response(answer.status, headers, answer.body))

    async def give_event(self, item: event_stream.RawEvent, head: http_messages.Response) -> None:
        """Send one event on, unless the client has it already."""
        if item.event_id and not event_stream.is_after(item.event_id, self.last_event_id):
            return
        self.start_stream(head)
        await self.exchange.send(item.data)
        self.last_event_id = item.event_id or self.last_event_id

    def start_stream(self, head: http_messages.Response) -> None:
        """Send the head of the first back end that gave an event; later ones keep it."""
        if self.exchange.is_started:
            return
        headers = without_length(http_messages.end_to_end_headers(head.headers))
        self.first_at = self.clock()
        metrics.first_token_seconds.observe(self.first_at - self.arrived)
        self.exchange.start_response(head.status, headers)

    async def finish(self, head: http_messages.Response) -> None:
        """End a stream that is whole."""
        self.start_stream(head)
        self.on_answered(head.status)
        await self.exchange.finish()


def without_length(headers: http_messages.Headers) -> http_messages.Headers:
    """Return the headers without the body's length, which is set anew."""
    return [(key, value) for key, value in headers if key.lower() != b"content-length"]
