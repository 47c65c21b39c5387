"""
Each mechanism of the policy switched off, by name, in a registry.

A switch replaces the least that takes its mechanism away and keeps the rest, so that a
difference is that mechanism's own. None of them is part of the policy.
"""

from collections.abc import Callable, Mapping
from dataclasses import astuple, dataclass, replace
from math import inf

from amaranthtally.policy import (
    AffinityRouter,
    Arrival,
    Endpoint,
    Gatherer,
    Parts,
    PieceFault,
    PieceLimits,
    PieceWork,
    PolicySettings,
)
from amaranthtally.policy.actions import CallFacts
from amaranthtally.policy.admission import ADMITTED, Verdict
from amaranthtally.policy.batcher import LINGER_S, Batcher
from amaranthtally.policy.batches import Batches
from amaranthtally.policy.call_filling import CallFill, Shortage
from amaranthtally.policy.ejection import Ejections
from amaranthtally.policy.piece_graph import PieceGraph
from amaranthtally.policy.piece_queue import Waiting, as_many
from amaranthtally.policy.piece_servers import PieceServer, PieceServers
from amaranthtally.policy.place_queue import PlaceQueue
from amaranthtally.policy.places import NOTHING_READ, Places
from amaranthtally.policy.request_inputs import RequestInputs
from amaranthtally.policy.requests import Request
from amaranthtally.policy.routing import Router
from amaranthtally.policy.stage_plans import StagePlans

__all__ = ["POLICY", "Variant", "variant", "variant_names"]

# Earned by each first attempt: more than any request can spend.
UNBOUNDED_BUDGET = 64.0


def _same_settings(settings: PolicySettings) -> PolicySettings:
    return settings


def _same_arrival(arrival: Arrival) -> Arrival:
    return arrival


POLICY_PARTS = Parts(router=AffinityRouter)


@dataclass(frozen=True, slots=True)
class Variant:
    """A policy: its parts, and what it changes in settings and arrivals."""

    name: str = "policy"
    parts: Parts = POLICY_PARTS
    adapt_settings: Callable[[PolicySettings], PolicySettings] = _same_settings
    adapt_arrival: Callable[[Arrival], Arrival] = _same_arrival


POLICY = Variant()
_VARIANTS: dict[str, Variant] = {POLICY.name: POLICY}


def variant(name: str) -> Variant:
    """Return a variant by name; raises ``KeyError``."""
    return _VARIANTS[name]


def variant_names() -> list[str]:
    """Return the name of each variant, the policy as it is first."""
    return list(_VARIANTS)


def _without(name: str) -> Callable[[Callable[[], Variant]], Callable[[], Variant]]:
    def register(build: Callable[[], Variant]) -> Callable[[], Variant]:
        _VARIANTS[f"no {name}"] = replace(build(), name=f"no {name}")
        return build

    return register


def _with_gatherer(build: Callable[[], Gatherer]) -> Variant:
    return Variant(parts=replace(POLICY.parts, gatherer=build))


def _with_server(build: Callable[[Endpoint, PieceLimits], PieceServer]) -> Variant:
    return _with_gatherer(lambda: Gatherer(Batcher(PieceServers(build))))


# Owners and places


class OwnerOfAll(Places):
    """Calls every endpoint itself, whatever the other entries do."""

    def owner(self, now: float, pool: str, data_centre: str) -> str:
        """Return this entry."""
        return ""


class FirstPlace(StagePlans):
    """Leaves a request where its first stage ran."""

    def place_of(
        self,
        now: float,
        graph: PieceGraph,
        stage: int,
        reader: str,
        on_time_by: float,
        rank: int,
    ) -> str | None:
        """Return where most of what the stage reads is kept."""
        inputs = graph.inputs_of_stage(stage)
        if inputs:
            return inputs[0].data_centre
        return super().place_of(now, graph, stage, reader, on_time_by, rank)


class BlindToCrossing(Places):
    """Takes no account of where results are read."""

    def best(
        self,
        now: float,
        pool: str,
        candidates: Mapping[str, Endpoint],
        reading: Mapping[str, float] = NOTHING_READ,
        spare_s: float = 0.0,
        rank: int = 0,
    ) -> str | None:
        """Return the data centre in which pieces wait least."""
        return super().best(now, pool, candidates, rank=rank)


