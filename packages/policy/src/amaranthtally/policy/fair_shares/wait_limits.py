"""Limits of waits, for the sake of accounts whose requests accept only short ones."""

from math import inf

from amaranthtally.policy.fair_shares.own_usage import DECAY_S
from amaranthtally.policy.usage_messages import Resource

__all__ = ["WaitLimits"]

# Part of the refused request's wait to which others are limited. What arrives between
# two refusals of theirs lengthens the queue beyond the limit.
LIMIT_PART = 0.5
# How long a limit holds after the last request that needs it, in seconds: the time
# constant of the sums of work. An account with a request every few seconds would else
# find the queue full again each time.
HOLD_S = DECAY_S


class WaitLimits:
    """
    Limits, by resource, of the waits that accounts above their share may cause.

    An account that only sends urgent requests accepts a short wait, and one that sends
    others a long one. Were each refused by its own wait alone, the second would keep
    the queue longer than the first can accept, and the first would get nothing.
    """

    def __init__(self) -> None:
        self._limits_s = [inf] * len(Resource)
        self._until = [-inf] * len(Resource)

    def note_refused(self, now: float, resource: Resource, max_wait_s: float) -> None:
        """Note the longest wait that a request, refused undeservedly, could accept."""
        if max_wait_s <= 0.0:
            return
        limit_s = self.limit_s(now, resource)
        self._limits_s[resource] = min(limit_s, LIMIT_PART * max_wait_s)
        if LIMIT_PART * max_wait_s <= limit_s:
            self._until[resource] = now + HOLD_S

    def renew(self, now: float, resource: Resource, max_wait_s: float) -> None:
        """Keep a limit in force that a request needs, whether or not it is refused."""
        if (
            now < self._until[resource]
            and LIMIT_PART * max_wait_s <= self._limits_s[resource]
        ):
            self._until[resource] = now + HOLD_S

    def limit_s(self, now: float, resource: Resource) -> float:
        """Return the limit in seconds; infinite without one."""
        return self._limits_s[resource] if now < self._until[resource] else inf
