"""Faults of simulated control VMs, drawn at random within what the deployment tolerates."""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import Awaitable, Callable

from bench import simulated_control
from merlinthread import errors, registry
from merlinthread.coordination import fleet_state

Fault = Callable[["FaultSchedule"], Awaitable[None]]
FAULTS: registry.Registry[Fault] = registry.Registry("control fault")
# Faults that may overlap any other, since they take no VM away.
HARMLESS = ("slow disk", "lossy", "compaction")
# Temporary faults, which may also strike while a replaced VM catches up.
TEMPORARY = ("kill", "freeze", "cut", "one-way cut", "stalled disk", "power loss")
SLOW_SYNC_S = 0.15
# Less than the latency of a message.
POLL_INTERVAL_S = 0.0005


@dataclasses.dataclass
class Group:
    """The control VMs of a deployment, and what it tolerates."""

    network: simulated_control.Network
    make_vm: Callable[[str], simulated_control.ControlVm]
    tolerated: int
    catch_up_s: float
    # The VMs that have not been lost for good.
    vms: list[simulated_control.ControlVm]
    next_number: int = 100

    def seeds(self) -> list[str]:
        """Return the addresses that the settings of a starting VM name."""
        return [vm.ip for vm in self.vms]

    def start(self, vm: simulated_control.ControlVm) -> None:
        """Start a VM that is down."""
        if not vm.is_up:
            vm.start(self.seeds(), self.tolerated)

    def add(self, replaced: simulated_control.ControlVm) -> simulated_control.ControlVm:
        """Add an empty VM at a new address in the region of another one, and start it."""
        self.next_number += 1
        vm = self.make_vm(f"10.0.0.{self.next_number}")
        links = self.network.links
        links.regions[vm.ip] = links.region_of(replaced.ip)
        self.vms.append(vm)
        self.start(vm)
        return vm

    def leader(self) -> simulated_control.ControlVm | None:
        """Return the VM that leads, or None."""
        leading = [vm for vm in self.vms if vm.is_up and vm.node.member.raft.is_leader()]
        return max(leading, key=lambda vm: vm.node.member.raft.hard_state.term, default=None)


class FaultSchedule:
    """Causes faults one after the other; `events` lists them with their times."""

    def __init__(self, group: Group, rng: random.Random, overlaps: bool) -> None:
        self.group = group
        self.rng = rng
        self.overlaps = overlaps
        self.impaired: set[str] = set()
        self.catching_up_until = 0.0
        # The VM that came last for one that was lost for good.
        self.last_return = ""
        self.events: list[tuple[float, str]] = []
        self.tasks: list[asyncio.Task] = []

    async def run(self, seconds: float) -> None:
        """Cause faults for some time, and wait until the last one is over."""
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + seconds
        while loop.time() < ends_at:
            await asyncio.sleep(self.rng.choice((0.1, 0.5, 1.5, 4.0)) * self.rng.uniform(0.5, 1.5))
            name = self.rng.choice(sorted(FAULTS.entries))
            if self.may_begin(name):
                self.tasks.append(loop.create_task(self.cause(name)))
        await asyncio.gather(*self.tasks)

    def may_begin(self, name: str) -> bool:
        """Return whether a fault is within what the deployment tolerates now."""
        if name in HARMLESS:
            return True
        if len(self.impaired) >= self.group.tolerated:
            return False
        is_caught_up = asyncio.get_running_loop().time() >= self.catching_up_until
        return is_caught_up or (self.overlaps and name in TEMPORARY)

    async def cause(self, name: str) -> None:
        """Cause one fault."""
        await FAULTS.get(name)(self)

    def is_any_impaired(self) -> bool:
        """Return whether the effects of a fault on a VM last."""
        return bool(self.impaired) or any(not vm.is_up for vm in self.group.vms)

    def record(self, text: str) -> None:
        """Record what happens now."""
        self.events.append((asyncio.get_running_loop().time(), text))

    def choose(self) -> simulated_control.ControlVm:
        """Choose a VM, the leader more often than others; it is impaired until `recover`."""
        leader = self.group.leader()
        sound = [vm for vm in self.group.vms if vm.ip not in self.impaired]
        vm = leader if leader in sound and self.rng.random() < 0.4 else self.rng.choice(sound)
        assert vm is not None
        self.impaired.add(vm.ip)
        return vm

    def recover(self, vm: simulated_control.ControlVm) -> None:
        """End the effects of a fault on a VM."""
        self.impaired.discard(vm.ip)
        vm.sound_since = asyncio.get_running_loop().time()
        self.extend_catching_up()

    def record_return(self, vm: simulated_control.ControlVm, text: str) -> None:
        """Record that a VM has come for a lost one, and give it its time to catch up."""
        self.record(text)
        self.last_return = vm.ip
        self.begin_catching_up()

    def extend_catching_up(self) -> None:
        """Let a replacement have its whole time after a fault that kept it from catching up."""
        if asyncio.get_running_loop().time() < self.catching_up_until < float("inf"):
            self.begin_catching_up()

    def begin_catching_up(self) -> None:
        """Allow no further loss before the time in which a replacement catches up."""
        now = asyncio.get_running_loop().time()
        self.catching_up_until = now + self.group.catch_up_s


