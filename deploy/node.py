"""Start a node on the users' platform, with the package and libraries built under target/."""

import gc
import pathlib
import sys

# Imports produce little garbage, so collecting it only slows the start; `main` enables it again.
gc.disable()

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "target" / "app"))

from merlinthread.platform import main  # noqa: E402

sys.exit(main.main(sys.argv[1:]))
