"""Checksummed records in append-only files.

A record is a header (magic, payload length, payload CRC-32, header CRC-32) and a payload. The
header has its own checksum, so that a flipped length can't pass for a torn tail.
"""

import errno
import os
import pathlib
import struct
import zlib

from merlinthread import errors

HEADER = struct.Struct("<4sIII")
MAGIC = b"MTR1"


def frame(payload: bytes) -> bytes:
    """Return the bytes of one record."""
    body_sum = zlib.crc32(payload)
    head_sum = zlib.crc32(MAGIC + struct.pack("<II", len(payload), body_sum))
    return HEADER.pack(MAGIC, len(payload), body_sum, head_sum) + payload


def read_records(data: bytes, path: pathlib.Path) -> tuple[list[bytes], int]:
    """Return the payloads of `data` and the length of its sound part.

    Each append is one record and is synced before the next. So an unsound last record is a write
    that a loss of power tore, and is left out; an unsound one that a sound one follows was synced
    once: raises LogDamagedError with file and offset, because dropping it could drop an
    acknowledged entry.
    """
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        part, body = read_record(data, offset)
        if part:
            if has_sound_record(data, offset + 1):
                raise damaged(path, offset, part)
            break
        payloads.append(body)
        offset += HEADER.size + len(body)
    return payloads, offset


def read_record(data: bytes, offset: int) -> tuple[str, bytes]:
    """Return the payload at `offset`, or the part that is not sound ("header" or "payload")."""
    header = data[offset : offset + HEADER.size]
    if len(header) < HEADER.size:
        return "header", b""
    magic, length, body_sum, head_sum = HEADER.unpack(header)
    if head_sum != zlib.crc32(header[:12]) or magic != MAGIC:
        return "header", b""
    body = data[offset + HEADER.size : offset + HEADER.size + length]
    if len(body) < length or zlib.crc32(body) != body_sum:
        return "payload", b""
    return "", body


def has_sound_record(data: bytes, start: int) -> bool:
    """Return whether a whole record lies anywhere from `start` on."""
    offset = data.find(MAGIC, start)
    while offset >= 0:
        if not read_record(data, offset)[0]:
            return True
        offset = data.find(MAGIC, offset + 1)
    return False


def damaged(path: pathlib.Path, offset: int, part: str) -> errors.LogDamagedError:
    """Return the error for a record whose `part` fails its checksum."""
    return errors.LogDamagedError(
        f"{path}: the {part} of the record at byte {offset} fails its checksum; leave the file: "
        "replace this control VM under a new name (docs/operators/control.md)"
    )


def sync_folder(folder: pathlib.Path) -> None:
    """Make renames and creations in `folder` durable."""
    handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def write_atomic(path: pathlib.Path, payload: bytes) -> None:
    """Replace `path` by a file of one record, durably and all at once.

    Raises DiskFullError; then the earlier file is intact.
    """
    scratch = path.with_suffix(".tmp")
    try:
        with open(scratch, "wb") as file:
            file.write(frame(payload))
            file.flush()
            os.fsync(file.fileno())
    except OSError as error:
        scratch.unlink(missing_ok=True)
        raise as_disk_full(error, path)
    os.replace(scratch, path)
    sync_folder(path.parent)


def read_single(path: pathlib.Path) -> bytes:
    """Return the payload of a file made by `write_atomic`; raise LogDamagedError otherwise."""
    payloads, _ = read_records(path.read_bytes(), path)
    if len(payloads) != 1:
        raise damaged(path, 0, "payload")
    return payloads[0]


def as_disk_full(error: OSError, path: pathlib.Path) -> Exception:
    """Translate a full disk into DiskFullError; return any other error unchanged."""
    if error.errno in (errno.ENOSPC, errno.EDQUOT, errno.EFBIG):
        return errors.DiskFullError(
            f"{path}: no room on the disk; free some space, nothing is lost"
        )
    return error


class RecordFile:
    """An append-only file of records; each `append` is one record, one write and one sync."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.payloads: list[bytes] = []
        existed = path.exists()
        if existed:
            self.payloads, self.length = read_records(path.read_bytes(), path)
        else:
            self.length = 0
        self.handle = os.open(path, os.O_RDWR | os.O_CREAT, 0o644)
        os.ftruncate(self.handle, self.length)
        os.fsync(self.handle)
        if not existed:
            sync_folder(path.parent)

    def append(self, payload: bytes) -> None:
        """Write and sync one record.

        Raises DiskFullError after taking back what was written of them. A failed sync leaves the
        file's state unknown, so that error is passed on and the owner must stop.
        """
        data = frame(payload)
        written = 0
        try:
            while written < len(data):
                written += os.pwrite(self.handle, data[written:], self.length + written)
        except OSError as error:
            os.ftruncate(self.handle, self.length)
            raise as_disk_full(error, self.path)
        os.fsync(self.handle)
        self.length += len(data)

    def close(self) -> None:
        """Close the file."""
        os.close(self.handle)
