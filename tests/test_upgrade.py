"""This build works together with earlier ones, in stored data and during a rolling upgrade."""

import json
import os
import pathlib
import subprocess
import sys

import msgspec
import pytest

from bench import release_bytes, soak_nodes, upgrade, upgrade_builds, upgrade_run
from merlinthread.coordination import (
    crash_tracker,
    fingerprints,
    fleet_state,
    levels,
    raft_messages,
)
from merlinthread.nodes import node_roles
from merlinthread.platform import dialect
from merlinthread.protocol import node_messages, piece_messages
from tests import fleet_nodes

# A build with records of whole requests only.
WHOLE_REQUESTS_COMMIT = "b3a75c218baaba0fef9623c118b8af7020052d67"
# The format level that the build of `upgrade_builds.RELEASED_COMMITS[0]` reads.
RELEASED_LEVEL = levels.FormatLevel.HELD_REQUESTS
RECORDED = pathlib.Path(__file__).parent / "data" / "releases"


@pytest.mark.parametrize("path", sorted(RECORDED.glob("*.json")), ids=lambda path: path.stem)
def test_data_written_by_earlier_builds_is_readable(path):
    assert release_bytes.find_unreadable(path) == []


def test_data_written_by_this_build_is_readable_by_the_previous_one(tmp_path):
    release_bytes.write(tmp_path / "today.json")
    try:
        with upgrade_builds.checkout_build(upgrade_builds.RELEASED_COMMITS[0]) as old:
            reader = subprocess.run(
                [sys.executable, "-m", "bench.release_bytes", "read", tmp_path / "today.json"],
                cwd=soak_nodes.ROOT,
                env=os.environ | {"PYTHONPATH": str(old)},
                capture_output=True,
                text=True,
            )
    except upgrade_builds.MissingCommitError as error:
        print(f"not run: {error}")
        pytest.skip(str(error))
    # Entries of a higher level are not written while a member runs that build.
    newer = [
        name
        for name, kind in fleet_state.COMMANDS.entries.items()
        if levels.level_of(kind) > RELEASED_LEVEL
    ]
    assert sorted(reader.stdout.split()) == sorted(newer), reader.stderr
    assert reader.returncode == (1 if newer else 0), reader.stderr


# Guards against a message that is lost or renamed when it moves to another module, and against a
# node whose codec lacks a registry. A new name must not be sent to earlier builds.
@pytest.mark.parametrize("role", ["agent", "control", "entry"])
def test_names_of_messages_are_those_of_the_previous_build(tmp_path, role):
    recorded = json.loads((RECORDED / "c365c90.json").read_text())["messages"]
    settings = fleet_nodes.make_settings(role, data_folder=str(tmp_path))
    node = node_roles.factory_for(role)(settings, dialect.PlatformDialect())
    # Only control VMs exchange messages of the replicated log.
    expected = {name for name in recorded if role == "control" or not name.startswith("log.")}
    assert set(node.rpc_client.codec.types) == expected


# Guards against a message that is in two registries, of which the codecs would use one.
def test_all_codecs_have_each_message_once():
    registries = [raft_messages.MESSAGES, node_messages.MESSAGES, piece_messages.MESSAGES]
    names = [name for registry in registries for name in registry.entries]
    assert len(names) == len(set(names))
    for codec in (release_bytes.CODEC, fleet_nodes.make_codec()):
        assert sorted(codec.types) == sorted(names)


# Requires nearly all requests to succeed, which other tests on the machine could prevent.
@pytest.mark.timed
def test_rolling_upgrade_and_rollback_fail_no_request(tmp_path):
    plan = upgrade_run.Plan("forward-back", "controls", 1, troubles=("revoke",))
    try:
        with upgrade_builds.checkout_build(upgrade_builds.RELEASED_COMMITS[0]) as old:
            result = upgrade.run(plan, old, tmp_path)
    except upgrade_builds.MissingCommitError as error:
        print(f"not run: {error}")
        pytest.skip(str(error))
    assert upgrade.find_violations(result, baseline_rate=1.0) == [], f"logs are in {tmp_path}"
    assert result.asked > 500 and result.acknowledged > 20
    # A key revoked during the upgrade is accepted until then, and by neither build afterwards.
    accepted, revoked = result.key_answers
    assert accepted[200] > 10 and sum(revoked.values()) > 10 and 200 not in revoked


def test_missing_commit_is_reported_in_one_line(capsys):
    assert upgrade.main(["--from", "0" * 40]) == 2
    assert "is not in this clone" in capsys.readouterr().out


READ_PART_RECORDS = """
import sys
import msgspec
from bench import release_bytes
from merlinthread.coordination import crash_tracker, fleet_state

report, command = (bytes.fromhex(word) for word in sys.argv[1:])
tracker = crash_tracker.CrashTracker()
for suspicion in release_bytes.CODEC.decode(report).suspicions:
    tracker.merge(suspicion, 10.0)
state = fleet_state.FleetState()
name, fields = msgspec.msgpack.decode(command)
state.apply(msgspec.convert(fields, fleet_state.COMMANDS.entries[name]))
for record in tracker.held():
    print(record.fingerprint, record.fingerprint in state.held, tracker.is_strict(record.account))
"""


# Guards against records of parts of prompts that an earlier build can't read or counts for an
# account.
def test_records_of_parts_are_readable_by_a_build_without_them():
    part = fingerprints.part_fingerprint("m", "91bd3f06")
    crashes = [crash_tracker.ReportedCrash(f"i-{age}", age, age + 0.3) for age in (3.0, 2.0, 1.0)]
    suspicion = crash_tracker.SuspectReport(part, "part 91bd3f06 of prompts for m", crashes, 5.0)
    report = release_bytes.CODEC.encode(node_messages.CrashReport("entry", [suspicion]))
    hold = fleet_state.PlaceHold(part, suspicion.label, ["i-1.0"], 1)
    command = msgspec.msgpack.encode(("fleet.hold_back", hold))
    try:
        with upgrade_builds.checkout_build(WHOLE_REQUESTS_COMMIT) as old:
            reader = subprocess.run(
                [sys.executable, "-c", READ_PART_RECORDS, report.hex(), command.hex()],
                cwd=soak_nodes.ROOT,
                env=os.environ | {"PYTHONPATH": str(old)},
                capture_output=True,
                text=True,
            )
    except upgrade_builds.MissingCommitError as error:
        print(f"not run: {error}")
        pytest.skip(str(error))
    assert (reader.stdout, reader.returncode) == (f"{part} True False\n", 0), reader.stderr
