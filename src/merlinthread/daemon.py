"""The entry point of `merlinthreadd`, the daemon that runs the roles of a VM."""

import argparse
import pathlib
import signal
import sys
import threading

from merlinthread import __version__, errors, logs, settings
from merlinthread.protocol import codec, error_responses, messages
from merlinthread.roles import agent, base, control, entry
from merlinthread.transport import http_server

POLL_INTERVAL_S = 0.5
# Time in which other processes learn of a shutdown, before new requests are rejected.
SHUTDOWN_NOTICE_S = 1.5
# Importing these modules registers their roles.
BUILT_IN_ROLES = (agent, control, entry)


class Daemon:
    """Creates the roles that the settings list and runs them in this process."""

    def __init__(self, settings_path: pathlib.Path, config: settings.Settings) -> None:
        self.settings_path = settings_path
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
        self.stop_requested = threading.Event()
        self.reload_requested = threading.Event()

    def not_ready_reason(self) -> str:
        """Return why one of the roles is not ready, or an empty string if all are."""
        return next((reason for role in self.roles if (reason := role.not_ready_reason())), "")

    def run(self) -> int:
        """Run until a signal stops the process or a role fails; return the exit code."""
        signal.signal(signal.SIGTERM, lambda *_: self.stop_requested.set())
        signal.signal(signal.SIGINT, lambda *_: self.stop_requested.set())
        signal.signal(signal.SIGHUP, lambda *_: self.reload_requested.set())
        self.context.http.start()
        for role in self.roles:
            role.start()
        logs.event("started", version=__version__, roles=self.config.roles)
        failure = self.wait_for_stop()
        self.shut_down()
        logs.event("stopped", reason=failure or "stop requested")
        return 1 if failure else 0

    def wait_for_stop(self) -> str:
        """Wait for a stop signal, and reload the settings on SIGHUP.

        Return the reason if a role fails, or an empty string after a stop signal.
        """
        while not self.stop_requested.wait(POLL_INTERVAL_S):
            if self.reload_requested.is_set():
                self.reload_requested.clear()
                self.reload()
            for role in self.roles:
                if reason := role.failure_reason():
                    return reason
        return ""

    def reload(self) -> None:
        """Apply the settings that may change without a restart; on an error, keep the old ones."""
        try:
            new_config = settings.load(self.settings_path)
        except errors.SettingsError as error:
            logs.warning("reload_refused", reason=error.message)
            return
        self.context.codec.set_keys([codec.parse_key(text) for text in new_config.mesh_keys])
        logs.configure(new_config.name, new_config.log.level)
        for role in self.roles:
            role.reload(new_config)
        logs.event("reloaded")

    def shut_down(self) -> None:
        """Announce the shutdown, wait for the requests in progress, then stop all roles."""
        logs.event("leaving", in_flight=self.context.in_flight.count)
        self.context.in_flight.is_draining = True
        for role in self.roles:
            role.start_draining()
        if set(self.config.roles) != {"control"}:
            threading.Event().wait(SHUTDOWN_NOTICE_S)
        timeouts = [
            section.drain_timeout_s for section in (self.config.entry, self.config.agent) if section
        ]
        is_drained = self.context.in_flight.drain(max(timeouts, default=0.0))
        if not is_drained:
            logs.warning("drain_timeout", in_flight=self.context.in_flight.count)
        self.context.http.stop()
        for role in self.roles:
            role.stop()


def parse_arguments(arguments: list[str] | None) -> argparse.Namespace:
    """Parse the command line arguments."""
    parser = argparse.ArgumentParser(
        prog="merlinthreadd", description="Run the roles that a settings file lists."
    )
    parser.add_argument(
        "--config", type=pathlib.Path, required=True, help="path of the settings file"
    )
    parser.add_argument(
        "--check", action="store_true", help="validate and print the settings, then exit"
    )
    parser.add_argument("--version", action="version", version=__version__)
    return parser.parse_args(arguments)


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon and return its exit code."""
    options = parse_arguments(arguments)
    try:
        config = settings.load(options.config)
        if options.check:
            print("\n".join(settings.describe(config)))
            print("settings: ok")
            return 0
        logs.configure(config.name, config.log.level)
        return Daemon(options.config, config).run()
    except errors.MerlinthreadError as error:
        print(f"merlinthreadd: {error.kind}: {error.message}", file=sys.stderr)
        return error_responses.RESPONSES[error.kind].exit_code


if __name__ == "__main__":
    sys.exit(main())
