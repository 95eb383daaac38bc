"""The expected cost of a request on an engine, in tokens of its prompt and its response.

Clients estimate the length of the response. Without an estimate, the mean of the route is used.
"""

from merlinthread.coordination import fleet

# Weight of one estimate in a route's mean; the first ones weigh more.
SMOOTHING = 0.02
# Routes whose mean is kept; those without an estimate for longest are dropped first.
ROUTES_MAX = 256
# The longest context of common models. Bounds the effect of a wrong header on shares of accounts.
COST_TOKENS_MAX = 131072


class ResponseMeans:
    """The mean estimates of response tokens, by route."""

    def __init__(self) -> None:
        # The number of estimates and their moving average.
        self.means: dict[str, tuple[int, float]] = {}

    def record(self, route: str, tokens: float) -> None:
        """Add one estimate."""
        count, mean = self.means.pop(route, (0, 0.0))
        mean += max(SMOOTHING, 1 / (count + 1)) * (tokens - mean)
        self.means[route] = (count + 1, mean)
        if len(self.means) > ROUTES_MAX:
            del self.means[next(iter(self.means))]

    def mean(self, route: str, engine: fleet.Engine | None) -> float:
        """Return the mean of a route, or the engine's configured one if there is no estimate."""
        if route in self.means:
            return self.means[route][1]
        return engine.usual_response_tokens if engine is not None else 0.0

    def cost_tokens(
        self, call: fleet.RequestHead, route: str, engine: fleet.Engine | None
    ) -> float:
        """Return the expected tokens of a request's prompt and response; record its estimate.

        The response is at most as long as the request allows.
        """
        response = self.mean(route, engine)
        if call.length_hint is not None:
            response = min(call.length_hint, COST_TOKENS_MAX)
        if call.response_tokens:
            response = min(response, call.response_tokens)
        if call.length_hint is not None:
            self.record(route, response)
        return min(call.prompt_tokens + response, COST_TOKENS_MAX)
