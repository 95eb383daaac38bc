"""Control VMs on the virtual time of `virtual_loop`: their own code, a simulated network and disk.

Links delay, lose or cut off messages in either direction; `simulated_links` has their bandwidth. A
VM can be killed, frozen, emptied, or have a slow disk. All data that a VM has saved survives a loss
of power, since it syncs each write.
"""

import asyncio
import contextlib
import contextvars
import pathlib
import random
import shutil
from typing import Any

from bench import simulated_links
from merlinthread import errors
from merlinthread.coordination import raft_messages
from merlinthread.nodes import control_node, node_settings
from merlinthread.platform import dialect
from merlinthread.protocol import codec as codecs
from merlinthread.protocol import node_messages, piece_messages

CONTROL_PORT = 7500
LATENCY_S = (0.001, 0.007)
RETRANSMIT_S = 0.2
SYNC_S = 0.005
CODEC = codecs.Codec([raft_messages.MESSAGES, node_messages.MESSAGES, piece_messages.MESSAGES], [])
# The VM whose code runs, for the log.
current_vm: contextvars.ContextVar[str] = contextvars.ContextVar("current_vm", default="")


class Network:
    """Messages between VMs, by IP address; `cut` holds the pairs of a sender and a receiver."""

    def __init__(
        self, seed: int, link: simulated_links.LinkShape = simulated_links.UNLIMITED
    ) -> None:
        self.seed = seed
        self.links = simulated_links.Links(seed, link)
        self.vms: dict[str, ControlVm] = {}
        self.cut: set[tuple[str, str]] = set()
        self.loss: dict[str, float] = {}
        # Each direction draws from a generator of its own, so that a run is the same for a seed
        # whatever the order in which messages to several receivers are sent.
        self.generators: dict[tuple[str, str], random.Random] = {}

    async def travel(self, sender: str, receiver: str, transfer: simulated_links.Transfer) -> None:
        """Wait until a message has arrived; lost data is sent again, as TCP does."""
        direction = (sender, receiver)
        link = self.links.between(sender, receiver)
        await transfer.send(link)
        rng = self.generators.setdefault(direction, random.Random(f"{self.seed} {direction}"))
        loss = max(self.loss.get(sender, 0.0), self.loss.get(receiver, 0.0))
        await asyncio.sleep(link.shape.delay_s + rng.uniform(*LATENCY_S))
        while direction in self.cut or rng.random() < loss:
            if transfer.is_abandoned:
                raise errors.UnreachableError(f"{receiver}: connection closed")
            await asyncio.sleep(RETRANSMIT_S)
        transfer.has_arrived = True

    async def call(self, sender: str, receiver: str, message: Any) -> Any:
        """Deliver a call and return the reply; raise UnreachableError if the receiver is down.

        If the caller gives up, a message that is on its way arrives all the same.
        """
        request = self.transfer_of(message)
        if self.links.are_unlimited():
            return await self.exchange(sender, receiver, message, request)
        exchange = asyncio.get_running_loop().create_task(
            self.exchange(sender, receiver, message, request)
        )
        exchange.add_done_callback(retrieve_exception)
        try:
            return await asyncio.shield(exchange)
        except asyncio.CancelledError:
            request.is_abandoned = True
            if not request.is_in_flight():
                exchange.cancel()
            raise

    async def exchange(
        self, sender: str, receiver: str, message: Any, request: simulated_links.Transfer
    ) -> Any:
        """Deliver a call and return the reply; raise UnreachableError if the receiver is down."""
        await self.travel(sender, receiver, request)
        vm = self.vms.get(receiver)
        if vm is None or not vm.is_up:
            raise errors.UnreachableError(f"{receiver}: connection refused")
        life = vm.life
        await vm.thawed.wait()
        token = current_vm.set(vm.ip)
        try:
            reply = await vm.node.dispatch_request(message)
        finally:
            current_vm.reset(token)
        if life != vm.life or request.is_abandoned:
            raise errors.UnreachableError(f"{receiver}: connection lost")
        await self.travel(receiver, sender, self.transfer_of(reply))
        return reply

    def transfer_of(self, message: Any) -> simulated_links.Transfer:
        """Return the transfer of a message, whose size matters on limited links only."""
        is_sized = not self.links.are_unlimited()
        return simulated_links.Transfer(len(CODEC.encode(message)) if is_sized else 0)


def retrieve_exception(done: asyncio.Future) -> None:
    """Retrieve the exception of a call without a caller, so that asyncio logs none."""
    if not done.cancelled():
        done.exception()


class RpcClient:
    """Replaces `node_bus.RpcClient` on one VM."""

    def __init__(self, network: Network, vm: "ControlVm") -> None:
        self.network = network
        self.vm = vm

    async def call(self, address: str, message: Any, timeout_s: float) -> Any:
        """Send a message; raise UnreachableError if there is no reply within `timeout_s`."""
        receiver, _ = node_settings.split_address(address)
        life = self.vm.life
        await self.vm.thawed.wait()
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self.network.call(self.vm.ip, receiver, message)
        except TimeoutError:
            raise errors.UnreachableError(f"{address}: no reply within {timeout_s} s")
        await self.vm.thawed.wait()
        if life != self.vm.life:
            raise errors.UnreachableError("this process has ended")
        return reply