@FAULTS.add("kill")
async def kill(schedule: FaultSchedule) -> None:
    """End the processes of a VM and start them again."""
    vm = schedule.choose()
    schedule.record(f"kill {vm.ip}")
    vm.kill()
    await asyncio.sleep(schedule.rng.choice((0.1, 1.0, 3.5)))
    schedule.group.start(vm)
    schedule.recover(vm)


@FAULTS.add("freeze")
async def freeze(schedule: FaultSchedule) -> None:
    """Let a VM stand still."""
    vm = schedule.choose()
    schedule.record(f"freeze {vm.ip}")
    vm.freeze()
    await asyncio.sleep(schedule.rng.choice((0.4, 1.6, 3.0, 4.0)))
    vm.thaw()
    schedule.record(f"thaw {vm.ip}")
    schedule.recover(vm)


@FAULTS.add("cut")
async def cut(schedule: FaultSchedule) -> None:
    """Cut a VM off from the others."""
    await cut_off(schedule, ("from", "to"))


@FAULTS.add("one-way cut")
async def cut_one_way(schedule: FaultSchedule) -> None:
    """Cut off a VM in one direction."""
    await cut_off(schedule, (schedule.rng.choice(("from", "to")),))


async def cut_off(schedule: FaultSchedule, directions: tuple[str, ...]) -> None:
    """Cut a VM off from the others in some directions, and heal the links later."""
    vm = schedule.choose()
    network = schedule.group.network
    links = set()
    for other in schedule.group.vms:
        if "from" in directions:
            links.add((vm.ip, other.ip))
        if "to" in directions:
            links.add((other.ip, vm.ip))
    links -= {(vm.ip, vm.ip)}
    schedule.record(f"cut {vm.ip} {' and '.join(directions)}")
    network.cut |= links
    await asyncio.sleep(schedule.rng.choice((0.5, 2.0, 5.5)))
    network.cut -= links
    schedule.record(f"heal {vm.ip}")
    schedule.recover(vm)


@FAULTS.add("power loss")
async def lose_power(schedule: FaultSchedule) -> None:
    """Let all VMs lose power at once."""
    schedule.record("power loss")
    vms = [vm for vm in schedule.group.vms if vm.is_up]
    for vm in vms:
        vm.kill()
    await asyncio.sleep(schedule.rng.choice((0.2, 1.0, 3.0)))
    for vm in vms:
        if vm in schedule.group.vms:
            schedule.group.start(vm)
    schedule.extend_catching_up()


@FAULTS.add("lost disk")
async def lose_disk(schedule: FaultSchedule) -> None:
    """Kill a VM, which comes back with an empty disk."""
    vm = schedule.choose()
    schedule.record(f"lose disk of {vm.ip}")
    vm.kill()
    vm.empty_disk()
    schedule.catching_up_until = float("inf")
    await asyncio.sleep(schedule.rng.choice((0.3, 1.0, 2.0, 3.0)))
    schedule.group.start(vm)
    schedule.record_return(vm, f"{vm.ip} is back")
    schedule.recover(vm)


@FAULTS.add("replacement")
async def replace(schedule: FaultSchedule) -> None:
    """Lose a VM for good; an empty one comes at another address."""
    await lose_for_good(schedule, schedule.choose())


async def lose_for_good(
    schedule: FaultSchedule, vm: simulated_control.ControlVm
) -> simulated_control.ControlVm:
    """Lose a VM for good; return the empty one that comes at another address of its region."""
    schedule.record(f"lose {vm.ip} for good")
    vm.kill()
    vm.empty_disk()
    schedule.group.vms.remove(vm)
    schedule.catching_up_until = float("inf")
    await asyncio.sleep(schedule.rng.choice((0.5, 1.0, 2.0)))
    new = schedule.group.add(vm)
    schedule.record_return(new, f"{new.ip} is added")
    schedule.recover(vm)
    return new


