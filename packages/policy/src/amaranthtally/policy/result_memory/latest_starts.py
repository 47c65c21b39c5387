"""Until when computing a piece still helps its request."""

__all__ = ["latest_call_start"]


def latest_call_start(
    objective: float, deadline: float, remaining_s: float, has_begun: bool
) -> float:
    """
    Return the time stamp by which the call of a piece must begin.

    ``remaining_s`` is the time that its stage and the later ones take on idle
    endpoints, so a request that starts later certainly misses its objective. The usual
    time of its engine is left out: that is a mean, which grows under load, and would
    then refuse requests that can be on time. With ``has_begun`` the caller has events
    of the response already, which must go on although the objective has passed.
    """
    end = deadline if has_begun else min(objective, deadline)
    return end - remaining_s
