"""Starts a node whose connections to other nodes pass a relay of links (`bench.link_relay`).

The module runs in the process of the node and replaces the function that opens connections there.
"""

import asyncio
import socket

from bench import relayed_connection
from merlinthread.platform import main as platform_main
from merlinthread.transport import stream_client

STARTER = (
    "import sys; from bench import linked_node; "
    "sys.exit(linked_node.main({ip!r}, {relay!r}, {metrics_port}, sys.argv[1:]))"
)


def main(ip: str, relay: str, metrics_port: int, arguments: list[str]) -> int:
    """Run the node at `ip`, connected through the relay at `relay` ("IP:port")."""

    async def open_connection(address: str) -> stream_client.ClientConnection:
        sock = await open_relayed(ip, relay, address)
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(stream_client.ClientConnection, sock=sock)
        return connection

    stream_client.open_connection = open_connection
    return platform_main.main([*arguments, str(metrics_port)])


async def open_relayed(ip: str, relay: str, address: str) -> socket.socket:
    """Return a socket that is connected to `address` through the relay.

    Raises ConnectionRefusedError if the destination refuses the connection, and OSError if the
    connection is lost before it is open.
    """
    loop = asyncio.get_running_loop()
    host, _, port = relay.rpartition(":")
    sock = socket.socket()
    try:
        sock.setblocking(False)
        await loop.sock_connect(sock, (host, int(port)))
        await loop.sock_sendall(sock, f"{ip} {address}\n".encode("ascii"))
        reply = await loop.sock_recv(sock, len(relayed_connection.OPENED))
        if reply == relayed_connection.REFUSED:
            raise ConnectionRefusedError(f"{address} refused the connection")
        if reply != relayed_connection.OPENED:
            raise ConnectionResetError(f"the connection to {address} was lost")
    except BaseException:
        sock.close()
        raise
    return sock
