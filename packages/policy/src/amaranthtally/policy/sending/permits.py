"""
Permits to send requests to endpoints that name a rate limit.

One entry issues the permits of an endpoint. All others ask it, so that together they
keep to the limit, however unevenly callers are spread over them.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from math import ceil

from amaranthtally.policy.limit_messages import (
    MIN_RATE,
    MIN_RETRY_S,
    PermitAnswer,
    PermitAsk,
    interval_s,
)
from amaranthtally.policy.peer_group import PeerGroup

__all__ = ["PermitIssuer", "PermitStock"]

# How far ahead permits are issued, and how long each remains valid, in seconds.
HORIZON_S = 0.5
PERMIT_TTL_S = 1.5
# Most permits of a cold endpoint that may lie unused, and the least time for which each
# remains valid, in seconds. Its bound counts single seconds, and permits that were kept
# could add up to more than it allows.
COLD_PERMITS_KEPT = 5.0
MIN_PERMIT_TTL_S = 0.5
# How long an entry waits before it issues the first permit of an endpoint, in seconds:
# until the last permit of an earlier issuer has expired, and all know the limit.
HOLD_OFF_S = HORIZON_S + PERMIT_TTL_S + 0.1
# How long an entry counts as one that asks, in seconds.
ASKER_TTL_S = 15.0
# Longest time after which an entry asks again if it got no permit, in seconds.
MAX_RETRY_S = 10.0
# Times that an entry asks for each permit that is its share.
ASKS_PER_PERMIT = 2.0
# Part of a wait that is drawn at random, so that entries do not ask all at once.
RETRY_JITTER = 0.5
# Most permits in one answer.
MAX_PERMITS = 64
# How long an issuer's state is kept without a request, in seconds.
IDLE_TTL_S = 30.0


@dataclass(slots=True)
class _Issue:
    """The state of an endpoint's permits; the next one is valid from ``next_at``."""

    next_at: float
    asked_at: float
    askers: dict[str, float] = field(default_factory=dict)


class PermitIssuer:
    """Issues evenly spaced permits of the endpoints that this entry is to issue."""

    def __init__(self) -> None:
        self._issues: dict[str, _Issue] = {}

    def answer(
        self, now: float, asker: str, ask: PermitAsk, issuer_since: float
    ) -> PermitAnswer:
        """
        Return the permits that an entry gets.

        This entry has been the endpoint's issuer since ``issuer_since``. It issues none
        before ``HOLD_OFF_S`` later, so that those of two issuers never add up.
        """
        issue = self._issues.get(ask.endpoint)
        if issue is None:
            issue = self._issues[ask.endpoint] = _Issue(now, now)
        issue.asked_at = issue.askers[asker] = now
        spacing_s = interval_s(ask.rate)
        issue.next_at = max(now, issue.next_at, issuer_since + HOLD_OFF_S)
        delays: list[float] = []
        while (
            len(delays) < min(ask.wanted, MAX_PERMITS)
            and issue.next_at - now <= HORIZON_S
        ):
            delays.append(issue.next_at - now)
            issue.next_at += spacing_s
        return PermitAnswer(
            ask.endpoint, tuple(delays), self._retry_after_s(now, issue, spacing_s)
        )

    def expire(self, now: float) -> None:
        """Drop the state of endpoints for which nobody asks."""
        self._issues = {
            name: issue
            for name, issue in self._issues.items()
            if now - issue.asked_at < IDLE_TTL_S
        }

    def _retry_after_s(self, now: float, issue: _Issue, spacing_s: float) -> float:
        issue.askers = {
            name: at for name, at in issue.askers.items() if now - at < ASKER_TTL_S
        }
        share_s = len(issue.askers) * spacing_s / ASKS_PER_PERMIT
        until_open_s = issue.next_at - now - HORIZON_S
        return min(MAX_RETRY_S, max(MIN_RETRY_S, share_s, until_open_s))


