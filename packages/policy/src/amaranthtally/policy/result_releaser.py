"""Frees results that are read no more, wherever they are kept."""

from collections.abc import Iterable

from amaranthtally.policy.actions import Action, FreeAtPeer
from amaranthtally.policy.batcher import Batcher
from amaranthtally.policy.piece_graph import StoredResult
from amaranthtally.policy.pool_sites import PoolSites

__all__ = ["ResultFreer"]


class ResultFreer:
    """Has results dropped by the entries that call their makers."""

    def __init__(self, batcher: Batcher, places: PoolSites) -> None:
        self._batcher = batcher
        self._places = places

    def free(self, now: float, results: Iterable[StoredResult]) -> list[Action]:
        """Return what drops the results; those of makers that have gone are left."""
        by_owner: dict[str, list[StoredResult]] = {}
        for result in results:
            server = self._batcher.servers.find(result.endpoint)
            if server is None:
                continue
            pool = server.endpoint.pool
            owner = self._places.owner(now, pool, result.data_centre)
            by_owner.setdefault(owner, []).append(result)
        actions: list[Action] = []
        for owner, held in by_owner.items():
            if owner:
                actions.append(FreeAtPeer(owner, tuple(held)))
            else:
                actions += self._batcher.free(now, held)
        return actions
