"""The policy without what decides on calls with pieces."""

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
    of_batcher,
    of_server,
    of_settings,
    without,
)

__all__: list[str] = []

without("holding of calls", of_batcher)(partial(Batcher, linger_s=0.0))
without("three quarters of the holding of calls", of_batcher)(
    partial(Batcher, linger_s=LINGER_S / 4)
)


def fill_by_piece(
    now: float, queue: list[QueuedPiece], limits: PieceLimits, memory_bytes: float
) -> CallFill:
    """Fill a call with the most urgent pieces, of whichever requests."""
    ranked = sorted(
        queue, key=lambda waiting: waiting.urgency(now, limits.piece_share_s)
    )
    chosen = tuple(take_fitting(ranked, limits.batch, memory_bytes))
    is_full = len(chosen) == limits.batch
    shortage = Shortage.NONE if is_full else Shortage.WORK
    details = CallDetails(limits.batch, len(queue), 0.0, memory_bytes, shortage.value)
    return CallFill(chosen, details)


without("whole requests in a call", of_batcher)(partial(Batcher, fill=fill_by_piece))


@without("sparing of begun requests", of_batcher)
class WithoutSparing(Batcher):
    """Refuses late requests early whether or not something was made of them."""

    def _take_crowded_out(self, now: float, queue: SiteQueue) -> list[QueuedPiece]:
        return queue.take(lambda waiting: now > waiting.job.start_by)


@without("early refusal of the late", of_batcher)
class WithoutEarlyRefusal(Batcher):
    """Keeps late requests to the end of their time."""

    def _take_crowded_out(self, now: float, queue: SiteQueue) -> list[QueuedPiece]:
        return []


class UndividedLimits(PieceLimits):
    """Keeps all pieces of a stage together, also where a call can't hold them."""

    def part_size(self, pieces: int) -> int:
        """Return that all go together."""
        return max(1, pieces)


@without("parts of large requests", of_settings)
def without_parts(settings: PolicySettings) -> PolicySettings:
    """Return settings by which the pieces of a stage stay together."""
    pools = {
        name: replace(pool, pieces=UndividedLimits(*astuple(pool.pieces)))
        if pool.pieces
        else pool
        for name, pool in settings.pools.items()
    }
    return replace(settings, pools=pools)


# What is known of endpoints


@without("learned slowness", of_server)
class WithoutSlowness(PieceServer):
    """Takes an endpoint to be as fast as its pool says."""

    def slowness(self, now: float) -> float:
        """Return 1."""
        return 1.0


@without("early freeing of inputs", of_server)
class WithoutEarlyFreeing(PieceServer):
    """Takes an endpoint to have other callers, so that no input is freed early."""

    def is_only_caller(self, now: float) -> bool:
        """Return that a call may wait."""
        return False


@without("pause after failed calls", of_server)
class WithoutPause(PieceServer):
    """Goes on to call an endpoint that failed."""

    def note_failure(self, now: float) -> None:
        """Forget the failure."""


@without("planned memory", of_server)
class UnboundedMemory(PieceServer):
    """Takes an endpoint to have memory for whatever comes."""

    def free_bytes(self, now: float) -> float:
        """Return that there is no bound."""
        return inf
