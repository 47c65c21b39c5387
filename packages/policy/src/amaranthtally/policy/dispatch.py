"""Sends the attempts of requests: first attempts, retries, hedges and probes."""

from math import inf

from amaranthtally.policy.actions import Action, Send
from amaranthtally.policy.budgets import RatioBudget
from amaranthtally.policy.ejection import Ejections
from amaranthtally.policy.engine_choice import StalledAttempts
from amaranthtally.policy.groups import EndpointGroups
from amaranthtally.policy.loads import LoadTable
from amaranthtally.policy.memory_budget import EndpointMemory
from amaranthtally.policy.model import AttemptId, Endpoint, PolicySettings, Stage
from amaranthtally.policy.request_ledger import RequestLedger
from amaranthtally.policy.requests import LiveAttempt, Request
from amaranthtally.policy.result_memory import EngineMemory
from amaranthtally.policy.routing import NO_ENDPOINTS, Router
from amaranthtally.policy.scoring import Choice, RouteRequest
from amaranthtally.policy.sending import Obstacle, SendGate
from amaranthtally.policy.stage_times import StageStats, StageTimes
from amaranthtally.policy.stream_watch import STUCK_FACTOR, StreamMonitor
from amaranthtally.policy.streams import StreamProgress
from amaranthtally.policy.timers import Timers

__all__ = ["Dispatcher"]

# Weight of a hedge's price against the probability of being late that it removes.
HEDGE_COST = 0.1
# Probability assumed for an attempt beyond the 99th percentile of run times to be late,
# since its endpoint may have become slow.
SLOW_ENDPOINT_PROBABILITY = 0.5
# That probability is used when less time is left than this many 90th percentiles of run
# times: a hedge sent later would itself end late.
LAST_HEDGE_RUNS = 2.0
# A request probes an ejected endpoint only if it has this many times the time it needs.
PROBE_SLACK = 3.0
# Maximum age of a load report for a probe with a stage that must not be repeated.
RECENT_REPORT_S = 5.0
# A slow attempt is checked again after this share of the time since it was sent, but
# not before ``MIN_RECHECK_S``.
RECHECK_SHARE = 0.5
MIN_RECHECK_S = 0.02
# What keeps a request from an endpoint also if no other one may run it.
NEVER_SENT = frozenset({Obstacle.NOT_AT_HOME, Obstacle.EVACUATED})
# A stream is first checked when this many chunks should have come.
CHUNKS_BEFORE_CHECK = 3.0


class _PoolBudgets:
    """Budgets by pool, so that failures in one pool don't use up those of another."""

    __slots__ = ("hedges", "retries")

    def __init__(self, settings: PolicySettings) -> None:
        self.retries = RatioBudget(settings.retry_budget, settings.retry_reserve)
        self.hedges = RatioBudget(settings.hedge_budget, settings.hedge_reserve)

    def configure(self, settings: PolicySettings) -> None:
        self.retries.configure(settings.retry_budget, settings.retry_reserve)
        self.hedges.configure(settings.hedge_budget, settings.hedge_reserve)


