"""Which endpoints are asked for their load, and how often."""

from amaranthtally.policy.actions import Action, PollLoad
from amaranthtally.policy.budgets import RateLimit
from amaranthtally.policy.loads import LoadTable
from amaranthtally.policy.routing import Router

__all__ = ["LoadPoller"]

# Questions of one entry a second, and at once: an entry with 100 endpoints in use asks
# each of them within five seconds.
ASKS_PER_S = 20.0
ASKS_BURST = 10.0


class LoadPoller:
    """
    Asks candidates whose report is old for a new one, within a rate.

    Reports come with replies. An endpoint that looked crowded once gets no attempts, so
    it sends no reports, and would look crowded ever after.
    """

    def __init__(self, router: Router, loads: LoadTable) -> None:
        self._router = router
        self._loads = loads
        self._rate = RateLimit(0.0, ASKS_PER_S, ASKS_BURST)

    def due_load_requests(self, now: float) -> list[Action]:
        """Return the questions that are due."""
        asked: list[Action] = []
        for endpoint in self._router.pop_stale_endpoints():
            # Settings may have changed since the choice: nobody answers there now.
            if self._loads.find(endpoint) is None:
                continue
            if self._rate.wait_s(now) > 0:
                break
            self._rate.take()
            asked.append(PollLoad(endpoint))
        return asked
