"""Sends attempts: first ones, retries, hedges and probes."""

from amaranthtally.policy.actions import Action, Send
from amaranthtally.policy.budgets import RatioBudget
from amaranthtally.policy.ejection import Ejections
from amaranthtally.policy.groups import EndpointGroups
from amaranthtally.policy.loads import LoadTable
from amaranthtally.policy.model import AttemptId, Endpoint, PolicySettings, Stage
from amaranthtally.policy.request_ledger import RequestLedger
from amaranthtally.policy.requests import LiveAttempt, Request
from amaranthtally.policy.routing import Router
from amaranthtally.policy.scoring import Choice, RouteRequest
from amaranthtally.policy.stage_times import StageStats, StageTimes
from amaranthtally.policy.stream_monitor import STUCK_FACTOR, StreamMonitor
from amaranthtally.policy.stream_progress import Stream
from amaranthtally.policy.timers import Timers

__all__ = ["Dispatcher"]

HEDGE_COST = 0.1
SUSPICION = 0.5
LAST_CALL = 2.0
PROBE_SLACK = 3.0
HEARD_LATELY_S = 5.0
LOOK_AGAIN_SHARE = 0.5
LOOK_AGAIN_S = 0.02
FIRST_CHUNKS = 3.0


class _PoolBudgets:
    """Budgets of one pool: the failures of one must not spend those of another."""

    __slots__ = ("hedges", "retries")

    def __init__(self, settings: PolicySettings) -> None:
        self.retries = RatioBudget(settings.retry_budget, settings.retry_reserve)
        self.hedges = RatioBudget(settings.hedge_budget, settings.hedge_reserve)

    def configure(self, settings: PolicySettings) -> None:
        self.retries.configure(settings.retry_budget, settings.retry_reserve)
        self.hedges.configure(settings.hedge_budget, settings.hedge_reserve)


