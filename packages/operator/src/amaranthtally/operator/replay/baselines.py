"""
Baseline planners to compare the policy with, registered by a decorator.

The baselines use the same entries, sidecars and network as the policy. Their
sidecars queue calls first in, first out. No baseline considers accounts, prefixes,
load reports or prices.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from amaranthtally.operator.replay.entry import EntryPlanner
from amaranthtally.operator.replay.queues import FifoQueue
from amaranthtally.operator.replay.sidecar import Queue
from amaranthtally.operator.replay.trace import PoolPlan
from amaranthtally.policy import (
    Action,
    Answer,
    Arrival,
    AttemptId,
    AttemptOutcome,
    AttemptResult,
    CacheEvent,
    Endpoint,
    LoadReport,
    Planner,
    PolicySettings,
    RefusalReason,
    Refuse,
    RequestOutcome,
    RunQueue,
    Send,
)

__all__ = ["POLICY", "Contender", "get_contender", "contender_names"]

POLICY = "policy"
UNBOUNDED_CAPACITY = 1_000_000

BuildPlanner = Callable[[PolicySettings, Random], EntryPlanner]
BuildQueue = Callable[[PoolPlan], Queue]


@dataclass(frozen=True, slots=True)
class Contender:
    """A planner for the entries and a queue for the sidecars, replayed together."""

    name: str
    build_planner: BuildPlanner
    build_queue: BuildQueue


_CONTENDERS: dict[str, Contender] = {}


def contender_names() -> list[str]:
    """Return the names of all contenders; the policy comes first."""
    return list(_CONTENDERS)


def get_contender(name: str) -> Contender:
    """Return the contender of a name; raises ``KeyError`` if there is none."""
    return _CONTENDERS[name]


def _register_contender(
    name: str, queue: BuildQueue
) -> Callable[[BuildPlanner], BuildPlanner]:
    def register(build_planner: BuildPlanner) -> BuildPlanner:
        _CONTENDERS[name] = Contender(name, build_planner, queue)
        return build_planner

    return register


# Queues


def _bounded_fifo(pool: PoolPlan) -> Queue:
    return FifoQueue(pool.slots, pool.queue_capacity)


def _unbounded_fifo(pool: PoolPlan) -> Queue:
    return FifoQueue(pool.slots, UNBOUNDED_CAPACITY)


def _run_queue(pool: PoolPlan) -> Queue:
    return RunQueue(pool.slots, pool.queue_capacity)


# Planners


@dataclass(slots=True)
class _Request:
    arrival: Arrival
    stage: int = 0
    retries: int = 0
    attempt_number: int = 0
    started: bool = False
    attempt: AttemptId | None = None
    endpoint: str = ""


@dataclass(frozen=True, slots=True)
class RetryRule:
    """
    When the call of a stage is retried.

    ``limit`` is the maximum number of retries. With ``only_not_run``, a call is
    retried only if the sidecar reports that it did not run.
    """

    limit: int
    only_not_run: bool


@dataclass(slots=True)
class EndpointChooser:
    """Chooses an endpoint of a pool in turn or by this entry's outstanding calls."""

    outstanding: dict[str, int] = field(default_factory=dict)
    next_positions: dict[str, int] = field(default_factory=dict)

    def in_turn(self, pool: str, endpoints: Sequence[Endpoint]) -> Endpoint:
        """Return the next endpoint in round-robin order."""
        turn = self.next_positions.get(pool, 0)
        self.next_positions[pool] = turn + 1
        return endpoints[turn % len(endpoints)]

    def least_outstanding(self, pool: str, endpoints: Sequence[Endpoint]) -> Endpoint:
        """Return the endpoint with the fewest outstanding attempts; ties rotate."""
        first = self.next_positions.get(pool, 0)
        self.next_positions[pool] = first + 1
        rotated = [*endpoints[first % len(endpoints) :], *endpoints]
        return min(rotated, key=lambda e: self.outstanding.get(e.id, 0))


