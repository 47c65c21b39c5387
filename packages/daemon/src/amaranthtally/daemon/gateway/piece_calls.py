"""Sends calls that compute pieces, and calls that free their results."""

import asyncio
from collections import Counter
from collections.abc import Callable
from math import isfinite

import aiohttp

from amaranthtally.adapter import headers as names, pieces
from amaranthtally.daemon.gateway.endpoint_calls import OnHead
from amaranthtally.daemon.gateway.endpoint_exchange import (
    CALL_ERRORS,
    EndpointExchange,
    fate_of,
)
from amaranthtally.daemon.gateway.metrics import GatewayMetrics
from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.supervision import is_cancelled_by_owner
from amaranthtally.platform import read_body
from amaranthtally.policy import (
    Endpoint,
    FreeResults,
    PieceOutcome,
    PiecesEnded,
    ResponseKind,
    ResponseLimits,
    RunPieces,
)

__all__ = ["PieceCalls"]

CONNECT_TIMEOUT_S = 0.5
# Time-out of a call that frees results, in seconds. A failed call is not retried, since
# the endpoint removes unused results after some seconds anyway.
FREE_TIMEOUT_S = 1.0
HTTP_OK = 200
MS_PER_S = 1000
JSON = {"Content-Type": "application/json"}

log = get_logger()

OnEnd = Callable[[int, PiecesEnded], None]
FAILED = PiecesEnded()


def _faults(outcomes: tuple[PieceOutcome, ...]) -> str:
    """Return the number of failed pieces for each fault; empty if none failed."""
    counts = Counter(piece.fault.value for piece in outcomes if piece.fault is not None)
    return ",".join(f"{fault}:{count}" for fault, count in counts.items())


def _kilobytes(size: float) -> int:
    """Return a size in whole kilobytes; -1 if it is unlimited."""
    return round(size / 1000) if isfinite(size) else -1


class PieceCalls:
    """Sends calls with pieces to endpoints; passes on the end and the head of each."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        on_end: OnEnd,
        on_head: OnHead,
        metrics: GatewayMetrics,
        limits: ResponseLimits,
    ) -> None:
        self._session = session
        self._limits = limits
        self._on_head = on_head
        self._metrics = metrics
        self._on_end = on_end

    async def run(self, action: RunPieces, endpoint: Endpoint | None) -> None:
        """
        Send one call; ``endpoint`` is ``None`` if it is no longer registered.

        Its end is passed on whatever is raised, or the place that the call takes at the
        endpoint would never be free again. The exception is left to the supervisor.
        """
        end = FAILED
        try:
            if endpoint is not None:
                end = await self._attempt(action, endpoint)
        except (Exception, asyncio.CancelledError) as error:
            if not is_cancelled_by_owner(error):
                self._on_end(action.call, FAILED)
            raise
        self._on_end(action.call, end)

    async def free(
        self, action: FreeResults, endpoint: Endpoint, backoff_s: float
    ) -> None:
        """
        Free results at an endpoint, after what is left of its backoff, in seconds.

        A failure is only logged.
        """
        if backoff_s:
            await asyncio.sleep(backoff_s)
        log.info(
            "results_freed",
            endpoint=endpoint.id,
            pool=endpoint.pool,
            results=len(action.handles),
            held_ms=round(action.held_s * MS_PER_S),
        )
        # Its answer decides nothing, so that any connection will do.
        exchange = EndpointExchange(self._limits.of(ResponseKind.FREE))
        try:
            response, head = await exchange.send(
                self._session,
                "POST",
                f"http://{endpoint.address}{pieces.FREE_PATH}",
                data=pieces.write_free(action.handles),
                headers={names.EXPECTED_ID: endpoint.id, **JSON},
                timeout=aiohttp.ClientTimeout(
                    total=FREE_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
                ),
            )
            async with response:
                await read_body(response)
            self._on_head(endpoint, head, exchange.started)
        except CALL_ERRORS as error:
            log.info(
                "results_not_freed",
                endpoint=endpoint.id,
                results=len(action.handles),
                cause=repr(error),
            )

    async def _attempt(self, action: RunPieces, endpoint: Endpoint) -> PiecesEnded:
        exchange = EndpointExchange(
            self._limits.of(ResponseKind.PIECES), needs_new_connection=True
        )
        try:
            return await self._exchange(action, endpoint, exchange)
        except CALL_ERRORS as error:
            self._log(action, endpoint, fate_of(error), repr(error), exchange)
            return FAILED

    async def _exchange(
        self, action: RunPieces, endpoint: Endpoint, exchange: EndpointExchange
    ) -> PiecesEnded:
        response, head = await exchange.send(
            self._session,
            "POST",
            f"http://{endpoint.address}{pieces.RUN_PATH}",
            data=pieces.write_pieces(action.pieces, exchange.started),
            headers={names.EXPECTED_ID: endpoint.id, **JSON},
            timeout=aiohttp.ClientTimeout(
                total=action.timeout_s, sock_connect=CONNECT_TIMEOUT_S
            ),
        )
        async with response:
            if not exchange.is_own:
                response.close()
                self._log(action, endpoint, "mismatched", head.request_id, exchange)
                return FAILED
            body = await read_body(response)
        self._on_head(endpoint, head, exchange.started)
        load = head.load
        running = load.running if load else None
        queued = load.queued if load else 0
        slowness = load.host_slowness if load else None
        if head.status != HTTP_OK:
            refused = exchange.proof is not None
            outcome = "not_run" if refused else "failed"
            cause, wait_s = str(head.status), head.retry_after_s
            self._log(action, endpoint, outcome, cause, exchange, wait_s)
            return PiecesEnded(
                refused=refused,
                running=running,
                queued=queued,
                host_slowness=slowness,
            )
        outcomes = pieces.read_outcomes(body, action.pieces)
        if outcomes.is_err():
            self._log(action, endpoint, "unreadable", str(outcomes.err()), exchange)
            return FAILED
        self._log(action, endpoint, "finished", _faults(outcomes.unwrap()), exchange)
        return PiecesEnded(
            outcomes.unwrap(), running=running, queued=queued, host_slowness=slowness
        )

    def _log(
        self,
        action: RunPieces,
        endpoint: Endpoint,
        outcome: str,
        cause: str,
        exchange: EndpointExchange,
        retry_after_s: float = 0.0,
    ) -> None:
        duration_s = exchange.elapsed_s
        details = action.details
        self._metrics.pieces_ended(
            endpoint.pool, outcome, len(action.pieces), duration_s
        )
        log.info(
            "pieces_ended",
            call=action.call,
            endpoint=endpoint.id,
            pool=endpoint.pool,
            data_centre=endpoint.data_centre,
            pieces=len(action.pieces),
            places=details.batch_limit,
            waiting=details.waiting,
            waited_ms=round(details.waited_s * MS_PER_S),
            memory_kb=_kilobytes(details.memory_bytes),
            shortage=details.shortage,
            requests=",".join(dict.fromkeys(p.request_id for p in action.pieces)),
            fate=outcome,
            cause=cause,
            retry_after_s=retry_after_s or "",
            ms=round(duration_s * MS_PER_S),
            **exchange.log_fields,
        )
