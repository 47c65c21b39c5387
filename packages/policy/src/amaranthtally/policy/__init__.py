"""
Every decision of the system, without I/O, clocks or global random numbers.

``Planner`` decides for an entry and ``RunQueue`` for a sidecar. Both take events
with a time stamp, in seconds of any monotonic clock, and return actions.
"""

from amaranthtally.policy.actions import (
    Action,
    Answer,
    Ask,
    Cancel,
    Greet,
    Outcome,
    Reason,
    Refuse,
    Send,
)
from amaranthtally.policy.events import (
    Arrival,
    CacheEvent,
    Fate,
    LoadReport,
    StageResult,
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
    EngineModels,
    ModelPlan,
    ModelUse,
    WantedModels,
    plan_orders,
)
from amaranthtally.policy.parts import Parts
from amaranthtally.policy.planner import Planner
from amaranthtally.policy.run_queue import QueuedCall, RunQueue

__all__ = [
    "AccountLimits",
    "Action",
    "Answer",
    "Arrival",
    "Ask",
    "AttemptId",
    "CacheEvent",
    "Cancel",
    "Counters",
    "Endpoint",
    "EngineModels",
    "Fate",
    "Greet",
    "InvariantError",
    "LoadReport",
    "ModelPlan",
    "ModelUse",
    "Outcome",
    "Parts",
    "Pipeline",
    "Planner",
    "PolicySettings",
    "QueuedCall",
    "Reason",
    "Refuse",
    "RunQueue",
    "Send",
    "Stage",
    "StageResult",
    "WantedModels",
    "plan_orders",
]
