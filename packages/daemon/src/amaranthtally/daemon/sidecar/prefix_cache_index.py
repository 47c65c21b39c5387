"""A bounded index of the blocks in an engine's prefix cache, with a change log."""

from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from amaranthtally.wire import CacheUpdate

__all__ = ["EngineEvent", "PrefixCacheIndex"]

MAX_BLOCK_NAMES = 8_192
MAX_CHANGES = 1_024
MAX_UPDATE_BLOCKS = 64


class EngineEvent(NamedTuple):
    """A block stored or removed by the engine; serials are consecutive."""

    serial: int
    stored: bool
    name: str


class _Change(NamedTuple):
    serial: int
    stored: bool
    block: int


class PrefixCacheIndex:
    """
    The cached blocks of the prompts that were sent through this sidecar.

    The engine's events use its own block names, so the names of a prompt's blocks are
    recorded when it is sent. Blocks of other prompts are of no use to entries and are
    ignored.

    The index is cleared after a gap in the events, which may have included a removal,
    and after a restart of the engine, which empties its cache. Otherwise requests would
    be routed to an engine that no longer has their prefix. The next update to each
    entry is then a reset.
    """

    def __init__(self) -> None:
        self._blocks_by_name: OrderedDict[str, int] = OrderedDict()
        self._cached: OrderedDict[int, None] = OrderedDict()
        self._changes: deque[_Change] = deque(maxlen=MAX_CHANGES)
        self._serial = 0
        # The lowest serial after which all changes are in the log.
        self._log_start = 0
        self._epoch = ""
        self._last_event = 0

    def __len__(self) -> int:
        return len(self._cached)

    @property
    def epoch(self) -> str:
        """The id of the engine's last known start; empty before the first events."""
        return self._epoch

    @property
    def last_event(self) -> int:
        """Serial of the last event applied."""
        return self._last_event

    def record_prompt(self, names: Iterable[str], blocks: Iterable[int]) -> None:
        """Record the engine's names for the blocks of a prompt that is sent to it."""
        for name, block in zip(names, blocks, strict=False):
            self._blocks_by_name[name] = block
            self._blocks_by_name.move_to_end(name)
        while len(self._blocks_by_name) > MAX_BLOCK_NAMES:
            _, block = self._blocks_by_name.popitem(last=False)
            # Without its name, a removal of the block could not be recognised.
            self._remove(block)

    def apply_events(self, epoch: str, events: Sequence[EngineEvent]) -> None:
        """Apply events of the engine start ``epoch``, oldest first."""
        if epoch != self._epoch:
            self._clear()
            self._epoch = epoch
            self._last_event = 0
        for event in events:
            if event.serial <= self._last_event:
                continue
            if event.serial != self._last_event + 1:
                self._clear()
            self._last_event = event.serial
            self._apply_event(event)

    def reset(self) -> None:
        """Forget all events, as after a restart of the engine."""
        self._clear()
        self._epoch = ""
        self._last_event = 0

    def update_since(self, serial: int) -> CacheUpdate:
        """Return the changes since a serial, or a reset if they are not all known."""
        if serial == self._serial:
            return CacheUpdate(self._serial)
        if not self._log_start <= serial < self._serial:
            newest = list(self._cached)[-MAX_UPDATE_BLOCKS:]
            return CacheUpdate(self._serial, tuple(newest), reset=True)
        latest = self._changed_since(serial)
        if len(latest) > MAX_UPDATE_BLOCKS:
            newest = list(self._cached)[-MAX_UPDATE_BLOCKS:]
            return CacheUpdate(self._serial, tuple(newest), reset=True)
        return CacheUpdate(
            self._serial,
            stored=tuple(block for block, stored in latest.items() if stored),
            removed=tuple(block for block, stored in latest.items() if not stored),
        )

    def _changed_since(self, serial: int) -> dict[int, bool]:
        """Return the blocks changed since a serial, and whether each is cached now."""
        latest: dict[int, bool] = {}
        for change in reversed(self._changes):
            if change.serial <= serial:
                break
            latest.setdefault(change.block, change.stored)
        return latest

    def _apply_event(self, event: EngineEvent) -> None:
        block = self._blocks_by_name.get(event.name)
        if block is None:
            return
        if not event.stored:
            self._remove(block)
            return
        self._cached[block] = None
        self._cached.move_to_end(block)
        self._log_change(True, block)

    def _remove(self, block: int) -> None:
        if block in self._cached:
            del self._cached[block]
            self._log_change(False, block)

    def _log_change(self, stored: bool, block: int) -> None:
        self._serial += 1
        if len(self._changes) == MAX_CHANGES:
            self._log_start = self._changes[0].serial
        self._changes.append(_Change(self._serial, stored, block))

    def _clear(self) -> None:
        self._serial += 1
        self._log_start = self._serial
        self._cached.clear()
        self._changes.clear()
