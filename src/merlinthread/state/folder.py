"""Exclusive lock on the data folder."""

import fcntl
import os
import pathlib

from merlinthread import errors

LOCK_FILE_NAME = "lock"


class DataFolder:
    """The data folder, created if missing and locked by this process until `release`.

    The operating system drops the lock when the process ends. Raises FolderInUseError if another
    process holds the lock.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        path.mkdir(parents=True, exist_ok=True)
        self.fd = os.open(path / LOCK_FILE_NAME, os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self.fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self.fd)
            raise errors.FolderInUseError(
                f"{path}: another process has locked this data folder; stop it or configure "
                "another folder"
            )

    def release(self) -> None:
        """Release the lock."""
        os.close(self.fd)
