"""Simulate control VMs under random faults, in virtual time; each seed is a run of its own.

Checks that one member leads in each term and none beside a lease, that all members apply the same
entries, that no acknowledged configuration is lost or called current without the newest ones, that
no member of an available VM is removed again, and that changes are accepted again within
`recover_s` after the last fault; and that the group tolerates all losses of its deployment again
`catch_up_s` after a VM came for one that was lost for good.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import json
import math
import pathlib
import random
import secrets
import sys
import tempfile
import traceback
from collections.abc import Iterator
from typing import Any

from bench import (
    control_faults,
    control_tolerance,
    simulated_control,
    simulated_links,
    virtual_loop,
)
from merlinthread import errors, logs
from merlinthread.coordination import fleet_state, raft_members, raft_messages
from merlinthread.nodes import fleet_watcher, log_member, node_settings
from merlinthread.protocol import node_messages
from merlinthread.state import journal

CHECK_INTERVAL_S = 0.1
CHANGE_INTERVAL_S = (0.2, 1.2)
CHANGE_TIMEOUT_S = 1.0
STARTUP_S = 3.0
WATCH = node_messages.WatchRequest("entry", "", 0, 0, 0.0)
# The time for which a leader without a majority calls itself one, and for which its followers hear
# it; a message may be on its way for some milliseconds more.
LEADER_STEP_DOWN_S = log_member.TIMING.election_max_s + 2 * log_member.TIMING.heartbeat_s
FINAL_FAULTS = ("none", "power loss", "lost disk and power loss")


@dataclasses.dataclass(frozen=True)
class Shape:
    """The deployment and the faults of a run."""

    members: int = 3
    tolerated: int = 1
    seconds: float = 40.0
    recover_s: float = 12.0
    overlaps: bool = False
    # Of builds that break it early, later faults are found without this check.
    checks_age: bool = True
    # Whether a candidate is lost before the random faults.
    loses_candidate: bool = False
    link: simulated_links.LinkShape = simulated_links.UNLIMITED
    # The regions whose links are as `link`, in both directions; 0 for all regions.
    far_regions: int = 0
    change_interval_s: tuple[float, float] = CHANGE_INTERVAL_S
    # The sizes between which random bodies of configurations are drawn; without, they are short.
    body_bytes: tuple[int, int] | None = None
    # A group need not tolerate losses that soon after overlapping faults.
    checks_tolerance: bool = True
    # In place of random faults, the VM of one region is replaced again and again.
    replace_every_s: float | None = None


class BrokenPromiseError(AssertionError):
    """A promise that the control VMs broke."""


class Simulation:
    """One run; `log` holds the log events with their times and VMs."""

    def __init__(self, shape: Shape, seed: int, folder: pathlib.Path) -> None:
        self.shape = shape
        self.folder = folder
        self.rng = random.Random(seed)
        self.body_rng = random.Random(f"{seed} bodies")
        self.network = simulated_control.Network(
            seed, simulated_links.UNLIMITED if shape.far_regions else shape.link
        )
        self.bounds = node_settings.Bounds()
        self.log: list[str] = []
        self.version = 0
        self.acknowledged: list[tuple[float, int]] = []
        self.applied: dict[int, tuple[int, bytes]] = {}
        self.leaders: dict[int, str] = {}
        # When each member was first seen in the membership, and which were seen removed.
        self.member_since: dict[str, float] = {}
        self.removed: set[str] = set()
        self.group: control_faults.Group
        self.faults: control_faults.FaultSchedule

    # Set-up

    def make_vm(self, ip: str) -> simulated_control.ControlVm:
        """Create a VM that is down."""
        return simulated_control.ControlVm(self.network, ip, self.folder / ip, self.bounds)

    def start_group(self) -> None:
        """Start all VMs for the first time."""
        vms = [self.make_vm(f"10.0.0.{number + 1}") for number in range(self.shape.members)]
        self.group = control_faults.Group(
            self.network, self.make_vm, self.shape.tolerated, self.bounds.catch_up_s, vms
        )
        self.faults = control_faults.FaultSchedule(self.group, self.rng, self.shape.overlaps)
        self.limit_far_links()
        for vm in vms:
            vm.start(self.group.seeds(), self.shape.tolerated, is_first=True)

    def limit_far_links(self) -> None:
        """Limit the links of some regions only, if the shape asks for it."""
        regions = [vm.ip for vm in self.group.vms]
        for far in regions[: self.shape.far_regions]:
            for other in regions:
                self.network.links.shapes[far, other] = self.shape.link
                self.network.links.shapes[other, far] = self.shape.link

    async def run(self) -> None:
        """Run the simulation; raise BrokenPromiseError if a promise is broken."""
        self.start_group()
        loop = asyncio.get_running_loop()
        checks = loop.create_task(self.check())
        operator = loop.create_task(self.change_repeatedly())
        try:
            await asyncio.sleep(STARTUP_S)
            if self.shape.loses_candidate:
                await self.wait_for(self.lose_candidate(), checks)
            if self.shape.replace_every_s is None:
                await self.wait_for(self.faults.run(self.shape.seconds), checks)
                await self.wait_for(self.cause_final_fault(), checks)
            else:
                await self.wait_for(self.replace_repeatedly(self.shape.replace_every_s), checks)
            await self.wait_for(self.check_recovery(), checks)
        finally:
            operator.cancel()
            checks.cancel()
            for vm in self.network.vms.values():
                vm.kill()

    async def wait_for(self, awaitable: Any, checks: asyncio.Task) -> None:
        """Wait for a part of the run; raise what the checks raise meanwhile."""
        part = asyncio.ensure_future(awaitable)
        await asyncio.wait({part, checks}, return_when=asyncio.FIRST_COMPLETED)
        if checks.done():
            part.cancel()
            checks.result()
        await part

    async def lose_candidate(self) -> None:
        """Lose a leader and a candidate; the group must recover and replace the lost disk."""
        await control_faults.lose_candidate(self.faults)
        await self.check_recovery()
        self.faults.begin_catching_up()

    async def cause_final_fault(self) -> None:
        """Cause the last fault right after a change was acknowledged."""
        kind = self.rng.choice(FINAL_FAULTS)
        if kind == "none":
            return
        if kind.startswith("lost disk"):
            now = asyncio.get_running_loop().time()
            await asyncio.sleep(max(0.0, self.faults.catching_up_until - now))
        await self.wait_for_change()
        vms = [vm for vm in self.group.vms if vm.is_up]
        emptied = self.rng.sample(vms, 1) if kind.startswith("lost disk") else []
        await self.lose_power(kind, vms, emptied)

    async def replace_repeatedly(self, every_s: float) -> None:
        """Replace the VM of one region repeatedly; at last empty another one, as power is lost."""
        first = self.rng.choice(self.group.vms)
        last = await control_faults.replace_repeatedly(
            self.faults, first, self.shape.seconds, every_s
        )
        await self.wait_for_change()
        vms = [vm for vm in self.group.vms if vm.is_up]
        emptied = self.rng.choice([vm for vm in vms if vm is not last])
        await self.lose_power("lost disk and power loss", vms, [emptied])

    async def wait_for_change(self) -> None:
        """Wait for a moment right after a change was acknowledged."""
        count = len(self.acknowledged)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.shape.recover_s):
                while len(self.acknowledged) == count:
                    await asyncio.sleep(0.01)
        await asyncio.sleep(self.rng.uniform(0.005, 0.4))

    async def lose_power(
        self,
        kind: str,
        vms: list[simulated_control.ControlVm],
        emptied: list[simulated_control.ControlVm],
    ) -> None:
        """Let VMs lose power at once, and some of them their disks."""
        self.faults.record(f"final {kind}, empty: {[vm.ip for vm in emptied]}")
        for vm in vms:
            vm.kill()
        for vm in emptied:
            vm.empty_disk()
        await asyncio.sleep(1.0)
        for vm in vms:
            self.group.start(vm)
        self.faults.extend_catching_up()

    # Operator

    async def change_repeatedly(self) -> None:
        """Change the configuration again and again, through any VM."""
        while True:
            await asyncio.sleep(self.rng.uniform(*self.shape.change_interval_s))
            self.version += 1
            if await self.change(self.version):
                now = asyncio.get_running_loop().time()
                self.acknowledged.append((now, self.version))

    async def change(self, version: int) -> bool:
        """Try to change the configuration; return whether the change was acknowledged."""
        vms = [vm for vm in self.group.vms if vm.is_up]
        if not vms:
            return False
        vm = self.rng.choice(vms)
        life = vm.life
        command = fleet_state.Configure(version, self.draw_body(version))
        try:
            async with asyncio.timeout(CHANGE_TIMEOUT_S):
                await vm.thawed.wait()
                await vm.node.submit(command)
                await vm.thawed.wait()
        except (errors.MerlinthreadError, TimeoutError):
            return False
        return vm.life == life

    def draw_body(self, version: int) -> bytes:
        """Return the body of a configuration; bodies reach the log compressed."""
        if self.shape.body_bytes is None:
            return b"%d" % version
        return self.body_rng.randbytes(self.body_rng.randint(*self.shape.body_bytes))

    # Checks

    async def check(self) -> None:
        """Run all checks until one fails or the task is cancelled."""
        if self.shape.checks_tolerance:
            await asyncio.gather(self.check_repeatedly(), self.check_tolerance())
        await self.check_repeatedly()

    async def check_repeatedly(self) -> None:
        """Check the state of all VMs until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for vm in self.network.vms.values():
                if vm.is_up and not vm.is_frozen:
                    self.check_vm(vm)

    async def check_tolerance(self) -> None:
        """Check after each loss for good that the group tolerates further losses in time."""
        loop = asyncio.get_running_loop()
        checked = extended = 0.0
        while True:
            until = self.faults.catching_up_until
            wait_s = CHECK_INTERVAL_S
            if checked < until < float("inf"):
                wait_s = min(wait_s, max(until, extended) - loop.time())
            if wait_s <= 0.0 and self.faults.is_any_impaired():
                # A further fault began meanwhile, after which the whole time is allowed.
                extended = loop.time() + self.bounds.catch_up_s
            elif wait_s <= 0.0:
                checked = until
                self.require_tolerance()
            await asyncio.sleep(wait_s if wait_s > 0.0 else CHECK_INTERVAL_S)

    def require_tolerance(self) -> None:
        """Check that the group tolerates as many further losses as its deployment."""
        found = control_tolerance.measure(self.group, self.faults.impaired)
        self.require(
            found.losses >= self.shape.tolerated,
            f"no tolerance {self.bounds.catch_up_s} s after VM {self.faults.last_return} was back: "
            f"{found.losses} losses are bearable, {found.reason}",
        )

    def check_vm(self, vm: simulated_control.ControlVm) -> None:
        """Check what one VM holds, and what it tells entries."""
        now = asyncio.get_running_loop().time()
        member = vm.node.member
        for entry in member.raft.log.entries_between(
            member.raft.log.snapshot.index, member.applied
        ):
            self.check_entry(vm, entry)
        if member.raft.is_leader():
            term = member.raft.hard_state.term
            leader = self.leaders.setdefault(term, member.name)
            self.require(leader == member.name, f"{leader} and {member.name} lead in term {term}")
            self.check_removals(member.raft.log.membership)
        if member.holds_lease():
            self.check_lease(vm)
        reply = vm.node.watches.changes_for(WATCH)
        if self.shape.checks_age and reply.leader_age_s <= fleet_watcher.STALE_AFTER_S:
            since = now - reply.leader_age_s - LEADER_STEP_DOWN_S
            due = max((version for at, version in self.acknowledged if at < since), default=0)
            self.require(
                reply.configuration_version >= due,
                f"{vm.ip} calls {reply.configuration_version} current, up to date "
                f"{reply.leader_age_s:.3f} s ago; {due} was acknowledged before that",
            )

    def check_removals(self, membership: raft_messages.Voters) -> None:
        """Check that no member is removed whose VM was available since the member joined."""
        now = asyncio.get_running_loop().time()
        for name in membership.members():
            self.member_since.setdefault(name, now)
        for name in set(membership.retired) - self.removed:
            self.removed.add(name)
            since = self.member_since.setdefault(name, now)
            ip, _ = node_settings.split_address(raft_members.address_of(name))
            vm = self.network.vms[ip]
            is_available = vm in self.group.vms and vm.is_up and ip not in self.faults.impaired
            self.require(
                not is_available or vm.sound_since >= since,
                f"{name} was removed, a member since {since:.3f} of a VM available since "
                f"{vm.sound_since:.3f}",
            )

    def check_entry(self, vm: simulated_control.ControlVm, entry: journal.Entry) -> None:
        """Check that an applied entry is the same at all members."""
        value = (entry.term, entry.data)
        first = self.applied.setdefault(entry.index, value)
        if first != value:
            raise BrokenPromiseError(f"{vm.ip} applied {value} at {entry.index}, others {first}")

    def check_lease(self, holder: simulated_control.ControlVm) -> None:
        """Check that no other member leads in a later term while one holds the lease."""
        term = holder.node.member.raft.hard_state.term
        for vm in self.network.vms.values():
            if vm.is_up and vm is not holder and vm.node.member.raft.is_leader():
                other = vm.node.member.raft.hard_state.term
                self.require(other < term, f"{vm.ip} leads in {other}, {holder.ip} has a lease")

    async def check_recovery(self) -> None:
        """Check that changes and reads succeed in time, and that nothing acknowledged is lost."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.shape.recover_s
        before = max((version for _, version in self.acknowledged), default=0)
        while not (found := await self.read_versions()) or min(found) <= before:
            if loop.time() > deadline:
                raise BrokenPromiseError(
                    f"after the last fault: {before} was acknowledged, read {found}"
                    f" for {self.shape.recover_s} s"
                )
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def read_versions(self) -> list[int]:
        """Read the configuration at each VM; return the versions, or none if a read failed."""
        versions = []
        for vm in self.group.vms:
            try:
                async with asyncio.timeout(CHANGE_TIMEOUT_S):
                    reply = await vm.node.api.read_configuration()
            except (errors.MerlinthreadError, TimeoutError):
                return []
            versions.append(reply.version)
        return versions

    def require(self, holds: bool, text: str) -> None:
        """Raise Violation unless a promise holds."""
        if not holds:
            raise BrokenPromiseError(text)


@contextlib.contextmanager
def recorded_logs(simulation: Simulation) -> Iterator[None]:
    """Record the log events of all VMs in place of writing them."""
    written = {name: getattr(logs, name) for name in ("event", "debug", "warning")}

    def record(name: str, /, **fields: Any) -> None:
        now = asyncio.get_running_loop().time()
        vm = simulated_control.current_vm.get()
        simulation.log.append(f"{now:8.3f} {vm:12} {name} {json.dumps(fields, default=str)}")

    try:
        logs.event = logs.warning = record  # type: ignore[assignment]
        logs.debug = lambda name, /, **fields: None
        yield
    finally:
        for name, function in written.items():
            setattr(logs, name, function)


@contextlib.contextmanager
def seeded_identities(seed: int) -> Iterator[None]:
    """Draw the identities of data folders from a seeded generator, so that runs repeat."""
    rng = random.Random(seed)
    token_hex = secrets.token_hex
    secrets.token_hex = lambda size: rng.randbytes(size).hex()
    try:
        yield
    finally:
        secrets.token_hex = token_hex


def simulate(shape: Shape, seed: int) -> tuple[str, Simulation]:
    """Run one simulation; return the promise that was broken, or "", and the simulation."""
    with tempfile.TemporaryDirectory() as folder:
        simulation = Simulation(shape, seed, pathlib.Path(folder))
        with recorded_logs(simulation), seeded_identities(seed):
            try:
                virtual_loop.run(simulation.run())
            except BrokenPromiseError as broken:
                return str(broken), simulation
            except Exception:
                return traceback.format_exc(), simulation
    return "", simulation


def main(arguments: list[str]) -> int:
    """Simulate some seeds and print what each of them broke."""
    parser = argparse.ArgumentParser(prog="python -m bench control_simulation")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--members", type=int, default=3)
    parser.add_argument("--tolerated", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--overlaps", action="store_true", help="faults while a VM catches up")
    parser.add_argument("--lost-candidate", action="store_true", help="lose a candidate first")
    parser.add_argument("--no-age", action="store_true", help="skip the check of ages")
    parser.add_argument("--no-tolerance", action="store_true", help="skip that check")
    parser.add_argument("--delay", type=float, default=0.0, help="one way between regions, in s")
    parser.add_argument("--mbps", type=float, default=math.inf, help="of each link, one way")
    parser.add_argument("--cross", type=float, default=0.0, help="share of other traffic")
    parser.add_argument("--cross-bytes", type=int, nargs=2, help="sizes of its bursts")
    parser.add_argument("--cross-queue", type=int, help="bytes above which it waits")
    parser.add_argument("--far-regions", type=int, default=0, help="with these links; 0 for all")
    parser.add_argument("--changes", type=float, nargs=2, default=CHANGE_INTERVAL_S)
    parser.add_argument("--body-bytes", type=int, nargs=2, help="sizes of configurations")
    parser.add_argument("--replace-every", type=float, help="seconds; in place of other faults")
    parser.add_argument("--log", action="store_true", help="print the logs of the last seed")
    options = parser.parse_args(arguments)
    shape = Shape(
        options.members,
        options.tolerated,
        options.seconds,
        overlaps=options.overlaps,
        checks_age=not options.no_age,
        loses_candidate=options.lost_candidate,
        link=simulated_links.LinkShape(
            options.delay,
            options.mbps,
            options.cross,
            tuple(options.cross_bytes or simulated_links.UNLIMITED.cross_bytes),
            options.cross_queue or simulated_links.UNLIMITED.cross_queue_bytes,
        ),
        far_regions=options.far_regions,
        change_interval_s=tuple(options.changes),
        body_bytes=tuple(options.body_bytes) if options.body_bytes else None,
        checks_tolerance=not (options.overlaps or options.no_tolerance),
        replace_every_s=options.replace_every,
    )
    broken = []
    simulation = None
    for seed in range(options.seed, options.seed + options.seeds):
        problem, simulation = simulate(shape, seed)
        if problem:
            broken.append(seed)
            print(f"seed {seed}: {problem}", flush=True)
    if options.log and simulation is not None:
        events = [f"{at:8.3f} {'':12} *** {text}" for at, text in simulation.faults.events]
        print("\n".join(sorted(simulation.log + events)))
    print(json.dumps({"seeds": options.seeds, "broken": broken}))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
