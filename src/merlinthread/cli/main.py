"""The entry point of `merlinthread`; the module of a command is imported when it is used."""

import sys

from cleo.application import Application
from cleo.loaders.factory_command_loader import FactoryCommandLoader

from merlinthread import __version__

COMMANDS = {
    "bundle check": ("bundle_commands", "Check"),
    "bundle propose": ("bundle_commands", "Propose"),
    "bundle sign": ("bundle_commands", "Sign"),
    "bundle roll": ("bundle_commands", "Roll"),
    "bundle rollback": ("bundle_commands", "Rollback"),
    "bundle show": ("bundle_commands", "Show"),
    "bundle history": ("bundle_commands", "History"),
    "evacuations": ("evacuations", "Evacuations"),
    "evacuate": ("evacuations", "Evacuate"),
    "status": ("other_commands", "Status"),
    "explain": ("explain", "Explain"),
    "losses": ("losses", "Losses"),
    "keys new": ("other_commands", "KeysNew"),
    "weights manifest": ("other_commands", "WeightsManifest"),
}


def load(module: str, name: str) -> object:
    """Import the module of a command and return an instance of it."""
    import importlib

    return getattr(importlib.import_module(f"merlinthread.cli.{module}"), name)()


def make_application() -> Application:
    """Return the Cleo application with all commands."""
    application = Application("merlinthread", __version__)
    application.set_command_loader(
        FactoryCommandLoader(
            {
                name: lambda module=module, class_name=class_name: load(module, class_name)
                for name, (module, class_name) in COMMANDS.items()
            }
        )
    )
    return application


def main() -> int:
    """Run the command line tool and return its exit code."""
    application = make_application()
    application.auto_exits(False)
    return application.run()


if __name__ == "__main__":
    sys.exit(main())
