"""Variants of the policy without one of the mechanisms that plan piece calls."""

from dataclasses import astuple, replace
from functools import partial
from math import inf

from amaranthtally.policy import PieceLimits, PolicySettings
from amaranthtally.policy.actions import CallDetails
from amaranthtally.policy.batcher import LINGER_S, Batcher
from amaranthtally.policy.call_filling import CallFill, Shortage
from amaranthtally.policy.piece_queue import QueuedPiece, take_fitting
from amaranthtally.policy.piece_servers import PieceServer
from amaranthtally.policy.site_queue import SiteQueue
from amaranthtally.simulator.variants import (
    with_batcher,
    with_server,
    with_settings,
    without,
)

__all__: list[str] = []

without("holding of calls", with_batcher)(partial(Batcher, linger_s=0.0))
without("three quarters of the holding of calls", with_batcher)(
    partial(Batcher, linger_s=LINGER_S / 4)
)


def fill_by_piece(
    now: float, queue: list[QueuedPiece], limits: PieceLimits, memory_bytes: float
) -> CallFill:
    """Fill a call with the most urgent pieces of any requests."""
    ranked = sorted(queue, key=lambda piece: piece.urgency(now, limits.piece_share_s))
    chosen = tuple(take_fitting(ranked, limits.batch, memory_bytes))
    is_full = len(chosen) == limits.batch
    shortage = Shortage.NONE if is_full else Shortage.WORK
    details = CallDetails(limits.batch, len(queue), 0.0, memory_bytes, shortage.value)
    return CallFill(chosen, details)


without("whole requests in a call", with_batcher)(partial(Batcher, fill=fill_by_piece))


@without("sparing of begun requests", with_batcher)
class RefuseStartedRequests(Batcher):
    """Refuses late requests early even if some of their pieces are already computed."""

    def _take_crowded_out(self, now: float, queue: SiteQueue) -> list[QueuedPiece]:
        return queue.take(lambda piece: now > piece.job.start_by)


@without("early refusal of the late", with_batcher)
class NoEarlyRefusal(Batcher):
    """Keeps late requests queued until their deadline."""

    def _take_crowded_out(self, now: float, queue: SiteQueue) -> list[QueuedPiece]:
        return []


class UndividedLimits(PieceLimits):
    """Keeps all pieces of a stage together even if they exceed one call."""

    def part_size(self, pieces: int) -> int:
        """Return the number of all pieces."""
        return max(1, pieces)


@without("parts of large requests", with_settings)
def without_parts(settings: PolicySettings) -> PolicySettings:
    """Return settings that never divide the pieces of a stage into parts."""
    pools = {
        name: replace(pool, pieces=UndividedLimits(*astuple(pool.pieces)))
        if pool.pieces
        else pool
        for name, pool in settings.pools.items()
    }
    return replace(settings, pools=pools)


# Endpoint statistics


@without("learned slowness", with_server)
class ConfiguredSpeed(PieceServer):
    """Assumes that an endpoint runs at the speed configured for its pool."""

    def slowness(self, now: float) -> float:
        """Return 1."""
        return 1.0


@without("early freeing of inputs", with_server)
class NoEarlyFreeing(PieceServer):
    """Assumes that an endpoint has other callers, so that no input is freed early."""

    def is_only_caller(self, now: float) -> bool:
        """Return ``False``: calls of other entries may be queued at the endpoint."""
        return False


@without("pause after failed calls", with_server)
class NoPauseAfterFailure(PieceServer):
    """Calls an endpoint again immediately after a failed call."""

    def note_failure(self, now: float) -> None:
        """Ignore the failure."""


@without("planned memory", with_server)
class UnboundedMemory(PieceServer):
    """Assumes that an endpoint has unlimited memory."""

    def free_bytes(self, now: float) -> float:
        """Return infinity."""
        return inf
