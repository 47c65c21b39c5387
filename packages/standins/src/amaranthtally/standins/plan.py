"""What a deployment on loopback is made of, as its TOML file says."""

from pathlib import Path
from typing import Any

import msgspec

__all__ = ["Account", "DeploymentPlan", "Latency", "Pool", "Region", "load_plan"]


class Region(msgspec.Struct, frozen=True):
    """A region and its data centres."""

    name: str
    data_centres: list[str]


class Pool(msgspec.Struct, frozen=True):
    """Servers of one kind; ``knobs`` go to the stand-ins as they start."""

    name: str
    kind: str
    servers: int
    concurrency: int = 4
    knobs: dict[str, Any] = {}


class Account(msgspec.Struct, frozen=True):
    """A client account with its bearer key."""

    name: str
    key: str


class Latency(msgspec.Struct, frozen=True):
    """One-way latencies in milliseconds."""

    data_centres: float
    regions: float
    clients: float


class DeploymentPlan(msgspec.Struct, frozen=True):
    """What stands where; ``settings`` is the tree, by scope, to apply at first."""

    name: str
    latency_ms: Latency
    regions: list[Region]
    pools: list[Pool]
    accounts: list[Account]
    settings: dict[str, dict[str, Any]] = {}


def load_plan(path: Path) -> DeploymentPlan:
    """Read a plan; raises ``msgspec.ValidationError``."""
    return msgspec.toml.decode(path.read_bytes(), type=DeploymentPlan)
