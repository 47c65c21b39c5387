"""Trace files: a header line with deployment, seed and faults, then arrival lines."""

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
    """Constant one-way latencies, in seconds."""

    same_data_centre_s: float
    data_centres_s: float
    regions_s: float


class PoolPlan(msgspec.Struct, frozen=True):
    """
    A pool: the kind of its endpoints and the distribution of call times.

    ``service_s`` is the median of a log-normal distribution with ``sigma``. An engine
    decodes a token of a call that runs alone in ``token_s`` seconds; each other call
    in the batch adds the fraction ``batch_slope`` of that time. ``price`` is the cost
    of one slot for one second. Cache events are delivered after ``event_lag_s``
    seconds, and every ``event_gap``-th event is lost. The share ``straggle_rate`` of
    the calls takes ``straggle_factor`` times as long.
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
    """An endpoint and its location."""

    id: str
    pool: str
    region: str
    data_centre: str


class StagePlan(msgspec.Struct, frozen=True):
    """A stage, with the fields of the policy's ``Stage`` except for the price."""

    name: str
    pool: str
    model: str = ""
    repeatable: bool = True
    streams: bool = False


class PipelinePlan(msgspec.Struct, frozen=True):
    """
    A pipeline; ``deadline_s`` is counted from the arrival of a request.

    ``weight_attainment`` is from 0, where only cost counts, to 1, where only answers
    in time count.
    """

    name: str
    stages: list[StagePlan]
    deadline_s: float
    weight_attainment: float = 0.7


class FaultKind(Enum):
    """Kind of an injected fault."""

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

    ``endpoints`` are the affected endpoints. Depending on ``kind``, ``factor``
    multiplies the time of a call or the rate of arrivals, or it is the lag of load
    reports in seconds.
    """

    kind: FaultKind
    start_s: float
    end_s: float
    endpoints: list[str] = []
    region: str = ""
    account: str = ""
    factor: float = 1.0


class Header(msgspec.Struct, frozen=True):
    """Inputs that a trace was made from; ``policy`` overrides ``PolicySettings``."""

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
    """Arrival of a request at its entry; ``at`` is seconds from the trace's start."""

    at: float
    id: str
    account: str
    pipeline: str
    region: str
    input_bytes: int
    prefix: list[int] = []


class Trace(msgspec.Struct, frozen=True):
    """A trace: its header and its arrivals in order of time."""

    header: Header
    arrivals: list[TraceArrival]


def read_trace(path: Path) -> Trace:
    """Read a trace, gzip-compressed or plain; raises ``TraceError``."""
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
    """Write a trace, gzipped if the name ends in ``.gz``, with reproducible bytes."""
    lines = [msgspec.json.encode(item) for item in (trace.header, *trace.arrivals)]
    raw = b"\n".join(lines) + b"\n"
    path.write_bytes(gzip.compress(raw, mtime=0) if path.suffix == ".gz" else raw)
