"""Check that imports between the layers go downwards only."""

import ast
import pathlib
import sys

PACKAGE = "merlinthread"
LAYERS = ("transport", "protocol", "coordination", "state")
# Modules at the root that every layer may import; all others stand above the layers.
FOUNDATION = ("errors", "registry", "logs", "metrics")
# Pure layers write no logs and keep no metrics.
PURE = ("coordination", "state", "protocol")


def imported(path: pathlib.Path) -> list[str]:
    """Return the parts of this package that a module imports, as "layer" or "module"."""
    found = []
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith(PACKAGE):
            rest = (node.module or "").split(".")[1:]
            found.extend([rest[0]] if rest else [alias.name for alias in node.names])
        elif isinstance(node, ast.Import):
            parts = [alias.name.split(".") for alias in node.names]
            found.extend(part[1] for part in parts if part[0] == PACKAGE and len(part) > 1)
    return found


def problems_of(path: pathlib.Path, layer: str) -> list[str]:
    """Return the imports of a layer's module that do not go downwards."""
    allowed = set(LAYERS[LAYERS.index(layer) :]) | set(FOUNDATION)
    if layer in PURE:
        allowed -= {"logs", "metrics"}
    return [
        f"{path}: layer {layer!r} imports {name!r}; it may import {', '.join(sorted(allowed))}"
        for name in imported(path)
        if name not in allowed and name != "__version__"
    ]


def find_problems(root: pathlib.Path) -> list[str]:
    """Return all imports below `root` that do not go downwards."""
    found = []
    for layer in LAYERS:
        for path in sorted((root / layer).rglob("*.py")):
            found.extend(problems_of(path, layer))
    return found


def main() -> int:
    """Print the problems; return 1 if there are any."""
    root = pathlib.Path(__file__).parent.parent / "src" / PACKAGE
    problems = find_problems(root)
    print("\n".join(problems) or "layers: ok")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
