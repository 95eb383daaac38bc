"""Expected waits at back ends, from the load that entries and agents know of.

The estimates use the engine's parameters in the configuration, the requests and unread prompts
known or expected there, and measured response times. They do no I/O.
"""

from merlinthread.coordination import backend_record, fleet, load_tracker

# Part of the time to the first byte that the model does not cover.
BASE_LATENCY_S = 0.06
RUNNING_COST_S = 0.002
# Factor by which a full engine's steps take longer, since it also reads prompts.
FULL_SLOWDOWN = 3.0
# Responses after which their mean duration is used as the time for which a request holds a slot.
SLOT_TIME_RESPONSES_MIN = 20
# Added to the expected wait at an engine whose load is not known: in doubt, a request goes where it
# is known to be in time.
UNKNOWN_LOAD_WAIT_S = 0.1
# Minimum cost per running request on a back end without engine parameters.
GENERIC_RUNNING_COST_S = 0.05


def expected_first_byte_s(
    backend: backend_record.Backend,
    engine: fleet.Engine | None,
    tokens: float,
    now: float,
    urgency: int | None = None,
) -> float:
    """Return the expected time to the first byte of a request sent now, in seconds.

    An engine alternates between passes of several token steps and reading queued prompts. It admits
    more urgent requests first, so a request of a known `urgency` does not wait for less urgent ones
    that have no slot yet.
    """
    load = backend.load(now)
    if engine is None or not engine.read_tokens_per_s:
        waiting = max(0.0, load - backend.slots + 1)
        response_s = backend.expected_response_s()
        running_s = load * max(response_s, GENERIC_RUNNING_COST_S)
        return response_s * (1 + waiting / max(1, backend.slots)) + running_s
    pass_s = engine.step_s * engine.steps_per_pass
    unread = backend.unread_tokens + estimate_others_unread(backend, engine, now)
    if urgency is not None:
        overtaken = overtaken_prompts(backend, urgency, load, now)
        unread = max(0.0, unread - overtaken.tokens)
        load -= overtaken.attempts
    unread_s = prompt_read_s(engine, unread + tokens)
    waiting = max(0.0, load - backend.slots + 1)
    waiting_s = waiting / max(1, backend.slots) * slot_time_s(backend, engine)
    expected_s = pass_s + unread_s + waiting_s + load * RUNNING_COST_S
    first_byte_s = BASE_LATENCY_S + backend.pace * expected_s
    if backend.typical_load.samples and not backend.is_load_known(now):
        first_byte_s += UNKNOWN_LOAD_WAIT_S
    return first_byte_s


def overtaken_prompts(
    backend: backend_record.Backend, urgency: int, load: float, now: float
) -> load_tracker.UnreadPrompts:
    """Return the less urgent prompts that a request sent now overtakes in the engine's queue.

    Prompts of requests that have a slot are read first, whatever their urgency.
    """
    behind = backend.less_urgent_unread(urgency, now)
    queued = max(0, int(load) - backend.slots)
    if behind.attempts <= queued:
        return behind
    share = queued / behind.attempts
    return load_tracker.UnreadPrompts(urgency, queued, share * behind.tokens)


def slot_time_s(backend: backend_record.Backend, engine: fleet.Engine) -> float:
    """Return how long a request is expected to hold a slot of a full engine, in seconds.

    The mean of the responses so far is used once there are enough, if it is lower than the time in
    which a full engine generates a response of the usual length: many responses are shorter.
    """
    usual_s = engine.usual_response_tokens * engine.step_s * FULL_SLOWDOWN
    if backend.service_response_time.responses < SLOT_TIME_RESPONSES_MIN:
        return usual_s
    return min(usual_s, backend.expected_response_s())


def estimate_others_unread(
    backend: backend_record.Backend, engine: fleet.Engine, now: float
) -> float:
    """Return the known or expected tokens of other entries' unread prompts."""
    known = backend.others_unread_tokens
    if known is None:
        known = backend.others_queued * engine.usual_prompt_tokens
    if backend.is_load_known(now):
        return known
    known = known if backend.has_fresh_load(now) else 0.0
    return max(known, backend.typical_load.unread_tokens)


def prompt_read_s(engine: fleet.Engine | None, tokens: float) -> float:
    """Return how long an engine takes to read `tokens` of prompts, in seconds."""
    if engine is None or not engine.read_tokens_per_s:
        return 0.0
    return tokens / engine.read_tokens_per_s
