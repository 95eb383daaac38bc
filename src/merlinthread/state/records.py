"""Checksummed records in append-only files.

A record is a header (magic, payload length, payload CRC-32, header CRC-32) followed by a payload.
The checksum of the header distinguishes a corrupt length from an incomplete last record.
"""

import errno
import os
import pathlib
import struct
import zlib

from merlinthread import errors

HEADER = struct.Struct("<4sIII")
MAGIC = b"MTR1"


def encode_record(payload: bytes) -> bytes:
    """Encode a payload as a record."""
    payload_crc = zlib.crc32(payload)
    header_crc = zlib.crc32(MAGIC + struct.pack("<II", len(payload), payload_crc))
    return HEADER.pack(MAGIC, len(payload), payload_crc, header_crc) + payload


def read_records(data: bytes, path: pathlib.Path) -> tuple[list[bytes], int]:
    """Return the payloads of all valid records in `data`, and the total length of these records.

    Every record is synced before the next is written. An invalid record at the end is therefore an
    interrupted write and is ignored. An invalid record before a valid one had been synced; it
    raises LogDamagedError, because ignoring it could lose an acknowledged entry.
    """
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        part, record_payload = read_record(data, offset)
        if part:
            if has_valid_record(data, offset + 1):
                raise damage_error(path, offset, part)
            break
        payloads.append(record_payload)
        offset += HEADER.size + len(record_payload)
    return payloads, offset


def read_record(data: bytes, offset: int) -> tuple[str, bytes]:
    """Read the record at `offset`; return its invalid part and its payload.

    The invalid part is "header", "payload", or an empty string if the record is valid.
    """
    header = data[offset : offset + HEADER.size]
    if len(header) < HEADER.size:
        return "header", b""
    magic, length, payload_crc, header_crc = HEADER.unpack(header)
    if header_crc != zlib.crc32(header[:12]) or magic != MAGIC:
        return "header", b""
    record_payload = data[offset + HEADER.size : offset + HEADER.size + length]
    if len(record_payload) < length or zlib.crc32(record_payload) != payload_crc:
        return "payload", b""
    return "", record_payload


def has_valid_record(data: bytes, start: int) -> bool:
    """Return whether there is a valid record at or after `start`."""
    offset = data.find(MAGIC, start)
    while offset >= 0:
        if not read_record(data, offset)[0]:
            return True
        offset = data.find(MAGIC, offset + 1)
    return False


def damage_error(path: pathlib.Path, offset: int, part: str) -> errors.LogDamagedError:
    """Build the error for a record whose `part` has a wrong checksum."""
    return errors.LogDamagedError(
        f"{path}: the {part} of the record at byte {offset} has a wrong checksum; keep the file "
        "and replace this control VM under a new name (docs/operators/control.md)"
    )


def fsync_directory(folder: pathlib.Path) -> None:
    """Sync a directory, which makes files created or renamed in it durable."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def write_atomic(path: pathlib.Path, payload: bytes) -> None:
    """Atomically replace `path` with a synced file that holds a single record.

    Raises DiskFullError, and leaves the existing file unchanged in that case.
    """
    temporary = path.with_suffix(".tmp")
    try:
        with open(temporary, "wb") as file:
            file.write(encode_record(payload))
            file.flush()
            os.fsync(file.fileno())
    except OSError as error:
        temporary.unlink(missing_ok=True)
        raise as_disk_full(error, path)
    os.replace(temporary, path)
    fsync_directory(path.parent)


def read_single(path: pathlib.Path) -> bytes:
    """Return the payload of a file written by `write_atomic`.

    Raises LogDamagedError if the file does not hold exactly one valid record.
    """
    payloads, _ = read_records(path.read_bytes(), path)
    if len(payloads) != 1:
        raise damage_error(path, 0, "payload")
    return payloads[0]


def as_disk_full(error: OSError, path: pathlib.Path) -> Exception:
    """Convert an OSError for lack of disk space to DiskFullError; return others unchanged."""
    if error.errno in (errno.ENOSPC, errno.EDQUOT, errno.EFBIG):
        return errors.DiskFullError(
            f"{path}: no space left on the disk; free some space, stored data is intact"
        )
    return error


class RecordFile:
    """An append-only file of records.

    Opening a file reads the existing records into `payloads` and truncates an incomplete last one.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path
        self.payloads: list[bytes] = []
        existed = path.exists()
        if existed:
            self.payloads, self.length = read_records(path.read_bytes(), path)
        else:
            self.length = 0
        self.fd = os.open(path, os.O_RDWR | os.O_CREAT, 0o644)
        os.ftruncate(self.fd, self.length)
        os.fsync(self.fd)
        if not existed:
            fsync_directory(path.parent)

    def append(self, payload: bytes) -> None:
        """Append and sync a record.

        Raises DiskFullError after truncating a partial write. An OSError from the sync leaves the
        state of the file unknown; the process must not continue to use it.
        """
        data = encode_record(payload)
        written = 0
        try:
            while written < len(data):
                written += os.pwrite(self.fd, data[written:], self.length + written)
        except OSError as error:
            os.ftruncate(self.fd, self.length)
            raise as_disk_full(error, self.path)
        os.fsync(self.fd)
        self.length += len(data)

    def close(self) -> None:
        """Close the file."""
        os.close(self.fd)
