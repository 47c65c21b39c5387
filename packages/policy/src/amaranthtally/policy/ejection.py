"""Temporary ejection of failing endpoints, and the probes that readmit them."""

from dataclasses import dataclass

__all__ = ["Ejections"]

FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
MAX_EJECTED_SHARE = 0.5


@dataclass(slots=True)
class _Health:
    pool: str
    failures: int = 0
    ejections: int = 0
    until: float = 0.0
    ejected: bool = False
    probing: bool = False


class Ejections:
    """
    Tracks failing endpoints and ejects those that fail repeatedly.

    Only endpoints with recent failures take up memory. At most
    ``MAX_EJECTED_SHARE`` of a pool is ejected: when more endpoints fail, they have
    a common cause, and ejecting them would move the whole load to the few that
    remain and overload these as well.
    """

    def __init__(self) -> None:
        self._health: dict[str, _Health] = {}
        self._ejected: dict[str, dict[str, None]] = {}

    def is_ejected(self, endpoint: str) -> bool:
        """Whether an endpoint receives only probes."""
        health = self._health.get(endpoint)
        return health is not None and health.ejected

    def ejected(self, pool: str) -> list[str]:
        """Return the ejected endpoints of a pool, longest ejected first."""
        return list(self._ejected.get(pool, ()))

    def next_probe(self, now: float, pool: str) -> str | None:
        """Return an ejected endpoint that is due for a probe, or ``None``."""
        for endpoint in self._ejected.get(pool, ()):
            health = self._health[endpoint]
            if health.until <= now and not health.probing:
                return endpoint
        return None

    def probe_sent(self, endpoint: str) -> None:
        """Note that a probe is running; no other is sent until it ends."""
        health = self._health.get(endpoint)
        if health is not None and health.ejected:
            health.probing = True

    def probe_inconclusive(self, endpoint: str) -> None:
        """Note that a probe ended without showing whether the endpoint works."""
        health = self._health.get(endpoint)
        if health is not None:
            health.probing = False

    def succeeded(self, endpoint: str) -> None:
        """
        Readmit an ejected endpoint, or clear the failures of one that is not ejected.

        A readmitted endpoint keeps all but one of its failures, so that a single
        failure ejects it again, for twice as long.
        """
        health = self._health.get(endpoint)
        if health is None:
            return
        if health.ejected:
            health.ejected = health.probing = False
            del self._ejected[health.pool][endpoint]
            health.failures = FAILURES_TO_EJECT - 1
            return
        del self._health[endpoint]

    def failed(self, now: float, endpoint: str, pool: str, pool_size: int) -> bool:
        """Count a failure; return whether it ejects the endpoint."""
        health = self._health.setdefault(endpoint, _Health(pool))
        health.failures += 1
        if health.ejected:
            if health.probing:
                self._extend(now, health)
            return False
        if health.failures < FAILURES_TO_EJECT or not self._may_eject(pool, pool_size):
            return False
        health.ejected = True
        self._ejected.setdefault(pool, {})[endpoint] = None
        self._extend(now, health)
        return True

    def readmit_excess(self, pool: str, pool_size: int) -> list[str]:
        """
        Readmit endpoints beyond the share that may be ejected; return their ids.

        The share is kept as others leave: if the endpoints that are not ejected stop,
        requests would otherwise be refused although an ejected one may serve them.
        """
        ejected = self._ejected.get(pool, {})
        readmitted = list(ejected)[: len(ejected) - int(pool_size * MAX_EJECTED_SHARE)]
        for endpoint in readmitted:
            self.succeeded(endpoint)
        return readmitted

    def forget(self, endpoint: str) -> None:
        """Discard the state of an endpoint that was removed or re-registered."""
        health = self._health.pop(endpoint, None)
        if health is not None and health.ejected:
            del self._ejected[health.pool][endpoint]

    def _may_eject(self, pool: str, pool_size: int) -> bool:
        ejected_after = len(self._ejected.get(pool, ())) + 1
        return ejected_after <= int(pool_size * MAX_EJECTED_SHARE)

    def _extend(self, now: float, health: _Health) -> None:
        duration_s = FIRST_EJECTION_S * 2.0**health.ejections
        health.until = now + min(MAX_EJECTION_S, duration_s)
        health.ejections = min(health.ejections + 1, 10)
        health.probing = False
