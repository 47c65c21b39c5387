"""What must hold on every day, whatever fails: checked as a day is played."""

from collections import Counter
from typing import TYPE_CHECKING

from amaranthtally.policy import Refuse, RequestOutcome
from amaranthtally.simulator.entries import Entry
from amaranthtally.simulator.requests import Request
from amaranthtally.simulator.services import PlainServer

if TYPE_CHECKING:
    from amaranthtally.simulator.world import World

__all__ = ["Promises"]

# An answer or a refusal may be so much later than its caller's deadline, in seconds:
# one tick, and the way to the entry.
LATE_S = 0.05
# Entries agree on owners again so long after the last fault, in seconds.
AGREE_S = 2.0


class Promises:
    """Collects what was broken, a line each."""

    def __init__(self, world: "World") -> None:
        self.broken: list[str] = []
        self._world = world
        self._ends: Counter[str] = Counter()
        # Effects whose callers were told that they were not run, and in which try.
        self._told: list[tuple[Request, int]] = []

    def note_end(self, request: Request, entry: Entry) -> None:
        """Check that a try ends once, and in time where its entry moved."""
        now = self._world.clock.now
        due = max(request.deadline, entry.thawed_at)
        self._ends[request.try_id] += 1
        if self._ends[request.try_id] > 1:
            self._break(f"{request.try_id} ended twice")
        if now > due + LATE_S:
            self._break(f"{request.try_id} ended {now - request.deadline:.3f} s late")

    def note_refusal(self, request: Request, refusal: Refuse) -> None:
        """Check that "not run" is true of what may not run twice."""
        if (
            request.kind.call != "effect"
            or refusal.outcome is not RequestOutcome.NOT_RUN
        ):
            return
        self._told.append((request, request.tries))
        if request.id in self._runs():
            self._break(f"{request.try_id} ran, and was said not to have")

    def check_agreement(self) -> None:
        """Check that all entries name one owner for each pool in each data centre."""
        world = self._world
        now = world.clock.now
        for pool in world.deployment.piece_pools:
            for place in world.deployment.data_centres:
                owners = {
                    coordinator.owner(now, pool.name, place.name) or entry.name
                    for entry, coordinator in world.entries.taking()
                }
                if len(owners) > 1:
                    at = f"{pool.name} in {place.name}"
                    self._break(f"{at} has {len(owners)} owners at {now:.3f} s")

    def check_end(self) -> None:
        """Check what must hold once all requests have ended."""
        world = self._world
        if world.callers.waiting:
            self._break(f"{world.callers.waiting} callers have no answer")
        all_runs = self._runs()
        for request, tries in self._told:
            if request.tries == tries and request.id in all_runs:
                self._break(f"{request.try_id} ran after it was said not to have")
        effects = {k.name for k in world.deployment.kinds if k.call == "effect"}
        for request_id, runs in all_runs.items():
            if request_id.rpartition("-")[0] in effects and runs > 1:
                self._break(f"{request_id} ran {runs} times")
        for entry in world.entries:
            budget = world.deployment.retry_budget * entry.attempts.firsts
            most = budget + world.deployment.retry_reserve
            retries = entry.attempts.paid_retries
            if retries > most:
                self._break(f"{entry.name} sent {retries} retries of {most:.0f}")

    def _runs(self) -> Counter[str]:
        servers = self._world.servers.values()
        plain = [s for s in servers if isinstance(s, PlainServer)]
        return Counter(request_id for server in plain for request_id in server.ran)

    def _break(self, what: str) -> None:
        self.broken.append(what)
