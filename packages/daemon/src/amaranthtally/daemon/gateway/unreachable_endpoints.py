"""Reports endpoints that are tried on though their ports refuse connections."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from amaranthtally.daemon.gateway.metrics import GatewayMetrics
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import Endpoint

__all__ = ["UnreachableEndpoints"]

# An endpoint that is tried in vain for longer than this is reported, in seconds: four
# times the time in which a change must take effect, so that its leaving is known if it
# has said so, and that a restart is mostly over.
REPORTED_AFTER_S = 10.0
# Least time between two reports of one endpoint, in seconds.
REPORT_INTERVAL_S = 10.0
# An endpoint that has not been tried for this long is forgotten, in seconds. Ejected
# endpoints are tried several times within it.
FORGET_AFTER_S = 300.0

log = get_logger()


@dataclass(slots=True)
class _Unreachable:
    """Since when an endpoint's attempts fail, by one revision of its record."""

    revision: int
    since: float
    last_tried: float
    report_at: float
    attempts: int = 0


class UnreachableEndpoints:
    """
    Logs and counts attempts at unreachable endpoints whose record stays as it is.

    Either such an endpoint is ill and the registry does not know, or its record has
    changed and this gateway does not know. ``ages`` returns the ages of the gateway's
    state in seconds, as fields of log lines, which tell the two apart.
    """

    def __init__(
        self,
        metrics: GatewayMetrics,
        ages: Callable[[], Mapping[str, float]] = dict,
        time: Callable[[], float] | None = None,
    ) -> None:
        self._metrics = metrics
        self._ages = ages
        self._time = time or asyncio.get_running_loop().time
        self._unreachable: dict[str, _Unreachable] = {}

    def attempt_failed(self, endpoint: Endpoint) -> None:
        """Note that an attempt found no connection to an endpoint."""
        now = self._time()
        known = self._unreachable.get(endpoint.id)
        if known is None or known.revision != endpoint.revision:
            self._forget_old(now)
            known = _Unreachable(endpoint.revision, now, now, now + REPORTED_AFTER_S)
            self._unreachable[endpoint.id] = known
        known.attempts += 1
        known.last_tried = now
        if now < known.report_at:
            return
        known.report_at = now + REPORT_INTERVAL_S
        self._metrics.unreachable_endpoint_reported(endpoint.pool)
        log.warning(
            "endpoint_unreachable_for",
            endpoint=endpoint.id,
            pool=endpoint.pool,
            address=endpoint.address,
            seconds=round(now - known.since, 1),
            attempts=known.attempts,
            revision=endpoint.revision,
            **self._ages(),
        )

    def endpoint_answered(self, endpoint: str) -> None:
        """Note that an endpoint has sent a response."""
        self._unreachable.pop(endpoint, None)

    def _forget_old(self, now: float) -> None:
        for name, known in list(self._unreachable.items()):
            if now - known.last_tried > FORGET_AFTER_S:
                del self._unreachable[name]
