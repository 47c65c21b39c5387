"""The policy's model of pipelines, endpoints, client accounts and its settings."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from amaranthtally.policy.home_regions import HomeRegions
from amaranthtally.policy.routes import Pool

__all__ = [
    "AccountLimits",
    "AttemptId",
    "Endpoint",
    "Pipeline",
    "PolicySettings",
    "Stage",
]

# Retries that one entry may make in a pool beyond the ratio. They cover the failures
# that occur before endpoints are ejected: three at each of some twenty endpoints.
RETRY_RESERVE = 64.0
# Hedges that one entry may send in a pool beyond the ratio.
HEDGE_RESERVE = 16.0
NO_HOMES = HomeRegions()
# Cost of a retry, in attempts, if the attempt before it provably did not run: the
# refusal cost its endpoint about a quarter of what a call does.
NOT_RUN_COST = 0.25


class AttemptId(NamedTuple):
    """Identifies an attempt at one stage, counted from 0, of one request."""

    request_id: str
    stage: int
    number: int


@dataclass(frozen=True, slots=True)
class Stage:
    """
    A stage of a pipeline, run by any endpoint of ``pool``.

    A stage that is not ``repeatable`` has a side effect and runs at most once.
    ``price_per_s`` is the price of one second of an endpoint. ``max_attempts`` bounds
    the attempts of one request that may have run; with 0 only the retry budget does.
    Without ``hedges`` a request has one attempt at a time, unless the first has
    stalled. Streams with a longer gap between two events than ``max_event_gap_s`` are
    late, with 0 there is no limit.
    ``key`` identifies the stage's statistics; it is computed once because each decision
    uses it many times.
    """

    name: str
    pool: str
    model: str = ""
    repeatable: bool = True
    streams: bool = False
    price_per_s: float = 0.0005
    max_attempts: int = 0
    hedges: bool = True
    max_event_gap_s: float = 0.0
    key: tuple[str, str, str] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "key", (self.pool, self.model, self.name))

    @property
    def caches_prefixes(self) -> bool:
        """Whether its endpoints may cache prompt prefixes, as model engines do."""
        return self.streams or bool(self.model)


@dataclass(frozen=True, slots=True)
class Pipeline:
    """
    Stages that run one after another under one deadline, in seconds.

    ``weight_attainment`` weighs attainment, the share of answers in time, against
    cost: with 0 only cost counts, with 1 only attainment.
    """

    name: str
    stages: tuple[Stage, ...]
    deadline_s: float
    weight_attainment: float = 0.7

    @property
    def repeatable(self) -> bool:
        """Whether every stage may run more than once."""
        return all(stage.repeatable for stage in self.stages)

    @property
    def caches_prefixes(self) -> bool:
        """Whether the endpoints of any stage may cache prompt prefixes."""
        return any(stage.caches_prefixes for stage in self.stages)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """
    An endpoint and its location; ``address`` is its sidecar's ``ip:port``.

    ``models`` are those that it is configured to serve, all if empty; ``takes_calls``
    is false for a role that serves no calls. ``slots`` is the number of calls that run
    concurrently, 0 if unknown. ``incarnation`` changes with each start of a server that
    keeps its id. ``version`` is that of its software, "" if unknown. One that
    ``is_evacuated`` is sent nothing at all. By its record, which has this ``revision``,
    it stays cold for ``cold_s`` seconds from when it was written. Records that differ
    in nothing else describe the same endpoint.
    """

    id: str
    pool: str
    host: str
    region: str
    data_centre: str
    address: str
    models: tuple[str, ...] = ()
    takes_calls: bool = True
    slots: int = 0
    incarnation: int = 0
    version: str = ""
    is_evacuated: bool = False
    cold_s: float = 0.0
    revision: int = field(default=0, compare=False)

    def is_meant_for(self, model: str) -> bool:
        """Whether it is configured to serve a model, loaded or not; "" is any model."""
        return not model or not self.models or model in self.models

    def is_same_server(self, other: "Endpoint") -> bool:
        """Whether both describe the same start of one server, whatever it serves."""
        return (
            self.pool == other.pool
            and self.host == other.host
            and self.region == other.region
            and self.data_centre == other.data_centre
            and self.address == other.address
            and self.incarnation == other.incarnation
            and self.version == other.version
        )


@dataclass(frozen=True, slots=True)
class AccountLimits:
    """
    Limits of a client account.

    ``rate`` is in requests a second, 0 for no limit, ``burst`` in requests; ``share``
    is the account's weight when admission is divided under overload.
    """

    rate: float = 0.0
    burst: float = 0.0
    share: float = 1.0


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """
    The settings that the policy reads, at one revision.

    ``entry`` is the name of the entry itself, and ``region`` and ``data_centre`` are
    its location. ``entries`` counts the entries that share the accounts' limits. All
    prices are in one currency; latency is one way and in seconds. Budgets are ratios to
    first attempts, and reserves are attempts that may be made beyond the ratios.
    ``not_run_cost`` is the budget cost of a retry if the attempt before it provably did
    not run. Headroom is a share of the deadline. ``pools`` holds the pools whose limits
    are configured, ``homes`` the regions to which requests are confined, ``evacuated``
    the data centres to whose endpoints nothing is sent. With ``fair_shares`` capacity
    is divided among accounts by the work of the whole fleet. Without ``shared_loads``
    entries tell each other nothing of endpoints, whatever these report.
    """

    revision: int
    region: str
    data_centre: str
    endpoints: Mapping[str, Endpoint] = field(default_factory=dict)
    accounts: Mapping[str, AccountLimits] = field(default_factory=dict)
    entries: int = 1
    traffic_price_per_gb: float = 0.02
    region_latency_s: float = 0.012
    admission_headroom: float = 0.75
    retry_budget: float = 0.2
    hedge_budget: float = 0.05
    retry_reserve: float = RETRY_RESERVE
    hedge_reserve: float = HEDGE_RESERVE
    not_run_cost: float = NOT_RUN_COST
    entry: str = ""
    pools: Mapping[str, Pool] = field(default_factory=dict)
    homes: HomeRegions = NO_HOMES
    evacuated: frozenset[str] = frozenset()
    fair_shares: bool = False
    shared_loads: bool = True
