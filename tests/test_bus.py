"""The bus through a link that stalls while a connection is set up."""

import socket
import threading
from concurrent import futures

from bench import processes
from merlinthread.protocol import messages
from merlinthread.transport import bus

CODEC = messages.make_codec([])
WANTED = messages.ManifestRequest("abc")


class Stalling:
    """Accepts one connection and says nothing; then the place is free for a real listener."""

    def __init__(self) -> None:
        self.address = f"127.0.0.1:{processes.Ports().take()}"
        host, port = self.address.split(":")
        self.listener = socket.create_server((host, int(port)))
        self.held: list[socket.socket] = []

    def hold_one(self) -> None:
        self.held.append(self.listener.accept()[0])
        self.listener.close()


def test_a_sender_whose_connection_stalled_at_its_start_gets_through_later():
    """Found by real control VMs: two members that never connected could not elect a leader."""
    stalling = Stalling()
    sender = bus.Sender(stalling.address, CODEC)
    stalling.hold_one()
    received: list[object] = []
    mailbox = bus.Mailbox(stalling.address, CODEC, received.append)
    mailbox.start()

    def send() -> bool:
        sender.send(WANTED)
        return bool(received)

    processes.wait_for("a message", send, 5)
    assert sender.reopened >= 1
    sender.close()
    mailbox.stop()


def test_a_caller_whose_connection_stalled_at_its_start_gets_through_later():
    stalling = Stalling()
    caller = bus.Caller(stalling.address, CODEC)
    stalling.hold_one()
    responder = bus.Responder(stalling.address, CODEC, lambda message: message, workers=1)
    responder.start()

    def call() -> bool:
        try:
            return caller.call(WANTED, 0.3) == WANTED
        except bus.errors.UnreachableError:
            return False

    processes.wait_for("an answer", call, 5)
    caller.close()
    responder.stop()


def test_a_responder_that_is_stopped_still_gives_the_answer_that_it_works_on():
    """Closed under a thread that sends, the library ends the whole process."""
    address = f"127.0.0.1:{processes.Ports().take()}"
    begun, may_end = threading.Event(), threading.Event()

    def handle(message):
        begun.set()
        may_end.wait(5)
        return message

    responder = bus.Responder(address, CODEC, handle, workers=2)
    responder.start()
    caller = bus.Caller(address, CODEC)
    with futures.ThreadPoolExecutor(2) as pool:
        answer = pool.submit(caller.call, WANTED, 5.0)
        assert begun.wait(5)
        stopped = pool.submit(responder.stop)
        processes.wait_for("the stop to begin", responder.stopping.is_set, 5)
        may_end.set()
        assert answer.result(5) == WANTED
        stopped.result(5)
    caller.close()
