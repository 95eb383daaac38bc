"""`merlinthreadd`: the composition root that wires roles, and the daemon's life."""

import argparse
import pathlib
import signal
import sys
import threading

from merlinthread import __version__, errors, logs, settings
from merlinthread.protocol import codec, error_responses, messages
from merlinthread.roles import agent, base, control, entry
from merlinthread.transport import http_server

WATCH_EVERY_S = 0.5
LEAVING_GRACE_S = 1.5
BUILT_IN_ROLES = (agent, control, entry)


class Daemon:
    """The roles of one process, wired from its settings."""

    def __init__(self, path: pathlib.Path, config: settings.Settings) -> None:
        self.path = path
        self.config = config
        keys = [codec.parse_key(text) for text in config.mesh_keys]
        server = http_server.Server(
            config.http.address, config.http.port, config.http.threads, config.http.body_bytes_max
        )
        self.context = base.RoleContext(
            config, messages.make_codec(keys), server, http_server.InFlightRequests()
        )
        http_server.add_health_routes(server.routes, self.not_ready_reason)
        self.roles = [base.ROLES.get(name)(self.context) for name in config.roles]
        self.stop_asked = threading.Event()
        self.reload_asked = threading.Event()

    def not_ready_reason(self) -> str:
        """Return the first reason of any role, or nothing."""
        return next((why for role in self.roles if (why := role.not_ready_reason())), "")

    def run(self) -> int:
        """Serve until a planned stop; return the exit code."""
        signal.signal(signal.SIGTERM, lambda *_: self.stop_asked.set())
        signal.signal(signal.SIGINT, lambda *_: self.stop_asked.set())
        signal.signal(signal.SIGHUP, lambda *_: self.reload_asked.set())
        self.context.http.start()
        for role in self.roles:
            role.start()
        logs.event("started", version=__version__, roles=self.config.roles)
        broken = self.watch()
        self.leave()
        logs.event("stopped", reason=broken or "asked to")
        return 1 if broken else 0

    def watch(self) -> str:
        """Wait for the stop; return why a role broke, or nothing."""
        while not self.stop_asked.wait(WATCH_EVERY_S):
            if self.reload_asked.is_set():
                self.reload_asked.clear()
                self.reload()
            for role in self.roles:
                if why := role.failure_reason():
                    return why
        return ""

    def reload(self) -> None:
        """Take over what may change: keys, log level, operators, members."""
        try:
            changed = settings.load(self.path)
        except errors.SettingsError as error:
            logs.warning("reload_refused", reason=error.message)
            return
        self.context.codec.set_keys([codec.parse_key(text) for text in changed.mesh_keys])
        logs.configure(changed.name, changed.log.level)
        for role in self.roles:
            role.reload(changed)
        logs.event("reloaded")

    def leave(self) -> None:
        """Take no new work, let others learn of it, wait for what is in progress, then stop."""
        logs.event("leaving", in_flight=self.context.in_flight.count)
        self.context.in_flight.is_draining = True
        for role in self.roles:
            role.start_draining()
        if set(self.config.roles) != {"control"}:
            threading.Event().wait(LEAVING_GRACE_S)
        timeouts = [
            section.drain_timeout_s for section in (self.config.entry, self.config.agent) if section
        ]
        is_drained = self.context.in_flight.drain(max(timeouts, default=0.0))
        if not is_drained:
            logs.warning("drain_timeout", in_flight=self.context.in_flight.count)
        self.context.http.stop()
        for role in self.roles:
            role.stop()


def read_arguments(arguments: list[str] | None) -> argparse.Namespace:
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(
        prog="merlinthreadd", description="The daemon of merlinthread; its roles are settings."
    )
    parser.add_argument("--config", type=pathlib.Path, required=True, help="the settings file")
    parser.add_argument(
        "--check", action="store_true", help="validate the settings, explain them, and exit"
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser.parse_args(arguments)


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon; return its exit code."""
    options = read_arguments(arguments)
    try:
        config = settings.load(options.config)
        if options.check:
            print("\n".join(settings.explain(config)))
            print("settings: ok")
            return 0
        logs.configure(config.name, config.log.level)
        return Daemon(options.config, config).run()
    except errors.MerlinthreadError as error:
        print(f"merlinthreadd: {error.kind}: {error.message}", file=sys.stderr)
        return error_responses.RESPONSES[error.kind].exit_code


if __name__ == "__main__":
    sys.exit(main())
