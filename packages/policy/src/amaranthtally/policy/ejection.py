"""Endpoints that fail are ejected for a while, never all, and let back by probes."""

from dataclasses import dataclass

__all__ = ["Ejections"]

STRIKES = 3
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0
LARGEST_SHARE = 0.5


@dataclass(slots=True)
class _Health:
    pool: str
    strikes: int = 0
    ejections: int = 0
    until: float = 0.0
    ejected: bool = False
    probing: bool = False


class Ejections:
    """
    Health of the endpoints that failed lately; others take no room.

    At most ``LARGEST_SHARE`` of a pool is ejected: when more of it fails, the
    cause is common to all, and ejecting would move the whole load onto the few
    endpoints that are left and bring them down too.
    """

    def __init__(self) -> None:
        self._health: dict[str, _Health] = {}
        self._ejected: dict[str, dict[str, None]] = {}

    def is_ejected(self, endpoint: str) -> bool:
        """Whether an endpoint gets nothing but probes."""
        health = self._health.get(endpoint)
        return health is not None and health.ejected

    def ejected(self, pool: str) -> list[str]:
        """Return the ejected endpoints of a pool, oldest first."""
        return list(self._ejected.get(pool, ()))

    def next_probe(self, now: float, pool: str) -> str | None:
        """Return an endpoint that may be tried with one request, or ``None``."""
        for endpoint in self._ejected.get(pool, ()):
            health = self._health[endpoint]
            if health.until <= now and not health.probing:
                return endpoint
        return None

    def probe_sent(self, endpoint: str) -> None:
        """Note that a probe is on its way: no second one until it ends."""
        health = self._health.get(endpoint)
        if health is not None and health.ejected:
            health.probing = True

    def probe_inconclusive(self, endpoint: str) -> None:
        """Note that a probe ended without a verdict."""
        health = self._health.get(endpoint)
        if health is not None:
            health.probing = False

    def succeeded(self, endpoint: str) -> None:
        """
        Let an endpoint back, or forget its strikes.

        One that is let back keeps all but one strike, so that a single failure
        ejects it again, for twice as long.
        """
        health = self._health.get(endpoint)
        if health is None:
            return
        if health.ejected:
            health.ejected = health.probing = False
            del self._ejected[health.pool][endpoint]
            health.strikes = STRIKES - 1
            return
        del self._health[endpoint]

    def failed(self, now: float, endpoint: str, pool: str, pool_size: int) -> bool:
        """Note a failure; true when it ejects the endpoint."""
        health = self._health.setdefault(endpoint, _Health(pool))
        health.strikes += 1
        if health.ejected:
            if health.probing:
                self._extend(now, health)
            return False
        if health.strikes < STRIKES or not self._may_eject(pool, pool_size):
            return False
        health.ejected = True
        self._ejected.setdefault(pool, {})[endpoint] = None
        self._extend(now, health)
        return True

    def forget(self, endpoint: str) -> None:
        """Drop what is known of an endpoint that is new or gone."""
        health = self._health.pop(endpoint, None)
        if health is not None and health.ejected:
            del self._ejected[health.pool][endpoint]

    def _may_eject(self, pool: str, pool_size: int) -> bool:
        after = len(self._ejected.get(pool, ())) + 1
        return after <= int(pool_size * LARGEST_SHARE)

    def _extend(self, now: float, health: _Health) -> None:
        seconds = FIRST_EJECTION_S * 2.0**health.ejections
        health.until = now + min(LONGEST_EJECTION_S, seconds)
        health.ejections = min(health.ejections + 1, 10)
        health.probing = False
