"""Random deployments, drawn from a seed."""

from collections.abc import Callable
from random import Random

import msgspec

from amaranthtally.simulator.deployment import (
    DataCentre,
    Deployment,
    EnginePool,
    Fault,
    PiecePool,
    RequestKind,
    ServicePool,
    Stage,
)

__all__ = ["FAMILIES", "draw_deployment", "draw_regional_deployment"]

DrawFamily = Callable[..., Deployment]
# The families of drawn deployments, by name.
FAMILIES: dict[str, DrawFamily] = {}

REGIONS = ("cluj", "iasi", "bucuresti")
# Longest gap between two events of a stream that is on time, in seconds.
GAP_S = (0.3, 0.6)
# Numbers of heads that the prompts of a kind may begin with, and their longest in
# tokens.
HEADS = ((4, 4000), (16, 1200), (80, 400))
CALL_S = 0.2
# Time that the pieces of a full call add to ``CALL_S``, in seconds.
FULL_BATCH_S = 0.17
# Result sizes in bytes: large ones of the first pool, small ones of the later pools.
LARGE_BYTES = 1.5e6
SMALL_BYTES = (8e3, 60e3, 6e3)
# Load without a burst, as a share of the pools' capacity.
BASE_LOAD = (0.5, 0.9)
FAULT_START_S = (4.0, 12.0)
FAULT_LENGTH_S = (1.5, 6.0)
FAULTS = (
    "burst",
    "crash",
    "cut",
    "dark",
    "flap",
    "freeze",
    "hang",
    "kill",
    "kill_all",
    "lost_answers",
    "rolling_stop",
    "scale_in",
    "slow",
    "store_cut",
)
ENTRY_FAULTS = frozenset({"kill", "freeze", "store_cut"})
GLOBAL_FAULTS = frozenset({"kill_all", "rolling_stop"})


def family(name: str) -> Callable[[DrawFamily], DrawFamily]:
    """Return a decorator that registers a family of drawn deployments."""

    def register(draw: DrawFamily) -> DrawFamily:
        FAMILIES[name] = draw
        return draw

    return register


@family("mixed")
def draw_deployment(
    seed: int, seconds: float = 24.0, faults: int | None = None
) -> Deployment:
    """Return a deployment with a burst and ``faults`` more; ``None`` draws 1 to 3."""
    random = Random(f"deployment/{seed}")
    centres = _draw_centres(random)
    pools = _draw_piece_pools(random)
    kinds = _draw_kinds(random, pools, len(centres))
    deployment = Deployment(
        name=f"drawn-{seed}",
        data_centres=centres,
        kinds=kinds,
        piece_pools=pools,
        engine_pools=(_draw_engines(random),),
        service_pools=(ServicePool("desk", slots=random.randint(3, 8)),),
        seconds=seconds,
    )
    count = random.randint(1, 3) if faults is None else faults
    fault_kinds = ["burst", *(random.choice(FAULTS) for _ in range(count))]
    planned = tuple(_draw_fault(random, deployment, kind) for kind in fault_kinds)
    return msgspec.structs.replace(deployment, faults=planned)


@family("regional")
def draw_regional_deployment(
    seed: int, seconds: float = 24.0, faults: int | None = None
) -> Deployment:
    """
    Return a drawn deployment over three regions with two data centres each.

    Its prompts begin with heads that many sessions share, few long ones or many short
    ones, and any kind of request may be the most frequent.
    """
    drawn = draw_deployment(seed, seconds, faults)
    random = Random(f"regional/{seed}")
    centres = tuple(
        DataCentre(f"{region}-{letter}", region, random.randint(1, 3))
        for region in REGIONS
        for letter in "ab"
    )
    # The load of the drawn day is meant for its own number of data centres.
    growth = len(centres) / len(drawn.data_centres)
    mix = [random.uniform(0.4, 1.6) for _ in drawn.kinds]
    kinds = tuple(
        msgspec.structs.replace(
            _with_heads(random, kind), rate=round(kind.rate * growth * weight, 3)
        )
        for kind, weight in zip(drawn.kinds, mix, strict=True)
    )
    regional = msgspec.structs.replace(
        drawn, name=f"regional-{seed}", data_centres=centres, kinds=kinds
    )
    planned = tuple(
        msgspec.structs.replace(
            fault, target=_draw_target(random, regional, fault.kind)
        )
        for fault in drawn.faults
    )
    return msgspec.structs.replace(regional, faults=planned)


