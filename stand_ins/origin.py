"""A stand-in for the weight origin and the weight store, with a limited send rate."""

import pathlib
import threading
import time
from collections.abc import Iterator

import msgspec

from merlinthread import errors
from merlinthread.coordination import pacing
from merlinthread.transport import http_server
from stand_ins import common

CHUNK_BYTES = 65536


class Origin:
    """Serves byte ranges of the files in a folder and counts the bytes sent."""

    def __init__(self, folder: pathlib.Path, bytes_per_s: float) -> None:
        self.folder = folder
        self.lock = threading.Lock()
        self.pacer = pacing.Pacer(bytes_per_s)
        self.sent_bytes = 0
        self.sent_by_object: dict[str, int] = {}
        self.corrupt_next = 0
        self.is_refusing = False

    def serve_object(self, request: http_server.Request) -> http_server.Response:
        """Return the requested byte range of an object."""
        if self.is_refusing:
            raise errors.MerlinthreadError(
                "origin is set to refuse requests", kind=errors.ErrorKind.OVERLOADED
            )
        path = self.find_file("objects", request.subpath)
        size = path.stat().st_size
        first, last = parse_range(request.headers.get("range", ""), size)
        with open(path, "rb") as file:
            file.seek(first)
            data = file.read(last - first + 1)
        with self.lock:
            if self.corrupt_next > 0:
                self.corrupt_next -= 1
                data = corrupt_byte(data, self.corrupt_next)
        return http_server.Response(
            206,
            self.stream_chunks(request.subpath, data),
            {"Content-Range": f"bytes {first}-{last}/{size}", "Content-Length": str(len(data))},
            "application/octet-stream",
        )

    def serve_manifest(self, request: http_server.Request) -> http_server.Response:
        """Return a manifest."""
        return http_server.Response(200, self.find_file("manifests", request.subpath).read_bytes())

    def find_file(self, kind: str, name: str) -> pathlib.Path:
        """Return the path of an object or manifest; raise `WeightsError` if it is missing."""
        path = self.folder / kind / name.replace("/", "_")
        if not path.is_file():
            raise errors.WeightsError(f"no {kind} {name}", kind=errors.ErrorKind.UNKNOWN_MODEL)
        return path

    def stream_chunks(self, name: str, data: bytes) -> Iterator[bytes]:
        """Yield `data` in chunks, paced to the configured rate."""
        for start in range(0, len(data), CHUNK_BYTES):
            chunk = data[start : start + CHUNK_BYTES]
            with self.lock:
                ready_at = self.pacer.reserve_until(len(chunk), time.monotonic())
                self.sent_bytes += len(chunk)
                self.sent_by_object[name] = self.sent_by_object.get(name, 0) + len(chunk)
            time.sleep(max(0.0, ready_at - time.monotonic()))
            yield chunk

    def stats(self, request: http_server.Request) -> http_server.Response:
        """Return the number of bytes sent, in total and per object."""
        return http_server.json_response(
            {"sent_bytes": self.sent_bytes, "by_object": self.sent_by_object}
        )

    def set_faults(self, request: http_server.Request) -> http_server.Response:
        """Corrupt the next responses, refuse requests, or change the rate."""
        requested = msgspec.json.decode(request.body)
        with self.lock:
            self.corrupt_next = requested.get("corrupt_next", self.corrupt_next)
            self.is_refusing = requested.get("refusing", self.is_refusing)
            self.pacer.bytes_per_s = requested.get("bytes_per_s", self.pacer.bytes_per_s)
        return http_server.json_response({"ok": True})

    def add_routes(self, routes: http_server.Routes) -> None:
        """Register the routes of the origin and the store."""
        routes.add("GET", "/objects/", self.serve_object)
        routes.add("GET", "/manifests/", self.serve_manifest)
        routes.add("GET", "/stats", self.stats)
        routes.add("POST", "/disturb", self.set_faults)


def parse_range(header: str, size: int) -> tuple[int, int]:
    """Return the first and last byte position of a Range header (RFC 9110, single range)."""
    if not header.startswith("bytes="):
        return 0, size - 1
    first, _, last = header.removeprefix("bytes=").partition("-")
    return int(first), min(int(last), size - 1)


def corrupt_byte(data: bytes, seed: int) -> bytes:
    """Return `data` with one byte changed; the seed selects which."""
    position = (seed * 7919) % len(data)
    changed = bytes([(data[position] + 1 + seed % 200) % 256])
    return data[:position] + changed + data[position + 1 :]


def main() -> None:
    """Parse the command line and serve."""
    parser = common.make_parser(__doc__ or "")
    parser.add_argument("--folder", type=pathlib.Path, required=True)
    parser.add_argument("--bytes-per-s", type=float, default=1e9)
    options = parser.parse_args()
    common.serve(options, Origin(options.folder, options.bytes_per_s).add_routes)


if __name__ == "__main__":
    main()
