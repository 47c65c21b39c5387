"""Records each request of one replay and counts the planner's actions."""

from collections import defaultdict
from dataclasses import dataclass, field

from amaranthtally.operator.replay.trace import PoolPlan, TraceArrival
from amaranthtally.policy import AttemptId, RefusalReason, RequestOutcome

__all__ = ["AttemptCost", "ReplayRecorder", "RequestRecord"]


@dataclass(slots=True)
class AttemptCost:
    """Slot-seconds of one attempt at a pool, and the price of a slot-second."""

    pool: str
    run_s: float
    price: float


@dataclass(slots=True)
class RequestRecord:
    """
    One request from arrival to end; times are in seconds.

    ``useful`` holds the attempts that finished and whose result the entry used.
    ``started`` counts the attempts that an endpoint started.
    """

    arrival: TraceArrival
    deadline: float
    admitted: bool = False
    answered: bool = False
    outcome: RequestOutcome | None = None
    reason: RefusalReason | None = None
    ended_at: float | None = None
    useful: set[AttemptId] = field(default_factory=set)
    costs: dict[AttemptId, AttemptCost] = field(default_factory=dict)
    started: int = 0
    region_bytes: dict[str, int] = field(default_factory=dict)

    @property
    def good(self) -> bool:
        """Whether the complete answer arrived by the deadline."""
        return self.answered and (self.ended_at or 0.0) <= self.deadline


class ReplayRecorder:
    """
    Records of all requests, and counts of sends, retries and hedges.

    ``false_not_run`` counts contradictions of the outcome NOT_RUN: requests that ended
    with it after an attempt had started, and attempts that started after such an end.
    """

    def __init__(self) -> None:
        self._requests: dict[str, RequestRecord] = {}
        self._starts_by_call: dict[tuple[str, int], int] = defaultdict(int)
        self.sends = 0
        self.retries = 0
        self.hedges = 0
        self.false_not_run = 0

    @property
    def requests(self) -> list[RequestRecord]:
        """The request records, in order of arrival."""
        return list(self._requests.values())

    @property
    def doubled_effects(self) -> int:
        """Number of at-most-once calls that started more than once."""
        return sum(1 for count in self._starts_by_call.values() if count > 1)

    def start_request(self, arrival: TraceArrival, deadline: float) -> None:
        """Start the record of a request that arrived."""
        self._requests[arrival.id] = RequestRecord(arrival, deadline)

    def request(self, request_id: str) -> RequestRecord:
        """Return a request's record."""
        return self._requests[request_id]

    def note_start(self, attempt: AttemptId, repeatable: bool) -> None:
        """Record that an endpoint started an attempt."""
        record = self._requests[attempt.request_id]
        record.started += 1
        if record.outcome is RequestOutcome.NOT_RUN:
            self.false_not_run += 1
        if not repeatable:
            self._starts_by_call[(attempt.request_id, attempt.stage)] += 1

    def note_run(self, attempt: AttemptId, pool: PoolPlan, run_s: float) -> None:
        """Record how long an attempt held its slot, in seconds."""
        cost = AttemptCost(pool.name, run_s, pool.price)
        self._requests[attempt.request_id].costs[attempt] = cost

    def note_bytes(self, request_id: str, pool: str, size: int) -> None:
        """Record bytes sent between regions for calls to a pool."""
        bytes_by_pool = self._requests[request_id].region_bytes
        bytes_by_pool[pool] = bytes_by_pool.get(pool, 0) + size

    def end_request(
        self,
        request_id: str,
        now: float,
        outcome: RequestOutcome | None = None,
        reason: RefusalReason | None = None,
    ) -> None:
        """Record a request's end: refused if it has an ``outcome``, else answered."""
        record = self._requests[request_id]
        record.ended_at = now
        record.answered = outcome is None
        record.outcome = outcome
        record.reason = reason
        if outcome is RequestOutcome.NOT_RUN and record.started:
            self.false_not_run += 1
