"""Sends calls that run pieces to endpoints, and frees the results."""

import asyncio
from collections import Counter
from collections.abc import Callable
from math import isfinite

import aiohttp

from amaranthtally.adapter import headers as names, pieces
from amaranthtally.adapter.responses import read_response_head
from amaranthtally.daemon.gateway.metrics import GatewayMetrics
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import (
    Endpoint,
    FreeResults,
    PieceOutcome,
    PiecesEnded,
    RunPieces,
)

__all__ = ["PieceCalls"]

CONNECT_TIMEOUT_S = 0.5
# Time-out for freeing results, in seconds. It is not retried, since the endpoint drops
# unused results after some seconds anyway.
FREE_TIMEOUT_S = 1.0
HTTP_OK = 200
MS_PER_S = 1000
JSON = {"Content-Type": "application/json"}

log = get_logger()

OnEnd = Callable[[int, PiecesEnded], None]
FAILED = PiecesEnded()


def _faults(outcomes: tuple[PieceOutcome, ...]) -> str:
    """Return the number of pieces that failed by fault; empty if none failed."""
    counts = Counter(piece.fault.value for piece in outcomes if piece.fault is not None)
    return ",".join(f"{fault}:{count}" for fault, count in counts.items())


def _kilobytes(size: float) -> int:
    """Return a size in whole kilobytes; -1 if it is unlimited."""
    return round(size / 1000) if isfinite(size) else -1


class PieceCalls:
    """Sends calls that run pieces; reports the outcome of each to ``on_end``."""

    def __init__(
        self, session: aiohttp.ClientSession, on_end: OnEnd, metrics: GatewayMetrics
    ) -> None:
        self._session = session
        self._metrics = metrics
        self._on_end = on_end
        self._loop = asyncio.get_running_loop()

    async def run(self, order: RunPieces, endpoint: Endpoint | None) -> None:
        """Send one call; ``endpoint`` is ``None`` if it is no longer registered."""
        end = FAILED if endpoint is None else await self._attempt(order, endpoint)
        self._on_end(order.call, end)

    async def free(self, order: FreeResults, endpoint: Endpoint) -> None:
        """Tell an endpoint that results are no longer needed."""
        log.info(
            "results_freed",
            endpoint=endpoint.id,
            pool=endpoint.pool,
            results=len(order.handles),
            held_ms=round(order.held_s * MS_PER_S),
        )
        url = f"http://{endpoint.address}{pieces.FREE_PATH}"
        try:
            async with self._session.post(
                url,
                data=pieces.write_free(order.handles),
                headers={names.EXPECTED_ID: endpoint.id, **JSON},
                timeout=aiohttp.ClientTimeout(
                    total=FREE_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
                ),
            ) as response:
                await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            log.info(
                "results_not_freed",
                endpoint=endpoint.id,
                results=len(order.handles),
                cause=repr(error),
            )

    async def _attempt(self, order: RunPieces, endpoint: Endpoint) -> PiecesEnded:
        started = self._loop.time()
        try:
            return await self._exchange(order, endpoint, started)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            self._log(order, endpoint, "lost", repr(error), started)
            return FAILED

    async def _exchange(
        self, order: RunPieces, endpoint: Endpoint, started: float
    ) -> PiecesEnded:
        url = f"http://{endpoint.address}{pieces.RUN_PATH}"
        async with self._session.post(
            url,
            data=pieces.write_pieces(order.pieces, started),
            headers={names.EXPECTED_ID: endpoint.id, **JSON},
            timeout=aiohttp.ClientTimeout(
                total=order.timeout_s, sock_connect=CONNECT_TIMEOUT_S
            ),
        ) as response:
            body = await response.read()
        answer = read_response_head(response.status, response.headers)
        running = answer.load.running if answer.load else None
        queued = answer.load.queued if answer.load else 0
        if answer.status != HTTP_OK:
            outcome = "not_run" if answer.not_run else "failed"
            self._log(order, endpoint, outcome, str(answer.status), started)
            return PiecesEnded(refused=answer.not_run, running=running, queued=queued)
        outcomes = pieces.read_outcomes(body, order.pieces)
        if outcomes.is_err():
            self._log(order, endpoint, "unreadable", str(outcomes.err()), started)
            return FAILED
        self._log(order, endpoint, "finished", _faults(outcomes.unwrap()), started)
        return PiecesEnded(outcomes.unwrap(), running=running, queued=queued)

    def _log(
        self,
        order: RunPieces,
        endpoint: Endpoint,
        outcome: str,
        cause: str,
        started: float,
    ) -> None:
        duration_s = self._loop.time() - started
        details = order.details
        self._metrics.pieces_ended(
            endpoint.pool, outcome, len(order.pieces), duration_s
        )
        log.info(
            "pieces_ended",
            call=order.call,
            endpoint=endpoint.id,
            pool=endpoint.pool,
            data_centre=endpoint.data_centre,
            pieces=len(order.pieces),
            places=details.batch_limit,
            waiting=details.waiting,
            waited_ms=round(details.waited_s * MS_PER_S),
            memory_kb=_kilobytes(details.memory_bytes),
            shortage=details.shortage,
            requests=",".join(dict.fromkeys(p.request_id for p in order.pieces)),
            fate=outcome,
            cause=cause,
            ms=round(duration_s * MS_PER_S),
        )
