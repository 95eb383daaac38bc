"""A small fault-injecting TCP proxy for many links at once.

Each link listens on one port and goes on to another. Its faults are changed at run time through
the `Proxy` object: latency, rate, cut one way or both, stall (half-open), corrupt, reset. It runs
inside the test's or bench's own process, in threads.
"""

import dataclasses
import random
import selectors
import socket
import threading
import time

BUFFER_BYTES = 65536
TICK_S = 0.05


@dataclasses.dataclass(slots=True)
class Faults:
    """What a link does to bytes; `cut_*` drop them silently, `stall` holds them back."""

    latency_s: float = 0.0
    bytes_per_s: float = 0.0
    cut_forth: bool = False
    cut_back: bool = False
    stall: bool = False
    corrupt_share: float = 0.0
    refuse: bool = False


class Link:
    """One listening port and where it leads."""

    def __init__(self, listen: tuple[str, int], goal: tuple[str, int]) -> None:
        self.goal = goal
        self.faults = Faults()
        self.pairs: set[tuple[socket.socket, socket.socket]] = set()
        self.lock = threading.Lock()
        self.rng = random.Random(0)
        self.carried = 0
        self.listener = socket.create_server(listen, backlog=256)
        self.closing = False
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Take connections until closed."""
        while not self.closing:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            if self.faults.refuse:
                reset(near)
                continue
            threading.Thread(target=self.connect, args=(near,), daemon=True).start()

    def connect(self, near: socket.socket) -> None:
        """Join a connection to the goal."""
        try:
            far = socket.create_connection(self.goal, timeout=5)
        except OSError:
            reset(near)
            return
        try:
            for end in (near, far):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                end.settimeout(None)
        except OSError:
            reset(near)
            reset(far)
            return
        pair = (near, far)
        with self.lock:
            self.pairs.add(pair)
        ways = [
            threading.Thread(target=self.carry, args=(near, far, True), daemon=True),
            threading.Thread(target=self.carry, args=(far, near, False), daemon=True),
        ]
        for way in ways:
            way.start()
        for way in ways:
            way.join()
        with self.lock:
            self.pairs.discard(pair)
        near.close()
        far.close()

    def carry(self, source: socket.socket, goal: socket.socket, is_forth: bool) -> None:
        """Move bytes one way under the faults of the moment."""
        selector = selectors.DefaultSelector()
        selector.register(source, selectors.EVENT_READ)
        try:
            while not self.closing:
                if self.faults.stall or not selector.select(TICK_S):
                    if self.faults.stall:
                        time.sleep(TICK_S)
                    continue
                data = source.recv(BUFFER_BYTES)
                if not data:
                    break
                self.pass_on(data, goal, is_forth)
        except OSError:
            reset(goal)
            reset(source)
        finally:
            selector.close()
        try:
            goal.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def pass_on(self, data: bytes, goal: socket.socket, is_forth: bool) -> None:
        """Send on what the faults leave."""
        faults = self.faults
        if faults.latency_s:
            time.sleep(faults.latency_s)
        if faults.bytes_per_s:
            time.sleep(len(data) / faults.bytes_per_s)
        if faults.cut_forth if is_forth else faults.cut_back:
            return
        if faults.corrupt_share and self.rng.random() < faults.corrupt_share:
            position = self.rng.randrange(len(data))
            flipped = bytes([data[position] ^ 0x41])
            data = data[:position] + flipped + data[position + 1 :]
        self.carried += len(data)
        goal.sendall(data)

    def reset_all(self) -> None:
        """Reset every connection of the link."""
        with self.lock:
            pairs = list(self.pairs)
        for near, far in pairs:
            reset(near)
            reset(far)

    def close(self) -> None:
        """Stop listening and reset everything."""
        self.closing = True
        self.listener.close()
        self.reset_all()


def reset(end: socket.socket) -> None:
    """Close a connection with a reset."""
    try:
        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        end.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    end.close()


class Proxy:
    """All links of one test or bench, by name."""

    def __init__(self) -> None:
        self.links: dict[str, Link] = {}

    def add(self, name: str, listen_port: int, goal_port: int, address: str = "127.0.0.1") -> Link:
        """Open a link."""
        link = Link((address, listen_port), (address, goal_port))
        self.links[name] = link
        return link

    def set(self, names: list[str], **faults: object) -> None:
        """Set the same faults on several links; others of their faults end."""
        for name in names:
            self.links[name].faults = Faults(**faults)  # type: ignore[arg-type]

    def close(self) -> None:
        """Close all links."""
        for link in self.links.values():
            link.close()
