"""Deployments as files: what runs where, what callers ask of it, and what fails."""

import tomllib
from collections import Counter
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Literal

import msgspec

from amaranthtally.simulator.errors import DeploymentError

__all__ = [
    "DataCentre",
    "Deployment",
    "EnginePool",
    "Fault",
    "Kind",
    "PiecePool",
    "Prices",
    "Range",
    "ServicePool",
    "Stage",
    "check_deployment",
    "check_known",
    "read_deployment",
    "write_deployment",
]

# The least and the most of a whole number that is drawn evenly.
Range = tuple[int, int]


class DataCentre(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A data centre and the entries in it."""

    name: str
    region: str
    entries: int = 2


class PiecePool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    Endpoints that make pieces, so many in each data centre; times in seconds.

    A call takes ``call_s`` and ``piece_s`` for each of at most ``batch`` pieces;
    ``queue`` calls wait. Results share ``memory_bytes`` and live ``result_ttl_s``.
    """

    name: str
    call_s: float
    piece_s: float
    batch: int
    memory_bytes: float
    endpoints: int = 1
    queue: int = 2
    result_ttl_s: float = 4.0


class EnginePool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    Model engines, so many in each data centre; times in seconds.

    A step takes ``step_s`` and ``step_s_per_stream`` for each stream beside it. What
    an engine says of its load is older by ``report_lag_s``.
    """

    name: str
    endpoints: int = 3
    slots: int = 64
    token_capacity: int = 370_000
    read_s_per_token: float = 0.0000235
    step_s: float = 0.0055
    step_s_per_stream: float = 0.00003
    report_lag_s: float = 0.2


class ServicePool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Plain services, so many in each data centre, with slots and a queue."""

    name: str
    endpoints: int = 1
    slots: int = 6
    queue: int = 24


class Stage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A stage of a request's graph; ``after`` counts stages from 0."""

    pool: str
    pieces: Range
    result_bytes: float
    after: tuple[int, ...] = ()


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    A kind of request: rate a second, times in seconds, sizes in tokens.

    An ``effect`` may run once at most. ``worth`` is what an answer by ``objective_s``
    earns, ``late_worth`` what one by ``deadline_s`` does. Requests come ``clump`` at
    once. Callers leave after ``patience_s`` without a first event, 0 for never.
    ``sessions`` share a part of ``shared_tokens`` each.
    """

    name: str
    pool: str
    rate: float
    objective_s: float
    deadline_s: float
    call: Literal["idempotent", "streaming", "effect"] = "idempotent"
    worth: float = 1.0
    late_worth: float = 0.15
    priority: int = 0
    clump: int = 1
    patience_s: float = 0.0
    max_attempts: int = 2
    resumable: bool = True
    stages: tuple[Stage, ...] = ()
    work_s: float = 0.02
    shared_tokens: Range = (0, 0)
    own_tokens: Range = (0, 0)
    answer_tokens: Range = (1, 1)
    sessions: int = 50


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    Something that goes wrong from ``start_s`` on, for ``length_s`` seconds.

    ``target`` names an endpoint, entry, pool or data centre, as the kind of fault
    needs; ``factor`` says how much.
    """

    kind: str
    start_s: float
    length_s: float = 0.0
    target: str = ""
    factor: float = 1.0


class Prices(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is paid for beside answers, in units of worth."""

    stage_second: float = 1.0
    thousand_tokens: float = 0.3
    crossing_gigabyte: float = 80.0


class Deployment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A whole deployment and a day of it; delays are one way, in seconds."""

    name: str
    data_centres: tuple[DataCentre, ...]
    kinds: tuple[Kind, ...]
    piece_pools: tuple[PiecePool, ...] = ()
    engine_pools: tuple[EnginePool, ...] = ()
    service_pools: tuple[ServicePool, ...] = ()
    faults: tuple[Fault, ...] = ()
    prices: Prices = Prices()
    seconds: float = 30.0
    near_s: float = 0.0007
    region_s: float = 0.0014
    far_s: float = 0.012
    retry_budget: float = 0.15
    retry_reserve: float = 8.0

    @property
    def longest_s(self) -> float:
        """The longest deadline of a request."""
        return max(kind.deadline_s for kind in self.kinds)

    @property
    def serving_pools(self) -> list[str]:
        """Names of the pools that answer requests."""
        engines = [pool.name for pool in self.engine_pools]
        return engines + [pool.name for pool in self.service_pools]

    @property
    def pools(self) -> list[str]:
        """Names of all pools."""
        return [pool.name for pool in self.piece_pools] + self.serving_pools


def read_deployment(path: Path) -> Deployment:
    """Read and check a deployment's file; raises ``DeploymentError``."""
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
        found = msgspec.convert(table, type=Deployment)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        remedy = "docs/EXPERIMENTS.md lists the fields"
        raise DeploymentError(path, str(error), remedy) from error
    check_deployment(path, found)
    return found


def write_deployment(path: Path, deployment: Deployment) -> None:
    """Write a deployment as TOML."""
    path.write_bytes(msgspec.toml.encode(deployment))


def check_deployment(path: Path | str, found: Deployment) -> None:
    """Raise ``DeploymentError`` where parts of a deployment don't fit together."""
    if not found.data_centres or not found.kinds:
        remedy = "name one of each or more"
        raise DeploymentError(path, "data_centres or kinds is empty", remedy)
    _check_once(path, "data_centres", [one.name for one in found.data_centres])
    _check_once(path, "pools", found.pools)
    _check_once(path, "kinds", [kind.name for kind in found.kinds])
    for number, kind in enumerate(found.kinds):
        _check_kind(path, f"kinds[{number}]", kind, found)


def _check_kind(path: Path | str, at: str, kind: Kind, found: Deployment) -> None:
    check_known(path, f"{at}.pool", kind.pool, found.serving_pools)
    if not 0 < kind.objective_s <= kind.deadline_s:
        detail = f"{at}.objective_s is not between 0 and {at}.deadline_s"
        raise DeploymentError(path, detail, "give an objective that ends first")
    pieces = [pool.name for pool in found.piece_pools]
    for number, stage in enumerate(kind.stages):
        where = f"{at}.stages[{number}]"
        check_known(path, f"{where}.pool", stage.pool, pieces)
        if any(not 0 <= before < number for before in stage.after):
            remedy = "name stages that stand before it, from 0"
            raise DeploymentError(path, f"{where}.after is {stage.after}", remedy)
        if not 0 <= stage.pieces[0] <= stage.pieces[1]:
            remedy = "give the least first, from 0"
            raise DeploymentError(path, f"{where}.pieces is {stage.pieces}", remedy)


def check_known(path: Path | str, at: str, name: str, known: Sequence[str]) -> None:
    """Raise ``DeploymentError`` where a field names what is not there."""
    if name not in known:
        remedy = f"choose from {', '.join(known) or 'pools that the file adds'}"
        raise DeploymentError(path, f"{at} names an unknown {name!r}", remedy)


def _check_once(path: Path | str, at: str, names: Iterable[str]) -> None:
    twice = [name for name, count in Counter(names).items() if count > 1]
    if twice:
        detail = f"{at} has {', '.join(twice)} twice"
        raise DeploymentError(path, detail, "give each a name of its own")
