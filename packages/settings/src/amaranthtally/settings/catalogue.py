"""The keys that operators may set."""

from typing import Any

from amaranthtally.settings.keys import Placement, key
from amaranthtally.settings.kinds import (
    EndpointRegistration,
    flag,
    name,
    names,
    number,
    table,
    text,
    whole,
)
from amaranthtally.settings.tree import Level

__all__ = ["ACCOUNT_KEY", "DRAIN_PREFIX", "ENDPOINT_PREFIX", "NEXT_ACCOUNT_KEY"]

ACCOUNT_KEY = "key_sha256"
NEXT_ACCOUNT_KEY = "next_key_sha256"
ENDPOINT_PREFIX = "endpoint."
DRAIN_PREFIX = "drain."
MAX_DEADLINE_MS = 600_000
DEFAULT_DEADLINE_MS = 4000

AT_FIRM = Placement(frozenset({Level.FIRM}))
AT_ACCOUNT = Placement(frozenset({Level.ACCOUNT}), alone=True)
AT_PIPELINE = Placement(frozenset({Level.PIPELINE}))
NOT_AT_PIPELINE = Placement(frozenset({Level.FIRM, Level.REGION, Level.ACCOUNT}))
DIGEST = text(r"^[0-9a-f]{64}$", "64 hexadecimal digits (SHA-256)")

# Client accounts


@key(ACCOUNT_KEY, DIGEST, placement=AT_ACCOUNT)
def _account_key(_: Any) -> str:
    """SHA-256 of the client account's bearer key."""
    return ""


@key(NEXT_ACCOUNT_KEY, DIGEST, placement=AT_ACCOUNT)
def _next_account_key(_: Any) -> str:
    """SHA-256 of a second key, valid beside the first while keys are rotated."""
    return ""


@key("limit.rate", number(0), unit="requests/s", default=0, placement=NOT_AT_PIPELINE)
def _limit_rate(_: Any) -> str:
    """Requests a second that a client account may send; 0 sets no limit."""
    return ""


@key("limit.burst", number(0), unit="requests", default=0, placement=NOT_AT_PIPELINE)
def _limit_burst(_: Any) -> str:
    """Requests above the rate that a client account may send at once."""
    return ""


@key("limit.share", number(0.01, 1000), default=1, placement=NOT_AT_PIPELINE)
def _limit_share(_: Any) -> str:
    """Weight of a client account when capacity is short."""
    return ""


# Pipelines and stages


@key("stages", names(at_least=1), placement=AT_PIPELINE)
def _stages(value: Any) -> str:
    """Stages of the pipeline, in the order in which they run."""
    if len(set(value)) != len(value):
        return "names a stage twice; give each stage its own name"
    return ""


@key("deadline_ms", whole(1, MAX_DEADLINE_MS), unit="ms", default=DEFAULT_DEADLINE_MS)
def _deadline(_: Any) -> str:
    """Time a request may take when its caller names none."""
    return ""


@key("stage.NAME.pool", name())
def _stage_pool(_: Any) -> str:
    """Pool whose endpoints run the stage; the stage's own name by default."""
    return ""


@key("stage.NAME.model", name(), default="")
def _stage_model(_: Any) -> str:
    """Model, adapter or version that the stage asks for."""
    return ""


@key("stage.NAME.repeatable", flag(), default=True)
def _stage_repeatable(_: Any) -> str:
    """Whether a call may run twice; false for a call with a side effect."""
    return ""


@key("stage.NAME.streams", flag(), default=False)
def _stage_streams(_: Any) -> str:
    """Whether the stage's text is passed on as it is made."""
    return ""


# Endpoints and hosts


@key("endpoint.ID", table(EndpointRegistration), placement=AT_FIRM)
def _endpoint(_: Any) -> str:
    """Registration of an endpoint: its pool, its place, its sidecar's address."""
    return ""


@key("drain.HOST", flag(), default=False, placement=AT_FIRM)
def _drain(_: Any) -> str:
    """Whether the endpoints of a host take no new work."""
    return ""
