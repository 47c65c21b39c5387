"""Frees stored results that are not needed any more, in any data centre."""

from collections.abc import Iterable

from amaranthtally.policy.actions import Action, FreeAtPeer
from amaranthtally.policy.batcher import Batcher
from amaranthtally.policy.piece_graph import StoredResult
from amaranthtally.policy.pool_sites import PoolSites

__all__ = ["ResultReleaser"]


class ResultReleaser:
    """Has stored results deleted, through the owners of the sites that store them."""

    def __init__(self, batcher: Batcher, sites: PoolSites) -> None:
        self._batcher = batcher
        self._sites = sites

    def free(self, now: float, results: Iterable[StoredResult]) -> list[Action]:
        """Return actions that free results; those of unknown endpoints are skipped."""
        by_owner: dict[str, list[StoredResult]] = {}
        for result in results:
            server = self._batcher.servers.find(result.endpoint)
            if server is None:
                continue
            pool = server.endpoint.pool
            owner = self._sites.owner(now, pool, result.data_centre)
            by_owner.setdefault(owner, []).append(result)
        actions: list[Action] = []
        for owner, owned in by_owner.items():
            if owner:
                actions.append(FreeAtPeer(owner, tuple(owned)))
            else:
                actions += self._batcher.free(now, owned)
        return actions
