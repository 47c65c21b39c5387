"""Small deployments for tests of the simulator."""

from pathlib import Path

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

ROOT = Path(__file__).parent.parent.parent
EXAMPLES = sorted((ROOT / "examples" / "experiments").glob("*.toml"))

CLAIM = RequestKind(
    "claim",
    "engines",
    3.0,
    1.8,
    8.0,
    "streaming",
    stages=(Stage("catalogue", (1, 4), 1.5e6),),
    shared_tokens=(300, 900),
    own_tokens=(50, 500),
    answer_tokens=(20, 60),
    sessions=10,
)
READ = RequestKind("read", "desk", 5.0, 0.4, 2.0)
ORDER = RequestKind("order", "desk", 5.0, 0.4, 2.0, "effect")


def small_deployment(*faults, kinds=(CLAIM, READ, ORDER), seconds=8.0, **options):
    """Return a deployment of two data centres with these faults."""
    return Deployment(
        name="small",
        data_centres=(DataCentre("cluj-a", "cluj"), DataCentre("iasi-a", "iasi")),
        kinds=kinds,
        piece_pools=(PiecePool("catalogue", 0.2, 0.02, 8, 18e6),),
        engine_pools=(EnginePool("engines", 2),),
        service_pools=(ServicePool("desk"),),
        faults=faults,
        seconds=seconds,
        **options,
    )


def fault(kind, target="", start=2.0, length=2.0, factor=3.0):
    """Return a fault."""
    return Fault(kind, start, length, target, factor)
