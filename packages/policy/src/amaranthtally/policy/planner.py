"""The decisions of an entry: admission, routing, retries, hedges and answers."""

from collections.abc import Sequence
from dataclasses import replace
from random import Random

from amaranthtally.policy.actions import (
    Action,
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
from amaranthtally.policy.failed_attempts import FailedAttempts
from amaranthtally.policy.fair_shares import FairShares, UsageSender
from amaranthtally.policy.first_events import FirstEventTimes
from amaranthtally.policy.groups import EndpointGroups
from amaranthtally.policy.held_requests import note_attempt_ended
from amaranthtally.policy.load_poller import LoadPoller
from amaranthtally.policy.load_view import LoadView
from amaranthtally.policy.load_view_feed import LoadViewFeed
from amaranthtally.policy.membership import Membership
from amaranthtally.policy.memory_budget import EndpointMemory, build_endpoint_memory
from amaranthtally.policy.model import AttemptId, Endpoint, PolicySettings
from amaranthtally.policy.outcome_recorder import OutcomeRecorder
from amaranthtally.policy.peer_group import PeerGroup
from amaranthtally.policy.permit_waits import PermitWaits
from amaranthtally.policy.piece_coordinator import CoordinatorEffects
from amaranthtally.policy.piece_events import PieceEvents
from amaranthtally.policy.piece_graph import StoredResult
from amaranthtally.policy.place_checks import PlaceChecks
from amaranthtally.policy.planner_components import PlannerComponents
from amaranthtally.policy.pool_sites import Peer
from amaranthtally.policy.prefixes import PrefixIndex
from amaranthtally.policy.prompt_checks import PromptChecks
from amaranthtally.policy.prompt_guard import PromptGuard
from amaranthtally.policy.refusals import Refusals
from amaranthtally.policy.request_ledger import Counters, RequestLedger
from amaranthtally.policy.requests import LiveAttempt, Request
from amaranthtally.policy.result_memory import EngineMemory
from amaranthtally.policy.sending import (
    ColdEndpoints,
    EndpointBackoffs,
    EndpointLimits,
    LeavingEndpoints,
    SendGate,
    mark_evacuated,
)
from amaranthtally.policy.stream_watch import StreamMonitor
from amaranthtally.policy.timers import Timer, Timers

__all__ = ["Planner"]

COMPONENTS = PlannerComponents()


class Planner:
    """
    Makes all decisions of one entry.

    Each event method takes the current time and returns the actions to execute.
    ``random`` samples the endpoints that a decision compares; entries need different
    seeds, so that they don't all compare the same endpoints.
    """

    def __init__(
        self,
        settings: PolicySettings,
        random: Random | None = None,
        components: PlannerComponents = COMPONENTS,
    ) -> None:
        random = random or Random(0)
        self._settings = settings
        self._registered = settings
        self._leaving = LeavingEndpoints()
        self._times = components.stage_times()
        self._loads = components.loads()
        self._ejections = components.ejections()
        self._prefixes = PrefixIndex()
        self._accounts = components.accounts()
        self._timers = Timers()
        self._coordinator = components.coordinator()
        self._endpoint_memory = build_endpoint_memory()
        self._engine_memory = EngineMemory(self._coordinator.batcher.active_pools)
        self._ledger = RequestLedger(
            self._loads, self._endpoint_memory, self._engine_memory
        )
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
        self._first_event_times = FirstEventTimes()
        self._pieces = PieceEvents(self._coordinator, self._apply_effects)
        self._inputs = components.inputs(
            random, self._coordinator, self._times, self._accounts
        )
        self._outcome_recorder = OutcomeRecorder(
            self._times,
            self._loads,
            self._ejections,
            self._membership,
            self._router,
            self._prefixes,
            self._ledger.counters,
        )
        self._peers = PeerGroup()
        self._usage = UsageSender(self._accounts, self._peers)
        self._limits = EndpointLimits(
            self._peers, self._coordinator.batcher.servers.note_rate_limit
        )
        self._cold = ColdEndpoints()
        self._backoffs = EndpointBackoffs(
            self._coordinator.batcher.servers.note_backoff
        )
        self._gate = SendGate(self._limits, self._backoffs)
        self._load_view = components.load_view(
            self._observed_slowness, _copy_of(random)
        )
        self._view_feed = LoadViewFeed(
            self._load_view, self._loads, self._coordinator.pool_reports_speed
        )
        self._coordinator.batcher.set_report_listener(self._view_feed.report_received)
        self._router.set_view(self._load_view)
        self._engine_memory.use_view(self._prompt_tokens_of_others)
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
            self._gate,
            self._endpoint_memory,
            self._engine_memory,
        )
        self._refusals = Refusals(
            self._ledger, self._times, self._loads, self._admission, self._coordinator
        )
        self._places = PlaceChecks(
            self._gate,
            self._ledger,
            self._admission,
            self._refusals,
            self._coordinator,
        )
        self._prompts = PromptGuard(
            self._peers, lambda now, part: self._prompt_checks.refuse_all(now, part)
        )
        self._prompt_checks = PromptChecks(self._prompts, self._ledger, self._refusals)
        self._permit_waits = PermitWaits(
            self._gate, self._dispatcher, self._ledger, self._refusals
        )
        self._failures = FailedAttempts(
            self._ledger,
            self._loads,
            self._dispatcher,
            self._outcome_recorder,
            self._refusals,
            self._prompt_checks,
            self._gate,
            self._recompute_inputs,
        )
        settings = self._without_closed(settings)
        self._configure(0.0, settings)
        self._gate.configure(settings)

    @property
    def pieces(self) -> PieceEvents:
        """The events of pieces and of the other entries, which run some of them."""
        return self._pieces

    @property
    def limits(self) -> EndpointLimits:
        """The rate limits of endpoints, and the permits that entries share."""
        return self._limits

    @property
    def backoffs(self) -> EndpointBackoffs:
        """The endpoints that have asked this entry to back off."""
        return self._backoffs

    @property
    def prompts(self) -> PromptGuard:
        """The parts of prompts that are kept away from endpoints."""
        return self._prompts

    @property
    def load_view(self) -> LoadView:
        """What this entry and the others know together of the endpoints' loads."""
        return self._load_view

    @property
    def shares(self) -> FairShares:
        """The client accounts' shares of engine time and stage time."""
        return self._accounts

    @property
    def usage(self) -> UsageSender:
        """Reports the work of client accounts to the other entries."""
        return self._usage

    @property
    def endpoint_memory(self) -> EndpointMemory:
        """What endpoints hold for this entry, and the learned bounds."""
        return self._endpoint_memory

    @property
    def in_flight(self) -> int:
        """Number of requests that were admitted and have not ended."""
        return len(self._ledger)

    @property
    def counters(self) -> Counters:
        """Totals since the start."""
        return self._ledger.counters

    def inputs_of(self, request_id: str) -> tuple[StoredResult, ...]:
        """Return the stored results that a request has yet to read."""
        request = self._ledger.find(request_id)
        return () if request is None else request.inputs

    # Events

    def request_arrived(self, now: float, arrival: Arrival) -> list[Action]:
        """Admit a request and start it, or refuse it."""
        blocked = self._prompt_checks.refusal(now, arrival)
        if blocked is not None:
            self.counters.refused_on_arrival += 1
            return [blocked]
        regions = self._gate.regions_of(arrival)
        unplaced = self._places.refusal(arrival, regions)
        if unplaced is not None:
            self.counters.refused_on_arrival += 1
            return [unplaced]
        for stage in arrival.pipeline.stages:
            self._membership.prepare(now, stage)
        if self._settings.fair_shares:
            arrival = self._accounts.prioritized(now, arrival)
        decision = self._admission.decide(now, arrival)
        if decision.reason is None and arrival.piece_work is not None:
            decision = self._inputs.decide(now, arrival, arrival.piece_work, regions)
        if decision.reason is not None:
            self.counters.refused_on_arrival += 1
            return [
                Refuse(
                    arrival.request_id,
                    RequestOutcome.NOT_RUN,
                    decision.reason,
                    decision.retry_after_s,
                )
            ]
        request = self._ledger.open(arrival)
        request.regions = regions
        self._prompt_checks.request_opened(request)
        self._timers.set(arrival.deadline, request.id)
        if arrival.piece_work is not None:
            return self._compute_inputs(now, request, arrival.piece_work)
        return self._start_stage(now, request)

    def reply(
        self, now: float, attempt: AttemptId, result: AttemptResult
    ) -> list[Action]:
        """Handle the end of an attempt; ignored if the attempt is no longer live."""
        request = self._ledger.find(attempt.request_id)
        if request is None or attempt not in request.live:
            return []
        ended = self._ledger.remove_attempt(request, attempt)
        note_attempt_ended(self._endpoint_memory, now, ended, result)
        noted = self._prompt_checks.attempt_ended(now, request, ended, result)
        return [*noted, *self._attempt_ended(now, request, attempt, ended, result)]

    def _attempt_ended(
        self,
        now: float,
        request: Request,
        attempt: AttemptId,
        ended: LiveAttempt,
        result: AttemptResult,
    ) -> list[Action]:
        if result.outcome is AttemptOutcome.FINISHED:
            return self._attempt_finished(now, request, ended, result)
        if (
            result.outcome is AttemptOutcome.LOST
            and not request.current_stage.repeatable
        ):
            return self._failures.query_outcome(now, request, attempt, ended)
        return self._failures.attempt_failed(now, request, ended, result)

    def progress(self, now: float, attempt: AttemptId, chunks: int) -> list[Action]:
        """Handle chunks of a streamed stage; the caller now has ``chunks`` of them."""
        request = self._ledger.find(attempt.request_id)
        if request is not None and attempt in request.live:
            request.chunks = max(request.chunks, chunks)
            live = request.live[attempt]
            if request.version is None:
                request.version = live.version
            if live.prediction is not None and not live.stream.last_chunk_at:
                self._dispatcher.note_first_event(now, request, live)
            if live.pending_prefill_tokens:
                name = request.arrival.pipeline.name
                self._first_event_times.add(name, now - live.sent_at)
                # The prefix is cached as soon as it has been processed. If it were
                # recorded only at the end of the stream, the next request of the
                # session, which may arrive before that, would be sent elsewhere.
                self._prefixes.add_run(now, live.endpoint, request.arrival.prefix)
            self._ledger.mark_prefill_done(live)
            self._streams.add_chunks(
                now, request.current_stage, live.endpoint, live.stream, chunks
            )
            freed = self._inputs.free(now, request)
            return freed + self._failures.cancel_overtaken(now, request, live)
        return []

    def load_report(
        self, now: float, endpoint: str, report: LoadReport
    ) -> list[Action]:
        """Handle a load report, which came with a reply or was polled."""
        self._membership.apply_report(now, endpoint, report)
        self._view_feed.report_received(now, endpoint, report)
        return []

    def cache_event(self, now: float, endpoint: str, event: CacheEvent) -> list[Action]:
        """Handle an engine's prefix-cache event; events may be late or missing."""
        self._prefixes.apply_event(now, endpoint, event)
        return []

    def endpoint_leaving(self, now: float, endpoint: str) -> list[Action]:
        """Send no new work to an endpoint."""
        self._membership.mark_leaving(now, endpoint)
        return []

    def endpoint_closes_connections(self, now: float, endpoint: str) -> list[Action]:
        """Handle that an endpoint refuses connections, or closes each at once."""
        self._endpoint_memory.endpoint_closed(now, endpoint)
        return self._prompt_checks.endpoint_closes_connections(now, endpoint)

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Whether this start of an endpoint has said that it leaves."""
        return endpoint in self._leaving

    def leaving_announced(self, now: float, endpoint: Endpoint) -> list[Action]:
        """
        Handle a response in which an endpoint says that it leaves.

        ``endpoint`` is the start that was asked. Its record may be missing just now or
        say so already, and yet be read again from a store that is behind.
        """
        self._leaving.add(endpoint)
        return self.settings_changed(now, self._registered)

    def endpoint_restored(self, now: float, endpoint: str) -> list[Action]:
        """Use an endpoint again that had been marked as leaving."""
        self._membership.mark_restored(now, endpoint)
        return []

    def settings_changed(self, now: float, settings: PolicySettings) -> list[Action]:
        """Apply new settings; requests in flight keep their pipeline."""
        self._registered = settings
        settings = self._without_closed(settings)
        self._configure(now, settings)
        self._endpoint_memory.endpoints_changed(now, settings.endpoints)
        ended = self._prompt_checks.endpoints_changed(now, settings.endpoints)
        if self._gate.configure(settings):
            return [*ended, *self._places.places_changed(now)]
        return ended

    def caller_disconnected(self, now: float, request_id: str) -> list[Action]:
        """Cancel a request whose caller has closed the connection."""
        request = self._ledger.find(request_id)
        if request is None:
            return []
        return [
            *self._ledger.close_disconnected(request),
            *self._coordinator.close(now, request_id),
        ]

    def request_withdrawn(
        self, now: float, request_id: str, reason: RefusalReason
    ) -> list[Action]:
        """Refuse a request that this process cannot go on with."""
        request = self._ledger.find(request_id)
        if request is None:
            return []
        freed = self._coordinator.close(now, request_id)
        return [*freed, *self._ledger.close_refused(request, reason, 0.0)]

    def tick(self, now: float) -> list[Action]:
        """
        Perform work that is due by time.

        Refuses requests whose deadline has passed, hedges slow attempts, polls loads,
        and sends batches of pieces that have waited long enough.
        """
        self._accounts.refresh(now)
        actions = self._membership.due_polls(now)
        actions.extend(self._load_poller.due_polls(now))
        actions.extend(self._inputs.free_fetched(now, self._ledger))
        actions.extend(self._apply_effects(now, self._coordinator.tick(now)))
        if now >= self._cold.next_end:
            self._limits.set_cold_rates(now, self._cold.rates(now))
        actions.extend(self._limits.tick(now))
        actions.extend(self._usage.tick(now))
        actions.extend(self._permit_waits.tick(now))
        actions.extend(self._prompts.tick(now))
        actions.extend(self._view_feed.tick(now))
        while (timer := self._timers.due(now)) is not None:
            actions.extend(self._timer_fired(now, timer))
        return actions

    # Other entries

    def replace_peers(self, now: float, peers: Sequence[Peer]) -> list[Action]:
        """Replace the set of other live entries."""
        self._coordinator.replace_peers(peers)
        if not self._peers.replace(now, peers):
            return []
        self._view_feed.peers_changed(now, peers)
        self._router.set_entry_count(self._peers.size)
        return [*self._limits.peers_changed(), *self._prompts.peers_changed(now)]

    def leave(self, now: float) -> list[Action]:
        """Take on no work of other entries, because this entry is leaving."""
        self._peers.leave()
        return self._apply_effects(now, self._coordinator.leave(now))

    # Pieces

    def _compute_inputs(
        self, now: float, request: Request, work: PieceWork
    ) -> list[Action]:
        request.awaits_inputs = True
        arrival = request.arrival
        effects = self._coordinator.begin(
            now,
            request.id,
            work.stages,
            work.counts,
            work.key,
            arrival.objective or arrival.deadline,
            self._inputs.pieces_deadline(arrival),
            arrival.priority,
            self._router.predicted_data_centre(
                now, arrival, self._gate.closed(now, request.regions)
            ),
            self._first_event_times.mean_s(arrival.pipeline.name),
            request.regions,
        )
        return self._apply_effects(now, effects)

    def _recompute_inputs(
        self, now: float, request: Request, retry_cost: float
    ) -> list[Action]:
        """Compute a request's missing inputs again, then send it again."""
        request.awaits_inputs = True
        request.retry_cost = retry_cost
        request.inputs = ()
        return self._apply_effects(
            now,
            self._coordinator.recompute_inputs(
                now, request.id, has_begun=request.chunks > 0
            ),
        )

    def _apply_effects(self, now: float, effects: CoordinatorEffects) -> list[Action]:
        actions = effects.actions
        for request_id in effects.failed:
            request = self._ledger.find(request_id)
            if request is not None:
                actions += self._refusals.refuse(
                    now, request, RefusalReason.STAGE_FAILED
                )
        for request_id in effects.late:
            request = self._ledger.find(request_id)
            if request is not None:
                wait_s = self._inputs.retry_after_s(now, request.arrival)
                actions += self._refusals.refuse(
                    now, request, RefusalReason.OVERLOAD, wait_s
                )
        for request_id in effects.ready:
            request = self._ledger.find(request_id)
            if request is not None and request.awaits_inputs:
                actions += self._inputs_ready(now, request)
        return actions

    def _inputs_ready(self, now: float, request: Request) -> list[Action]:
        request.awaits_inputs = False
        request.inputs = self._coordinator.inputs_of(request.id)
        self._inputs.note_sent(now, request)
        if not request.stage_attempts:
            return self._start_stage(now, request)
        if self._prompt_checks.is_blocked(request, is_retry=True):
            return self._prompt_checks.refuse(now, request)
        actions = self._dispatcher.retry(now, request, request.retry_cost)
        return actions or self._refusals.refuse(
            now, request, RefusalReason.STAGE_FAILED
        )

    # Stages

    def _start_stage(self, now: float, request: Request) -> list[Action]:
        if self._refusals.should_refuse_late(now, request):
            return self._refusals.refuse_late(now, request)
        if self._prompt_checks.is_blocked(request):
            return self._prompt_checks.refuse(now, request)
        actions = self._dispatcher.send_first(now, request)
        return actions or self._permit_waits.add(now, request)

    def _attempt_finished(
        self, now: float, request: Request, ended: LiveAttempt, result: AttemptResult
    ) -> list[Action]:
        self._outcome_recorder.attempt_finished(now, request, ended, result)
        self._dispatcher.note_answer(now, request, ended)
        request.previous_bytes = result.output_bytes
        losers = list(request.live.values())
        actions = self._ledger.cancel_all(request)
        for loser in losers:
            self._outcome_recorder.attempt_overtaken(now, loser, ended)
        if not self._ledger.advance_stage(request):
            freed = self._coordinator.close(now, request.id)
            return [*actions, *freed, self._ledger.close_answered(request)]
        return actions + self._start_stage(now, request)

    # Timers

    def _timer_fired(self, now: float, timer: Timer) -> list[Action]:
        request = self._ledger.find(timer.request_id)
        if request is None:
            return []
        if timer.attempt is None:
            return self._deadline_passed(now, request)
        if timer.attempt not in request.live:
            return []
        return self._dispatcher.hedge(now, request, timer.attempt)

    def _deadline_passed(self, now: float, request: Request) -> list[Action]:
        self._outcome_recorder.deadline_passed(now, request)
        return self._refusals.refuse(now, request, RefusalReason.DEADLINE)

    def _observed_slowness(self, now: float, endpoint: str) -> float:
        load = self._loads.find(endpoint)
        return 1.0 if load is None else load.slowness(now)

    def _prompt_tokens_of_others(self, now: float, endpoint: str) -> float:
        """Return the tokens that other entries' prompts are known to add there."""
        figures = self._load_view.find(now, endpoint)
        return figures.weight * figures.prefill_tokens if figures is not None else 0.0

    def _without_closed(self, settings: PolicySettings) -> PolicySettings:
        """Return settings in which evacuated and leaving endpoints take no calls."""
        endpoints = mark_evacuated(settings.endpoints, settings.evacuated)
        endpoints = self._leaving.apply(endpoints)
        if endpoints is settings.endpoints:
            return settings
        return replace(settings, endpoints=endpoints)

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
        self._engine_memory.configure(settings.endpoints, settings.pools)
        self._dispatcher.configure(settings)
        self._failures.configure(settings.not_run_cost)
        self._peers.set_name(settings.entry)
        self._view_feed.configure(settings)
        self._limits.configure(settings.endpoints)
        self._cold.configure(now, settings.endpoints, settings.pools)
        self._limits.set_cold_rates(now, self._cold.rates(now))
        self._backoffs.configure(settings.endpoints)
        self._accounts.configure(
            settings.accounts, settings.entries, settings.fair_shares
        )
        self._admission.configure(settings.admission_headroom)
        self._router.configure(
            settings.region,
            settings.region_latency_s,
            settings.traffic_price_per_gb,
            settings.data_centre,
        )


def _copy_of(random: Random) -> Random:
    """Return a generator in the same state; draws from it leave the other as it is."""
    copy = Random()
    copy.setstate(random.getstate())
    return copy
