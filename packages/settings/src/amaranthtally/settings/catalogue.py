"""Registers the keys that operators may set."""

from typing import Any

from amaranthtally.settings.keys import Placement, key
from amaranthtally.settings.kinds import (
    EndpointRegistration,
    boolean,
    integer,
    model,
    name,
    names,
    number,
    table,
    text,
)
from amaranthtally.settings.tree import Level

__all__ = [
    "ACCOUNT_KEY",
    "DRAIN_PREFIX",
    "ENDPOINT_PREFIX",
    "EVACUATION_PREFIX",
    "HOME_REGIONS_KEY",
    "MAX_DEADLINE_MS",
    "NEXT_ACCOUNT_KEY",
]

ACCOUNT_KEY = "key_sha256"
NEXT_ACCOUNT_KEY = "next_key_sha256"
ENDPOINT_PREFIX = "endpoint."
DRAIN_PREFIX = "drain."
EVACUATION_PREFIX = "evacuate."
HOME_REGIONS_KEY = "home_regions"
MAX_DEADLINE_MS = 600_000
DEFAULT_DEADLINE_MS = 4000

AT_FIRM = Placement(frozenset({Level.FIRM}))
AT_ACCOUNT = Placement(frozenset({Level.ACCOUNT}), single_level=True)
AT_ACCOUNT_OR_PIPELINE = Placement(
    frozenset({Level.ACCOUNT, Level.PIPELINE}), single_level=True
)
AT_PIPELINE = Placement(frozenset({Level.PIPELINE}))
AT_FIRM_OR_REGION = Placement(frozenset({Level.FIRM, Level.REGION}))
NOT_AT_PIPELINE = Placement(frozenset({Level.FIRM, Level.REGION, Level.ACCOUNT}))
DIGEST = text(r"^[0-9a-f]{64}$", "64 hexadecimal digits (SHA-256)")

# Client accounts


@key(ACCOUNT_KEY, DIGEST, placement=AT_ACCOUNT)
def _account_key(_: Any) -> str:
    """SHA-256 of the client account's bearer key."""
    return ""


@key(NEXT_ACCOUNT_KEY, DIGEST, placement=AT_ACCOUNT)
def _next_account_key(_: Any) -> str:
    """SHA-256 of a second key, valid in addition to the first during a key rotation."""
    return ""


@key("limit.rate", number(0), unit="requests/s", default=0, placement=NOT_AT_PIPELINE)
def _limit_rate(_: Any) -> str:
    """Requests per second that a client account may send; 0 sets no limit."""
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


@key("deadline_ms", integer(1, MAX_DEADLINE_MS), unit="ms", default=DEFAULT_DEADLINE_MS)
def _deadline(_: Any) -> str:
    """Time a request may take when its caller names none."""
    return ""


@key("stage.NAME.pool", name())
def _stage_pool(_: Any) -> str:
    """Pool whose endpoints run the stage; the stage's own name by default."""
    return ""


@key("stage.NAME.model", model(), default="")
def _stage_model(_: Any) -> str:
    """Model that the stage requests: BASE, BASE+ADAPTER, or either @VERSION."""
    return ""


@key("stage.NAME.repeatable", boolean(), default=True)
def _stage_repeatable(_: Any) -> str:
    """Whether a call may run twice; false for a call with a side effect."""
    return ""


@key("stage.NAME.streams", boolean(), default=False)
def _stage_streams(_: Any) -> str:
    """Whether the stage's text is streamed to the caller as it is generated."""
    return ""


@key("stage.NAME.price_per_s", number(0), unit="currency/s", default=0.0005)
def _stage_price(value: Any) -> str:
    """Price of one second of the stage's endpoint."""
    return "" if value > 0 else "must be above 0; give the price of a second"


# Policy


@key("weight.attainment", number(0, 1), default=0.7)
def _weight(_: Any) -> str:
    """Weight of meeting deadlines (1) against the cost of the stages (0)."""
    return ""


@key(
    "traffic.price_per_gb",
    number(0),
    unit="currency/GB",
    default=0.02,
    placement=AT_FIRM_OR_REGION,
)
def _traffic_price(_: Any) -> str:
    """Price of traffic between regions."""
    return ""


@key(
    "region.latency_ms",
    number(0),
    unit="ms",
    default=12,
    placement=AT_FIRM_OR_REGION,
)
def _region_latency(_: Any) -> str:
    """One-way latency to other regions, used until it has been measured."""
    return ""


@key("admission.headroom", number(0.1, 1), default=0.75, placement=AT_FIRM_OR_REGION)
def _headroom(_: Any) -> str:
    """Share of a deadline that the predicted completion may use."""
    return ""


@key("retry.budget", number(0, 1), default=0.2, placement=AT_FIRM_OR_REGION)
def _retry_budget(_: Any) -> str:
    """Retries allowed for each first attempt."""
    return ""


@key("hedge.budget", number(0, 1), default=0.05, placement=AT_FIRM_OR_REGION)
def _hedge_budget(_: Any) -> str:
    """Hedges allowed for each first attempt."""
    return ""


@key("entries", integer(1, 100_000), default=1, placement=AT_FIRM_OR_REGION)
def _entries(_: Any) -> str:
    """Entries that share each client account's limit."""
    return ""


# Places


@key(HOME_REGIONS_KEY, names(at_least=1), placement=AT_ACCOUNT_OR_PIPELINE)
def _home_regions(_: Any) -> str:
    """Only regions that serve the account or the pipeline; where both are set, both."""
    return ""


@key("evacuate.DC", boolean(), default=False, placement=AT_FIRM)
def _evacuate(_: Any) -> str:
    """Whether a data centre is evacuated, so that its endpoints are sent nothing."""
    return ""


# Endpoints and hosts


@key("endpoint.ID", table(EndpointRegistration), placement=AT_FIRM)
def _endpoint(value: Any) -> str:
    """Registration of an endpoint: pool, location, sidecar address, models, role."""
    models = value.get("models", [])
    slots = value.get("model_slots", 0)
    if len(set(models)) != len(models):
        return "names a model twice; name each once"
    if slots and len(models) > slots:
        return f"{len(models)} models are more than model_slots {slots}; take some off"
    return ""


@key("drain.HOST", boolean(), default=False, placement=AT_FIRM)
def _drain(_: Any) -> str:
    """Whether a host is drained, so that its endpoints accept no new work."""
    return ""