async def replace_repeatedly(
    schedule: FaultSchedule, vm: simulated_control.ControlVm, seconds: float, every_s: float
) -> simulated_control.ControlVm:
    """Replace the VM of one region again and again, for some time; return the last one."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    while loop.time() < ends_at:
        next_at = loop.time() + every_s
        vm = await lose_for_good(schedule, vm)
        await asyncio.sleep(max(next_at, schedule.catching_up_until) - loop.time())
    return vm


@FAULTS.add("planned replacement")
async def replace_planned(schedule: FaultSchedule) -> None:
    """Add an empty VM, then let another one end as planned."""
    vm = schedule.choose()
    schedule.catching_up_until = float("inf")
    new = schedule.group.add(vm)
    schedule.record(f"{new.ip} is added for {vm.ip}")
    await asyncio.sleep(schedule.group.catch_up_s)
    schedule.record(f"stop {vm.ip} for good")
    schedule.group.vms.remove(vm)
    if vm.is_up:
        await vm.stop()
    schedule.last_return = new.ip
    schedule.begin_catching_up()
    schedule.recover(vm)


async def lose_candidate(schedule: FaultSchedule) -> bool:
    """Lose a leader whose last entry is not sent, and a candidate with its disk; both come back.

    The losses overlap, and one disk is lost. Returns False if the candidate had won or there was no
    leader, so that nothing was lost.
    """
    leader = schedule.group.leader()
    if leader is None:
        return False
    followers = [vm for vm in schedule.group.vms if vm is not leader]
    for vm in followers:
        vm.freeze()
    await append_entry(leader)
    schedule.record(f"kill {leader.ip}, whose last entry is not sent")
    leader.kill()
    for vm in followers:
        vm.thaw()
    candidate = await find_candidate(followers)
    if candidate is not None:
        schedule.record(f"lose disk of {candidate.ip}, a candidate")
        candidate.kill()
        candidate.empty_disk()
        await asyncio.sleep(2.0)
        schedule.group.start(candidate)
        await asyncio.sleep(1.0)
    schedule.group.start(leader)
    schedule.record("all are back")
    return candidate is not None


async def append_entry(leader: simulated_control.ControlVm) -> None:
    """Let a leader that reaches no other member save one more entry."""
    log = leader.node.member.raft.log
    last_index = log.last_index()
    command = fleet_state.NameVersion("model", 1)
    task = asyncio.get_running_loop().create_task(leader.node.submit(command))
    while log.saved_index <= last_index:
        await asyncio.sleep(POLL_INTERVAL_S)
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError, errors.MerlinthreadError):
        await task


async def find_candidate(
    vms: list[simulated_control.ControlVm],
) -> simulated_control.ControlVm | None:
    """Wait until another VM has voted for one; return that one, or None if it leads by then."""
    while True:
        for vm in vms:
            member = vm.node.member.raft
            voters = [other for other in vms if other is not vm]
            if member.is_leader():
                return None
            if any(other.node.member.raft.hard_state.voted_for == member.name for other in voters):
                return vm if member.hard_state.voted_for == member.name else None
        await asyncio.sleep(POLL_INTERVAL_S)


@FAULTS.add("slow disk")
async def slow_disk(schedule: FaultSchedule) -> None:
    """Let the syncs of a VM take long for some seconds."""
    vm = schedule.rng.choice(schedule.group.vms)
    schedule.record(f"slow disk of {vm.ip}")
    vm.sync_s = SLOW_SYNC_S
    await asyncio.sleep(5.5)
    vm.sync_s = simulated_control.SYNC_S


@FAULTS.add("stalled disk")
async def stall_disk(schedule: FaultSchedule) -> None:
    """Let the next sync of a VM take seconds."""
    vm = schedule.choose()
    stall_s = schedule.rng.choice((1.0, 3.5))
    schedule.record(f"stalled disk of {vm.ip}")
    vm.sync_s = stall_s
    await asyncio.sleep(0.3)
    vm.sync_s = simulated_control.SYNC_S
    await asyncio.sleep(stall_s)
    schedule.recover(vm)


@FAULTS.add("lossy")
async def lose_packets(schedule: FaultSchedule) -> None:
    """Let the links of a VM lose packets."""
    vm = schedule.rng.choice(schedule.group.vms)
    schedule.record(f"lossy links of {vm.ip}")
    schedule.group.network.loss[vm.ip] = 0.05
    await asyncio.sleep(5.5)
    schedule.group.network.loss.pop(vm.ip, None)


@FAULTS.add("compaction")
async def compact(schedule: FaultSchedule) -> None:
    """Let a VM replace its log by a snapshot."""
    vm = schedule.rng.choice(schedule.group.vms)
    if vm.is_up:
        schedule.record(f"compaction at {vm.ip}")
        vm.node.member.compact(asyncio.get_running_loop().time())
