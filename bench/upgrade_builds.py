"""Earlier builds of this repository, for tests of compatibility."""

import contextlib
import pathlib
import subprocess
import tempfile
from collections.abc import Iterator

from bench import soak_nodes

# Commits of the last releases, newest first, which a fleet may run during an upgrade.
RELEASED_COMMITS = (
    "c365c9003983426b650a60b02c1ca0494f62b01c",
    "9ce909199521ee178d42170eff72cfa72cdee2df",
    "b3a75c218baaba0fef9623c118b8af7020052d67",
    "e50aefd424375498785de571c458026d0f940458",
    "6a7c99ae915282e56ea2d6ce0f965c0da019a52d",
    "34c916c28e6ef34ad8d7ded17c1d55eabe9b31ee",
)


class MissingCommitError(Exception):
    """Raised when this clone lacks a commit."""


@contextlib.contextmanager
def checkout_build(commit: str) -> Iterator[pathlib.Path]:
    """Check out a commit in a temporary worktree; yield its source folder.

    Raises MissingCommitError if this clone lacks the commit.
    """
    found = subprocess.run(
        ["git", "cat-file", "-e", f"{commit}^{{commit}}"], cwd=soak_nodes.ROOT, capture_output=True
    )
    if found.returncode:
        raise MissingCommitError(f"{commit} is not in this clone; fetch more of its history")
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name) / "build"
        git("worktree", "add", "--detach", str(folder), commit)
        try:
            yield folder / "src"
        finally:
            git("worktree", "remove", "--force", str(folder))


def git(*arguments: str) -> None:
    """Run git in this repository; raise CalledProcessError if it fails."""
    subprocess.run(
        ["git", *arguments], cwd=soak_nodes.ROOT, check=True, capture_output=True, text=True
    )
