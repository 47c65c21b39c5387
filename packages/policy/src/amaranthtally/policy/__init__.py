"""
All decisions of the system, free of I/O, clocks and global random numbers.

``Planner`` decides for an entry and ``RunQueue`` for a sidecar. Their methods take
time stamps in seconds of any monotonic clock, so that tests and simulations can run
them on virtual time. The planner returns the actions that its caller has to execute.
"""

from amaranthtally.policy.actions import (
    Action,
    Answer,
    AskPermits,
    Cancel,
    CheckEndpoint,
    ExchangeLoads,
    FairSharesChanged,
    FreeAtPeer,
    FreeResults,
    PartChanged,
    PieceSpec,
    PollLoad,
    QueryAttempt,
    RateLimitChanged,
    RefusalReason,
    Refuse,
    ReportEnds,
    ReportSuccess,
    ReportToPeer,
    RequestOutcome,
    RunPieces,
    Send,
    SendUsage,
    SpreadPartNotices,
    SpreadRateLimits,
    SubmitToPeer,
    UsageFault,
    WithdrawAtPeer,
)
from amaranthtally.policy.affinity import AffinityRouter
from amaranthtally.policy.connections import (
    CALLER_SHARE,
    PEER_SHARE,
    SERVICE_SHARE,
    ConnectionLimits,
    ConnectionPhase,
    ConnectionState,
    caller_connection_limits,
    is_overdue,
    most_connections,
    pick_evicted,
)
from amaranthtally.policy.endpoint_directory import EndpointDirectory
from amaranthtally.policy.events import (
    UNREACHABLE,
    Arrival,
    AttemptOutcome,
    AttemptResult,
    CacheEvent,
    LoadReport,
    PieceWork,
)
from amaranthtally.policy.fair_shares import FairShares, SharesState, UsageSender
from amaranthtally.policy.gateway_policy import (
    GATEWAY_COMPONENTS,
    GATEWAY_TICK_S,
    RESPONSE_MARGIN_S,
    gateway_settings,
    route_arrival,
    route_pipeline,
)
from amaranthtally.policy.home_regions import HomeRegions, Regions
from amaranthtally.policy.invariants import InvariantError
from amaranthtally.policy.limit_messages import (
    PermitAnswer,
    PermitAsk,
    RateLimitNotice,
)
from amaranthtally.policy.load_messages import LoadFigures, LoadMessage, SharedReport
from amaranthtally.policy.load_view import EndpointView, LoadView
from amaranthtally.policy.memory_budget import (
    MemoryBudget,
    ResponseSizes,
    build_memory_budget,
    usable_bytes,
)
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
from amaranthtally.policy.not_run import CallEnd, NotRunProof, proof_of_not_run
from amaranthtally.policy.part_losses import PartEnd
from amaranthtally.policy.part_notices import PartNotice, PartState
from amaranthtally.policy.part_successes import PartKey, PartSuccess
from amaranthtally.policy.peer_directory import PeerDirectory, PeerRecord
from amaranthtally.policy.peer_group import PeerGroup
from amaranthtally.policy.piece_coordinator import PieceCoordinator
from amaranthtally.policy.piece_events import PieceEvents
from amaranthtally.policy.piece_graph import Piece, StoredResult
from amaranthtally.policy.piece_messages import (
    PieceFault,
    PieceJob,
    PieceOutcome,
    PieceReport,
    PiecesEnded,
)
from amaranthtally.policy.planner import Planner
from amaranthtally.policy.planner_components import PlannerComponents
from amaranthtally.policy.pool_sites import Peer
from amaranthtally.policy.prompt_guard import PromptGuard
from amaranthtally.policy.rendezvous import duty_holder
from amaranthtally.policy.replica_holders import (
    lookup_rounds,
    recording_entry,
    records_alone,
    replica_holders,
)
from amaranthtally.policy.request_key import RequestKey, request_key
from amaranthtally.policy.request_ledger import Counters
from amaranthtally.policy.response_limits import (
    DEFAULT_STAGE_LIMITS,
    PLATFORM_LIMIT,
    WEIGHTS_LIMIT,
    ResponseKind,
    ResponseLimit,
    ResponseLimits,
    StageLimits,
    build_response_limits,
    build_stage_limits,
)
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
from amaranthtally.policy.sending import EndpointBackoffs, EndpointLimits
from amaranthtally.policy.stream_origins import (
    OriginEntry,
    StreamOrigin,
    StreamOrigins,
)
from amaranthtally.policy.usage_messages import (
    AccountUsage,
    Resource,
    UsageReport,
    Work,
)
from amaranthtally.policy.version_history import VersionHistory
from amaranthtally.policy.watchers import (
    WatcherSelection,
    elect_deputies,
    elect_watchers,
    ring_neighbours,
)

