"""Traces: a header with the deployment, seed and faults, then one arrival a line."""

import gzip
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec

from amaranthtally.operator.replay.errors import TraceError

__all__ = [
    "EndpointPlan",
    "Fault",
    "FaultKind",
    "Header",
    "LatencyPlan",
    "PipelinePlan",
    "PoolPlan",
    "StagePlan",
    "Trace",
    "TraceArrival",
    "read_trace",
    "write_trace",
]

FORMAT_VERSION = 1


class LatencyPlan(msgspec.Struct, frozen=True):
    """One-way latencies in seconds; all are constant."""

    same_data_centre_s: float
    data_centres_s: float
    regions_s: float


class PoolPlan(msgspec.Struct, frozen=True):
    """
    Endpoints of one kind and how long a call takes there.

    ``service_s`` is the median of a log-normal with ``sigma``. An engine decodes a
    token in ``token_s`` alone and ``batch_slope`` slower for each neighbour.
    ``price`` is the cost of one slot for one second. Its cache events come
    ``event_lag_s`` seconds late, and each ``event_gap``-th never comes.
    """

    name: str
    kind: str
    slots: int
    price: float
    output_bytes: int
    queue_capacity: int = 64
    service_s: float = 0.0
    sigma: float = 0.0
    token_s: float = 0.0
    batch_slope: float = 0.0
    tokens: float = 0.0
    prefill_token_s: float = 0.0
    block_tokens: int = 0
    cache_blocks: int = 0
    event_lag_s: float = 0.0
    event_gap: int = 0
    straggle_rate: float = 0.0
    straggle_factor: float = 1.0


class EndpointPlan(msgspec.Struct, frozen=True):
    """An endpoint and where it stands."""

    id: str
    pool: str
    region: str
    data_centre: str


class StagePlan(msgspec.Struct, frozen=True):
    """A stage as the policy's ``Stage`` wants it."""

    name: str
    pool: str
    model: str = ""
    repeatable: bool = True
    streams: bool = False


class PipelinePlan(msgspec.Struct, frozen=True):
    """
    A pipeline; its deadline in seconds.

    ``weight_attainment`` goes from 0, where cost counts, to 1, where answers do.
    """

    name: str
    stages: list[StagePlan]
    deadline_s: float
    weight_attainment: float = 0.7


class FaultKind(Enum):
    """What goes wrong."""

    SLOW = "slow"
    FAILING = "failing"
    REGION_CUT = "region_cut"
    LATE_LOAD = "late_load"
    COLD_CACHE = "cold_cache"
    BURST = "burst"
    FLOOD = "flood"


class Fault(msgspec.Struct, frozen=True):
    """
    A fault from ``start_s`` to ``end_s``.

    ``endpoints`` are those it strikes. ``factor`` is how many times slower a call
    is, how many times more arrivals come, or the lag of load reports in seconds.
    """

    kind: FaultKind
    start_s: float
    end_s: float
    endpoints: list[str] = []
    region: str = ""
    account: str = ""
    factor: float = 1.0


class Header(msgspec.Struct, frozen=True):
    """What a trace was made from; ``policy`` holds fields of ``PolicySettings``."""

    deployment: str
    scenario: str
    seed: int
    duration_s: float
    latency: LatencyPlan
    region_byte_price: float
    regions: dict[str, str]
    accounts: list[str]
    pools: list[PoolPlan]
    endpoints: list[EndpointPlan]
    pipelines: list[PipelinePlan]
    faults: list[Fault] = []
    policy: dict[str, Any] = {}
    version: int = FORMAT_VERSION


class TraceArrival(msgspec.Struct, frozen=True):
    """A request at its entry; ``at`` in seconds from the start of the trace."""

    at: float
    id: str
    account: str
    pipeline: str
    region: str
    input_bytes: int
    prefix: list[int] = []


class Trace(msgspec.Struct, frozen=True):
    """A whole trace."""

    header: Header
    arrivals: list[TraceArrival]


def read_trace(path: Path) -> Trace:
    """Read a trace, compressed or not; raises ``TraceError``."""
    try:
        raw = path.read_bytes()
        lines = (gzip.decompress(raw) if path.suffix == ".gz" else raw).splitlines()
        header = msgspec.json.decode(lines[0], type=Header)
        decoder = msgspec.json.Decoder(TraceArrival)
        arrivals = [decoder.decode(line) for line in lines[1:]]
    except (OSError, EOFError, IndexError, msgspec.DecodeError) as error:
        raise TraceError(path, str(error)) from error
    if header.version != FORMAT_VERSION:
        raise TraceError(path, f"format {header.version}, not {FORMAT_VERSION}")
    return Trace(header, arrivals)


def write_trace(path: Path, trace: Trace) -> None:
    """Write a trace; compressed where the name ends in ``.gz``, always alike."""
    lines = [msgspec.json.encode(item) for item in (trace.header, *trace.arrivals)]
    raw = b"\n".join(lines) + b"\n"
    path.write_bytes(gzip.compress(raw, mtime=0) if path.suffix == ".gz" else raw)
