"""Messaging between the processes of a deployment over pynng.

`RpcClient` and `RpcServer` exchange requests and replies. pynng resends a request after a lost
connection, so every request must be idempotent. `Sender` and `Receiver` transfer one-way messages,
which may be lost.
"""

import threading
import time
from collections.abc import Callable
from typing import Any

import pynng

from merlinthread import errors, logs, metrics
from merlinthread.protocol import codec as codecs
from merlinthread.protocol import messages

MESSAGE_BYTES_MAX = 64 * 1024 * 1024
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500
SEND_QUEUE_MESSAGES = 64
RECONNECT_AFTER_S = 1.0
STOP_POLL_MS = 250
BYTES_SENT = metrics.bus_bytes_total.labels("sent")
BYTES_RECEIVED = metrics.bus_bytes_total.labels("received")


def address_url(address: str) -> str:
    """Return the pynng URL of "IP:port"."""
    return f"tcp://{address}"


class RpcClient:
    """A client for calls to one peer; not thread-safe."""

    def __init__(self, address: str, codec: codecs.Codec) -> None:
        self.address = address
        self.codec = codec
        self.socket = self.open_socket()

    def open_socket(self) -> pynng.Req0:
        """Return a new socket that connects in the background."""
        socket = pynng.Req0(
            recv_max_size=MESSAGE_BYTES_MAX,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        socket.dial(address_url(self.address), block=False)
        return socket

    def call(self, message: Any, timeout_s: float) -> Any:
        """Send a message and return the reply.

        `timeout_s` applies to the send and to the receive separately. Raises UnreachableError if
        either fails, and MerlinthreadError, with the peer's error kind, if the peer reports an
        error.
        """
        timeout_ms = max(1, int(timeout_s * 1000))
        self.socket.send_timeout = timeout_ms
        self.socket.recv_timeout = timeout_ms
        try:
            frame = self.codec.encode(message)
            self.socket.send(frame)
            BYTES_SENT.inc(len(frame))
            frame = self.socket.recv()
            BYTES_RECEIVED.inc(len(frame))
            reply = self.codec.decode(frame)
        except pynng.exceptions.NNGException as error:
            # pynng may not recover if establishing a connection stalls.
            self.socket.close()
            self.socket = self.open_socket()
            raise errors.UnreachableError(f"{self.address}: {error}")
        if isinstance(reply, messages.ErrorReply):
            raise errors.MerlinthreadError(reply.message, kind=errors.ErrorKind(reply.kind))
        return reply

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()


class RpcClients:
    """A cache of one `RpcClient` per address; not thread-safe."""

    def __init__(self, codec: codecs.Codec) -> None:
        self.codec = codec
        self.clients: dict[str, RpcClient] = {}

    def call(self, address: str, message: Any, timeout_s: float) -> Any:
        """Call the peer at `address`; see `RpcClient.call`."""
        if address not in self.clients:
            self.clients[address] = RpcClient(address, self.codec)
        return self.clients[address].call(message, timeout_s)

    def retain(self, addresses: set[str]) -> None:
        """Close the sockets to all addresses that are not in `addresses`."""
        for address in set(self.clients) - addresses:
            self.clients.pop(address).close()

    def close(self) -> None:
        """Close all sockets."""
        self.retain(set())


class RpcServer:
    """A server that replies to calls on `address` with the results of `handler`.

    `handler` runs in `workers` threads.
    """

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
        self.socket = pynng.Rep0(recv_max_size=MESSAGE_BYTES_MAX, recv_timeout=STOP_POLL_MS)
        self.socket.listen(address_url(address))
        self.threads = [
            threading.Thread(target=self.serve, name=f"responder-{number}", daemon=True)
            for number in range(workers)
        ]

    def start(self) -> None:
        """Start the worker threads."""
        for thread in self.threads:
            thread.start()

    def serve(self) -> None:
        """Handle calls until the server stops."""
        try:
            with self.socket.new_context() as context:
                while not self.stopping.is_set():
                    self.serve_call(context)
        except pynng.exceptions.Closed:
            return

    def serve_call(self, context: pynng.Context) -> None:
        """Handle one call, or return after `STOP_POLL_MS`; raise Closed if the socket is closed."""
        try:
            frame = context.recv()
            BYTES_RECEIVED.inc(len(frame))
            frame = self.run_handler(frame)
            context.send(frame)
            BYTES_SENT.inc(len(frame))
        except pynng.exceptions.Closed:
            raise
        except pynng.exceptions.Timeout:
            return
        except pynng.exceptions.NNGException as error:
            logs.debug("bus_answer_failed", error=str(error))

    def run_handler(self, frame: bytes) -> bytes:
        """Decode a call, run the handler and return the encoded reply.

        An exception of the handler is returned as `ErrorReply`.
        """
        try:
            reply = self.handler(self.codec.decode(frame))
        except errors.MerlinthreadError as error:
            reply = messages.ErrorReply(str(error.kind), error.message)
        except Exception as error:
            logs.exception("bus_handler_failed")
            reply = messages.ErrorReply(str(errors.ErrorKind.INTERNAL), repr(error))
        return self.codec.encode(reply)

    def stop(self) -> None:
        """Wait for the worker threads to finish, then close the socket.

        pynng aborts the process if the socket is closed while a thread is sending.
        """
        self.stopping.set()
        for thread in self.threads:
            if thread.ident is not None:
                thread.join()
        self.socket.close()


class Receiver:
    """Receives one-way messages on `address` and passes them to `handler` in a separate thread."""

    def __init__(self, address: str, codec: codecs.Codec, handler: Callable[[Any], None]) -> None:
        self.codec = codec
        self.handler = handler
        self.socket = pynng.Pull0(recv_max_size=MESSAGE_BYTES_MAX)
        self.socket.listen(address_url(address))
        self.thread = threading.Thread(target=self.receive, name="mailbox", daemon=True)

    def start(self) -> None:
        """Start the receiving thread."""
        self.thread.start()

    def receive(self) -> None:
        """Handle messages until the socket is closed; drop those that can't be decoded."""
        while True:
            try:
                frame = self.socket.recv()
                BYTES_RECEIVED.inc(len(frame))
                self.handler(self.codec.decode(frame))
            except pynng.exceptions.Closed:
                return
            except pynng.exceptions.NNGException as error:
                logs.debug("mailbox_receive_failed", error=str(error))
            except errors.ProtocolError as error:
                logs.warning("message_refused", reason=error.message)

    def stop(self) -> None:
        """Close the socket and wait for the receiving thread to end."""
        self.socket.close()
        if self.thread.ident is not None:
            self.thread.join()


class Sender:
    """Sends one-way messages to one peer; drops a message if the send queue is full.

    If establishing a connection stalls, pynng waits 10 s before it tries again. The socket is
    therefore reopened if there has been no connection for `RECONNECT_AFTER_S`.
    """

    def __init__(self, address: str, codec: codecs.Codec) -> None:
        self.codec = codec
        self.address = address
        self.dropped = 0
        self.reopened = 0
        self.last_connected_at = time.monotonic()
        self.socket = self.open_socket()

    def open_socket(self) -> pynng.Push0:
        """Return a new socket that connects in the background."""
        socket = pynng.Push0(
            send_buffer_size=SEND_QUEUE_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        socket.dial(address_url(self.address), block=False)
        return socket

    def reconnect_if_stalled(self, now: float) -> None:
        """Reopen the socket if it has had no connection for `RECONNECT_AFTER_S`."""
        if self.socket.pipes:
            self.last_connected_at = now
        elif now - self.last_connected_at > RECONNECT_AFTER_S:
            self.socket.close()
            self.socket = self.open_socket()
            self.last_connected_at = now
            self.reopened += 1

    def send(self, message: Any) -> bool:
        """Queue a message without blocking; return False if the send queue is full."""
        self.reconnect_if_stalled(time.monotonic())
        try:
            frame = self.codec.encode(message)
            self.socket.send(frame, block=False)
            BYTES_SENT.inc(len(frame))
        except pynng.exceptions.NNGException:
            self.dropped += 1
            return False
        return True

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()