class Trusting(Places):
    """Goes on to ask peers that did not answer."""

    def peer_failed(self, now: float, peer: str) -> None:
        """Forget that a peer did not answer."""


@_without("owners")
def _no_owners() -> Variant:
    return _with_gatherer(lambda: Gatherer(places=OwnerOfAll()))


@_without("placing of each stage")
def _no_placing() -> Variant:
    return _with_gatherer(lambda: Gatherer(build_plans=FirstPlace))


@_without("weight of crossing")
def _no_crossing() -> Variant:
    return _with_gatherer(lambda: Gatherer(places=BlindToCrossing()))


@_without("doubts about peers")
def _no_doubts() -> Variant:
    return _with_gatherer(lambda: Gatherer(places=Trusting()))


class OfOneRank(Places):
    """Knows one wait of a place for all ranks."""

    def heard(
        self,
        now: float,
        pool: str,
        data_centre: str,
        wait_s: float,
        slower_s: float = 0.0,
        rank: int = 0,
    ) -> None:
        """Learn a wait as if it were that of every rank."""
        super().heard(now, pool, data_centre, wait_s, slower_s)

    def asked(
        self, now: float, pool: str, data_centre: str, more_s: float, rank: int = 0
    ) -> None:
        """Count what was asked for in any rank."""
        super().asked(now, pool, data_centre, more_s)


@_without("waits by rank")
def _no_waits_by_rank() -> Variant:
    return _with_gatherer(lambda: Gatherer(places=OfOneRank()))


# Calls


class Hasty(Batcher):
    """Holds a call for a quarter of the usual time."""

    def _is_due(self, now: float, server: PieceServer, queue: PlaceQueue) -> bool:
        if len(queue) >= server.limits.batch:
            return True
        return any(now - waiting.since >= LINGER_S / 4 for waiting in queue)


class Even(Batcher):
    """Refuses late requests early whether or not something was made of them."""

    def _drop_crowded_out(
        self,
        now: float,
        queue: PlaceQueue,
        servers: list[PieceServer],
        batches: Batches,
    ) -> None:
        places = sum(server.limits.batch for server in servers)
        if queue.on_time(now) < places:
            return
        late = queue.take(lambda waiting: now > waiting.ask.start_by)
        self._tell_fault(now, late, PieceFault.LATE, batches)


class Undivided(PieceLimits):
    """Keeps all pieces of a stage together, also where a call can't hold them."""

    def part_pieces(self, pieces: int) -> int:
        """Return that all go together."""
        return max(1, pieces)


class Impatient(Batcher):
    """Sends a call as soon as there is a piece for it."""

    def _is_due(self, now: float, server: PieceServer, queue: PlaceQueue) -> bool:
        return True


class Hopeful(Batcher):
    """Keeps late requests to the end of their time."""

    def _drop_crowded_out(
        self,
        now: float,
        queue: PlaceQueue,
        servers: list[PieceServer],
        batches: Batches,
    ) -> None:
        return


def _fill_by_piece(
    now: float, queue: list[Waiting], limits: PieceLimits, memory_bytes: float
) -> CallFill:
    """Fill a call with the most urgent pieces, of whichever requests."""
    ranked = sorted(queue, key=lambda waiting: waiting.urgency(now, limits.share_s))
    chosen = tuple(as_many(ranked, limits.batch, memory_bytes))
    is_full = len(chosen) == limits.batch
    shortage = Shortage.NOTHING if is_full else Shortage.WORK
    facts = CallFacts(limits.batch, len(queue), 0.0, memory_bytes, shortage.value)
    return CallFill(chosen, facts)


@_without("holding of calls")
def _no_holding() -> Variant:
    return _with_gatherer(lambda: Gatherer(Impatient()))


@_without("whole requests in a call")
def _no_whole_requests() -> Variant:
    return _with_gatherer(lambda: Gatherer(Batcher(fill=_fill_by_piece)))


@_without("three quarters of the holding of calls")
def _little_holding() -> Variant:
    return _with_gatherer(lambda: Gatherer(Hasty()))


@_without("sparing of begun requests")
def _no_sparing() -> Variant:
    return _with_gatherer(lambda: Gatherer(Even()))


