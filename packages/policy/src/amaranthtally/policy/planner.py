"""Decisions of an entry: admission, routing, retries, hedges, answers."""

from collections.abc import Iterable
from random import Random

from amaranthtally.policy.actions import (
    Action,
    Cancel,
    QueryAttempt,
    RefusalReason,
    Refuse,
    RequestOutcome,
)
from amaranthtally.policy.dispatch import Dispatcher
from amaranthtally.policy.events import (
    Arrival,
    AttemptOutcome,
    AttemptResult,
    CacheEvent,
    LoadReport,
    PieceWork,
)
from amaranthtally.policy.first_event_times import FirstEventTimes
from amaranthtally.policy.groups import EndpointGroups
from amaranthtally.policy.load_poller import LoadPoller
from amaranthtally.policy.membership import Membership
from amaranthtally.policy.model import AttemptId, PolicySettings
from amaranthtally.policy.outcome_recorder import OutcomeRecorder
from amaranthtally.policy.piece_coordinator import CoordinatorEffects
from amaranthtally.policy.piece_graph import StoredResult
from amaranthtally.policy.piece_messages import PieceJob, PieceReport, PiecesEnded
from amaranthtally.policy.planner_components import PlannerComponents
from amaranthtally.policy.pool_sites import Peer
from amaranthtally.policy.prefixes import PrefixIndex
from amaranthtally.policy.request_ledger import Counters, RequestLedger
from amaranthtally.policy.requests import LiveAttempt, Request
from amaranthtally.policy.stream_monitor import StreamMonitor
from amaranthtally.policy.timers import Timer, Timers

__all__ = ["Planner"]

# How often a request is sent again at most after attempts that failed or did not start:
# more than the endpoints of a small pool, so that a rolling restart costs nobody.
MAX_RESENDS = 4
# How often an endpoint is asked what became of a call; its connection may be reset.
MAX_ASKS = 3
# What a second attempt costs the budget of retries, in attempts.
FAILURE_COST = 1.0
COMPONENTS = PlannerComponents()


