"""
Every decision of the system, without I/O, clocks or global random numbers.

``Planner`` decides for an entry and ``RunQueue`` for a sidecar. Both take events
with a time stamp, in seconds of any monotonic clock, and return actions.
"""

from amaranthtally.policy.actions import (
    Action,
    Answer,
    Ask,
    AskPeer,
    Cancel,
    FreeAtPeer,
    FreeResults,
    Greet,
    Outcome,
    PieceOrder,
    Reason,
    Refuse,
    RunPieces,
    Send,
    TellPeer,
)
from amaranthtally.policy.affinity import AffinityRouter
from amaranthtally.policy.endpoint_directory import EndpointDirectory
from amaranthtally.policy.events import (
    Arrival,
    CacheEvent,
    Fate,
    LoadReport,
    PieceWork,
    StageResult,
)
from amaranthtally.policy.gateway_policy import (
    ANSWER_S,
    GATEWAY_PARTS,
    GATEWAY_TICK_S,
    gateway_settings,
    route_arrival,
    route_pipeline,
)
from amaranthtally.policy.invariants import InvariantError
from amaranthtally.policy.ledger import Counters
from amaranthtally.policy.model import (
    AccountLimits,
    AttemptId,
    Endpoint,
    Pipeline,
    PolicySettings,
    Stage,
)
from amaranthtally.policy.model_orders import (
    DesiredModels,
    EngineModels,
    ModelPlan,
    ModelUsage,
    plan_model_orders,
)
from amaranthtally.policy.parts import Parts
from amaranthtally.policy.peer_directory import PeerDirectory, PeerRecord
from amaranthtally.policy.piece_coordinator import PieceCoordinator
from amaranthtally.policy.piece_graph import Piece, StoredResult
from amaranthtally.policy.piece_messages import (
    PieceFault,
    PieceJob,
    PieceOutcome,
    PieceReport,
    PiecesEnded,
)
from amaranthtally.policy.planner import Planner
from amaranthtally.policy.pool_sites import Peer
from amaranthtally.policy.routes import (
    Account,
    CallerLimits,
    CallKind,
    EngineLimits,
    PieceLimits,
    PieceStage,
    Pool,
    Route,
    RouteTable,
    WeightedPool,
    request_rank,
)
from amaranthtally.policy.run_queue import QueuedCall, RunQueue

__all__ = [
    "ANSWER_S",
    "GATEWAY_PARTS",
    "GATEWAY_TICK_S",
    "Account",
    "AccountLimits",
    "Action",
    "AffinityRouter",
    "Answer",
    "Arrival",
    "Ask",
    "AskPeer",
    "AttemptId",
    "CacheEvent",
    "CallKind",
    "CallerLimits",
    "Cancel",
    "Counters",
    "DesiredModels",
    "Endpoint",
    "EndpointDirectory",
    "EngineLimits",
    "EngineModels",
    "Fate",
    "FreeAtPeer",
    "FreeResults",
    "PieceCoordinator",
    "Greet",
    "InvariantError",
    "LoadReport",
    "ModelPlan",
    "ModelUsage",
    "Outcome",
    "Parts",
    "Peer",
    "PeerDirectory",
    "PeerRecord",
    "Piece",
    "PieceJob",
    "PieceFault",
    "PieceLimits",
    "PieceOrder",
    "PieceOutcome",
    "PieceStage",
    "PieceReport",
    "PieceWork",
    "PiecesEnded",
    "Pipeline",
    "Planner",
    "PolicySettings",
    "Pool",
    "QueuedCall",
    "Reason",
    "Refuse",
    "Route",
    "RouteTable",
    "RunPieces",
    "RunQueue",
    "Send",
    "Stage",
    "StageResult",
    "StoredResult",
    "TellPeer",
    "WeightedPool",
    "gateway_settings",
    "plan_model_orders",
    "request_rank",
    "route_arrival",
    "route_pipeline",
]
