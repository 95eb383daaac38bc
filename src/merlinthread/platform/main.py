"""Entry point of a node on the platform: `node.py ROLE [METRICS_PORT [POLICY_FILE]]`."""

import functools
import gc
import os
import pathlib
import sys

from merlinthread import errors, logs
from merlinthread.nodes import node_daemon, node_policy, node_roles
from merlinthread.platform import dialect, names, settings_file
from merlinthread.protocol import error_responses


def main(arguments: list[str]) -> int:
    """Run a node of the given role; return the exit code of the process."""
    role, port, policy_path = [*arguments, "", "", ""][:3]
    port = port or "0"
    if role not in node_roles.MODULES or not port.isdigit():
        roles = "|".join(node_roles.MODULES)
        print(f"usage: node.py {roles} [METRICS_PORT [POLICY_FILE]]", file=sys.stderr)
        return 2
    path = pathlib.Path(os.environ.get(names.SETTINGS_VARIABLE, ""))
    try:
        policy = node_policy.load(pathlib.Path(policy_path)) if policy_path else None
        load = functools.partial(settings_file.load, policy=policy)
        settings = load(path)
        logs.configure_stdout(settings.name, "info")
        gc.freeze()
        gc.enable()
        platform_dialect = dialect.PlatformDialect()
        return node_daemon.run(role, path, load, platform_dialect, int(port))
    except errors.MerlinthreadError as error:
        print(f"merlinthread: {error.kind}: {error.message}", file=sys.stderr)
        return error_responses.RESPONSES[error.kind].exit_code


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