class Dispatcher:
    """Turns a request's need for an attempt into a ``Send``, or into nothing."""

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
        self._budgets: dict[str, _PoolBudgets] = {}

    def configure(self, settings: PolicySettings) -> None:
        """Use other settings."""
        self._settings = settings
        for budgets in self._budgets.values():
            budgets.configure(settings)

    def first(self, now: float, request: Request) -> list[Action]:
        """Send a stage's first attempt; nothing when no endpoint takes work."""
        budgets = self._budgets_of(request.current)
        budgets.retries.earn()
        budgets.hedges.earn()
        probed = None if request.bound_to else self._probed(now, request)
        if probed is not None:
            return self._send_probe(now, request, probed)
        return self._route(now, request, frozenset())

    def retry(self, now: float, request: Request, cost: float) -> list[Action]:
        """
        Send a stage again, elsewhere where there is an elsewhere.

        Returns nothing when the budget is spent or no endpoint takes work.
        """
        if cost > 0:
            if not self._budgets_of(request.current).retries.take(cost):
                return []
            request.resends += 1
        actions = self._route(now, request, request.avoid)
        if not actions and request.current.repeatable:
            actions = self._route(now, request, frozenset())
        self._ledger.counters.retries += bool(actions)
        return actions

    def hedge(self, now: float, request: Request, slow: AttemptId) -> list[Action]:
        """
        Send a second attempt beside a slow one where that is worth its cost.

        Only a stage that may be repeated is hedged, and only one attempt at a
        time. Otherwise a timer looks again.
        """
        attempt = request.live[slow]
        if not request.current.repeatable or len(request.live) > 1:
            return []
        if not request.current.hedges or not request.may_run_again:
            return []
        stats = self._times.of(request.current)
        if request.current.streams:
            self._streams.note_quiet(now, attempt, stats)
        # Where work waits, a hedge only makes it wait longer.
        crowded = self._loads.pool(request.current.pool).wait_s(now, stats.mean_s) > 0
        if not crowded:
            actions = self._hedge_if_worth_it(now, request, attempt, stats)
            if actions:
                return actions
        self._timers.set(self._next_look(now, attempt, stats), request.id, slow)
        return []

    def _first_look_s(self, stage: Stage, choice: Choice) -> float:
        """Return after how much of its run an attempt is first looked at."""
        stats = self._times.of(stage)
        chunk_s = stats.chunk_time_s(choice.concurrent) if stage.streams else 0.0
        return min(stats.p95_s, FIRST_CHUNKS * chunk_s) if chunk_s else stats.p95_s

    def _next_look(self, now: float, attempt: LiveAttempt, stats: StageStats) -> float:
        # A stream's next chunk, or its lack, tells more.
        chunk_s = stats.chunk_time_s(attempt.beside)
        again_s = chunk_s or LOOK_AGAIN_SHARE * (now - attempt.sent_at)
        return now + max(LOOK_AGAIN_S, again_s)

    def _hedge_if_worth_it(
        self, now: float, request: Request, attempt: LiveAttempt, stats: StageStats
    ) -> list[Action]:
        hedges = self._budgets_of(request.current).hedges
        wanted = self._wanted(now, request, request.avoid | {attempt.endpoint})
        risk = self._risk(now, request, attempt, wanted, stats)
        # Choosing costs most: it is left out where nothing can come of it.
        if hedges.tokens < 1 or wanted.weight * risk <= 0:
            return []
        choice = self._router.choose(now, wanted, stats)
        if choice is None:
            return []
        gain = risk - self._streams.resumed_risk(
            now, request, choice, wanted.target_end
        )
        if not _is_worth_it(gain, choice, wanted.weight) or not hedges.take():
            return []
        self._ledger.counters.hedges += 1
        return self._send(now, request, wanted, choice, hedge=True)

    # Choices

    def _route(
        self, now: float, request: Request, avoid: frozenset[str]
    ) -> list[Action]:
        wanted = self._wanted(now, request, avoid)
        stats = self._times.of(request.current)
        if request.bound_to:
            return self._send_bound(now, request, wanted, stats)
        choice = self._router.choose(now, wanted, stats)
        return [] if choice is None else self._send(now, request, wanted, choice)

    def _send_bound(
        self, now: float, request: Request, wanted: RouteRequest, stats: StageStats
    ) -> list[Action]:
        # Also where it leaves or was ejected: no other endpoint may run the stage,
        # and this one may hold the result of an earlier try.
        endpoint = self._groups.find(request.bound_to)
        if endpoint is None:
            return []
        choice = self._router.predict(now, wanted, stats, endpoint)
        return self._send(now, request, wanted, choice)

    def _wanted(
        self, now: float, request: Request, avoid: frozenset[str]
    ) -> RouteRequest:
        arrival = request.arrival
        remaining = request.remaining
        return RouteRequest(
            request.current,
            self._times.share_end(now, arrival.deadline, remaining),
            self._times.latest_finish(arrival.deadline, remaining[1:]),
            arrival.pipeline.weight_attainment,
            arrival.input_bytes + request.previous_bytes,
            arrival.prefix if request.current.caches_prefixes else (),
            avoid,
            arrival.prefix_sizes,
            request.inputs,
        )

    def _probed(self, now: float, request: Request) -> Endpoint | None:
        """
        Return an ejected endpoint to try, when the request can afford a failure.

        A stage that may not be repeated is only tried where the sidecar has been
        heard again: its caller would pay for the probe with an unknown outcome.
        """
        stage = request.current
        name = self._ejections.next_probe(now, stage.pool)
        if name is None:
            return None
        endpoint = self._groups.find(name)
        if endpoint is None or not _runs(endpoint, stage):
            return None
        load = self._loads.get_or_create(endpoint)
        left = request.arrival.deadline - now
        if not load.may_serve(stage.model):
            return None
        if load.leaving or left < PROBE_SLACK * self._times.needed_s(request.remaining):
            return None
        if not stage.repeatable and now - load.reported_at > HEARD_LATELY_S:
            return None
        return endpoint

    def _send_probe(
        self, now: float, request: Request, endpoint: Endpoint
    ) -> list[Action]:
        wanted = self._wanted(now, request, frozenset())
        stats = self._times.of(request.current)
        choice = self._router.predict(now, wanted, stats, endpoint)
        return self._send(now, request, wanted, choice, probe=True)

    def _risk(
        self,
        now: float,
        request: Request,
        attempt: LiveAttempt,
        wanted: RouteRequest,
        stats: StageStats,
    ) -> float:
        """Return the probability that an attempt ends late, given how long it ran."""
        if request.current.streams and stats.chunk_time_s(attempt.beside) > 0:
            return self._streams.risk(now, attempt, wanted.target_end, stats)
        ran = max(0.0, now - attempt.sent_at - attempt.wait_s)
        so_long = stats.tail(ran)
        # Longer than nearly any run on record: the endpoint is taken to be stuck.
        if stats.has_enough_samples and ran > STUCK_FACTOR * stats.p99_s:
            return 1.0
        left = max(0.0, wanted.target_end - now)
        healthy = stats.tail(ran + left) / so_long if so_long else 0.0
        # Beyond the slow quantile it is as likely an endpoint that has become slow
        # as a long run, and soon another attempt would come too late.
        last_call = ran > stats.p99_s and left < LAST_CALL * stats.p90_s
        return max(healthy, SUSPICION) if last_call else healthy

    # Sending

    def _send(
        self,
        now: float,
        request: Request,
        wanted: RouteRequest,
        choice: Choice,
        hedge: bool = False,
        probe: bool = False,
    ) -> list[Action]:
        load = self._loads.get_or_create(choice.endpoint)
        attempt = LiveAttempt(
            endpoint=choice.endpoint.id,
            sent_at=now,
            wait_s=choice.delay_s,
            run_s=choice.run_s,
            beside=choice.concurrent,
            cached=choice.cached_share,
            hedge=hedge,
            probe=probe,
            stream=Stream(request.chunks),
        )
        attempt.reading = round(sum(wanted.prefix_sizes) * (1.0 - choice.cached_share))
        attempt_id = self._ledger.sent(request, load, attempt)
        if probe:
            self._ejections.probe_sent(choice.endpoint.id)
            self._ledger.counters.probes += 1
        if choice.endpoint.region != self._settings.region:
            self._ledger.counters.away += 1
        if request.current.repeatable:
            look = choice.delay_s + self._first_look_s(request.current, choice)
            self._timers.set(now + look, request.id, attempt_id)
        return [
            Send(
                attempt_id,
                choice.endpoint.id,
                _attempt_deadline(request, wanted),
                hedge=hedge,
                resume_offset=request.chunks,
            )
        ]

    def _budgets_of(self, stage: Stage) -> _PoolBudgets:
        found = self._budgets.get(stage.pool)
        if found is None:
            found = self._budgets[stage.pool] = _PoolBudgets(self._settings)
        return found


def _is_worth_it(gain: float, choice: Choice, weight: float) -> bool:
    return weight * gain > (1.0 - weight) * HEDGE_COST * choice.price


def _attempt_deadline(request: Request, wanted: RouteRequest) -> float:
    """
    Return when the stage must have ended, in time for the later ones.

    Never less than its share of what is left: when the later stages'
    medians no longer fit, they may still be faster than that.
    """
    return min(request.arrival.deadline, max(wanted.latest_end, wanted.target_end))


def _runs(endpoint: Endpoint, stage: Stage) -> bool:
    if endpoint.pool != stage.pool or not endpoint.takes_calls:
        return False
    return endpoint.is_meant_for(stage.model)
