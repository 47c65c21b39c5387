"""What one entry sees of parts of prompts and requests: losses with endpoints."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from amaranthtally.policy.model import Endpoint
from amaranthtally.policy.part_successes import (
    EVIDENCE_TTL_S,
    PartKey,
    PartSuccess,
    PartSuccesses,
)
from amaranthtally.policy.request_key import RequestKey

__all__ = ["KNOWN_WITHIN_S", "EndpointStart", "PartEnd", "PartLosses"]

# Within this time after a connection was lost, its endpoint shows whether it has ended,
# in seconds: a few heartbeats, after which the registry drops its record.
CONFIRMED_WITHIN_S = 6.0
# A response that ends with its connection may be a part of one, if its endpoint ended.
# It counts as a success this much later, in seconds, if the endpoint is still there: by
# then the record of one that ended has been removed.
UNFRAMED_DELAY_S = 4.5
# An endpoint that has ended is known to have by this time after its end, in seconds:
# its record has been removed.
KNOWN_WITHIN_S = 1.7
# Within this time of an endpoint's end, in seconds, a response that ended with its
# connection counts as lost.
CUT_WITHIN_S = 0.25
# Most ends of parts that are held, and as many of requests.
MAX_ENDS = 1024


class EndpointStart(NamedTuple):
    """One start of an endpoint."""

    id: str
    incarnation: int


class PartEnd(NamedTuple):
    """
    An endpoint that ended while a request with a part was in flight there.

    ``part`` is a part of its prompt, or the request as a whole.
    ``endpoint`` names one start of the endpoint. ``lost_at`` is when the connection was
    lost and ``sent_at`` when the request had been sent. ``successes`` is the number of
    requests with the part that had succeeded before at the entry that reports.
    """

    part: PartKey
    endpoint: str
    lost_at: float
    sent_at: float
    successes: int = 0


@dataclass(slots=True)
class _Loss:
    incarnation: int
    lost_at: float
    sent_at: dict[PartKey, float] = field(default_factory=dict)


class _Unframed(NamedTuple):
    start: EndpointStart
    ended_at: float
    successes: tuple[PartSuccess, ...]


class PartLosses:
    """
    Ends and successes of this entry's requests; time stamps in seconds.

    A lost connection does not show that its endpoint has ended. It counts once the
    endpoint refuses connections, is not registered any more, or has started again.
    """

    def __init__(self) -> None:
        self._losses: dict[str, _Loss] = {}
        self._successes = PartSuccesses()
        self._unframed: list[_Unframed] = []
        self._ends: list[PartEnd] = []

    def ends(self, now: float) -> tuple[PartEnd, ...]:
        """Return the ends that still count."""
        self._ends = [e for e in self._ends if now - e.lost_at < EVIDENCE_TTL_S]
        return tuple(self._ends)

    def lost_at(self, endpoint: str) -> float | None:
        """Return when the first of the connections to an endpoint was lost."""
        loss = self._losses.get(endpoint)
        return None if loss is None else loss.lost_at

    def success(self, now: float, part: PartKey) -> PartSuccess | None:
        """Return the last success of a part, if it still counts."""
        return self._successes.find(now, part)

    def attempt_lost(
        self,
        now: float,
        endpoint: EndpointStart,
        parts: Iterable[PartKey],
        sent_at: float,
    ) -> None:
        """Note that the connection of an attempt was lost before its response ended."""
        loss = self._losses.get(endpoint.id)
        if loss is None or loss.incarnation != endpoint.incarnation:
            loss = self._losses[endpoint.id] = _Loss(endpoint.incarnation, now)
        for part in parts:
            loss.sent_at[part] = max(sent_at, loss.sent_at.get(part, sent_at))

    def attempt_succeeded(
        self,
        now: float,
        endpoint: EndpointStart,
        parts: Iterable[PartKey],
        sent_at: float,
        is_framed: bool,
    ) -> tuple[PartSuccess, ...]:
        """Note a complete response; return the successes that count from now on."""
        successes = tuple(PartSuccess(part, sent_at, now) for part in parts)
        if not is_framed:
            self._unframed.append(_Unframed(endpoint, now, successes))
            return ()
        return self._count(successes)

    def endpoint_unreachable(self, now: float, endpoint: str) -> tuple[PartEnd, ...]:
        """Note that an endpoint refuses connections; return the ends it confirms."""
        return self._confirm(now, [endpoint])

    def endpoints_changed(
        self, now: float, endpoints: Mapping[str, Endpoint]
    ) -> tuple[PartEnd, ...]:
        """Note which endpoints are registered; return the ends it confirms."""
        starts = {
            EndpointStart(n, loss.incarnation) for n, loss in self._losses.items()
        }
        starts.update(item.start for item in self._unframed)
        ended = {
            start.id
            for start in starts
            if start.id not in endpoints
            or endpoints[start.id].incarnation != start.incarnation
        }
        return self._confirm(now, ended)

    def tick(self, now: float) -> tuple[PartSuccess, ...]:
        """Drop losses that nothing has confirmed; return successes that count now."""
        for name, loss in list(self._losses.items()):
            if now - loss.lost_at >= CONFIRMED_WITHIN_S:
                del self._losses[name]
        due_before = now - UNFRAMED_DELAY_S
        if not self._unframed or self._unframed[0].ended_at > due_before:
            return ()
        due = [item for item in self._unframed if item.ended_at <= due_before]
        self._unframed = [i for i in self._unframed if i.ended_at > due_before]
        counted = [item for item in due if item.start.id not in self._losses]
        return self._count([s for item in counted for s in item.successes])

    def _confirm(self, now: float, names: Iterable[str]) -> tuple[PartEnd, ...]:
        confirmed: list[PartEnd] = []
        for name in names:
            loss = self._take_loss(now, name)
            if loss is None or now - loss.lost_at >= CONFIRMED_WITHIN_S:
                continue
            start = f"{name}/{loss.incarnation}"
            for part, sent_at in loss.sent_at.items():
                count = self._successes.count(now, part)
                confirmed.append(PartEnd(part, start, loss.lost_at, sent_at, count))
        if confirmed:
            self._ends = _latest([*self._ends, *confirmed])
        return tuple(confirmed)

    def _take_loss(self, now: float, name: str) -> _Loss | None:
        """Return what was lost with an endpoint, or looked whole as it ended."""
        loss = self._losses.pop(name, None)
        unframed = [item for item in self._unframed if item.start.id == name]
        if not unframed:
            return loss
        self._unframed = [item for item in self._unframed if item.start.id != name]
        last = unframed[-1]
        if loss is None and last.ended_at > now - KNOWN_WITHIN_S:
            loss = _Loss(last.start.incarnation, last.ended_at)
        for item in unframed:
            if loss is None or item.ended_at < loss.lost_at - CUT_WITHIN_S:
                self._count(item.successes)
                continue
            for success in item.successes:
                sent_at = loss.sent_at.get(success.part, success.sent_at)
                loss.sent_at[success.part] = max(sent_at, success.sent_at)
        return loss

    def _count(self, successes: Iterable[PartSuccess]) -> tuple[PartSuccess, ...]:
        counted = tuple(successes)
        for success in counted:
            self._successes.add(success)
        return counted


def _latest(ends: Iterable[PartEnd]) -> list[PartEnd]:
    """Return the latest ends of parts, and of the many more requests."""
    parts: list[PartEnd] = []
    requests: list[PartEnd] = []
    for end in ends:
        (requests if isinstance(end.part, RequestKey) else parts).append(end)
    return [*parts[-MAX_ENDS:], *requests[-MAX_ENDS:]]
