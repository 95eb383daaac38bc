"""A short soak run of control VMs whose links are slow and shared with other traffic."""

import pytest

from bench import soak_links

pytestmark = pytest.mark.timed


# Guards against a group that bears no loss when the next one may come, as a new control VM gets the
# log too slowly or is not promoted, and against one that then has no leader any more.
def test_group_bears_each_loss_while_links_are_busy_and_connections_go_silent(tmp_path):
    result = soak_links.run_seed(1, soak_links.Options(seconds=24.0), tmp_path)
    assert result.violations == [], f"{result.replacements}; logs are in {tmp_path}"
    assert len(result.replacements) > 1 and result.acknowledged > 50 and result.reads > 50
    assert result.faults.keys() >= {"reload", "reset", "silence"}
