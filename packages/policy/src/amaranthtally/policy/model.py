"""What the policy knows of pipelines, endpoints and client accounts."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

__all__ = [
    "AccountLimits",
    "AttemptId",
    "Endpoint",
    "Pipeline",
    "PolicySettings",
    "Stage",
]


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
    """

    name: str
    pool: str
    model: str = ""
    repeatable: bool = True
    streams: bool = False


@dataclass(frozen=True, slots=True)
class Pipeline:
    """Stages that run one after another under one deadline, in seconds."""

    name: str
    stages: tuple[Stage, ...]
    deadline_s: float

    @property
    def repeatable(self) -> bool:
        """Whether every stage may run more than once."""
        return all(stage.repeatable for stage in self.stages)


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint and where it stands; ``address`` is its sidecar's ``ip:port``."""

    id: str
    pool: str
    host: str
    region: str
    data_centre: str
    address: str
    models: tuple[str, ...] = ()


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

    ``region`` and ``data_centre`` are those of the entry itself.
    """

    revision: int
    region: str
    data_centre: str
    endpoints: Mapping[str, Endpoint] = field(default_factory=dict)
    accounts: Mapping[str, AccountLimits] = field(default_factory=dict)
