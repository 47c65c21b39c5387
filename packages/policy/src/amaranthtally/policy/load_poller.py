"""Polling of endpoints whose last load report is old."""

from amaranthtally.policy.actions import Action, PollLoad
from amaranthtally.policy.budgets import RateLimit
from amaranthtally.policy.loads import LoadTable
from amaranthtally.policy.routing import Router

__all__ = ["LoadPoller"]

# Rate and burst of the polls of one entry: an entry that uses 100 endpoints polls each
# of them within five seconds.
POLLS_PER_S = 20.0
POLL_BURST = 10.0


class LoadPoller:
    """
    Polls candidates whose load report is old, within a rate limit.

    Load reports are sent with replies. Without polling, an endpoint that was once
    reported as heavily loaded would receive no attempts, hence send no new report,
    and would be avoided for ever.
    """

    def __init__(self, router: Router, loads: LoadTable) -> None:
        self._router = router
        self._loads = loads
        self._rate = RateLimit(0.0, POLLS_PER_S, POLL_BURST)

    def due_polls(self, now: float) -> list[Action]:
        """Return the polls to send now."""
        polls: list[Action] = []
        for endpoint in self._router.pop_stale_endpoints():
            # The endpoint may have been removed since the routing decision.
            if self._loads.find(endpoint) is None:
                continue
            if self._rate.wait_s(now) > 0:
                break
            self._rate.take()
            polls.append(PollLoad(endpoint))
        return polls
