"""The life of a node's process: start, reload, planned stop. The composition root wires it."""

import asyncio
import contextlib
import os
import pathlib
import signal
from collections.abc import Callable

from merlinthread import __version__, clocks, errors, logs, metrics
from merlinthread.nodes import dialect as dialects
from merlinthread.nodes import node_roles, node_settings
from merlinthread.transport import http_messages, stream_server

WATCH_SETTINGS_EVERY_S = 1.0
METRICS_PATH = b"/metrics"

Loader = Callable[[pathlib.Path], node_settings.NodeSettings]


class NodeDaemon:
    """One node's process."""

    def __init__(
        self,
        role: str,
        path: pathlib.Path,
        load: Loader,
        dialect: dialects.Dialect,
        metrics_port: int = 0,
    ) -> None:
        self.role = role
        self.metrics_port = metrics_port
        self.path = path
        self.load = load
        self.settings = load(path)
        self.node = node_roles.factory_for(role)(self.settings, dialect)
        self.stop_asked = asyncio.Event()
        self.seen = self.stamp()
        self.metrics_server = stream_server.Server(serve_metrics)

    def stamp(self) -> tuple[int, int]:
        """Return what changes when the settings file does."""
        with contextlib.suppress(OSError):
            status = os.stat(self.path)
            return (status.st_mtime_ns, status.st_size)
        return (0, 0)

    async def run(self) -> None:
        """Serve until a planned stop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop_asked.set)
        loop.add_signal_handler(signal.SIGINT, self.stop_asked.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.node.start()
        await self.listen_for_metrics()
        logs.event("started", role=self.role, version=__version__, ip=self.settings.ip)
        await self.watch()
        logs.event("stopping", role=self.role)
        await self.node.stop()
        logs.event("stopped", role=self.role)

    async def listen_for_metrics(self) -> None:
        """Serve the figures, if a port is set; a port that is taken is no reason to end."""
        if not self.metrics_port:
            return
        try:
            await self.metrics_server.listen(self.settings.ip, self.metrics_port)
        except OSError as error:
            logs.warning("metrics_not_served", port=self.metrics_port, reason=str(error))

    async def watch(self) -> None:
        """Wait for the stop; notice a changed settings file, also without a signal."""
        while not self.stop_asked.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(WATCH_SETTINGS_EVERY_S):
                    await self.stop_asked.wait()
            if self.stamp() != self.seen:
                self.reload()
            for task in self.node.tasks:
                if task.done() and not task.cancelled() and task.exception() is not None:
                    logs.warning("task_ended", reason=repr(task.exception()))
                    raise task.exception()  # type: ignore[misc]

    def reload(self) -> None:
        """Take over what may change without a restart; refuse a file that can't be used."""
        self.seen = self.stamp()
        try:
            changed = self.load(self.path)
        except errors.SettingsError as error:
            logs.warning("reload_refused", reason=error.message)
            return
        self.node.reload(changed)
        logs.event("reloaded", controls=changed.control_ips)


async def serve_metrics(exchange: stream_server.Exchange) -> None:
    """Answer with the process's figures as text."""
    if exchange.request.target != METRICS_PATH:
        await exchange.respond(http_messages.Response(404, []))
        return
    headers = [(b"content-type", b"text/plain; version=0.0.4")]
    await exchange.respond(http_messages.Response(200, headers, metrics.expose()))


def run(
    role: str,
    path: pathlib.Path,
    load: Loader,
    dialect: dialects.Dialect,
    metrics_port: int = 0,
) -> int:
    """Run a node's process; return its exit code."""
    clocks.check_platform()
    asyncio.run(NodeDaemon(role, path, load, dialect, metrics_port).run())
    return 0
