"""Sums of what senders have told of the calls at endpoints."""

from collections.abc import Iterable, Mapping

from amaranthtally.policy.load_messages import LoadMessage

__all__ = ["NO_CALLS", "Contributions", "Figures"]

# How long a contribution that is not renewed is counted, in seconds: senders renew
# theirs at least once a second, and one renewal may be lost.
TTL_S = 2.0
# Bounds of what one sender may claim of one endpoint. An engine has some hundred
# connections, and memory for some hundred thousand tokens.
MAX_CALLS = 4_000
MAX_TOKENS = 4_000_000
# Number of endpoints of which one sender is heard.
MAX_KEYS = 20_000

# Calls in flight at an endpoint, and their prompt tokens yet to be processed. It is a
# plain tuple, as a relay makes thousands of them a second.
Figures = tuple[int, int]
NO_CALLS: Figures = (0, 0)
NO_FIGURES: Mapping[int, Figures] = {}


class _Source:
    """What one sender last told; ``via`` is the entry whose messages carry it."""

    __slots__ = ("figures", "heard_at", "incarnation", "serial", "via")

    def __init__(self, via: str) -> None:
        self.via = via
        self.incarnation = 0
        self.serial = 0
        self.heard_at = 0.0
        self.figures: dict[int, Figures] = {}


class Contributions:
    """
    The newest contribution of each sender, and their sums by endpoint.

    Time stamps are in seconds. A newer contribution of a sender replaces the older one,
    so no call is counted twice.
    """

    def __init__(self) -> None:
        self._sources: dict[str, _Source] = {}
        self._totals: dict[int, Figures] = {}
        self._next_expiry = 0.0
        self._heard_at = 0.0

    def __len__(self) -> int:
        return len(self._sources)

    @property
    def heard_at(self) -> float | None:
        """When the last message was taken, ``None`` without a sender."""
        return self._heard_at if self._sources else None

    def total(self, key: int) -> Figures:
        """Return the sums for an endpoint."""
        return self._totals.get(key, NO_CALLS)

    def figures_of(self, sender: str) -> Mapping[int, Figures]:
        """Return what one sender has contributed, by endpoint."""
        source = self._sources.get(sender)
        return NO_FIGURES if source is None else source.figures

    def serial_of(self, sender: str) -> int:
        """Return the serial of the last message taken from a sender, 0 without one."""
        source = self._sources.get(sender)
        return 0 if source is None else source.serial

    def take(
        self, now: float, sender: str, via: str, message: LoadMessage
    ) -> list[int] | None:
        """
        Take a message; return the endpoints whose sums it changed.

        Returns ``None`` if it does not follow the last one that was taken, or is not
        newer. The sender then has to send all its figures.
        """
        source = self._sources.get(sender)
        is_known = (
            source is not None
            and source.via == via
            and source.incarnation == message.incarnation
        )
        serial = source.serial if source is not None and is_known else 0
        if message.serial <= serial or (message.base and message.base != serial):
            return None
        changed = [] if message.base else self.drop([sender])
        if source is None or not message.base:
            source = self._sources[sender] = _Source(via)
            source.incarnation = message.incarnation
        source.serial = message.serial
        source.heard_at = self._heard_at = now
        for item in message.figures[:MAX_KEYS]:
            figures = (
                min(MAX_CALLS, max(0, item.calls)),
                min(MAX_TOKENS, max(0, item.prefill_tokens)),
            )
            before = source.figures.get(item.key, NO_CALLS)
            if len(source.figures) < MAX_KEYS or item.key in source.figures:
                source.figures[item.key] = figures
                self._add(item.key, before, figures)
                changed.append(item.key)
        return changed

    def drop(self, senders: Iterable[str]) -> list[int]:
        """Remove the contributions of senders; return the endpoints they concerned."""
        changed: list[int] = []
        for sender in senders:
            source = self._sources.pop(sender, None)
            if source is not None:
                for key, figures in source.figures.items():
                    self._add(key, figures, NO_CALLS)
                changed.extend(source.figures)
        return changed

    def keep(self, senders: Iterable[str]) -> list[int]:
        """Remove the contributions of all other senders; return the endpoints."""
        kept = set(senders)
        return self.drop([name for name in self._sources if name not in kept])

    def forget(self, keys: Iterable[int]) -> None:
        """Remove endpoints that are no longer registered."""
        for key in keys:
            self._totals.pop(key, None)
            for source in self._sources.values():
                source.figures.pop(key, None)

    def expire(self, now: float) -> list[int]:
        """Remove contributions that were not renewed; return the endpoints."""
        if now < self._next_expiry or not self._sources:
            return []
        oldest = min(source.heard_at for source in self._sources.values())
        self._next_expiry = max(now, oldest + TTL_S)
        return self.drop(
            [n for n, source in self._sources.items() if now - source.heard_at >= TTL_S]
        )

    def _add(self, key: int, before: Figures, after: Figures) -> None:
        total = self._totals.get(key, NO_CALLS)
        calls = total[0] - before[0] + after[0]
        tokens = total[1] - before[1] + after[1]
        if calls or tokens:
            self._totals[key] = (calls, tokens)
        else:
            self._totals.pop(key, None)
