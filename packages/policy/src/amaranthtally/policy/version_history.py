"""Which software versions of a pool may have begun the streams that are under way."""

from collections.abc import Iterable, Mapping

from amaranthtally.policy.model import Endpoint

__all__ = ["VersionHistory"]

# How long a version stays in the record after its last endpoint has gone, in seconds:
# longer than any stream that it began can be taken up.
RETIREMENT_S = 120.0

PoolVersions = frozenset[str]
NO_VERSIONS: PoolVersions = frozenset()


class VersionHistory:
    """
    The versions of each pool's endpoints: those registered now, and those on record.

    Where a pool has had one version only, each of its streams began at that version,
    also one that no running entry knows. The endpoints of a version may all have gone a
    moment before an entry starts; the record, which outlives all entries, still names
    it. Times are time stamps in seconds.
    """

    def __init__(self) -> None:
        self._recorded: dict[str, PoolVersions] = {}
        self._registered: dict[str, PoolVersions] = {}
        self._absent_since: dict[tuple[str, str], float] = {}

    def observe(self, endpoints: Iterable[Endpoint]) -> None:
        """Note the endpoints that are registered now."""
        versions: dict[str, set[str]] = {}
        for endpoint in endpoints:
            versions.setdefault(endpoint.pool, set()).add(endpoint.version)
            self._absent_since.pop((endpoint.pool, endpoint.version), None)
        self._registered = {pool: frozenset(found) for pool, found in versions.items()}

    def observation_missed(self) -> None:
        """
        Note that endpoints may have come and gone unseen.

        Versions without endpoints count as absent from the next check on.
        """
        self._absent_since.clear()

    def replace_recorded(self, recorded: Mapping[str, PoolVersions]) -> None:
        """Apply all versions on record."""
        self._recorded = dict(recorded)

    def put_recorded(self, pool: str, versions: PoolVersions) -> None:
        """Apply the versions on record of one pool; none if the record is removed."""
        self._recorded[pool] = versions

    def sole_version(self, pool: str) -> str | None:
        """Return the only version that a pool has had lately, or else ``None``."""
        versions = self._versions(pool)
        is_recorded = bool(self._recorded.get(pool))
        return next(iter(versions)) if is_recorded and len(versions) == 1 else None

    def has_several(self, pools: Iterable[str]) -> bool:
        """Whether one of these pools has had several versions lately."""
        return any(len(self._versions(pool)) > 1 for pool in pools)

    def _versions(self, pool: str) -> PoolVersions:
        recorded = self._recorded.get(pool, NO_VERSIONS)
        return recorded | self._registered.get(pool, NO_VERSIONS)

    def due_record(self, now: float, pool: str) -> PoolVersions | None:
        """
        Return the versions to record for a pool, ``None`` if the record is right.

        New versions are added at once. One without endpoints is left out after
        ``RETIREMENT_S`` in which this entry has seen none.
        """
        recorded = self._recorded.get(pool, NO_VERSIONS)
        registered = self._registered.get(pool, NO_VERSIONS)
        if not registered:
            return None
        kept = {v for v in recorded - registered if not self._is_retired(now, pool, v)}
        due = registered | kept
        return due if due != recorded else None

    def _is_retired(self, now: float, pool: str, version: str) -> bool:
        since = self._absent_since.setdefault((pool, version), now)
        return now - since >= RETIREMENT_S
