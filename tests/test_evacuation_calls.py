"""Evacuations at control VMs on loopback: calls of operators, failures and older builds."""

from merlinthread.coordination import fleet_state, levels
from tests import fleet_nodes
from tests.test_control_nodes import heartbeat, put_configuration, run


# Guards against a leader that refuses calls because it never heard from a member that was lost
# together with the former leader.
def test_followers_learn_levels_of_all_members_from_heartbeats(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 1)
        level = levels.FormatLevel.EVACUATIONS
        for number, (ip, node) in enumerate(controls.nodes.items()):
            beat = heartbeat(f"i-{number}", address=f"1.2.3.4:{80 + number}")
            assert (await controls.call(ip, "PUT", f"/instances/i-{number}", beat)).status == 200
            others = node.member.other_addresses()
            await fleet_nodes.until(
                lambda node=node, others=others: not node.member.levels.below(others, level)
            )

    run(tmp_path, scenario)


def test_evacuation_is_not_written_while_a_member_runs_an_older_build(tmp_path):
    async def scenario(controls):
        await put_configuration(controls, 1)
        node = controls.nodes[controls.leader()]
        others = node.member.other_addresses()
        await fleet_nodes.until(lambda: not node.member.levels.below(others, levels.NEWEST))
        node.member.levels.reported[others[0]] = levels.FormatLevel.HELD_REQUESTS
        level = levels.FormatLevel.EVACUATIONS
        written = node.member.state.level
        reason = node.member.write_gate.reason_not_writable(
            level, others, written, node.member.clock()
        )
        assert others[0] in reason and "newer builds" in reason
        # Its next reply reports the new level, as after an upgrade.
        await fleet_nodes.until(lambda: not node.member.levels.below(others, level))
        assert await node.submit(fleet_state.EvacuateZone("zone-a"))
        for each in controls.nodes.values():
            await fleet_nodes.until(lambda each=each: each.member.state.evacuated == ["zone-a"])
            assert each.member.state.level == level

    run(tmp_path, scenario)