def _with_heads(random: Random, kind: RequestKind) -> RequestKind:
    if kind.call != "streaming":
        return kind
    heads, tokens = random.choice(HEADS)
    return msgspec.structs.replace(
        kind,
        heads=heads,
        head_tokens=(tokens // 2, tokens),
        sessions=random.randint(50, 500),
        max_gap_s=round(random.uniform(*GAP_S), 2),
    )


def _draw_centres(random: Random) -> tuple[DataCentre, ...]:
    names = ("cluj-a", "iasi-a", "bucuresti-a", "bucuresti-b")
    chosen = names[: random.randint(2, len(names))]
    entries = random.randint(1, 3)
    return tuple(DataCentre(n, n.partition("-")[0], entries) for n in chosen)


def _draw_piece_pools(random: Random) -> tuple[PiecePool, ...]:
    batches = sorted(random.randint(4, 48) for _ in SMALL_BYTES)
    names = ("catalogue", "roster", "ledger")
    sizes = (LARGE_BYTES, *SMALL_BYTES[1:])
    return tuple(
        PiecePool(
            name=name,
            call_s=CALL_S,
            piece_s=round(FULL_BATCH_S / batch, 5),
            batch=batch,
            memory_bytes=size * batch * random.uniform(1.2, 2.0),
            endpoints=random.randint(1, 2),
        )
        for name, batch, size in zip(names, batches, sizes, strict=True)
    )


def _draw_engines(random: Random) -> EnginePool:
    return EnginePool(
        "engines", random.randint(2, 4), random.choice((32, 64)), report_lag_s=0.2
    )


def _draw_kinds(
    random: Random, pools: tuple[PiecePool, ...], centres: int
) -> tuple[RequestKind, ...]:
    load = random.uniform(*BASE_LOAD)
    graphs = [_large_stages(random), _chain_stages(random), _query_stages(random)]
    rates = [random.uniform(0.5, 1.5) for _ in graphs]
    pieces_per_request = [_mean_pieces_by_pool(stages, pools) for stages in graphs]
    # The capacity of each pool, in pieces per second, limits the rates of all kinds.
    capacities = [
        centres * p.endpoints * p.batch / (CALL_S + FULL_BATCH_S) for p in pools
    ]
    demands = [
        sum(
            rate * pieces[pool]
            for rate, pieces in zip(rates, pieces_per_request, strict=True)
        )
        for pool in range(len(pools))
    ]
    scale = min(a * load / w for a, w in zip(capacities, demands, strict=True) if w)
    ranks = random.sample((0, 1, 2), 3)
    streams = [
        _streaming_kind(random, name, rate * scale, rank, stages)
        for name, rate, rank, stages in zip(
            ("claim", "walk", "query"), rates, ranks, graphs, strict=True
        )
    ]
    read = RequestKind("read", "desk", random.uniform(2.0, 8.0), 0.4, 2.0, worth=0.3)
    order = RequestKind(
        "order", "desk", random.uniform(1.0, 4.0), 0.5, 2.0, call="effect", worth=0.5
    )
    return (*streams, read, order)


def _large_stages(random: Random) -> tuple[Stage, ...]:
    return (Stage("catalogue", (0, random.randint(2, 8)), LARGE_BYTES),)


def _chain_stages(random: Random) -> tuple[Stage, ...]:
    middle, last = random.randint(3, 9), random.randint(6, 16)
    return (
        Stage("catalogue", (1, 1), SMALL_BYTES[0]),
        Stage("roster", (middle, middle), SMALL_BYTES[1], (0,)),
        Stage("ledger", (last // 2, last), SMALL_BYTES[2], (1,)),
    )


def _query_stages(random: Random) -> tuple[Stage, ...]:
    large = Stage("catalogue", (0, 2), LARGE_BYTES)
    chain = _chain_stages(random)
    shifted = [
        Stage(s.pool, s.pieces, s.result_bytes, tuple(i + 1 for i in s.after))
        for s in chain
    ]
    return (large, *shifted)


def _mean_pieces_by_pool(
    stages: tuple[Stage, ...], pools: tuple[PiecePool, ...]
) -> list[float]:
    return [
        sum(sum(stage.pieces) / 2 for stage in stages if stage.pool == pool.name)
        for pool in pools
    ]


def _streaming_kind(
    random: Random, name: str, rate: float, rank: int, stages: tuple[Stage, ...]
) -> RequestKind:
    objective_s = 0.9 + 0.45 * len(stages) + random.uniform(0.0, 0.4)
    worth = round(random.uniform(0.4, 4.0), 2)
    return RequestKind(
        name=name,
        pool="engines",
        rate=round(rate, 3),
        objective_s=round(objective_s, 2),
        deadline_s=round(objective_s * random.uniform(2.5, 6.0), 2),
        call="streaming",
        worth=worth,
        late_worth=round(0.15 * worth, 3),
        priority=rank,
        clump=random.choice((1, 2, 3)),
        patience_s=random.choice((0.0, 5.0)),
        resumable=random.random() < 0.7,
        stages=stages,
        shared_tokens=(300, random.randint(600, 6000)),
        own_tokens=(50, random.randint(500, 4000)),
        answer_tokens=(20, random.randint(80, 400)),
        sessions=random.randint(10, 120),
    )


def _draw_fault(random: Random, deployment: Deployment, kind: str) -> Fault:
    return Fault(
        kind=kind,
        start_s=round(random.uniform(*FAULT_START_S), 2),
        length_s=round(random.uniform(*FAULT_LENGTH_S), 2),
        target=_draw_target(random, deployment, kind),
        factor=round(random.uniform(1.5, 4.0), 2),
    )


def _draw_target(random: Random, deployment: Deployment, kind: str) -> str:
    data_centre = random.choice(deployment.data_centres)
    if kind in GLOBAL_FAULTS:
        return ""
    if kind in ENTRY_FAULTS:
        return f"{data_centre.name}/{random.randrange(data_centre.entries)}"
    if kind == "cut":
        return data_centre.name
    if kind == "burst":
        return random.choice(
            ("", *(request_kind.name for request_kind in deployment.kinds))
        )
    counts = [
        *((pool.name, pool.endpoints) for pool in deployment.piece_pools),
        *((pool.name, pool.endpoints) for pool in deployment.engine_pools),
        *((pool.name, pool.endpoints) for pool in deployment.service_pools),
    ]
    name, count = random.choice(counts)
    return f"{name}/{data_centre.name}/{random.randrange(count)}"
