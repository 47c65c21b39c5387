"""
Keeps all entries together within the rate limits that endpoints name.

What one entry reads from a response is passed on from entry to entry. Requests are then
sent only with permits, which one entry issues for each endpoint.
"""

from collections.abc import Callable, Iterable, Mapping
from math import ceil

from amaranthtally.policy.actions import (
    Action,
    AskPermits,
    RateLimitChanged,
    SpreadRateLimits,
)
from amaranthtally.policy.limit_messages import (
    MIN_RETRY_S,
    PermitAnswer,
    PermitAsk,
    RateLimitNotice,
)
from amaranthtally.policy.model import Endpoint
from amaranthtally.policy.peer_group import REPEAT_INTERVAL_S, PeerGroup
from amaranthtally.policy.sending.permits import PermitIssuer, PermitStock
from amaranthtally.policy.sending.rate_limits import RateLimitTable

__all__ = ["EndpointLimits"]

EXPIRY_INTERVAL_S = 1.0
# Share of a limit that an entry issues in place of one that is alive by its record.
STAND_IN_SHARE = 0.5

NO_ENDPOINTS: frozenset[str] = frozenset()


class EndpointLimits:
    """The rate limits of endpoints, and the permits to send to them, at one entry."""

    def __init__(
        self,
        peers: PeerGroup,
        on_rate: Callable[[str, float | None], None],
    ) -> None:
        """Create it; ``on_rate`` is called with each change of an endpoint's rate."""
        self._on_rate = on_rate
        self._peers = peers
        self._endpoints: Mapping[str, Endpoint] = {}
        self._table = RateLimitTable()
        self._cold: Mapping[str, float] = {}
        # The limits in force: those that endpoints name, and those of cold ones.
        self._rates: Mapping[str, float] = {}
        self._issuer = PermitIssuer()
        # Since when this entry has been the issuer of an endpoint, without a break.
        self._issuer_since: dict[str, float] = {}
        self._stock = PermitStock(peers)
        self._to_check: set[str] = set()
        self._repeat_at = 0.0
        self._expire_at = 0.0

    @property
    def rates(self) -> Mapping[str, float]:
        """The limits in force by endpoint, in requests a second."""
        return self._rates

    @property
    def notices(self) -> tuple[RateLimitNotice, ...]:
        """All notices that are held."""
        return self._table.notices

    def configure(self, endpoints: Mapping[str, Endpoint]) -> None:
        """Set the registered endpoints."""
        self._endpoints = endpoints
        if not self._has_limits:
            return
        self._table.endpoints_changed(endpoints)
        self._rates = self._strictest()
        self._stock.keep(self._rates)
        for endpoint, rate in self._rates.items():
            self._on_rate(endpoint, rate)

    def set_cold_rates(self, now: float, rates: Mapping[str, float]) -> None:
        """Set the limits of the cold endpoints, in requests a second."""
        if rates == self._cold:
            return
        ended = self._cold.keys() - rates.keys()
        self._cold = rates
        self._refresh(now)
        for name in (*ended, *rates):
            self._on_rate(name, self._rates.get(name))

    @property
    def cold_count(self) -> int:
        """Number of endpoints that have a limit because they are cold."""
        return len(self._cold)

    def is_cold(self, endpoint: str) -> bool:
        """Whether an endpoint has a limit because it is cold."""
        return endpoint in self._cold

    def peers_changed(self) -> list[Action]:
        """Pass on to new entries what is known."""
        newcomers = self._peers.newcomers
        if not newcomers or not len(self._table):
            return []
        return [SpreadRateLimits(newcomers, self._table.notices)]

    # Notices

    def response_received(
        self, now: float, endpoint: str, rate: float | None, sent_at: float
    ) -> list[Action]:
        """Handle the limit that a response names, ``None`` if it names none."""
        registered = self._endpoints.get(endpoint)
        if registered is None or (rate is None and not self._rates):
            return []
        notice = self._table.response_received(now, registered, rate, sent_at)
        if notice is None:
            return []
        self._refresh(now)
        self._on_rate(notice.endpoint, self._rates.get(notice.endpoint))
        return [
            RateLimitChanged(notice, is_own=True),
            *self._spread((notice,)),
        ]

    def notices_received(
        self, now: float, notices: Iterable[RateLimitNotice]
    ) -> list[Action]:
        """Handle what another entry knows; pass on what is new."""
        newer = self._table.merge(now, notices)
        if not newer:
            return []
        self._refresh(now)
        for notice in newer:
            self._on_rate(notice.endpoint, self._rates.get(notice.endpoint))
        changes = [RateLimitChanged(notice, is_own=False) for notice in newer]
        return [*changes, *self._spread(newer)]

    # Sending

    def blocked(self, now: float) -> frozenset[str]:
        """Return the endpoints to which nothing may be sent now."""
        if not self._rates:
            return NO_ENDPOINTS
        return frozenset(n for n in self._rates if not self._stock.has(now, n))

    def note_wanted(self, pool: str) -> None:
        """Note that a request could be sent to any endpoint of a pool."""
        for name in self._limited_in(pool):
            self._stock.note_wanted(name)

    def requests_wait(self, counts: Mapping[str, int]) -> None:
        """Note how many requests wait for permits of each pool."""
        for pool, count in counts.items():
            names = self._limited_in(pool)
            for name in names:
                self._stock.ensure_wanted(name, ceil(count / len(names)))

    def take(self, now: float, endpoint: str) -> None:
        """Note that a request is sent to an endpoint."""
        if endpoint in self._rates:
            self._stock.take(now, endpoint)

    def waits_s(self, now: float, pool: str) -> dict[str, float]:
        """Return how long a permit takes for each endpoint of a pool with a limit."""
        return {n: self._stock.wait_s(now, n) for n in self._limited_in(pool)}

    # Permits

    def permits_asked(
        self, now: float, asker: str, asks: Iterable[PermitAsk]
    ) -> list[PermitAnswer]:
        """Answer another entry; no permits of endpoints that another one issues."""
        return [self._answer(now, asker, ask) for ask in asks]

    def permits_answered(self, now: float, answers: Iterable[PermitAnswer]) -> None:
        """Take the permits that another entry has issued."""
        for answer in answers:
            if answer.endpoint in self._rates:
                self._stock.answered(now, answer)

    def permits_not_answered(
        self, now: float, peer: str, asks: Iterable[PermitAsk]
    ) -> None:
        """Note that an entry did not answer."""
        self._peers.note_failure(now, peer)
        self.permits_answered(now, [PermitAnswer(ask.endpoint) for ask in asks])

    def tick(self, now: float) -> list[Action]:
        """Ask for the permits that are wanted, and repeat what is known to peers."""
        if not self._has_limits:
            return []
        actions = self._ask(now)
        if now >= self._repeat_at and len(self._table):
            self._repeat_at = now + REPEAT_INTERVAL_S
            receivers = self._peers.repeat_receivers()
            if receivers:
                actions.append(SpreadRateLimits(receivers, self._table.notices))
        if now >= self._expire_at:
            self._expire_at = now + EXPIRY_INTERVAL_S
            self._table.expire(now)
            self._issuer.expire(now)
            for name in [n for n in self._issuer_since if n not in self._rates]:
                del self._issuer_since[name]
        return actions

    def _answer(self, now: float, asker: str, ask: PermitAsk) -> PermitAnswer:
        since = self._note_issuer(now, ask.endpoint)
        if since is None:
            # The asker may be right that the issuer has failed: this entry then finds
            # out too, and issues the permits itself.
            self._to_check.add(ask.endpoint)
            return PermitAnswer(ask.endpoint, (), 2 * MIN_RETRY_S)
        return self._issue(now, asker, ask, since)

    def _ask(self, now: float) -> list[Action]:
        asks: dict[str, list[PermitAsk]] = {}
        for name, rate in self._rates.items():
            since = self._note_issuer(now, name)
            wanted = self._stock.due_ask(now, name)
            if not wanted and name not in self._to_check:
                continue
            self._to_check.discard(name)
            ask = PermitAsk(name, rate, wanted)
            if since is None:
                asks.setdefault(self._peers.responsible(now, name), []).append(ask)
            elif wanted:
                answer = self._issue(now, self._peers.name, ask, since)
                self._stock.answered(now, answer)
        return [AskPermits(peer, tuple(listed)) for peer, listed in asks.items()]

    def _issue(
        self, now: float, asker: str, ask: PermitAsk, since: float
    ) -> PermitAnswer:
        # The entry that is first in rank does not answer this one, but may be alive:
        # both then issue permits, each to a part of a fleet that is cut in two.
        if self._peers.ranked(ask.endpoint)[0] != self._peers.name:
            ask = ask._replace(rate=ask.rate * STAND_IN_SHARE)
        return self._issuer.answer(now, asker, ask, since)

    def _note_issuer(self, now: float, endpoint: str) -> float | None:
        """Return since when this entry is an endpoint's issuer, ``None`` if not."""
        if self._peers.responsible(now, endpoint):
            self._issuer_since.pop(endpoint, None)
            return None
        return self._issuer_since.setdefault(endpoint, self._peers.changed_at(now))

    def _limited_in(self, pool: str) -> list[str]:
        return [
            name
            for name in self._rates
            if (endpoint := self._endpoints.get(name)) and endpoint.pool == pool
        ]

    def _spread(self, notices: tuple[RateLimitNotice, ...]) -> list[Action]:
        receivers = self._peers.receivers()
        return [SpreadRateLimits(receivers, notices)] if receivers else []

    @property
    def _has_limits(self) -> bool:
        return bool(self._cold) or bool(len(self._table))

    def _strictest(self) -> Mapping[str, float]:
        rates = dict(self._table.rates)
        for name, rate in self._cold.items():
            rates[name] = min(rate, rates.get(name, rate))
        return rates

    def _refresh(self, now: float) -> None:
        self._rates = self._strictest()
        self._stock.keep(self._rates)
        for name, rate in self._rates.items():
            self._stock.open(now, name, rate, is_cold=name in self._cold)
