"""Another build beside this one: a short seeded run from the newest landed build that is here."""

import pytest

from bench import upgrade


def test_vms_replaced_one_after_the_other_by_this_build_and_back_cost_no_request(tmp_path):
    try:
        with upgrade.build_of(upgrade.LANDED[0]) as old:
            verdict = upgrade.run("forward-back", "controls", 1, old, tmp_path)
    except upgrade.MissingCommitError as error:
        print(f"not run: {error}")
        pytest.skip(str(error))
    assert upgrade.problems(verdict, calm_share=1.0) == [], f"logs are in {tmp_path}"
    assert verdict.asked > 500 and verdict.acknowledged > 20


def test_a_commit_that_is_not_here_is_said_in_one_line(capsys):
    assert upgrade.main(["--from", "0" * 40]) == 2
    assert "is not in this clone" in capsys.readouterr().out
