"""What a sidecar knows of its engine's prefix cache, bounded, as entries are told."""

from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from amaranthtally.wire import CacheUpdate

__all__ = ["EngineEvent", "PrefixCacheIndex"]

MOST_NAMES = 8_192
MAX_CHANGES = 1_024
MAX_UPDATE_BLOCKS = 64


class EngineEvent(NamedTuple):
    """A block that the engine stored, or removed; ``serial`` has no gaps."""

    serial: int
    stored: bool
    name: str


class _Change(NamedTuple):
    serial: int
    stored: bool
    block: int


class PrefixCacheIndex:
    """
    The blocks of prompts sent through here that the engine holds.

    The engine names its blocks in its own way, so the names of each prompt are noted
    as it is sent; blocks of other prompts would be of no use to an entry.

    A gap in the events may have held a removal, and an engine that started anew holds
    nothing: both would draw requests to an engine that has lost their prefix. So both
    clear what is claimed, and every entry is told to forget it.
    """

    def __init__(self) -> None:
        self._names: OrderedDict[str, int] = OrderedDict()
        self._held: OrderedDict[int, None] = OrderedDict()
        self._changes: deque[_Change] = deque(maxlen=MAX_CHANGES)
        self._serial = 0
        self._known_from = 0
        self._epoch = ""
        self._last_event = 0

    def __len__(self) -> int:
        return len(self._held)

    @property
    def epoch(self) -> str:
        """The engine's start that the events are of; empty before the first."""
        return self._epoch

    @property
    def last_event(self) -> int:
        """Serial of the engine's last event taken."""
        return self._last_event

    def record_prompt(self, names: Iterable[str], blocks: Iterable[int]) -> None:
        """Note how the engine names the blocks of a prompt that is sent to it."""
        for name, block in zip(names, blocks, strict=False):
            self._names[name] = block
            self._names.move_to_end(name)
        while len(self._names) > MOST_NAMES:
            _, block = self._names.popitem(last=False)
            # Its removal could not be told any more.
            self._remove(block)

    def apply_events(self, epoch: str, events: Sequence[EngineEvent]) -> None:
        """Take events of one start of the engine, oldest first."""
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
            self._take_event(event)

    def update_since(self, after: int) -> CacheUpdate:
        """Return what an entry lacks that was told everything up to a serial."""
        if after == self._serial:
            return CacheUpdate(self._serial)
        if not self._known_from <= after < self._serial:
            newest = list(self._held)[-MAX_UPDATE_BLOCKS:]
            return CacheUpdate(self._serial, tuple(newest), reset=True)
        latest = self._changed_since(after)
        if len(latest) > MAX_UPDATE_BLOCKS:
            newest = list(self._held)[-MAX_UPDATE_BLOCKS:]
            return CacheUpdate(self._serial, tuple(newest), reset=True)
        return CacheUpdate(
            self._serial,
            stored=tuple(block for block, stored in latest.items() if stored),
            removed=tuple(block for block, stored in latest.items() if not stored),
        )

    def _changed_since(self, after: int) -> dict[int, bool]:
        """Return the blocks changed since a serial, and whether each is stored now."""
        latest: dict[int, bool] = {}
        for change in reversed(self._changes):
            if change.serial <= after:
                break
            latest.setdefault(change.block, change.stored)
        return latest

    def _take_event(self, event: EngineEvent) -> None:
        block = self._names.get(event.name)
        if block is None:
            return
        if not event.stored:
            self._remove(block)
            return
        self._held[block] = None
        self._held.move_to_end(block)
        self._note(True, block)

    def _remove(self, block: int) -> None:
        if block in self._held:
            del self._held[block]
            self._note(False, block)

    def _note(self, stored: bool, block: int) -> None:
        self._serial += 1
        if len(self._changes) == MAX_CHANGES:
            self._known_from = self._changes[0].serial
        self._changes.append(_Change(self._serial, stored, block))

    def _clear(self) -> None:
        self._serial += 1
        self._known_from = self._serial
        self._held.clear()
        self._changes.clear()
