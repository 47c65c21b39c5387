"""What the ends of attempts tell of endpoints, stages and cached prefixes."""

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
    """Learns from attempts, however they ended."""

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
        Learn from attempts that the deadline ends.

        Runs cut off by it never end here: without them a stage that takes longer than
        any deadline would look as fast as it used to be.
        """
        stats = self._times.of(request.current)
        for attempt in request.live.values():
            ran = now - attempt.sent_at - attempt.wait_s
            if ran > stats.median_s:
                stats.add(ran, int(stats.output_bytes), attempt.beside)
            self._ejections.probe_inconclusive(attempt.endpoint)

    def attempt_failed(
        self, now: float, request: Request, ended: LiveAttempt, result: AttemptResult
    ) -> None:
        """Learn from an attempt that failed, where that says something."""
        load = self._loads.find(ended.endpoint)
        # A full queue, a model not loaded or a request that fails everywhere says
        # nothing against the endpoint; to eject it would take capacity away.
        blameless = result.permanent or (
            result.outcome is AttemptOutcome.NOT_RUN
            and (
                result.retry_after_s > 0
                or result.inputs_missing
                or (load is not None and not load.accepts(request.current.model))
            )
        )
        if blameless or load is None:
            self._ejections.probe_inconclusive(ended.endpoint)
            return
        self._counters.ejections += self._membership.failed(now, load)

    def attempt_overtaken(
        self, now: float, loser: LiveAttempt, winner: LiveAttempt
    ) -> None:
        """Count a strike against an endpoint that a later attempt overtook."""
        load = self._loads.find(loser.endpoint)
        if load is None or loser.sent_at >= winner.sent_at:
            self._ejections.probe_inconclusive(loser.endpoint)
            return
        self._counters.ejections += self._membership.failed(now, load)

    def attempt_finished(
        self, now: float, request: Request, ended: LiveAttempt, result: AttemptResult
    ) -> None:
        """Learn from an attempt that finished."""
        load = self._loads.find(ended.endpoint)
        if load is None:
            return
        stats = self._times.of(request.current)
        if stats.has_enough_samples and not ended.stream.pace_s:
            load.note_run_time(now, result.run_s / stats.loaded_mean_s(ended.beside))
        stats.add(result.run_s, result.output_bytes, ended.beside, ended.cached)
        on_the_way = now - ended.sent_at - result.run_s - result.queued_s
        if not ended.asks:
            self._router.note_round_trip(load.endpoint.region, max(0.0, on_the_way))
        self._membership.succeeded(now, load)
        # An index entry names few holders: the endpoints of the other stages, which
        # cache nothing, would push the engine out before the prefix comes again.
        if request.arrival.prefix and request.current.caches_prefixes:
            self._prefixes.add_run(now, ended.endpoint, request.arrival.prefix)
