"""Exchanges the work of client accounts with peers, for their fair shares."""

import asyncio
import secrets
from collections.abc import Callable, Coroutine
from typing import Any

from amaranthtally.daemon.gateway.metrics import GatewayMetrics
from amaranthtally.daemon.gateway.peer_connections import PeerConnections
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import (
    Action,
    FairSharesChanged,
    Planner,
    SendUsage,
    SharesState,
    UsageFault,
    UsageReport,
)
from amaranthtally.wire import PeerLostError

__all__ = ["UsageExchange"]

INCARNATION_BITS = 63

log = get_logger()


class UsageExchange:
    """Sends this gateway's reports to peers, and passes theirs on to the policy."""

    def __init__(
        self,
        planner: Planner,
        connections: Callable[[], PeerConnections],
        metrics: GatewayMetrics,
        spawn: Callable[[Coroutine[Any, Any, None]], object],
        carry_out: Callable[[list[Action]], None],
    ) -> None:
        self._planner = planner
        self._connections = connections
        self._metrics = metrics
        self._spawn = spawn
        self._carry_out = carry_out
        self._incarnation = secrets.randbits(INCARNATION_BITS)
        self._time = asyncio.get_running_loop().time

    @property
    def state(self) -> SharesState:
        """The state of the shares, for the metrics."""
        return self._planner.shares.state

    def received(self, sender: str, report: UsageReport) -> None:
        """Handle the report of a peer."""
        self._metrics.usage_reported("received")
        self._carry_out(
            self._planner.shares.usage_received(self._time(), sender, report)
        )

    # Actions

    def send(self, action: SendUsage) -> None:
        """Send a report to peers, in the background."""
        report = action.report._replace(incarnation=self._incarnation)
        for peer in action.peers:
            self._spawn(self._send(peer, report))

    def log_change(self, action: FairSharesChanged) -> None:
        """Log that a resource is divided among accounts, or not any more."""
        log.info(
            "fair_shares_changed",
            resource=action.resource.name.lower(),
            is_short=action.is_short,
            level_s=round(action.level_s, 3) if action.is_short else "",
            accounts_above=action.above,
            senders=action.senders,
        )

    def log_fault(self, action: UsageFault) -> None:
        """Log the first absurd figure of a peer."""
        log.warning("usage_figures_bounded", peer=action.peer, cause=action.fault)

    async def _send(self, peer: str, report: UsageReport) -> None:
        try:
            await self._connections().exchange_usage(peer, report)
        except PeerLostError as error:
            self._metrics.usage_reported("not_sent")
            if self._planner.usage.not_received(self._time(), peer):
                log.info("usage_not_sent", peer=peer, cause=str(error))
            return
        self._metrics.usage_reported("sent")
        self._planner.usage.received(peer)
