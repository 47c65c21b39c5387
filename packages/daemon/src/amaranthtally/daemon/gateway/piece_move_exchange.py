"""Withdraws jobs from peers, so that they run elsewhere."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from amaranthtally.daemon.gateway.metrics import GatewayMetrics
from amaranthtally.daemon.gateway.peer_connections import PeerConnections
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import Action, Piece, Planner, WithdrawAtPeer
from amaranthtally.wire import PeerLostError

__all__ = ["PieceMoveExchange"]

log = get_logger()


class PieceMoveExchange:
    """Passes withdrawals of jobs on to peers, and peers' withdrawals to the policy."""

    def __init__(
        self,
        planner: Planner,
        connections: Callable[[], PeerConnections],
        spawn: Callable[[Coroutine[Any, Any, None]], object],
        carry_out: Callable[[list[Action]], None],
        metrics: GatewayMetrics,
    ) -> None:
        self._planner = planner
        self._connections = connections
        self._spawn = spawn
        self._carry_out = carry_out
        self._metrics = metrics
        self._time = asyncio.get_running_loop().time

    @property
    def moving(self) -> int:
        """Number of own jobs that are being withdrawn to run elsewhere."""
        return self._planner.pieces.moving

    @property
    def reserved(self) -> int:
        """Number of queued pieces for which result memory is reserved."""
        return self._planner.pieces.reserved(self._time())

    @property
    def dropped(self) -> int:
        """Number of pieces not computed as nobody could use their results."""
        drops = self._planner.pieces.drops
        return drops.late + drops.ended + drops.gone

    # Events

    def jobs_withdrawn(self, pieces: Sequence[Piece]) -> Sequence[Piece]:
        """Drop those of a peer's jobs that have not started, and return them."""
        withdrawn = self._planner.pieces.jobs_withdrawn(pieces)
        log.info("jobs_withdrawn", asked=len(pieces), pieces=len(withdrawn))
        return withdrawn

    # Actions

    def withdraw(self, action: WithdrawAtPeer) -> None:
        """Withdraw jobs from a peer, in the background."""
        self._spawn(self._withdraw(action))

    async def _withdraw(self, action: WithdrawAtPeer) -> None:
        peer, serial, pieces = action.peer, action.serial, action.pieces
        try:
            withdrawn = await self._connections().withdraw_jobs(peer, pieces)
        except PeerLostError as error:
            log.info(
                "jobs_not_withdrawn", peer=peer, pieces=len(pieces), cause=str(error)
            )
            self._metrics.pieces_moved("unanswered", len(pieces))
            self._carry_out(
                self._planner.pieces.withdrawal_failed(
                    self._time(), peer, serial, pieces
                )
            )
            return
        log.info("jobs_moved", peer=peer, asked=len(pieces), pieces=len(withdrawn))
        self._metrics.pieces_moved("moved", len(withdrawn))
        self._metrics.pieces_moved("stayed", len(pieces) - len(withdrawn))
        self._carry_out(
            self._planner.pieces.withdrawal_answered(
                self._time(), peer, serial, withdrawn
            )
        )
