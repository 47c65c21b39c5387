"""Until when computing a piece still helps its request."""

__all__ = ["latest_call_start"]


def latest_call_start(
    objective: float, deadline: float, remaining_s: float, is_started: bool
) -> float:
    """
    Return the time stamp by which the call of a piece must begin.

    ``remaining_s`` is the time that its stage and the later ones take on idle
    endpoints, so a request that starts later certainly misses its objective. The usual
    time of its engine is left out: that is a mean, which grows under load, and would
    then refuse requests that can be on time. With ``is_started`` pieces have
    been computed for the request, or its caller has events of the response already:
    ending it then would waste more than it saves, so only the deadline counts.
    """
    end = deadline if is_started else min(objective, deadline)
    return end - remaining_s
