"""Start a node of merlinthread on the users' platform, from what the build laid under target/."""

import gc
import pathlib
import sys

# The imports make no garbage to look for (a tenth of their time or less). `main` switches it on.
gc.disable()

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "target" / "app"))

from merlinthread.platform import main  # noqa: E402

sys.exit(main.main(sys.argv[1:]))