def _undivided(settings: PolicySettings) -> PolicySettings:
    pools = {
        name: replace(pool, pieces=Undivided(*astuple(pool.pieces)))
        if pool.pieces
        else pool
        for name, pool in settings.pools.items()
    }
    return replace(settings, pools=pools)


@_without("parts of large requests")
def _no_parts() -> Variant:
    return Variant(adapt_settings=_undivided)


@_without("early refusal of the late")
def _no_early_refusal() -> Variant:
    return _with_gatherer(lambda: Gatherer(Hopeful()))


# What is known of endpoints


class OfOneSpeed(PieceServer):
    """Takes an endpoint to be as fast as its pool says."""

    def slowness(self, now: float) -> float:
        """Return 1."""
        return 1.0


class NeverAlone(PieceServer):
    """Takes an endpoint to have other callers, so that no input is freed early."""

    def is_alone(self, now: float) -> bool:
        """Return that a call may wait."""
        return False


class AlwaysOpen(PieceServer):
    """Goes on to call an endpoint that failed."""

    def failed(self, now: float) -> None:
        """Forget the failure."""


class Untold(PieceServer):
    """Takes an endpoint to have memory for whatever comes."""

    def room_bytes(self, now: float) -> float:
        """Return that there is no bound."""
        return inf


@_without("learned slowness")
def _no_slowness() -> Variant:
    return _with_server(OfOneSpeed)


@_without("early freeing of inputs")
def _no_early_freeing() -> Variant:
    return _with_server(NeverAlone)


@_without("pause after failed calls")
def _no_pause() -> Variant:
    return _with_server(AlwaysOpen)


@_without("planned memory")
def _no_memory() -> Variant:
    return _with_server(Untold)


# Admission and freeing


class AdmitAllInputs(RequestInputs):
    """Takes in every request, whatever its pieces would wait."""

    def judge(self, now: float, arrival: Arrival, work: PieceWork) -> Verdict:
        """Admit."""
        return ADMITTED


class ReadLate(RequestInputs):
    """Keeps a request's inputs until its first event."""

    def note_sent(self, now: float, request: Request) -> None:
        """Note nothing."""


@_without("admission by stages")
def _no_admission() -> Variant:
    return Variant(parts=replace(POLICY.parts, inputs=AdmitAllInputs))


@_without("freeing before the first event")
def _no_first_freeing() -> Variant:
    return Variant(parts=replace(POLICY.parts, inputs=ReadLate))


# Attempts


class NoEjections(Ejections):
    """Ejects nothing."""

    def failed(self, now: float, endpoint: str, pool: str, pool_size: int) -> bool:
        """Forget the failure."""
        return False


@_without("ejection")
def _no_ejection() -> Variant:
    return Variant(parts=replace(POLICY.parts, ejections=NoEjections))


@_without("affinity")
def _no_affinity() -> Variant:
    return Variant(parts=replace(POLICY.parts, router=Router))


@_without("hedges")
def _no_hedges() -> Variant:
    return Variant(
        adapt_settings=lambda s: replace(s, hedge_budget=0.0, hedge_reserve=0.0)
    )


@_without("bound of retries")
def _no_bound() -> Variant:
    return Variant(adapt_settings=lambda s: replace(s, retry_budget=UNBOUNDED_BUDGET))


@_without("retries")
def _no_retries() -> Variant:
    return Variant(
        adapt_settings=lambda s: replace(s, retry_budget=0.0, retry_reserve=0.0)
    )


# What arrivals say


def _resume_never(arrival: Arrival) -> Arrival:
    if not arrival.streaming:
        return arrival
    pipeline = arrival.pipeline
    stages = tuple(replace(stage, repeatable=False) for stage in pipeline.stages)
    return replace(arrival, pipeline=replace(pipeline, stages=stages))


@_without("ranks")
def _no_ranks() -> Variant:
    return Variant(adapt_arrival=lambda arrival: replace(arrival, priority=0))


@_without("patience")
def _no_patience() -> Variant:
    return Variant(adapt_arrival=lambda arrival: replace(arrival, leaves_at=0.0))


@_without("resumption")
def _no_resumption() -> Variant:
    return Variant(adapt_arrival=_resume_never)
