"""The expected cost of requests: estimates, means and limits."""

import pytest

from merlinthread.coordination import expected_cost, fleet

ENGINE = fleet.Engine(12, ["m"], usual_response_tokens=80.0)


def make_call(prompt, allowed, hint):
    return fleet.RequestHead(
        "id", b"POST", b"/", "h", prompt_tokens=prompt, response_tokens=allowed, length_hint=hint
    )


# Guards against shares of accounts that count prompts only, or trust any estimate.
@pytest.mark.parametrize(
    ("prompt", "allowed", "hint", "cost"),
    [
        (100, 400, 150, 250),
        (100, 400, 0, 100),
        (100, 400, 900, 500),
        (100, 400, None, 180),
        (100, 20, None, 120),
        (100, 0, 150, 250),
        (100, 0, 10**12, expected_cost.COST_TOKENS_MAX),
        (10**12, 10**12, None, expected_cost.COST_TOKENS_MAX),
    ],
)
def test_cost_is_prompt_and_estimate_within_what_the_request_allows(prompt, allowed, hint, cost):
    means = expected_cost.ResponseMeans()
    assert means.cost_tokens(make_call(prompt, allowed, hint), "r", ENGINE) == cost


def test_request_without_estimate_costs_the_mean_of_its_route():
    means = expected_cost.ResponseMeans()
    for hint in (100, 300) * 200:
        means.cost_tokens(make_call(10, 0, hint), "long", ENGINE)
        means.cost_tokens(make_call(10, 0, 20), "short", None)
    assert means.cost_tokens(make_call(10, 0, None), "long", ENGINE) == pytest.approx(210, abs=5)
    assert means.cost_tokens(make_call(10, 0, None), "short", ENGINE) == pytest.approx(30)
    assert means.cost_tokens(make_call(10, 0, None), "other", None) == 10


def test_number_of_routes_is_bounded():
    means = expected_cost.ResponseMeans()
    for number in range(1000):
        means.record(f"r-{number}", 1.0)
    assert len(means.means) == expected_cost.ROUTES_MAX
