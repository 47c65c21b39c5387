"""Updates the statistics of endpoints, stages and prefixes from ended attempts."""

from amaranthtally.policy.ejection import Ejections
from amaranthtally.policy.events import AttemptOutcome, AttemptResult
from amaranthtally.policy.loads import LoadTable
from amaranthtally.policy.membership import Membership
from amaranthtally.policy.prefixes import PrefixIndex
from amaranthtally.policy.request_ledger import Counters
from amaranthtally.policy.requests import LiveAttempt, Request
from amaranthtally.policy.routing import Router
from amaranthtally.policy.stage_times import StageTimes

__all__ = ["OutcomeRecorder"]


class OutcomeRecorder:
    """Updates statistics, ejections and the prefix index as attempts end."""

    def __init__(
        self,
        times: StageTimes,
        loads: LoadTable,
        ejections: Ejections,
        membership: Membership,
        router: Router,
        prefixes: PrefixIndex,
        counters: Counters,
    ) -> None:
        self._times = times
        self._loads = loads
        self._ejections = ejections
        self._membership = membership
        self._router = router
        self._prefixes = prefixes
        self._counters = counters

    def deadline_passed(self, now: float, request: Request) -> None:
        """
        Add the run times of attempts that are still running at the deadline.

        These attempts are cancelled, so that no result reports their run times. Without
        them, a stage that has become slower than any deadline would keep its earlier,
        shorter run times.
        """
        stats = self._times.stats_for(request.current_stage)
        for attempt in request.live.values():
            run_s = now - attempt.sent_at - attempt.wait_s
            if run_s > stats.median_s:
                stats.add(run_s, int(stats.output_bytes), attempt.concurrent)
            self._ejections.probe_inconclusive(attempt.endpoint)

    def attempt_failed(
        self, now: float, request: Request, ended: LiveAttempt, result: AttemptResult
    ) -> None:
        """Count a failed attempt against its endpoint, if the endpoint caused it."""
        load = self._loads.find(ended.endpoint)
        # A full queue, a missing model, missing inputs or a request that fails at every
        # endpoint are no fault of this one; ejecting it would only reduce capacity.
        not_at_fault = result.permanent or (
            result.outcome is AttemptOutcome.NOT_RUN
            and (
                result.retry_after_s > 0
                or result.inputs_missing
                or (load is not None and not load.accepts(request.current_stage.model))
            )
        )
        if not_at_fault or load is None:
            self._ejections.probe_inconclusive(ended.endpoint)
            return
        self._counters.ejections += self._membership.failed(now, load)

    def attempt_overtaken(
        self, now: float, loser: LiveAttempt, winner: LiveAttempt
    ) -> None:
        """Count a failure of an endpoint if an attempt that was sent later won."""
        load = self._loads.find(loser.endpoint)
        if load is None or loser.sent_at >= winner.sent_at:
            self._ejections.probe_inconclusive(loser.endpoint)
            return
        self._counters.ejections += self._membership.failed(now, load)

    def attempt_finished(
        self, now: float, request: Request, ended: LiveAttempt, result: AttemptResult
    ) -> None:
        """Update the statistics from an attempt that finished."""
        load = self._loads.find(ended.endpoint)
        if load is None:
            return
        stats = self._times.stats_for(request.current_stage)
        if stats.has_enough_samples and not ended.stream.chunk_time_s:
            load.note_run_time(
                now, result.run_s / stats.loaded_mean_s(ended.concurrent)
            )
        stats.add(
            result.run_s, result.output_bytes, ended.concurrent, ended.cached_share
        )
        round_trip_s = now - ended.sent_at - result.run_s - result.queued_s
        if not ended.queries:
            self._router.note_round_trip(load.endpoint.region, max(0.0, round_trip_s))
        self._membership.succeeded(now, load)
        # The index keeps few holders of each block: the endpoints of the other stages,
        # which cache nothing, would displace the engine before the prefix occurs again.
        if request.arrival.prefix and request.current_stage.caches_prefixes:
            self._prefixes.add_run(now, ended.endpoint, request.arrival.prefix)