class BaselinePlanner:
    """Admits every request and chooses endpoints by a fixed rule."""

    def __init__(
        self, settings: PolicySettings, least_outstanding: bool, rule: RetryRule
    ) -> None:
        self._pools: dict[str, list[Endpoint]] = {}
        for endpoint in settings.endpoints.values():
            self._pools.setdefault(endpoint.pool, []).append(endpoint)
        self._chooser = EndpointChooser()
        self._choose = (
            self._chooser.least_outstanding
            if least_outstanding
            else self._chooser.in_turn
        )
        self._rule = rule
        self._requests: dict[str, _Request] = {}

    def request_arrived(self, now: float, arrival: Arrival) -> list[Action]:
        """Send the request's first stage."""
        request = self._requests[arrival.request_id] = _Request(arrival)
        return self._send(request)

    def reply(
        self, now: float, attempt: AttemptId, result: AttemptResult
    ) -> list[Action]:
        """Send the next stage, retry the current one, answer or refuse."""
        request = self._requests.get(attempt.request_id)
        if request is None or request.attempt != attempt:
            return []
        self._release_attempt(request)
        request.started |= result.outcome is not AttemptOutcome.NOT_RUN
        if result.outcome is AttemptOutcome.FINISHED:
            return self._advance(request)
        if self._may_retry(request, result.outcome):
            request.retries += 1
            return self._send(request)
        return [self._refuse(request, RefusalReason.STAGE_FAILED)]

    def progress(self, now: float, attempt: AttemptId, chunks: int) -> list[Action]:
        """Ignore progress."""
        return []

    def load_report(
        self, now: float, endpoint: str, report: LoadReport
    ) -> list[Action]:
        """Ignore load reports."""
        return []

    def cache_event(self, now: float, endpoint: str, event: CacheEvent) -> list[Action]:
        """Ignore cache events."""
        return []

    def tick(self, now: float) -> list[Action]:
        """Refuse the requests whose deadline has passed."""
        expired = [r for r in self._requests.values() if r.arrival.deadline <= now]
        actions: list[Action] = []
        for request in expired:
            request.started |= request.attempt is not None
            self._release_attempt(request)
            actions.append(self._refuse(request, RefusalReason.DEADLINE))
        return actions

    def _advance(self, request: _Request) -> list[Action]:
        request.stage += 1
        request.retries = request.attempt_number = 0
        if request.stage == len(request.arrival.pipeline.stages):
            del self._requests[request.arrival.request_id]
            return [Answer(request.arrival.request_id)]
        return self._send(request)

    def _may_retry(self, request: _Request, outcome: AttemptOutcome) -> bool:
        if request.retries >= self._rule.limit:
            return False
        if outcome is AttemptOutcome.NOT_RUN:
            return True
        stage = request.arrival.pipeline.stages[request.stage]
        return stage.repeatable and not self._rule.only_not_run

    def _send(self, request: _Request) -> list[Action]:
        arrival = request.arrival
        pool = arrival.pipeline.stages[request.stage].pool
        endpoint = self._choose(pool, self._pools[pool])
        outstanding = self._chooser.outstanding
        outstanding[endpoint.id] = outstanding.get(endpoint.id, 0) + 1
        request.attempt_number += 1
        request.attempt = AttemptId(
            arrival.request_id, request.stage, request.attempt_number
        )
        request.endpoint = endpoint.id
        return [Send(request.attempt, endpoint.id, arrival.deadline)]

    def _release_attempt(self, request: _Request) -> None:
        if request.attempt is not None:
            self._chooser.outstanding[request.endpoint] -= 1
        request.attempt = None

    def _refuse(self, request: _Request, reason: RefusalReason) -> Refuse:
        del self._requests[request.arrival.request_id]
        outcome = RequestOutcome.UNKNOWN if request.started else RequestOutcome.NOT_RUN
        return Refuse(request.arrival.request_id, outcome, reason)


@_register_contender(POLICY, _run_queue)
def _policy(settings: PolicySettings, random: Random) -> EntryPlanner:
    return Planner(settings, random)


@_register_contender("round robin", _bounded_fifo)
def _round_robin(settings: PolicySettings, random: Random) -> EntryPlanner:
    return BaselinePlanner(settings, False, RetryRule(1, True))


@_register_contender("least outstanding", _bounded_fifo)
def _least_outstanding(settings: PolicySettings, random: Random) -> EntryPlanner:
    return BaselinePlanner(settings, True, RetryRule(1, True))


@_register_contender("no admission", _unbounded_fifo)
def _no_admission(settings: PolicySettings, random: Random) -> EntryPlanner:
    return BaselinePlanner(settings, True, RetryRule(1, True))


@_register_contender("retry thrice", _bounded_fifo)
def _retry_thrice(settings: PolicySettings, random: Random) -> EntryPlanner:
    return BaselinePlanner(settings, True, RetryRule(3, False))