class Planner:
    """
    One entry's decisions. Each method takes the time and returns actions.

    ``random`` draws the candidates that a decision looks at; entries need
    different seeds, or they would all look at the same ones.
    """

    def __init__(
        self,
        settings: PolicySettings,
        random: Random | None = None,
        components: PlannerComponents = COMPONENTS,
    ) -> None:
        random = random or Random(0)
        self._settings = settings
        self._times = components.stage_times()
        self._loads = components.loads()
        self._ejections = components.ejections()
        self._prefixes = PrefixIndex()
        self._accounts = components.accounts()
        self._timers = Timers()
        self._ledger = RequestLedger(self._loads)
        groups = EndpointGroups(random)
        self._membership = Membership(
            groups, self._loads, self._ejections, self._prefixes
        )
        self._router = components.router(
            random, groups, self._loads, self._ejections, self._prefixes
        )
        self._load_poller = LoadPoller(self._router, self._loads)
        self._admission = components.admission(
            random, self._times, self._loads, self._accounts
        )
        self._streams = StreamMonitor(self._times, self._loads)
        self._coordinator = components.coordinator()
        self._first_events = FirstEventTimes()
        self._inputs = components.inputs(random, self._coordinator, self._times)
        self._outcome_recorder = OutcomeRecorder(
            self._times,
            self._loads,
            self._ejections,
            self._membership,
            self._router,
            self._prefixes,
            self._ledger.counters,
        )
        self._dispatcher = Dispatcher(
            settings,
            self._times,
            groups,
            self._loads,
            self._ejections,
            self._router,
            self._ledger,
            self._timers,
            self._streams,
        )
        self._configure(0.0, settings)

    @property
    def in_flight(self) -> int:
        """Requests admitted and not yet ended."""
        return len(self._ledger)

    @property
    def has_pieces(self) -> bool:
        """Whether pieces are to be made, of whichever entry's requests."""
        return self._coordinator.batcher.is_busy

    @property
    def pieces_waiting(self) -> int:
        """Pieces that wait for a call here, of whichever entry's requests."""
        return self._coordinator.batcher.queued_count

    @property
    def counters(self) -> Counters:
        """Totals since the start."""
        return self._ledger.counters

    def inputs_of(self, request_id: str) -> tuple[StoredResult, ...]:
        """Return the results that a request in flight reads; none once it runs."""
        request = self._ledger.find(request_id)
        return () if request is None else request.inputs

    # Events

    def request_arrived(self, now: float, arrival: Arrival) -> list[Action]:
        """Admit and send the first stage, or refuse."""
        for stage in arrival.pipeline.stages:
            self._membership.prepare(now, stage)
        verdict = self._admission.decide(now, arrival)
        if verdict.reason is None and arrival.piece_work is not None:
            verdict = self._inputs.decide(now, arrival, arrival.piece_work)
        if verdict.reason is not None:
            self.counters.refused_on_arrival += 1
            return [
                Refuse(
                    arrival.request_id,
                    RequestOutcome.NOT_RUN,
                    verdict.reason,
                    verdict.retry_after_s,
                )
            ]
        request = self._ledger.open(arrival)
        self._timers.set(arrival.deadline, request.id)
        if arrival.piece_work is not None:
            return self._gather(now, request, arrival.piece_work)
        return self._start_stage(now, request)

    def pieces_ended(self, now: float, call: int, end: PiecesEnded) -> list[Action]:
        """Take the end of a call with pieces."""
        return self._follow(now, self._coordinator.call_ended(now, call, end))

    def jobs_submitted(
        self, now: float, asker: str, asks: Iterable[PieceJob]
    ) -> list[Action]:
        """Take pieces that another entry wants made."""
        return self._follow(now, self._coordinator.accept_jobs(now, asker, asks))

    def reports_received(self, now: float, told: Iterable[PieceReport]) -> list[Action]:
        """Hear from another entry what became of pieces."""
        return self._follow(now, self._coordinator.take_reports(now, told))

    def results_freed(
        self, now: float, results: Iterable[StoredResult], ended: str = ""
    ) -> list[Action]:
        """Take another entry's word that results are read no more, or a request."""
        return self._coordinator.free_for_peer(now, results, ended)

    def peers_changed(self, now: float, peers: Iterable[Peer]) -> list[Action]:
        """Use these live entries beside this one."""
        self._coordinator.replace_peers(peers)
        return []

    @property
    def awaited_peers(self) -> frozenset[str]:
        """The entries that make pieces for requests of this one now."""
        return self._coordinator.awaited_peers

    def unavailable_peers(self, now: float) -> frozenset[str]:
        """Return the live entries that are asked for nothing, as they failed."""
        return self._coordinator.unavailable_peers(now)

    def entry_leaving(self, now: float) -> list[Action]:
        """Make no more pieces for others, as this entry leaves."""
        return self._follow(now, self._coordinator.leave(now))

    def peer_failed(self, now: float, peer: str) -> list[Action]:
        """Ask an entry that did not answer for nothing for a while."""
        return self._follow(now, self._coordinator.peer_failed(now, peer))

    def peer_recovered(self, now: float, peer: str) -> list[Action]:
        """Ask an entry again that answers and takes part."""
        self._coordinator.peer_recovered(peer)
        return []

    def reply(
        self, now: float, attempt: AttemptId, result: AttemptResult
    ) -> list[Action]:
        """Take the end of an attempt; one that is no longer awaited is dropped."""
        request = self._ledger.find(attempt.request_id)
        if request is None or attempt not in request.live:
            return []
        ended = self._ledger.ended(request, attempt)
        if result.outcome is AttemptOutcome.FINISHED:
            return self._finished(now, request, ended, result)
        if result.outcome is AttemptOutcome.LOST and not request.current.repeatable:
            return self._ask(now, request, attempt, ended)
        return self._recover(now, request, ended, result)

    def progress(self, now: float, attempt: AttemptId, chunks: int) -> list[Action]:
        """Note that the caller has ``chunks`` chunks of a streamed stage."""
        request = self._ledger.find(attempt.request_id)
        if request is not None and attempt in request.live:
            request.chunks = max(request.chunks, chunks)
            live = request.live[attempt]
            if live.reading:
                name = request.arrival.pipeline.name
                self._first_events.note(name, now - live.sent_at)
                # Known as soon as it is read: the next request of a session comes
                # before this one's stream has ended, and would be read elsewhere.
                self._prefixes.add_run(now, live.endpoint, request.arrival.prefix)
            self._ledger.has_read(live)
            self._streams.note(now, request.current, live.endpoint, live.stream, chunks)
            freed = self._inputs.free(now, request)
            return freed + self._drop_overtaken(now, request, live)
        return []

    def load_report(
        self, now: float, endpoint: str, report: LoadReport
    ) -> list[Action]:
        """Take an endpoint's load, from a reply or a greeting."""
        self._membership.apply_report(now, endpoint, report)
        return []

    def cache_event(self, now: float, endpoint: str, event: CacheEvent) -> list[Action]:
        """Take an engine's word of its prefix cache, late or after a gap."""
        self._prefixes.apply_event(now, endpoint, event)
        return []

    def endpoint_leaving(self, now: float, endpoint: str) -> list[Action]:
        """Send nothing new to an endpoint."""
        self._membership.mark_leaving(now, endpoint)
        return []

    def endpoint_restored(self, now: float, endpoint: str) -> list[Action]:
        """Use an endpoint again that was thought to leave."""
        self._membership.mark_restored(now, endpoint)
        return []

    def settings_changed(self, now: float, settings: PolicySettings) -> list[Action]:
        """Use newer settings for what comes; live requests keep their pipeline."""
        self._configure(now, settings)
        return []

    def caller_disconnected(self, now: float, request_id: str) -> list[Action]:
        """Cancel and forget a request whose caller has closed the connection."""
        request = self._ledger.find(request_id)
        if request is None:
            return []
        return [*self._ledger.gone(request), *self._coordinator.close(now, request_id)]

    def tick(self, now: float) -> list[Action]:
        """End the requests whose deadline has passed; look at slow attempts."""
        self._accounts.refresh(now)
        actions = self._membership.due_polls(now)
        actions.extend(self._load_poller.due_polls(now))
        actions.extend(self._inputs.free_fetched(now, self._ledger))
        actions.extend(self._follow(now, self._coordinator.tick(now)))
        while (timer := self._timers.due(now)) is not None:
            actions.extend(self._look(now, timer))
        return actions

    # Pieces

    def _gather(self, now: float, request: Request, work: PieceWork) -> list[Action]:
        request.gathering = True
        arrival = request.arrival
        news = self._coordinator.begin(
            now,
            request.id,
            work.stages,
            work.counts,
            work.key,
            arrival.objective or arrival.deadline,
            self._inputs.pieces_deadline(arrival),
            arrival.priority,
            self._router.predicted_data_centre(now, arrival),
            self._first_events.usual_s(arrival.pipeline.name),
        )
        return self._follow(now, news)

    def _gather_again(
        self, now: float, request: Request, retry_cost: float
    ) -> list[Action]:
        """Make a request's inputs once more, then send it again."""
        request.gathering = True
        request.retry_cost = retry_cost
        request.inputs = ()
        return self._follow(now, self._coordinator.recompute_inputs(now, request.id))

    def _follow(self, now: float, news: CoordinatorEffects) -> list[Action]:
        actions = news.actions
        for request_id in news.failed:
            request = self._ledger.find(request_id)
            if request is not None:
                actions += self._refuse(now, request, RefusalReason.STAGE_FAILED)
        for request_id in news.late:
            request = self._ledger.find(request_id)
            if request is not None:
                wait_s = self._inputs.retry_after_s(now, request.arrival)
                actions += self._refuse(now, request, RefusalReason.OVERLOAD, wait_s)
        for request_id in news.ready:
            request = self._ledger.find(request_id)
            if request is not None and request.gathering:
                actions += self._gathered(now, request)
        return actions

    def _gathered(self, now: float, request: Request) -> list[Action]:
        request.gathering = False
        request.inputs = self._coordinator.inputs_of(request.id)
        self._inputs.note_sent(now, request)
        if not request.number:
            return self._start_stage(now, request)
        actions = self._dispatcher.retry(now, request, request.retry_cost)
        return actions or self._refuse(now, request, RefusalReason.STAGE_FAILED)

    # Stages

    def _start_stage(self, now: float, request: Request) -> list[Action]:
        if self._is_hopeless(now, request):
            return self._refuse_late(now, request)
        actions = self._dispatcher.first(now, request)
        return actions or self._refuse(now, request, RefusalReason.NO_ENDPOINT)

    def _finished(
        self, now: float, request: Request, ended: LiveAttempt, result: AttemptResult
    ) -> list[Action]:
        self._outcome_recorder.attempt_finished(now, request, ended, result)
        request.previous_bytes = result.output_bytes
        losers = list(request.live.values())
        actions = self._ledger.cancel_all(request)
        for loser in losers:
            self._outcome_recorder.attempt_overtaken(now, loser, ended)
        if not self._ledger.stage_done(request):
            freed = self._coordinator.close(now, request.id)
            return [*actions, *freed, self._ledger.answered(request)]
        return actions + self._start_stage(now, request)

    def _is_hopeless(self, now: float, request: Request) -> bool:
        if not self._has_too_little_left(now, request):
            return False
        # What was learned may be over: with nothing at the slowest stage, one
        # request goes on, or none would ever show that the stage is well again.
        slowest = self._times.slowest(request.remaining)
        return self._loads.pool(slowest.pool).outstanding > 0

    def _has_too_little_left(self, now: float, request: Request) -> bool:
        floor = self._times.floor_s(request.remaining)
        return now + floor > request.arrival.deadline

    # Failures

    def _ask(
        self, now: float, request: Request, attempt: AttemptId, lost: LiveAttempt
    ) -> list[Action]:
        load = self._loads.find(lost.endpoint)
        if lost.asks >= MAX_ASKS or load is None:
            return self._refuse(now, request, RefusalReason.STAGE_FAILED)
        self._ledger.asked(request, attempt, lost)
        return [QueryAttempt(attempt, lost.endpoint)]

    def _recover(
        self, now: float, request: Request, ended: LiveAttempt, result: AttemptResult
    ) -> list[Action]:
        not_run = result.outcome is AttemptOutcome.NOT_RUN
        request.unstarted += not_run
        request.stage_unstarted += not_run
        self._outcome_recorder.attempt_failed(now, request, ended, result)
        if request.live:
            return []
        if not result.inputs_missing:
            request.avoid |= {ended.endpoint}
        reason = RefusalReason.OVERLOAD if not_run else RefusalReason.STAGE_FAILED
        may_resend = (request.current.repeatable or not_run) and request.may_run_again
        if result.permanent or not may_resend or request.resends >= MAX_RESENDS:
            return self._refuse(now, request, reason, result.retry_after_s)
        if self._has_too_little_left(now, request):
            return self._refuse_late(now, request, result.retry_after_s)
        cost = self._retry_cost(request, ended, not_run)
        if request.arrival.piece_work is not None and (
            result.inputs_missing or not request.inputs
        ):
            return self._gather_again(now, request, cost)
        actions = self._dispatcher.retry(now, request, cost)
        return actions or self._refuse(now, request, reason, result.retry_after_s)

    def _retry_cost(self, request: Request, ended: LiveAttempt, not_run: bool) -> float:
        """
        Return what another attempt costs the budget.

        A refusal by one that leaves or lacks the model is free: no second call, so
        there are no more of them than endpoints, and a rolling restart would
        otherwise use up the tries of a request that one endpoint could take.
        """
        load = self._loads.find(ended.endpoint)
        if not_run and load is not None and not load.accepts(request.current.model):
            return 0.0
        return self._settings.not_run_cost if not_run else FAILURE_COST

    def _drop_overtaken(
        self, now: float, request: Request, ahead: LiveAttempt
    ) -> list[Action]:
        """Cancel attempts that a later one of the same stream has passed."""
        passed = [
            attempt
            for attempt, live in request.live.items()
            if live.sent_at < ahead.sent_at and live.stream.chunks < ahead.stream.chunks
        ]
        actions: list[Action] = []
        for attempt in passed:
            loser = self._ledger.ended(request, attempt)
            self._outcome_recorder.attempt_overtaken(now, loser, ahead)
            actions.append(Cancel(attempt, loser.endpoint))
        return actions

    def _refuse_late(
        self, now: float, request: Request, retry_after_s: float = 0.0
    ) -> list[Action]:
        """Refuse before its deadline what can't be answered by it."""
        # Where no attempt ran, its caller is told when to come back.
        reason = (
            RefusalReason.OVERLOAD
            if request.nothing_started
            else RefusalReason.DEADLINE
        )
        return self._refuse(now, request, reason, retry_after_s)

    def _refuse(
        self,
        now: float,
        request: Request,
        reason: RefusalReason,
        retry_after_s: float = 0.0,
    ) -> list[Action]:
        backlog = self._admission.retry_after_s(now, request.remaining)
        freed = self._coordinator.close(now, request.id)
        wait_s = max(retry_after_s, backlog)
        return [*freed, *self._ledger.refused(request, reason, wait_s)]

    # Timers

    def _look(self, now: float, timer: Timer) -> list[Action]:
        request = self._ledger.find(timer.request_id)
        if request is None:
            return []
        if timer.attempt is None:
            return self._too_late(now, request)
        if timer.attempt not in request.live:
            return []
        return self._dispatcher.hedge(now, request, timer.attempt)

    def _too_late(self, now: float, request: Request) -> list[Action]:
        self._outcome_recorder.deadline_passed(now, request)
        return self._refuse(now, request, RefusalReason.DEADLINE)

    def _configure(self, now: float, settings: PolicySettings) -> None:
        self._settings = settings
        self._membership.replace(now, settings)
        self._coordinator.configure(
            settings.entry,
            settings.region,
            settings.data_centre,
            settings.endpoints,
            settings.pools,
        )
        self._dispatcher.configure(settings)
        self._accounts.configure(settings.accounts, settings.entries)
        self._admission.configure(settings.admission_headroom)
        self._router.configure(
            settings.region,
            settings.region_latency_s,
            settings.traffic_price_per_gb,
        )
