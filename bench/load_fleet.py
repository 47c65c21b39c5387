"""A fleet of load views that exchange messages over a network with latency."""

import heapq
import itertools
from random import Random

from amaranthtally.policy import Endpoint, ExchangeLoads, LoadReport
from amaranthtally.policy.load_view import build_load_view
from amaranthtally.policy.pool_sites import Peer

POOL = "engine"
REGIONS = ("north", "south", "east")
TICK_S = 0.006
NEAR_S = 0.001
FAR_S = 0.012


def engine(name, region="north", incarnation=1):
    return Endpoint(
        name, POOL, name, region, f"{region}-1", "127.0.0.1:1", incarnation=incarnation
    )


def report(running=0, slowness=1.0, incarnation=1):
    return LoadReport(
        incarnation, running, 0, 64, 0.0, 0.0, False, host_slowness=slowness
    )


class Fleet:
    """Views of entries in three regions; ``lost`` holds pairs without a link."""

    def __init__(self, entries, endpoints, *, active=True, observed=None):
        self.now = 0.0
        self.random = Random(entries)
        self.endpoints = {
            f"e{n}": engine(f"e{n}", REGIONS[n % 3]) for n in range(endpoints)
        }
        self.regions = {f"g{n}": REGIONS[n % 3] for n in range(entries)}
        self.views = {}
        self.calls = {}
        self.lost = set()
        self.loss = 0.0
        self.messages = 0
        self._due = []
        self._serial = itertools.count()
        for name in self.regions:
            self.start(name, observed)
        self.set_peers()
        if active:
            for view in self.views.values():
                view.report_received(0.0, self.endpoints["e0"], report())

    def start(self, name, observed=None):
        """Start an entry, or start it again."""
        observed = observed or (lambda now, endpoint: 1.0)
        view = build_load_view(observed, Random(self.random.random()))
        view.configure(name, f"{self.regions[name]}-1")
        view.endpoints_changed(self.endpoints)
        self.views[name] = view
        self.calls[name] = {}

    def set_peers(self):
        peers = [Peer(name, f"{self.regions[name]}-1") for name in self.views]
        for name, view in self.views.items():
            others = [peer for peer in peers if peer.name != name]
            view.peers_changed(self.now, others)

    def set_calls(self, name, endpoint, calls, tokens=0):
        """Change an entry's own calls and pending prompt tokens at an endpoint."""
        self.calls[name][endpoint] = (calls, tokens)
        self.views[name].attempt_changed(
            self.now, self.endpoints[endpoint], calls, tokens
        )

    def truth(self, name, endpoint):
        """Return the calls of all other entries at an endpoint."""
        return sum(
            calls.get(endpoint, (0, 0))[0]
            for other, calls in self.calls.items()
            if other != name and other in self.views
        )

    def find(self, name, endpoint):
        return self.views[name].find(self.now, endpoint)

    def run(self, seconds):
        """Let time pass, in steps of one tick of an entry."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            while self._due and self._due[0][0] <= self.now:
                heapq.heappop(self._due)[2]()
            for name, view in self.views.items():
                for action in view.tick(self.now):
                    assert isinstance(action, ExchangeLoads)
                    self._call(name, action)

    def _call(self, name, action):
        self.messages += 1
        caller, callee = self.views[name], self.views.get(action.peer)
        if callee is None or frozenset((name, action.peer)) in self.lost:
            self._later(0.8, lambda: caller.exchange_failed(self.now, action.peer))
            return
        is_near = self.regions[name] == self.regions[action.peer]
        latency_s = NEAR_S if is_near else FAR_S

        def arrive():
            if self.random.random() < self.loss:
                self._later(0.8, lambda: caller.exchange_failed(self.now, action.peer))
                return
            answer = callee.exchange_received(self.now, name, action.message)
            if self.random.random() < self.loss:
                self._later(0.8, lambda: caller.exchange_failed(self.now, action.peer))
                return
            self._later(
                latency_s,
                lambda: caller.exchange_answered(self.now, action.peer, answer),
            )

        self._later(latency_s, arrive)

    def _later(self, delay_s, work):
        heapq.heappush(self._due, (self.now + delay_s, next(self._serial), work))
