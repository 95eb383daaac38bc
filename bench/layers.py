"""Check that layers import only lower layers, and that modules with timeouts use one clock."""

import ast
import contextlib
import gc
import pathlib
import sys
from collections.abc import Iterator

PACKAGE = "merlinthread"
LAYERS = ("transport", "protocol", "coordination", "state")
# Modules at the root that every layer may import; all others are above the layers.
FOUNDATION = ("errors", "registry", "logs", "metrics", "clocks")
# Pure layers neither log nor record metrics.
PURE = ("coordination", "state", "protocol")
# Packages that compare ages and deadlines; they get the time as an argument or from clocks.now.
ONE_CLOCK = ("coordination", "state", "protocol", "nodes", "platform")


@contextlib.contextmanager
def collector_disabled() -> Iterator[None]:
    """Run no garbage collection, and so no destructors, inside the block.

    The parser of Python 3.11 raises SystemError if a destructor enters it again, as it does to
    format a traceback.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()


def parse(path: pathlib.Path) -> ast.Module:
    """Return the syntax tree of a module."""
    with collector_disabled():
        return ast.parse(path.read_text(encoding="utf-8"))


def imported_names(path: pathlib.Path) -> list[str]:
    """Return the layers and root modules of this package that a module imports."""
    found = []
    for node in ast.walk(parse(path)):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith(PACKAGE):
            rest = (node.module or "").split(".")[1:]
            found.extend([rest[0]] if rest else [alias.name for alias in node.names])
        elif isinstance(node, ast.Import):
            parts = [alias.name.split(".") for alias in node.names]
            found.extend(part[1] for part in parts if part[0] == PACKAGE and len(part) > 1)
    return found


def find_import_problems(path: pathlib.Path, layer: str) -> list[str]:
    """Return the forbidden imports of a layer's module."""
    allowed = set(LAYERS[LAYERS.index(layer) :]) | set(FOUNDATION)
    if layer in PURE:
        allowed -= {"logs", "metrics", "clocks"}
    return [
        f"{path}: layer {layer!r} imports {name!r}; it may import {', '.join(sorted(allowed))}"
        for name in imported_names(path)
        if name not in allowed and name != "__version__"
    ]


def find_clock_problems(path: pathlib.Path) -> list[str]:
    """Return the imports of the standard library's `time` in a module."""
    found = []
    for node in ast.walk(parse(path)):
        names = [alias.name for alias in node.names] if isinstance(node, ast.Import) else []
        if isinstance(node, ast.ImportFrom):
            names = [node.module or ""]
        if "time" in names:
            found.append(f"{path}:{node.lineno}: imports time; take `now`, or clocks.now")
    return found


def find_problems(root: pathlib.Path) -> list[str]:
    """Return all forbidden imports below `root`."""
    found = []
    for folder in ONE_CLOCK:
        for path in sorted((root / folder).rglob("*.py")):
            found.extend(find_clock_problems(path))
    for layer in LAYERS:
        for path in sorted((root / layer).rglob("*.py")):
            found.extend(find_import_problems(path, layer))
    return found


def main() -> int:
    """Print the problems; return 1 if there are any."""
    root = pathlib.Path(__file__).parent.parent / "src" / PACKAGE
    problems = find_problems(root)
    print("\n".join(problems) or "layers: ok")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
