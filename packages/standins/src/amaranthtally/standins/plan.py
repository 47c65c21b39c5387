"""The plan of a deployment on loopback, read from a TOML file."""

from pathlib import Path
from typing import Any

import msgspec

__all__ = ["Account", "DeploymentPlan", "Latency", "Pool", "Region", "load_plan"]


class Region(msgspec.Struct, frozen=True):
    """A region and its data centres."""

    name: str
    data_centres: list[str]


class Pool(msgspec.Struct, frozen=True):
    """Servers of one kind; ``knobs`` are the initial knobs of its stand-ins."""

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
    """The parts of a deployment; ``settings`` is the initial tree of settings."""

    name: str
    latency_ms: Latency
    regions: list[Region]
    pools: list[Pool]
    accounts: list[Account]
    settings: dict[str, dict[str, Any]] = {}


def load_plan(path: Path) -> DeploymentPlan:
    """Read a plan; raises ``msgspec.ValidationError``."""
    return msgspec.toml.decode(path.read_bytes(), type=DeploymentPlan)