class ControlVm:
    """One control VM; `life` counts its starts."""

    def __init__(
        self, network: Network, ip: str, folder: pathlib.Path, bounds: node_settings.Bounds
    ) -> None:
        self.network = network
        self.ip = ip
        self.folder = folder
        self.bounds = bounds
        self.rng = random.Random(f"{network.seed} {ip}")
        self.life = 0
        self.is_up = False
        # When it started, or when the last fault that made it unavailable ended.
        self.sound_since = 0.0
        self.is_frozen = False
        self.thawed = asyncio.Event()
        self.sync_s = SYNC_S
        self.busy_until = 0.0
        self.pending_syncs = 0
        self.tasks: list[asyncio.Task] = []
        self.node: control_node.ControlNode
        network.vms[ip] = self

    def start(self, seeds: list[str], tolerated: int, is_first: bool = False) -> None:
        """Start the processes of the VM."""
        loop = asyncio.get_running_loop()
        self.life += 1
        settings = node_settings.NodeSettings(
            f"control-{self.ip}",
            self.ip,
            "zone",
            "region",
            {},
            CONTROL_PORT,
            0,
            0,
            list(seeds),
            data_folder=str(self.folder),
            is_first_start=is_first,
            members_lost_max=tolerated,
            bounds=self.bounds,
        )
        token = current_vm.set(self.ip)
        self.node = control_node.ControlNode(settings, dialect.PlatformDialect(), CODEC, loop.time)
        member = self.node.member
        client = RpcClient(self.network, self)
        users = (self.node, self.node.api, self.node.crashes)
        for part in (*users, member, member.sender, member.member_changes):
            part.rpc_client = client  # type: ignore[attr-defined]
        self.is_up = True
        self.sound_since = loop.time()
        self.is_frozen = False
        self.pending_syncs = 0
        self.busy_until = loop.time()
        self.thawed.set()
        self.simulate_disk()
        self.seed_elections()
        self.node.on_restored()
        self.tasks = [loop.create_task(self.run())]
        current_vm.reset(token)

    async def run(self) -> None:
        """Run the member of the log; a frozen VM or a busy disk delays it."""
        member = self.node.member
        wait_for_message = member.wait_for_message

        async def wait_until_thawed(timeout_s: float) -> None:
            await wait_for_message(timeout_s)
            await self.thawed.wait()

        member.wait_for_message = wait_until_thawed  # type: ignore[method-assign]
        await member.run()

    def seed_elections(self) -> None:
        """Draw election timeouts from this VM's generator, also once it has a new member name."""
        member = self.node.member
        reopen = member.open

        def open_and_seed(is_first_start: bool) -> None:
            reopen(is_first_start)
            self.use_generator()
            self.simulate_disk()

        member.open = open_and_seed  # type: ignore[method-assign]
        self.use_generator()

    def use_generator(self) -> None:
        """Replace the generator of the current member."""
        member = self.node.member.raft
        member.rng = self.rng
        member.reset_election(self.node.clock())

    def simulate_disk(self) -> None:
        """Let the VM stand still while it syncs, so that its messages leave after that."""
        journal = self.node.member.journal
        save = journal.save

        def save_slowly(*arguments: Any) -> None:
            save(*arguments)
            loop = asyncio.get_running_loop()
            self.busy_until = max(self.busy_until, loop.time()) + self.sync_s
            self.pending_syncs += 1
            self.thawed.clear()
            loop.call_at(self.busy_until, self.end_sync, self.life)

        journal.save = save_slowly  # type: ignore[method-assign]

    def end_sync(self, life: int) -> None:
        """Continue after a sync, unless the VM has started again since."""
        if life == self.life:
            self.pending_syncs -= 1
            self.resume()

    def resume(self) -> None:
        """Continue unless the VM is frozen or its disk is still busy."""
        if not self.is_frozen and not self.pending_syncs:
            self.thawed.set()

    def freeze(self) -> None:
        """Let all processes stand still."""
        self.is_frozen = True
        self.thawed.clear()

    def thaw(self) -> None:
        """Let them continue."""
        self.is_frozen = False
        self.resume()

    def kill(self) -> None:
        """End all processes at once."""
        if not self.is_up:
            return
        self.life += 1
        self.is_up = False
        member = self.node.member
        for task in [*self.tasks, *member.sender.tasks()]:
            task.cancel()
        member.close()

    def empty_disk(self) -> None:
        """Delete all data."""
        shutil.rmtree(self.folder, ignore_errors=True)

    async def stop(self) -> None:
        """End as planned."""
        with contextlib.suppress(errors.MerlinthreadError):
            await self.node.member.member_changes.resign()
        self.kill()