class Dispatcher:
    """Chooses endpoints for attempts, within the budgets of retries and hedges."""

    def __init__(
        self,
        settings: PolicySettings,
        times: StageTimes,
        groups: EndpointGroups,
        loads: LoadTable,
        ejections: Ejections,
        router: Router,
        ledger: RequestLedger,
        timers: Timers,
        streams: StreamMonitor,
        gate: SendGate,
        memory: EndpointMemory,
        engine_memory: EngineMemory,
    ) -> None:
        self._settings = settings
        self._times = times
        self._groups = groups
        self._loads = loads
        self._ejections = ejections
        self._router = router
        self._ledger = ledger
        self._timers = timers
        self._streams = streams
        self._gate = gate
        self._memory = memory
        self._engine_memory = engine_memory
        self._budgets: dict[str, _PoolBudgets] = {}
        self._stalls = StalledAttempts()

    def configure(self, settings: PolicySettings) -> None:
        """Apply new settings."""
        self._settings = settings
        for budgets in self._budgets.values():
            budgets.configure(settings)

    def send_first(self, now: float, request: Request) -> list[Action]:
        """Send a stage's first attempt; nothing if no endpoint is available."""
        budgets = self._budgets_of(request.current_stage)
        budgets.retries.earn()
        budgets.hedges.earn()
        return self.send_waiting(now, request)

    def is_memory_full(self, now: float, request: Request) -> bool:
        """Whether some endpoints lack only memory for a request."""
        return bool(self.full(now, request))

    def send_waiting(self, now: float, request: Request) -> list[Action]:
        """Send the first attempt of a stage that has waited for a permit."""
        endpoint = None if request.bound_to else self._choose_probe(now, request)
        if endpoint is not None:
            return self._send_probe(now, request, endpoint)
        return self._route(now, request, frozenset())

    def retry(self, now: float, request: Request, cost: float) -> list[Action]:
        """
        Send a stage again, preferably to an endpoint at which it has not failed.

        Returns nothing if the budget is exhausted or no endpoint is available.
        """
        if cost > 0:
            if not self._budgets_of(request.current_stage).retries.take(cost):
                return []
            request.resends += 1
        actions = self._route(now, request, request.excluded)
        if not actions and request.current_stage.repeatable:
            actions = self._route(now, request, frozenset())
        self._ledger.counters.retries += bool(actions)
        return actions

    def full(self, now: float, request: Request) -> frozenset[str]:
        """Return the endpoints whose memory has no room for a request."""
        pool = request.current_stage.pool
        full = NO_ENDPOINTS
        if self._memory.covers(pool):
            full = self._memory.full(now, pool, request.sent_bytes)
        if self._engine_memory.covers(pool):
            full |= self._engine_memory.full(now, pool, request.segments)
        return full

    def hedge(self, now: float, request: Request, slow: AttemptId) -> list[Action]:
        """
        Send a second attempt while a slow one is running, if it is worth its cost.

        Only repeatable stages are hedged, with at most two concurrent attempts. A first
        attempt that has stalled may be hedged even in a stage without hedges. If no
        hedge is sent, a timer is set to check the slow attempt again.
        """
        attempt = request.live[slow]
        if not request.current_stage.repeatable or len(request.live) > 1:
            return []
        if not request.has_attempts_left:
            return []
        if self._may_be_stalled(request, attempt):
            actions = self._hedge_stalled(now, request, slow, attempt)
            if actions:
                return actions
        if not request.current_stage.hedges:
            return []
        stats = self._times.stats_for(request.current_stage)
        if request.current_stage.streams:
            self._streams.add_overdue(now, attempt, stats)
        # A hedge would only lengthen the queues if work is already waiting.
        has_queue = (
            self._loads.pool(request.current_stage.pool).wait_s(now, stats.mean_s) > 0
        )
        if not has_queue:
            actions = self._hedge_if_worth_it(now, request, attempt, stats)
            if actions:
                return actions
        self._timers.set(self._next_check_at(now, attempt, stats), request.id, slow)
        return []

    def note_first_event(
        self, now: float, request: Request, attempt: LiveAttempt
    ) -> None:
        """Note the first event of an attempt whose engine a shared view chose."""
        if attempt.prediction is None:
            return
        pool, took_s = request.current_stage.pool, now - attempt.sent_at
        self._router.note_first_event(pool, took_s, attempt.prediction)
        self._stalls.note(pool, took_s, attempt.first_answer_s)

    def note_answer(self, now: float, request: Request, ended: LiveAttempt) -> None:
        """Note the time of an answer that is not a stream."""
        stage = request.current_stage
        if not stage.streams and self._router.covers(stage.pool):
            self._stalls.note(stage.pool, now - ended.sent_at, ended.first_answer_s)

    def _may_be_stalled(self, request: Request, attempt: LiveAttempt) -> bool:
        """
        Whether an attempt may be hedged for being slow to begin its answer.

        It is the first one of its stage in a pool that a shared view covers, and
        nothing of the answer has come yet.
        """
        stage = request.current_stage
        if not self._router.covers(stage.pool):
            return False
        if request.stage_attempts != 1 or attempt.probe or request.bound_to:
            return False
        if attempt.prediction is None and stage.streams:
            return False
        return request.may_begin_elsewhere

    def _hedge_stalled(
        self, now: float, request: Request, slow: AttemptId, attempt: LiveAttempt
    ) -> list[Action]:
        """Send a first attempt that has stalled to a second endpoint with room."""
        pool, waited_s = request.current_stage.pool, now - attempt.sent_at
        after_s = self._stalls.stalled_after_s(pool, attempt.first_answer_s)
        if (
            waited_s >= after_s
            and self._budgets_of(request.current_stage).hedges.tokens >= 1
        ):
            actions = self._send_second(now, request, attempt)
            if actions:
                self._stalls.note_hedged(pool, waited_s, attempt.first_answer_s)
                return actions
        if not request.current_stage.hedges and after_s < inf:
            again_s = max(MIN_RECHECK_S, after_s - waited_s, RECHECK_SHARE * waited_s)
            self._timers.set(now + again_s, request.id, slow)
        return []

    def _send_second(
        self, now: float, request: Request, attempt: LiveAttempt
    ) -> list[Action]:
        """Send the hedge of a stalled attempt if the view shows room for it."""
        stage = request.current_stage
        hedges = self._budgets_of(stage).hedges
        excluded = request.excluded | {attempt.endpoint}
        route_request = self._route_request(now, request, excluded)
        choice = self._router.choose(now, route_request, self._times.stats_for(stage))
        if choice is None or not self._router.shows_room(now, choice):
            return []
        if not hedges.take():
            return []
        self._ledger.counters.hedges += 1
        return self._send(now, request, route_request, choice, hedge=True, stalled=True)

    def _first_check_delay_s(self, stage: Stage, choice: Choice) -> float:
        """Return the run time after which an attempt is first checked."""
        stats = self._times.stats_for(stage)
        chunk_s = stats.chunk_time_s(choice.concurrent) if stage.streams else 0.0
        return (
            min(stats.p95_s, CHUNKS_BEFORE_CHECK * chunk_s) if chunk_s else stats.p95_s
        )

    def _next_check_at(
        self, now: float, attempt: LiveAttempt, stats: StageStats
    ) -> float:
        # For a stream, check again when its next chunk should have come.
        chunk_s = stats.chunk_time_s(attempt.concurrent)
        again_s = chunk_s or RECHECK_SHARE * (now - attempt.sent_at)
        return now + max(MIN_RECHECK_S, again_s)

    def _hedge_if_worth_it(
        self, now: float, request: Request, attempt: LiveAttempt, stats: StageStats
    ) -> list[Action]:
        hedges = self._budgets_of(request.current_stage).hedges
        route_request = self._route_request(
            now, request, request.excluded | {attempt.endpoint}
        )
        risk = self._late_probability(now, request, attempt, route_request, stats)
        # Choosing an endpoint is expensive: skip it if no hedge would be sent anyway.
        if hedges.tokens < 1 or route_request.weight * risk <= 0:
            return []
        choice = self._router.choose(now, route_request, stats)
        if choice is None:
            return []
        gain = risk - self._streams.resumed_late_probability(
            now, request, choice, route_request.target_end
        )
        if not _is_worth_it(gain, choice, route_request.weight) or not hedges.take():
            return []
        self._ledger.counters.hedges += 1
        return self._send(now, request, route_request, choice, hedge=True)

    # Choices

    def _route(
        self, now: float, request: Request, excluded: frozenset[str]
    ) -> list[Action]:
        route_request = self._route_request(now, request, excluded)
        stats = self._times.stats_for(request.current_stage)
        if request.bound_to:
            return self._send_bound(now, request, route_request, stats)
        choice = self._router.choose(now, route_request, stats)
        return [] if choice is None else self._send(now, request, route_request, choice)

    def _send_bound(
        self,
        now: float,
        request: Request,
        route_request: RouteRequest,
        stats: StageStats,
    ) -> list[Action]:
        # Also if the endpoint is leaving or ejected: no other one may run the stage,
        # and this one may have the result of an earlier attempt.
        endpoint = self._groups.find(request.bound_to)
        if endpoint is None:
            return []
        if self._gate.obstacle(now, endpoint, request.regions) in NEVER_SENT:
            return []
        choice = self._router.predict(now, route_request, stats, endpoint)
        return self._send(now, request, route_request, choice)

    def _route_request(
        self, now: float, request: Request, excluded: frozenset[str]
    ) -> RouteRequest:
        arrival = request.arrival
        remaining = request.remaining
        closed = self._gate.closed(now, request.regions)
        if closed:
            self._gate.note_wanted(request.current_stage.pool)
        full = self.full(now, request)
        if full:
            closed |= full
        return RouteRequest(
            request.current_stage,
            self._times.share_end(now, arrival.deadline, remaining),
            self._times.latest_finish(arrival.deadline, remaining[1:]),
            arrival.pipeline.weight_attainment,
            arrival.input_bytes + request.previous_bytes,
            arrival.prefix if request.current_stage.caches_prefixes else (),
            excluded | closed,
            arrival.prefix_sizes,
            request.inputs,
            request.version,
            arrival.objective,
        )

    def _choose_probe(self, now: float, request: Request) -> Endpoint | None:
        """
        Return an ejected endpoint to probe, if the request has time for a failure.

        A stage that must not be repeated is used for a probe only if the sidecar has
        reported recently: otherwise the probe might end with an unknown outcome for the
        caller.
        """
        stage = request.current_stage
        name = self._ejections.next_probe(now, stage.pool)
        if name is None:
            return None
        endpoint = self._groups.find(name)
        if endpoint is None or not _may_run(endpoint, stage):
            return None
        if request.version not in (None, endpoint.version):
            return None
        load = self._loads.get_or_create(endpoint)
        left = request.arrival.deadline - now
        if not load.may_serve(stage.model):
            return None
        if self._gate.obstacle(now, endpoint, request.regions) is not None:
            return None
        if name in self.full(now, request):
            return None
        if load.leaving or left < PROBE_SLACK * self._times.needed_s(request.remaining):
            return None
        if not stage.repeatable and now - load.reported_at > RECENT_REPORT_S:
            return None
        return endpoint

    def _send_probe(
        self, now: float, request: Request, endpoint: Endpoint
    ) -> list[Action]:
        route_request = self._route_request(now, request, frozenset())
        stats = self._times.stats_for(request.current_stage)
        choice = self._router.predict(now, route_request, stats, endpoint)
        return self._send(now, request, route_request, choice, probe=True)

    def _late_probability(
        self,
        now: float,
        request: Request,
        attempt: LiveAttempt,
        route_request: RouteRequest,
        stats: StageStats,
    ) -> float:
        """Return the probability that an attempt ends late, given its age."""
        if request.current_stage.streams and stats.chunk_time_s(attempt.concurrent) > 0:
            return self._streams.late_probability(
                now, attempt, route_request.target_end, stats
            )
        ran = max(0.0, now - attempt.sent_at - attempt.wait_s)
        longer_share = stats.tail(ran)
        # Far longer than nearly all runs: the endpoint is assumed to hang.
        if stats.has_enough_samples and ran > STUCK_FACTOR * stats.p99_s:
            return 1.0
        left = max(0.0, route_request.target_end - now)
        late_share = stats.tail(ran + left) / longer_share if longer_share else 0.0
        # Beyond the 99th percentile, the endpoint is as likely to have become slow as
        # the run is to be a long one, and soon it will be too late for a hedge.
        last_hedge = ran > stats.p99_s and left < LAST_HEDGE_RUNS * stats.p90_s
        return max(late_share, SLOW_ENDPOINT_PROBABILITY) if last_hedge else late_share

    # Sending

    def _send(
        self,
        now: float,
        request: Request,
        route_request: RouteRequest,
        choice: Choice,
        hedge: bool = False,
        probe: bool = False,
        stalled: bool = False,
    ) -> list[Action]:
        load = self._loads.get_or_create(choice.endpoint)
        attempt = LiveAttempt(
            endpoint=choice.endpoint.id,
            version=choice.endpoint.version,
            sent_at=now,
            wait_s=choice.delay_s,
            run_s=choice.run_s,
            concurrent=choice.concurrent,
            cached_share=choice.cached_share,
            hedge=hedge,
            probe=probe,
            stream=StreamProgress(request.chunks),
            incarnation=choice.endpoint.incarnation,
            prediction=choice.prediction,
        )
        attempt.pending_prefill_tokens = round(
            sum(route_request.prefix_sizes) * (1.0 - choice.cached_share)
        )
        attempt_id = self._ledger.add_attempt(request, load, attempt)
        self._gate.take(now, choice.endpoint.id)
        if probe:
            self._ejections.probe_sent(choice.endpoint.id)
            self._ledger.counters.probes += 1
        if choice.endpoint.region != self._settings.region:
            self._ledger.counters.cross_region += 1
        if request.current_stage.repeatable:
            check_after_s = choice.delay_s + self._first_check_delay_s(
                request.current_stage, choice
            )
            if self._may_be_stalled(request, attempt):
                stalled_after_s = self._stalls.stalled_after_s(
                    request.current_stage.pool, attempt.first_answer_s
                )
                check_after_s = min(check_after_s, stalled_after_s)
            self._timers.set(now + check_after_s, request.id, attempt_id)
        return [
            Send(
                attempt_id,
                choice.endpoint.id,
                _attempt_deadline(request, route_request),
                hedge=hedge,
                resume_offset=request.chunks,
                prediction=choice.prediction,
                stalled=stalled,
            )
        ]

    def _budgets_of(self, stage: Stage) -> _PoolBudgets:
        budgets = self._budgets.get(stage.pool)
        if budgets is None:
            budgets = self._budgets[stage.pool] = _PoolBudgets(self._settings)
        return budgets


def _is_worth_it(gain: float, choice: Choice, weight: float) -> bool:
    return weight * gain > (1.0 - weight) * HEDGE_COST * choice.price


def _attempt_deadline(request: Request, route_request: RouteRequest) -> float:
    """
    Return the time stamp by which the stage must end for the later ones to fit.

    It is never before the end of the stage's share of the time left: if the later
    stages' median run times no longer fit, they may still run faster than that.
    """
    return min(
        request.arrival.deadline,
        max(route_request.latest_end, route_request.target_end),
    )


def _may_run(endpoint: Endpoint, stage: Stage) -> bool:
    if endpoint.pool != stage.pool or not endpoint.takes_calls:
        return False
    return endpoint.is_meant_for(stage.model)
