"""The data folder: one process at a time."""

import fcntl
import os
import pathlib

from merlinthread import errors

LOCK_NAME = "lock"


class DataFolder:
    """A folder held by this process until `release`, also across a crash of the process.

    Raises FolderInUseError if another process holds it.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        path.mkdir(parents=True, exist_ok=True)
        self.handle = os.open(path / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self.handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self.handle)
            raise errors.FolderInUseError(
                f"{path}: another process holds this data folder; stop it first, or set another one"
            )

    def release(self) -> None:
        """Let another process have the folder."""
        os.close(self.handle)
