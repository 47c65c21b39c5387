"""The figures that one receiver has been sent, and those that it lacks."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from amaranthtally.policy.load_messages import LoadFigures
from amaranthtally.policy.load_view.contributions import NO_CALLS, Figures
from amaranthtally.policy.load_view.reports import KnownReport

__all__ = ["ChangeLog", "Outbox", "Sources"]

# Least change of the prompt tokens at an endpoint that is sent: an engine processes
# them in 8 ms, a small part of the time in which the first event is due.
LEAST_TOKENS = 256
# Least change of a slowness that is sent, as a share of the one sent before.
LEAST_SLOWNESS = 0.1
# A slowness that deviates from 1 is sent again after this time, in seconds, although it
# has not changed. Otherwise its receivers would take it for outdated.
RENEW_S = 0.5
# Size of a change of one call, of as many tokens and of such a ratio of slowness, when
# changes are ranked: each delays a first event by some milliseconds.
TOKENS_PER_CALL = 256.0
SLOWNESS_PER_CALL = 0.1


class Sources(NamedTuple):
    """Functions that return what a receiver should know of an endpoint."""

    figures: Callable[[int], Figures]
    report: Callable[[int], KnownReport | None]
    concerns: Callable[[int], bool]


class _Sent(NamedTuple):
    figures: Figures = NO_CALLS
    slowness: float = 1.0
    reported_at: float = -1.0


NOTHING_SENT = _Sent()


class ChangeLog:
    """Endpoints in the order of their last changes."""

    def __init__(self) -> None:
        self._version = 0
        self._versions: dict[int, int] = {}

    def note(self, keys: Iterable[int]) -> None:
        """Note that the figures of endpoints have changed."""
        for key in keys:
            self._version += 1
            self._versions.pop(key, None)
            self._versions[key] = self._version

    def forget(self, keys: Iterable[int]) -> None:
        """Remove endpoints that are no longer registered."""
        for key in keys:
            self._versions.pop(key, None)

    def since(self, version: int) -> tuple[int, list[int]]:
        """Return the newest version, and the endpoints changed after another."""
        keys = []
        for key, changed in reversed(self._versions.items()):
            if changed <= version:
                break
            keys.append(key)
        return self._version, keys


class Outbox:
    """
    What one receiver has been sent.

    Changes are sent relative to the last message that the receiver has taken. If one is
    lost, all figures are sent again.
    """

    def __init__(self, changes: ChangeLog) -> None:
        self._changes = changes
        self._seen = 0
        self._pending: set[int] = set()
        self._sent: dict[int, _Sent] = {}
        self._serial = 0
        self._base = 0

    @property
    def serial(self) -> int:
        """Serial of the last message."""
        return self._serial

    def reset(self) -> None:
        """Send all figures next, as the receiver lacks the last message."""
        self._seen = 0
        self._base = 0
        self._sent.clear()
        self._pending.clear()

    def acknowledged(self, serial: int) -> None:
        """Note the serial of the last message that the receiver has taken."""
        if serial and serial == self._serial:
            self._base = serial
        else:
            self.reset()

    def forget(self, keys: Iterable[int]) -> None:
        """Remove endpoints that are no longer registered."""
        for key in keys:
            self._sent.pop(key, None)
            self._pending.discard(key)

    def want(self, keys: Iterable[int]) -> None:
        """Look at endpoints anew, as the receiver may be concerned by them now."""
        self._pending.update(keys)

    def collect(
        self, now: float, sources: Sources, most: int
    ) -> tuple[LoadFigures, ...]:
        """Return the largest changes, of at most ``most`` endpoints."""
        self._seen, changed = self._changes.since(self._seen)
        self._pending.update(changed)
        sizes: dict[int, float] = {}
        for key in filter(sources.concerns, self._pending):
            size = self._change(now, key, sources)
            if size > 0.0:
                sizes[key] = size
        # A change too small to be sent is looked at again after the next change.
        self._pending = set(sizes)
        ranked = sorted(sizes, key=sizes.__getitem__, reverse=True)[: max(0, most)]
        return tuple(self._take(now, key, sources) for key in ranked)

    def note_sent(self) -> tuple[int, int]:
        """Return the serial and the base of the message that is sent now."""
        self._serial += 1
        return self._serial, self._base

    def note_heard(self, key: int, report: KnownReport) -> None:
        """Note a report that the receiver itself has sent."""
        sent = self._sent.get(key, NOTHING_SENT)
        self._sent[key] = _Sent(sent.figures, report.slowness, report.heard_at)

    def _change(self, now: float, key: int, sources: Sources) -> float:
        sent = self._sent.get(key, NOTHING_SENT)
        figures, report = sources.figures(key), sources.report(key)
        calls = abs(figures.calls - sent.figures.calls)
        tokens = abs(figures.prefill_tokens - sent.figures.prefill_tokens)
        size = float(calls)
        if tokens >= LEAST_TOKENS or (tokens and not figures.prefill_tokens):
            size += tokens / TOKENS_PER_CALL
        return size + _slowness_change(now, sent, report)

    def _take(self, now: float, key: int, sources: Sources) -> LoadFigures:
        sent = self._sent.get(key, NOTHING_SENT)
        figures, report = sources.figures(key), sources.report(key)
        shared = None
        if report is not None and report.heard_at > sent.reported_at:
            shared = report.share(now)
            sent = _Sent(figures, report.slowness, report.heard_at)
        self._sent[key] = sent._replace(figures=figures)
        self._pending.discard(key)
        return LoadFigures(key, figures.calls, figures.prefill_tokens, shared)


def _slowness_change(now: float, sent: _Sent, report: KnownReport | None) -> float:
    """Return the size of the change that a report shows, 0 if it is not to be sent."""
    if report is None or report.heard_at <= sent.reported_at:
        return 0.0
    change = abs(report.slowness - sent.slowness) / sent.slowness
    if change >= LEAST_SLOWNESS:
        return change / SLOWNESS_PER_CALL
    deviates = abs(report.slowness - 1.0) >= LEAST_SLOWNESS
    is_old = report.heard_at - sent.reported_at >= RENEW_S
    return 1.0 if deviates and is_old else 0.0
