"""This build works together with earlier ones, in stored data and during a rolling upgrade."""

import os
import pathlib
import subprocess
import sys

import pytest

from bench import release_bytes, soak_nodes, upgrade, upgrade_builds

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
    assert (reader.stdout, reader.returncode) == ("", 0), reader.stderr


# Requires nearly all requests to succeed, which other tests on the machine could prevent.
@pytest.mark.timed
def test_rolling_upgrade_and_rollback_fail_no_request(tmp_path):
    plan = upgrade.Plan("forward-back", "controls", 1, troubles=("revoke",))
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
