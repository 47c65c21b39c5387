"""Which entry calls a pool's endpoints in a data centre, and how long one waits."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from amaranthtally.policy.model import Endpoint
from amaranthtally.policy.piece_servers import speed_faded
from amaranthtally.policy.rendezvous import rendezvous_weight

__all__ = ["Peer", "PoolSites"]

# What running away from the entry's own data centre counts for, in seconds: the way
# there, and what the results' traffic costs, against waiting.
AWAY_REGION_S = 0.05
AWAY_CENTRE_S = 0.02
# How much longer a wait is accepted for a byte that crosses no link, in seconds: 0.45
# for a result of 1.5 MB, which by the users' prices costs a thirtieth of the request
# that reads it, and a third of the cheapest that does.
CROSSING_S_PER_BYTE = 0.3e-6
# The part of the time that a request can spare which may go into such a wait.
SPARED_SHARE = 0.25
# How long a place that failed is left alone, in seconds; each failure in a row
# doubles it up to the longest. An endpoint that restarts is away for a few.
FIRST_SHUT_S = 0.5
LONGEST_SHUT_S = 4.0
# How long a peer that did not answer gets no pieces, in seconds.
PEER_SHUT_S = 3.0

NO_SAVED_BYTES: Mapping[str, float] = {}


@dataclass(frozen=True, slots=True)
class Peer:
    """Another entry that is alive."""

    name: str
    data_centre: str


@dataclass(slots=True)
class _Wait:
    wait_s: float = 0.0
    at: float = 0.0

    def left_s(self, now: float) -> float:
        return max(0.0, self.wait_s - (now - self.at))


@dataclass(slots=True)
class _Place:
    waits: dict[int, _Wait] = field(default_factory=dict)
    slowdown_s: float = 0.0
    slower_at: float = 0.0
    shut_until: float = 0.0
    failures: int = 0


class PoolSites:
    """
    Finds an owner for each pool in each data centre, without any agreement.

    Every entry ranks all live entries for a place by one hash, those of the same
    data centre first, and asks the first. Entries that differ in whom they take for
    alive ask different owners for a while: pieces may be made twice, so that costs
    efficiency and nothing else.
    """

    def __init__(self) -> None:
        self._name = ""
        self._region = ""
        self._data_centre = ""
        self._peers: dict[str, Peer] = {}
        self._leaving = False
        self._peer_shut: dict[str, float] = {}
        self._places: dict[tuple[str, str], _Place] = {}

    def configure(self, name: str, region: str, data_centre: str) -> None:
        """Use this entry's own name and place."""
        self._name = name
        self._region = region
        self._data_centre = data_centre

    def replace_peers(self, peers: Iterable[Peer]) -> None:
        """Use these live entries beside this one."""
        self._peers = {peer.name: peer for peer in peers if peer.name != self._name}

    @property
    def is_leaving(self) -> bool:
        """Whether this entry leaves."""
        return self._leaving

    def leave(self) -> None:
        """Own nothing from now on, as this entry leaves."""
        self._leaving = True

    def owner(self, now: float, pool: str, data_centre: str) -> str:
        """Return the entry that calls a pool's endpoints there; empty: this one."""
        own = Peer(self._name, self._data_centre)
        alive = [p for p in self._peers.values() if not self._is_shut(now, p.name)]
        if not self._leaving or not alive:
            alive.append(own)
        near = [p for p in alive if p.data_centre == data_centre]
        key = f"{pool}/{data_centre}"
        chosen = min(near or alive, key=lambda peer: rendezvous_weight(peer.name, key))
        return "" if chosen.name == self._name else chosen.name

    def peer_failed(self, now: float, peer: str) -> None:
        """Ask a peer for nothing for a while, or until it is heard from."""
        self._peer_shut[peer] = now + PEER_SHUT_S

    def peer_recovered(self, peer: str) -> None:
        """
        Ask a peer again, as it answers and takes part.

        The failure: after a loss of power the first entry to start finds the others'
        ports closed, and left them alone though they were up 0.1 s later. Two entries
        called each endpoint for three to six seconds, their calls found no room, and
        a quarter of the requests of the next ten seconds was late.
        """
        self._peer_shut.pop(peer, None)

    def unavailable_peers(self, now: float) -> frozenset[str]:
        """Return the live peers that are asked for nothing now."""
        return frozenset(name for name in self._peers if self._is_shut(now, name))

    def distance_s(self, endpoint: Endpoint) -> float:
        """Return what it counts for to run at an endpoint, in seconds."""
        if endpoint.data_centre == self._data_centre:
            return 0.0
        return AWAY_CENTRE_S if endpoint.region == self._region else AWAY_REGION_S

    # Waits

    def update_wait(
        self,
        now: float,
        pool: str,
        data_centre: str,
        wait_s: float,
        slowdown_s: float = 0.0,
        rank: int = 0,
    ) -> None:
        """
        Learn how long pieces of a rank wait at a place; it works.

        More urgent ones wait no longer there, and less urgent ones no less.

        ``slowdown_s`` is by how much longer than usual a call takes there. A queue gets
        shorter while nothing is heard of it, a slow endpoint no faster: counted alike,
        it looked free a second after each of its calls, and was always busy.
        """
        place = self._of(pool, data_centre)
        for other, wait in place.waits.items():
            left_s = wait.left_s(now)
            if (other < rank and left_s > wait_s) or (other > rank and left_s < wait_s):
                place.waits[other] = _Wait(wait_s, now)
        place.waits[rank] = _Wait(wait_s, now)
        place.slowdown_s = slowdown_s
        place.slower_at = now
        place.failures = 0

    def note_submitted(
        self, now: float, pool: str, data_centre: str, more_s: float, rank: int = 0
    ) -> None:
        """Count what was asked for since the place was last heard of."""
        place = self._of(pool, data_centre)
        place.waits.setdefault(rank, _Wait(self._queue_s(now, place, rank), now))
        for other, wait in place.waits.items():
            if other >= rank:
                place.waits[other] = _Wait(wait.left_s(now) + more_s, now)

    def failed(self, now: float, pool: str, data_centre: str) -> None:
        """Leave a place alone for a while."""
        place = self._of(pool, data_centre)
        if now < place.shut_until:
            return
        place.shut_until = now + min(LONGEST_SHUT_S, FIRST_SHUT_S * 2**place.failures)
        place.failures += 1

    def wait_s(self, now: float, pool: str, data_centre: str, rank: int = 0) -> float:
        """Return by how much later than in a free place a piece would be made."""
        place = self._of(pool, data_centre)
        slowdown_s = place.slowdown_s * speed_faded(now - place.slower_at)
        return self._queue_s(now, place, rank) + slowdown_s

    def best_data_centre(
        self,
        now: float,
        pool: str,
        candidates: Mapping[str, Endpoint],
        saved_bytes: Mapping[str, float] = NO_SAVED_BYTES,
        spare_s: float = 0.0,
        rank: int = 0,
    ) -> str | None:
        """
        Return the data centre in which to run pieces of a stage.

        ``candidates`` holds an endpoint of each data centre; ``None`` without any.
        ``saved_bytes`` maps a data centre to the bytes that cross no link if the stage
        runs there: the inputs stored there, and the results read there later. The more
        time the request can spare, the longer it may wait to save that traffic.
        """
        most_s = SPARED_SHARE * max(0.0, spare_s)
        open_places = {
            name: endpoint
            for name, endpoint in candidates.items()
            if now >= self._of(pool, name).shut_until
        } or candidates
        return min(
            open_places,
            key=lambda name: (
                self.wait_s(now, pool, name, rank)
                + self.distance_s(open_places[name])
                - min(most_s, CROSSING_S_PER_BYTE * saved_bytes.get(name, 0.0))
            ),
            default=None,
        )

    def _queue_s(self, now: float, place: _Place, rank: int) -> float:
        """Return the wait of a rank, or of the next more urgent that is known."""
        known = max((r for r in place.waits if r <= rank), default=None)
        return 0.0 if known is None else place.waits[known].left_s(now)

    def _is_shut(self, now: float, peer: str) -> bool:
        return now < self._peer_shut.get(peer, 0.0)

    def _of(self, pool: str, data_centre: str) -> _Place:
        return self._places.setdefault((pool, data_centre), _Place())
