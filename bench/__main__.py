"""`python -m bench NAME`: run a benchmark, whose last line of output is one JSON object."""

import importlib
import pkgutil
import signal
import sys

import bench

HELPERS = (
    "__main__",
    "control_faults",
    "fleet",
    "layers",
    "link_relay",
    "linked_node",
    "load",
    "measure",
    "operators",
    "processes",
    "relayed_connection",
    "release_bytes",
    "silence_fleet",
    "shared_links",
    "simulated_control",
    "silence_plan",
    "soak_faults",
    "soak_fleet",
    "soak_limits",
    "soak_cold",
    "soak_evacuations",
    "soak_links_faults",
    "soak_links_fleet",
    "soak_links_operator",
    "soak_links_tolerance",
    "soak_nodes",
    "soak_signals",
    "swarm",
    "upgrade_overload",
    "upgrade_run",
    "significance",
    "virtual_loop",
)


def benchmark_names() -> list[str]:
    """Return the names of all benchmarks."""
    return sorted(m.name for m in pkgutil.iter_modules(bench.__path__) if m.name not in HELPERS)


def main() -> int:
    """Run the benchmark named by the first argument."""
    if len(sys.argv) < 2 or sys.argv[1] not in benchmark_names():
        print(f"usage: python -m bench NAME, with NAME one of {', '.join(benchmark_names())}")
        return 2
    # Exit by an exception, so that context managers stop the processes that they started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    module = importlib.import_module(f"bench.{sys.argv[1]}")
    return module.main(sys.argv[2:])


if __name__ == "__main__":
    sys.exit(main())
