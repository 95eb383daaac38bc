"""Messages between our own processes over pynng.

A call may reach the receiver twice (the library sends again after a lost connection), so every
call must be safe to repeat. Receivers of calls name a handler; senders own one `Caller` a peer and
task. One-way messages (`Mailbox`, `Sender`) may be lost.
"""

import threading
import time
from collections.abc import Callable
from typing import Any

import pynng

from merlinthread import errors, logs, metrics
from merlinthread.protocol import codec as codecs
from merlinthread.protocol import messages

RECEIVE_BYTES_MAX = 64 * 1024 * 1024
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500
SENDER_QUEUE = 64
REOPEN_AFTER_S = 1.0
# How long a responder's thread waits for a call before it looks whether it is to end.
STOP_NOTICED_MS = 250
SENT = metrics.bus_bytes_total.labels("sent")
RECEIVED = metrics.bus_bytes_total.labels("received")


def address_url(address: str) -> str:
    """Return the pynng URL of "IP:port"."""
    return f"tcp://{address}"


class Caller:
    """Calls to one peer; owned by one thread."""

    def __init__(self, address: str, codec: codecs.Codec) -> None:
        self.address = address
        self.codec = codec
        self.socket = self.open()

    def open(self) -> pynng.Req0:
        """Return a socket that connects in the background."""
        socket = pynng.Req0(
            recv_max_size=RECEIVE_BYTES_MAX,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        socket.dial(address_url(self.address), block=False)
        return socket

    def call(self, message: Any, timeout_s: float) -> Any:
        """Return the peer's answer.

        Raises UnreachableError if none came in time, and what the peer refused with otherwise.
        """
        milliseconds = max(1, int(timeout_s * 1000))
        self.socket.send_timeout = milliseconds
        self.socket.recv_timeout = milliseconds
        try:
            frame = self.codec.encode(message)
            self.socket.send(frame)
            SENT.inc(len(frame))
            frame = self.socket.recv()
            RECEIVED.inc(len(frame))
            answer = self.codec.decode(frame)
        except pynng.exceptions.NNGException as error:
            # A connection that stalled while it was set up would never come: begin anew.
            self.socket.close()
            self.socket = self.open()
            raise errors.UnreachableError(f"{self.address}: {error}")
        if isinstance(answer, messages.ErrorReply):
            raise errors.MerlinthreadError(answer.message, kind=errors.ErrorKind(answer.kind))
        return answer

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()


class Callers:
    """One `Caller` for each address that a task talks to; owned by one thread."""

    def __init__(self, codec: codecs.Codec) -> None:
        self.codec = codec
        self.open: dict[str, Caller] = {}

    def call(self, address: str, message: Any, timeout_s: float) -> Any:
        """Call the peer at `address`; see `Caller.call`."""
        if address not in self.open:
            self.open[address] = Caller(address, self.codec)
        return self.open[address].call(message, timeout_s)

    def keep(self, addresses: set[str]) -> None:
        """Close the sockets to all other addresses."""
        for address in set(self.open) - addresses:
            self.open.pop(address).close()

    def close(self) -> None:
        """Close all sockets."""
        self.keep(set())


class Responder:
    """Answers calls on `address` in `workers` threads with what `handler` returns."""

    def __init__(
        self,
        address: str,
        codec: codecs.Codec,
        handler: Callable[[Any], Any],
        workers: int,
    ) -> None:
        self.codec = codec
        self.handler = handler
        self.stopping = threading.Event()
        self.socket = pynng.Rep0(recv_max_size=RECEIVE_BYTES_MAX, recv_timeout=STOP_NOTICED_MS)
        self.socket.listen(address_url(address))
        self.threads = [
            threading.Thread(target=self.serve, name=f"responder-{number}", daemon=True)
            for number in range(workers)
        ]

    def start(self) -> None:
        """Start answering."""
        for thread in self.threads:
            thread.start()

    def serve(self) -> None:
        """Answer one call after another until the responder stops."""
        try:
            with self.socket.new_context() as context:
                while not self.stopping.is_set():
                    self.serve_one(context)
        except pynng.exceptions.Closed:
            return

    def serve_one(self, context: pynng.Context) -> None:
        """Answer one call, if one comes soon; raise Closed once the socket is closed."""
        try:
            frame = context.recv()
            RECEIVED.inc(len(frame))
            frame = self.answer(frame)
            context.send(frame)
            SENT.inc(len(frame))
        except pynng.exceptions.Closed:
            raise
        except pynng.exceptions.Timeout:
            return
        except pynng.exceptions.NNGException as error:
            logs.debug("bus_answer_failed", error=str(error))

    def answer(self, frame: bytes) -> bytes:
        """Return the encoded answer; an error becomes a refusal."""
        try:
            answer = self.handler(self.codec.decode(frame))
        except errors.MerlinthreadError as error:
            answer = messages.ErrorReply(str(error.kind), error.message)
        except Exception as error:
            logs.exception("bus_handler_failed")
            answer = messages.ErrorReply(str(errors.ErrorKind.INTERNAL), repr(error))
        return self.codec.encode(answer)

    def stop(self) -> None:
        """Let the threads end, then close the socket.

        The library aborts the process if the socket is closed under a thread that sends.
        """
        self.stopping.set()
        for thread in self.threads:
            if thread.ident is not None:
                thread.join()
        self.socket.close()


class Mailbox:
    """Receives one-way messages on `address` and hands them to `deliver` in a thread of its own."""

    def __init__(self, address: str, codec: codecs.Codec, deliver: Callable[[Any], None]) -> None:
        self.codec = codec
        self.deliver = deliver
        self.socket = pynng.Pull0(recv_max_size=RECEIVE_BYTES_MAX)
        self.socket.listen(address_url(address))
        self.thread = threading.Thread(target=self.receive, name="mailbox", daemon=True)

    def start(self) -> None:
        """Start receiving."""
        self.thread.start()

    def receive(self) -> None:
        """Deliver one message after another until the socket is closed."""
        while True:
            try:
                frame = self.socket.recv()
                RECEIVED.inc(len(frame))
                self.deliver(self.codec.decode(frame))
            except pynng.exceptions.Closed:
                return
            except pynng.exceptions.NNGException as error:
                logs.debug("mailbox_receive_failed", error=str(error))
            except errors.ProtocolError as error:
                logs.warning("message_refused", reason=error.message)

    def stop(self) -> None:
        """Close the socket and wait for the thread."""
        self.socket.close()
        if self.thread.ident is not None:
            self.thread.join()


class Sender:
    """Sends one-way messages to one peer; a message that finds no room is dropped.

    The library waits 10 s for a connection that stalls while it is set up. A sender that has had
    none for `REOPEN_AFTER_S` begins anew.
    """

    def __init__(self, address: str, codec: codecs.Codec) -> None:
        self.codec = codec
        self.address = address
        self.dropped = 0
        self.reopened = 0
        self.connected_at = time.monotonic()
        self.socket = self.open()

    def open(self) -> pynng.Push0:
        """Return a socket that connects in the background."""
        socket = pynng.Push0(
            send_buffer_size=SENDER_QUEUE,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        socket.dial(address_url(self.address), block=False)
        return socket

    def revive(self, now: float) -> None:
        """Begin anew if there has been no connection for long."""
        if self.socket.pipes:
            self.connected_at = now
        elif now - self.connected_at > REOPEN_AFTER_S:
            self.socket.close()
            self.socket = self.open()
            self.connected_at = now
            self.reopened += 1

    def send(self, message: Any) -> bool:
        """Send without waiting; return whether there was room."""
        self.revive(time.monotonic())
        try:
            frame = self.codec.encode(message)
            self.socket.send(frame, block=False)
            SENT.inc(len(frame))
        except pynng.exceptions.NNGException:
            self.dropped += 1
            return False
        return True

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()
