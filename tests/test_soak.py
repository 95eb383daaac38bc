"""Short soak runs under random faults, with fixed seeds and the seeds that failed before."""

import pytest

from bench import soak, soak_placement

# Seeds that failed before, each with the fault that it found.
REGRESSION_SEEDS: dict[int, str] = {
    201: "a fault was interrupted before it was healed; requests still went to a silent back end",
    324: "a leader that stopped during its reply caused a valid configuration to be rejected",
}


@pytest.mark.parametrize("seed", [1, 2, *REGRESSION_SEEDS])
def test_no_promise_is_broken_under_random_faults(seed, tmp_path):
    result = soak.run_seed(seed, 4.0, tmp_path)
    assert result.violations == [], f"logs are in {tmp_path}"
    assert result.answered > 20 and result.acknowledged > 2 and result.reads > 2


@pytest.mark.parametrize("seed", [1, 2])
def test_repeated_permanent_losses_of_control_vms_lose_nothing(seed, tmp_path):
    result = soak.run_seed(seed, 9.0, tmp_path, ("replace_control",))
    assert result.violations == [], f"logs are in {tmp_path}"
    assert result.faults["replace_control"] > 0


@pytest.mark.parametrize("seed", [2])
def test_worker_signals_are_respected_under_control_and_entry_faults(seed, tmp_path):
    fault_kinds = ("say_leaving", "ask_for_rest", "kill_controls", "stop_control", "kill", "freeze")
    result = soak.run_seed(seed, 8.0, tmp_path, fault_kinds)
    assert result.violations == [], f"logs are in {tmp_path}"
    assert result.faults.keys() & {"say_leaving", "ask_for_rest"}


def test_worker_limits_are_respected_under_control_and_entry_faults(tmp_path):
    fault_kinds = ("name_limit", "name_limit", "kill", "kill_controls", "stop", "freeze")
    result = soak.run_seed(3, 12.0, tmp_path, fault_kinds)
    assert result.violations == [], f"logs are in {tmp_path}"
    assert result.faults["name_limit"] > 0


# Guards against requests outside their allowed regions, against requests to an evacuated zone or
# evacuations that are lost, and against bursts at cold back ends, while nodes are lost.
def test_allowed_regions_evacuations_and_cold_limits_hold_under_faults(tmp_path):
    kinds = ("evacuate", "return_cold", "become_cold", "kill", "kill_controls", "stop", "freeze")
    result = soak.run_seed(6005, 18.0, tmp_path, kinds, soak_placement.PlacementSoak)
    assert result.violations == [], f"logs are in {tmp_path}"
    assert result.answered > 100 and result.figures["restricted requests"] > 100
    assert result.figures["acknowledged"] > 1 and result.faults.keys() & {"kill", "kill_controls"}


# Guards against an entry that ends, fills its memory or serves nobody, and against requests that
# are answered as not run although a worker began them, while back ends answer without end, clients
# do not read and nodes are lost.
def test_floods_and_clients_that_do_not_read_harm_no_other_request(tmp_path):
    kinds = ("flood", "slow_readers", "kill", "freeze")
    result = soak.run_seed(7101, 12.0, tmp_path, kinds, soak_placement.PlacementSoak)
    assert result.violations == [], f"logs are in {tmp_path}"
    assert result.answered > 100 and result.figures["floods"] > 0
    assert sum(result.figures["responses not read"].values()) > 0
    assert result.faults.keys() >= {"flood", "slow_readers"}
