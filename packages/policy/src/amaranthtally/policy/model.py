"""What the policy knows of pipelines, endpoints and client accounts."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from amaranthtally.policy.routes import Pool

__all__ = [
    "AccountLimits",
    "AttemptId",
    "Endpoint",
    "Pipeline",
    "PolicySettings",
    "Stage",
]

# Attempts of one entry and pool that failures may take beyond the ratio: what fails
# before an endpoint is ejected, three strikes at each of some twenty endpoints.
RETRY_RESERVE = 64.0
# Second attempts beside slow ones that may run at once beyond the ratio.
HEDGE_RESERVE = 16.0
# What a retry takes from the budget after proof that nothing ran: it costs the
# endpoint a refusal, about a quarter of what a call costs it.
NOT_RUN_COST = 0.25


class AttemptId(NamedTuple):
    """One attempt at one stage of one request; ``stage`` counts from 0."""

    request_id: str
    stage: int
    number: int


@dataclass(frozen=True, slots=True)
class Stage:
    """
    A stage of a pipeline, run by any endpoint of ``pool``.

    A stage that is not ``repeatable`` has a side effect and runs at most once.
    ``price_per_s`` is the price of one second of its endpoint. ``max_attempts`` bounds
    the endpoints that may have run it for one request, 0 leaves that to the budgets;
    one that never ``hedges`` has one attempt at a time. ``key`` names what
    is learned of it: made once, since each decision looks it up many times.
    """

    name: str
    pool: str
    model: str = ""
    repeatable: bool = True
    streams: bool = False
    price_per_s: float = 0.0005
    max_attempts: int = 0
    hedges: bool = True
    key: tuple[str, str, str] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        object.__setattr__(self, "key", (self.pool, self.model, self.name))

    @property
    def caches_prefixes(self) -> bool:
        """Whether its endpoints may cache prefixes: model engines do."""
        return self.streams or bool(self.model)


@dataclass(frozen=True, slots=True)
class Pipeline:
    """
    Stages that run one after another under one deadline, in seconds.

    ``weight_attainment`` goes from 0, where cost alone counts, to 1, where
    answers in time alone count.
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
        """Whether a stage's endpoints may cache prefixes."""
        return any(stage.caches_prefixes for stage in self.stages)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """
    An endpoint and where it stands; ``address`` is its sidecar's ``ip:port``.

    ``models`` are those it is to answer, ``takes_calls`` whether its role is to.
    ``slots`` is what it runs at once, 0 where it has not said, and ``incarnation``
    tells its starts apart where the id alone does not.
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

    def is_meant_for(self, model: str) -> bool:
        """Whether it is to answer a model, loaded or not; an empty one is any."""
        return not model or not self.models or model in self.models

    def is_same_server(self, other: "Endpoint") -> bool:
        """Whether both are one server at one place, whatever it holds."""
        return (
            self.pool == other.pool
            and self.host == other.host
            and self.region == other.region
            and self.data_centre == other.data_centre
            and self.address == other.address
            and self.incarnation == other.incarnation
        )


@dataclass(frozen=True, slots=True)
class AccountLimits:
    """Limits of a client account: requests a second, burst, and fair-share weight."""

    rate: float = 0.0
    burst: float = 0.0
    share: float = 1.0


@dataclass(frozen=True, slots=True)
class PolicySettings:
    """
    The settings that the policy reads, at one revision.

    ``region`` and ``data_centre`` are those of the entry itself; ``entries``
    counts the entries that share the accounts' limits. Prices are in one
    currency, latency is one way and in seconds, budgets are ratios to first
    attempts, and headroom is a share of the deadline. Reserves are attempts that may
    be made beyond the ratios; ``not_run_cost`` is what a retry takes from its budget
    after proof that the attempt before it did not start.
    ``entry`` is the entry's own name; ``pools`` holds the limits of those pools that
    say them.
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
