"""Case: after overlapping losses with one lost disk, no control VM ever leads again."""

import os
import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import support  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The order of events; see claim.txt.
ORDER = os.environ.get("ORDER", "replacement")
CATCH_UP_S = support.BOUNDS["catch_up_s"]
RECOVER_S = support.BOUNDS["recover_s"]
# How long the VM that loses its disk is down, and the leader frozen.
DARK_S = 2.0
LOST_S = 3.0
# Time for the other member's reply to reach the leader.
ACK_S = 0.03
# How long after the last VM is back the configuration is asked for; the bound is `recover_s`.
READ_FOR_S = 3 * RECOVER_S


def configuration(version: int) -> dict:
    """Return a valid configuration."""
    return {
        "version": version,
        "routes": [support.route("r-1", "safe", "gridhall")],
        "services": [{"name": "gridhall", "health_check_path": "/healthz", "max_connections": 96}],
        "limits": {},
        "tenants": [{"name": "bozi300", "api_keys": ["jnbanfqasnmgkcuyj8pj"]}],
    }


def put(fleet: support.Fleet, version: int) -> None:
    """Send a configuration as the operator does, until it is acknowledged."""

    def is_acknowledged() -> bool:
        for seed in fleet.seeds:
            status, _ = support.call(seed, "PUT", "/config", configuration(version))
            if status == 200:
                fleet.record.write(f"operator: PUT /config version {version} at {seed}: 200")
                return True
        return False

    support.wait_for(f"the acknowledgement of version {version}", is_acknowledged, 20.0)


def read_version(seed: str) -> tuple[int, str]:
    """Read the configuration at one machine; return its version, 0 if it doesn't come."""
    status, body = support.call(seed, "GET", "/config")
    if status != 200:
        return 0, f"{status} {body[:90]!r}"
    version = support.json.loads(body)["version"]
    return version, f"200, version {version}"


def leader_of(nodes: list[support.Node]) -> support.Node | None:
    """Return the control VM that all control VMs name as leader in their logs, or None."""
    named = {(events[-1]["leader"] if (events := node.events("leader")) else "") for node in nodes}
    if len(named) != 1:
        return None
    address = named.pop()
    return next((node for node in nodes if address.startswith(f"{node.ip}:")), None)


def has_removed(leader: support.Node, lost: support.Node) -> bool:
    """Return whether the leader has removed the former member of a VM that lost its disk."""
    return any(
        event["change"]["remove"].startswith(f"{lost.ip}:")
        for event in leader.events("members_change")
    )


def lose_leader_in_replacement(fleet: support.Fleet, controls: list[support.Node]) -> None:
    """Freeze the leader for LOST_S while the group replaces a VM that lost its disk."""
    record = fleet.record
    leader = support.wait_for("a leader", lambda: leader_of(controls), 10.0)
    lost, other = (node for node in controls if node is not leader)
    record.write(f"the leader is {leader.name}")
    lost.kill()
    lost.lose_disk()
    record.write(f"node_kill and lost disk: {lost.name}")
    time.sleep(DARK_S)
    before = other.disk_bytes()
    lost.start()
    record.write(f"{lost.name} is started again with an empty disk")
    # Its former member is removed first; it becomes a voter again some 0.5 s later.
    support.wait_for("its return", lambda: has_removed(leader, lost), 10.0, 0.005)
    support.wait_for("the change of members", lambda: other.disk_bytes() > before, 1.0, 0.002)
    time.sleep(ACK_S)
    leader.signal(signal.SIGSTOP)
    record.write(f"node_freeze: {leader.name} stands still")
    time.sleep(LOST_S)
    leader.signal(signal.SIGCONT)
    record.write(f"{leader.name} wakes; now all three run")


def lose_candidate(fleet: support.Fleet, controls: list[support.Node]) -> None:
    """Lose the leader, which has written a change, and a candidate with its disk."""
    record = fleet.record
    leader = support.wait_for("a leader", lambda: leader_of(controls), 10.0)
    followers = [node for node in controls if node is not leader]
    record.write(f"the leader is {leader.name}")
    for node in followers:
        node.signal(signal.SIGSTOP)
    record.write("node_freeze: both followers stand still")
    time.sleep(0.2)
    before = leader.disk_bytes()
    address = f"{leader.ip}:{support.CONTROL_PORT}"
    arguments = (address, "PUT", "/config", configuration(3))
    sender = threading.Thread(target=support.call, args=arguments)
    sender.start()
    support.wait_for("the change on its disk", lambda: leader.disk_bytes() > before, 0.3, 0.002)
    leader.kill()
    record.write(f"operator: PUT /config version 3 at {address}: no answer")
    record.write(f"node_kill: {leader.name} is killed; its disk is kept")
    sizes = {node.name: node.disk_bytes() for node in followers}
    for node in followers:
        node.signal(signal.SIGCONT)
    record.write("the followers run again")
    # The candidate writes its vote first, then the other one.
    voted: list[support.Node] = []
    deadline = time.monotonic() + 10.0
    while len(voted) < 2 and time.monotonic() < deadline:
        for node in followers:
            if node not in voted and node.disk_bytes() > sizes[node.name]:
                voted.append(node)
    if len(voted) < 2:
        raise support.CannotRunError("there was no election")
    lost, kept = voted
    lost.kill()
    lost.lose_disk()
    record.write(f"node_kill and lost disk: {lost.name}, while it asks {kept.name} for its vote")
    sender.join()
    time.sleep(DARK_S)
    lost.start()
    record.write(f"{lost.name} is started again with an empty disk")
    time.sleep(1.0)
    leader.start()
    record.write(f"{leader.name} is started again with its disk; now all three run")


ORDERS = {"replacement": lose_leader_in_replacement, "votes": lose_candidate}


def run(fleet: support.Fleet) -> bool:
    """Run the case; return whether the rule held."""
    record = fleet.record
    controls = fleet.add_controls()
    for node in controls:
        node.start()
    put(fleet, 1)
    put(fleet, 2)
    for seed in fleet.seeds:
        record.write(f"operator: GET /config at {seed}: {read_version(seed)[1]}")
    time.sleep(CATCH_UP_S)
    if TROUBLE:
        ORDERS[ORDER](fleet, controls)
    back_at = time.monotonic()
    answers: dict[str, str] = {}
    while time.monotonic() < back_at + READ_FOR_S:
        for seed in fleet.seeds:
            version, text = read_version(seed)
            if answers.get(seed) != text:
                answers[seed] = text
                record.write(f"operator: GET /config at {seed}: {text}")
            if version >= 2:
                waited = time.monotonic() - back_at
                record.write(f"the configuration came {waited:.1f} s after all were back")
                return True
        time.sleep(0.3)
    for node in controls:
        last = node.events("no_leader")[-1:] or node.events("leader")[-1:]
        record.write(f"{node.name}: running {node.is_running()}; last word on a leader: {last}")
    record.write(f"no machine gave the configuration within {READ_FOR_S} s after all were back")
    return False


sys.exit(support.run_case(HERE, run))
