"""The weight origin and the weight store in one program, each behind a rate-limited link."""

import pathlib
import threading
import time
from collections.abc import Iterator

import msgspec

from merlinthread import errors
from merlinthread.coordination import pacing
from merlinthread.transport import http_server
from stand_ins import common

PIECE_BYTES = 65536


class Origin:
    """Gives byte ranges of the files in a folder and counts what it gave."""

    def __init__(self, folder: pathlib.Path, bytes_per_s: float) -> None:
        self.folder = folder
        self.lock = threading.Lock()
        self.pace = pacing.Pacer(bytes_per_s)
        self.sent_bytes = 0
        self.sent_by_object: dict[str, int] = {}
        self.corrupt_next = 0
        self.is_refusing = False

    def give_object(self, request: http_server.Request) -> http_server.Response:
        """Give a range of an object."""
        if self.is_refusing:
            raise errors.MerlinthreadError("not now", kind=errors.ErrorKind.OVERLOADED)
        path = self.path_of("objects", request.subpath)
        size = path.stat().st_size
        first, last = range_of(request.headers.get("range", ""), size)
        with open(path, "rb") as file:
            file.seek(first)
            data = file.read(last - first + 1)
        with self.lock:
            if self.corrupt_next > 0:
                self.corrupt_next -= 1
                data = damage(data, self.corrupt_next)
        return http_server.Response(
            206,
            self.pieces(request.subpath, data),
            {"Content-Range": f"bytes {first}-{last}/{size}", "Content-Length": str(len(data))},
            "application/octet-stream",
        )

    def give_manifest(self, request: http_server.Request) -> http_server.Response:
        """Give a manifest."""
        return http_server.Response(200, self.path_of("manifests", request.subpath).read_bytes())

    def path_of(self, kind: str, name: str) -> pathlib.Path:
        """Return the file of an object or manifest."""
        path = self.folder / kind / name.replace("/", "_")
        if not path.is_file():
            raise errors.WeightsError(f"no {kind} {name}", kind=errors.ErrorKind.UNKNOWN_MODEL)
        return path

    def pieces(self, name: str, data: bytes) -> Iterator[bytes]:
        """Give bytes at the link's rate."""
        for start in range(0, len(data), PIECE_BYTES):
            piece = data[start : start + PIECE_BYTES]
            with self.lock:
                ready_at = self.pace.reserve_until(len(piece), time.monotonic())
                self.sent_bytes += len(piece)
                self.sent_by_object[name] = self.sent_by_object.get(name, 0) + len(piece)
            time.sleep(max(0.0, ready_at - time.monotonic()))
            yield piece

    def stats(self, request: http_server.Request) -> http_server.Response:
        """Return what was given so far."""
        return http_server.json_response(
            {"sent_bytes": self.sent_bytes, "by_object": self.sent_by_object}
        )

    def disturb(self, request: http_server.Request) -> http_server.Response:
        """Corrupt the next answers, refuse, or change the rate."""
        wanted = msgspec.json.decode(request.body)
        with self.lock:
            self.corrupt_next = wanted.get("corrupt_next", self.corrupt_next)
            self.is_refusing = wanted.get("refusing", self.is_refusing)
            self.pace.bytes_per_s = wanted.get("bytes_per_s", self.pace.bytes_per_s)
        return http_server.json_response({"ok": True})

    def add_routes(self, routes: http_server.Routes) -> None:
        """Add the origin's and the store's paths."""
        routes.add("GET", "/objects/", self.give_object)
        routes.add("GET", "/manifests/", self.give_manifest)
        routes.add("GET", "/stats", self.stats)
        routes.add("POST", "/disturb", self.disturb)


def range_of(header: str, size: int) -> tuple[int, int]:
    """Return first and last byte of a Range header (RFC 9110, one range only)."""
    if not header.startswith("bytes="):
        return 0, size - 1
    first, _, last = header.removeprefix("bytes=").partition("-")
    return int(first), min(int(last), size - 1)


def damage(data: bytes, seed: int) -> bytes:
    """Return `data` with one byte changed, another one for each seed."""
    position = (seed * 7919) % len(data)
    changed = bytes([(data[position] + 1 + seed % 200) % 256])
    return data[:position] + changed + data[position + 1 :]


def main() -> None:
    """Run the stand-in."""
    parser = common.parser(__doc__ or "")
    parser.add_argument("--folder", type=pathlib.Path, required=True)
    parser.add_argument("--bytes-per-s", type=float, default=1e9)
    options = parser.parse_args()
    common.serve(options, Origin(options.folder, options.bytes_per_s).add_routes)


if __name__ == "__main__":
    main()
