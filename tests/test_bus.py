"""The pynng transport, including connections that stall while they are established."""

import socket
import threading
from concurrent import futures

from bench import processes
from merlinthread.protocol import messages
from merlinthread.transport import bus

CODEC = messages.make_codec([])
MESSAGE = messages.ManifestRequest("abc")


class StallingListener:
    """Accepts one connection and sends nothing, then frees the port for another listener."""

    def __init__(self) -> None:
        self.address = f"127.0.0.1:{processes.Ports().allocate()}"
        host, port = self.address.split(":")
        self.listener = socket.create_server((host, int(port)))
        self.accepted: list[socket.socket] = []

    def accept_one(self) -> None:
        self.accepted.append(self.listener.accept()[0])
        self.listener.close()


def test_sender_recovers_from_a_connection_stalled_at_its_start():
    """Guards against members that never connect and so can't elect a leader."""
    listener = StallingListener()
    sender = bus.Sender(listener.address, CODEC)
    listener.accept_one()
    received: list[object] = []
    receiver = bus.Receiver(listener.address, CODEC, received.append)
    receiver.start()

    def send() -> bool:
        sender.send(MESSAGE)
        return bool(received)

    processes.wait_for("a message", send, 5)
    assert sender.reopened >= 1
    sender.close()
    receiver.stop()


def test_rpc_client_recovers_from_a_connection_stalled_at_its_start():
    listener = StallingListener()
    client = bus.RpcClient(listener.address, CODEC)
    listener.accept_one()
    server = bus.RpcServer(listener.address, CODEC, lambda message: message, workers=1)
    server.start()

    def call() -> bool:
        try:
            return client.call(MESSAGE, 0.3) == MESSAGE
        except bus.errors.UnreachableError:
            return False

    processes.wait_for("a reply", call, 5)
    client.close()
    server.stop()


def test_stopped_rpc_server_still_sends_its_pending_reply():
    """pynng aborts the process if a socket is closed while a thread is sending."""
    address = f"127.0.0.1:{processes.Ports().allocate()}"
    started, release = threading.Event(), threading.Event()

    def handle(message):
        started.set()
        release.wait(5)
        return message

    server = bus.RpcServer(address, CODEC, handle, workers=2)
    server.start()
    client = bus.RpcClient(address, CODEC)
    with futures.ThreadPoolExecutor(2) as pool:
        reply = pool.submit(client.call, MESSAGE, 5.0)
        assert started.wait(5)
        stopped = pool.submit(server.stop)
        processes.wait_for("the stop to begin", server.stopping.is_set, 5)
        release.set()
        assert reply.result(5) == MESSAGE
        stopped.result(5)
    client.close()
