"""Tracks which data centres operators have evacuated."""

from collections.abc import Callable, Mapping

from amaranthtally.adapter.evacuations import evacuated_data_centre
from amaranthtally.adapter.store import StoreItem
from amaranthtally.daemon.logs import get_logger

__all__ = ["EvacuationTracker"]

log = get_logger()


class EvacuationTracker:
    """
    Passes on the evacuated data centres after each change of their items.

    ``regions`` are the data centres that are known. Others are passed on too, as
    endpoints may register in them, but with a warning.
    """

    def __init__(
        self,
        regions: Mapping[str, str],
        on_change: Callable[[frozenset[str]], None],
    ) -> None:
        self._regions = regions
        self._on_change = on_change
        self._since: dict[str, int] = {}

    def replace(self, items: tuple[StoreItem, ...]) -> None:
        """Apply a complete listing of the evacuations."""
        self._update({evacuated_data_centre(i.key): i.revision for i in items})

    def apply_change(self, item: StoreItem) -> None:
        """Apply an evacuation, or its end."""
        since = dict(self._since)
        name = evacuated_data_centre(item.key)
        if item.value is None:
            since.pop(name, None)
        else:
            since[name] = item.revision
        self._update(since)

    def _update(self, since: dict[str, int]) -> None:
        since.pop("", None)
        before = self._since
        if before.keys() == since.keys():
            self._since = since
            return
        for name in since.keys() - before.keys():
            log.info("evacuation_in_force", data_centre=name, revision=since[name])
            if self._regions and name not in self._regions:
                log.warning("evacuated_data_centre_unknown", data_centre=name)
        for name in before.keys() - since.keys():
            log.info("evacuation_ended", data_centre=name)
        self._on_change(frozenset(since))
        # Only now: if that raised, the same listing applies them once more.
        self._since = since
