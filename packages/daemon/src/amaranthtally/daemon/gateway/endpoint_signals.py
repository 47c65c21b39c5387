"""Passes on what endpoints show of themselves, in responses and in lost connections."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from amaranthtally.adapter.messages import EndpointLoad, ResponseHead
from amaranthtally.daemon.gateway.endpoint_check import keeps_connections
from amaranthtally.daemon.gateway.rate_limit_exchange import RateLimitExchange
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import Action, Endpoint, Planner

__all__ = ["EndpointSignals"]

log = get_logger()


class EndpointSignals:
    """Reports rate limits, backoffs and endpoints that leave or have ended."""

    def __init__(
        self,
        planner: Planner,
        rate_limits: RateLimitExchange,
        spawn: Callable[[Coroutine[Any, Any, None]], object],
        carry_out: Callable[[list[Action]], None],
    ) -> None:
        self._planner = planner
        self._rate_limits = rate_limits
        self._spawn = spawn
        self._carry_out = carry_out
        self._time = asyncio.get_running_loop().time
        self._bounded_reports: set[str] = set()

    @property
    def backing_off(self) -> int:
        """Number of endpoints that have asked this gateway to back off."""
        return len(self._planner.backoffs.active(self._time()))

    @property
    def cold(self) -> int:
        """Number of endpoints that are sent few requests, as they are cold."""
        return self._planner.limits.cold_count

    def backoff_left_s(self, endpoint: str) -> float:
        """Return how much longer an endpoint's backoff lasts, in seconds."""
        return self._planner.backoffs.left_s(self._time(), endpoint)

    def head_received(
        self, endpoint: Endpoint, head: ResponseHead, sent_at: float
    ) -> None:
        """Handle what an endpoint says of itself in the head of a response."""
        if head.load is not None and head.load.is_bounded:
            self._log_bounded(endpoint, head.load)
        self._rate_limits.response_received(endpoint.id, head.rate_limit, sent_at)
        if head.backoff_s:
            log.info("endpoint_backoff", endpoint=endpoint.id, backoff_s=head.backoff_s)
            self._planner.backoffs.backoff_requested(
                self._time(), endpoint, head.backoff_s
            )
        if head.leaving and not self._planner.is_leaving(endpoint):
            log.info("endpoint_leaves", endpoint=endpoint.id, source="response")
            self._carry_out(self._planner.leaving_announced(self._time(), endpoint))

    def _log_bounded(self, endpoint: Endpoint, load: EndpointLoad) -> None:
        """Log the absurd report of an endpoint, the first time only."""
        if endpoint.id in self._bounded_reports:
            return
        self._bounded_reports.add(endpoint.id)
        log.warning(
            "load_report_bounded",
            endpoint=endpoint.id,
            running=load.running,
            queued=load.queued,
            slots=load.slots,
            host_slowness="" if load.host_slowness is None else load.host_slowness,
        )

    def check(self, endpoint: Endpoint) -> None:
        """Find out, in the background, whether an endpoint has ended."""
        self._spawn(self._check(endpoint))

    async def _check(self, endpoint: Endpoint) -> None:
        if await keeps_connections(endpoint.address):
            return
        log.info("endpoint_closes_connections", endpoint=endpoint.id)
        self._carry_out(
            self._planner.endpoint_closes_connections(self._time(), endpoint.id)
        )
