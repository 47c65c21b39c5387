"""Checks the invariants of a planner on its actions alone."""

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
class SentAttempt:
    """An attempt that was sent; ``started`` is known to its endpoint only."""

    attempt: AttemptId
    endpoint: str
    started: bool = False
    lost: bool = False


@dataclass
class TrackedRequest:
    """A request in flight, from the view of its caller and the endpoints."""

    arrival: Arrival
    stage: int = 0
    sent_in_stage: int = 0
    attempts_sent: int = 0
    attempts_not_run: int = 0
    last_outcome: AttemptOutcome | None = None
    attempts: dict[AttemptId, SentAttempt] = field(default_factory=dict)


@dataclass
class Budget:
    """Tokens of a pool: earned by first attempts, and spent on extra ones."""

    earned: float
    spent: float = 0.0


class Oracle:
    """Tracks a planner's actions, and fails on the first that violates an invariant."""

    def __init__(self, settings: PolicySettings) -> None:
        self.settings = settings
        self.live: dict[str, TrackedRequest] = {}
        self.ended: set[str] = set()
        self.cancelled: list[SentAttempt] = []
        self.leaving: set[str] = set()
        self.failed = False
        self._retries: dict[str, Budget] = {}
        self._hedges: dict[str, Budget] = {}
        self._rules = {
            Send: self._send,
            Cancel: self._cancel,
            QueryAttempt: self._query,
            PollLoad: self._poll,
            Answer: self._answer,
            Refuse: self._refuse,
        }

    def add_request(self, arrival: Arrival) -> None:
        self.live[arrival.request_id] = TrackedRequest(arrival)

    def attempts(self) -> list[SentAttempt]:
        return [a for t in self.live.values() for a in t.attempts.values()]

    def check_actions(self, actions: list[Action]) -> None:
        self.failed = True
        for action in actions:
            self._rules[type(action)](action)
        self.failed = False

    def record_end(self, sent: SentAttempt, outcome: AttemptOutcome) -> None:
        """Record an attempt's end; called before the planner handles it."""
        tracked = self.live[sent.attempt.request_id]
        del tracked.attempts[sent.attempt]
        tracked.last_outcome = outcome
        if outcome is AttemptOutcome.NOT_RUN:
            tracked.attempts_not_run += 1
        if outcome is AttemptOutcome.FINISHED:
            tracked.stage += 1
            tracked.sent_in_stage = 0

    def check_settled(self, now: float, in_flight: int) -> None:
        """Check the invariants that hold between events."""
        assert in_flight == len(self.live)
        for tracked in self.live.values():
            assert tracked.attempts, "a request without attempts ends immediately"

    def check_deadlines(self, now: float) -> None:
        """Check that no request is in flight after its deadline."""
        for tracked in self.live.values():
            assert tracked.arrival.deadline > now

    # Actions

    def _send(self, send: Send) -> None:
        request_id, stage, _ = send.attempt
        assert request_id not in self.ended, "attempts are sent only before the end"
        tracked = self.live[request_id]
        wanted = tracked.arrival.pipeline.stages[stage]
        endpoint = self.settings.endpoints[send.endpoint]
        assert stage == tracked.stage
        assert endpoint.pool == wanted.pool
        assert send.endpoint not in self.leaving, "a leaving endpoint gets no new work"
        assert send.deadline <= tracked.arrival.deadline
        assert send.attempt not in tracked.attempts
        if not wanted.repeatable:
            assert not tracked.attempts, "at most one live attempt if not repeatable"
            assert not send.hedge
            assert (
                tracked.sent_in_stage == 0
                or tracked.last_outcome is AttemptOutcome.NOT_RUN
            )
        self._charge(send, tracked, wanted.pool)
        tracked.attempts[send.attempt] = SentAttempt(send.attempt, send.endpoint)
        tracked.sent_in_stage += 1
        tracked.attempts_sent += 1

    def _charge(self, send: Send, tracked: TrackedRequest, pool: str) -> None:
        retries = self._retries.setdefault(pool, Budget(self.settings.retry_reserve))
        hedges = self._hedges.setdefault(pool, Budget(self.settings.hedge_reserve))
        if send.hedge:
            assert tracked.sent_in_stage > 0
            hedges.spent += 1.0
        elif tracked.sent_in_stage:
            not_run = tracked.last_outcome is AttemptOutcome.NOT_RUN
            retries.spent += NOT_RUN_COST if not_run else 1.0
        else:
            retries.earned += self.settings.retry_budget
            hedges.earned += self.settings.hedge_budget
        for budget in (retries, hedges):
            assert budget.spent <= budget.earned + ROUNDING, "budget overdrawn"

    def _cancel(self, cancel: Cancel) -> None:
        tracked = self.live.get(cancel.attempt.request_id)
        assert tracked is not None, "attempts are cancelled before the end"
        assert cancel.attempt in tracked.attempts
        sent = tracked.attempts.pop(cancel.attempt)
        assert sent.endpoint == cancel.endpoint
        self.cancelled.append(sent)

    def _query(self, query: QueryAttempt) -> None:
        tracked = self.live[query.attempt.request_id]
        stage = tracked.arrival.pipeline.stages[query.attempt.stage]
        assert not stage.repeatable
        assert query.attempt not in tracked.attempts
        tracked.attempts[query.attempt] = SentAttempt(
            query.attempt, query.endpoint, lost=True
        )

    def _poll(self, poll: PollLoad) -> None:
        assert poll.endpoint in self.settings.endpoints

    def _answer(self, answer: Answer) -> None:
        tracked = self._end(answer.request_id)
        assert tracked.stage == len(tracked.arrival.pipeline.stages)

    def _refuse(self, refusal: Refuse) -> None:
        tracked = self._end(refusal.request_id)
        assert refusal.retry_after_s >= 0
        if refusal.outcome is RequestOutcome.NOT_RUN:
            proved = tracked.attempts_sent == tracked.attempts_not_run
            assert proved, "not_run is reported only with proof"

    def _end(self, request_id: str) -> TrackedRequest:
        assert request_id not in self.ended, "a request ends exactly once"
        tracked = self.live.pop(request_id)
        assert not tracked.attempts, "attempts are cancelled before the end"
        self.ended.add(request_id)
        return tracked
