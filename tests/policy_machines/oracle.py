"""What must hold of a planner, judged from its actions alone."""

from dataclasses import dataclass, field

from amaranthtally.policy import (
    Action,
    Answer,
    Arrival,
    AttemptId,
    AttemptOutcome,
    Cancel,
    PolicySettings,
    PollLoad,
    QueryAttempt,
    Refuse,
    RequestOutcome,
    Send,
)

NOT_RUN_COST = 0.25
ROUNDING = 1e-6


@dataclass
class Flight:
    """An attempt that was sent; ``started`` as its endpoint would know it."""

    attempt: AttemptId
    endpoint: str
    started: bool = False
    lost: bool = False


@dataclass
class Tracked:
    """A request in flight, as its caller and the endpoints see it."""

    arrival: Arrival
    stage: int = 0
    sent_in_stage: int = 0
    ever_sent: int = 0
    proved_not_run: int = 0
    last_fate: AttemptOutcome | None = None
    flights: dict[AttemptId, Flight] = field(default_factory=dict)


@dataclass
class Budget:
    """What a pool's first attempts have earned, and what extra ones have cost."""

    earned: float
    spent: float = 0.0


class Oracle:
    """Follows a planner's actions and fails on the first that breaks a rule."""

    def __init__(self, settings: PolicySettings) -> None:
        self.settings = settings
        self.live: dict[str, Tracked] = {}
        self.ended: set[str] = set()
        self.gone: list[Flight] = []
        self.leaving: set[str] = set()
        self.broken = False
        self._retries: dict[str, Budget] = {}
        self._hedges: dict[str, Budget] = {}
        self._rules = {
            Send: self._send,
            Cancel: self._cancel,
            QueryAttempt: self._ask,
            PollLoad: self._greet,
            Answer: self._answer,
            Refuse: self._refuse,
        }

    def arrives(self, arrival: Arrival) -> None:
        self.live[arrival.request_id] = Tracked(arrival)

    def flights(self) -> list[Flight]:
        return [f for t in self.live.values() for f in t.flights.values()]

    def take(self, actions: list[Action]) -> None:
        self.broken = True
        for action in actions:
            self._rules[type(action)](action)
        self.broken = False

    def ends_attempt(self, flight: Flight, fate: AttemptOutcome) -> None:
        """Note an attempt's end before the planner hears of it."""
        tracked = self.live[flight.attempt.request_id]
        del tracked.flights[flight.attempt]
        tracked.last_fate = fate
        if fate is AttemptOutcome.NOT_RUN:
            tracked.proved_not_run += 1
        if fate is AttemptOutcome.FINISHED:
            tracked.stage += 1
            tracked.sent_in_stage = 0

    def check_rest(self, now: float, in_flight: int) -> None:
        """Check what must hold whenever the planner has had its say."""
        assert in_flight == len(self.live)
        for tracked in self.live.values():
            assert tracked.flights, "a request given up on is ended at once"

    def check_ticked(self, now: float) -> None:
        """Check that no request outlives its deadline."""
        for tracked in self.live.values():
            assert tracked.arrival.deadline > now

    # Actions

    def _send(self, send: Send) -> None:
        request_id, stage, _ = send.attempt
        assert request_id not in self.ended, "nothing is sent after an end"
        tracked = self.live[request_id]
        wanted = tracked.arrival.pipeline.stages[stage]
        endpoint = self.settings.endpoints[send.endpoint]
        assert stage == tracked.stage
        assert endpoint.pool == wanted.pool
        assert send.endpoint not in self.leaving, "no new work to a leaving endpoint"
        assert send.deadline <= tracked.arrival.deadline
        assert send.attempt not in tracked.flights
        if not wanted.repeatable:
            assert not tracked.flights, "one live attempt where none may be repeated"
            assert not send.hedge
            assert (
                tracked.sent_in_stage == 0
                or tracked.last_fate is AttemptOutcome.NOT_RUN
            )
        self._charge(send, tracked, wanted.pool)
        tracked.flights[send.attempt] = Flight(send.attempt, send.endpoint)
        tracked.sent_in_stage += 1
        tracked.ever_sent += 1

    def _charge(self, send: Send, tracked: Tracked, pool: str) -> None:
        retries = self._retries.setdefault(pool, Budget(self.settings.retry_reserve))
        hedges = self._hedges.setdefault(pool, Budget(self.settings.hedge_reserve))
        if send.hedge:
            assert tracked.sent_in_stage > 0
            hedges.spent += 1.0
        elif tracked.sent_in_stage:
            not_run = tracked.last_fate is AttemptOutcome.NOT_RUN
            retries.spent += NOT_RUN_COST if not_run else 1.0
        else:
            retries.earned += self.settings.retry_budget
            hedges.earned += self.settings.hedge_budget
        for budget in (retries, hedges):
            assert budget.spent <= budget.earned + ROUNDING, "budget overdrawn"

    def _cancel(self, cancel: Cancel) -> None:
        tracked = self.live.get(cancel.attempt.request_id)
        assert tracked is not None, "a cancel comes before the end or not at all"
        assert cancel.attempt in tracked.flights
        flight = tracked.flights.pop(cancel.attempt)
        assert flight.endpoint == cancel.endpoint
        self.gone.append(flight)

    def _ask(self, ask: QueryAttempt) -> None:
        tracked = self.live[ask.attempt.request_id]
        stage = tracked.arrival.pipeline.stages[ask.attempt.stage]
        assert not stage.repeatable
        assert ask.attempt not in tracked.flights
        tracked.flights[ask.attempt] = Flight(ask.attempt, ask.endpoint, lost=True)

    def _greet(self, greet: PollLoad) -> None:
        assert greet.endpoint in self.settings.endpoints

    def _answer(self, answer: Answer) -> None:
        tracked = self._end(answer.request_id)
        assert tracked.stage == len(tracked.arrival.pipeline.stages)

    def _refuse(self, refusal: Refuse) -> None:
        tracked = self._end(refusal.request_id)
        assert refusal.retry_after_s >= 0
        if refusal.outcome is RequestOutcome.NOT_RUN:
            proved = tracked.ever_sent == tracked.proved_not_run
            assert proved, "not_run is said on proof only"

    def _end(self, request_id: str) -> Tracked:
        assert request_id not in self.ended, "a request ends exactly once"
        tracked = self.live.pop(request_id)
        assert not tracked.flights, "attempts are cancelled before the end"
        self.ended.add(request_id)
        return tracked
