"""The check of cold back ends in the soak test, without processes."""

import pytest

from bench import soak_cold
from stand_ins import fleet_worker

pytestmark = pytest.mark.quick


# Guards against a violation that is none: the worker reported that it was warm, as a later fault
# had shortened its cold time, while the check held the bound until the end of the first one (soak
# seed 7001).
def test_overlapping_faults_keep_a_worker_cold_until_the_last_end():
    checker, worker = soak_cold.ColdChecker(), fleet_worker.Worker("i-1")
    first = checker.begin(worker, 0.0, 10.0)
    second = checker.begin(worker, 0.5, 8.0)
    assert first.until == second.until == 10.0
    assert checker.remaining_ms(worker, 9.0) == 1000
    third = checker.begin(worker, 1.0, 12.0)
    assert (first.until, third.until) == (10.0, 13.0)
    assert checker.remaining_ms(worker, 9.0) == 4000


# Guards against a check that misses a burst at a worker that became cold twice.
def test_burst_after_the_end_of_a_shorter_second_fault_is_found():
    checker, worker = soak_cold.ColdChecker(), fleet_worker.Worker("i-1")
    checker.begin(worker, 0.0, 10.0)
    checker.begin(worker, 0.5, 8.0)
    for number in range(int(soak_cold.BOUND) + 1):
        run = fleet_worker.Run(f"r{number}", {}, b"", "/", worker.instance, 8.8 + number / 100)
        worker.runs.append(run)
    assert len(checker.violations()) == 2