__all__ = [
    "CALLER_SHARE",
    "PEER_SHARE",
    "SERVICE_SHARE",
    "ConnectionLimits",
    "ConnectionPhase",
    "ConnectionState",
    "caller_connection_limits",
    "is_overdue",
    "most_connections",
    "pick_evicted",
    "GATEWAY_COMPONENTS",
    "GATEWAY_TICK_S",
    "RESPONSE_MARGIN_S",
    "UNREACHABLE",
    "Account",
    "AccountLimits",
    "AccountUsage",
    "Action",
    "AffinityRouter",
    "Answer",
    "Arrival",
    "AskPermits",
    "AttemptId",
    "AttemptOutcome",
    "AttemptResult",
    "CacheEvent",
    "CallEnd",
    "CallKind",
    "CallerLimits",
    "Cancel",
    "CheckEndpoint",
    "Counters",
    "DesiredModels",
    "Endpoint",
    "EndpointBackoffs",
    "EndpointDirectory",
    "EndpointLimits",
    "EndpointView",
    "EngineLimits",
    "EngineModels",
    "ExchangeLoads",
    "FairShares",
    "FairSharesChanged",
    "FreeAtPeer",
    "FreeResults",
    "HomeRegions",
    "InvariantError",
    "LoadFigures",
    "LoadMessage",
    "LoadReport",
    "LoadView",
    "MemoryBudget",
    "ModelPlan",
    "ModelUsage",
    "NotRunProof",
    "OriginEntry",
    "PartChanged",
    "PartEnd",
    "PartKey",
    "PartNotice",
    "PartState",
    "PartSuccess",
    "Peer",
    "PeerDirectory",
    "PeerGroup",
    "PeerRecord",
    "PermitAnswer",
    "PermitAsk",
    "Piece",
    "PieceCoordinator",
    "PieceEvents",
    "PieceFault",
    "PieceJob",
    "PieceLimits",
    "PieceOutcome",
    "PieceReport",
    "PieceSpec",
    "PieceStage",
    "PieceWork",
    "PiecesEnded",
    "Pipeline",
    "Planner",
    "PlannerComponents",
    "PolicySettings",
    "PollLoad",
    "Pool",
    "PromptGuard",
    "QueryAttempt",
    "QueuedCall",
    "RateLimitChanged",
    "RateLimitNotice",
    "RefusalReason",
    "Refuse",
    "Regions",
    "ReportEnds",
    "ReportSuccess",
    "ReportToPeer",
    "RequestKey",
    "RequestOutcome",
    "Resource",
    "ResponseKind",
    "ResponseLimit",
    "StageLimits",
    "DEFAULT_STAGE_LIMITS",
    "PLATFORM_LIMIT",
    "WEIGHTS_LIMIT",
    "ResponseLimits",
    "ResponseSizes",
    "Route",
    "RouteTable",
    "RunPieces",
    "RunQueue",
    "Send",
    "SendUsage",
    "SharedReport",
    "SharesState",
    "SpreadPartNotices",
    "SpreadRateLimits",
    "Stage",
    "StoredResult",
    "StreamOrigin",
    "StreamOrigins",
    "SubmitToPeer",
    "UsageFault",
    "UsageReport",
    "UsageSender",
    "VersionHistory",
    "WatcherSelection",
    "WeightedPool",
    "WithdrawAtPeer",
    "Work",
    "build_memory_budget",
    "build_response_limits",
    "build_stage_limits",
    "duty_holder",
    "elect_deputies",
    "elect_watchers",
    "gateway_settings",
    "lookup_rounds",
    "plan_model_orders",
    "proof_of_not_run",
    "recording_entry",
    "records_alone",
    "replica_holders",
    "request_key",
    "request_rank",
    "ring_neighbours",
    "route_arrival",
    "route_pipeline",
    "usable_bytes",
]
