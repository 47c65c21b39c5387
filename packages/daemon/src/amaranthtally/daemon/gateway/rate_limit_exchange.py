"""Exchanges the rate limits of endpoints, and permits to send to them, with peers."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from amaranthtally.daemon.gateway.peer_connections import PeerConnections
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import (
    Action,
    AskPermits,
    EndpointLimits,
    PermitAnswer,
    PermitAsk,
    RateLimitChanged,
    RateLimitNotice,
    SpreadRateLimits,
)
from amaranthtally.wire import PeerLostError

__all__ = ["RateLimitExchange"]

log = get_logger()


class RateLimitExchange:
    """Passes events on to the policy's limits, and carries out their actions."""

    def __init__(
        self,
        limits: EndpointLimits,
        connections: Callable[[], PeerConnections],
        spawn: Callable[[Coroutine[Any, Any, None]], object],
        carry_out: Callable[[list[Action]], None],
    ) -> None:
        self._limits = limits
        self._connections = connections
        self._spawn = spawn
        self._carry_out = carry_out
        self._time = asyncio.get_running_loop().time

    @property
    def count(self) -> int:
        """Number of endpoints that name a rate limit."""
        return len(self._limits.rates)

    @property
    def known(self) -> Sequence[RateLimitNotice]:
        """All notices of limits, to be read by a peer."""
        return self._limits.notices

    async def read_from(self, peer: str) -> int:
        """Take what a peer knows; return how much. Raises ``PeerLostError``."""
        notices = await self._connections().read_rate_limits(peer)
        self.limits_received(notices)
        return len(notices)

    # Events

    def response_received(
        self, endpoint: str, rate: float | None, sent_at: float
    ) -> None:
        """Handle the limit that a response names, ``None`` if it names none."""
        self._carry_out(
            self._limits.response_received(self._time(), endpoint, rate, sent_at)
        )

    def limits_received(self, notices: Sequence[RateLimitNotice]) -> None:
        """Handle the limits that a peer has passed on."""
        self._carry_out(self._limits.notices_received(self._time(), notices))

    def permits_asked(
        self, asker: str, asks: Sequence[PermitAsk]
    ) -> Sequence[PermitAnswer]:
        """Return the permits that a peer gets."""
        return self._limits.permits_asked(self._time(), asker, asks)

    # Actions

    def log_change(self, action: RateLimitChanged) -> None:
        """Log a limit that was not known before."""
        notice = action.notice
        log.info(
            "rate_limit_changed",
            endpoint=notice.endpoint,
            limit="" if notice.rate is None else notice.rate,
            serial=notice.serial,
            source="response" if action.is_own else "peer",
        )

    def spread(self, action: SpreadRateLimits) -> None:
        """Pass limits on to peers, in the background."""
        for peer in action.peers:
            self._spawn(self._spread(peer, action.notices))

    def ask(self, action: AskPermits) -> None:
        """Ask a peer for permits, in the background."""
        self._spawn(self._ask(action.peer, action.asks))

    async def _spread(self, peer: str, notices: Sequence[RateLimitNotice]) -> None:
        try:
            await self._connections().spread_rate_limits(peer, notices)
        except PeerLostError as error:
            log.info("rate_limits_not_passed_on", peer=peer, cause=str(error))

    async def _ask(self, peer: str, asks: Sequence[PermitAsk]) -> None:
        try:
            answers = await self._connections().ask_permits(peer, asks)
        except PeerLostError as error:
            log.info("permits_not_answered", peer=peer, cause=str(error))
            self._limits.permits_not_answered(self._time(), peer, asks)
            return
        self._limits.permits_answered(self._time(), answers)
