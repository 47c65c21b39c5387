"""The figures that one receiver has been sent, and those that it lacks."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from amaranthtally.policy.load_messages import LoadFigures
from amaranthtally.policy.load_view.contributions import Figures
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


# Calls, prompt tokens, slowness and time of the report that were sent of an endpoint,
# and the size of a change, its endpoint, figures and report. They are plain tuples, as
# a relay makes thousands of them a second.
_Sent = tuple[int, int, float, float]
_Change = tuple[float, int, Figures, KnownReport | None]
NOTHING_SENT: _Sent = (0, 0, 1.0, -1.0)


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

    def collect(
        self, now: float, sources: Sources, most: int
    ) -> tuple[LoadFigures, ...]:
        """Return the largest changes, of at most ``most`` endpoints."""
        self._seen, changed = self._changes.since(self._seen)
        self._pending.update(changed)
        found: list[_Change] = []
        for key in self._pending:
            figures, report = sources.figures(key), sources.report(key)
            size = _change_size(self._sent.get(key, NOTHING_SENT), figures, report)
            if size > 0.0:
                found.append((size, key, figures, report))
        # A change too small to be sent is looked at again after the next change.
        self._pending.clear()
        if len(found) > most:
            found.sort(key=_size_of, reverse=True)
            self._pending.update(change[1] for change in found[max(0, most) :])
            del found[max(0, most) :]
        return tuple([self._take(now, change) for change in found])

    def note_sent(self) -> tuple[int, int]:
        """Return the serial and the base of the message that is sent now."""
        self._serial += 1
        return self._serial, self._base

    def note_heard(self, key: int, report: KnownReport) -> None:
        """Note a report that the receiver itself has sent."""
        sent = self._sent.get(key, NOTHING_SENT)
        self._sent[key] = (sent[0], sent[1], report.slowness, report.heard_at)

    def _take(self, now: float, change: _Change) -> LoadFigures:
        _, key, (calls, tokens), report = change
        sent = self._sent.get(key, NOTHING_SENT)
        shared, slowness, reported_at = None, sent[2], sent[3]
        if report is not None and report.heard_at > reported_at:
            shared = report.share(now)
            slowness, reported_at = report.slowness, report.heard_at
        self._sent[key] = (calls, tokens, slowness, reported_at)
        return LoadFigures(key, calls, tokens, shared)


def _change_size(sent: _Sent, figures: Figures, report: KnownReport | None) -> float:
    """Return the size of a change, 0 if it is too small to be sent."""
    size = float(abs(figures[0] - sent[0]))
    tokens = abs(figures[1] - sent[1])
    if tokens >= LEAST_TOKENS or (tokens and not figures[1]):
        size += tokens / TOKENS_PER_CALL
    if report is not None and report.heard_at > sent[3]:
        size += _slowness_change(sent, report)
    return size


def _slowness_change(sent: _Sent, report: KnownReport) -> float:
    change = abs(report.slowness - sent[2]) / sent[2]
    if change >= LEAST_SLOWNESS:
        return change / SLOWNESS_PER_CALL
    deviates = abs(report.slowness - 1.0) >= LEAST_SLOWNESS
    return 1.0 if deviates and report.heard_at - sent[3] >= RENEW_S else 0.0


def _size_of(change: _Change) -> float:
    return change[0]
