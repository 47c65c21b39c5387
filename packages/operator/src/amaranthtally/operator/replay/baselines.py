"""
Simple planners to compare the policy with, in a registry that decorators fill.

They use the same entries, sidecars and network. Their sidecars queue first in,
first out. None of them knows of accounts, prefixes, load reports or prices.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from amaranthtally.operator.replay.entry import EntryPlanner
from amaranthtally.operator.replay.queues import FirstInFirstOut
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
UNBOUNDED = 1_000_000

BuildPlanner = Callable[[PolicySettings, Random], EntryPlanner]
BuildQueue = Callable[[PoolPlan], Queue]


@dataclass(frozen=True, slots=True)
class Contender:
    """What runs on a trace: a planner for entries and a queue for sidecars."""

    name: str
    build_planner: BuildPlanner
    build_queue: BuildQueue


_CONTENDERS: dict[str, Contender] = {}


def contender_names() -> list[str]:
    """Return the names of all contenders, the policy first."""
    return list(_CONTENDERS)


def get_contender(name: str) -> Contender:
    """Return a contender; raises ``KeyError``."""
    return _CONTENDERS[name]


def _register_contender(
    name: str, queue: BuildQueue
) -> Callable[[BuildPlanner], BuildPlanner]:
    def register(build_planner: BuildPlanner) -> BuildPlanner:
        _CONTENDERS[name] = Contender(name, build_planner, queue)
        return build_planner

    return register


# Queues


def _bounded(pool: PoolPlan) -> Queue:
    return FirstInFirstOut(pool.slots, pool.queue_capacity)


def _unbounded(pool: PoolPlan) -> Queue:
    return FirstInFirstOut(pool.slots, UNBOUNDED)


def _run_queue(pool: PoolPlan) -> Queue:
    return RunQueue(pool.slots, pool.queue_capacity)


# Planners


@dataclass(slots=True)
class _Request:
    arrival: Arrival
    stage: int = 0
    retries: int = 0
    number: int = 0
    started: bool = False
    attempt: AttemptId | None = None
    endpoint: str = ""


@dataclass(frozen=True, slots=True)
class RetryRule:
    """How often a stage is sent again, and whether only where it was not run."""

    limit: int
    only_not_run: bool


@dataclass(slots=True)
class Chooser:
    """Chooses among a pool's endpoints by what this entry has outstanding."""

    outstanding: dict[str, int] = field(default_factory=dict)
    turns: dict[str, int] = field(default_factory=dict)

    def in_turn(self, pool: str, endpoints: Sequence[Endpoint]) -> Endpoint:
        """Return the endpoint whose turn it is."""
        turn = self.turns.get(pool, 0)
        self.turns[pool] = turn + 1
        return endpoints[turn % len(endpoints)]

    def least_outstanding(self, pool: str, endpoints: Sequence[Endpoint]) -> Endpoint:
        """Return the endpoint with the fewest outstanding attempts, in turn."""
        first = self.turns.get(pool, 0)
        self.turns[pool] = first + 1
        turned = [*endpoints[first % len(endpoints) :], *endpoints]
        return min(turned, key=lambda e: self.outstanding.get(e.id, 0))


class BaselinePlanner:
    """Sends each stage to the endpoint that a rule names; admits everything."""

    def __init__(
        self, settings: PolicySettings, least_outstanding: bool, rule: RetryRule
    ) -> None:
        self._pools: dict[str, list[Endpoint]] = {}
        for endpoint in settings.endpoints.values():
            self._pools.setdefault(endpoint.pool, []).append(endpoint)
        self._chooser = Chooser()
        self._choose = (
            self._chooser.least_outstanding
            if least_outstanding
            else self._chooser.in_turn
        )
        self._rule = rule
        self._requests: dict[str, _Request] = {}

    def request_arrived(self, now: float, arrival: Arrival) -> list[Action]:
        """Send the first stage."""
        request = self._requests[arrival.request_id] = _Request(arrival)
        return self._send(request)

    def reply(
        self, now: float, attempt: AttemptId, result: AttemptResult
    ) -> list[Action]:
        """Send the next stage, retry, answer or refuse."""
        request = self._requests.get(attempt.request_id)
        if request is None or request.attempt != attempt:
            return []
        self._release(request)
        request.started |= result.outcome is not AttemptOutcome.NOT_RUN
        if result.outcome is AttemptOutcome.FINISHED:
            return self._advance(request)
        if self._may_retry(request, result.outcome):
            request.retries += 1
            return self._send(request)
        return [self._refuse(request, RefusalReason.STAGE_FAILED)]

    def progress(self, now: float, attempt: AttemptId, chunks: int) -> list[Action]:
        """Take no notice."""
        return []

    def load_report(
        self, now: float, endpoint: str, report: LoadReport
    ) -> list[Action]:
        """Take no notice."""
        return []

    def cache_event(self, now: float, endpoint: str, event: CacheEvent) -> list[Action]:
        """Take no notice."""
        return []

    def tick(self, now: float) -> list[Action]:
        """End the requests whose deadline has passed."""
        late = [r for r in self._requests.values() if r.arrival.deadline <= now]
        actions: list[Action] = []
        for request in late:
            request.started |= request.attempt is not None
            self._release(request)
            actions.append(self._refuse(request, RefusalReason.DEADLINE))
        return actions

    def _advance(self, request: _Request) -> list[Action]:
        request.stage += 1
        request.retries = request.number = 0
        if request.stage == len(request.arrival.pipeline.stages):
            del self._requests[request.arrival.request_id]
            return [Answer(request.arrival.request_id)]
        return self._send(request)

    def _may_retry(self, request: _Request, fate: AttemptOutcome) -> bool:
        if request.retries >= self._rule.limit:
            return False
        if fate is AttemptOutcome.NOT_RUN:
            return True
        stage = request.arrival.pipeline.stages[request.stage]
        return stage.repeatable and not self._rule.only_not_run

    def _send(self, request: _Request) -> list[Action]:
        arrival = request.arrival
        pool = arrival.pipeline.stages[request.stage].pool
        endpoint = self._choose(pool, self._pools[pool])
        outstanding = self._chooser.outstanding
        outstanding[endpoint.id] = outstanding.get(endpoint.id, 0) + 1
        request.number += 1
        request.attempt = AttemptId(arrival.request_id, request.stage, request.number)
        request.endpoint = endpoint.id
        return [Send(request.attempt, endpoint.id, arrival.deadline)]

    def _release(self, request: _Request) -> None:
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


@_register_contender("round robin", _bounded)
def _round_robin(settings: PolicySettings, random: Random) -> EntryPlanner:
    return BaselinePlanner(settings, False, RetryRule(1, True))


@_register_contender("least outstanding", _bounded)
def _least_outstanding(settings: PolicySettings, random: Random) -> EntryPlanner:
    return BaselinePlanner(settings, True, RetryRule(1, True))


@_register_contender("no admission", _unbounded)
def _no_admission(settings: PolicySettings, random: Random) -> EntryPlanner:
    return BaselinePlanner(settings, True, RetryRule(1, True))


@_register_contender("retry thrice", _bounded)
def _retry_thrice(settings: PolicySettings, random: Random) -> EntryPlanner:
    return BaselinePlanner(settings, True, RetryRule(3, False))