@dataclass(slots=True)
class _Held:
    """Permits by the time stamps from which they are valid, earliest first."""

    ttl_s: float = PERMIT_TTL_S
    valid_from: list[float] = field(default_factory=list)
    wanted: int = 0
    asked_at: float = 0.0
    ask_at: float = 0.0
    is_asking: bool = False


class PermitStock:
    """The permits that this entry holds, by endpoint; time stamps in seconds."""

    def __init__(self, peers: PeerGroup) -> None:
        self._peers = peers
        self._held: dict[str, _Held] = {}

    def has(self, now: float, endpoint: str) -> bool:
        """Whether a permit is valid now."""
        held = self._held.get(endpoint)
        if held is None:
            return False
        while held.valid_from and held.valid_from[0] + held.ttl_s < now:
            held.valid_from.pop(0)
        return bool(held.valid_from) and held.valid_from[0] <= now

    def take(self, now: float, endpoint: str) -> None:
        """Use a permit, if one is valid."""
        if self.has(now, endpoint):
            self._held[endpoint].valid_from.pop(0)

    def open(
        self, now: float, endpoint: str, rate: float, is_cold: bool = False
    ) -> None:
        """
        Hold permits of an endpoint with a limit that has just become known.

        Unless requests wait, each entry asks first at a random time.
        """
        held = self._held.get(endpoint)
        if held is None:
            share_s = self._peers.size / max(MIN_RATE, rate) / ASKS_PER_PERMIT
            ask_at = now + min(MAX_RETRY_S, share_s) * self._peers.random.random()
            held = self._held[endpoint] = _Held(ask_at=ask_at)
        held.ttl_s = _permit_ttl_s(rate) if is_cold else PERMIT_TTL_S

    def note_wanted(self, endpoint: str) -> None:
        """Note that a request could be sent to an endpoint."""
        held = self._held.get(endpoint)
        if held is not None:
            held.wanted += 1

    def ensure_wanted(self, endpoint: str, count: int) -> None:
        """Ask for at least this many permits next time, as requests wait for them."""
        held = self._held.get(endpoint)
        if held is None:
            return
        held.wanted = max(held.wanted, count)
        if not held.asked_at:
            held.ask_at = 0.0

    def due_ask(self, now: float, endpoint: str) -> int:
        """
        Return how many permits to ask for now; 0 for none.

        They are as many as could be used while they are valid, by the requests since
        the last ask.
        """
        held = self._held.get(endpoint)
        if held is None or held.is_asking or now < held.ask_at or not held.wanted:
            return 0
        elapsed_s = max(held.ttl_s, now - held.asked_at)
        wanted = ceil(held.wanted * held.ttl_s / elapsed_s) - len(held.valid_from)
        if wanted <= 0:
            return 0
        held.wanted = 0
        held.asked_at = now
        held.is_asking = True
        return wanted

    def answered(self, now: float, answer: PermitAnswer) -> None:
        """Take the permits of an answer."""
        held = self._held.get(answer.endpoint)
        if held is None:
            return
        held.is_asking = False
        held.valid_from.extend(now + delay_s for delay_s in answer.delays_s)
        wait_s = MIN_RETRY_S if answer.delays_s else answer.retry_after_s
        held.ask_at = now + wait_s * (1.0 + RETRY_JITTER * self._peers.random.random())

    def wait_s(self, now: float, endpoint: str) -> float:
        """Return the seconds until a permit is valid, or may be asked for again."""
        held = self._held.get(endpoint)
        if held is None or held.is_asking or not held.asked_at:
            return 0.0
        if held.valid_from:
            return max(0.0, held.valid_from[0] - now)
        return max(0.0, held.ask_at - now)

    def keep(self, rates: Mapping[str, float]) -> None:
        """Drop the permits of endpoints that name no limit any more."""
        self._held = {name: h for name, h in self._held.items() if name in rates}


def _permit_ttl_s(cold_rate: float) -> float:
    """Return how long permits of a cold endpoint remain valid, in seconds."""
    kept_s = COLD_PERMITS_KEPT / max(MIN_RATE, cold_rate)
    return min(PERMIT_TTL_S, max(MIN_PERMIT_TTL_S, kept_s))
