"""The significance test of `bench compare`, its invalid arguments and its pairs of results."""

import json
import pathlib

import pytest

from bench import compare, significance


def test_difference_beyond_its_spread_is_better_or_worse():
    found = significance.evaluate([0.03, 0.04, 0.035, 0.03])
    assert (found.word, found.pairs, found.more) == ("better", 4, 0)
    assert significance.evaluate([-0.03, -0.04, -0.035]).word == "worse"


def test_difference_within_its_spread_gives_the_number_of_missing_pairs():
    found = significance.evaluate([0.05, -0.03, 0.02, -0.01])
    assert found.word == "not told apart"
    # Mean 0.0075, spread 0.0350: (2 x 0.0350 / 0.0075) squared is 87.1.
    assert found.more == 88 - 4


def test_two_pairs_are_too_few_for_a_verdict():
    assert significance.evaluate([0.1, 0.1]).word == "not told apart"
    assert significance.evaluate([]).more == significance.PAIRS_MIN


def test_negligible_difference_is_not_better():
    assert significance.evaluate([0.001, 0.001, 0.001]).word == "not told apart"


def site(folder: pathlib.Path) -> pathlib.Path:
    path = folder / "site.toml"
    path.write_text('[[day]]\nname = "quiet-1"\n')
    return path


@pytest.mark.parametrize(
    "arguments, words",
    [
        (["--decision", "returning"], ["'returning'", "returns"]),
        (["--decision", "returns", "--ways", "later"], ["'later'", "share"]),
        (["--decision", "returns"], ["--program"]),
    ],
)
def test_invalid_arguments_end_with_code_2_and_one_line(capsys, arguments, words):
    with pytest.raises(SystemExit) as caught:
        compare.main(arguments)
    assert caught.value.code == 2
    printed = capsys.readouterr().err
    assert printed.count("\n") == 1
    for word in words:
        assert word in printed


@pytest.mark.parametrize("name, day", [("site.toml", "mist"), ("none.toml", "quiet-1")])
def test_missing_day_or_site_ends_with_code_2_and_one_line(tmp_path, capsys, name, day):
    site(tmp_path)
    arguments = ["--decision", "returns", "--program", "p", "--folder", str(tmp_path / "f")]
    with pytest.raises(SystemExit) as caught:
        compare.main([*arguments, "--site", str(tmp_path / name), "--day", day])
    assert caught.value.code == 2
    assert capsys.readouterr().err.count("\n") == 1
    assert not (tmp_path / "f").exists()


def test_the_list_names_each_decision_with_its_ways(capsys):
    assert compare.main(["--list"]) == 0
    listed = json.loads(capsys.readouterr().out)
    assert listed["returns"] == ["forecast", "share"]


def test_pairs_are_formed_per_day_and_seed(tmp_path):
    path = site(tmp_path)
    simulations = [
        compare.Simulation(path, "quiet-1", seed, policy)
        for seed in (1, 2)
        for policy in ("a", "b")
    ]
    scores = {one.key(): one.seed + (0.5 if one.policy == "b" else 0.0) for one in simulations}
    assert compare.score_differences(simulations, scores, "b", "a") == [0.5, 0.5]
