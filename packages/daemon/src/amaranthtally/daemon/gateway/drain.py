"""Graceful stop of a gateway: every request that it has read gets an answer."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from aiohttp import web

from amaranthtally.daemon.gateway.caller_handler import CallerHandler
from amaranthtally.daemon.gateway.executor import GatewayExecutor
from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.supervision import Supervisor
from amaranthtally.policy import PeerDirectory

__all__ = ["GatewayDrainController"]

# How long the balancer may still send requests to a stopping gateway, in seconds. It
# checks readiness once a second and stops after two failed checks.
BALANCER_DRAIN_S = 2.3
# The same while all other gateways are leaving too, in seconds. What comes later might
# not end within the grace period.
ALONE_DRAIN_S = 3.0
# The part of the grace period that is reserved for closing connections, in seconds.
CLOSE_MARGIN_S = 0.5
# Unsent requests are refused when this much of the grace period is left, in seconds.
# Their callers have time to retry elsewhere, and requests sent by then can finish.
REFUSE_MARGIN_S = 3.5
POLL_INTERVAL_S = 0.05
# How long the refusals of a forced stop may take, in seconds: less than the margin.
ABORT_TIMEOUT_S = 0.2

log = get_logger()

Announcement = Callable[[], None]


class GatewayDrainController:
    """Completes or refuses the requests of a gateway after a stop signal."""

    def __init__(
        self,
        executor: GatewayExecutor,
        caller_handler: CallerHandler,
        caller_server: web.Server,
        peers: PeerDirectory,
        announcements: tuple[Announcement, ...],
        deregister: Callable[[], Coroutine[Any, Any, None]],
        supervisor: Supervisor,
        grace_s: float,
    ) -> None:
        """
        Create it.

        ``announcements`` are called once as the stop begins, and ``deregister`` removes
        this gateway's record from the store.
        """
        self._executor = executor
        self._caller_handler = caller_handler
        self._caller_server = caller_server
        self._peers = peers
        self._announcements = announcements
        self._deregister = deregister
        self._supervisor = supervisor
        self._grace_s = grace_s
        self._time = asyncio.get_running_loop().time

    @property
    def limit_s(self) -> float:
        """How long ``shut_down`` may take, in seconds."""
        return self._grace_s - CLOSE_MARGIN_S

    @property
    def in_flight(self) -> int:
        """Number of requests that have not ended."""
        return self._executor.in_flight

    async def shut_down(self) -> None:
        """
        Serve until the balancer sends no more requests, then finish all responses.

        Peers are informed at once that this gateway runs no more of their jobs. The
        listener stays open to the end: if other gateways of the data centre are down,
        the balancer still sends callers here, and an explicit refusal is better for
        them than a failed connection. Kept-alive connections are closed after their
        next response. Requests not sent to any endpoint are refused before the grace
        period ends.
        """
        started = self._time()
        self._announce()
        # Nothing waits for the store: whether and when it answers is not ours to say.
        self._supervisor.spawn_call(self._deregister())
        await asyncio.sleep(BALANCER_DRAIN_S)
        # All gateways may leave together, as in a quick roll. Callers that are refused
        # come back to another one that refuses them, until the first has started again.
        while self._is_alone and self._time() < started + ALONE_DRAIN_S:
            await asyncio.sleep(POLL_INTERVAL_S)
        self._caller_handler.close()
        log.info("gateway_refuses", in_flight=self.in_flight)
        refuse_at = started + self._grace_s - REFUSE_MARGIN_S
        while self._caller_handler.open_responses or self.in_flight:
            if self._time() >= refuse_at:
                self._executor.refuse_unsent()
            await asyncio.sleep(POLL_INTERVAL_S)
        self._caller_server.pre_shutdown()

    async def abort(self) -> None:
        """
        End every request with an answer, as the process is about to end.

        What has run, or may have, is answered as unknown. A stream that has begun can
        only be broken off; so can a response that its caller has not read by then.
        """
        log.warning("gateway_stop_forced", in_flight=self.in_flight)
        self._caller_handler.close(0.0)
        self._executor.end_all()
        give_up_at = self._time() + ABORT_TIMEOUT_S
        while self._caller_handler.open_responses and self._time() < give_up_at:
            await asyncio.sleep(POLL_INTERVAL_S)
        unread = self._caller_handler.open_responses
        if unread:
            log.warning("responses_cut", count=unread)
        self._caller_server.pre_shutdown()

    @property
    def _is_alone(self) -> bool:
        return bool(self._peers.departed) and not self._peers.alive

    def _announce(self) -> None:
        for announcement in self._announcements:
            try:
                announcement()
            except Exception as error:
                # The requests in flight are owed their answers all the same.
                self._supervisor.report_error("GatewayDrainController", error)
