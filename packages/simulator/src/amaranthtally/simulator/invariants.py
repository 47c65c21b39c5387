"""Invariants that hold under all faults, checked during a simulation."""

from collections import Counter
from typing import TYPE_CHECKING

from amaranthtally.policy import Refuse, RequestOutcome
from amaranthtally.simulator.entries import Entry
from amaranthtally.simulator.requests import Request
from amaranthtally.simulator.services import PlainServer

if TYPE_CHECKING:
    from amaranthtally.simulator.simulation import Simulation

__all__ = ["InvariantChecker"]

# Tolerance of a response or refusal after its caller's deadline, in seconds: one tick
# and the network delay to the entry.
LATE_TOLERANCE_S = 0.05
# Time after the last fault until all entries agree on pool owners, in seconds.
OWNER_AGREEMENT_S = 2.0


class InvariantChecker:
    """Collects the violated invariants, one message for each."""

    def __init__(self, simulation: "Simulation") -> None:
        self.violations: list[str] = []
        self._simulation = simulation
        self._end_counts: Counter[str] = Counter()
        # Requests that were reported as not run and may not run again, and their tries.
        self._reported_not_run: list[tuple[Request, int]] = []

    def note_end(self, request: Request, entry: Entry) -> None:
        """Check that a try ends once, by its deadline or its entry's resumption."""
        now = self._simulation.clock.now
        due = max(request.deadline, entry.resumed_at)
        self._end_counts[request.try_id] += 1
        if self._end_counts[request.try_id] > 1:
            self._add_violation(f"{request.try_id} ended twice")
        if now > due + LATE_TOLERANCE_S:
            self._add_violation(
                f"{request.try_id} ended {now - request.deadline:.3f} s late"
            )

    def note_refusal(self, request: Request, refusal: Refuse) -> None:
        """Check that an effect that is refused as "not run" has not run."""
        if (
            request.kind.call != "effect"
            or refusal.outcome is not RequestOutcome.NOT_RUN
        ):
            return
        self._reported_not_run.append((request, request.tries))
        if request.id in self._run_counts():
            self._add_violation(f"{request.try_id} ran, and was said not to have")

    def check_agreement(self) -> None:
        """Check that all entries agree on the owner of each pool site."""
        simulation = self._simulation
        now = simulation.clock.now
        for pool in simulation.deployment.piece_pools:
            for data_centre in simulation.deployment.data_centres:
                owners = {
                    coordinator.owner(now, pool.name, data_centre.name) or entry.name
                    for entry, coordinator in simulation.entries.accepting()
                }
                if len(owners) > 1:
                    at = f"{pool.name} in {data_centre.name}"
                    self._add_violation(f"{at} has {len(owners)} owners at {now:.3f} s")

    def check_end(self) -> None:
        """Check the invariants that hold after all requests have ended."""
        simulation = self._simulation
        if simulation.callers.pending_count:
            self._add_violation(
                f"{simulation.callers.pending_count} callers have no answer"
            )
        all_runs = self._run_counts()
        for request, tries in self._reported_not_run:
            if request.tries == tries and request.id in all_runs:
                self._add_violation(
                    f"{request.try_id} ran after it was said not to have"
                )
        effects = {k.name for k in simulation.deployment.kinds if k.call == "effect"}
        for request_id, runs in all_runs.items():
            if request_id.rpartition("-")[0] in effects and runs > 1:
                self._add_violation(f"{request_id} ran {runs} times")
        for entry in simulation.entries:
            budget = simulation.deployment.retry_budget * entry.attempts.first_attempts
            most = budget + simulation.deployment.retry_reserve
            retries = entry.attempts.failure_retries
            if retries > most:
                self._add_violation(
                    f"{entry.name} sent {retries} retries of {most:.0f}"
                )

    def _run_counts(self) -> Counter[str]:
        servers = self._simulation.servers.values()
        plain = [s for s in servers if isinstance(s, PlainServer)]
        return Counter(request_id for server in plain for request_id in server.run_ids)

    def _add_violation(self, message: str) -> None:
        self.violations.append(message)
