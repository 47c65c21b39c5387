"""The policy without what decides on calls with pieces."""

from dataclasses import astuple, replace
from math import inf

from amaranthtally.policy import Gatherer, PieceFault, PieceLimits, PolicySettings
from amaranthtally.policy.actions import CallFacts
from amaranthtally.policy.batcher import LINGER_S, Batcher
from amaranthtally.policy.batches import Batches
from amaranthtally.policy.call_filling import CallFill, Shortage
from amaranthtally.policy.piece_queue import Waiting, as_many
from amaranthtally.policy.piece_servers import PieceServer
from amaranthtally.policy.place_queue import PlaceQueue
from amaranthtally.simulator.variants import (
    Variant,
    with_gatherer,
    with_server,
    without,
)

__all__: list[str] = []


class ShortHolding(Batcher):
    """Holds a call for a quarter of the usual time."""

    def _is_due(self, now: float, server: PieceServer, queue: PlaceQueue) -> bool:
        if len(queue) >= server.limits.batch:
            return True
        return any(now - waiting.since >= LINGER_S / 4 for waiting in queue)


class WithoutSparing(Batcher):
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


class UndividedLimits(PieceLimits):
    """Keeps all pieces of a stage together, also where a call can't hold them."""

    def part_pieces(self, pieces: int) -> int:
        """Return that all go together."""
        return max(1, pieces)


class WithoutHolding(Batcher):
    """Sends a call as soon as there is a piece for it."""

    def _is_due(self, now: float, server: PieceServer, queue: PlaceQueue) -> bool:
        return True


class WithoutEarlyRefusal(Batcher):
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


@without("holding of calls")
def _no_holding() -> Variant:
    return with_gatherer(lambda: Gatherer(WithoutHolding()))


@without("whole requests in a call")
def _no_whole_requests() -> Variant:
    return with_gatherer(lambda: Gatherer(Batcher(fill=_fill_by_piece)))


@without("three quarters of the holding of calls")
def _little_holding() -> Variant:
    return with_gatherer(lambda: Gatherer(ShortHolding()))


@without("sparing of begun requests")
def _no_sparing() -> Variant:
    return with_gatherer(lambda: Gatherer(WithoutSparing()))


def _undivided(settings: PolicySettings) -> PolicySettings:
    pools = {
        name: replace(pool, pieces=UndividedLimits(*astuple(pool.pieces)))
        if pool.pieces
        else pool
        for name, pool in settings.pools.items()
    }
    return replace(settings, pools=pools)


@without("parts of large requests")
def _no_parts() -> Variant:
    return Variant(adapt_settings=_undivided)


@without("early refusal of the late")
def _no_early_refusal() -> Variant:
    return with_gatherer(lambda: Gatherer(WithoutEarlyRefusal()))


# What is known of endpoints


class WithoutSlowness(PieceServer):
    """Takes an endpoint to be as fast as its pool says."""

    def slowness(self, now: float) -> float:
        """Return 1."""
        return 1.0


class WithoutEarlyFreeing(PieceServer):
    """Takes an endpoint to have other callers, so that no input is freed early."""

    def is_alone(self, now: float) -> bool:
        """Return that a call may wait."""
        return False


class WithoutPause(PieceServer):
    """Goes on to call an endpoint that failed."""

    def failed(self, now: float) -> None:
        """Forget the failure."""


class UnboundedMemory(PieceServer):
    """Takes an endpoint to have memory for whatever comes."""

    def room_bytes(self, now: float) -> float:
        """Return that there is no bound."""
        return inf


@without("learned slowness")
def _no_slowness() -> Variant:
    return with_server(WithoutSlowness)


@without("early freeing of inputs")
def _no_early_freeing() -> Variant:
    return with_server(WithoutEarlyFreeing)


@without("pause after failed calls")
def _no_pause() -> Variant:
    return with_server(WithoutPause)


@without("planned memory")
def _no_memory() -> Variant:
    return with_server(UnboundedMemory)
