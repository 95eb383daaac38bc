"""The resident memory of a control VM's process while many large configurations arrive.

Guards against control VMs that are killed over their memory by calls that they could refuse.
"""

import asyncio
import collections
import json
import os
import pathlib
import sys

import pytest

from tests import entry_process, fleet_nodes

MIB = 1024 * 1024
CALLS = 50
# A process over its memory is killed; a tenth of it is kept in reserve.
MEMORY_SHARE_MAX = 0.9
# Valid JSON takes longer to refuse; what is measured is the body.
BODY = b"[" * (4 * MIB - 1024)


class ControlProcess:
    """A control VM that is alone in its group, as a process with `memory_mib` of memory."""

    def __init__(self, folder: pathlib.Path, memory_mib: int) -> None:
        self.ip, self.port = f"{fleet_nodes.NETWORK}.99", 8000
        settings = {
            "node_name": "control",
            "ip": self.ip,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "port_range": [7700, 7715],
            "seeds": [f"{self.ip}:{self.port}"],
            "listen": {"control": f"{self.ip}:{self.port}"},
            "limits": {"memory_mb": memory_mib, "link_mbps": 1000},
            "bootstrap": True,
            "data_dir": str(folder / "data"),
        }
        (folder / "data").mkdir()
        self.path = folder / "settings.json"
        self.path.write_text(json.dumps(settings))

    async def __aenter__(self):
        """Start the process and wait until it accepts connections."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "merlinthread.platform.main", "control"),
            env=os.environ | {"MERLINTHREAD_CONFIG": str(self.path)},
            stdout=asyncio.subprocess.DEVNULL,
        )
        async with asyncio.timeout(30.0):
            while await self.call(b"[") != 400:
                await asyncio.sleep(0.05)
        return self

    async def __aexit__(self, *_) -> None:
        """End the process."""
        self.process.kill()
        await self.process.wait()

    async def call(self, body: bytes) -> int | str:
        """Send a configuration; return the status of the response or the name of the error."""
        try:
            async with asyncio.timeout(30.0):
                reader, writer = await asyncio.open_connection(self.ip, self.port)
                writer.write(
                    b"PUT /config HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % len(body)
                )
                writer.write(body)
                try:
                    return await entry_process.read_response(reader)
                finally:
                    await entry_process.close(writer)
        except (OSError, EOFError, TimeoutError) as error:
            return type(error).__name__


@pytest.mark.parametrize("memory_mib", [128, 168])
def test_control_vm_stays_within_its_memory(memory_mib, tmp_path):
    async def scenario():
        async with ControlProcess(tmp_path, memory_mib) as control:
            statuses = collections.Counter()
            for _ in range(3):
                calls = (control.call(BODY) for _ in range(CALLS))
                statuses.update(await asyncio.gather(*calls))
            peak_mib = entry_process.peak_mib(control.process.pid)
        print(f"RESULT control {memory_mib} peak={peak_mib:.0f} {dict(statuses)}")
        assert peak_mib <= MEMORY_SHARE_MAX * memory_mib, statuses
        assert statuses[400] and set(statuses) <= {400, 503}, statuses

    asyncio.run(scenario())
