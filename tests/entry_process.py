"""An entry and its back ends for tests that measure the memory of the entry's process."""

import asyncio
import contextlib
import json
import pathlib
import sys

MIB = 1024 * 1024
BODY = bytes(4 * MIB - 1024)
PART_BYTES = 64 * 1024
BODY_BYTES_MAX = 4 * MIB
TIMEOUT_S = 110.0
ROOT = pathlib.Path(__file__).parent.parent


class Worker:
    """A back end that discards the bodies of requests and answers after `work_s`.

    One that `crashes` closes the connection in place of its answer.
    """

    def __init__(self, work_s: float, answer: bytes = b"ok", crashes: bool = False) -> None:
        self.work_s = work_s
        self.answer = answer
        self.crashes = crashes
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        """Start listening; return the address."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer) -> None:
        """Answer the requests of one connection."""
        self.writers.add(writer)
        with contextlib.suppress(OSError, EOFError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                left = int(head.partition(b"content-length: ")[2].split(b"\r\n")[0] or 0)
                request_id = head.partition(b"request-id: ")[2].split(b"\r\n")[0]
                while left:
                    left -= len(await reader.readexactly(min(left, PART_BYTES)))
                await asyncio.sleep(self.work_s)
                if self.crashes:
                    break
                lines = [
                    b"HTTP/1.1 200 OK",
                    b"X-Merlinthread-Request-Id: " + request_id,
                    b"X-Merlinthread-Response-Stamp: s." + request_id,
                    b"Content-Length: %d" % len(self.answer),
                ]
                writer.write(b"\r\n".join(lines) + b"\r\n\r\n" + self.answer)
                await writer.drain()
        await self.close(writer)

    async def close(self, writer: asyncio.StreamWriter) -> None:
        """Close a connection."""
        self.writers.discard(writer)
        await close(writer)

    async def stop(self) -> None:
        """Stop listening, and close the connections."""
        self.server.close()
        for writer in list(self.writers):
            await self.close(writer)


async def close(writer: asyncio.StreamWriter) -> None:
    """Close a connection at once, and wait until that is done."""
    writer.transport.abort()
    with contextlib.suppress(OSError):
        await writer.wait_closed()


class EntryProcess:
    """An entry with `memory_mib` of memory as a process, and two workers."""

    def __init__(self, memory_mib: int, workers: list[Worker]) -> None:
        self.memory_mib = memory_mib
        self.workers = workers
        self.events: list[dict] = []
        self.number = 0

    async def __aenter__(self):
        """Start the process; wait for its address."""
        addresses = [await worker.start() for worker in self.workers]
        arguments = ["-m", "tests.memory_entry", str(self.memory_mib * MIB), str(BODY_BYTES_MAX)]
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *arguments,
            *addresses,
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MIB,
        )
        address = asyncio.get_running_loop().create_future()
        self.log_task = asyncio.create_task(self.read_log(address))
        self.host, _, self.port = (await asyncio.wait_for(address, 30.0)).rpartition(":")
        return self

    async def __aexit__(self, *_) -> None:
        """End the process and the workers."""
        self.process.stdin.close()
        try:
            await asyncio.wait_for(self.process.wait(), 10.0)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        await self.log_task
        for worker in self.workers:
            await worker.stop()

    async def read_log(self, address: asyncio.Future) -> None:
        """Set the entry's address once it is known, and collect the events of its log."""
        while line := (await self.process.stdout.readline()).decode():
            if line.startswith("address "):
                address.set_result(line.split()[1])
            elif line.startswith("{"):
                self.events.append(json.loads(line))

    def peak_mib(self) -> float:
        """Return the largest resident memory of the process so far."""
        return peak_mib(self.process.pid)

    async def request(self, parts, framing: str, pause_s: float = 0.0) -> int | str:
        """Send a request whose body is `parts`; return its status or the name of the error."""
        self.number += 1
        head = (
            f"POST /safe/x HTTP/1.1\r\nHost: h.example\r\nApi-Key: key-1\r\n"
            f"X-Merlinthread-Request-Id: id-{self.number}\r\n"
            f"X-Merlinthread-Deadline-Ms: 110000\r\n{framing}\r\n\r\n"
        ).encode()
        writer = None
        try:
            async with asyncio.timeout(TIMEOUT_S):
                reader, writer = await asyncio.open_connection(self.host, int(self.port))
                response = asyncio.create_task(read_response(reader))
                writer.write(head)
                with contextlib.suppress(ConnectionError):
                    for part in parts:
                        if response.done():
                            break
                        writer.write(part)
                        await writer.drain()
                        await asyncio.sleep(pause_s)
                return await response
        except (OSError, EOFError, TimeoutError) as error:
            return type(error).__name__
        finally:
            if writer is not None:
                await close(writer)


def peak_mib(pid: int) -> float:
    """Return the largest resident memory of a process so far, without mapped files, in MiB."""
    fields = {}
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        fields[name] = value.split()[:1]
    in_kib = {name: int(fields[name][0]) for name in ("VmHWM", "RssFile", "RssShmem")}
    return (in_kib["VmHWM"] - in_kib["RssFile"] - in_kib["RssShmem"]) / 1024


async def read_response(reader: asyncio.StreamReader) -> int:
    """Read a response with a length; return its status."""
    head = (await reader.readuntil(b"\r\n\r\n")).lower()
    left = int(head.partition(b"content-length: ")[2].split(b"\r\n")[0])
    while left:
        left -= len(await reader.readexactly(min(left, PART_BYTES)))
    return int(head.split()[1])
