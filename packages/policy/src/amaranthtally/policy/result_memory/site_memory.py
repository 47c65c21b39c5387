"""The memory for results at the pool sites that this entry owns."""

from collections.abc import Container, Iterable

from amaranthtally.policy.call_filling import CallFill, FillCall
from amaranthtally.policy.piece_graph import Piece
from amaranthtally.policy.piece_messages import PieceJob
from amaranthtally.policy.piece_queue import QueuedPiece
from amaranthtally.policy.piece_servers import (
    PieceServer,
    PieceServers,
    StoredRecord,
)
from amaranthtally.policy.result_memory.hold_times import HoldTimes
from amaranthtally.policy.result_memory.reservations import Reservations
from amaranthtally.policy.result_memory.room_waits import time_until_room_s

__all__ = ["SiteMemory"]


class SiteMemory:
    """
    Reserves memory for queued pieces, and predicts when a result will find room.

    Memory is reserved for pieces of started requests that can be on time: the pieces
    computed for them are wasted if the next one finds no room. Times are time stamps in
    seconds.
    """

    def __init__(self, servers: PieceServers) -> None:
        self._servers = servers
        self._reservations = Reservations()
        self._holds = HoldTimes()

    def reservation_count(self, now: float) -> int:
        """Return the number of pieces for which memory is reserved."""
        return self._reservations.count(now)

    def reserved_bytes(self, now: float, server: PieceServer) -> float:
        """Return the bytes that are reserved at an endpoint."""
        pieces = self._reservations.pieces_at(now, server)
        return self._reservations.reserved_bytes(server) if pieces else 0.0

    def servers_changed(self) -> None:
        """End the reservations at endpoints that are gone or were replaced."""
        self._reservations.retain(self._servers)

    def piece_queued(self, now: float, job: PieceJob) -> None:
        """Reserve memory for a piece of a started request, if there is any."""
        if not (job.is_started or job.inputs) or job.start_by < now:
            return
        servers = self._servers.at_site(job.pool, job.data_centre)
        limited = [server for server in servers if server.limits.memory_bytes]
        self._reservations.reserve(
            now, job.piece, job.result_bytes, job.deadline, limited
        )

    def pieces_removed(self, pieces: Iterable[Piece]) -> None:
        """End the reservations of pieces that are sent, refused or withdrawn."""
        self._reservations.release(pieces)

    def result_freed(self, pool: str, held_s: float) -> None:
        """Learn for how long results of a pool are stored, in seconds."""
        self._holds.add(pool, held_s)

    def fill(
        self,
        now: float,
        server: PieceServer,
        queue: list[QueuedPiece],
        fill_call: FillCall,
    ) -> CallFill:
        """
        Choose pieces for a call; less urgent ones leave the room that is reserved.

        Those that are as urgent or more may take it. Otherwise a request that has begun
        would go before them, and calls would hold fewer pieces.
        """
        free_bytes = server.free_bytes(now)
        fill = fill_call(now, queue, server.limits, free_bytes)
        reserved = self._reservations.pieces_at(now, server)
        if not reserved:
            return fill
        waiting = _left_out(queue, fill, reserved)
        if waiting and _bytes_of(fill.pieces) + _bytes_of(waiting) > free_bytes:
            first = min(_rank(now, queued) for queued in waiting)
            urgent = [queued for queued in queue if _rank(now, queued) <= first]
            fill = fill_call(now, urgent, server.limits, free_bytes)
        left_bytes = free_bytes - _bytes_of(fill.pieces)
        self._reservations.shrink(server, left_bytes, _pieces_of(fill))
        return fill

    def room_wait_s(
        self, now: float, pool: str, data_centre: str, size_bytes: float
    ) -> float:
        """Return how long a result waits for room at a site, in seconds."""
        servers = self._servers.at_site(pool, data_centre)
        return min(
            (self._room_wait_s(now, server, size_bytes) for server in servers),
            default=0.0,
        )

    def _room_wait_s(self, now: float, server: PieceServer, size_bytes: float) -> float:
        limits = server.limits
        if not limits.memory_bytes:
            return 0.0
        free_bytes = server.free_bytes(now) - self._reservations.reserved_bytes(server)
        # Until one is observed, results are taken to be read during the next call.
        learned_s = self._holds.mean_s(server.endpoint.pool)
        hold_s = learned_s or limits.full_call_time_s()
        releases = [
            (
                min(stored.expires_at, now + _remaining_s(now, stored, hold_s)),
                stored.size_bytes,
            )
            for stored in server.stored.values()
        ]
        releases += [
            (server.busy_until + hold_s, call.result_bytes)
            for call in server.calls.values()
        ]
        wait_s = time_until_room_s(now, size_bytes - free_bytes, releases)
        return min(wait_s, limits.result_ttl_s or wait_s)


def _remaining_s(now: float, stored: StoredRecord, hold_s: float) -> float:
    """
    Return for how long a result is expected to be stored yet, in seconds.

    One that has been stored for longer than usual has a consumer that is held up, and
    is expected to stay for as long again.
    """
    age_s = now - stored.stored_at
    return hold_s - age_s if age_s < hold_s else age_s


def _rank(now: float, queued: QueuedPiece) -> tuple[bool, int]:
    """Return whether a piece is late, and its priority; the lowest goes first."""
    return now > queued.job.start_by, queued.job.priority


def _pieces_of(fill: CallFill) -> frozenset[Piece]:
    return frozenset(queued.job.piece for queued in fill.pieces)


def _left_out(
    queue: list[QueuedPiece], fill: CallFill, reserved: Container[Piece]
) -> list[QueuedPiece]:
    """Return the queued pieces with a reservation that are not in a call."""
    chosen = _pieces_of(fill)
    return [
        queued
        for queued in queue
        if queued.job.piece in reserved and queued.job.piece not in chosen
    ]


def _bytes_of(queued_pieces: Iterable[QueuedPiece]) -> float:
    return sum(queued.job.result_bytes for queued in queued_pieces)
