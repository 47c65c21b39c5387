"""Deployment files: pools and entries, the workload, and the faults."""

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
    "RequestKind",
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

# Minimum and maximum of an integer that is drawn from a uniform distribution.
Range = tuple[int, int]


class DataCentre(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A data centre and its number of entries."""

    name: str
    region: str
    entries: int = 2


class PiecePool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    Endpoints that compute pieces; times in seconds.

    Each data centre has ``endpoints`` of them. A call takes ``call_s`` plus ``piece_s``
    for each of at most ``batch`` pieces; at most ``queue`` calls wait at an endpoint.
    Results share ``memory_bytes`` and expire after ``result_ttl_s``.
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
    Model engines; times in seconds.

    Each data centre has ``endpoints`` of them. A step that emits a token takes
    ``step_s`` plus ``step_s_per_stream`` for each running stream. Load reports are
    refreshed at most every ``report_lag_s``.
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
    """Plain services with slots and a queue, ``endpoints`` in each data centre."""

    name: str
    endpoints: int = 1
    slots: int = 6
    queue: int = 24


class Stage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A stage of a request's graph; ``after`` holds indices of its inputs."""

    pool: str
    pieces: Range
    result_bytes: float
    after: tuple[int, ...] = ()


class RequestKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    A kind of request: rate per second, times in seconds, sizes in tokens.

    A request of call type ``effect`` may run at most once. A response earns ``worth``
    by ``objective_s`` and ``late_worth`` by ``deadline_s``; with ``max_gap_s`` it is
    late too if two events are further apart. Requests arrive in groups of ``clump``.
    Callers disconnect after ``patience_s`` without a first event; 0 disables this
    timeout. The requests of each of the ``sessions`` share a prompt prefix of
    ``shared_tokens``; before it, sessions share one of ``heads`` parts of
    ``head_tokens``, none if there are no heads.
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
    head_tokens: Range = (0, 0)
    heads: int = 0
    max_gap_s: float = 0.0


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    A fault that starts at ``start_s`` and lasts ``length_s`` seconds.

    ``target`` names an endpoint, entry, pool, data centre or region, or for ``burst`` a
    kind of request. ``factor`` is the slowdown of ``slow`` and the rate of ``burst``.
    """

    kind: str
    start_s: float
    length_s: float = 0.0
    target: str = ""
    factor: float = 1.0


class Prices(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Costs in units of worth: wasted stage time, repeated prefill and transfers."""

    stage_second: float = 1.0
    thousand_tokens: float = 0.3
    crossing_gigabyte: float = 80.0


class Deployment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A deployment and one simulated day; delays are one-way, in seconds."""

    name: str
    data_centres: tuple[DataCentre, ...]
    kinds: tuple[RequestKind, ...]
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
    def longest_deadline_s(self) -> float:
        """The longest deadline of any kind, in seconds."""
        return max(kind.deadline_s for kind in self.kinds)

    @property
    def serving_pools(self) -> list[str]:
        """Names of the pools that serve requests."""
        engines = [pool.name for pool in self.engine_pools]
        return engines + [pool.name for pool in self.service_pools]

    @property
    def pools(self) -> list[str]:
        """Names of all pools."""
        return [pool.name for pool in self.piece_pools] + self.serving_pools


def read_deployment(path: Path) -> Deployment:
    """Read and check a deployment file; raises ``DeploymentError``."""
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
        deployment = msgspec.convert(table, type=Deployment)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        remedy = "docs/EXPERIMENTS.md lists the fields"
        raise DeploymentError(path, str(error), remedy) from error
    check_deployment(path, deployment)
    return deployment


def write_deployment(path: Path, deployment: Deployment) -> None:
    """Write a deployment as TOML."""
    path.write_bytes(msgspec.toml.encode(deployment))


def check_deployment(path: Path | str, deployment: Deployment) -> None:
    """Raise ``DeploymentError`` if a deployment is inconsistent."""
    if not deployment.data_centres or not deployment.kinds:
        remedy = "define at least one of each"
        raise DeploymentError(path, "data_centres or kinds is empty", remedy)
    _check_unique(
        path, "data_centres", [centre.name for centre in deployment.data_centres]
    )
    _check_unique(path, "pools", deployment.pools)
    _check_unique(path, "kinds", [kind.name for kind in deployment.kinds])
    for number, kind in enumerate(deployment.kinds):
        _check_kind(path, f"kinds[{number}]", kind, deployment)


def _check_kind(
    path: Path | str, field: str, kind: RequestKind, deployment: Deployment
) -> None:
    check_known(path, f"{field}.pool", kind.pool, deployment.serving_pools)
    if not 0 < kind.objective_s <= kind.deadline_s:
        detail = f"{field}.objective_s is not between 0 and {field}.deadline_s"
        raise DeploymentError(
            path, detail, "set an objective that is at most the deadline"
        )
    pieces = [pool.name for pool in deployment.piece_pools]
    for number, stage in enumerate(kind.stages):
        stage_field = f"{field}.stages[{number}]"
        check_known(path, f"{stage_field}.pool", stage.pool, pieces)
        if any(not 0 <= index < number for index in stage.after):
            remedy = "use indices of earlier stages, from 0"
            raise DeploymentError(path, f"{stage_field}.after is {stage.after}", remedy)
        if not 0 <= stage.pieces[0] <= stage.pieces[1]:
            remedy = "give the minimum first, at least 0"
            raise DeploymentError(
                path, f"{stage_field}.pieces is {stage.pieces}", remedy
            )


def check_known(
    path: Path | str, field: str, name: str, known_names: Sequence[str]
) -> None:
    """Raise ``DeploymentError`` if a field holds an unknown name."""
    if name not in known_names:
        remedy = (
            f"choose from {', '.join(known_names) or 'pools that you add to the file'}"
        )
        raise DeploymentError(path, f"{field} names an unknown {name!r}", remedy)


def _check_unique(path: Path | str, field: str, names: Iterable[str]) -> None:
    duplicates = [name for name, count in Counter(names).items() if count > 1]
    if duplicates:
        detail = f"{field} has duplicate names: {', '.join(duplicates)}"
        raise DeploymentError(path, detail, "use unique names")
