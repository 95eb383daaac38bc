"""How much of a fleet serves while its engines change over: no network is needed.

The pattern: 102 engines in 5 zones become whole 6.0 to 6.6 s after a naming, the old weights may be
used for 10 s, a change takes 1.7 s (what runs ends in a second, loading 0.3 s, telling 0.4 s; the
users' published figures of the large site).
"""

import random

from merlinthread.coordination import change_over

BOUND_S = 10.0
CHANGE_S = 1.7


def serving_shares(count: int, first_whole_s: float, last_whole_s: float) -> list[float]:
    """Return the shares of the engines that serve, each 50 ms after the naming."""
    rng = random.Random(1)
    engines = [(f"zone-{n % 5}", f"engine-{n}") for n in range(count)]
    away = []
    for _, name in engines:
        whole = rng.uniform(first_whole_s, last_whole_s)
        begins = change_over.reload_time(change_over.group_of(name, engines), whole, BOUND_S)
        away.append((begins, begins + CHANGE_S))
    leave = BOUND_S - change_over.EXPIRY_MARGIN_S
    shares = []
    for step in range(int(13 / 0.05)):
        now = step * 0.05
        gone = sum(begins <= now < ends or leave <= now < begins for begins, ends in away)
        shares.append(1 - gone / count)
    return shares


def test_some_engines_serve_at_every_moment_of_a_change_over():
    shares = serving_shares(102, 6.0, 6.6)
    assert min(shares) >= 0.4, f"at worst {min(shares):.2f} of the engines serve"
    away_s = sum(1 - share for share in shares) * 0.05
    assert away_s <= CHANGE_S * 1.02, f"an engine is away for {away_s:.2f} s in the mean"


def test_weights_that_come_after_the_old_ones_are_left_are_taken_at_once():
    assert change_over.reload_time(2, 9.7, BOUND_S) == 9.7


def test_every_zone_keeps_engines_that_serve():
    engines = [(f"zone-{n % 5}", f"engine-{n}") for n in range(60)]
    for zone in range(5):
        groups = {change_over.group_of(name, engines) for z, name in engines if z == f"zone-{zone}"}
        assert groups == set(range(change_over.GROUP_COUNT))


def test_the_last_group_is_through_with_the_old_weights_when_they_are_left():
    assert change_over.reload_time(change_over.GROUP_COUNT - 1, 6.0, BOUND_S) == 9.0
    assert change_over.reload_time(0, 6.0, BOUND_S) == 6.0
