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
    The versions of each pool's endpoints: registered now, seen lately, or on record.

    Where a pool has had one version only, each of its streams began at that version,
    also one that no running entry knows. The endpoints of a version may all have gone a
    moment before an entry starts; the record, which outlives all entries, still names
    it. Times are time stamps in seconds.
    """

    def __init__(self) -> None:
        self._recorded: dict[str, PoolVersions] = {}
        self._registered: dict[str, PoolVersions] = {}
        # Versions that were seen and are not on record yet. Their endpoints may go
        # before they are recorded, and have begun streams.
        self._unrecorded: dict[str, PoolVersions] = {}
        self._absent_since: dict[tuple[str, str], float] = {}

    def observe(self, endpoints: Iterable[Endpoint]) -> None:
        """Note the endpoints that are registered now."""
        versions: dict[str, set[str]] = {}
        for endpoint in endpoints:
            versions.setdefault(endpoint.pool, set()).add(endpoint.version)
            self._absent_since.pop((endpoint.pool, endpoint.version), None)
        self._registered = {pool: frozenset(found) for pool, found in versions.items()}
        for pool, found in self._registered.items():
            recorded = self._recorded.get(pool, NO_VERSIONS)
            self._keep_unrecorded(
                pool, (self._unrecorded.get(pool, NO_VERSIONS) | found) - recorded
            )

    def note_registered(self, pool: str, version: str) -> None:
        """Note that a pool has a version, which may be gone by the next observation."""
        self._absent_since.pop((pool, version), None)
        if version not in self._recorded.get(pool, NO_VERSIONS):
            seen = self._unrecorded.get(pool, NO_VERSIONS)
            self._keep_unrecorded(pool, seen | {version})

    def forget_unrecorded(self, now: float) -> None:
        """Forget versions that nobody recorded and that have long had no endpoint."""
        for pool, versions in list(self._unrecorded.items()):
            registered = self._registered.get(pool, NO_VERSIONS)
            gone = {v for v in versions - registered if self._is_retired(now, pool, v)}
            self._keep_unrecorded(pool, versions - gone)

    def observation_missed(self) -> None:
        """
        Note that endpoints may have come and gone unseen.

        Versions without endpoints count as absent from the next check on.
        """
        self._absent_since.clear()

    def replace_recorded(self, recorded: Mapping[str, PoolVersions]) -> None:
        """Apply all versions on record."""
        self._recorded = dict(recorded)
        for pool, versions in list(self._unrecorded.items()):
            noted = self._recorded.get(pool, NO_VERSIONS)
            self._keep_unrecorded(pool, versions - noted)

    def put_recorded(self, pool: str, versions: PoolVersions) -> None:
        """Apply the versions on record of one pool; none if the record is removed."""
        self._recorded[pool] = versions
        unrecorded = self._unrecorded.get(pool, NO_VERSIONS)
        self._keep_unrecorded(pool, unrecorded - versions)

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
        unrecorded = self._unrecorded.get(pool, NO_VERSIONS)
        return recorded | unrecorded | self._registered.get(pool, NO_VERSIONS)

    def _keep_unrecorded(self, pool: str, versions: PoolVersions) -> None:
        if versions:
            self._unrecorded[pool] = versions
        else:
            self._unrecorded.pop(pool, None)

    def due_record(self, now: float, pool: str) -> PoolVersions | None:
        """
        Return the versions to record for a pool, ``None`` if the record is right.

        New versions are added at once. One without endpoints is left out after
        ``RETIREMENT_S`` in which this entry has seen none.
        """
        recorded = self._recorded.get(pool, NO_VERSIONS)
        registered = self._registered.get(pool, NO_VERSIONS)
        added = registered | self._unrecorded.get(pool, NO_VERSIONS)
        if not added:
            return None
        kept = recorded - registered
        if registered:
            kept = frozenset(v for v in kept if not self._is_retired(now, pool, v))
        due = added | kept
        return due if due != recorded else None

    def _is_retired(self, now: float, pool: str, version: str) -> bool:
        since = self._absent_since.setdefault((pool, version), now)
        return now - since >= RETIREMENT_S
