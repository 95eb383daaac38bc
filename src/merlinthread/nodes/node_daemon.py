"""Runs a node as a process: start, reload of settings, graceful stop."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
from collections.abc import Callable

from merlinthread import __version__, clocks, errors, logs, metrics
from merlinthread.nodes import dialect as dialects
from merlinthread.nodes import node_roles, node_settings
from merlinthread.transport import http_messages, stream_server

SETTINGS_POLL_INTERVAL_S = 1.0
METRICS_PATH = b"/metrics"
BUILD_FILE = "build.txt"

SettingsLoader = Callable[[pathlib.Path], node_settings.NodeSettings]


class NodeDaemon:
    """The process of one node.

    `load` reads the settings from `path`. `metrics_port` is 0 for no metrics server.
    """

    def __init__(
        self,
        role: str,
        path: pathlib.Path,
        load: SettingsLoader,
        dialect: dialects.Dialect,
        metrics_port: int = 0,
    ) -> None:
        self.role = role
        self.metrics_port = metrics_port
        self.path = path
        self.load = load
        self.settings = load(path)
        self.node = node_roles.factory_for(role)(self.settings, dialect)
        self.stop_requested = asyncio.Event()
        self.loaded_file_state = self.file_state()
        self.metrics_server = stream_server.Server(serve_metrics)

    def file_state(self) -> tuple[int, int]:
        """Return the modification time and size of the settings file, (0, 0) if it is missing."""
        with contextlib.suppress(OSError):
            status = os.stat(self.path)
            return (status.st_mtime_ns, status.st_size)
        return (0, 0)

    async def run(self) -> None:
        """Run the node until SIGTERM or SIGINT, then stop it gracefully."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.node.start()
        await self.start_metrics_server()
        logs.event("started", role=self.role, ip=self.settings.ip, **describe_build())
        await self.supervise()
        logs.event("stopping", role=self.role)
        await self.node.stop()
        logs.event("stopped", role=self.role)

    async def start_metrics_server(self) -> None:
        """Start the metrics server if a port is set; failure to listen is logged, not raised."""
        if not self.metrics_port:
            return
        try:
            await self.metrics_server.listen(self.settings.ip, self.metrics_port)
        except OSError as error:
            logs.warning("metrics_not_served", port=self.metrics_port, reason=str(error))

    async def supervise(self) -> None:
        """Wait for a stop request; reload changed settings and raise the error of a failed task."""
        while not self.stop_requested.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SETTINGS_POLL_INTERVAL_S):
                    await self.stop_requested.wait()
            if self.file_state() != self.loaded_file_state:
                self.reload()
            for task in self.node.tasks:
                if task.done() and not task.cancelled() and task.exception() is not None:
                    logs.warning("task_ended", reason=repr(task.exception()))
                    raise task.exception()  # type: ignore[misc]

    def reload(self) -> None:
        """Reload the settings that may change at run time; log and ignore an invalid file."""
        self.loaded_file_state = self.file_state()
        try:
            settings = self.load(self.path)
        except errors.SettingsError as error:
            logs.warning("reload_refused", reason=error.message)
            return
        self.node.reload(settings)
        logs.event("reloaded", controls=settings.control_ips)


def describe_build() -> dict[str, str]:
    """Return what tells this program from others: its version and build, Python and the machine.

    The build is the digest of the sources that `deploy/build.sh` writes beside the package.
    """
    path = pathlib.Path(__file__).resolve().parents[2] / BUILD_FILE
    try:
        build = path.read_text(encoding="ascii").strip()
    except (OSError, ValueError):
        build = "unknown"
    return {
        "version": __version__,
        "build": build,
        "python": sys.version.split()[0],
        "machine": os.uname().machine,
    }


async def serve_metrics(exchange: stream_server.Exchange) -> None:
    """Serve the metrics in the Prometheus text format."""
    if exchange.request.target != METRICS_PATH:
        await exchange.respond(http_messages.Response(404, []))
        return
    headers = [(b"content-type", b"text/plain; version=0.0.4")]
    await exchange.respond(http_messages.Response(200, headers, metrics.expose()))


def run(
    role: str,
    path: pathlib.Path,
    load: SettingsLoader,
    dialect: dialects.Dialect,
    metrics_port: int = 0,
) -> int:
    """Run a node until it is stopped; return the exit code of the process."""
    clocks.check_platform()
    asyncio.run(NodeDaemon(role, path, load, dialect, metrics_port).run())
    return 0
