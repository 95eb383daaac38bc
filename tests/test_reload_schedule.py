"""Serving capacity of a fleet while its engines reload, without a network.

Guards against reloads that overlap so much that too few engines serve.
"""

import random

from merlinthread.coordination import reload_schedule

BOUND_S = 10.0
RELOAD_S = 1.7


def serving_shares(count: int, first_complete_s: float, last_complete_s: float) -> list[float]:
    """Return the share of serving engines in steps of 50 ms after a version is published."""
    rng = random.Random(1)
    engines = [(f"zone-{n % 5}", f"engine-{n}") for n in range(count)]
    out_of_service = []
    for _, name in engines:
        complete_at = rng.uniform(first_complete_s, last_complete_s)
        begins = reload_schedule.reload_time(
            reload_schedule.group_of(name, engines), complete_at, BOUND_S
        )
        out_of_service.append((begins, begins + RELOAD_S))
    retire_at = BOUND_S - reload_schedule.EXPIRY_MARGIN_S
    shares = []
    for step in range(int(13 / 0.05)):
        now = step * 0.05
        unavailable = sum(
            begins <= now < ends or retire_at <= now < begins for begins, ends in out_of_service
        )
        shares.append(1 - unavailable / count)
    return shares


def test_enough_engines_serve_throughout_a_version_change():
    shares = serving_shares(102, 6.0, 6.6)
    assert min(shares) >= 0.4, f"only {min(shares):.2f} of the engines serve"
    out_of_service_s = sum(1 - share for share in shares) * 0.05
    assert (
        out_of_service_s <= RELOAD_S * 1.02
    ), f"an engine is out of service for {out_of_service_s:.2f} s on average"


def test_weights_complete_after_the_last_turn_are_loaded_at_once():
    assert reload_schedule.reload_time(2, 9.7, BOUND_S) == 9.7


def test_each_zone_has_engines_in_every_reload_group():
    engines = [(f"zone-{n % 5}", f"engine-{n}") for n in range(60)]
    for zone in range(5):
        groups = {
            reload_schedule.group_of(name, engines) for z, name in engines if z == f"zone-{zone}"
        }
        assert groups == set(range(reload_schedule.GROUP_COUNT))


def test_first_group_reloads_at_once_and_last_group_before_the_bound():
    assert reload_schedule.reload_time(reload_schedule.GROUP_COUNT - 1, 6.0, BOUND_S) == 8.3
    assert reload_schedule.reload_time(0, 6.0, BOUND_S) == 6.0


# Guards against requests that are behind pieces of the new weights on a slow link, and reach their
# engine when the old ones have expired.
def test_engine_with_a_slow_link_gets_no_requests_shortly_before_its_weights_expire():
    soon = BOUND_S - reload_schedule.EXPIRY_MARGIN_S - reload_schedule.EXPIRES_SOON_S
    slow_s, usual_s = 0.35, 0.1
    assert reload_schedule.is_too_slow_to_start(BOUND_S, slow_s, soon + 0.01)
    assert not reload_schedule.is_too_slow_to_start(BOUND_S, slow_s, soon - 0.01)
    assert not reload_schedule.is_too_slow_to_start(BOUND_S, usual_s, soon + 0.01)
