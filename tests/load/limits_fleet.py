"""Entries of a fleet that share the rate limits of endpoints, on virtual time."""

from random import Random

from amaranthtally.policy import (
    AskPermits,
    Endpoint,
    EndpointLimits,
    Peer,
    PeerGroup,
    RateLimitChanged,
    SpreadRateLimits,
)
from tests.load.event_clock import EventClock

NEAR_S = 0.001
FAR_S = 0.024
TIMEOUT_S = 0.8
# How long the others take a killed entry to be alive, in seconds.
NOTICED_AFTER_S = 3.0
POOL = "engines"


class LimitedEndpoint:
    """An endpoint that names a rate while ``rate`` is set, and notes its requests."""

    def __init__(self, name, rate):
        self.name = name
        self.rate = rate
        self.arrivals = []

    def most_in(self, seconds, start, end):
        """Return the most requests in any time of that length."""
        times = [at for at in self.arrivals if start <= at < end]
        return max((sum(a <= t < a + seconds for t in times) for a in times), default=0)


class LimitsFleet(EventClock):
    """
    Entries by name. Each sends a request to each endpoint at the rate of ``demand``.

    An entry that is killed forgets everything, and one that is cut hears nothing.
    """

    def __init__(self, size, endpoints, demand, seed=1, tick_s=0.02):
        super().__init__()
        self.random = Random(seed)
        self.endpoints = {endpoint.name: endpoint for endpoint in endpoints}
        self.registered = {
            name: Endpoint(name, POOL, name, "a", "a", "10.0.0.1:1")
            for name in self.endpoints
        }
        self.demand = demand
        self.cut = set()
        self.members = {}
        self.groups = {}
        self.known_by = {}
        self.messages = 0
        self.calls_at = {}
        self._tick_s = tick_s
        self._names = [f"entry-{n}" for n in range(size)]
        for name in self._names:
            self.start(name)
        self.update_peers()

    # Changes

    def start(self, name):
        group = self.groups[name] = PeerGroup()
        group.set_name(name)
        self.members[name] = EndpointLimits(group, lambda endpoint, rate: None)
        self.members[name].configure(self.registered)
        self.known_by.pop(name, None)
        first = self.random.random()
        self.later(first * self._tick_s, lambda: self._tick(name, self.members[name]))
        for endpoint in self.endpoints.values():
            self.later(
                first, lambda e=endpoint: self._want(name, self.members.get(name), e)
            )

    def kill(self, name):
        del self.members[name]

    def update_peers(self):
        """Let all know who is alive now."""
        peers = [Peer(name, "a") for name in self.members]
        for name, limits in self.members.items():
            if self.groups[name].replace(self.now, peers):
                self._carry_out(name, limits.peers_changed())

    def issuer_of(self, endpoint):
        """Return the entry that issues permits of an endpoint."""
        first = next(iter(self.members))
        return self.groups[first].responsible(self.now, endpoint) or first

    # Entries

    def _tick(self, name, limits):
        if self.members.get(name) is not limits:
            return
        self._carry_out(name, limits.tick(self.now))
        self.later(self._tick_s, lambda: self._tick(name, limits))

    def _want(self, name, limits, endpoint):
        if limits is None or self.members.get(name) is not limits:
            return
        if endpoint.name in limits.blocked(self.now):
            limits.note_wanted(POOL)
        else:
            limits.take(self.now, endpoint.name)
            self._send(name, limits, endpoint)
        rate = self.demand(name, self.now)
        pause_s = self.random.expovariate(rate) if rate else 0.5
        self.later(pause_s, lambda: self._want(name, limits, endpoint))

    def _send(self, name, limits, endpoint):
        sent_at = self.now
        endpoint.arrivals.append(sent_at)
        rate = endpoint.rate(sent_at) if callable(endpoint.rate) else endpoint.rate

        def answer():
            if self.members.get(name) is limits:
                actions = limits.response_received(
                    self.now, endpoint.name, rate, sent_at
                )
                self._carry_out(name, actions)

        self.later(2 * FAR_S, answer)

    def _carry_out(self, name, actions):
        for action in actions:
            if isinstance(action, RateLimitChanged):
                self.known_by.setdefault(name, self.now)
            elif isinstance(action, SpreadRateLimits):
                for peer in action.peers:
                    self._call(name, peer, "notices_received", action.notices)
            elif isinstance(action, AskPermits):
                self._call(name, action.peer, "permits_asked", action.asks)

    def _call(self, name, peer, method, message):
        self.messages += 1
        self.calls_at[peer] = self.calls_at.get(peer, 0) + 1
        limits = self.members[name]
        lost = peer not in self.members or (name in self.cut) != (peer in self.cut)
        if lost:
            if method == "permits_asked":
                delay_s = NEAR_S if peer not in self.members else TIMEOUT_S
                self.later(
                    delay_s,
                    lambda: limits.permits_not_answered(self.now, peer, message),
                )
            return
        delay_s = self.random.choice((NEAR_S, FAR_S))
        self.later(
            delay_s, lambda: self._arrive(name, limits, peer, method, message, delay_s)
        )

    def _arrive(self, name, limits, peer, method, message, delay_s):
        receiver = self.members.get(peer)
        if receiver is None:
            return
        if method == "notices_received":
            self._carry_out(peer, receiver.notices_received(self.now, message))
            return
        answers = receiver.permits_asked(self.now, name, message)
        self.later(delay_s, lambda: limits.permits_answered(self.now, answers))
