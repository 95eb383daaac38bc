"""A relay that passes the connections between nodes through links that their regions share."""

import asyncio
import collections
import dataclasses
import math
import random
import socket

from bench import relayed_connection, shared_links

RECEIVE_BUFFER_BYTES = 32 * 1024
# Connections that passed no data for this long before a silence are not measured.
ACTIVE_S = 0.5


@dataclasses.dataclass(slots=True)
class Silence:
    """A silence of the active connections from one VM to another; times are loop times.

    `healed_at` is when the first answer crossed a connection that was opened later.
    """

    ends: relayed_connection.Ends
    connection_count: int
    began_at: float
    healed_at: float = math.inf


def create_listener(host: str, port: int) -> socket.socket:
    """Return a socket whose connections take little data in advance.

    What waits to be sent stays with the node, which drops it if it gives the connection up.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    # Segments of the usual size on loopback would not fit the buffer.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, relayed_connection.SEGMENT_BYTES)
    listener.bind((host, port))
    return listener


class LinkRelay:
    """The relay of a run, with one link for each ordered pair of regions."""

    def __init__(self, profile: shared_links.LinkProfile, rng: random.Random) -> None:
        self.profile = profile
        self.rng = rng
        # The region of each IP, also of VMs that are lost.
        self.regions: dict[str, str] = {}
        self.lost: set[str] = set()
        self.links: dict[tuple[str, str], shared_links.SharedLink] = {}
        self.connections: set[relayed_connection.RelayedConnection] = set()
        # The bytes that one VM has sent to another.
        self.bytes_sent: collections.Counter[relayed_connection.Ends] = collections.Counter()
        # Connections that a node reset, as it does with an unanswered call that it gives up.
        self.given_up: collections.Counter[relayed_connection.Ends] = collections.Counter()
        self.silences: list[Silence] = []
        self.tasks: list[asyncio.Task] = []
        self.listener: asyncio.Server | None = None

    async def listen(self, host: str, port: int, regions: list[str]) -> None:
        """Start the links between all regions, their cross traffic, and the relay."""
        loop = asyncio.get_running_loop()
        for source in regions:
            for destination in regions:
                link = shared_links.SharedLink(self.profile, loop.time())
                self.links[source, destination] = link
                if source != destination:
                    self.tasks.append(loop.create_task(self.send_cross_traffic(link)))
        self.listener = await loop.create_server(
            lambda: relayed_connection.RelayedConnection(self).sockets[True],
            sock=create_listener(host, port),
        )

    async def send_cross_traffic(self, link: shared_links.SharedLink) -> None:
        """Send bursts of other traffic on a link until cancelled."""
        if not self.profile.cross_traffic:
            return
        loop = asyncio.get_running_loop()
        traffic = shared_links.CrossTraffic(link, random.Random(self.rng.random()))
        next_at = loop.time()
        while True:
            next_at += traffic.next_delay_s()
            await asyncio.sleep(next_at - loop.time())
            traffic.send_burst(loop.time())

    def close(self) -> None:
        """Stop the relay and its links."""
        for task in self.tasks:
            task.cancel()
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.reset()

    def link(self, source: str, destination: str) -> shared_links.SharedLink:
        """Return the link from the region of one IP to that of another."""
        return self.links[self.regions[source], self.regions[destination]]

    def is_lost(self, ends: relayed_connection.Ends) -> bool:
        """Return whether one of two VMs is lost."""
        return not self.lost.isdisjoint(ends)

    # Faults

    def find_connections(self, ips: set[str]) -> list[relayed_connection.RelayedConnection]:
        """Return the open connections whose both ends are among some VMs."""
        return [
            connection
            for connection in self.connections
            if ips.issuperset(connection.ends) and connection.is_open()
        ]

    def lose(self, ip: str) -> None:
        """Let a VM send and receive nothing any more."""
        self.lost.add(ip)
        for connection in self.connections:
            if ip in connection.ends:
                connection.silence()

    def reset(self, ips: set[str]) -> None:
        """Reset the open connections between some VMs."""
        for connection in self.find_connections(ips):
            connection.reset()

    def silence(self, ips: set[str]) -> None:
        """Pass nothing on any more on the open connections between some VMs."""
        now = asyncio.get_running_loop().time()
        connections = self.find_connections(ips)
        counts = collections.Counter(
            connection.ends for connection in connections if now - connection.data_at < ACTIVE_S
        )
        for connection in connections:
            connection.silence()
        self.silences.extend(Silence(ends, count, now) for ends, count in counts.items())

    def record_answer(self, connection: relayed_connection.RelayedConnection) -> None:
        """Record that the answers on a connection are the first ones after a silence."""
        now = asyncio.get_running_loop().time()
        for silence in self.silences:
            is_healed = silence.healed_at < math.inf
            is_later = connection.opened_at > silence.began_at
            if not is_healed and is_later and connection.ends == silence.ends:
                silence.healed_at = now
