"""A fault-injecting TCP proxy that runs in threads of the calling process.

Each link listens on one port and forwards to another. Its faults can be changed at run time:
latency, rate limit, data loss in either direction, stalls, corruption and resets.
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
    """The faults of a link.

    `drop_to_upstream` and `drop_from_upstream` discard the data sent in that direction, `stall`
    stops reading from both sides, `corrupt_share` is the share of reads (0 to 1) that get a changed
    byte, and `refuse` resets new connections.
    """

    latency_s: float = 0.0
    bytes_per_s: float = 0.0
    drop_to_upstream: bool = False
    drop_from_upstream: bool = False
    stall: bool = False
    corrupt_share: float = 0.0
    refuse: bool = False


class Link:
    """A listening port and the upstream address that it forwards to."""

    def __init__(self, listen: tuple[str, int], upstream_address: tuple[str, int]) -> None:
        self.upstream_address = upstream_address
        self.faults = Faults()
        self.socket_pairs: set[tuple[socket.socket, socket.socket]] = set()
        self.lock = threading.Lock()
        self.rng = random.Random(0)
        self.bytes_forwarded = 0
        self.listener = socket.create_server(listen, backlog=256)
        self.closing = False
        threading.Thread(target=self.accept_connections, daemon=True).start()

    def accept_connections(self) -> None:
        """Accept connections until the link is closed."""
        while not self.closing:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            if self.faults.refuse:
                reset(client)
                continue
            threading.Thread(target=self.connect_upstream, args=(client,), daemon=True).start()

    def connect_upstream(self, client: socket.socket) -> None:
        """Connect to the upstream and relay in both directions until both end."""
        try:
            upstream = socket.create_connection(self.upstream_address, timeout=5)
        except OSError:
            reset(client)
            return
        try:
            for sock in (client, upstream):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                sock.settimeout(None)
        except OSError:
            reset(client)
            reset(upstream)
            return
        pair = (client, upstream)
        with self.lock:
            self.socket_pairs.add(pair)
        relays = [
            threading.Thread(target=self.relay, args=(client, upstream, True), daemon=True),
            threading.Thread(target=self.relay, args=(upstream, client, False), daemon=True),
        ]
        for relay_thread in relays:
            relay_thread.start()
        for relay_thread in relays:
            relay_thread.join()
        with self.lock:
            self.socket_pairs.discard(pair)
        client.close()
        upstream.close()

    def relay(
        self, source: socket.socket, destination: socket.socket, is_to_upstream: bool
    ) -> None:
        """Relay data in one direction, applying the current faults."""
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
                self.forward(data, destination, is_to_upstream)
        except OSError:
            reset(destination)
            reset(source)
        finally:
            selector.close()
        try:
            destination.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def forward(self, data: bytes, destination: socket.socket, is_to_upstream: bool) -> None:
        """Apply the current faults to `data` and send what remains."""
        faults = self.faults
        if faults.latency_s:
            time.sleep(faults.latency_s)
        if faults.bytes_per_s:
            time.sleep(len(data) / faults.bytes_per_s)
        if faults.drop_to_upstream if is_to_upstream else faults.drop_from_upstream:
            return
        if faults.corrupt_share and self.rng.random() < faults.corrupt_share:
            position = self.rng.randrange(len(data))
            flipped = bytes([data[position] ^ 0x41])
            data = data[:position] + flipped + data[position + 1 :]
        self.bytes_forwarded += len(data)
        destination.sendall(data)

    def reset_all(self) -> None:
        """Reset every connection of the link."""
        with self.lock:
            pairs = list(self.socket_pairs)
        for client, upstream in pairs:
            reset(client)
            reset(upstream)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self.closing = True
        self.listener.close()
        self.reset_all()


def reset(sock: socket.socket) -> None:
    """Set SO_LINGER to zero and close the connection."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    sock.close()


class Proxy:
    """A set of named links."""

    def __init__(self) -> None:
        self.links: dict[str, Link] = {}

    def add(
        self, name: str, listen_port: int, upstream_port: int, address: str = "127.0.0.1"
    ) -> Link:
        """Open a link that forwards from `listen_port` to `upstream_port` on `address`."""
        link = Link((address, listen_port), (address, upstream_port))
        self.links[name] = link
        return link

    def set(self, names: list[str], **faults: object) -> None:
        """Replace the faults of several links; faults not given are cleared."""
        for name in names:
            self.links[name].faults = Faults(**faults)  # type: ignore[arg-type]

    def close(self) -> None:
        """Close all links."""
        for link in self.links.values():
            link.close()
